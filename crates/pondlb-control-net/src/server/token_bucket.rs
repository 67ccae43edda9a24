//! Rate limiting with a token bucket.

use std::time::Duration;

use tokio::time::Instant;

/// A token bucket that is refilled at a constant rate. Its capacity is the number of tokens of one second, at least
/// one.
#[derive(Debug)]
pub struct TokenBucket {
    tokens_per_second: f64,
    /// The number of available tokens when the bucket was last refilled. It is negative if tokens are reserved that are
    /// not available yet.
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(tokens_per_second: f64, now: Instant) -> TokenBucket {
        TokenBucket { tokens_per_second, tokens: tokens_per_second.max(1.0), refilled_at: now }
    }

    /// Reserves a token and returns the time to wait until it is available. Returns `None` and reserves nothing if that
    /// is longer than `max_wait`.
    pub fn reserve(&mut self, now: Instant, max_wait: Duration) -> Option<Duration> {
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        let capacity = self.tokens_per_second.max(1.0);
        let tokens = (self.tokens + elapsed * self.tokens_per_second).min(capacity) - 1.0;
        let wait = Duration::try_from_secs_f64((-tokens).max(0.0) / self.tokens_per_second).ok()?;
        if wait > max_wait {
            return None;
        }
        (self.tokens, self.refilled_at) = (tokens, now);
        Some(wait)
    }
}
