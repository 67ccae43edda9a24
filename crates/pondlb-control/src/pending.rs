//! Answers on their way into a replica, whose records are hashed and checked a slice at a time.

use crate::held::{HashedChange, Held};
use crate::{Change, RecordValidator, Rejection, ReplicaResponse};

/// An answer whose records are being hashed and checked: see [`Replica::validate_batch`](crate::Replica::validate_batch).
#[derive(Debug)]
pub struct PendingResponse {
    /// Without its records.
    pub(crate) answer: ReplicaResponse,
    unchecked: std::vec::IntoIter<Change>,
    checked: CheckedRecords,
}

/// The hashed records of an answer, and the first one that may not be taken.
#[derive(Debug)]
pub(crate) struct CheckedRecords {
    pub(crate) records: Vec<HashedChange>,
    rejection: Option<Rejection>,
}

impl PendingResponse {
    /// An answer of which nothing is checked yet.
    pub fn new(mut answer: ReplicaResponse) -> PendingResponse {
        let records = match &mut answer {
            ReplicaResponse::Changes(answer) => std::mem::take(&mut answer.changes),
            ReplicaResponse::Snapshot(answer) => std::mem::take(&mut answer.records),
            ReplicaResponse::Bucket(answer) => std::mem::take(&mut answer.records),
            ReplicaResponse::Digests(_) => Vec::new(),
        };
        let checked = CheckedRecords { records: Vec::with_capacity(records.len()), rejection: None };
        PendingResponse { answer, unchecked: records.into_iter(), checked }
    }

    /// Whether all records are hashed and checked.
    pub fn is_validated(&self) -> bool {
        self.unchecked.as_slice().is_empty()
    }

    /// Hashes and checks the next records, at most so many.
    pub(crate) fn check_slice(&mut self, held: &Held, check: &RecordValidator<'_>, most: usize) {
        for change in self.unchecked.by_ref().take(most) {
            self.checked.push(HashedChange::new(change), held, check);
        }
    }

    /// The answer and its records, all of them checked.
    pub(crate) fn into_checked(
        mut self,
        held: &Held,
        check: &RecordValidator<'_>,
    ) -> (ReplicaResponse, CheckedRecords) {
        self.check_slice(held, check, usize::MAX);
        (self.answer, self.checked)
    }
}

impl CheckedRecords {
    fn push(&mut self, record: HashedChange, held: &Held, check: &RecordValidator<'_>) {
        if self.rejection.is_none() {
            self.rejection = held.verify_value(&record, check).err();
        }
        self.records.push(record);
    }

    /// All of the records.
    ///
    /// # Errors
    /// [`Rejection`] where one of them may not be taken.
    pub(crate) fn accepted(self) -> Result<Vec<HashedChange>, Rejection> {
        self.rejection.map_or(Ok(self.records), Err)
    }
}
