//! The consumer of the updates of a hollow balancer. It keeps versions and revisions but no record values, and checks
//! that both increase.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use pondlb_control::{Digest, Key, Update, Version};

/// Dense indices of record keys, shared by all consumers of a process so that each key is stored once.
#[derive(Clone, Default)]
pub struct KeyIndices(Rc<RefCell<HashMap<Key, usize>>>);

impl KeyIndices {
    fn index_of(&self, key: &Key) -> usize {
        let mut indices = self.0.borrow_mut();
        if let Some(index) = indices.get(key) {
            return *index;
        }
        let index = indices.len();
        indices.insert(key.clone(), index);
        index
    }
}

/// The version and the record revisions that one balancer has in force.
pub struct Consumer {
    key_indices: KeyIndices,
    /// The revision of each record by the index of its key; 0 if there is none.
    revisions: Vec<u32>,
    version: Version,
    digest: Option<Digest>,
}

/// An update whose version or record revision does not increase. The control client must not deliver one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderViolation {
    /// The version of the update is not higher than the one in force.
    #[error("received version {new} after version {old}")]
    Version {
        /// The version in force.
        old: Version,
        /// The version of the update.
        new: Version,
    },
    /// The revision of a record is not higher than the one in force.
    #[error("{key}: received revision {new} after revision {old}")]
    Record {
        /// The key of the record.
        key: Key,
        /// The revision in force.
        old: u64,
        /// The revision in the update.
        new: u64,
    },
}

impl Consumer {
    /// Creates a consumer that has nothing in force.
    pub fn new(key_indices: KeyIndices) -> Consumer {
        Consumer { key_indices, revisions: Vec::new(), version: Version::default(), digest: None }
    }

    /// The version in force.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The digest of the records in force; `None` if no server's digest was compared at that version.
    pub fn digest(&self) -> Option<Digest> {
        self.digest
    }

    /// Puts an update in force.
    ///
    /// # Errors
    /// Returns the first version or revision that does not increase. The whole update is applied all the same, so that
    /// one fault is reported once.
    pub fn apply(&mut self, update: &Update) -> Result<(), OrderViolation> {
        let same_epoch = update.version.epoch == self.version.epoch;
        let mut result = self.check_version(update);
        self.version = update.version;
        self.digest = update.digest;
        for change in &update.changes {
            let index = self.key_indices.index_of(&change.key);
            if self.revisions.len() <= index {
                self.revisions.resize(index + 1, 0);
            }
            let (old, new) = (u64::from(self.revisions[index]), change.revision);
            // A repair or a snapshot removes records without giving the revision of their removal.
            let is_removal_without_revision = change.value.is_none() && new == 0;
            if same_epoch && new <= old && !is_removal_without_revision && result.is_ok() {
                result = Err(OrderViolation::Record { key: change.key.clone(), old, new });
            }
            self.revisions[index] = u32::try_from(new).unwrap_or(u32::MAX);
        }
        result
    }

    fn check_version(&self, update: &Update) -> Result<(), OrderViolation> {
        let (old, new) = (self.version, update.version);
        // A repair or a snapshot, which carries a digest, may correct records without raising the version.
        let is_correction = update.digest.is_some() && !update.changes.is_empty();
        if new > old || (is_correction && new == old) {
            Ok(())
        } else {
            Err(OrderViolation::Version { old, new })
        }
    }
}
