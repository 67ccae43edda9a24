//! Keys that many replicas hold, in one allocation each.

use std::cell::RefCell;
use std::collections::HashSet;
use std::hash::BuildHasherDefault;
use std::rc::Rc;

use crate::Key;
use crate::digest::KeyHasher;

/// Up to how many keys none is looked through for being out of use.
const MIN_KEYS_TO_PRUNE: usize = 1024;

/// Shares equal keys between the replicas of one process. Clones share the same table.
#[derive(Clone, Debug, Default)]
pub struct KeyInterner(Rc<RefCell<KeyTable>>);

#[derive(Debug, Default)]
struct KeyTable {
    keys: HashSet<Key, BuildHasherDefault<KeyHasher>>,
    prune_at_key_count: usize,
}

impl KeyInterner {
    /// The same key in the allocation that all replicas share.
    pub fn intern(&self, key: Key) -> Key {
        let mut table = self.0.borrow_mut();
        if let Some(shared) = table.keys.get(&key) {
            return shared.clone();
        }
        if table.keys.len() >= table.prune_at_key_count {
            table.remove_unused();
        }
        table.keys.insert(key.clone());
        key
    }

    /// How many keys are in the table.
    pub fn len(&self) -> usize {
        self.0.borrow().keys.len()
    }

    /// Whether no key is in the table.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl KeyTable {
    /// Forgets the keys that nobody else holds. The next look is due once the table has doubled, so that it costs
    /// each new key the same.
    fn remove_unused(&mut self) {
        self.keys.retain(Key::is_shared);
        self.prune_at_key_count = MIN_KEYS_TO_PRUNE.max(self.keys.len() * 2);
    }
}
