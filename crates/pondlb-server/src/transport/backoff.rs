//! How long to wait before a retry.

use std::time::Duration;

use nanorand::{Rng, WyRand};

/// Waits that double from [`FIRST`] to [`LONGEST`], with jitter, so that balancers that failed together do not
/// retry together.
pub struct Backoff {
    span: Duration,
    rng: WyRand,
}

const FIRST: Duration = Duration::from_secs(1);
const LONGEST: Duration = Duration::from_secs(60);
/// A wait is at least this share of its span.
const LEAST_SHARE: f64 = 0.75;

impl Backoff {
    /// `seed` is where the jitter starts from.
    pub fn new(seed: u64) -> Self {
        Backoff { span: FIRST, rng: WyRand::new_seed(seed) }
    }

    /// The wait before the next retry; the one after it will be twice as long.
    pub fn next_wait(&mut self) -> Duration {
        let share = LEAST_SHARE + (1.0 - LEAST_SHARE) * self.rng.generate::<f64>();
        let wait = self.span.mul_f64(share);
        self.span = (2 * self.span).min(LONGEST);
        wait
    }

    /// A try has succeeded.
    pub fn reset(&mut self) {
        self.span = FIRST;
    }
}
