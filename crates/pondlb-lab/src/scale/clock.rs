//! The clock that all processes of a run share.

use rustix::time::{ClockId, clock_gettime};

/// The time of the machine's monotonic clock in microseconds. It is the same for all processes of the machine.
pub fn now_us() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let microseconds = u64::try_from(now.tv_nsec / 1000).unwrap_or_default();
    seconds * 1_000_000 + microseconds
}
