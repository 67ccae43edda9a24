//! What became of a request, in no protocol's words.

use pondlb::TenthMillis;

use pondlb_http::Message;

/// The final answer of a request.
#[derive(Debug, PartialEq)]
pub enum Answer {
    Served(Message),
    Rejected {
        cool_down: Option<TenthMillis>,
    },
    Failed,
    /// Upstreams turn it away for what the client sent.
    Unfit,
    /// Its id is that of another request that is being served, or was a moment ago; it is refused.
    Duplicate,
}

impl Answer {
    /// For the log.
    pub fn name(&self) -> &'static str {
        match self {
            Answer::Served(_) => "settled",
            Answer::Rejected { .. } => "declined",
            Answer::Failed => "reversed",
            Answer::Unfit => "unfit",
            Answer::Duplicate => "its id is taken",
        }
    }
}
