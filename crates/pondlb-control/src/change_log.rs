//! The change log of a store: which revision changed each record last.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;

use crate::Key;

/// The last change of each record in the order of revisions, including removed records up to a maximum number of
/// tombstones. Each revision is listed once.
#[derive(Debug)]
pub(crate) struct ChangeLog {
    /// The record that each listed revision changed.
    keys_by_revision: BTreeMap<u64, Key>,
    /// The removed records that are listed, with the revisions that removed them.
    removal_revisions: HashMap<Key, u64>,
    /// The same revisions, in order, to evict the oldest first.
    tombstone_revisions: BTreeSet<u64>,
    /// The maximum number of removed records that are listed.
    max_tombstones: usize,
    /// All changes after this revision are listed.
    complete_since: u64,
}

impl ChangeLog {
    /// An empty log that keeps at most `max_tombstones` removed records.
    pub(crate) fn new(max_tombstones: usize) -> ChangeLog {
        ChangeLog {
            keys_by_revision: BTreeMap::new(),
            removal_revisions: HashMap::new(),
            tombstone_revisions: BTreeSet::new(),
            max_tombstones,
            complete_since: 0,
        }
    }

    /// Removes all entries; the log is complete for changes after this revision.
    pub(crate) fn clear(&mut self, complete_since: u64) {
        *self = ChangeLog { complete_since, ..ChangeLog::new(self.max_tombstones) };
    }

    /// Whether the log lists all changes after this revision.
    pub(crate) fn is_complete_since(&self, revision: u64) -> bool {
        revision >= self.complete_since
    }

    /// Records that a revision set a record. `previous_revision` is the one that had set it before, if it existed.
    pub(crate) fn record_set(&mut self, key: &Key, revision: u64, previous_revision: Option<u64>) {
        self.remove_previous(key, previous_revision);
        self.append(key, revision);
    }

    /// Records that a revision removed a record. `previous_revision` is the one that had set it, if it existed.
    pub(crate) fn record_removal(&mut self, key: &Key, revision: u64, previous_revision: Option<u64>) {
        self.remove_previous(key, previous_revision);
        if self.append(key, revision) {
            self.removal_revisions.insert(key.clone(), revision);
            self.tombstone_revisions.insert(revision);
            self.evict_oldest_tombstones();
        }
    }

    /// The changes after a revision, in ascending order.
    pub(crate) fn changes_since(&self, revision: u64) -> impl Iterator<Item = (u64, &Key)> {
        let range = (Bound::Excluded(revision), Bound::Unbounded);
        self.keys_by_revision.range(range).map(|(revision, key)| (*revision, key))
    }

    /// Lists a change and returns whether it was listed. A change whose revision is unknown (0) or already belongs to
    /// another record is not listed; followers receive it by the repair that a digest mismatch starts.
    fn append(&mut self, key: &Key, revision: u64) -> bool {
        let is_new = revision > 0 && !self.keys_by_revision.contains_key(&revision);
        if is_new {
            self.keys_by_revision.insert(revision, key.clone());
        }
        is_new
    }

    /// Removes the entry of an earlier change of the record.
    fn remove_previous(&mut self, key: &Key, previous_revision: Option<u64>) {
        if let Some(revision) = self.removal_revisions.remove(key) {
            self.keys_by_revision.remove(&revision);
            self.tombstone_revisions.remove(&revision);
        }
        if let Some(revision) =
            previous_revision.filter(|previous| self.keys_by_revision.get(previous) == Some(key))
        {
            self.keys_by_revision.remove(&revision);
        }
    }

    /// Removes the oldest tombstones until the maximum is kept. The log is then complete only after the last of them.
    fn evict_oldest_tombstones(&mut self) {
        while self.tombstone_revisions.len() > self.max_tombstones {
            let Some(oldest) = self.tombstone_revisions.pop_first() else { return };
            if let Some(key) = self.keys_by_revision.remove(&oldest) {
                self.removal_revisions.remove(&key);
            }
            self.complete_since = self.complete_since.max(oldest);
        }
    }
}
