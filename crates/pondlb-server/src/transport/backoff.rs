//! Exponential backoff with jitter.

use std::time::Duration;

use nanorand::{Rng, WyRand};

/// Retry delays that double from [`INITIAL_DELAY`] to [`MAX_DELAY`]. They have jitter, so that balancers whose calls
/// failed at the same time do not retry at the same time.
pub struct Backoff {
    delay: Duration,
    rng: WyRand,
}

const INITIAL_DELAY: Duration = Duration::from_secs(1);
const MAX_DELAY: Duration = Duration::from_secs(60);
/// With jitter, a delay is between this factor and 1 times its nominal length.
const MIN_JITTER_FACTOR: f64 = 0.75;

impl Backoff {
    /// Creates a backoff that starts with [`INITIAL_DELAY`]. `seed` seeds the jitter.
    pub fn new(seed: u64) -> Self {
        Backoff { delay: INITIAL_DELAY, rng: WyRand::new_seed(seed) }
    }

    /// Returns the delay before the next retry and doubles the one after it.
    pub fn next_delay(&mut self) -> Duration {
        let factor = MIN_JITTER_FACTOR + (1.0 - MIN_JITTER_FACTOR) * self.rng.generate::<f64>();
        let delay = self.delay.mul_f64(factor);
        self.delay = (2 * self.delay).min(MAX_DELAY);
        delay
    }

    /// Starts again with [`INITIAL_DELAY`]; called after a success.
    pub fn reset(&mut self) {
        self.delay = INITIAL_DELAY;
    }
}
