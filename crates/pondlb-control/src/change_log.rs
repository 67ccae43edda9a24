//! Which record was changed last by which revision.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;

use crate::Key;

/// The last change of each record, removed ones included, in the order of revisions. Each revision is listed once.
#[derive(Debug)]
pub(crate) struct ChangeLog {
    last_changes: BTreeMap<u64, Key>,
    removed: HashMap<Key, u64>,
    tombstones: BTreeSet<u64>,
    most_tombstones: usize,
    complete_from: u64,
}

impl ChangeLog {
    /// A log without changes that remembers so many removed records.
    pub(crate) fn new(most_tombstones: usize) -> ChangeLog {
        ChangeLog {
            last_changes: BTreeMap::new(),
            removed: HashMap::new(),
            tombstones: BTreeSet::new(),
            most_tombstones,
            complete_from: 0,
        }
    }

    /// Forgets all: changes are known from this revision on.
    pub(crate) fn clear(&mut self, complete_from: u64) {
        *self = ChangeLog { complete_from, ..ChangeLog::new(self.most_tombstones) };
    }

    /// Whether all changes since a revision are known.
    pub(crate) fn is_complete_from(&self, revision: u64) -> bool {
        revision >= self.complete_from
    }

    /// Notes that a record was set; `before` is the revision that had set it.
    pub(crate) fn set(&mut self, key: &Key, revision: u64, before: Option<u64>) {
        self.forget(key, before);
        self.list(key, revision);
    }

    /// Notes that a record was removed; `before` is the revision that had set it.
    pub(crate) fn remove(&mut self, key: &Key, revision: u64, before: Option<u64>) {
        self.forget(key, before);
        if self.list(key, revision) {
            self.removed.insert(key.clone(), revision);
            self.tombstones.insert(revision);
            self.bound_tombstones();
        }
    }

    /// The changes since a revision.
    pub(crate) fn since(&self, revision: u64) -> impl Iterator<Item = (u64, &Key)> {
        let range = (Bound::Excluded(revision), Bound::Unbounded);
        self.last_changes.range(range).map(|(revision, key)| (*revision, key))
    }

    /// Lists the change unless its revision is unknown (0) or another record's: such a change only the comparison of
    /// digests brings to callers.
    fn list(&mut self, key: &Key, revision: u64) -> bool {
        let is_new = revision > 0 && !self.last_changes.contains_key(&revision);
        if is_new {
            self.last_changes.insert(revision, key.clone());
        }
        is_new
    }

    fn forget(&mut self, key: &Key, before: Option<u64>) {
        if let Some(revision) = self.removed.remove(key) {
            self.last_changes.remove(&revision);
            self.tombstones.remove(&revision);
        }
        if let Some(revision) = before.filter(|before| self.last_changes.get(before) == Some(key)) {
            self.last_changes.remove(&revision);
        }
    }

    fn bound_tombstones(&mut self) {
        while self.tombstones.len() > self.most_tombstones {
            let Some(oldest) = self.tombstones.pop_first() else { return };
            if let Some(key) = self.last_changes.remove(&oldest) {
                self.removed.remove(&key);
            }
            self.complete_from = self.complete_from.max(oldest);
        }
    }
}
