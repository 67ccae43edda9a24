//! The follower's side of the protocol: which request to send next, and how a response changes the active state.

use std::time::Duration;

use crate::active_state::{ActiveState, HashedChange, verify_changes, verify_not_older, verify_record_count};
use crate::pending_response::ValidatedRecords;
use crate::record_hashes::RecordHashes;
use crate::repair::{CompletedRepair, Repair, RepairStep};
use crate::snapshot::{SnapshotStep, StagedSnapshot, VerifiedSnapshot};
use crate::{
    BucketResponse, Change, ChangesResponse, Digest, DigestsResponse, Key, KeyInterner, Limits, LongPoll,
    PendingResponse, Rejection, ReplicaRequest, SnapshotResponse, Update, Version,
};

/// The number of consecutive failed repairs after which a snapshot is read.
const MAX_CONSECUTIVE_FAILED_REPAIRS: u32 = 3;

/// The number of consecutive interrupted snapshots after which the response is rejected, so that the caller turns to
/// another server.
const MAX_CONSECUTIVE_INTERRUPTIONS: u32 = 3;

/// Validates the new value of a record, or its removal (`None`). The error is the reason why it is not allowed.
pub type RecordValidator<'a> = dyn Fn(&Key, Option<&str>) -> Result<(), String> + 'a;

/// A state machine that follows a control server.
///
/// It stores the keys and hashes of all records. Their values are passed to the consumer in [`Update`]s and not kept.
#[derive(Debug)]
pub struct Replica {
    /// The state that was handed to the consumer.
    active: ActiveState,
    /// What the replica is doing.
    phase: Phase,
    /// Whether the last comparison of digests matched.
    is_in_sync: bool,
    /// Whether the consumer has received the digest of the active version.
    is_version_verified: bool,
    /// Failed repairs since the digest matched last, or since the last snapshot that they led to.
    consecutive_failed_repairs: u32,
    /// Interrupted snapshots since the digest matched last, the server changed, or they led to a rejection.
    consecutive_interruptions: u32,
}

/// What a replica is doing.
#[derive(Debug)]
enum Phase {
    /// Requests the changes since the active version.
    Following {
        /// The next request does not let the server wait for new changes, because there may already be some.
        poll_immediately: bool,
    },
    /// Reads the complete state.
    Snapshot(Box<StagedSnapshot>),
    /// Repairs the buckets whose digests do not match.
    Repair(Box<Repair>),
}

/// The response to a [`ReplicaRequest`].
#[derive(Clone, Debug)]
pub enum ReplicaResponse {
    /// The response to [`ReplicaRequest::Changes`].
    Changes(ChangesResponse),
    /// The response to [`ReplicaRequest::Snapshot`].
    Snapshot(SnapshotResponse),
    /// The response to [`ReplicaRequest::Digests`].
    Digests(DigestsResponse),
    /// The response to [`ReplicaRequest::Bucket`].
    Bucket(BucketResponse),
}

/// The effect of a response.
#[derive(Clone, Debug)]
pub enum Progress {
    /// There are no new changes.
    Unchanged,
    /// There is nothing to apply yet. The next request should be sent immediately.
    Pending,
    /// The replica has applied this update, which the consumer has to apply too.
    Applied(Update),
}

impl Replica {
    /// Creates an empty replica, which first reads a snapshot. `key_interner` may be shared with other replicas.
    pub fn new(limits: Limits, key_interner: KeyInterner) -> Replica {
        Replica {
            active: ActiveState {
                limits,
                key_interner,
                version: Version::default(),
                records: RecordHashes::new(),
            },
            phase: Phase::begin_snapshot(),
            is_in_sync: false,
            is_version_verified: false,
            consecutive_failed_repairs: 0,
            consecutive_interruptions: 0,
        }
    }

    /// The active version.
    pub fn version(&self) -> Version {
        self.active.version
    }

    /// The digest of the active records.
    pub fn digest(&self) -> Digest {
        self.active.records.digest()
    }

    /// The number of active records.
    pub fn len(&self) -> usize {
        self.active.records.len()
    }

    /// Whether there are no active records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether the last comparison of digests with the server matched.
    pub fn is_in_sync(&self) -> bool {
        self.is_in_sync
    }

    /// The next request to send. It lets the server wait up to `max_hold` for new changes, unless some may already be
    /// available.
    pub fn next_request(&self, max_hold: Duration) -> ReplicaRequest {
        match &self.phase {
            Phase::Following { poll_immediately } => {
                let hold = if *poll_immediately { LongPoll::No } else { LongPoll::UpTo(max_hold) };
                ReplicaRequest::Changes { from: self.version(), digest: self.digest(), hold }
            }
            Phase::Snapshot(staged) => staged.next_request(max_hold, self.digest()),
            Phase::Repair(repair) => repair.next_request(),
        }
    }

