//! What a replica has in force, and the checks of what comes against it.

use std::collections::BTreeSet;

use crate::digest::{KeyHash, record_hash};
use crate::json::NULL;
use crate::record_hashes::RecordHashes;
use crate::{Change, ChangesResponse, Digest, Key, KeyInterner, Limits, RecordValidator, Rejection, Version};

/// The records that a replica has in force.
#[derive(Debug)]
pub(crate) struct ActiveState {
    pub(crate) limits: Limits,
    pub(crate) key_interner: KeyInterner,
    pub(crate) version: Version,
    pub(crate) records: RecordHashes,
}

/// A change with the hash of the record as it becomes.
#[derive(Clone, Debug)]
pub(crate) struct HashedChange {
    pub(crate) change: Change,
    pub(crate) key_hash: KeyHash,
    /// None where the record is removed.
    pub(crate) hash: Option<u64>,
}

/// What the records would be with some changes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProjectedState {
    pub(crate) digest: Digest,
    pub(crate) record_count: usize,
}

impl HashedChange {
    pub(crate) fn new(change: Change) -> HashedChange {
        let key_hash = KeyHash::of(&change.key);
        let hash = change.value.as_deref().map(|value| record_hash(&change.key, value.get()));
        HashedChange { change, key_hash, hash }
    }

    /// The removal of a record that is missing in a whole state or bucket.
    pub(crate) fn removal(key: Key) -> HashedChange {
        HashedChange::new(Change { revision: 0, key, value: None })
    }
}

impl ActiveState {
    /// Whether the limits and the checker allow a value. One that is in force is not checked again.
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

    /// The hash that the record has as it is in force.
    pub(crate) fn active_hash(&self, HashedChange { change, key_hash, .. }: &HashedChange) -> Option<u64> {
        self.records.get(&change.key, *key_hash)
    }

    /// What the records would be with these changes, each of another record.
    pub(crate) fn project(&self, changes: &[HashedChange]) -> ProjectedState {
        let mut digest = self.records.digest().0;
        let mut records = self.records.len();
        for change in changes {
            let before = self.active_hash(change);
            digest = digest.wrapping_sub(before.unwrap_or(0)).wrapping_add(change.hash.unwrap_or(0));
            records -= usize::from(before.is_some());
            records += usize::from(change.hash.is_some());
        }
        ProjectedState { digest: Digest(digest), record_count: records }
    }

    /// The digests of all buckets as they would be with these changes, each of another record.
    pub(crate) fn projected_bucket_digests(&self, changes: &[HashedChange]) -> Vec<Digest> {
        let mut digests: Vec<Digest> = self.records.bucket_digests().collect();
        for change in changes {
            let before = self.active_hash(change).unwrap_or(0);
            let Digest(digest) = &mut digests[change.key_hash.bucket()];
            *digest = digest.wrapping_sub(before).wrapping_add(change.hash.unwrap_or(0));
        }
        digests
    }

    /// Puts a change in force.
    pub(crate) fn apply(&mut self, HashedChange { change, key_hash, hash }: &HashedChange) {
        match hash {
            Some(hash) => {
                self.records.set(&change.key, *key_hash, *hash, |key| self.key_interner.intern(key.clone()));
            }
            None => self.records.remove(&change.key, *key_hash),
        }
    }
}

/// Whether the limits allow so many records.
pub(crate) fn verify_record_count(records: usize, limits: &Limits) -> Result<(), Rejection> {
    let most = limits.max_records;
    if records > most { Err(Rejection::TooManyRecords { records, max: most }) } else { Ok(()) }
}

/// Whether an answered version is no older than a held one.
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

/// Whether changes follow on the revision that was asked for, in ascending order and each of another record.
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
    let mut before = requested;
    for Change { revision, key, .. } in changes.iter().map(|hashed| &hashed.change) {
        if *revision <= before || *revision > response.version.revision {
            return Err(Rejection::InvalidRevision { key: key.clone(), revision: *revision });
        }
        before = *revision;
    }
    verify_distinct_keys(changes)
}

fn verify_distinct_keys(changes: &[HashedChange]) -> Result<(), Rejection> {
    let mut key_hashes: Vec<KeyHash> = changes.iter().map(|change| change.key_hash).collect();
    key_hashes.sort_unstable();
    if key_hashes.is_sorted_by(|one, next| one < next) {
        return Ok(());
    }
    // Two keys may have one hash, so only their texts tell.
    let mut keys = BTreeSet::new();
    let doubled = changes.iter().find(|hashed| !keys.insert(&hashed.change.key));
    doubled.map_or(Ok(()), |hashed| Err(Rejection::DuplicateKey(hashed.change.key.clone())))
}

/// Whether records of a snapshot or bucket have values, known revisions, and keys that ascend from `after` on.
pub(crate) fn verify_records(
    records: &[HashedChange],
    version: Version,
    after: Option<&Key>,
) -> Result<(), Rejection> {
    let mut before = after;
    for Change { revision, key, value } in records.iter().map(|hashed| &hashed.change) {
        if before.is_some_and(|before| key <= before) {
            return Err(Rejection::KeyOutOfOrder(key.clone()));
        }
        before = Some(key);
        if value.is_none() {
            return Err(Rejection::MissingValue(key.clone()));
        }
        if *revision > version.revision {
            return Err(Rejection::InvalidRevision { key: key.clone(), revision: *revision });
        }
    }
    Ok(())
}
