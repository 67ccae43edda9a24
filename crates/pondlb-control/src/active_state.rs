//! The active state of a replica, and the checks of received changes and records against it.

use std::collections::BTreeSet;

use crate::digest::{KeyHash, record_hash};
use crate::json::NULL;
use crate::record_hashes::RecordHashes;
use crate::{Change, ChangesResponse, Digest, Key, KeyInterner, Limits, RecordValidator, Rejection, Version};

/// The state that a replica has applied and handed to its consumer.
#[derive(Debug)]
pub(crate) struct ActiveState {
    /// Bounds that received values and states must keep.
    pub(crate) limits: Limits,
    /// Shares the keys of new records with the other replicas of the process.
    pub(crate) key_interner: KeyInterner,
    /// The version of the last change that was applied.
    pub(crate) version: Version,
    /// The keys and hashes of the active records.
    pub(crate) records: RecordHashes,
}

/// A change with the hashes of its key and of the record that it results in.
#[derive(Clone, Debug)]
pub(crate) struct HashedChange {
    /// The change itself.
    pub(crate) change: Change,
    /// The hash of the record's key.
    pub(crate) key_hash: KeyHash,
    /// The hash of the record after the change; `None` if the record is removed.
    pub(crate) hash: Option<u64>,
}

/// The result that applying some changes to the active state would have.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProjectedState {
    /// The digest of all records.
    pub(crate) digest: Digest,
    /// The number of records.
    pub(crate) record_count: usize,
}

impl HashedChange {
    /// Computes the hashes of a change.
    pub(crate) fn new(change: Change) -> HashedChange {
        let key_hash = KeyHash::of(&change.key);
        let hash = change.value.as_deref().map(|value| record_hash(&change.key, value.get()));
        HashedChange { change, key_hash, hash }
    }

    /// The removal of an active record that a complete state or bucket no longer contains. Its revision is 0, as it is
    /// unknown which change removed the record.
    pub(crate) fn removal(key: Key) -> HashedChange {
        HashedChange::new(Change { revision: 0, key, value: None })
    }
}

impl ActiveState {
    /// Checks the value of a change against the limits and the validator. A value that is already active is not
    /// validated again.
    pub(crate) fn validate_value(
        &self,
        hashed: &HashedChange,
        validate: &RecordValidator<'_>,
    ) -> Result<(), Rejection> {
        let Change { key, value, .. } = &hashed.change;
        if self.active_hash(hashed) == hashed.hash {
            return Ok(());
        }
        let text = value.as_deref().map(|value| value.get());
        if text == Some(NULL) {
            return Err(Rejection::MissingValue(key.clone()));
        }
        let bytes = text.map_or(0, str::len);
        if bytes > self.limits.max_value_bytes {
            return Err(Rejection::ValueTooLong {
                key: key.clone(),
                bytes,
                max: self.limits.max_value_bytes,
            });
        }
        validate(key, text).map_err(|reason| Rejection::InvalidRecord { key: key.clone(), reason })
    }

    /// The hash of the changed record in the active state, before the change.
    pub(crate) fn active_hash(&self, HashedChange { change, key_hash, .. }: &HashedChange) -> Option<u64> {
        self.records.get(&change.key, *key_hash)
    }

    /// The digest and record count after these changes, which must each concern a different record.
    pub(crate) fn project(&self, changes: &[HashedChange]) -> ProjectedState {
        let mut digest = self.records.digest().0;
        let mut records = self.records.len();
        for change in changes {
            let previous_hash = self.active_hash(change);
            digest = digest.wrapping_sub(previous_hash.unwrap_or(0)).wrapping_add(change.hash.unwrap_or(0));
            records -= usize::from(previous_hash.is_some());
            records += usize::from(change.hash.is_some());
        }
        ProjectedState { digest: Digest(digest), record_count: records }
    }

