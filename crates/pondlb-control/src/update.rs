//! The updates that a replica passes to its consumer.

use crate::{Change, Digest, Version};

/// Changes that a consumer has to apply.
///
/// Complete states and repairs are passed on after their digest was verified, pages of changes as soon as they are
/// received. For a complete state or a repair the changes are the differences to the previous state; the records that
/// it removes have revision 0, as it is unknown which change removed them. An update without changes reports a newer
/// version, or the digest of a version that was reported without one.
#[derive(Clone, Debug)]
pub struct Update {
    /// The version after the changes.
    pub version: Version,
    /// The digest of all records after the changes; `None` if it was not compared with the server's.
    pub digest: Option<Digest>,
    /// Whether the changes lead to a complete new state, so that the versions in between are unknown.
    pub is_whole_state: bool,
    /// The changes, each of a different record.
    pub changes: Vec<Change>,
    /// Whether more changes follow immediately.
    pub has_more: bool,
}

impl Update {
    /// Divides the update into batches of at most `max_changes` changes, for consumers that apply a few at a time. The
    /// version is reached with the last batch, and only that one has the digest.
    pub fn into_batches(self, max_changes: usize) -> impl Iterator<Item = Update> {
        let Update { version, digest, is_whole_state, changes, has_more } = self;
        let batch_size = max_changes.max(1);
        let batch_count = changes.len().div_ceil(batch_size).max(1);
        let mut changes = changes.into_iter();
        (1..=batch_count).map(move |number| {
            let is_last = number == batch_count;
            Update {
                version,
                digest: digest.filter(|_| is_last),
                is_whole_state,
                changes: changes.by_ref().take(batch_size).collect(),
                has_more: has_more || !is_last,
            }
        })
    }
}
