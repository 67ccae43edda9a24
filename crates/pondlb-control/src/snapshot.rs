//! A whole state on its way: staged until its digest is right.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::held::{HashedChange, Held, verify_changes, verify_count, verify_not_older, verify_records};
use crate::pending::CheckedRecords;
use crate::record_hashes::RecordHashes;
use crate::{
    Change, ChangesResponse, Digest, Key, Limits, LongPoll, RecordValidator, Rejection, ReplicaRequest,
    SnapshotResponse, Version,
};

/// A snapshot being read: its pieces first, then the changes since the first piece.
#[derive(Debug)]
pub(crate) struct StagedSnapshot {
    stage: Stage,
    /// The newest version that a piece was read at.
    newest: Version,
    records: RecordHashes,
    /// The records that are not in force as they are staged.
    differences: BTreeMap<Key, HashedChange>,
    /// Bytes of the keys and values of the differences.
    bytes: usize,
}

#[derive(Debug)]
enum Stage {
    /// Pieces follow behind a key.
    Pieces { first: Option<Version>, after: Option<Key> },
    /// The changes since a version follow.
    Changes { from: Version, hurry: bool },
}

/// How a snapshot goes on.
#[derive(Debug)]
pub(crate) enum SnapshotStep {
    /// More is to be asked for.
    Pending,
    /// A newer epoch or a reset: it has to begin again.
    StartOver,
    /// All is there and verified.
    Complete(Box<WholeState>),
}

/// A verified whole state.
#[derive(Debug)]
pub(crate) struct WholeState {
    pub(crate) version: Version,
    pub(crate) records: RecordHashes,
    /// The difference to what is in force, in the order of keys.
    pub(crate) changes: Vec<HashedChange>,
}

impl StagedSnapshot {
    pub(crate) fn new() -> StagedSnapshot {
        StagedSnapshot {
            stage: Stage::Pieces { first: None, after: None },
            newest: Version::default(),
            records: RecordHashes::new(),
            differences: BTreeMap::new(),
            bytes: 0,
        }
    }

    /// What to ask next. The digest told is that of what is in force, so that no server takes a staged state for it.
    pub(crate) fn next_call(&self, hold: Duration, in_force: Digest) -> ReplicaRequest {
        match &self.stage {
            Stage::Pieces { after, .. } => ReplicaRequest::Snapshot { after: after.clone() },
            Stage::Changes { from, hurry } => {
                let hold = if *hurry { LongPoll::No } else { LongPoll::UpTo(hold) };
                ReplicaRequest::Changes { from: *from, digest: in_force, hold }
            }
        }
    }

    /// Takes a piece.
    pub(crate) fn receive_piece(
        &mut self,
        answer: SnapshotResponse,
        records: CheckedRecords,
        held: &Held,
    ) -> Result<SnapshotStep, Rejection> {
        let Stage::Pieces { first, after } = &self.stage else { return Err(Rejection::UnexpectedResponse) };
        verify_not_older(answer.version, held.version)?;
        if first.is_some_and(|first| answer.version.epoch > first.epoch) {
            return Ok(SnapshotStep::StartOver);
        }
        verify_not_older(answer.version, self.newest)?;
        verify_records(&records.records, answer.version, after.as_ref())?;
        let last = records.records.last().map(|record| &record.change.key);
        if let Some(next) = answer.next_after.as_ref().filter(|next| Some(*next) != last) {
            return Err(Rejection::WrongNextKey(next.clone()));
        }
        let first = first.unwrap_or(answer.version);
        let records = records.accepted()?;
        self.verify_extent(&records, &held.limits.at_piece(true))?;
        self.newest = answer.version;
        self.stage = match answer.next_after {
            Some(next) => Stage::Pieces { first: Some(first), after: Some(next) },
            None => Stage::Changes { from: first, hurry: true },
        };
        records.into_iter().for_each(|record| self.put(record, held));
        Ok(SnapshotStep::Pending)
    }

