//! What a follower has done and how fresh its state is, for logs and measurements.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use pondlb_control::Version;
use tokio::time::{Instant, sleep};

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowerCounters {
    /// Calls made, repeated ones included.
    pub requests_sent: u64,
    /// Answers that were taken.
    pub accepted_responses: u64,
    /// Calls that brought no answer that can be read.
    pub failed_requests: u64,
    /// Answers that were read and rejected.
    pub rejected_responses: u64,
    /// Snapshots begun.
    pub snapshots_started: u64,
    /// Repairs begun.
    pub repairs_started: u64,
    /// Updates in force.
    pub applied_updates: u64,
    /// Changes in them.
    pub applied_changes: u64,
    /// Bytes written to servers, heads of requests included.
    pub bytes_sent: u64,
    /// Bytes read from servers, heads of answers included.
    pub bytes_received: u64,
    /// The version in force.
    pub version: Version,
    /// The last digest compared was right.
    pub in_sync: bool,
    /// Records of the version in force that the consumer could not put in force.
    pub unapplied_records: u64,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Instant,
    /// How stale the server's own state was.
    told: Duration,
}

/// State of a follower.
#[derive(Debug)]
pub struct FollowerStatus {
    started: Instant,
    counters: Cell<FollowerCounters>,
    heard: Cell<Option<Heard>>,
    server: Cell<Option<SocketAddr>>,
}

/// From when on a state is called stale.
const STALE: Duration = Duration::from_secs(10);
const LOOK_EVERY: Duration = Duration::from_secs(1);

impl Default for FollowerStatus {
    fn default() -> FollowerStatus {
        FollowerStatus {
            started: Instant::now(),
            counters: Cell::default(),
            heard: Cell::default(),
            server: Cell::default(),
        }
    }
}

impl FollowerStatus {
    /// What has been counted so far.
    pub fn counters(&self) -> FollowerCounters {
        self.counters.get()
    }

    /// The server that is called.
    pub fn current_server(&self) -> Option<SocketAddr> {
        self.server.get()
    }

    /// How long ago a server has answered with what is in force.
    pub fn time_since_last_response(&self) -> Option<Duration> {
        self.heard.get().map(|heard| heard.at.elapsed())
    }

    /// For how long the state in force may lack what the origin has: since the last answer, and what that told of
    /// its server. Without any answer since the start.
    pub fn staleness(&self) -> Duration {
        self.heard.get().map_or(self.started.elapsed(), |heard| heard.at.elapsed() + heard.told)
    }

    /// So many records of the version in force could not be put in force; servers are told with each call.
    pub fn set_unapplied_records(&self, refused: u64) {
        self.count(|counters| counters.unapplied_records = refused);
    }

    pub(super) fn count(&self, change: impl FnOnce(&mut FollowerCounters)) {
        let mut counters = self.counters.get();
        change(&mut counters);
        self.counters.set(counters);
    }

    pub(super) fn note_server(&self, server: SocketAddr) {
        self.server.set(Some(server));
    }

    pub(super) fn note_call(&self, bytes: usize) {
        self.count(|counters| {
            counters.requests_sent += 1;
            counters.bytes_sent += bytes as u64;
        });
    }

    pub(super) fn note_received(&self, bytes: usize) {
        self.count(|counters| counters.bytes_received += bytes as u64);
    }

    pub(super) fn note_in_force(&self, version: Version, changes: usize) {
        self.count(|counters| {
            counters.version = version;
            counters.applied_updates += 1;
            counters.applied_changes += changes as u64;
        });
    }

    pub(super) fn note_heard(&self, at: Instant, told: Duration) {
        self.heard.set(Some(Heard { at, told }));
    }

    /// Logs once when the state has become stale, and again when it is fresh. Never returns.
    pub(super) async fn watch_staleness(&self) {
        let mut was_stale = false;
        loop {
            sleep(LOOK_EVERY).await;
            let staleness = self.staleness();
            let is_stale = staleness >= STALE;
            let version = self.counters().version;
            if is_stale && !was_stale {
                log::warn!("control: version {version} is stale: nothing is known since {staleness:.1?}");
            }
            if was_stale && !is_stale {
                log::warn!("control: fresh again at version {version}");
            }
            was_stale = is_stale;
        }
    }
}
