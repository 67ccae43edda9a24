//! The consumer of a hollow balancer: it holds versions and revisions only, and checks their order.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use pondlb_control::{Digest, Key, Update, Version};

/// Numbers for keys, shared by the consumers of a process.
#[derive(Clone, Default)]
pub struct KeyNumbers(Rc<RefCell<HashMap<Key, usize>>>);

impl KeyNumbers {
    fn number(&self, key: &Key) -> usize {
        let mut numbers = self.0.borrow_mut();
        if let Some(number) = numbers.get(key) {
            return *number;
        }
        let number = numbers.len();
        numbers.insert(key.clone(), number);
        number
    }
}

/// What the consumer of one balancer has put in force.
pub struct Consumer {
    keys: KeyNumbers,
    /// The revision of each record, by the number of its key; 0 for none.
    revisions: Vec<u32>,
    version: Version,
    digest: Option<Digest>,
}

/// Something that must not reach a consumer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Misorder {
    /// The version does not ascend.
    #[error("version {new} came after {old}")]
    Version {
        /// What is in force.
        old: Version,
        /// What came.
        new: Version,
    },
    /// The revision of a record does not ascend.
    #[error("{key} at revision {new} came after its revision {old}")]
    Record {
        /// Which record.
        key: Key,
        /// What is in force.
        old: u64,
        /// What came.
        new: u64,
    },
}

impl Consumer {
    /// Nothing in force.
    pub fn new(keys: KeyNumbers) -> Consumer {
        Consumer { keys, revisions: Vec::new(), version: Version::default(), digest: None }
    }

    /// What is in force.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The digest of what is in force; none where no server's digest was compared at that version.
    pub fn digest(&self) -> Option<Digest> {
        self.digest
    }

    /// Puts an update in force.
    ///
    /// # Errors
    /// Where it is applied twice or backwards; the rest of it is taken all the same, so that one fault is told once.
    pub fn take(&mut self, update: &Update) -> Result<(), Misorder> {
        let same_epoch = update.version.epoch == self.version.epoch;
        let mut checked = self.check_version(update);
        self.version = update.version;
        self.digest = update.digest;
        for change in &update.changes {
            let number = self.keys.number(&change.key);
            if self.revisions.len() <= number {
                self.revisions.resize(number + 1, 0);
            }
            let (old, new) = (u64::from(self.revisions[number]), change.revision);
            // Nobody tells the revision of a removal that a repair or a whole state brings.
            let is_untold_removal = change.value.is_none() && new == 0;
            if same_epoch && new <= old && !is_untold_removal && checked.is_ok() {
                checked = Err(Misorder::Record { key: change.key.clone(), old, new });
            }
            self.revisions[number] = u32::try_from(new).unwrap_or(u32::MAX);
        }
        checked
    }

    fn check_version(&self, update: &Update) -> Result<(), Misorder> {
        let (old, new) = (self.version, update.version);
        // A repair and a whole state, which come with a digest, may mend records and leave the version as it is.
        let mends = update.digest.is_some() && !update.changes.is_empty();
        if new > old || (mends && new == old) { Ok(()) } else { Err(Misorder::Version { old, new }) }
    }
}
