//! How long changes take from their commit until they are in force at each balancer, and how many bytes balancers move
//! over time. No I/O.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::message::{ByteCounts, InForce};

/// The largest propagation time that the histogram distinguishes, in microseconds; longer ones count as this.
const MAX_RECORDED_TIME_US: u64 = 600_000_000;
const US_PER_SECOND: f64 = 1e6;
/// The length of the windows in which bytes are counted, in seconds.
pub const WINDOW_SECONDS: u64 = 10;
/// The number of windows in a minute.
const WINDOWS_PER_MINUTE: usize = 6;

/// A commit that the origin accepted. Its changes have consecutive revisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Commit {
    /// The number of the phase in which it was made.
    pub phase: usize,
    /// When the run sent the request to the origin, by the monotonic clock in microseconds.
    pub requested_at_us: u64,
    /// The revision of its first change.
    pub first_revision: u64,
    /// The revision of its last change.
    pub last_revision: u64,
}

/// The times from commit to in force, over all pairs of a change and a balancer.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PropagationTimes {
    /// Pairs in which the change came in force.
    pub pairs: u64,
    /// Pairs in which the change never came in force.
    pub never: u64,
    /// The median, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// The maximum, in milliseconds.
    pub most_ms: f64,
}

/// Records the time from commit to in force for pairs of a change and a balancer.
pub struct PropagationRecorder {
    histogram: Option<Histogram<u64>>,
    never: u64,
}

impl Default for PropagationRecorder {
    fn default() -> Self {
        PropagationRecorder {
            histogram: Histogram::new_with_bounds(1, MAX_RECORDED_TIME_US, 3).ok(),
            never: 0,
        }
    }
}

impl PropagationRecorder {
    /// Adds one balancer for all of these commits. `series` holds its versions in the order of time; `commits` are in the
    /// order of their revisions. After a restart a balancer takes lower revisions again; a change that was in force
    /// before counts with its first time.
    pub fn add_balancer(&mut self, commits: &[Commit], series: &[InForce]) {
        let (mut next, mut highest_revision) = (0, 0);
        for commit in commits {
            for revision in commit.first_revision..=commit.last_revision {
                while highest_revision < revision && next < series.len() {
                    highest_revision = highest_revision.max(series[next].revision);
                    next += 1;
                }
                if highest_revision < revision {
                    self.never += 1;
                    continue;
                }
                let at_us = next.checked_sub(1).map_or(commit.requested_at_us, |last| series[last].at_us);
                if let Some(histogram) = &mut self.histogram {
                    histogram.saturating_record(at_us.saturating_sub(commit.requested_at_us).max(1));
                }
            }
        }
    }

    /// The distribution of the recorded times.
    pub fn summary(&self) -> PropagationTimes {
        let Some(times) = &self.histogram else { return PropagationTimes::default() };
        let milliseconds = |us: u64| us as f64 / 1000.0;
        PropagationTimes {
            pairs: times.len(),
            never: self.never,
            p50_ms: milliseconds(times.value_at_quantile(0.5)),
            p99_ms: milliseconds(times.value_at_quantile(0.99)),
            most_ms: milliseconds(times.max()),
        }
    }
}

/// The traffic of a balancer with control servers, in bytes per second.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ByteRates {
    /// The mean received from control servers, over all balancers and the whole time.
    pub mean_received: f64,
    /// The mean sent to control servers, over all balancers and the whole time.
    pub mean_sent: f64,
    /// The mean over all balancers in both directions, in the window of ten seconds with the most traffic.
    pub worst_window: f64,
    /// The mean over all balancers in both directions, in the minute with the most traffic; `None` if the run is shorter.
    pub worst_minute: Option<f64>,
    /// The highest rate of any single balancer in both directions, over about ten seconds.
    pub worst_balancer_window: f64,
}

/// A reading of the byte counters of one balancer.
#[derive(Clone, Copy, Debug)]
struct CounterReading {
    at_us: u64,
    received: u64,
    sent: u64,
}

/// Bytes and balancer-seconds that are summed over balancers.
#[derive(Clone, Copy, Debug, Default)]
struct ByteSum {
    bytes: f64,
    seconds: f64,
}

/// The byte counters of balancers, as they were read over time.
#[derive(Default)]
pub struct ByteLedger {
    /// The readings of each balancer in the order of time.
    readings: BTreeMap<u32, Vec<CounterReading>>,
}

impl ByteLedger {
    /// Adds a reading of the counters of several balancers.
    pub fn record(&mut self, counts: &ByteCounts) {
        for bytes in &counts.balancers {
            let readings = self.readings.entry(bytes.balancer).or_default();
            readings.push(CounterReading { at_us: counts.at_us, received: bytes.received, sent: bytes.sent });
        }
    }

    /// The rates between two times of the monotonic clock.
    pub fn rates(&self, from_us: u64, to_us: u64) -> ByteRates {
        let (mut received, mut sent, mut seconds, mut worst_balancer) = (0.0, 0.0, 0.0, 0.0_f64);
        let mut windows: BTreeMap<u64, ByteSum> = BTreeMap::new();
        for readings in self.readings.values() {
            let within = readings.iter().filter(|reading| (from_us..=to_us).contains(&reading.at_us));
            let within: Vec<&CounterReading> = within.collect();
            for pair in within.windows(2) {
                let (old, new) = (pair[0], pair[1]);
                let elapsed_seconds = (new.at_us - old.at_us) as f64 / US_PER_SECOND;
                let bytes_received = new.received.saturating_sub(old.received) as f64;
                let bytes_sent = new.sent.saturating_sub(old.sent) as f64;
                received += bytes_received;
                sent += bytes_sent;
                seconds += elapsed_seconds;
                // The last interval may be much shorter than a window; its rate does not compare with that of a window.
                if elapsed_seconds >= WINDOW_SECONDS as f64 / 2.0 {
                    worst_balancer = worst_balancer.max((bytes_received + bytes_sent) / elapsed_seconds);
                    let window = windows.entry(new.at_us / (WINDOW_SECONDS * 1_000_000)).or_default();
                    window.bytes += bytes_received + bytes_sent;
                    window.seconds += elapsed_seconds;
                }
            }
        }
        let windows: Vec<ByteSum> = windows.into_values().collect();
        let rate = |windows: &[ByteSum]| {
            let total = windows.iter().fold(ByteSum::default(), |total, window| ByteSum {
                bytes: total.bytes + window.bytes,
                seconds: total.seconds + window.seconds,
            });
            if total.seconds > 0.0 { total.bytes / total.seconds } else { 0.0 }
        };
        ByteRates {
            mean_received: if seconds > 0.0 { received / seconds } else { 0.0 },
            mean_sent: if seconds > 0.0 { sent / seconds } else { 0.0 },
            worst_window: windows.chunks(1).map(rate).fold(0.0, f64::max),
            worst_minute: windows.windows(WINDOWS_PER_MINUTE).map(rate).reduce(f64::max),
            worst_balancer_window: worst_balancer,
        }
    }
}
