//! Which record was changed last by which revision.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;

use crate::Key;

/// The last change of each record, removed ones included, in the order of revisions. Each revision is listed once.
#[derive(Debug)]
pub(crate) struct ChangeLog {
    keys_by_revision: BTreeMap<u64, Key>,
    removal_revisions: HashMap<Key, u64>,
    tombstone_revisions: BTreeSet<u64>,
    max_tombstones: usize,
    complete_since: u64,
}

impl ChangeLog {
    /// A log without changes that remembers so many removed records.
    pub(crate) fn new(most_tombstones: usize) -> ChangeLog {
        ChangeLog {
            keys_by_revision: BTreeMap::new(),
            removal_revisions: HashMap::new(),
            tombstone_revisions: BTreeSet::new(),
            max_tombstones: most_tombstones,
            complete_since: 0,
        }
    }

    /// Forgets all: changes are known from this revision on.
    pub(crate) fn clear(&mut self, complete_from: u64) {
        *self = ChangeLog { complete_since: complete_from, ..ChangeLog::new(self.max_tombstones) };
    }

    /// Whether all changes since a revision are known.
    pub(crate) fn is_complete_since(&self, revision: u64) -> bool {
        revision >= self.complete_since
    }

    /// Notes that a record was set; `before` is the revision that had set it.
    pub(crate) fn record_set(&mut self, key: &Key, revision: u64, previous_revision: Option<u64>) {
        self.remove_previous(key, previous_revision);
        self.append(key, revision);
    }

    /// Notes that a record was removed; `before` is the revision that had set it.
    pub(crate) fn record_removal(&mut self, key: &Key, revision: u64, previous_revision: Option<u64>) {
        self.remove_previous(key, previous_revision);
        if self.append(key, revision) {
            self.removal_revisions.insert(key.clone(), revision);
            self.tombstone_revisions.insert(revision);
            self.evict_oldest_tombstones();
        }
    }

    /// The changes since a revision.
    pub(crate) fn changes_since(&self, revision: u64) -> impl Iterator<Item = (u64, &Key)> {
        let range = (Bound::Excluded(revision), Bound::Unbounded);
        self.keys_by_revision.range(range).map(|(revision, key)| (*revision, key))
    }

    /// Lists the change unless its revision is unknown (0) or another record's: such a change only the comparison of
    /// digests brings to callers.
    fn append(&mut self, key: &Key, revision: u64) -> bool {
        let is_new = revision > 0 && !self.keys_by_revision.contains_key(&revision);
        if is_new {
            self.keys_by_revision.insert(revision, key.clone());
        }
        is_new
    }

    fn remove_previous(&mut self, key: &Key, previous_revision: Option<u64>) {
        if let Some(revision) = self.removal_revisions.remove(key) {
            self.keys_by_revision.remove(&revision);
            self.tombstone_revisions.remove(&revision);
        }
        if let Some(revision) =
            previous_revision.filter(|before| self.keys_by_revision.get(before) == Some(key))
        {
            self.keys_by_revision.remove(&revision);
        }
    }

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