    /// Prepares for requests to another server. A snapshot starts over, and a repair counts as failed.
    pub fn reset_for_new_server(&mut self) {
        self.consecutive_interruptions = 0;
        match self.phase {
            Phase::Following { .. } => self.phase = Phase::Following { poll_immediately: true },
            Phase::Snapshot(_) => self.phase = Phase::begin_snapshot(),
            Phase::Repair(_) => self.abandon_repair(),
        }
    }

    /// Processes the response to [`Replica::next_request`]. `validate` is called for each changed value and removal.
    ///
    /// # Errors
    /// [`Rejection`] if the response is rejected. The active state does not change then.
    pub fn receive(
        &mut self,
        response: ReplicaResponse,
        validate: &RecordValidator<'_>,
    ) -> Result<Progress, Rejection> {
        self.receive_validated(PendingResponse::new(response), validate)
    }

    /// Hashes and validates at most `max_records` of the remaining records of a response, so that the caller can do
    /// other work between batches. Nothing is applied before [`Replica::receive_validated`].
    pub fn validate_batch(
        &self,
        pending: &mut PendingResponse,
        validate: &RecordValidator<'_>,
        max_records: usize,
    ) {
        pending.validate_batch(&self.active, validate, max_records);
    }

    /// Processes a response like [`Replica::receive`]. Records that have not been validated yet are validated first.
    ///
    /// # Errors
    /// [`Rejection`] if the response is rejected. The active state does not change then.
    pub fn receive_validated(
        &mut self,
        pending: PendingResponse,
        validate: &RecordValidator<'_>,
    ) -> Result<Progress, Rejection> {
        let (response, records) = pending.into_validated(&self.active, validate);
        match response {
            ReplicaResponse::Changes(response) => self.receive_changes(response, records, validate),
            ReplicaResponse::Snapshot(response) => {
                let Phase::Snapshot(staged) = &mut self.phase else {
                    return Err(Rejection::UnexpectedResponse);
                };
                let step = staged.receive_page(response, records, &self.active);
                self.handle_snapshot_step(step)
            }
            ReplicaResponse::Digests(response) => {
                let Phase::Repair(repair) = &mut self.phase else {
                    return Err(Rejection::UnexpectedResponse);
                };
                let step = repair.receive_digests(response, &self.active);
                self.handle_repair_step(step)
            }
            ReplicaResponse::Bucket(response) => {
                let Phase::Repair(repair) = &mut self.phase else {
                    return Err(Rejection::UnexpectedResponse);
                };
                let step = repair.receive_bucket(response, records, &self.active, validate);
                self.handle_repair_step(step)
            }
        }
    }

    /// Passes a response with changes to the current phase.
    fn receive_changes(
        &mut self,
        response: ChangesResponse,
        changes: ValidatedRecords,
        validate: &RecordValidator<'_>,
    ) -> Result<Progress, Rejection> {
        match &mut self.phase {
            Phase::Following { .. } => self.receive_followed_changes(response, changes),
            Phase::Snapshot(staged) => {
                let step = staged.receive_changes(response, changes, &self.active, validate);
                self.handle_snapshot_step(step)
            }
            Phase::Repair(_) => Err(Rejection::UnexpectedResponse),
        }
    }

    /// Applies changes to the active state, or starts a repair or a snapshot where they don't fit it.
    fn receive_followed_changes(
        &mut self,
        response: ChangesResponse,
        changes: ValidatedRecords,
    ) -> Result<Progress, Rejection> {
        verify_not_older(response.version, self.active.version)?;
        if response.version.epoch > self.active.version.epoch || response.reset {
            self.phase = Phase::begin_snapshot();
            return Ok(Progress::Pending);
        }
        verify_changes(&response, &changes.records, self.active.version.revision)?;
        let changes = changes.into_accepted()?;
        let projected = self.active.project(&changes);
        verify_record_count(projected.record_count, &self.active.limits.for_page(response.has_more))?;
        let expected = response.digest.filter(|_| !response.has_more);
        if let Some(expected) = expected.filter(|expected| *expected != projected.digest) {
            self.is_in_sync = false;
            self.phase = Phase::Repair(Box::new(Repair::new(response.version, expected, changes)));
            return Ok(Progress::Pending);
        }
        self.phase = Phase::Following { poll_immediately: response.has_more };
        if expected.is_some() {
            self.record_digest_match();
        }
        let has_news =
            response.version > self.active.version || expected.is_some() && !self.is_version_verified;
        if changes.is_empty() && !has_news {
            return Ok(Progress::Unchanged);
        }
        Ok(Progress::Applied(self.apply(response.version, expected, changes, response.has_more)))
    }

