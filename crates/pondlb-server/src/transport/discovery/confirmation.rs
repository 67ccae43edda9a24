//! What calls to discovery tell of how current the list is.

use std::time::Duration;

use tokio::time::Instant;

use super::fault::Fault;
use crate::protocol::discovery::UpstreamList;

/// One call without an answer may be its connection's fault. After so many in a row, each on a connection of its own,
/// discovery is taken to answer nobody.
const UNANSWERED: u32 = 2;

/// Judges calls one after the other.
#[derive(Default)]
pub struct Confirmation {
    /// Calls in a row that got no answer.
    unanswered: u32,
}

impl Confirmation {
    /// The time up to which nothing has changed but what the list says, or nobody could be told of it; none where the
    /// call shows no such time. `hold` is how long discovery was to wait for news.
    pub fn judge(
        &mut self,
        called: Instant,
        hold: Duration,
        outcome: &Result<UpstreamList, Fault>,
    ) -> Option<Instant> {
        let is_unanswered = matches!(outcome, Err(Fault::Silent | Fault::Unconnected));
        self.unanswered = if is_unanswered { self.unanswered + 1 } else { 0 };
        match outcome {
            // It has waited for news until then.
            Ok(list) if !list.is_snapshot && list.targets.is_empty() && called.elapsed() >= hold => {
                Some(called + hold)
            }
            Ok(_) | Err(Fault::Absent(_)) => Some(called),
            Err(Fault::Silent | Fault::Unconnected) => (self.unanswered >= UNANSWERED).then_some(called),
            Err(Fault::Broken(_) | Fault::Refused(_) | Fault::TooLong { .. }) => None,
        }
    }
}
