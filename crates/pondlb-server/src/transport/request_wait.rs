//! How long a client's connection waits for a request.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use super::connection_table::{ConnectionSlot, EvictionGuard};
use super::phase::Phase;

/// A connection is closed when no further request has arrived for this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// A connection is closed when its first request has not begun by then. It is shorter than [`IDLE_TIMEOUT`] because
/// hundreds of connections that send nothing would fill the connection table.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// A request must be complete this long after its first byte, or slow clients would pin memory.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2500);

/// What of a request is awaited.
#[derive(Clone, Copy, PartialEq)]
pub enum Awaited {
    /// Its first byte. Empty lines ahead of the request don't count, so that they prolong no wait.
    Begin,
    /// Its last byte.
    Rest,
}

/// A wait for a request, and what ends it. The connection may be evicted meanwhile.
pub struct RequestWait<'a> {
    awaited: Awaited,
    deadline: Instant,
    eviction: EvictionGuard<'a>,
    is_over: bool,
}

impl<'a> RequestWait<'a> {
    /// Begins to wait for the next request of a connection. `is_used` says whether it has sent a request before.
    pub fn for_begin(slot: &'a ConnectionSlot, is_used: bool) -> Self {
        let (limit, eviction) = match is_used {
            true => (IDLE_TIMEOUT, slot.mark_idle()),
            false => (FIRST_REQUEST_TIMEOUT, slot.mark_unused()),
        };
        RequestWait { awaited: Awaited::Begin, deadline: Instant::now() + limit, eviction, is_over: false }
    }

    /// Begins to wait for the rest of a request.
    pub fn for_rest(slot: &'a ConnectionSlot) -> Self {
        let (deadline, eviction) = (Instant::now() + REQUEST_READ_TIMEOUT, slot.mark_receiving());
        RequestWait { awaited: Awaited::Rest, deadline, eviction, is_over: false }
    }

    /// What is awaited.
    pub fn awaited(&self) -> Awaited {
        self.awaited
    }

    /// When the wait is over at the latest.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Whether the wait is over, so that nothing more is read.
    pub fn is_over(&self) -> bool {
        self.is_over
    }

    /// Returns when the wait is over: the deadline has passed, the connection is needed for another client, or the program
    /// ends and no request has begun.
    pub async fn run_to_end(&mut self, phase: &mut watch::Receiver<Phase>) {
        tokio::select! {
            _ = phase.wait_for(|phase| *phase >= Phase::Closing), if self.awaited == Awaited::Begin => {}
            () = self.eviction.evicted() => {}
            () = sleep_until(self.deadline) => {}
        }
        self.is_over = true;
    }
}