    /// Takes changes since the first piece.
    pub(crate) fn receive_changes(
        &mut self,
        answer: ChangesResponse,
        changes: CheckedRecords,
        held: &Held,
        check: &RecordValidator<'_>,
    ) -> Result<SnapshotStep, Rejection> {
        let Stage::Changes { from, .. } = self.stage else { return Err(Rejection::UnexpectedResponse) };
        verify_not_older(answer.version, from)?;
        if answer.version.epoch > from.epoch || answer.reset {
            return Ok(SnapshotStep::StartOver);
        }
        if !answer.has_more {
            verify_not_older(answer.version, self.newest)?;
        }
        verify_changes(&answer, &changes.records, from.revision)?;
        let changes = changes.accepted()?;
        self.verify_extent(&changes, &held.limits.at_piece(answer.has_more))?;
        changes.into_iter().for_each(|change| self.put(change, held));
        self.newest = self.newest.max(answer.version);
        self.stage = Stage::Changes { from: answer.version, hurry: answer.has_more };
        match answer.digest.filter(|_| !answer.has_more) {
            None => Ok(SnapshotStep::Pending),
            Some(told) => self.complete(answer.version, told, held, check),
        }
    }

    fn complete(
        &mut self,
        version: Version,
        told: Digest,
        held: &Held,
        check: &RecordValidator<'_>,
    ) -> Result<SnapshotStep, Rejection> {
        let computed = self.records.digest();
        if told != computed {
            return Err(Rejection::DigestMismatch { expected: told, computed });
        }
        let removals = self.removals(held);
        removals.iter().try_for_each(|removal| held.verify_value(removal, check))?;
        let mut changes: Vec<HashedChange> = std::mem::take(&mut self.differences).into_values().collect();
        if !removals.is_empty() {
            changes.extend(removals);
            changes.sort_unstable_by(|one, other| one.change.key.cmp(&other.change.key));
        }
        let records = std::mem::replace(&mut self.records, RecordHashes::new());
        Ok(SnapshotStep::Complete(Box::new(WholeState { version, records, changes })))
    }

    /// Removals of the records in force that are not staged.
    fn removals(&self, held: &Held) -> Vec<HashedChange> {
        let is_new = |hashed: &&HashedChange| held.hash_in_force(hashed).is_none();
        let new = self.differences.values().filter(is_new).count();
        if self.records.len() - new == held.records.len() {
            return Vec::new();
        }
        let missing = held.records.keys_missing_in(&self.records);
        missing.cloned().map(HashedChange::removal).collect()
    }

    /// Whether the limits allow what is staged with these changes.
    fn verify_extent(&self, changes: &[HashedChange], limits: &Limits) -> Result<(), Rejection> {
        let mut records = self.records.len();
        let mut bytes = self.bytes;
        for HashedChange { change, key_hash, hash } in changes {
            // What is no record yet is no difference either.
            if self.records.get(&change.key, *key_hash).is_some() {
                records -= 1;
                bytes -= self.differences.get(&change.key).map_or(0, |before| staged_bytes(&before.change));
            }
            records += usize::from(hash.is_some());
            bytes += staged_bytes(change);
        }
        verify_count(records, limits)?;
        let most = limits.max_total_bytes;
        if bytes > most { Err(Rejection::TooManyBytes { bytes, max: most }) } else { Ok(()) }
    }

    fn put(&mut self, HashedChange { change, key_hash, hash }: HashedChange, held: &Held) {
        let key = held.names.intern(change.key.clone());
        match hash {
            Some(hash) => self.records.set(&key, key_hash, hash, Key::clone),
            None => self.records.remove(&key, key_hash),
        }
        let is_difference = hash.is_some() && held.records.get(&key, key_hash) != hash;
        let before = if is_difference {
            self.bytes += staged_bytes(&change);
            let change = Change { key: key.clone(), ..change };
            self.differences.insert(key, HashedChange { change, key_hash, hash })
        } else {
            self.differences.remove(&key)
        };
        self.bytes -= before.map_or(0, |before| staged_bytes(&before.change));
    }
}

/// What a change takes of the bytes that may be staged.
fn staged_bytes(change: &Change) -> usize {
    change.value.as_deref().map_or(0, |value| change.key.as_str().len() + value.get().len())
}
