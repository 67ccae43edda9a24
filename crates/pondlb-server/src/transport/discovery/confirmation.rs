//! Up to when calls to discovery confirm that the list of upstreams is current.

use std::time::Duration;

use tokio::time::Instant;

use super::error::CallError;
use crate::protocol::discovery::UpstreamList;

/// After this many unanswered calls in a row, each on a connection of its own, discovery is taken to respond to no
/// balancer. A single unanswered call may be the fault of its connection.
const UNANSWERED_CALLS_THRESHOLD: u32 = 2;

/// Derives the time up to which the list is confirmed from the calls, one after the other.
#[derive(Default)]
pub struct ListConfirmation {
    /// Calls in a row that got no response.
    unanswered_calls: u32,
}

impl ListConfirmation {
    /// Returns the time up to which the list is known to be complete, or up to which no balancer could have been
    /// notified of a change; `None` where the call shows no such time. `hold` is how long discovery was to wait for
    /// changes.
    pub fn record_call(
        &mut self,
        called_at: Instant,
        hold: Duration,
        result: &Result<UpstreamList, CallError>,
    ) -> Option<Instant> {
        let is_unanswered = matches!(result, Err(CallError::TimedOut | CallError::ConnectTimedOut));
        self.unanswered_calls = if is_unanswered { self.unanswered_calls + 1 } else { 0 };
        match result {
            // Discovery has waited for changes during the whole hold, and there were none.
            Ok(list) if !list.is_snapshot && list.targets.is_empty() && called_at.elapsed() >= hold => {
                Some(called_at + hold)
            }
            Ok(_) | Err(CallError::Unreachable(_)) => Some(called_at),
            Err(CallError::TimedOut | CallError::ConnectTimedOut) => {
                (self.unanswered_calls >= UNANSWERED_CALLS_THRESHOLD).then_some(called_at)
            }
            // Other balancers may be answered meanwhile.
            Err(
                CallError::Unavailable(_)
                | CallError::ConnectionBroken(_)
                | CallError::Rejected(_)
                | CallError::ListTooLong { .. },
            ) => None,
        }
    }
}
