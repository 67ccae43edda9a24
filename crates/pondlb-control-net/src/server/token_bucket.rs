//! A rate limit.

use std::time::Duration;

use tokio::time::Instant;

/// Tokens that come at a steady rate; as many as come in a second are kept.
#[derive(Debug)]
pub struct TokenBucket {
    tokens_per_second: f64,
    /// Below zero where tokens have been promised that are still to come.
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(per_second: f64, now: Instant) -> TokenBucket {
        TokenBucket { tokens_per_second: per_second, tokens: per_second.max(1.0), refilled_at: now }
    }

    /// Takes a token and says how long to wait for it; none is taken where that is longer than `most`.
    pub fn take(&mut self, now: Instant, most: Duration) -> Option<Duration> {
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        let tokens =
            (self.tokens + elapsed * self.tokens_per_second).min(self.tokens_per_second.max(1.0)) - 1.0;
        let wait = Duration::try_from_secs_f64((-tokens).max(0.0) / self.tokens_per_second).ok()?;
        if wait > most {
            return None;
        }
        (self.tokens, self.refilled_at) = (tokens, now);
        Some(wait)
    }
}
