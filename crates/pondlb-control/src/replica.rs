//! A follower's side of the protocol: what to ask, and what to take of the answers.

use std::time::Duration;

use crate::held::{HashedChange, Held, verify_changes, verify_count, verify_not_older};
use crate::pending::CheckedRecords;
use crate::record_hashes::RecordHashes;
use crate::repair::{Repair, RepairStep, Repaired};
use crate::snapshot::{SnapshotStep, StagedSnapshot, WholeState};
use crate::{
    BucketResponse, Change, ChangesResponse, Digest, DigestsResponse, Key, KeyInterner, Limits, LongPoll,
    PendingResponse, Rejection, ReplicaRequest, SnapshotResponse, Update, Version,
};

/// After how many failed repairs in a row a snapshot is taken.
const MOST_FAILED_REPAIRS: u32 = 3;

/// How often in a row a snapshot starts over before the server is given up.
const MOST_INTERRUPTIONS: u32 = 3;

/// Says whether a value may be taken for a record, or a record be removed, and why not.
pub type RecordValidator<'a> = dyn Fn(&Key, Option<&str>) -> Result<(), String> + 'a;

/// Keeps up with a control server. It holds the keys and hashes of all records, and leaves their values to its
/// consumer.
#[derive(Debug)]
pub struct Replica {
    held: Held,
    phase: Phase,
    is_in_sync: bool,
    /// Whether the version in force was handed on with its digest.
    is_verified: bool,
    failed_repairs: u32,
    interruptions: u32,
}

