//! What became of a request, in no protocol's words.

use pondlb::TenthMillis;

use pondlb_http::Message;

/// The final answer of a request.
#[derive(Debug, PartialEq)]
pub enum Answer {
    Served(Message),
    Rejected {
        retry_after: Option<TenthMillis>,
    },
    Failed,
    /// Upstreams turn it away for what the client sent.
    ClientError,
    /// Its id is that of another request that is being served, or was a moment ago; it is refused.
    DuplicateId,
}

impl Answer {
    /// For the log.
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
