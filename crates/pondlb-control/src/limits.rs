//! Size limits of stores and replicas.

/// Upper bounds on the records of a store or replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of records.
    pub max_records: usize,
    /// The maximum length of a value, in bytes.
    pub max_value_bytes: usize,
    /// The maximum total size of keys and values, in bytes. A replica, which does not keep values, applies it to the
    /// changed records that a staged snapshot contains.
    pub max_total_bytes: usize,
    /// The maximum number of removed records that a store lists in its change log. A follower that needs the removal of
    /// an older one has to read a snapshot.
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
    /// The limits after applying one page. While more pages follow, the record count and the total size may be twice as
    /// large: records that a later page removes are still present next to those that were added after them.
    pub(crate) fn for_page(&self, has_more: bool) -> Limits {
        if !has_more {
            return *self;
        }
        let records = self.max_records.saturating_mul(2);
        let total_bytes = self.max_total_bytes.saturating_mul(2);
        Limits { max_records: records, max_total_bytes: total_bytes, ..*self }
    }
}
