//! Which control server to ask, and how long to wait before the next one.

use std::time::Duration;

use nanorand::{Rng, WyRand};

/// The longest wait after a first failure; doubles with each whole round of failures.
const INITIAL_MAX_BACKOFF: Duration = Duration::from_millis(100);

/// The longest wait of all.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// When a caller that is away from home returns.
const FAILBACK_DELAY_MS: std::ops::RangeInclusive<u64> = 30_000..=90_000;

/// A caller's way through the control servers: its home first, then the others in an order of its own. Callers of one
/// home have even parts of the other servers second, and a random order behind that: where many servers are lost
/// together, their callers spread over all that are left, and do not gather at the next one in line.
#[derive(Debug)]
pub struct Rotation {
    /// All servers in the order of this caller, its home first; never empty.
    order: Vec<usize>,
    /// How many servers on from home it is.
    position: usize,
    /// How many calls have failed since the last that succeeded.
    consecutive_failures: usize,
    random: WyRand,
}

impl Rotation {
    /// The way of the caller of this number, through so many servers. Callers with consecutive numbers spread evenly.
    pub fn new(servers: usize, number: u64, seed: u64) -> Rotation {
        let mut random = WyRand::new_seed(seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let order = server_order(servers.max(1), number, &mut random);
        Rotation { order, position: 0, consecutive_failures: 0, random }
    }

    /// Which server to ask.
    pub fn current_server(&self) -> usize {
        self.order[self.position]
    }

    /// Goes on to the next server after a failed call, and says how long to wait first.
    pub fn fail_over(&mut self) -> Duration {
        let rounds = (self.consecutive_failures / self.order.len()).min(16) as u32;
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.position = (self.position + 1) % self.order.len();
        let max_backoff_us = (INITIAL_MAX_BACKOFF * 2u32.pow(rounds)).min(MAX_BACKOFF).as_micros() as u64;
        Duration::from_micros(self.random.generate_range(max_backoff_us / 2..=max_backoff_us))
    }

    /// Notes that the server has answered well.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// When to return home, if another server is asked now.
    pub fn failback_delay(&mut self) -> Option<Duration> {
        let is_away = self.position != 0;
        is_away.then(|| Duration::from_millis(self.random.generate_range(FAILBACK_DELAY_MS)))
    }

    /// Asks the home server again.
    pub fn fail_back(&mut self) {
        self.position = 0;
    }
}

fn server_order(servers: usize, number: u64, random: &mut WyRand) -> Vec<usize> {
    let home = (number % servers as u64) as usize;
    let mut order: Vec<usize> = (0..servers).map(|step| (home + step) % servers).collect();
    if let [_, others @ ..] = order.as_mut_slice()
        && !others.is_empty()
    {
        let second = (number / servers as u64 % others.len() as u64) as usize;
        others.swap(0, second);
        random.shuffle(&mut others[1..]);
    }
    order
}