#[derive(Debug)]
enum Phase {
    /// Follows changes; in a hurry where more of them are known to be there.
    Following { hurry: bool },
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
            held: Held { limits, names, version: Version::default(), records: RecordHashes::new() },
            phase: Phase::begin_snapshot(),
            is_in_sync: false,
            is_verified: false,
            failed_repairs: 0,
            interruptions: 0,
        }
    }

    /// The version in force.
    pub fn version(&self) -> Version {
        self.held.version
    }

    /// The digest of the records in force.
    pub fn digest(&self) -> Digest {
        self.held.records.digest()
    }

    /// How many records are in force.
    pub fn len(&self) -> usize {
        self.held.records.len()
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
    pub fn next_request(&self, hold: Duration) -> ReplicaRequest {
        match &self.phase {
            Phase::Following { hurry } => {
                let hold = if *hurry { LongPoll::No } else { LongPoll::UpTo(hold) };
                ReplicaRequest::Changes { from: self.version(), digest: self.digest(), hold }
            }
            Phase::Snapshot(staged) => staged.next_call(hold, self.digest()),
            Phase::Repair(repair) => repair.next_call(),
        }
    }

    /// Another server answers from now on: a half-taken snapshot or repair starts over.
    pub fn reset_for_new_server(&mut self) {
        self.interruptions = 0;
        match self.phase {
            Phase::Following { .. } => self.phase = Phase::Following { hurry: true },
            Phase::Snapshot(_) => self.phase = Phase::begin_snapshot(),
            Phase::Repair(_) => self.end_failed_repair(),
        }
    }

    /// Takes an answer to [`Replica::next_request`]; `check` says whether a value may be taken.
    ///
    /// # Errors
    /// [`Rejection`] where nothing of it is taken. What was in force stays so.
    pub fn receive(
        &mut self,
        answer: ReplicaResponse,
        check: &RecordValidator<'_>,
    ) -> Result<Progress, Rejection> {
        self.receive_validated(PendingResponse::new(answer), check)
    }

    /// Hashes and checks the next records of an answer, at most so many: for who has other things to do between.
    /// Nothing of it is taken before [`Replica::receive_validated`].
    pub fn validate_batch(&self, pending: &mut PendingResponse, check: &RecordValidator<'_>, most: usize) {
        pending.check_slice(&self.held, check, most);
    }

    /// Takes an answer as [`Replica::receive`] does, after as many of its records were checked as have been.
    ///
    /// # Errors
    /// [`Rejection`] where nothing of it is taken. What was in force stays so.
    pub fn receive_validated(
        &mut self,
        pending: PendingResponse,
        check: &RecordValidator<'_>,
    ) -> Result<Progress, Rejection> {
        let (answer, records) = pending.into_checked(&self.held, check);
        match answer {
            ReplicaResponse::Changes(answer) => self.receive_changes(answer, records, check),
            ReplicaResponse::Snapshot(answer) => {
                let Phase::Snapshot(staged) = &mut self.phase else {
                    return Err(Rejection::UnexpectedResponse);
                };
                let step = staged.receive_piece(answer, records, &self.held);
                self.go_on_with_snapshot(step)
            }
            ReplicaResponse::Digests(answer) => {
                let Phase::Repair(repair) = &mut self.phase else {
                    return Err(Rejection::UnexpectedResponse);
                };
                let step = repair.receive_digests(answer, &self.held);
                self.go_on_with_repair(step)
            }
            ReplicaResponse::Bucket(answer) => {
                let Phase::Repair(repair) = &mut self.phase else {
                    return Err(Rejection::UnexpectedResponse);
                };
                let step = repair.receive_bucket(answer, records, &self.held, check);
                self.go_on_with_repair(step)
            }
        }
    }

    fn receive_changes(
        &mut self,
        answer: ChangesResponse,
        changes: CheckedRecords,
        check: &RecordValidator<'_>,
    ) -> Result<Progress, Rejection> {
        match &mut self.phase {
            Phase::Following { .. } => self.follow(answer, changes),
            Phase::Snapshot(staged) => {
                let step = staged.receive_changes(answer, changes, &self.held, check);
                self.go_on_with_snapshot(step)
            }
            Phase::Repair(_) => Err(Rejection::UnexpectedResponse),
        }
    }

    fn follow(&mut self, answer: ChangesResponse, changes: CheckedRecords) -> Result<Progress, Rejection> {
        verify_not_older(answer.version, self.held.version)?;
        if answer.version.epoch > self.held.version.epoch || answer.reset {
            self.phase = Phase::begin_snapshot();
            return Ok(Progress::Pending);
        }
        verify_changes(&answer, &changes.records, self.held.version.revision)?;
        let changes = changes.accepted()?;
        let outlook = self.held.outlook(&changes);
        verify_count(outlook.records, &self.held.limits.at_piece(answer.has_more))?;
        let told = answer.digest.filter(|_| !answer.has_more);
        if let Some(told) = told.filter(|told| *told != outlook.digest) {
            self.is_in_sync = false;
            self.phase = Phase::Repair(Box::new(Repair::new(answer.version, told, changes)));
            return Ok(Progress::Pending);
        }
        self.phase = Phase::Following { hurry: answer.has_more };
        if told.is_some() {
            self.note_right_digest();
        }
        let is_news = answer.version > self.held.version || told.is_some() && !self.is_verified;
        if changes.is_empty() && !is_news {
            return Ok(Progress::Unchanged);
        }
        Ok(Progress::Applied(self.apply(answer.version, told, changes, answer.has_more)))
    }

    fn go_on_with_snapshot(&mut self, step: Result<SnapshotStep, Rejection>) -> Result<Progress, Rejection> {
        match step {
            Ok(SnapshotStep::Pending) => Ok(Progress::Pending),
            Ok(SnapshotStep::StartOver) => self.start_snapshot_over(),
            Ok(SnapshotStep::Complete(state)) => Ok(Progress::Applied(self.take_whole_state(*state))),
            Err(rejection) => {
                if let Rejection::DigestMismatch { .. } = rejection {
                    self.phase = Phase::begin_snapshot();
                }
                Err(rejection)
            }
        }
    }

    fn start_snapshot_over(&mut self) -> Result<Progress, Rejection> {
        self.phase = Phase::begin_snapshot();
        self.interruptions += 1;
        if self.interruptions < MOST_INTERRUPTIONS {
            return Ok(Progress::Pending);
        }
        Err(Rejection::SnapshotsInterrupted(std::mem::take(&mut self.interruptions)))
    }

    fn go_on_with_repair(&mut self, step: Result<RepairStep, Rejection>) -> Result<Progress, Rejection> {
        match step {
            Ok(RepairStep::Pending) => Ok(Progress::Pending),
            Ok(RepairStep::Complete(Repaired { version, digest, changes })) => {
                self.note_right_digest();
                self.phase = Phase::Following { hurry: false };
                Ok(Progress::Applied(self.apply(version, Some(digest), changes, false)))
            }
            Ok(RepairStep::MovedOn) => {
                self.end_failed_repair();
                match self.phase {
                    Phase::Snapshot(_) => Err(Rejection::RepairsFailed(MOST_FAILED_REPAIRS)),
                    _ => Ok(Progress::Pending),
                }
            }
            Err(Rejection::UnexpectedResponse) => Err(Rejection::UnexpectedResponse),
            Err(rejection) => {
                self.end_failed_repair();
                Err(rejection)
            }
        }
    }

    /// Follows changes again, or begins a snapshot where too many repairs have failed.
    fn end_failed_repair(&mut self) {
        self.failed_repairs += 1;
        self.phase = Phase::Following { hurry: true };
        if self.failed_repairs >= MOST_FAILED_REPAIRS {
            self.failed_repairs = 0;
            self.phase = Phase::begin_snapshot();
        }
    }

    fn note_right_digest(&mut self) {
        self.is_in_sync = true;
        self.failed_repairs = 0;
        self.interruptions = 0;
    }

    /// Puts changes in force one by one.
    fn apply(
        &mut self,
        version: Version,
        digest: Option<Digest>,
        changes: Vec<HashedChange>,
        more: bool,
    ) -> Update {
        changes.iter().for_each(|change| self.held.apply(change));
        self.held.version = version;
        self.is_verified = digest.is_some();
        Update { version, digest, is_whole_state: false, changes: without_hashes(changes), has_more: more }
    }

    /// Puts a whole state in force: by its differences where they are few, else as it was staged.
    fn take_whole_state(&mut self, state: WholeState) -> Update {
        let WholeState { version, records, changes } = state;
        self.note_right_digest();
        self.phase = Phase::Following { hurry: false };
        let digest = Some(records.digest());
        if changes.len() <= self.len() / 2 {
            return Update { is_whole_state: true, ..self.apply(version, digest, changes, false) };
        }
        self.held.records = records.compacted();
        self.held.version = version;
        self.is_verified = true;
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
