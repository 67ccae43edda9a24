//! Up to when calls to discovery confirm that the list of upstreams is current.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::call::{Call, ReceivedList};
use super::error::CallError;

/// At least so many calls, each on a connection of its own, must be unanswered for [`ListConfirmation::min_silence`] before
/// discovery is taken to respond to no balancer. A single unanswered call may be the fault of its connection.
const MIN_UNANSWERED_CALLS: usize = 2;

/// Derives the time up to which the list is confirmed from the calls.
pub struct ListConfirmation {
    /// How long beyond its hold a call must be unanswered until that counts.
    min_silence: Duration,
    /// The calls that have timed out since the last response to any call, oldest first.
    unanswered: VecDeque<UnansweredCall>,
    /// How many calls counted as unanswered since the last response.
    counted: usize,
}

/// A call that has timed out and that may still be answered.
struct UnansweredCall {
    called_at: Instant,
    /// From then on it counts as unanswered.
    counts_at: Instant,
}

impl ListConfirmation {
    /// `min_silence` is how long beyond its hold a call must be unanswered until that counts.
    pub fn new(min_silence: Duration) -> Self {
        ListConfirmation { min_silence, unanswered: VecDeque::new(), counted: 0 }
    }

    /// Forgets the calls so far. Called after a response, and when discovery has another address.
    pub fn reset(&mut self) {
        self.unanswered.clear();
        self.counted = 0;
    }

    /// Records that a call has timed out. It may still be answered.
    pub fn record_timeout(&mut self, call: &Call) {
        let counts_at = call.called_at + call.hold() + self.min_silence;
        self.unanswered.push_back(UnansweredCall { called_at: call.called_at, counts_at });
    }

    /// When the next unanswered call counts.
    pub fn next_count_at(&self) -> Option<Instant> {
        self.unanswered.front().map(|call| call.counts_at)
    }

    /// Counts the calls that are unanswered for long enough by now. Returns the time up to which no balancer could have
    /// been notified of a change; `None` where these calls don't show that.
    pub fn count_unanswered(&mut self) -> Option<Instant> {
        let mut confirmed_at = None;
        while let Some(call) = self.unanswered.pop_front_if(|call| call.counts_at <= Instant::now()) {
            self.counted += 1;
            if self.counted >= MIN_UNANSWERED_CALLS {
                confirmed_at = Some(call.called_at);
            }
        }
        confirmed_at
    }

    /// Records the end of a call, in time or overdue. Returns the time up to which the list is known to be complete, or
    /// up to which no balancer could have been notified of a change; `None` where the call shows no such time.
    pub fn record_end(&mut self, call: &Call, result: &Result<ReceivedList, CallError>) -> Option<Instant> {
        self.reset();
        match result {
            // Discovery has waited for changes during the whole hold, and there were none.
            Ok(ReceivedList { list, .. })
                if !list.is_snapshot
                    && list.targets.is_empty()
                    && call.called_at.elapsed() >= call.hold() =>
            {
                Some(call.called_at + call.hold())
            }
            Ok(_) | Err(CallError::Unreachable(_)) => Some(call.called_at),
            // Other balancers may be answered meanwhile.
            Err(
                CallError::TimedOut
                | CallError::ConnectTimedOut
                | CallError::Unavailable(_)
                | CallError::ConnectionBroken(_)
                | CallError::Rejected(_)
                | CallError::ListTooLong { .. },
            ) => None,
        }
    }
}
