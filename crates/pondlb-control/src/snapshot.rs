//! A whole state on its way: staged until its digest is right.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::value::RawValue;

use crate::digest::{BUCKETS, bucket_of};
use crate::held::{HashedChange, Held, verify_changes, verify_count, verify_not_older, verify_records};
use crate::record_hashes::RecordHashes;
use crate::{
    Call, Change, ChangesAnswer, Check, Digest, Hold, Key, Limits, Rejection, SnapshotAnswer, Version,
};

/// A snapshot being read: its pieces first, then the changes since the first piece.
#[derive(Debug)]
pub(crate) struct StagedSnapshot {
    stage: Stage,
    /// The newest version that a piece was read at.
    newest: Version,
    buckets: Vec<BTreeMap<Key, StagedRecord>>,
    digest: u64,
    records: usize,
    bytes: usize,
}

#[derive(Debug)]
enum Stage {
    /// Pieces follow behind a key.
    Pieces { first: Option<Version>, after: Option<Key> },
    /// The changes since a version follow.
    Changes { from: Version, hurry: bool },
}

#[derive(Debug)]
struct StagedRecord {
    hash: u64,
    revision: u64,
    bytes: usize,
    /// None where the same value is in force.
    value: Option<Box<RawValue>>,
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
    pub(crate) changes: Vec<Change>,
}

impl StagedSnapshot {
    pub(crate) fn new() -> StagedSnapshot {
        StagedSnapshot {
            stage: Stage::Pieces { first: None, after: None },
            newest: Version::default(),
            buckets: std::iter::repeat_with(BTreeMap::new).take(BUCKETS).collect(),
            digest: 0,
            records: 0,
            bytes: 0,
        }
    }

    /// What to ask next. The digest told is that of what is in force, so that no server takes a staged state for it.
    pub(crate) fn next_call(&self, hold: Duration, in_force: Digest) -> Call {
        match &self.stage {
            Stage::Pieces { after, .. } => Call::Snapshot { after: after.clone() },
            Stage::Changes { from, hurry } => {
                let hold = if *hurry { Hold::No } else { Hold::UpTo(hold) };
                Call::Changes { from: *from, digest: in_force, hold }
            }
        }
    }

    /// Takes a piece.
    pub(crate) fn receive_piece(
        &mut self,
        answer: SnapshotAnswer,
        held: &Held,
        check: &Check<'_>,
    ) -> Result<SnapshotStep, Rejection> {
        let Stage::Pieces { first, after } = &self.stage else { return Err(Rejection::WrongKind) };
        verify_not_older(answer.version, held.version)?;
        if first.is_some_and(|first| answer.version.epoch > first.epoch) {
            return Ok(SnapshotStep::StartOver);
        }
        verify_not_older(answer.version, self.newest)?;
        verify_records(&answer.records, answer.version, after.as_ref())?;
        let last = answer.records.last().map(|record| &record.key);
        if let Some(next) = answer.next.as_ref().filter(|next| Some(*next) != last) {
            return Err(Rejection::WrongNext(next.clone()));
        }
        let first = first.unwrap_or(answer.version);
        let records = held.checked(answer.records, check)?;
        self.verify_extent(&records, &held.limits.while_partial())?;
        self.newest = answer.version;
        self.stage = match answer.next {
            Some(next) => Stage::Pieces { first: Some(first), after: Some(next) },
            None => Stage::Changes { from: first, hurry: true },
        };
        records.into_iter().for_each(|record| self.put(record, held));
        Ok(SnapshotStep::Pending)
    }

