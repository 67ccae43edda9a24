//! The hashes of a set of records, by bucket.

use std::collections::BTreeMap;

use crate::digest::{BUCKETS, bucket_of};
use crate::{Digest, Key};

/// The keys and hashes of a set of records, in buckets whose digests are kept up with each change.
#[derive(Clone, Debug)]
pub(crate) struct RecordHashes {
    buckets: Vec<Bucket>,
    digest: u64,
    len: usize,
}

#[derive(Clone, Debug, Default)]
struct Bucket {
    hashes: BTreeMap<Key, u64>,
    digest: u64,
}

impl RecordHashes {
    /// Those of no record.
    pub(crate) fn new() -> RecordHashes {
        RecordHashes { buckets: vec![Bucket::default(); BUCKETS], digest: 0, len: 0 }
    }

    /// The same records in maps that are built anew, which takes less memory than maps that have grown.
    pub(crate) fn compacted(mut self) -> RecordHashes {
        for bucket in &mut self.buckets {
            bucket.hashes = std::mem::take(&mut bucket.hashes).into_iter().collect();
        }
        self
    }

    /// The digest of all records.
    pub(crate) fn digest(&self) -> Digest {
        Digest(self.digest)
    }

    /// How many records there are.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// The hash of a record.
    pub(crate) fn get(&self, key: &Key) -> Option<u64> {
        self.buckets[bucket_of(key)].hashes.get(key).copied()
    }

    /// Sets the hash of a record. `share` gives the key to keep where the record is new.
    pub(crate) fn set(&mut self, key: &Key, hash: u64, share: impl FnOnce(&Key) -> Key) {
        let bucket = &mut self.buckets[bucket_of(key)];
        let before = match bucket.hashes.get_mut(key) {
            Some(held) => std::mem::replace(held, hash),
            None => {
                bucket.hashes.insert(share(key), hash);
                self.len += 1;
                0
            }
        };
        let difference = hash.wrapping_sub(before);
        bucket.digest = bucket.digest.wrapping_add(difference);
        self.digest = self.digest.wrapping_add(difference);
    }

    /// Takes a record out.
    pub(crate) fn remove(&mut self, key: &Key) {
        let bucket = &mut self.buckets[bucket_of(key)];
        if let Some(hash) = bucket.hashes.remove(key) {
            bucket.digest = bucket.digest.wrapping_sub(hash);
            self.digest = self.digest.wrapping_sub(hash);
            self.len -= 1;
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

    /// The records of one bucket in the order of their keys; none where there is no such bucket.
    pub(crate) fn bucket(&self, bucket: usize) -> Option<&BTreeMap<Key, u64>> {
        self.buckets.get(bucket).map(|bucket| &bucket.hashes)
    }
}

impl Bucket {
    /// Goes through both buckets at once. Keys of one allocation are equal without a look at their text.
    fn keys_missing_in<'a>(&'a self, other: &'a Bucket) -> impl Iterator<Item = &'a Key> {
        let mut others = other.hashes.keys().peekable();
        self.hashes.keys().filter(move |key| {
            while others.next_if(|other| other != key && other < key).is_some() {}
            others.next_if(|other| other == key).is_none()
        })
    }
}
