//! The repair of a replica whose digest differs from the server's: only the buckets that differ are read.

use std::collections::BTreeSet;

use crate::active_state::{ActiveState, HashedChange, verify_not_older, verify_record_count, verify_records};
use crate::pending_response::ValidatedRecords;
use crate::{
    BucketResponse, Digest, DigestsResponse, Key, RecordValidator, Rejection, ReplicaRequest, Version,
};

/// A repair in progress.
///
/// It includes the changes of the response whose digest did not match: they are applied together with the repair or not
/// at all.
#[derive(Debug)]
pub(crate) struct Repair {
    /// The server's version that the repair leads to.
    target_version: Version,
    /// The server's digest of all records at that version.
    target_digest: Digest,
    /// The changes of the response whose digest did not match.
    changes: Vec<HashedChange>,
    /// The server's digests of all buckets; empty until they are received.
    expected_bucket_digests: Vec<Digest>,
    /// The differing buckets that are still to be read; the last one is read next.
    unread_buckets: Vec<usize>,
    /// The buckets that have been read.
    read_buckets: BTreeSet<usize>,
    /// The differences between the buckets that have been read and the active state.
    differences: Vec<HashedChange>,
}

/// The result of a step of a repair.
#[derive(Debug)]
pub(crate) enum RepairStep {
    /// More requests are needed.
    Pending,
    /// The server is no longer at the target version, or no bucket differs: the changes have to be requested again.
    ServerAdvanced,
    /// The repair is complete and its digest verified.
    Complete(CompletedRepair),
}

/// A repair whose result has the server's digest.
#[derive(Debug)]
pub(crate) struct CompletedRepair {
    /// The version after the repair.
    pub(crate) version: Version,
    /// The digest of all records after the repair.
    pub(crate) digest: Digest,
    /// The changes that lead from the active state to that version.
    pub(crate) changes: Vec<HashedChange>,
}

impl Repair {
    /// Starts a repair towards the server's version and digest, which the active state does not reach by `changes`.
    pub(crate) fn new(version: Version, digest: Digest, changes: Vec<HashedChange>) -> Repair {
        Repair {
            target_version: version,
            target_digest: digest,
            changes,
            expected_bucket_digests: Vec::new(),
            unread_buckets: Vec::new(),
            read_buckets: BTreeSet::new(),
            differences: Vec::new(),
        }
    }

    /// The request for the digests of all buckets first, then for each bucket that differs.
    pub(crate) fn next_request(&self) -> ReplicaRequest {
        self.unread_buckets.last().map_or(ReplicaRequest::Digests, |bucket| ReplicaRequest::Bucket(*bucket))
    }

    /// Receives the digests of all buckets and determines which buckets differ.
    pub(crate) fn receive_digests(
        &mut self,
        response: DigestsResponse,
        active: &ActiveState,
    ) -> Result<RepairStep, Rejection> {
        if !self.unread_buckets.is_empty() {
            return Err(Rejection::UnexpectedResponse);
        }
        verify_not_older(response.version, self.target_version)?;
        if response.version > self.target_version {
            return Ok(RepairStep::ServerAdvanced);
        }
        let computed = active.projected_bucket_digests(&self.changes);
        if response.buckets.len() != computed.len() {
            return Err(Rejection::WrongBucketCount(response.buckets.len()));
        }
        verify_digest(self.target_digest, response.buckets.iter().copied())?;
        let differs = |bucket: &usize| response.buckets[*bucket] != computed[*bucket];
        self.unread_buckets = (0..computed.len()).rev().filter(differs).collect();
        self.expected_bucket_digests = response.buckets;
        if self.unread_buckets.is_empty() { Ok(RepairStep::ServerAdvanced) } else { Ok(RepairStep::Pending) }
    }

    /// Receives the records of the requested bucket.
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
        verify_not_older(response.version, self.target_version)?;
        if response.version > self.target_version {
            return Ok(RepairStep::ServerAdvanced);
        }
        verify_records(&records.records, response.version, None)?;
        if let Some(misplaced) = records.records.iter().find(|record| record.key_hash.bucket() != requested) {
            return Err(Rejection::RecordInWrongBucket {
                key: misplaced.change.key.clone(),
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
        let differs = |record: &HashedChange| active.active_hash(record) != record.hash;
        self.differences.extend(records.into_iter().filter(differs));
        self.differences.extend(removals);
        self.unread_buckets.pop();
        self.read_buckets.insert(requested);
        if self.unread_buckets.is_empty() { self.complete(active) } else { Ok(RepairStep::Pending) }
    }

    /// Verifies the result of the repair. Changes in buckets that have been read are superseded by those buckets.
    fn complete(&mut self, active: &ActiveState) -> Result<RepairStep, Rejection> {
        let mut changes = std::mem::take(&mut self.changes);
        changes.retain(|hashed| !self.read_buckets.contains(&hashed.key_hash.bucket()));
        changes.append(&mut self.differences);
        let projected = active.project(&changes);
        verify_record_count(projected.record_count, &active.limits)?;
        if projected.digest != self.target_digest {
            return Err(Rejection::DigestMismatch {
                expected: self.target_digest,
                computed: projected.digest,
            });
        }
        Ok(RepairStep::Complete(CompletedRepair {
            version: self.target_version,
            digest: self.target_digest,
            changes,
        }))
    }
}

/// Removals of the active records that a received bucket does not contain. `records` are ordered by their keys.
fn removals(bucket: usize, records: &[HashedChange], active: &ActiveState) -> Vec<HashedChange> {
    let is_removed = |key: &&Key| records.binary_search_by(|record| record.change.key.cmp(key)).is_err();
    let keys = active.records.bucket_keys(bucket).unwrap_or_default();
    keys.into_iter().filter(is_removed).map(|key| HashedChange::removal(key.clone())).collect()
}

/// Checks that partial digests sum up to the expected one.
fn verify_digest(expected: Digest, parts: impl Iterator<Item = Digest>) -> Result<(), Rejection> {
    let computed = Digest(parts.fold(0, |sum, Digest(part)| sum.wrapping_add(part)));
    if computed == expected { Ok(()) } else { Err(Rejection::DigestMismatch { expected, computed }) }
}
