//! The records of a control server.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde_json::value::RawValue;

use crate::change_log::ChangeLog;
use crate::commit::{CommitError, Extent, checked_values, extent_after};
use crate::digest::{BUCKET_COUNT, KeyHash, record_hash};
use crate::json::escaped_len;
use crate::record_hashes::RecordHashes;
use crate::{
    BucketResponse, Change, ChangesResponse, Digest, DigestsResponse, Key, Limits, NewChange, RecordKind,
    RecordValidator, SnapshotResponse, Update, Version,
};

/// The most bytes of an answer's JSON beside its changes or records and the key of the next piece.
const ANSWER_OVERHEAD: usize = 192;

/// The most bytes of a change's JSON beside its key and value.
const CHANGE_OVERHEAD: usize = 60;

/// All records at a control server: the origin numbers changes with it, a replica server keeps up with the origin.
#[derive(Debug)]
pub struct Store {
    limits: Limits,
    /// Whether it numbers changes itself.
    is_origin: bool,
    version: Version,
    /// Whether no piece of changes is missing up to the version.
    is_complete: bool,
    records: BTreeMap<Key, Record>,
    bytes: usize,
    hashes: RecordHashes,
    log: ChangeLog,
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
            is_complete: true,
            records: BTreeMap::new(),
            bytes: 0,
            hashes: RecordHashes::new(),
            log: ChangeLog::new(limits.max_tombstones),
        }
    }

    /// The version of the last change.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The digest of all records.
    pub fn digest(&self) -> Digest {
        self.hashes.digest()
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
        self.bytes
    }

    /// Numbers and takes changes, all or none. The texts of values are freed of white space; from then on they travel
    /// unchanged.
    ///
    /// # Errors
    /// [`CommitError`] where the limits or the checker don't allow one of them.
    pub fn commit(
        &mut self,
        changes: &[NewChange],
        check: &RecordValidator<'_>,
    ) -> Result<Version, CommitError> {
        if !self.is_origin {
            return Err(CommitError::NotOrigin);
        }
        let values = checked_values(changes, &self.limits, check)?;
        let extent = Extent { records: self.len(), bytes: self.bytes };
        extent_after(extent, changes, &values, |key| self.value_len(key)).keep(&self.limits)?;
        for (change, value) in changes.iter().zip(values) {
            self.version.revision += 1;
            self.put(&change.key, value, self.version.revision);
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
            self.put(key, value.clone(), (*revision).min(update.version.revision));
        }
        if update.is_whole_state {
            self.forget_changes();
        }
        self.is_complete = update.digest.is_some();
    }

    /// What is newer than a caller's version, in at most so many bytes (but one change at least).
    pub fn changes_since(&self, from: Version, most_bytes: usize) -> ChangesResponse {
        let mut answer = ChangesResponse {
            version: self.version,
            from_revision: from.revision,
            reset: false,
            has_more: false,
            digest: None,
            stale_ms: 0,
            changes: Vec::new(),
        };
        let is_known = from.epoch == self.version.epoch && self.log.is_complete_from(from.revision);
        answer.reset = from < self.version && !is_known;
        if is_known && from < self.version {
            self.fill_changes(&mut answer, most_bytes);
        }
        answer.digest = Some(self.digest()).filter(|_| self.is_complete && !answer.has_more && !answer.reset);
        answer
    }

    /// The records behind a key, or the first ones, in at most so many bytes (but one record at least).
    pub fn snapshot_page(&self, after: Option<&Key>, most_bytes: usize) -> SnapshotResponse {
        let mut answer = SnapshotResponse { version: self.version, records: Vec::new(), next_after: None };
        let mut bytes = ANSWER_OVERHEAD;
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        for (key, record) in self.records.range::<Key, _>((start, Bound::Unbounded)) {
            let key_bytes = escaped_len(key.as_str());
            bytes += encoded_len(key, Some(&record.value));
            if bytes + key_bytes > most_bytes && !answer.records.is_empty() {
                answer.next_after = answer.records.last().map(|last| last.key.clone());
                break;
            }
            answer.records.push(record.as_change(key));
        }
        answer
    }

    /// The digests of all buckets.
    pub fn bucket_digests(&self) -> DigestsResponse {
        DigestsResponse { version: self.version, buckets: self.hashes.bucket_digests().collect() }
    }

    /// Whether there is a bucket of this number.
    pub fn has_bucket(&self, bucket: usize) -> bool {
        bucket < BUCKET_COUNT
    }

    /// All records of one bucket; none where there is no such bucket.
    pub fn bucket_records(&self, bucket: usize) -> Option<BucketResponse> {
        let keys = self.hashes.bucket_keys(bucket)?.into_iter();
        let records = keys.filter_map(|key| self.records.get(key).map(|record| record.as_change(key)));
        Some(BucketResponse { version: self.version, bucket, records: records.collect() })
    }

    fn fill_changes(&self, answer: &mut ChangesResponse, most_bytes: usize) {
        let mut bytes = ANSWER_OVERHEAD;
        for (revision, key) in self.log.since(answer.from_revision) {
            let value = self.records.get(key).map(|record| &record.value);
            bytes += encoded_len(key, value.map(Box::as_ref));
            if let Some(last) = answer.changes.last().filter(|_| bytes > most_bytes) {
                answer.version.revision = last.revision;
                answer.has_more = true;
                return;
            }
            answer.changes.push(Change { revision, key: key.clone(), value: value.cloned() });
        }
    }

    fn value_len(&self, key: &Key) -> Option<usize> {
        self.records.get(key).map(|record| record.value.get().len())
    }

    fn put(&mut self, key: &Key, value: Option<Box<RawValue>>, revision: u64) {
        let key_bytes = key.as_str().len();
        let Some(value) = value else {
            let removed = self.records.remove(key);
            self.bytes -= removed.as_ref().map_or(0, |record| key_bytes + record.value.get().len());
            self.hashes.remove(key, KeyHash::of(key));
            self.log.remove(key, revision, removed.map(|record| record.revision));
            return;
        };
        self.hashes.set(key, KeyHash::of(key), record_hash(key, value.get()), Key::clone);
        self.bytes += key_bytes + value.get().len();
        let before = self.records.insert(key.clone(), Record { revision, value });
        self.bytes -= before.as_ref().map_or(0, |record| key_bytes + record.value.get().len());
        self.log.set(key, revision, before.map(|record| record.revision));
    }

    /// After a whole new state: which change removed a record is unknown, and revisions of an older epoch say nothing.
    fn forget_changes(&mut self) {
        let newest = self.version.revision;
        self.log.clear(newest);
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

fn encoded_len(key: &Key, value: Option<&RawValue>) -> usize {
    CHANGE_OVERHEAD + escaped_len(key.as_str()) + value.map_or(0, |value| value.get().len())
}
