//! The repair of a wrong digest: only the buckets that differ are read.

use std::collections::BTreeSet;

use crate::active_state::{ActiveState, HashedChange, verify_not_older, verify_record_count, verify_records};
use crate::pending_response::ValidatedRecords;
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
    expected_bucket_digests: Vec<Digest>,
    /// The buckets to read, the next one last.
    unread_buckets: Vec<usize>,
    read_buckets: BTreeSet<usize>,
    /// What the buckets read differ in from what is in force.
    differences: Vec<HashedChange>,
}

/// How a repair goes on.
#[derive(Debug)]
pub(crate) enum RepairStep {
    /// More is to be asked for.
    Pending,
    /// The server is no longer at the version of the repair: changes have to be followed first.
    ServerAdvanced,
    /// All is there and verified.
    Complete(CompletedRepair),
}

/// A verified repair.
#[derive(Debug)]
pub(crate) struct CompletedRepair {
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
            expected_bucket_digests: Vec::new(),
            unread_buckets: Vec::new(),
            read_buckets: BTreeSet::new(),
            differences: Vec::new(),
        }
    }

    pub(crate) fn next_request(&self) -> ReplicaRequest {
        self.unread_buckets.last().map_or(ReplicaRequest::Digests, |bucket| ReplicaRequest::Bucket(*bucket))
    }

    /// Takes the digests of all buckets.
    pub(crate) fn receive_digests(
        &mut self,
        response: DigestsResponse,
        active: &ActiveState,
    ) -> Result<RepairStep, Rejection> {
        if !self.unread_buckets.is_empty() {
            return Err(Rejection::UnexpectedResponse);
        }
        verify_not_older(response.version, self.version)?;
        if response.version > self.version {
            return Ok(RepairStep::ServerAdvanced);
        }
        let computed = active.projected_bucket_digests(&self.changes);
        if response.buckets.len() != computed.len() {
            return Err(Rejection::WrongBucketCount(response.buckets.len()));
        }
        verify_digest(self.digest, response.buckets.iter().copied())?;
        let differs = |bucket: &usize| response.buckets[*bucket] != computed[*bucket];
        self.unread_buckets = (0..computed.len()).rev().filter(differs).collect();
        self.expected_bucket_digests = response.buckets;
        if self.unread_buckets.is_empty() { Ok(RepairStep::ServerAdvanced) } else { Ok(RepairStep::Pending) }
    }

    /// Takes the records of the bucket that was asked for.
    pub(crate) fn receive_bucket(
        &mut self,
        response: BucketResponse,
        records: ValidatedRecords,
        active: &ActiveState,
        validate: &RecordValidator<'_>,
    ) -> Result<RepairStep, Rejection> {
        let Some(&requested) = self.unread_buckets.last() else { return Err(Rejection::UnexpectedResponse) };
        if response.bucket != requested {
            return Err(Rejection::WrongBucket { received: response.bucket, requested });
        }
        verify_not_older(response.version, self.version)?;
        if response.version > self.version {
            return Ok(RepairStep::ServerAdvanced);
        }
        verify_records(&records.records, response.version, None)?;
        if let Some(foreign) = records.records.iter().find(|record| record.key_hash.bucket() != requested) {
            return Err(Rejection::RecordInWrongBucket {
                key: foreign.change.key.clone(),
                bucket: requested,
            });
        }
        let records = records.into_accepted()?;
        verify_digest(
            self.expected_bucket_digests[requested],
            records.iter().filter_map(|record| record.hash.map(Digest)),
        )?;
        let removals = removals(requested, &records, active);
        removals.iter().try_for_each(|removal| active.validate_value(removal, validate))?;
        let is_new = |record: &HashedChange| active.active_hash(record) != record.hash;
        self.differences.extend(records.into_iter().filter(is_new));
        self.differences.extend(removals);
        self.unread_buckets.pop();
        self.read_buckets.insert(requested);
        if self.unread_buckets.is_empty() { self.complete(active) } else { Ok(RepairStep::Pending) }
    }

    fn complete(&mut self, active: &ActiveState) -> Result<RepairStep, Rejection> {
        let mut changes = std::mem::take(&mut self.changes);
        changes.retain(|hashed| !self.read_buckets.contains(&hashed.key_hash.bucket()));
        changes.append(&mut self.differences);
        let outlook = active.project(&changes);
        verify_record_count(outlook.record_count, &active.limits)?;
        if outlook.digest != self.digest {
            return Err(Rejection::DigestMismatch { expected: self.digest, computed: outlook.digest });
        }
        Ok(RepairStep::Complete(CompletedRepair { version: self.version, digest: self.digest, changes }))
    }
}

/// Removals of the records in force that a bucket does not hold. `records` are in the order of their keys.
fn removals(bucket: usize, records: &[HashedChange], active: &ActiveState) -> Vec<HashedChange> {
    let is_gone = |key: &&Key| records.binary_search_by(|record| record.change.key.cmp(key)).is_err();
    let keys = active.records.bucket_keys(bucket).unwrap_or_default();
    keys.into_iter().filter(is_gone).map(|key| HashedChange::removal(key.clone())).collect()
}

fn verify_digest(expected: Digest, parts: impl Iterator<Item = Digest>) -> Result<(), Rejection> {
    let computed = Digest(parts.fold(0, |sum, Digest(part)| sum.wrapping_add(part)));
    if computed == expected { Ok(()) } else { Err(Rejection::DigestMismatch { expected, computed }) }
}
