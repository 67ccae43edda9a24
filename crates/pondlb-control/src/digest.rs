//! Hashes of records, and the buckets over which they are summed up.

use std::hash::Hasher;

use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

use crate::Key;

/// Over how many buckets the records are spread by their keys.
pub const BUCKET_COUNT: usize = 512;

/// Stands between key and value in what is hashed; occurs in neither.
const SEPARATOR: u8 = 0;

/// The hash of a key, which tells its bucket and its place there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct KeyHash(u64);

impl KeyHash {
    /// The hash of this key.
    pub(crate) fn of(key: &Key) -> KeyHash {
        KeyHash(xxh3_64(key.as_str().as_bytes()))
    }

    /// The bucket of the key's record.
    pub(crate) fn bucket(self) -> usize {
        self.0 as usize % BUCKET_COUNT
    }

    /// Tells most keys of one bucket from each other: the half of the hash that does not choose the bucket.
    pub(crate) fn fingerprint(self) -> u32 {
        (self.0 >> 32) as u32
    }
}

/// Hashes keys for tables of them. Unlike the default of hash tables it does not defend itself against keys that were
/// chosen to collide: whoever can choose them commits records anyway.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyHasher(u64);

impl Hasher for KeyHasher {
    fn write(&mut self, bytes: &[u8]) {
        self.0 = xxh3_64_with_seed(bytes, self.0);
    }

    /// The mark at the end of a text, which keys that are hashed by themselves don't need.
    fn write_u8(&mut self, _: u8) {}

    fn finish(&self) -> u64 {
        self.0
    }
}

/// The hash of a record's key and value.
pub(crate) fn record_hash(key: &Key, value: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key.as_str().as_bytes());
    hasher.update(&[SEPARATOR]);
    hasher.update(value.as_bytes());
    hasher.digest()
}
