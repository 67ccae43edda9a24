//! Hashes of keys and records, and the buckets whose record hashes are summed into digests.

use std::hash::Hasher;

use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

use crate::Key;

/// The number of buckets among which the records are divided by the hashes of their keys.
pub const BUCKET_COUNT: usize = 512;

/// Separates key and value in the hash input; occurs in neither.
const SEPARATOR: u8 = 0;

/// The hash of a key, which determines the bucket of its record and the position in the bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct KeyHash(u64);

impl KeyHash {
    /// Hashes a key.
    pub(crate) fn of(key: &Key) -> KeyHash {
        KeyHash(xxh3_64(key.as_str().as_bytes()))
    }

    /// The bucket of the key's record.
    pub(crate) fn bucket(self) -> usize {
        self.0 as usize % BUCKET_COUNT
    }

    /// The upper half of the hash, which does not select the bucket. It differs between most keys of a bucket.
    pub(crate) fn fingerprint(self) -> u32 {
        (self.0 >> 32) as u32
    }
}

/// The hasher for hash tables of keys. Unlike the standard library's default it does not resist keys that are chosen to
/// collide: a client that can choose keys is allowed to commit records anyway.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyHasher(u64);

impl Hasher for KeyHasher {
    fn write(&mut self, bytes: &[u8]) {
        self.0 = xxh3_64_with_seed(bytes, self.0);
    }

    /// Ignores the byte that `str` writes at its end, which separates fields; a key is hashed alone.
    fn write_u8(&mut self, _: u8) {}

    fn finish(&self) -> u64 {
        self.0
    }
}

/// The hash of a record: XXH3 of its key, [`SEPARATOR`] and its value.
pub(crate) fn record_hash(key: &Key, value: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key.as_str().as_bytes());
    hasher.update(&[SEPARATOR]);
    hasher.update(value.as_bytes());
    hasher.digest()
}
