//! The repair of a wrong digest: only the buckets that differ are read.

use std::collections::BTreeSet;

use crate::held::{HashedChange, Held, verify_count, verify_not_older, verify_records};
use crate::pending::CheckedRecords;
use crate::{
    BucketResponse, Digest, DigestsResponse, Key, RecordValidator, Rejection, ReplicaRequest, Version,
};

/// A repair on its way. The changes of the answer whose digest was wrong are part of it: they are put in force with
/// it or not at all.
#[derive(Debug)]
pub(crate) struct Repair {
    version: Version,
    digest: Digest,
    changes: Vec<HashedChange>,
    told: Vec<Digest>,
    /// The buckets to read, the next one last.
    unread: Vec<usize>,
    read: BTreeSet<usize>,
    /// What the buckets read differ in from what is in force.
    differences: Vec<HashedChange>,
}

/// How a repair goes on.
#[derive(Debug)]
pub(crate) enum RepairStep {
    /// More is to be asked for.
    Pending,
    /// The server is no longer at the version of the repair: changes have to be followed first.
    MovedOn,
    /// All is there and verified.
    Complete(Repaired),
}

/// A verified repair.
#[derive(Debug)]
pub(crate) struct Repaired {
    pub(crate) version: Version,
    pub(crate) digest: Digest,
    /// The difference to what is in force.
    pub(crate) changes: Vec<HashedChange>,
}

impl Repair {
    /// The repair towards a version and its digest, which the records in force do not have with `changes`.
    pub(crate) fn new(version: Version, digest: Digest, changes: Vec<HashedChange>) -> Repair {
        Repair {
            version,
            digest,
            changes,
            told: Vec::new(),
            unread: Vec::new(),
            read: BTreeSet::new(),
            differences: Vec::new(),
        }
    }

    pub(crate) fn next_call(&self) -> ReplicaRequest {
        self.unread.last().map_or(ReplicaRequest::Digests, |bucket| ReplicaRequest::Bucket(*bucket))
    }

    /// Takes the digests of all buckets.
    pub(crate) fn receive_digests(
        &mut self,
        answer: DigestsResponse,
        held: &Held,
    ) -> Result<RepairStep, Rejection> {
        if !self.unread.is_empty() {
            return Err(Rejection::UnexpectedResponse);
        }
        verify_not_older(answer.version, self.version)?;
        if answer.version > self.version {
            return Ok(RepairStep::MovedOn);
        }
        let computed = held.bucket_digests_with(&self.changes);
        if answer.buckets.len() != computed.len() {
            return Err(Rejection::WrongBucketCount(answer.buckets.len()));
        }
        verify_digest(self.digest, answer.buckets.iter().copied())?;
        let differs = |bucket: &usize| answer.buckets[*bucket] != computed[*bucket];
        self.unread = (0..computed.len()).rev().filter(differs).collect();
        self.told = answer.buckets;
        if self.unread.is_empty() { Ok(RepairStep::MovedOn) } else { Ok(RepairStep::Pending) }
    }

    /// Takes the records of the bucket that was asked for.
    pub(crate) fn receive_bucket(
        &mut self,
        answer: BucketResponse,
        records: CheckedRecords,
        held: &Held,
        check: &RecordValidator<'_>,
    ) -> Result<RepairStep, Rejection> {
        let Some(&asked) = self.unread.last() else { return Err(Rejection::UnexpectedResponse) };
        if answer.bucket != asked {
            return Err(Rejection::WrongBucket { received: answer.bucket, requested: asked });
        }
        verify_not_older(answer.version, self.version)?;
        if answer.version > self.version {
            return Ok(RepairStep::MovedOn);
        }
        verify_records(&records.records, answer.version, None)?;
        if let Some(foreign) = records.records.iter().find(|record| record.key_hash.bucket() != asked) {
            return Err(Rejection::RecordInWrongBucket { key: foreign.change.key.clone(), bucket: asked });
        }
        let records = records.accepted()?;
        verify_digest(self.told[asked], records.iter().filter_map(|record| record.hash.map(Digest)))?;
        let removals = removals(asked, &records, held);
        removals.iter().try_for_each(|removal| held.verify_value(removal, check))?;
        let is_new = |record: &HashedChange| held.hash_in_force(record) != record.hash;
        self.differences.extend(records.into_iter().filter(is_new));
        self.differences.extend(removals);
        self.unread.pop();
        self.read.insert(asked);
        if self.unread.is_empty() { self.complete(held) } else { Ok(RepairStep::Pending) }
    }

    fn complete(&mut self, held: &Held) -> Result<RepairStep, Rejection> {
        let mut changes = std::mem::take(&mut self.changes);
        changes.retain(|hashed| !self.read.contains(&hashed.key_hash.bucket()));
        changes.append(&mut self.differences);
        let outlook = held.outlook(&changes);
        verify_count(outlook.records, &held.limits)?;
        if outlook.digest != self.digest {
            return Err(Rejection::DigestMismatch { expected: self.digest, computed: outlook.digest });
        }
        Ok(RepairStep::Complete(Repaired { version: self.version, digest: self.digest, changes }))
    }
}

/// Removals of the records in force that a bucket does not hold. `records` are in the order of their keys.
fn removals(bucket: usize, records: &[HashedChange], held: &Held) -> Vec<HashedChange> {
    let is_gone = |key: &&Key| records.binary_search_by(|record| record.change.key.cmp(key)).is_err();
    let keys = held.records.bucket_keys(bucket).unwrap_or_default();
    keys.into_iter().filter(is_gone).map(|key| HashedChange::removal(key.clone())).collect()
}

fn verify_digest(told: Digest, parts: impl Iterator<Item = Digest>) -> Result<(), Rejection> {
    let computed = Digest(parts.fold(0, |sum, Digest(part)| sum.wrapping_add(part)));
    if computed == told { Ok(()) } else { Err(Rejection::DigestMismatch { expected: told, computed }) }
}
