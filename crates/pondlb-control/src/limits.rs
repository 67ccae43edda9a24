//! What a store or replica takes at most.

/// Bounds on the records of a store or replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The most records.
    pub records: usize,
    /// The longest value, in bytes.
    pub value_bytes: usize,
    /// The most bytes of all keys and values. A replica, which holds no values, bounds by it what a
    /// staged snapshot holds of them.
    pub total_bytes: usize,
    /// How many removed records a store remembers; a caller that needs an older one takes a snapshot.
    pub tombstones: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { records: 200_000, value_bytes: 64 << 10, total_bytes: 256 << 20, tombstones: 100_000 }
    }
}

impl Limits {
    /// The bounds that hold while more changes follow, or at the end. Until then records may be held that are removed
    /// further on, beside those that came after them.
    pub(crate) fn at_piece(&self, more: bool) -> Limits {
        if !more {
            return *self;
        }
        let records = self.records.saturating_mul(2);
        let total_bytes = self.total_bytes.saturating_mul(2);
        Limits { records, total_bytes, ..*self }
    }
}
