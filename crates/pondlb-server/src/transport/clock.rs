//! The clock that the whole program uses.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pondlb::{TenthMillis, ns_to_tenth_millis_floor, tenth_millis_to_ns};
use tokio::time::Instant;

/// A monotonic clock that counts in tenths of a millisecond.
///
/// It reads [`START_OFFSET`] when the program starts, so that the time at which an upstream's warm-up began can be
/// represented even when that was before the start.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_epoch: i64,
}

/// What the clock reads when the program starts: 24 hours.
const START_OFFSET: TenthMillis = 24 * 3600 * 10_000;

impl Clock {
    /// Starts the clock. The system clock is read only here: when it is stepped later, no deadline may move.
    pub fn start() -> Self {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix_time = i64::try_from(unix_time.as_micros() / 100).unwrap_or(i64::MAX);
        Clock { start: Instant::now(), unix_epoch: (START_OFFSET as i64).saturating_sub(unix_time) }
    }

    /// The current time.
    pub fn now(&self) -> TenthMillis {
        self.time_of(Instant::now())
    }

    /// This clock's time at an instant. An instant before the start counts as the start.
    pub fn time_of(&self, instant: Instant) -> TenthMillis {
        let since_start = instant.saturating_duration_since(self.start);
        START_OFFSET + ns_to_tenth_millis_floor(since_start.as_nanos() as u64)
    }

    /// The instant at which this clock reads `time`. A time before the start counts as the start.
    pub fn instant_of(&self, time: TenthMillis) -> Instant {
        self.start + tenth_millis_to_duration(time.saturating_sub(START_OFFSET))
    }

    /// This clock's time at the Unix epoch, in tenths of a millisecond. It is negative.
    pub fn unix_epoch(&self) -> i64 {
        self.unix_epoch
    }
}

/// Converts a span in tenths of a millisecond to a [`Duration`].
pub fn tenth_millis_to_duration(span: TenthMillis) -> Duration {
    Duration::from_nanos(tenth_millis_to_ns(span))
}
