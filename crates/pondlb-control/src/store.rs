//! The records of a control server.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde_json::value::RawValue;

use crate::change_log::ChangeLog;
use crate::commit::{CommitError, StoreSize, size_after, validated_values};
use crate::digest::{BUCKET_COUNT, KeyHash, record_hash};
use crate::json::escaped_bytes;
use crate::record_hashes::RecordHashes;
use crate::{
    BucketResponse, Change, ChangesResponse, Digest, DigestsResponse, Key, Limits, NewChange, RecordKind,
    RecordValidator, SnapshotResponse, Update, Version,
};

/// The most bytes of an answer's JSON beside its changes or records and the key of the next piece.
const RESPONSE_OVERHEAD_BYTES: usize = 192;

/// The most bytes of a change's JSON beside its key and value.
const CHANGE_OVERHEAD_BYTES: usize = 60;

/// All records at a control server: the origin numbers changes with it, a replica server keeps up with the origin.
#[derive(Debug)]
pub struct Store {
    limits: Limits,
    /// Whether it numbers changes itself.
    is_origin: bool,
    version: Version,
    /// Whether no piece of changes is missing up to the version.
    is_at_complete_version: bool,
    records: BTreeMap<Key, Record>,
    total_bytes: usize,
    record_hashes: RecordHashes,
    change_log: ChangeLog,
}

#[derive(Debug)]
struct Record {
    revision: u64,
    value: Box<RawValue>,
}

impl Store {
    /// An empty store: the origin's in an epoch of its own, or a replica server's in epoch 0.
    pub fn new(epoch: u64, limits: Limits) -> Store {
        Store {
            limits,
            version: Version { epoch, revision: 0 },
            is_origin: epoch != 0,
            is_at_complete_version: true,
            records: BTreeMap::new(),
            total_bytes: 0,
            record_hashes: RecordHashes::new(),
            change_log: ChangeLog::new(limits.max_tombstones),
        }
    }

    /// The version of the last change.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The digest of all records.
    pub fn digest(&self) -> Digest {
        self.record_hashes.digest()
    }

    /// How many records there are.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The keys of all records of one kind.
    pub fn keys(&self, kind: RecordKind) -> impl Iterator<Item = &Key> {
        let records = self.records.range::<str, _>((Bound::Included(kind.prefix()), Bound::Unbounded));
        records.map(|(key, _)| key).take_while(move |key| key.kind() == kind)
    }

    /// Bytes of all keys and values.
    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    /// Numbers and takes changes, all or none. The texts of values are freed of white space; from then on they travel
    /// unchanged.
    ///
    /// # Errors
    /// [`CommitError`] where the limits or the checker don't allow one of them.
    pub fn commit(
        &mut self,
        changes: &[NewChange],
        validate: &RecordValidator<'_>,
    ) -> Result<Version, CommitError> {
        if !self.is_origin {
            return Err(CommitError::NotOrigin);
        }
        let values = validated_values(changes, &self.limits, validate)?;
        let extent = StoreSize { records: self.len(), bytes: self.total_bytes };
        size_after(extent, changes, &values, |key| self.value_bytes(key)).verify_within(&self.limits)?;
        for (change, value) in changes.iter().zip(values) {
            self.version.revision += 1;
            self.put_record(&change.key, value, self.version.revision);
        }
        Ok(self.version)
    }

    /// Takes what a replica has verified, with its revisions and epoch. An update that is older than what is held
    /// changes nothing.
    pub fn apply_update(&mut self, update: &Update) {
        if update.version < self.version {
            return;
        }
        self.version = update.version;
        for Change { revision, key, value } in &update.changes {
            self.put_record(key, value.clone(), (*revision).min(update.version.revision));
        }
        if update.is_whole_state {
            self.reset_change_log();
        }
        self.is_at_complete_version = update.digest.is_some();
    }

    /// What is newer than a caller's version, in at most so many bytes (but one change at least).
    pub fn changes_since(&self, from: Version, most_bytes: usize) -> ChangesResponse {
        let mut response = ChangesResponse {
            version: self.version,
            from_revision: from.revision,
            reset: false,
            has_more: false,
            digest: None,
            stale_ms: 0,
            changes: Vec::new(),
        };
        let is_known = from.epoch == self.version.epoch && self.change_log.is_complete_since(from.revision);
        response.reset = from < self.version && !is_known;
        if is_known && from < self.version {
            self.fill_changes(&mut response, most_bytes);
        }
        response.digest = Some(self.digest())
            .filter(|_| self.is_at_complete_version && !response.has_more && !response.reset);
        response
    }

