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

/// The maximum size in bytes of a response's JSON without its changes or records and the key of the next page.
const RESPONSE_OVERHEAD_BYTES: usize = 192;

/// The maximum size in bytes of a change's JSON without its key and value.
const CHANGE_OVERHEAD_BYTES: usize = 60;

/// All records of a control server. The store of the origin numbers the changes that are committed to it; the store of
/// a replica server applies the updates that its replica has received.
#[derive(Debug)]
pub struct Store {
    limits: Limits,
    /// Whether the store numbers changes itself.
    is_origin: bool,
    /// The version of the last change.
    version: Version,
    /// Whether the store has the complete state of its version, not only some of the pages of changes that lead to it.
    is_at_complete_version: bool,
    records: BTreeMap<Key, Record>,
    /// The bytes of all keys and values.
    total_bytes: usize,
    /// The hashes of the records, for digests.
    record_hashes: RecordHashes,
    /// The changes that followers can be sent without a snapshot.
    change_log: ChangeLog,
}

#[derive(Debug)]
struct Record {
    /// The revision that set the record.
    revision: u64,
    /// The JSON text of the value, without whitespace.
    value: Box<RawValue>,
}

impl Store {
    /// Creates an empty store: that of an origin with its own epoch, or that of a replica server with epoch 0.
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

    /// The number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The keys of all records of one kind, in ascending order.
    pub fn keys(&self, kind: RecordKind) -> impl Iterator<Item = &Key> {
        let records = self.records.range::<str, _>((Bound::Included(kind.prefix()), Bound::Unbounded));
        records.map(|(key, _)| key).take_while(move |key| key.kind() == kind)
    }

    /// The bytes of all keys and values.
    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    /// Numbers and applies changes, all or none of them. Whitespace is removed from the JSON text of values, which from
    /// then on is passed on unchanged.
    ///
    /// # Errors
    /// [`CommitError`] if this is not the store of an origin, or the limits or the validator do not allow one of the
    /// changes.
    pub fn commit(
        &mut self,
        changes: &[NewChange],
        validate: &RecordValidator<'_>,
    ) -> Result<Version, CommitError> {
        if !self.is_origin {
            return Err(CommitError::NotOrigin);
        }
        let values = validated_values(changes, &self.limits, validate)?;
        let size = StoreSize { records: self.len(), bytes: self.total_bytes };
        size_after(size, changes, &values, |key| self.value_bytes(key)).verify_within(&self.limits)?;
        for (change, value) in changes.iter().zip(values) {
            self.version.revision += 1;
            self.put_record(&change.key, value, self.version.revision);
        }
        Ok(self.version)
    }

    /// Applies an update of a replica with its epoch and revisions. An update that is older than the store's version is
    /// ignored.
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

    /// The changes since a follower's version, at least one and then as many as fit into `max_bytes` of JSON.
    pub fn changes_since(&self, from: Version, max_bytes: usize) -> ChangesResponse {
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
            self.fill_changes(&mut response, max_bytes);
        }
        response.digest = Some(self.digest())
            .filter(|_| self.is_at_complete_version && !response.has_more && !response.reset);
        response
    }

    /// The records after a key, or the first ones: at least one and then as many as fit into `max_bytes` of JSON.
    pub fn snapshot_page(&self, after: Option<&Key>, max_bytes: usize) -> SnapshotResponse {
        let mut response = SnapshotResponse { version: self.version, records: Vec::new(), next_after: None };
        let mut bytes = RESPONSE_OVERHEAD_BYTES;
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        for (key, record) in self.records.range::<Key, _>((start, Bound::Unbounded)) {
            let key_bytes = escaped_bytes(key.as_str());
            bytes += encoded_change_bytes(key, Some(&record.value));
            if bytes + key_bytes > max_bytes && !response.records.is_empty() {
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

    /// Whether there is a bucket with this number.
    pub fn has_bucket(&self, bucket: usize) -> bool {
        bucket < BUCKET_COUNT
    }

    /// All records of one bucket; `None` if there is no such bucket.
    pub fn bucket_records(&self, bucket: usize) -> Option<BucketResponse> {
        let keys = self.record_hashes.bucket_keys(bucket)?.into_iter();
        let records = keys.filter_map(|key| self.records.get(key).map(|record| record.as_change(key)));
        Some(BucketResponse { version: self.version, bucket, records: records.collect() })
    }

    /// Adds the changes since the response's `from_revision` and adjusts its version if not all of them fit.
    fn fill_changes(&self, response: &mut ChangesResponse, max_bytes: usize) {
        let mut bytes = RESPONSE_OVERHEAD_BYTES;
        for (revision, key) in self.change_log.changes_since(response.from_revision) {
            let value = self.records.get(key).map(|record| &record.value);
            bytes += encoded_change_bytes(key, value.map(Box::as_ref));
            if let Some(last) = response.changes.last().filter(|_| bytes > max_bytes) {
                response.version.revision = last.revision;
                response.has_more = true;
                return;
            }
            response.changes.push(Change { revision, key: key.clone(), value: value.cloned() });
        }
    }

    /// The length of a record's value in bytes, if there is such a record.
    fn value_bytes(&self, key: &Key) -> Option<usize> {
        self.records.get(key).map(|record| record.value.get().len())
    }

    /// Sets a record, or removes it if `value` is `None`.
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
        let replaced = self.records.insert(key.clone(), Record { revision, value });
        self.total_bytes -= replaced.as_ref().map_or(0, |record| key_bytes + record.value.get().len());
        self.change_log.record_set(key, revision, replaced.map(|record| record.revision));
    }

    /// Clears the change log after a complete new state: it is unknown which changes removed records, and the revisions
    /// of an older epoch have no meaning in the new one.
    fn reset_change_log(&mut self) {
        let newest_revision = self.version.revision;
        self.change_log.clear(newest_revision);
        for record in self.records.values_mut() {
            record.revision = record.revision.min(newest_revision);
        }
    }
}

impl Record {
    /// The record in the form of a change that sets it.
    fn as_change(&self, key: &Key) -> Change {
        Change { revision: self.revision, key: key.clone(), value: Some(self.value.clone()) }
    }
}

/// An upper bound on the size of a change in a response's JSON.
fn encoded_change_bytes(key: &Key, value: Option<&RawValue>) -> usize {
    CHANGE_OVERHEAD_BYTES + escaped_bytes(key.as_str()) + value.map_or(0, |value| value.get().len())
}
