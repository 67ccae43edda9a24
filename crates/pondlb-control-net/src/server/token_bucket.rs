//! A rate limit.

use std::time::Duration;

use tokio::time::Instant;

/// Tokens that come at a steady rate; as many as come in a second are kept.
#[derive(Debug)]
pub struct TokenBucket {
    per_second: f64,
    /// Below zero where tokens have been promised that are still to come.
    tokens: f64,
    filled: Instant,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(per_second: f64, now: Instant) -> TokenBucket {
        TokenBucket { per_second, tokens: per_second.max(1.0), filled: now }
    }

    /// Takes a token and says how long to wait for it; none is taken where that is longer than `most`.
    pub fn take(&mut self, now: Instant, most: Duration) -> Option<Duration> {
        let elapsed = now.duration_since(self.filled).as_secs_f64();
        let tokens = (self.tokens + elapsed * self.per_second).min(self.per_second.max(1.0)) - 1.0;
        let wait = Duration::try_from_secs_f64((-tokens).max(0.0) / self.per_second).ok()?;
        if wait > most {
            return None;
        }
        (self.tokens, self.filled) = (tokens, now);
        Some(wait)
    }
}
