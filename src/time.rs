//! Time as the decisions count it.

/// A point or a span of time in whole tenths of a millisecond. Points count from an arbitrary start.
pub type Tenths = u64;

const NS: u64 = 100_000;

/// For the clock and for every limit that must not be overrun.
pub const fn floor_from_ns(ns: u64) -> Tenths {
    ns / NS
}

/// For every interval that must have passed in full.
pub const fn ceil_from_ns(ns: u64) -> Tenths {
    ns.div_ceil(NS)
}

pub const fn to_ns(span: Tenths) -> u64 {
    span.saturating_mul(NS)
}