    /// Continues after a step of a snapshot.
    fn handle_snapshot_step(&mut self, step: Result<SnapshotStep, Rejection>) -> Result<Progress, Rejection> {
        match step {
            Ok(SnapshotStep::Pending) => Ok(Progress::Pending),
            Ok(SnapshotStep::Interrupted) => self.restart_snapshot(),
            Ok(SnapshotStep::Complete(snapshot)) => Ok(Progress::Applied(self.apply_whole_state(*snapshot))),
            Err(rejection) => {
                if let Rejection::DigestMismatch { .. } = rejection {
                    self.phase = Phase::begin_snapshot();
                }
                Err(rejection)
            }
        }
    }

    /// Starts an interrupted snapshot over, or rejects the response if this has happened too often.
    fn restart_snapshot(&mut self) -> Result<Progress, Rejection> {
        self.phase = Phase::begin_snapshot();
        self.consecutive_interruptions += 1;
        if self.consecutive_interruptions < MAX_CONSECUTIVE_INTERRUPTIONS {
            return Ok(Progress::Pending);
        }
        Err(Rejection::SnapshotsInterrupted(std::mem::take(&mut self.consecutive_interruptions)))
    }

    /// Continues after a step of a repair.
    fn handle_repair_step(&mut self, step: Result<RepairStep, Rejection>) -> Result<Progress, Rejection> {
        match step {
            Ok(RepairStep::Pending) => Ok(Progress::Pending),
            Ok(RepairStep::Complete(CompletedRepair { version, digest, changes })) => {
                self.record_digest_match();
                self.phase = Phase::Following { poll_immediately: false };
                Ok(Progress::Applied(self.apply(version, Some(digest), changes, false)))
            }
            Ok(RepairStep::ServerAdvanced) => {
                self.abandon_repair();
                match self.phase {
                    Phase::Snapshot(_) => Err(Rejection::RepairsFailed(MAX_CONSECUTIVE_FAILED_REPAIRS)),
                    _ => Ok(Progress::Pending),
                }
            }
            Err(Rejection::UnexpectedResponse) => Err(Rejection::UnexpectedResponse),
            Err(rejection) => {
                self.abandon_repair();
                Err(rejection)
            }
        }
    }

    /// Returns to following changes, or starts a snapshot if too many consecutive repairs have failed.
    fn abandon_repair(&mut self) {
        self.consecutive_failed_repairs += 1;
        self.phase = Phase::Following { poll_immediately: true };
        if self.consecutive_failed_repairs >= MAX_CONSECUTIVE_FAILED_REPAIRS {
            self.consecutive_failed_repairs = 0;
            self.phase = Phase::begin_snapshot();
        }
    }

    /// Records that the digest matched the server's.
    fn record_digest_match(&mut self) {
        self.is_in_sync = true;
        self.consecutive_failed_repairs = 0;
        self.consecutive_interruptions = 0;
    }

    /// Applies changes to the active state one by one and returns them as an update.
    fn apply(
        &mut self,
        version: Version,
        digest: Option<Digest>,
        changes: Vec<HashedChange>,
        has_more: bool,
    ) -> Update {
        changes.iter().for_each(|change| self.active.apply(change));
        self.active.version = version;
        self.is_version_verified = digest.is_some();
        Update { version, digest, is_whole_state: false, changes: without_hashes(changes), has_more }
    }

    /// Makes a snapshot the active state. If it changes at most half as many records as are active, only the changes
    /// are applied; otherwise the staged records replace the active ones.
    fn apply_whole_state(&mut self, snapshot: VerifiedSnapshot) -> Update {
        let VerifiedSnapshot { version, records, changes } = snapshot;
        self.record_digest_match();
        self.phase = Phase::Following { poll_immediately: false };
        let digest = Some(records.digest());
        if changes.len() <= self.len() / 2 {
            return Update { is_whole_state: true, ..self.apply(version, digest, changes, false) };
        }
        self.active.records = records.shrunk_to_fit();
        self.active.version = version;
        self.is_version_verified = true;
        Update { version, digest, is_whole_state: true, changes: without_hashes(changes), has_more: false }
    }
}

fn without_hashes(changes: Vec<HashedChange>) -> Vec<Change> {
    changes.into_iter().map(|hashed| hashed.change).collect()
}

impl Phase {
    fn begin_snapshot() -> Phase {
        Phase::Snapshot(Box::new(StagedSnapshot::new()))
    }
}
