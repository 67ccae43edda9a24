//! Reading of a snapshot, which is staged until its digest is verified.

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

/// A snapshot that is being read: first its pages, then the changes since the first page.
#[derive(Debug)]
pub(crate) struct StagedSnapshot {
    stage: Stage,
    /// The newest version that a page or the changes since the first page were read at.
    newest_version: Version,
    /// The keys and hashes of the staged records.
    records: RecordHashes,
    /// The staged records that differ from the active ones.
    differences: BTreeMap<Key, HashedChange>,
    /// The bytes of the keys and values of the differences.
    difference_bytes: usize,
}

/// What is read next.
#[derive(Debug)]
enum Stage {
    /// The page after a key.
    ReadingPages {
        /// The version that the first page was read at; `None` until it is received.
        first_page_version: Option<Version>,
        /// The last key of the previous page; `None` before the first page.
        after: Option<Key>,
    },
    /// The changes since a version.
    FollowingChanges {
        /// The version of the first page, or of the changes received since.
        from: Version,
        /// The next request does not let the server wait for new changes, because there may already be some.
        poll_immediately: bool,
    },
}

/// The result of a step of a snapshot.
#[derive(Debug)]
pub(crate) enum SnapshotStep {
    /// More requests are needed.
    Pending,
    /// The server has a newer epoch or has sent a reset: the snapshot has to start over.
    Interrupted,
    /// The snapshot is complete and its digest verified.
    Complete(Box<VerifiedSnapshot>),
}

/// A snapshot that has the server's digest.
#[derive(Debug)]
pub(crate) struct VerifiedSnapshot {
    /// The version of the snapshot.
    pub(crate) version: Version,
    /// The keys and hashes of its records.
    pub(crate) records: RecordHashes,
    /// The changes from the active state to the snapshot, ordered by key.
    pub(crate) changes: Vec<HashedChange>,
}

impl StagedSnapshot {
    /// Starts a snapshot, beginning with its first page.
    pub(crate) fn new() -> StagedSnapshot {
        StagedSnapshot {
            stage: Stage::ReadingPages { first_page_version: None, after: None },
            newest_version: Version::default(),
            records: RecordHashes::new(),
            differences: BTreeMap::new(),
            difference_bytes: 0,
        }
    }

    /// The next request. It carries the digest of the active state, so that the server does not mistake the staged
    /// state for the active one.
    pub(crate) fn next_request(&self, max_hold: Duration, active_digest: Digest) -> ReplicaRequest {
        match &self.stage {
            Stage::ReadingPages { after, .. } => ReplicaRequest::Snapshot { after: after.clone() },
            Stage::FollowingChanges { from, poll_immediately } => {
                let hold = if *poll_immediately { LongPoll::No } else { LongPoll::UpTo(max_hold) };
                ReplicaRequest::Changes { from: *from, digest: active_digest, hold }
            }
        }
    }

    /// Receives a page.
    pub(crate) fn receive_page(
        &mut self,
        response: SnapshotResponse,
        records: ValidatedRecords,
        active: &ActiveState,
    ) -> Result<SnapshotStep, Rejection> {
        let Stage::ReadingPages { first_page_version, after } = &self.stage else {
            return Err(Rejection::UnexpectedResponse);
        };
        verify_not_older(response.version, active.version)?;
        if first_page_version.is_some_and(|first| response.version.epoch > first.epoch) {
            return Ok(SnapshotStep::Interrupted);
        }
        verify_not_older(response.version, self.newest_version)?;
        verify_records(&records.records, response.version, after.as_ref())?;
        let last = records.records.last().map(|record| &record.change.key);
        if let Some(next) = response.next_after.as_ref().filter(|next| Some(*next) != last) {
            return Err(Rejection::WrongNextKey(next.clone()));
        }
        let first = first_page_version.unwrap_or(response.version);
        let records = records.into_accepted()?;
        self.verify_staged_size(&records, &active.limits.for_page(true))?;
        self.newest_version = response.version;
        self.stage = match response.next_after {
            Some(next) => Stage::ReadingPages { first_page_version: Some(first), after: Some(next) },
            None => Stage::FollowingChanges { from: first, poll_immediately: true },
        };
        records.into_iter().for_each(|record| self.stage_change(record, active));
        Ok(SnapshotStep::Pending)
    }

    /// Receives changes since the first page.
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
            verify_not_older(response.version, self.newest_version)?;
        }
        verify_changes(&response, &changes.records, from.revision)?;
        let changes = changes.into_accepted()?;
        self.verify_staged_size(&changes, &active.limits.for_page(response.has_more))?;
        changes.into_iter().for_each(|change| self.stage_change(change, active));
        self.newest_version = self.newest_version.max(response.version);
        self.stage = Stage::FollowingChanges { from: response.version, poll_immediately: response.has_more };
        match response.digest.filter(|_| !response.has_more) {
            None => Ok(SnapshotStep::Pending),
            Some(expected) => self.complete(response.version, expected, active, validate),
        }
    }

    /// Verifies the digest and computes the changes from the active state.
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

    /// Removals of the active records that are not staged.
    fn removals(&self, active: &ActiveState) -> Vec<HashedChange> {
        let is_new = |hashed: &&HashedChange| active.active_hash(hashed).is_none();
        let new_records = self.differences.values().filter(is_new).count();
        if self.records.len() - new_records == active.records.len() {
            return Vec::new();
        }
        let missing = active.records.keys_missing_in(&self.records);
        missing.cloned().map(HashedChange::removal).collect()
    }

    /// Checks the size of what would be staged after these changes against the limits.
    fn verify_staged_size(&self, changes: &[HashedChange], limits: &Limits) -> Result<(), Rejection> {
        let mut records = self.records.len();
        let mut bytes = self.difference_bytes;
        for HashedChange { change, key_hash, hash } in changes {
            // A record that is not staged has no difference either.
            if self.records.get(&change.key, *key_hash).is_some() {
                records -= 1;
                bytes -=
                    self.differences.get(&change.key).map_or(0, |previous| staged_bytes(&previous.change));
            }
            records += usize::from(hash.is_some());
            bytes += staged_bytes(change);
        }
        verify_record_count(records, limits)?;
        let max = limits.max_total_bytes;
        if bytes > max { Err(Rejection::TooManyBytes { bytes, max }) } else { Ok(()) }
    }

    /// Applies a change to the staged records.
    fn stage_change(&mut self, HashedChange { change, key_hash, hash }: HashedChange, active: &ActiveState) {
        let key = active.key_interner.intern(change.key.clone());
        match hash {
            Some(hash) => self.records.set(&key, key_hash, hash, Key::clone),
            None => self.records.remove(&key, key_hash),
        }
        let is_difference = hash.is_some() && active.records.get(&key, key_hash) != hash;
        let previous_difference = if is_difference {
            self.difference_bytes += staged_bytes(&change);
            let change = Change { key: key.clone(), ..change };
            self.differences.insert(key, HashedChange { change, key_hash, hash })
        } else {
            self.differences.remove(&key)
        };
        self.difference_bytes -= previous_difference.map_or(0, |previous| staged_bytes(&previous.change));
    }
}

/// The bytes of a change's key and value that count towards the size of staged differences; 0 for a removal.
fn staged_bytes(change: &Change) -> usize {
    change.value.as_deref().map_or(0, |value| change.key.as_str().len() + value.get().len())
}
