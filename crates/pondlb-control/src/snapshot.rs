//! A whole state on its way: staged until its digest is right.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::active_state::{
    ActiveState, HashedChange, verify_changes, verify_not_older, verify_record_count, verify_records,
};
use crate::pending_response::ValidatedRecords;
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
    newest_page_version: Version,
    records: RecordHashes,
    /// The records that are not in force as they are staged.
    differences: BTreeMap<Key, HashedChange>,
    /// Bytes of the keys and values of the differences.
    difference_bytes: usize,
}

#[derive(Debug)]
enum Stage {
    /// Pieces follow behind a key.
    ReadingPages { first_page_version: Option<Version>, after: Option<Key> },
    /// The changes since a version follow.
    FollowingChanges { from: Version, poll_immediately: bool },
}

/// How a snapshot goes on.
#[derive(Debug)]
pub(crate) enum SnapshotStep {
    /// More is to be asked for.
    Pending,
    /// A newer epoch or a reset: it has to begin again.
    Interrupted,
    /// All is there and verified.
    Complete(Box<VerifiedSnapshot>),
}

/// A verified whole state.
#[derive(Debug)]
pub(crate) struct VerifiedSnapshot {
    pub(crate) version: Version,
    pub(crate) records: RecordHashes,
    /// The difference to what is in force, in the order of keys.
    pub(crate) changes: Vec<HashedChange>,
}

impl StagedSnapshot {
    pub(crate) fn new() -> StagedSnapshot {
        StagedSnapshot {
            stage: Stage::ReadingPages { first_page_version: None, after: None },
            newest_page_version: Version::default(),
            records: RecordHashes::new(),
            differences: BTreeMap::new(),
            difference_bytes: 0,
        }
    }

    /// What to ask next. The digest told is that of what is in force, so that no server takes a staged state for it.
    pub(crate) fn next_request(&self, hold: Duration, in_force: Digest) -> ReplicaRequest {
        match &self.stage {
            Stage::ReadingPages { after, .. } => ReplicaRequest::Snapshot { after: after.clone() },
            Stage::FollowingChanges { from, poll_immediately: hurry } => {
                let hold = if *hurry { LongPoll::No } else { LongPoll::UpTo(hold) };
                ReplicaRequest::Changes { from: *from, digest: in_force, hold }
            }
        }
    }

    /// Takes a piece.
    pub(crate) fn receive_page(
        &mut self,
        response: SnapshotResponse,
        records: ValidatedRecords,
        active: &ActiveState,
    ) -> Result<SnapshotStep, Rejection> {
        let Stage::ReadingPages { first_page_version: first, after } = &self.stage else {
            return Err(Rejection::UnexpectedResponse);
        };
        verify_not_older(response.version, active.version)?;
        if first.is_some_and(|first| response.version.epoch > first.epoch) {
            return Ok(SnapshotStep::Interrupted);
        }
        verify_not_older(response.version, self.newest_page_version)?;
        verify_records(&records.records, response.version, after.as_ref())?;
        let last = records.records.last().map(|record| &record.change.key);
        if let Some(next) = response.next_after.as_ref().filter(|next| Some(*next) != last) {
            return Err(Rejection::WrongNextKey(next.clone()));
        }
        let first = first.unwrap_or(response.version);
        let records = records.into_accepted()?;
        self.verify_staged_size(&records, &active.limits.for_page(true))?;
        self.newest_page_version = response.version;
        self.stage = match response.next_after {
            Some(next) => Stage::ReadingPages { first_page_version: Some(first), after: Some(next) },
            None => Stage::FollowingChanges { from: first, poll_immediately: true },
        };
        records.into_iter().for_each(|record| self.stage_change(record, active));
        Ok(SnapshotStep::Pending)
    }