    /// The records behind a key, or the first ones, in at most so many bytes (but one record at least).
    pub fn snapshot_page(&self, after: Option<&Key>, most_bytes: usize) -> SnapshotResponse {
        let mut response = SnapshotResponse { version: self.version, records: Vec::new(), next_after: None };
        let mut bytes = RESPONSE_OVERHEAD_BYTES;
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        for (key, record) in self.records.range::<Key, _>((start, Bound::Unbounded)) {
            let key_bytes = escaped_bytes(key.as_str());
            bytes += encoded_change_bytes(key, Some(&record.value));
            if bytes + key_bytes > most_bytes && !response.records.is_empty() {
                response.next_after = response.records.last().map(|last| last.key.clone());
                break;
            }
            response.records.push(record.as_change(key));
        }
        response
    }

    /// The digests of all buckets.
    pub fn bucket_digests(&self) -> DigestsResponse {
        DigestsResponse { version: self.version, buckets: self.record_hashes.bucket_digests().collect() }
    }

    /// Whether there is a bucket of this number.
    pub fn has_bucket(&self, bucket: usize) -> bool {
        bucket < BUCKET_COUNT
    }

    /// All records of one bucket; none where there is no such bucket.
    pub fn bucket_records(&self, bucket: usize) -> Option<BucketResponse> {
        let keys = self.record_hashes.bucket_keys(bucket)?.into_iter();
        let records = keys.filter_map(|key| self.records.get(key).map(|record| record.as_change(key)));
        Some(BucketResponse { version: self.version, bucket, records: records.collect() })
    }

    fn fill_changes(&self, response: &mut ChangesResponse, most_bytes: usize) {
        let mut bytes = RESPONSE_OVERHEAD_BYTES;
        for (revision, key) in self.change_log.changes_since(response.from_revision) {
            let value = self.records.get(key).map(|record| &record.value);
            bytes += encoded_change_bytes(key, value.map(Box::as_ref));
            if let Some(last) = response.changes.last().filter(|_| bytes > most_bytes) {
                response.version.revision = last.revision;
                response.has_more = true;
                return;
            }
            response.changes.push(Change { revision, key: key.clone(), value: value.cloned() });
        }
    }

    fn value_bytes(&self, key: &Key) -> Option<usize> {
        self.records.get(key).map(|record| record.value.get().len())
    }

    fn put_record(&mut self, key: &Key, value: Option<Box<RawValue>>, revision: u64) {
        let key_bytes = key.as_str().len();
        let Some(value) = value else {
            let removed = self.records.remove(key);
            self.total_bytes -= removed.as_ref().map_or(0, |record| key_bytes + record.value.get().len());
            self.record_hashes.remove(key, KeyHash::of(key));
            self.change_log.record_removal(key, revision, removed.map(|record| record.revision));
            return;
        };
        self.record_hashes.set(key, KeyHash::of(key), record_hash(key, value.get()), Key::clone);
        self.total_bytes += key_bytes + value.get().len();
        let before = self.records.insert(key.clone(), Record { revision, value });
        self.total_bytes -= before.as_ref().map_or(0, |record| key_bytes + record.value.get().len());
        self.change_log.record_set(key, revision, before.map(|record| record.revision));
    }

    /// After a whole new state: which change removed a record is unknown, and revisions of an older epoch say nothing.
    fn reset_change_log(&mut self) {
        let newest = self.version.revision;
        self.change_log.clear(newest);
        for record in self.records.values_mut() {
            record.revision = record.revision.min(newest);
        }
    }
}

impl Record {
    fn as_change(&self, key: &Key) -> Change {
        Change { revision: self.revision, key: key.clone(), value: Some(self.value.clone()) }
    }
}

fn encoded_change_bytes(key: &Key, value: Option<&RawValue>) -> usize {
    CHANGE_OVERHEAD_BYTES + escaped_bytes(key.as_str()) + value.map_or(0, |value| value.get().len())
}
