//! The final answer of a request, independent of the protocol in which the client gets it.

use pondlb::TenthMillis;

use pondlb_http::Message;

/// The final answer of a request.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// The answer of an upstream.
    Served(Message),
    /// The request has had no effect.
    Rejected {
        /// How long the client should wait before it tries again.
        retry_after: Option<TenthMillis>,
    },
    /// The request was given up, but may have run.
    Failed,
    /// An upstream refused the request because of what the client sent.
    ClientError,
    /// The request was refused because its id is that of another request that is open or recent.
    DuplicateId,
}

impl Answer {
    /// The name of the answer in the log.
    pub fn log_name(&self) -> &'static str {
        match self {
            Answer::Served(_) => "settled",
            Answer::Rejected { .. } => "declined",
            Answer::Failed => "reversed",
            Answer::ClientError => "unfit",
            Answer::DuplicateId => "its id is taken",
        }
    }
}