    /// Takes changes since the first piece.
    pub(crate) fn receive_changes(
        &mut self,
        answer: ChangesAnswer,
        held: &Held,
        check: &Check<'_>,
    ) -> Result<SnapshotStep, Rejection> {
        let Stage::Changes { from, .. } = self.stage else { return Err(Rejection::WrongKind) };
        verify_not_older(answer.version, from)?;
        if answer.version.epoch > from.epoch || answer.reset {
            return Ok(SnapshotStep::StartOver);
        }
        if !answer.more {
            verify_not_older(answer.version, self.newest)?;
        }
        verify_changes(&answer, from.revision)?;
        let changes = held.checked(answer.changes, check)?;
        let limits = held.limits;
        self.verify_extent(&changes, &if answer.more { limits.while_partial() } else { limits })?;
        changes.into_iter().for_each(|change| self.put(change, held));
        self.newest = self.newest.max(answer.version);
        self.stage = Stage::Changes { from: answer.version, hurry: answer.more };
        match answer.digest.filter(|_| !answer.more) {
            None => Ok(SnapshotStep::Pending),
            Some(told) => self.complete(answer.version, told, held, check),
        }
    }

    fn complete(
        &mut self,
        version: Version,
        told: Digest,
        held: &Held,
        check: &Check<'_>,
    ) -> Result<SnapshotStep, Rejection> {
        let computed = Digest(self.digest);
        if told != computed {
            return Err(Rejection::WrongDigest { told, computed });
        }
        let removals = self.removals(held);
        removals.iter().try_for_each(|removal| held.verify_value(removal, check))?;
        let mut changes: Vec<Change> = removals.into_iter().map(|removal| removal.change).collect();
        let buckets = std::mem::take(&mut self.buckets);
        let records =
            RecordHashes::from_buckets(buckets.into_iter().map(|bucket| settle(bucket, &mut changes)));
        changes.sort_unstable_by(|one, other| one.key.cmp(&other.key));
        Ok(SnapshotStep::Complete(Box::new(WholeState { version, records, changes })))
    }

    /// Removals of the records in force that are not in the snapshot.
    fn removals(&self, held: &Held) -> Vec<HashedChange> {
        let pairs = self.buckets.iter().zip(held.records.buckets());
        let gone = pairs.flat_map(|(staged, held)| held.keys().filter(|key| !staged.contains_key(key)));
        gone.map(|key| HashedChange::removal(key.clone())).collect()
    }

    /// Whether the limits allow what is staged with these changes.
    fn verify_extent(&self, changes: &[HashedChange], limits: &Limits) -> Result<(), Rejection> {
        let mut records = self.records;
        let mut bytes = self.bytes;
        for HashedChange { change, .. } in changes {
            if let Some(before) = self.buckets[bucket_of(&change.key)].get(&change.key) {
                records -= 1;
                bytes -= before.bytes;
            }
            if let Some(value) = &change.value {
                records += 1;
                bytes += change.key.as_str().len() + value.get().len();
            }
        }
        verify_count(records, limits)?;
        let most = limits.total_bytes;
        if bytes > most { Err(Rejection::TooManyBytes { bytes, most }) } else { Ok(()) }
    }

    fn put(&mut self, HashedChange { change, hash }: HashedChange, held: &Held) {
        let Change { revision, key, value } = change;
        let bucket = &mut self.buckets[bucket_of(&key)];
        let before = match (hash, value) {
            (Some(hash), Some(value)) => {
                let bytes = key.as_str().len() + value.get().len();
                let value = Some(value).filter(|_| held.records.get(&key) != Some(hash));
                self.digest = self.digest.wrapping_add(hash);
                self.records += 1;
                self.bytes += bytes;
                bucket.insert(held.names.share(key), StagedRecord { hash, revision, bytes, value })
            }
            _ => bucket.remove(&key),
        };
        if let Some(before) = before {
            self.digest = self.digest.wrapping_sub(before.hash);
            self.records -= 1;
            self.bytes -= before.bytes;
        }
    }
}

/// The hashes of a staged bucket; the records that are not in force go to `changes`.
fn settle(bucket: BTreeMap<Key, StagedRecord>, changes: &mut Vec<Change>) -> BTreeMap<Key, u64> {
    let settle_record = |(key, record): (Key, StagedRecord)| {
        if let Some(value) = record.value {
            changes.push(Change { revision: record.revision, key: key.clone(), value: Some(value) });
        }
        (key, record.hash)
    };
    bucket.into_iter().map(settle_record).collect()
}
