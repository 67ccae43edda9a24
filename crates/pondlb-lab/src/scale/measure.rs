//! From a change's commit to in force at each balancer, and bytes by time. No I/O.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::message::{ByteCounts, InForce};

/// The longest time that is told apart, in microseconds.
const MOST_US: u64 = 600_000_000;
const US_PER_SECOND: f64 = 1e6;
/// Bytes are counted in windows of so many seconds.
pub const WINDOW_SECONDS: u64 = 10;
/// Windows of a minute.
const MINUTE_WINDOWS: usize = 6;

/// A commit that the origin took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Committed {
    /// The phase that it belongs to.
    pub phase: usize,
    /// When the run began to ask for it, by the machine's clock.
    pub at_us: u64,
    /// The revision of its first change.
    pub first: u64,
    /// The revision of its last change.
    pub last: u64,
}

/// How long changes took to be in force, over pairs of a change and a balancer.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Pairs in which it came in force.
    pub pairs: u64,
    /// Pairs in which it never did.
    pub never: u64,
    /// Milliseconds that half of the pairs took at most.
    pub p50_ms: f64,
    /// Milliseconds that 99 in 100 took at most.
    pub p99_ms: f64,
    /// Milliseconds of the slowest.
    pub most_ms: f64,
}

/// Counts pairs of a change and a balancer.
pub struct Times {
    histogram: Option<Histogram<u64>>,
    never: u64,
}

impl Default for Times {
    fn default() -> Self {
        Times { histogram: Histogram::new_with_bounds(1, MOST_US, 3).ok(), never: 0 }
    }
}

impl Times {
    /// Adds one balancer: `series` holds its versions in the order of their times, `commits` are in the order of their
    /// revisions. A restarted balancer begins below what it had; that does not make an older change new.
    pub fn add(&mut self, commits: &[Committed], series: &[InForce]) {
        let (mut next, mut reached) = (0, 0);
        for commit in commits {
            for revision in commit.first..=commit.last {
                while reached < revision && next < series.len() {
                    reached = reached.max(series[next].revision);
                    next += 1;
                }
                if reached < revision {
                    self.never += 1;
                    continue;
                }
                let at_us = next.checked_sub(1).map_or(commit.at_us, |last| series[last].at_us);
                if let Some(histogram) = &mut self.histogram {
                    histogram.saturating_record(at_us.saturating_sub(commit.at_us).max(1));
                }
            }
        }
    }

    /// What was counted.
    pub fn spread(&self) -> Spread {
        let Some(times) = &self.histogram else { return Spread::default() };
        let milliseconds = |us: u64| us as f64 / 1000.0;
        Spread {
            pairs: times.len(),
            never: self.never,
            p50_ms: milliseconds(times.value_at_quantile(0.5)),
            p99_ms: milliseconds(times.value_at_quantile(0.99)),
            most_ms: milliseconds(times.max()),
        }
    }
}

/// Bytes a second of a balancer, both ways.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Rates {
    /// From control servers, over all balancers and the whole time.
    pub mean_received: f64,
    /// To control servers.
    pub mean_sent: f64,
    /// Both ways, over all balancers, in the worst window of ten seconds.
    pub worst_window: f64,
    /// Both ways, over all balancers, in the worst minute; none where the run is shorter.
    pub worst_minute: Option<f64>,
    /// Both ways, of one balancer in its worst window of ten seconds.
    pub worst_balancer_window: f64,
}

/// Bytes of balancers, as their counters were read.
#[derive(Default)]
pub struct ByteLedger {
    /// For each balancer, in the order of the readings: when, and bytes received and sent so far.
    readings: BTreeMap<u32, Vec<(u64, u64, u64)>>,
}

impl ByteLedger {
    /// Notes the counters of some balancers.
    pub fn note(&mut self, traffic: &ByteCounts) {
        for bytes in &traffic.balancers {
            let readings = self.readings.entry(bytes.balancer).or_default();
            readings.push((traffic.at_us, bytes.received, bytes.sent));
        }
    }

    /// The rates between two moments.
    pub fn rates(&self, from_us: u64, to_us: u64) -> Rates {
        let (mut received, mut sent, mut seconds, mut worst_balancer) = (0.0, 0.0, 0.0, 0.0_f64);
        let mut windows: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
        for readings in self.readings.values() {
            let within = readings.iter().filter(|(at, ..)| (from_us..=to_us).contains(at));
            let within: Vec<_> = within.collect();
            for two in within.windows(2) {
                let ((from, old_in, old_out), (to, new_in, new_out)) = (two[0], two[1]);
                let took = (to - from) as f64 / US_PER_SECOND;
                let came = new_in.saturating_sub(*old_in) as f64;
                let left = new_out.saturating_sub(*old_out) as f64;
                received += came;
                sent += left;
                seconds += took;
                // A short last reading says little of ten seconds.
                if took >= WINDOW_SECONDS as f64 / 2.0 {
                    worst_balancer = worst_balancer.max((came + left) / took);
                    let window = windows.entry(to / (WINDOW_SECONDS * 1_000_000)).or_default();
                    window.0 += came + left;
                    window.1 += took;
                }
            }
        }
        let sums: Vec<(f64, f64)> = windows.into_values().collect();
        let rate = |sums: &[(f64, f64)]| {
            let (bytes, seconds) = sums.iter().fold((0.0, 0.0), |all, one| (all.0 + one.0, all.1 + one.1));
            if seconds > 0.0 { bytes / seconds } else { 0.0 }
        };
        Rates {
            mean_received: if seconds > 0.0 { received / seconds } else { 0.0 },
            mean_sent: if seconds > 0.0 { sent / seconds } else { 0.0 },
            worst_window: sums.chunks(1).map(rate).fold(0.0, f64::max),
            worst_minute: sums.windows(MINUTE_WINDOWS).map(rate).reduce(f64::max),
            worst_balancer_window: worst_balancer,
        }
    }
}
