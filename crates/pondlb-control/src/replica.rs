//! A follower's side of the protocol: what to ask, and what to take of the answers.

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

/// After how many failed repairs in a row a snapshot is taken.
const MAX_CONSECUTIVE_FAILED_REPAIRS: u32 = 3;

/// How often in a row a snapshot starts over before the server is given up.
const MAX_CONSECUTIVE_INTERRUPTIONS: u32 = 3;

/// Says whether a value may be taken for a record, or a record be removed, and why not.
pub type RecordValidator<'a> = dyn Fn(&Key, Option<&str>) -> Result<(), String> + 'a;

/// Keeps up with a control server. It holds the keys and hashes of all records, and leaves their values to its
/// consumer.
#[derive(Debug)]
pub struct Replica {
    active: ActiveState,
    phase: Phase,
    is_in_sync: bool,
    /// Whether the version in force was handed on with its digest.
    is_version_verified: bool,
    consecutive_failed_repairs: u32,
    consecutive_interruptions: u32,
}

#[derive(Debug)]
enum Phase {
    /// Follows changes; in a hurry where more of them are known to be there.
    Following { poll_immediately: bool },
    /// Takes a whole state.
    Snapshot(Box<StagedSnapshot>),
    /// Repairs a wrong digest.
    Repair(Box<Repair>),
}

/// An answer to [`Replica::next_request`].
#[derive(Clone, Debug)]
pub enum ReplicaResponse {
    /// To [`ReplicaRequest::Changes`].
    Changes(ChangesResponse),
    /// To [`ReplicaRequest::Snapshot`].
    Snapshot(SnapshotResponse),
    /// To [`ReplicaRequest::Digests`].
    Digests(DigestsResponse),
    /// To [`ReplicaRequest::Bucket`].
    Bucket(BucketResponse),
}

/// What an answer has led to.
#[derive(Clone, Debug)]
pub enum Progress {
    /// There is nothing new.
    Unchanged,
    /// Nothing can be put in force yet: the next call is due at once.
    Pending,
    /// This is to be put in force.
    Applied(Update),
}

