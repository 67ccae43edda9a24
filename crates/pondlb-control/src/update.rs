//! What a replica hands to its consumer.

use crate::{Change, Digest, Version};

/// Changes that a consumer puts in force.
///
/// Whole states and repairs come verified by their digest, pieces of changes as they are taken. For a whole state or
/// a repair the changes are the difference to what was held before; records that it removes have the revision 0, as
/// nobody has told which change removed them. An update without changes tells a newer version, or the digest of a
/// version that came without one.
#[derive(Clone, Debug)]
pub struct Update {
    /// The version that holds once the changes are in force.
    pub version: Version,
    /// The digest of all records, where it was compared.
    pub digest: Option<Digest>,
    /// The difference to a whole new state: versions between are unknown.
    pub is_whole_state: bool,
    /// What to change, each record once.
    pub changes: Vec<Change>,
    /// More follows at once.
    pub has_more: bool,
}

impl Update {
    /// The same update in slices of `most` changes, for consumers that apply a few at a time. The version holds, and
    /// the digest is told, with the last one.
    pub fn into_batches(self, max_changes: usize) -> impl Iterator<Item = Update> {
        let Update { version, digest, is_whole_state: whole, changes, has_more: more } = self;
        let most = max_changes.max(1);
        let slices = changes.len().div_ceil(most).max(1);
        let mut changes = changes.into_iter();
        (1..=slices).map(move |number| {
            let is_last = number == slices;
            Update {
                version,
                digest: digest.filter(|_| is_last),
                is_whole_state: whole,
                changes: changes.by_ref().take(most).collect(),
                has_more: more || !is_last,
            }
        })
    }
}
