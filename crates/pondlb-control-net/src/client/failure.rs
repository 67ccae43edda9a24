//! Reasons why a request to a control server fails, and rate limiting of their log messages.

use std::time::Duration;

use pondlb_control::Rejection;
use tokio::time::Instant;

use crate::coding::DecodeError;

/// Why a request has brought no usable response.
#[derive(Debug, thiserror::Error)]
pub enum RequestFailure {
    /// No response arrived within this time.
    #[error("no response within {0:?}")]
    TimedOut(Duration),
    /// The connection could not be opened, or it failed. The text says why.
    #[error("{0}")]
    Disconnected(String),
    /// The server responded with another status than 200.
    #[error("the server responded with status {status}: {reason}")]
    ErrorStatus {
        /// The status code.
        status: u16,
        /// The text of the response.
        reason: String,
    },
    /// The response is not valid HTTP, or its content is not the expected JSON.
    #[error("the response is malformed: {0}")]
    MalformedResponse(String),
    /// The content coding of the response can't be decoded.
    #[error("the content of the response can't be decoded: {0}")]
    UndecodableContent(#[from] DecodeError),
    /// The replica rejected the response as a whole.
    #[error("the response is rejected: {0}")]
    Rejected(#[from] Rejection),
}

/// Failures of one kind are logged as warnings at most once in this time.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// The kinds of failures that were logged within the last [`LOG_INTERVAL`], and when.
#[derive(Debug, Default)]
pub struct FailureLogLimiter(Vec<(std::mem::Discriminant<RequestFailure>, Instant)>);

impl FailureLogLimiter {
    /// Whether a failure is to be logged as a warning. If so, it is recorded as logged.
    pub fn should_log(&mut self, failure: &RequestFailure) -> bool {
        self.0.retain(|(_, logged_at)| logged_at.elapsed() < LOG_INTERVAL);
        let kind = std::mem::discriminant(failure);
        let is_due = self.0.iter().all(|(logged_kind, _)| *logged_kind != kind);
        if is_due {
            self.0.push((kind, Instant::now()));
        }
        is_due
    }
}
