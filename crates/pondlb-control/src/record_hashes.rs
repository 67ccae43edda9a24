//! The hashes of a set of records, by bucket.

use crate::digest::{BUCKET_COUNT, KeyHash};
use crate::{Digest, Key};

/// A bucket that is full makes room for this part of what it holds, and for a few records at least.
const SPARE_CAPACITY_DIVISOR: usize = 8;
const MIN_SPARE_CAPACITY: usize = 4;

/// The keys and hashes of a set of records, in buckets whose digests are kept up with each change.
///
/// Who looks for several things about a key hashes it once and passes its [`KeyHash`] along.
#[derive(Clone, Debug)]
pub(crate) struct RecordHashes {
    buckets: Vec<Bucket>,
    digest: u64,
    record_count: usize,
}

/// The records of one bucket in the order of their fingerprints, and of their keys where these are the same. A search
/// goes through the fingerprints, which lie side by side, and looks at the text of one key.
#[derive(Clone, Debug, Default)]
struct Bucket {
    fingerprints: Vec<u32>,
    /// At the same places.
    records: Vec<HashedRecord>,
    digest: u64,
}

#[derive(Clone, Debug)]
struct HashedRecord {
    key: Key,
    hash: u64,
}

impl RecordHashes {
    /// Those of no record.
    pub(crate) fn new() -> RecordHashes {
        RecordHashes { buckets: vec![Bucket::default(); BUCKET_COUNT], digest: 0, record_count: 0 }
    }

    /// The same records without the room that growing has left.
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

    /// How many records there are.
    pub(crate) fn len(&self) -> usize {
        self.record_count
    }

    /// The hash of a record.
    pub(crate) fn get(&self, key: &Key, key_hash: KeyHash) -> Option<u64> {
        let bucket = &self.buckets[key_hash.bucket()];
        let index = bucket.find(key, key_hash).ok()?;
        Some(bucket.records[index].hash)
    }

    /// Sets the hash of a record. `share` gives the key to keep where the record is new.
    pub(crate) fn set(&mut self, key: &Key, key_hash: KeyHash, hash: u64, share: impl FnOnce(&Key) -> Key) {
        let bucket = &mut self.buckets[key_hash.bucket()];
        let before = match bucket.find(key, key_hash) {
            Ok(index) => std::mem::replace(&mut bucket.records[index].hash, hash),
            Err(index) => {
                bucket.insert(index, key_hash, HashedRecord { key: share(key), hash });
                self.record_count += 1;
                0
            }
        };
        let difference = hash.wrapping_sub(before);
        bucket.digest = bucket.digest.wrapping_add(difference);
        self.digest = self.digest.wrapping_add(difference);
    }

    /// Takes a record out.
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

    /// The digests of all buckets, in their order.
    pub(crate) fn bucket_digests(&self) -> impl Iterator<Item = Digest> {
        self.buckets.iter().map(|bucket| Digest(bucket.digest))
    }

    /// The keys that the others do not have.
    pub(crate) fn keys_missing_in<'a>(&'a self, others: &'a RecordHashes) -> impl Iterator<Item = &'a Key> {
        let pairs = self.buckets.iter().zip(&others.buckets);
        pairs.flat_map(|(bucket, other)| bucket.keys_missing_in(other))
    }

    /// The keys of one bucket in their order; none where there is no such bucket.
    pub(crate) fn bucket_keys(&self, bucket: usize) -> Option<Vec<&Key>> {
        let mut keys: Vec<&Key> = self.buckets.get(bucket)?.keys().collect();
        keys.sort_unstable();
        Some(keys)
    }
}

impl Bucket {
    /// The place of a record, or else where it would be.
    fn find(&self, key: &Key, key_hash: KeyHash) -> Result<usize, usize> {
        self.find_fingerprint(key, key_hash.fingerprint())
    }

    fn find_fingerprint(&self, key: &Key, fingerprint: u32) -> Result<usize, usize> {
        let first = self.fingerprints.partition_point(|other| *other < fingerprint);
        let alike = self.fingerprints[first..].iter().take_while(|other| **other == fingerprint).count();
        let found = self.records[first..first + alike].binary_search_by(|record| record.key.cmp(key));
        found.map(|index| first + index).map_err(|index| first + index)
    }

    fn insert(&mut self, index: usize, key_hash: KeyHash, record: HashedRecord) {
        // Doubling would leave half of the memory unused in buckets that hardly grow any more.
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
