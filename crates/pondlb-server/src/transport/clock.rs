//! The one clock of the program.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pondlb::{TenthMillis, ns_to_tenth_millis_floor, tenth_millis_to_ns};
use tokio::time::Instant;

/// The monotonic clock, in the decisions' unit. It starts late enough that whatever an upstream may still be
/// cold from lies after its zero.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_start: i64,
}

const BEFORE: TenthMillis = 24 * 3600 * 10_000;

impl Clock {
    /// The system's clock is read this once: a step of it later must not move any limit.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix = i64::try_from(unix.as_micros() / 100).unwrap_or(i64::MAX);
        Clock { start: Instant::now(), unix_start: (BEFORE as i64).saturating_sub(unix) }
    }

    pub fn now(&self) -> TenthMillis {
        self.at(Instant::now())
    }

    /// The time of an instant; one before the start counts as the start.
    pub fn at(&self, instant: Instant) -> TenthMillis {
        let since = instant.saturating_duration_since(self.start);
        BEFORE + ns_to_tenth_millis_floor(since.as_nanos() as u64)
    }

    pub fn instant(&self, at: TenthMillis) -> Instant {
        self.start + span(at.saturating_sub(BEFORE))
    }

    /// This clock's time when Unix time began.
    pub fn unix_start(&self) -> i64 {
        self.unix_start
    }
}

pub fn span(tenths: TenthMillis) -> Duration {
    Duration::from_nanos(tenth_millis_to_ns(tenths))
}
