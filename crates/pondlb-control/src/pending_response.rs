//! Answers on their way into a replica, whose records are hashed and checked a slice at a time.

use crate::active_state::{ActiveState, HashedChange};
use crate::{Change, RecordValidator, Rejection, ReplicaResponse};

/// An answer whose records are being hashed and checked: see [`Replica::validate_batch`](crate::Replica::validate_batch).
#[derive(Debug)]
pub struct PendingResponse {
    /// Without its records.
    pub(crate) response: ReplicaResponse,
    remaining: std::vec::IntoIter<Change>,
    validated: ValidatedRecords,
}

/// The hashed records of an answer, and the first one that may not be taken.
#[derive(Debug)]
pub(crate) struct ValidatedRecords {
    pub(crate) records: Vec<HashedChange>,
    rejection: Option<Rejection>,
}

impl PendingResponse {
    /// An answer of which nothing is checked yet.
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

    /// Whether all records are hashed and checked.
    pub fn is_validated(&self) -> bool {
        self.remaining.as_slice().is_empty()
    }

    /// Hashes and checks the next records, at most so many.
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

    /// The answer and its records, all of them checked.
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
    fn push(&mut self, record: HashedChange, active: &ActiveState, validate: &RecordValidator<'_>) {
        if self.rejection.is_none() {
            self.rejection = active.validate_value(&record, validate).err();
        }
        self.records.push(record);
    }

    /// All of the records.
    ///
    /// # Errors
    /// [`Rejection`] where one of them may not be taken.
    pub(crate) fn into_accepted(self) -> Result<Vec<HashedChange>, Rejection> {
        self.rejection.map_or(Ok(self.records), Err)
    }
}
