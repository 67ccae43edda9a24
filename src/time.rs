//! The unit of time of the decisions, and its conversions from and to nanoseconds.

/// A point in time or a duration, in whole tenths of a millisecond. Points in time count from an arbitrary
/// start.
pub type TenthMillis = u64;

const NS_PER_TENTH_MILLI: u64 = 100_000;

/// Rounds down: for readings of the clock, and for limits that must not be exceeded.
pub const fn ns_to_tenth_millis_floor(ns: u64) -> TenthMillis {
    ns / NS_PER_TENTH_MILLI
}

/// Rounds up: for durations that must have passed in full.
pub const fn ns_to_tenth_millis_ceil(ns: u64) -> TenthMillis {
    ns.div_ceil(NS_PER_TENTH_MILLI)
}

/// Saturates at the greatest number of nanoseconds.
pub const fn tenth_millis_to_ns(span: TenthMillis) -> u64 {
    span.saturating_mul(NS_PER_TENTH_MILLI)
}
