//! Selection of the control server to use: failover with backoff, and failback to the preferred server.

use std::time::Duration;

use nanorand::{Rng, WyRand};

/// The maximum backoff after the first failures. It doubles whenever all servers have failed once more.
const INITIAL_MAX_BACKOFF: Duration = Duration::from_millis(100);

/// The upper bound of the maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// The maximum number of doublings that are computed, to avoid an overflow. [`MAX_BACKOFF`] is reached with fewer.
const MAX_BACKOFF_DOUBLINGS: usize = 16;

/// Spreads the seeds of callers with consecutive numbers over all bits: 2^64 divided by the golden ratio.
const CALLER_SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The range of random delays, in milliseconds, after which a caller returns to its preferred server.
const FAILBACK_DELAY_MS: std::ops::RangeInclusive<u64> = 30_000..=90_000;

/// The order in which a caller tries the control servers: its preferred server first, then the others in an order of
/// its own.
///
/// Callers with the same preferred server are divided evenly among the other servers for the second place, and have the
/// rest in random order. If many servers fail together, their callers thus spread over all remaining servers instead of
/// all moving to the next one in the list.
#[derive(Debug)]
pub struct Rotation {
    /// The indices of all servers in the caller's order, the preferred one first; never empty.
    server_order: Vec<usize>,
    /// The position of the current server in the order.
    position: usize,
    /// The number of failed calls since the last successful one.
    consecutive_failures: usize,
    /// The source of the server order and of jitter in delays.
    random: WyRand,
}

impl Rotation {
    /// Creates the rotation of a caller. Callers with consecutive numbers are divided evenly among the servers.
    pub fn new(server_count: usize, caller_number: u64, seed: u64) -> Rotation {
        let mut random = WyRand::new_seed(seed ^ caller_number.wrapping_mul(CALLER_SEED_MULTIPLIER));
        let order = server_order(server_count.max(1), caller_number, &mut random);
        Rotation { server_order: order, position: 0, consecutive_failures: 0, random }
    }

    /// The index of the server to use.
    pub fn current_server(&self) -> usize {
        self.server_order[self.position]
    }

    /// Moves on to the next server after a failed call and returns the time to wait before using it.
    pub fn fail_over(&mut self) -> Duration {
        let failed_rounds =
            (self.consecutive_failures / self.server_order.len()).min(MAX_BACKOFF_DOUBLINGS) as u32;
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.position = (self.position + 1) % self.server_order.len();
        let max_backoff_us =
            (INITIAL_MAX_BACKOFF * 2u32.pow(failed_rounds)).min(MAX_BACKOFF).as_micros() as u64;
        Duration::from_micros(self.random.generate_range(max_backoff_us / 2..=max_backoff_us))
    }

    /// Records a successful call, which resets the backoff.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// A random delay after which to return to the preferred server; `None` if it is the current one.
    pub fn failback_delay(&mut self) -> Option<Duration> {
        let has_failed_over = self.position != 0;
        has_failed_over.then(|| Duration::from_millis(self.random.generate_range(FAILBACK_DELAY_MS)))
    }

    /// Returns to the preferred server.
    pub fn fail_back(&mut self) {
        self.position = 0;
    }
}

/// The order in which a caller tries the servers.
fn server_order(server_count: usize, caller_number: u64, random: &mut WyRand) -> Vec<usize> {
    let preferred = (caller_number % server_count as u64) as usize;
    let mut order: Vec<usize> = (0..server_count).map(|step| (preferred + step) % server_count).collect();
    if let [_, others @ ..] = order.as_mut_slice()
        && !others.is_empty()
    {
        let second = (caller_number / server_count as u64 % others.len() as u64) as usize;
        others.swap(0, second);
        random.shuffle(&mut others[1..]);
    }
    order
}
