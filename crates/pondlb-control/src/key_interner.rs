//! Interning of keys: replicas of one process share one allocation per key.

use std::cell::RefCell;
use std::collections::HashSet;
use std::hash::BuildHasherDefault;
use std::rc::Rc;

use crate::Key;
use crate::digest::KeyHasher;

/// The table is not searched for unused keys while it has fewer keys than this.
const MIN_KEYS_TO_PRUNE: usize = 1024;

/// Shares the allocations of equal keys among the replicas of one process. Clones use the same table.
#[derive(Clone, Debug, Default)]
pub struct KeyInterner(Rc<RefCell<KeyTable>>);

/// The interned keys.
#[derive(Debug, Default)]
struct KeyTable {
    keys: HashSet<Key, BuildHasherDefault<KeyHasher>>,
    /// The number of keys at which unused ones are removed next.
    prune_at_key_count: usize,
}

impl KeyInterner {
    /// An equal key that uses the shared allocation. A key that is not in the table yet is added to it.
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

    /// The number of keys in the table.
    pub fn len(&self) -> usize {
        self.0.borrow().keys.len()
    }

    /// Whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl KeyTable {
    /// Removes the keys that are used only by the table. The next removal is due when the table has doubled in size,
    /// so that the amortized cost per new key is constant.
    fn remove_unused(&mut self) {
        self.keys.retain(Key::is_shared);
        self.prune_at_key_count = MIN_KEYS_TO_PRUNE.max(self.keys.len() * 2);
    }
}
