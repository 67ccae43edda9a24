//! The hashes of a set of records, grouped by bucket, with the digests of the buckets and of the whole set.

use crate::digest::{BUCKET_COUNT, KeyHash};
use crate::{Digest, Key};

/// A full bucket reserves room for its number of records divided by this value.
const SPARE_CAPACITY_DIVISOR: usize = 8;

/// A full bucket reserves room for at least this number of records.
const MIN_SPARE_CAPACITY: usize = 4;

/// The keys and hashes of a set of records, in buckets whose digests are updated with each change.
///
/// The methods take the [`KeyHash`] with the key, so that a caller of several of them hashes the key once.
#[derive(Clone, Debug)]
pub(crate) struct RecordHashes {
    buckets: Vec<Bucket>,
    /// The wrapping sum of the hashes of all records.
    digest: u64,
    record_count: usize,
}

/// The records of one bucket, ordered by fingerprint and then by key.
///
/// A search scans the fingerprints, which are contiguous in memory, and usually compares the text of only one key.
#[derive(Clone, Debug, Default)]
struct Bucket {
    fingerprints: Vec<u32>,
    /// The records, at the same indices as their fingerprints.
    records: Vec<HashedRecord>,
    /// The wrapping sum of the hashes of the bucket's records.
    digest: u64,
}

#[derive(Clone, Debug)]
struct HashedRecord {
    key: Key,
    hash: u64,
}

impl RecordHashes {
    /// An empty set.
    pub(crate) fn new() -> RecordHashes {
        RecordHashes { buckets: vec![Bucket::default(); BUCKET_COUNT], digest: 0, record_count: 0 }
    }

    /// The same set without spare capacity.
    pub(crate) fn shrunk_to_fit(mut self) -> RecordHashes {
        for bucket in &mut self.buckets {
            bucket.fingerprints.shrink_to_fit();
            bucket.records.shrink_to_fit();
        }
        self
    }

    /// The digest of all records.
    pub(crate) fn digest(&self) -> Digest {
        Digest(self.digest)
    }

    /// The number of records.
    pub(crate) fn len(&self) -> usize {
        self.record_count
    }

    /// The hash of a record, if the set contains it.
    pub(crate) fn get(&self, key: &Key, key_hash: KeyHash) -> Option<u64> {
        let bucket = &self.buckets[key_hash.bucket()];
        let index = bucket.find(key, key_hash).ok()?;
        Some(bucket.records[index].hash)
    }

    /// Sets the hash of a record. For a new record, `intern` returns the key to store.
    pub(crate) fn set(&mut self, key: &Key, key_hash: KeyHash, hash: u64, intern: impl FnOnce(&Key) -> Key) {
        let bucket = &mut self.buckets[key_hash.bucket()];
        let previous_hash = match bucket.find(key, key_hash) {
            Ok(index) => std::mem::replace(&mut bucket.records[index].hash, hash),
            Err(index) => {
                bucket.insert(index, key_hash, HashedRecord { key: intern(key), hash });
                self.record_count += 1;
                0
            }
        };
        let difference = hash.wrapping_sub(previous_hash);
        bucket.digest = bucket.digest.wrapping_add(difference);
        self.digest = self.digest.wrapping_add(difference);
    }

    /// Removes a record, if the set contains it.
    pub(crate) fn remove(&mut self, key: &Key, key_hash: KeyHash) {
        let bucket = &mut self.buckets[key_hash.bucket()];
        if let Ok(index) = bucket.find(key, key_hash) {
            bucket.fingerprints.remove(index);
            let HashedRecord { hash, .. } = bucket.records.remove(index);
            bucket.digest = bucket.digest.wrapping_sub(hash);
            self.digest = self.digest.wrapping_sub(hash);
            self.record_count -= 1;
        }
    }

    /// The digests of all buckets, in the order of the buckets.
    pub(crate) fn bucket_digests(&self) -> impl Iterator<Item = Digest> {
        self.buckets.iter().map(|bucket| Digest(bucket.digest))
    }

    /// The keys of this set that `others` does not contain.
    pub(crate) fn keys_missing_in<'a>(&'a self, others: &'a RecordHashes) -> impl Iterator<Item = &'a Key> {
        let pairs = self.buckets.iter().zip(&others.buckets);
        pairs.flat_map(|(bucket, other)| bucket.keys_missing_in(other))
    }

    /// The keys of one bucket in ascending order; `None` if there is no such bucket.
    pub(crate) fn bucket_keys(&self, bucket: usize) -> Option<Vec<&Key>> {
        let mut keys: Vec<&Key> = self.buckets.get(bucket)?.keys().collect();
        keys.sort_unstable();
        Some(keys)
    }
}

impl Bucket {
    /// The index of a record, or as an error the index at which it would be inserted.
    fn find(&self, key: &Key, key_hash: KeyHash) -> Result<usize, usize> {
        self.find_fingerprint(key, key_hash.fingerprint())
    }

    fn find_fingerprint(&self, key: &Key, fingerprint: u32) -> Result<usize, usize> {
        let first = self.fingerprints.partition_point(|other| *other < fingerprint);
        let same_fingerprint =
            self.fingerprints[first..].iter().take_while(|other| **other == fingerprint).count();
        let found =
            self.records[first..first + same_fingerprint].binary_search_by(|record| record.key.cmp(key));
        found.map(|index| first + index).map_err(|index| first + index)
    }

    fn insert(&mut self, index: usize, key_hash: KeyHash, record: HashedRecord) {
        // The default of doubling the capacity would leave up to half of it unused in buckets that rarely grow.
        if self.records.len() == self.records.capacity() {
            let spare = MIN_SPARE_CAPACITY.max(self.records.len() / SPARE_CAPACITY_DIVISOR);
            self.fingerprints.reserve_exact(spare);
            self.records.reserve_exact(spare);
        }
        self.fingerprints.insert(index, key_hash.fingerprint());
        self.records.insert(index, record);
    }

    fn keys(&self) -> impl Iterator<Item = &Key> {
        self.records.iter().map(|record| &record.key)
    }

    fn keys_missing_in<'a>(&'a self, other: &'a Bucket) -> impl Iterator<Item = &'a Key> {
        let pairs = self.keys().zip(&self.fingerprints);
        let is_missing =
            |(key, fingerprint): &(&Key, &u32)| other.find_fingerprint(key, **fingerprint).is_err();
        pairs.filter(is_missing).map(|(key, _)| key)
    }
}
