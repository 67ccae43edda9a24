//! Received responses whose records are hashed and validated in batches before the replica processes them.

use crate::active_state::{ActiveState, HashedChange};
use crate::{Change, RecordValidator, Rejection, ReplicaResponse};

/// A response whose records are being hashed and validated by
/// [`Replica::validate_batch`](crate::Replica::validate_batch).
#[derive(Debug)]
pub struct PendingResponse {
    /// The response without its records.
    pub(crate) response: ReplicaResponse,
    /// The records that are not validated yet.
    remaining: std::vec::IntoIter<Change>,
    validated: ValidatedRecords,
}

/// The hashed records of a response, and the reason why the first invalid one is rejected.
#[derive(Debug)]
pub(crate) struct ValidatedRecords {
    pub(crate) records: Vec<HashedChange>,
    rejection: Option<Rejection>,
}

impl PendingResponse {
    /// Wraps a response of which no record is validated yet.
    pub fn new(mut response: ReplicaResponse) -> PendingResponse {
        let records = match &mut response {
            ReplicaResponse::Changes(response) => std::mem::take(&mut response.changes),
            ReplicaResponse::Snapshot(response) => std::mem::take(&mut response.records),
            ReplicaResponse::Bucket(response) => std::mem::take(&mut response.records),
            ReplicaResponse::Digests(_) => Vec::new(),
        };
        let checked = ValidatedRecords { records: Vec::with_capacity(records.len()), rejection: None };
        PendingResponse { response, remaining: records.into_iter(), validated: checked }
    }

    /// Whether all records are hashed and validated.
    pub fn is_validated(&self) -> bool {
        self.remaining.as_slice().is_empty()
    }

    /// Hashes and validates at most `max_records` of the remaining records.
    pub(crate) fn validate_batch(
        &mut self,
        active: &ActiveState,
        validate: &RecordValidator<'_>,
        max_records: usize,
    ) {
        for change in self.remaining.by_ref().take(max_records) {
            self.validated.push(HashedChange::new(change), active, validate);
        }
    }

    /// Validates the remaining records and returns the response and all of its records.
    pub(crate) fn into_validated(
        mut self,
        active: &ActiveState,
        validate: &RecordValidator<'_>,
    ) -> (ReplicaResponse, ValidatedRecords) {
        self.validate_batch(active, validate, usize::MAX);
        (self.response, self.validated)
    }
}

impl ValidatedRecords {
    /// Appends a record. After a rejection the following records are no longer validated.
    fn push(&mut self, record: HashedChange, active: &ActiveState, validate: &RecordValidator<'_>) {
        if self.rejection.is_none() {
            self.rejection = active.validate_value(&record, validate).err();
        }
        self.records.push(record);
    }

    /// Returns all records.
    ///
    /// # Errors
    /// [`Rejection`] of the first record that is not valid.
    pub(crate) fn into_accepted(self) -> Result<Vec<HashedChange>, Rejection> {
        self.rejection.map_or(Ok(self.records), Err)
    }
}
