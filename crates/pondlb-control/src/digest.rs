//! Hashes of records, and the buckets over which they are summed up.

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::Key;

/// Over how many buckets the records are spread by their keys.
pub const BUCKETS: usize = 512;

/// Stands between key and value in what is hashed; occurs in neither.
const SEPARATOR: u8 = 0;

/// The bucket of a record.
pub(crate) fn bucket_of(key: &Key) -> usize {
    xxh3_64(key.as_str().as_bytes()) as usize % BUCKETS
}

/// The hash of a record's key and value.
pub(crate) fn record_hash(key: &Key, value: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key.as_str().as_bytes());
    hasher.update(&[SEPARATOR]);
    hasher.update(value.as_bytes());
    hasher.digest()
}