impl Replica {
    /// A replica that holds nothing.
    pub fn new(limits: Limits, names: KeyInterner) -> Replica {
        Replica {
            active: ActiveState {
                limits,
                key_interner: names,
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

    /// The version in force.
    pub fn version(&self) -> Version {
        self.active.version
    }

    /// The digest of the records in force.
    pub fn digest(&self) -> Digest {
        self.active.records.digest()
    }

    /// How many records are in force.
    pub fn len(&self) -> usize {
        self.active.records.len()
    }

    /// Whether no record is in force.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether the last digest compared was right.
    pub fn is_in_sync(&self) -> bool {
        self.is_in_sync
    }

    /// What to ask next. The server may hold its answer for `hold` unless more is known to be there.
    pub fn next_request(&self, max_hold: Duration) -> ReplicaRequest {
        match &self.phase {
            Phase::Following { poll_immediately: hurry } => {
                let hold = if *hurry { LongPoll::No } else { LongPoll::UpTo(max_hold) };
                ReplicaRequest::Changes { from: self.version(), digest: self.digest(), hold }
            }
            Phase::Snapshot(staged) => staged.next_request(max_hold, self.digest()),
            Phase::Repair(repair) => repair.next_request(),
        }
    }

    /// Another server answers from now on: a half-taken snapshot or repair starts over.
    pub fn reset_for_new_server(&mut self) {
        self.consecutive_interruptions = 0;
        match self.phase {
            Phase::Following { .. } => self.phase = Phase::Following { poll_immediately: true },
            Phase::Snapshot(_) => self.phase = Phase::begin_snapshot(),
            Phase::Repair(_) => self.abandon_repair(),
        }
    }

    /// Takes an answer to [`Replica::next_request`]; `check` says whether a value may be taken.
    ///
    /// # Errors
    /// [`Rejection`] where nothing of it is taken. What was in force stays so.
    pub fn receive(
        &mut self,
        response: ReplicaResponse,
        validate: &RecordValidator<'_>,
    ) -> Result<Progress, Rejection> {
        self.receive_validated(PendingResponse::new(response), validate)
    }

    /// Hashes and checks the next records of an answer, at most so many: for who has other things to do between.
    /// Nothing of it is taken before [`Replica::receive_validated`].
    pub fn validate_batch(
        &self,
        pending: &mut PendingResponse,
        validate: &RecordValidator<'_>,
        max_records: usize,
    ) {
        pending.validate_batch(&self.active, validate, max_records);
    }

    /// Takes an answer as [`Replica::receive`] does, after as many of its records were checked as have been.
    ///
    /// # Errors
    /// [`Rejection`] where nothing of it is taken. What was in force stays so.
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
        let outlook = self.active.project(&changes);
        verify_record_count(outlook.record_count, &self.active.limits.for_page(response.has_more))?;
        let expected = response.digest.filter(|_| !response.has_more);
        if let Some(expected) = expected.filter(|expected| *expected != outlook.digest) {
            self.is_in_sync = false;
            self.phase = Phase::Repair(Box::new(Repair::new(response.version, expected, changes)));
            return Ok(Progress::Pending);
        }
        self.phase = Phase::Following { poll_immediately: response.has_more };
        if expected.is_some() {
            self.record_digest_match();
        }
        let is_news =
            response.version > self.active.version || expected.is_some() && !self.is_version_verified;
        if changes.is_empty() && !is_news {
            return Ok(Progress::Unchanged);
        }
        Ok(Progress::Applied(self.apply(response.version, expected, changes, response.has_more)))
    }

    fn handle_snapshot_step(&mut self, step: Result<SnapshotStep, Rejection>) -> Result<Progress, Rejection> {
        match step {
            Ok(SnapshotStep::Pending) => Ok(Progress::Pending),
            Ok(SnapshotStep::Interrupted) => self.restart_snapshot(),
            Ok(SnapshotStep::Complete(state)) => Ok(Progress::Applied(self.apply_whole_state(*state))),
            Err(rejection) => {
                if let Rejection::DigestMismatch { .. } = rejection {
                    self.phase = Phase::begin_snapshot();
                }
                Err(rejection)
            }
        }
    }

    fn restart_snapshot(&mut self) -> Result<Progress, Rejection> {
        self.phase = Phase::begin_snapshot();
        self.consecutive_interruptions += 1;
        if self.consecutive_interruptions < MAX_CONSECUTIVE_INTERRUPTIONS {
            return Ok(Progress::Pending);
        }
        Err(Rejection::SnapshotsInterrupted(std::mem::take(&mut self.consecutive_interruptions)))
    }

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

    /// Follows changes again, or begins a snapshot where too many repairs have failed.
    fn abandon_repair(&mut self) {
        self.consecutive_failed_repairs += 1;
        self.phase = Phase::Following { poll_immediately: true };
        if self.consecutive_failed_repairs >= MAX_CONSECUTIVE_FAILED_REPAIRS {
            self.consecutive_failed_repairs = 0;
            self.phase = Phase::begin_snapshot();
        }
    }

    fn record_digest_match(&mut self) {
        self.is_in_sync = true;
        self.consecutive_failed_repairs = 0;
        self.consecutive_interruptions = 0;
    }

    /// Puts changes in force one by one.
    fn apply(
        &mut self,
        version: Version,
        digest: Option<Digest>,
        changes: Vec<HashedChange>,
        more: bool,
    ) -> Update {
        changes.iter().for_each(|change| self.active.apply(change));
        self.active.version = version;
        self.is_version_verified = digest.is_some();
        Update { version, digest, is_whole_state: false, changes: without_hashes(changes), has_more: more }
    }

    /// Puts a whole state in force: by its differences where they are few, else as it was staged.
    fn apply_whole_state(&mut self, state: VerifiedSnapshot) -> Update {
        let VerifiedSnapshot { version, records, changes } = state;
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