    /// The digests of all buckets after these changes, which must each concern a different record.
    pub(crate) fn projected_bucket_digests(&self, changes: &[HashedChange]) -> Vec<Digest> {
        let mut digests: Vec<Digest> = self.records.bucket_digests().collect();
        for change in changes {
            let previous_hash = self.active_hash(change).unwrap_or(0);
            let Digest(digest) = &mut digests[change.key_hash.bucket()];
            *digest = digest.wrapping_sub(previous_hash).wrapping_add(change.hash.unwrap_or(0));
        }
        digests
    }

    /// Applies a change.
    pub(crate) fn apply(&mut self, HashedChange { change, key_hash, hash }: &HashedChange) {
        match hash {
            Some(hash) => {
                self.records.set(&change.key, *key_hash, *hash, |key| self.key_interner.intern(key.clone()));
            }
            None => self.records.remove(&change.key, *key_hash),
        }
    }
}

/// Checks a number of records against the limits.
pub(crate) fn verify_record_count(records: usize, limits: &Limits) -> Result<(), Rejection> {
    let max = limits.max_records;
    if records > max { Err(Rejection::TooManyRecords { records, max }) } else { Ok(()) }
}

/// Checks that a received version holds a state and is not older than an active or staged one.
pub(crate) fn verify_not_older(received: Version, active: Version) -> Result<(), Rejection> {
    if received.epoch == 0 {
        return Err(Rejection::ServerWithoutState);
    }
    if received.epoch < active.epoch {
        return Err(Rejection::OlderEpoch { received, active });
    }
    if received < active {
        return Err(Rejection::OlderRevision { received, active });
    }
    Ok(())
}

/// Checks that changes start after the `requested` revision, ascend by revision and each concern a different record.
pub(crate) fn verify_changes(
    response: &ChangesResponse,
    changes: &[HashedChange],
    requested: u64,
) -> Result<(), Rejection> {
    if response.from_revision != requested {
        return Err(Rejection::WrongBaseRevision { received: response.from_revision, requested });
    }
    if response.has_more && changes.is_empty() {
        return Err(Rejection::EmptyPage);
    }
    let mut previous = requested;
    for Change { revision, key, .. } in changes.iter().map(|hashed| &hashed.change) {
        if *revision <= previous || *revision > response.version.revision {
            return Err(Rejection::InvalidRevision { key: key.clone(), revision: *revision });
        }
        previous = *revision;
    }
    verify_distinct_keys(changes)
}

/// Checks that no two changes concern the same record.
fn verify_distinct_keys(changes: &[HashedChange]) -> Result<(), Rejection> {
    let mut key_hashes: Vec<KeyHash> = changes.iter().map(|change| change.key_hash).collect();
    key_hashes.sort_unstable();
    if key_hashes.is_sorted_by(|one, next| one < next) {
        return Ok(());
    }
    // Different keys may have equal hashes, so the keys themselves are compared.
    let mut keys = BTreeSet::new();
    let duplicate = changes.iter().find(|hashed| !keys.insert(&hashed.change.key));
    duplicate.map_or(Ok(()), |hashed| Err(Rejection::DuplicateKey(hashed.change.key.clone())))
}

/// Checks that the records of a snapshot page or bucket have values, revisions up to that of `version`, and keys that
/// ascend and are all greater than `after`.
pub(crate) fn verify_records(
    records: &[HashedChange],
    version: Version,
    after: Option<&Key>,
) -> Result<(), Rejection> {
    let mut previous = after;
    for Change { revision, key, value } in records.iter().map(|hashed| &hashed.change) {
        if previous.is_some_and(|previous| key <= previous) {
            return Err(Rejection::KeyOutOfOrder(key.clone()));
        }
        previous = Some(key);
        if value.is_none() {
            return Err(Rejection::MissingValue(key.clone()));
        }
        if *revision > version.revision {
            return Err(Rejection::InvalidRevision { key: key.clone(), revision: *revision });
        }
    }
    Ok(())
}