    /// Takes changes since the first piece.
    pub(crate) fn receive_changes(
        &mut self,
        response: ChangesResponse,
        changes: ValidatedRecords,
        active: &ActiveState,
        validate: &RecordValidator<'_>,
    ) -> Result<SnapshotStep, Rejection> {
        let Stage::FollowingChanges { from, .. } = self.stage else {
            return Err(Rejection::UnexpectedResponse);
        };
        verify_not_older(response.version, from)?;
        if response.version.epoch > from.epoch || response.reset {
            return Ok(SnapshotStep::Interrupted);
        }
        if !response.has_more {
            verify_not_older(response.version, self.newest_page_version)?;
        }
        verify_changes(&response, &changes.records, from.revision)?;
        let changes = changes.into_accepted()?;
        self.verify_staged_size(&changes, &active.limits.for_page(response.has_more))?;
        changes.into_iter().for_each(|change| self.stage_change(change, active));
        self.newest_page_version = self.newest_page_version.max(response.version);
        self.stage = Stage::FollowingChanges { from: response.version, poll_immediately: response.has_more };
        match response.digest.filter(|_| !response.has_more) {
            None => Ok(SnapshotStep::Pending),
            Some(expected) => self.complete(response.version, expected, active, validate),
        }
    }

    fn complete(
        &mut self,
        version: Version,
        expected: Digest,
        active: &ActiveState,
        validate: &RecordValidator<'_>,
    ) -> Result<SnapshotStep, Rejection> {
        let computed = self.records.digest();
        if expected != computed {
            return Err(Rejection::DigestMismatch { expected, computed });
        }
        let removals = self.removals(active);
        removals.iter().try_for_each(|removal| active.validate_value(removal, validate))?;
        let mut changes: Vec<HashedChange> = std::mem::take(&mut self.differences).into_values().collect();
        if !removals.is_empty() {
            changes.extend(removals);
            changes.sort_unstable_by(|one, other| one.change.key.cmp(&other.change.key));
        }
        let records = std::mem::replace(&mut self.records, RecordHashes::new());
        Ok(SnapshotStep::Complete(Box::new(VerifiedSnapshot { version, records, changes })))
    }

    /// Removals of the records in force that are not staged.
    fn removals(&self, active: &ActiveState) -> Vec<HashedChange> {
        let is_new = |hashed: &&HashedChange| active.active_hash(hashed).is_none();
        let new = self.differences.values().filter(is_new).count();
        if self.records.len() - new == active.records.len() {
            return Vec::new();
        }
        let missing = active.records.keys_missing_in(&self.records);
        missing.cloned().map(HashedChange::removal).collect()
    }

    /// Whether the limits allow what is staged with these changes.
    fn verify_staged_size(&self, changes: &[HashedChange], limits: &Limits) -> Result<(), Rejection> {
        let mut records = self.records.len();
        let mut bytes = self.difference_bytes;
        for HashedChange { change, key_hash, hash } in changes {
            // What is no record yet is no difference either.
            if self.records.get(&change.key, *key_hash).is_some() {
                records -= 1;
                bytes -= self.differences.get(&change.key).map_or(0, |before| staged_bytes(&before.change));
            }
            records += usize::from(hash.is_some());
            bytes += staged_bytes(change);
        }
        verify_record_count(records, limits)?;
        let most = limits.max_total_bytes;
        if bytes > most { Err(Rejection::TooManyBytes { bytes, max: most }) } else { Ok(()) }
    }

    fn stage_change(&mut self, HashedChange { change, key_hash, hash }: HashedChange, active: &ActiveState) {
        let key = active.key_interner.intern(change.key.clone());
        match hash {
            Some(hash) => self.records.set(&key, key_hash, hash, Key::clone),
            None => self.records.remove(&key, key_hash),
        }
        let is_difference = hash.is_some() && active.records.get(&key, key_hash) != hash;
        let before = if is_difference {
            self.difference_bytes += staged_bytes(&change);
            let change = Change { key: key.clone(), ..change };
            self.differences.insert(key, HashedChange { change, key_hash, hash })
        } else {
            self.differences.remove(&key)
        };
        self.difference_bytes -= before.map_or(0, |before| staged_bytes(&before.change));
    }
}

/// What a change takes of the bytes that may be staged.
fn staged_bytes(change: &Change) -> usize {
    change.value.as_deref().map_or(0, |value| change.key.as_str().len() + value.get().len())
}
