//! Time as the decisions count it.

/// A point or a span of time in whole tenths of a millisecond. Points count from an arbitrary start.
pub type TenthMillis = u64;

const NS_PER_TENTH_MILLI: u64 = 100_000;

/// For the clock and for every limit that must not be overrun.
pub const fn ns_to_tenth_millis_floor(ns: u64) -> TenthMillis {
    ns / NS_PER_TENTH_MILLI
}

/// For every interval that must have passed in full.
pub const fn ns_to_tenth_millis_ceil(ns: u64) -> TenthMillis {
    ns.div_ceil(NS_PER_TENTH_MILLI)
}

pub const fn tenth_millis_to_ns(span: TenthMillis) -> u64 {
    span.saturating_mul(NS_PER_TENTH_MILLI)
}
