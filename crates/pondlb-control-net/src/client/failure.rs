//! Why a call has failed, and how often the log is told.

use std::time::Duration;

use pondlb_control::Rejection;
use tokio::time::Instant;

use crate::coding::DecodeError;

/// Why a call has brought nothing.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The time for an answer is over.
    #[error("no answer within {0:?}")]
    Silent(Duration),
    /// There is no connection, or it broke.
    #[error("{0}")]
    Unreached(String),
    /// The server does not answer the call.
    #[error("the call is answered with {status}: {reason}")]
    Refused {
        /// Status of the answer.
        status: u16,
        /// Its text.
        reason: String,
    },
    /// What came is no answer.
    #[error("the answer can't be read: {0}")]
    Unreadable(String),
    /// The content of what came can't be decoded.
    #[error("the answer can't be decoded: {0}")]
    Undecodable(#[from] DecodeError),
    /// Nothing of the answer is taken.
    #[error("the answer is rejected: {0}")]
    Rejected(#[from] Rejection),
}

/// One reason is logged once in this time, however often calls fail for it.
const REPEATED: Duration = Duration::from_secs(5);

/// Which reasons the log was told lately.
#[derive(Debug, Default)]
pub struct ToldFailures(Vec<(std::mem::Discriminant<Failure>, Instant)>);

impl ToldFailures {
    /// Whether the log is to be told of this one; it counts as told then.
    pub fn is_due(&mut self, failure: &Failure) -> bool {
        self.0.retain(|(_, at)| at.elapsed() < REPEATED);
        let kind = std::mem::discriminant(failure);
        let is_due = self.0.iter().all(|(told, _)| *told != kind);
        if is_due {
            self.0.push((kind, Instant::now()));
        }
        is_due
    }
}
