//! What a replica has in force, and the checks of what comes against it.

use std::collections::HashSet;

use crate::digest::{bucket_of, record_hash};
use crate::json::NULL;
use crate::record_hashes::RecordHashes;
use crate::{Change, ChangesAnswer, Check, Digest, Key, Limits, Names, Rejection, Version};

/// The records that a replica has in force.
#[derive(Debug)]
pub(crate) struct Held {
    pub(crate) limits: Limits,
    pub(crate) names: Names,
    pub(crate) version: Version,
    pub(crate) records: RecordHashes,
}

/// A change with the hash of the record as it becomes.
#[derive(Clone, Debug)]
pub(crate) struct HashedChange {
    pub(crate) change: Change,
    /// None where the record is removed.
    pub(crate) hash: Option<u64>,
}

/// What the records would be with some changes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outlook {
    pub(crate) digest: Digest,
    pub(crate) records: usize,
}

impl HashedChange {
    pub(crate) fn new(change: Change) -> HashedChange {
        let hash = change.value.as_deref().map(|value| record_hash(&change.key, value.get()));
        HashedChange { change, hash }
    }

    /// The removal of a record that is missing in a whole state or bucket.
    pub(crate) fn removal(key: Key) -> HashedChange {
        HashedChange { change: Change { revision: 0, key, value: None }, hash: None }
    }
}

impl Held {
    /// Hashes changes whose values the limits and the checker allow. Values that are in force are not checked again.
    pub(crate) fn checked(
        &self,
        changes: Vec<Change>,
        check: &Check<'_>,
    ) -> Result<Vec<HashedChange>, Rejection> {
        let hashed: Vec<HashedChange> = changes.into_iter().map(HashedChange::new).collect();
        hashed.iter().try_for_each(|hashed| self.verify_value(hashed, check))?;
        Ok(hashed)
    }

    /// Whether a value that is not in force yet may be.
    pub(crate) fn verify_value(&self, hashed: &HashedChange, check: &Check<'_>) -> Result<(), Rejection> {
        let Change { key, value, .. } = &hashed.change;
        if self.records.get(key) == hashed.hash {
            return Ok(());
        }
        let text = value.as_deref().map(|value| value.get());
        if text == Some(NULL) {
            return Err(Rejection::MissingValue(key.clone()));
        }
        let bytes = text.map_or(0, str::len);
        if bytes > self.limits.value_bytes {
            return Err(Rejection::ValueTooLong { key: key.clone(), bytes, most: self.limits.value_bytes });
        }
        check(key, text).map_err(|reason| Rejection::Refused { key: key.clone(), reason })
    }

    /// What the records would be with these changes, each of another record.
    pub(crate) fn outlook(&self, changes: &[HashedChange]) -> Outlook {
        let mut digest = self.records.digest().0;
        let mut records = self.records.len();
        for HashedChange { change, hash } in changes {
            let before = self.records.get(&change.key);
            digest = digest.wrapping_sub(before.unwrap_or(0)).wrapping_add(hash.unwrap_or(0));
            records -= usize::from(before.is_some());
            records += usize::from(hash.is_some());
        }
        Outlook { digest: Digest(digest), records }
    }

    /// The digests of all buckets as they would be with these changes, each of another record.
    pub(crate) fn bucket_digests_with(&self, changes: &[HashedChange]) -> Vec<Digest> {
        let mut digests: Vec<Digest> = self.records.bucket_digests().collect();
        for HashedChange { change, hash } in changes {
            let before = self.records.get(&change.key).unwrap_or(0);
            let Digest(digest) = &mut digests[bucket_of(&change.key)];
            *digest = digest.wrapping_sub(before).wrapping_add(hash.unwrap_or(0));
        }
        digests
    }

    /// Puts a change in force.
    pub(crate) fn apply(&mut self, HashedChange { change, hash }: &HashedChange) {
        match hash {
            Some(hash) => self.records.set(&change.key, *hash, |key| self.names.share(key.clone())),
            None => self.records.remove(&change.key),
        }
    }
}

/// Whether the limits allow so many records.
pub(crate) fn verify_count(records: usize, limits: &Limits) -> Result<(), Rejection> {
    let most = limits.records;
    if records > most { Err(Rejection::TooManyRecords { records, most }) } else { Ok(()) }
}

/// Whether an answered version is no older than a held one.
pub(crate) fn verify_not_older(answered: Version, held: Version) -> Result<(), Rejection> {
    if answered.epoch == 0 {
        return Err(Rejection::NoState);
    }
    if answered.epoch < held.epoch {
        return Err(Rejection::OlderEpoch { answered, held });
    }
    if answered < held {
        return Err(Rejection::OlderRevision { answered, held });
    }
    Ok(())
}

/// Whether changes follow on the revision that was asked for, in ascending order and each of another record.
pub(crate) fn verify_changes(answer: &ChangesAnswer, asked: u64) -> Result<(), Rejection> {
    if answer.from != asked {
        return Err(Rejection::WrongFrom { answered: answer.from, asked });
    }
    if answer.more && answer.changes.is_empty() {
        return Err(Rejection::EmptyPiece);
    }
    let mut before = asked;
    let mut keys = HashSet::with_capacity(answer.changes.len());
    for Change { revision, key, .. } in &answer.changes {
        if *revision <= before || *revision > answer.version.revision {
            return Err(Rejection::WrongRevision { key: key.clone(), revision: *revision });
        }
        before = *revision;
        if !keys.insert(key) {
            return Err(Rejection::DoubledKey(key.clone()));
        }
    }
    Ok(())
}

/// Whether records of a snapshot or bucket have values, known revisions, and keys that ascend from `after` on.
pub(crate) fn verify_records(
    records: &[Change],
    version: Version,
    after: Option<&Key>,
) -> Result<(), Rejection> {
    let mut before = after;
    for Change { revision, key, value } in records {
        if before.is_some_and(|before| key <= before) {
            return Err(Rejection::KeyOutOfOrder(key.clone()));
        }
        before = Some(key);
        if value.is_none() {
            return Err(Rejection::MissingValue(key.clone()));
        }
        if *revision > version.revision {
            return Err(Rejection::WrongRevision { key: key.clone(), revision: *revision });
        }
    }
    Ok(())
}
