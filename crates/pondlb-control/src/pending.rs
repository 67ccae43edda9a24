//! Answers on their way into a replica, whose records are hashed and checked a slice at a time.

use crate::held::{HashedChange, Held};
use crate::{Answer, Change, Check, Rejection};

/// An answer whose records are being hashed and checked: see [`Replica::check_slice`](crate::Replica::check_slice).
#[derive(Debug)]
pub struct PendingAnswer {
    /// Without its records.
    pub(crate) answer: Answer,
    unchecked: std::vec::IntoIter<Change>,
    checked: CheckedRecords,
}

/// The hashed records of an answer, and the first one that may not be taken.
#[derive(Debug)]
pub(crate) struct CheckedRecords {
    pub(crate) records: Vec<HashedChange>,
    rejection: Option<Rejection>,
}

impl PendingAnswer {
    /// An answer of which nothing is checked yet.
    pub fn new(mut answer: Answer) -> PendingAnswer {
        let records = match &mut answer {
            Answer::Changes(answer) => std::mem::take(&mut answer.changes),
            Answer::Snapshot(answer) => std::mem::take(&mut answer.records),
            Answer::Bucket(answer) => std::mem::take(&mut answer.records),
            Answer::Digests(_) => Vec::new(),
        };
        let checked = CheckedRecords { records: Vec::with_capacity(records.len()), rejection: None };
        PendingAnswer { answer, unchecked: records.into_iter(), checked }
    }

    /// Whether all records are hashed and checked.
    pub fn is_checked(&self) -> bool {
        self.unchecked.as_slice().is_empty()
    }

    /// Hashes and checks the next records, at most so many.
    pub(crate) fn check_slice(&mut self, held: &Held, check: &Check<'_>, most: usize) {
        for change in self.unchecked.by_ref().take(most) {
            self.checked.push(HashedChange::new(change), held, check);
        }
    }

    /// The answer and its records, all of them checked.
    pub(crate) fn into_checked(mut self, held: &Held, check: &Check<'_>) -> (Answer, CheckedRecords) {
        self.check_slice(held, check, usize::MAX);
        (self.answer, self.checked)
    }
}

impl CheckedRecords {
    fn push(&mut self, record: HashedChange, held: &Held, check: &Check<'_>) {
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
