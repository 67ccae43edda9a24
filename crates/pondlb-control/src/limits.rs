//! What a store or replica takes at most.

/// Bounds on the records of a store or replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The most records.
    pub max_records: usize,
    /// The longest value, in bytes.
    pub max_value_bytes: usize,
    /// The most bytes of all keys and values. A replica, which holds no values, bounds by it what a
    /// staged snapshot holds of them.
    pub max_total_bytes: usize,
    /// How many removed records a store remembers; a caller that needs an older one takes a snapshot.
    pub max_tombstones: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_records: 200_000,
            max_value_bytes: 64 << 10,
            max_total_bytes: 256 << 20,
            max_tombstones: 100_000,
        }
    }
}

impl Limits {
    /// The bounds that hold while more changes follow, or at the end. Until then records may be held that are removed
    /// further on, beside those that came after them.
    pub(crate) fn for_page(&self, more: bool) -> Limits {
        if !more {
            return *self;
        }
        let records = self.max_records.saturating_mul(2);
        let total_bytes = self.max_total_bytes.saturating_mul(2);
        Limits { max_records: records, max_total_bytes: total_bytes, ..*self }
    }
}
