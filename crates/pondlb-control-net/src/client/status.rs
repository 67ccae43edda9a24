//! The counters of a follower and the staleness of its state, for logs and measurements.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use pondlb_control::Version;
use tokio::time::{Instant, sleep};

/// What a follower has done since its start, and its present state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowerCounters {
    /// Requests sent, including retries.
    pub requests_sent: u64,
    /// Responses that the replica accepted.
    pub accepted_responses: u64,
    /// Requests without a readable response.
    pub failed_requests: u64,
    /// Readable responses that the replica rejected.
    pub rejected_responses: u64,
    /// Snapshots of which the first page was requested.
    pub snapshots_started: u64,
    /// Repairs that were started by a request for the bucket digests.
    pub repairs_started: u64,
    /// Updates that the consumer applied.
    pub applied_updates: u64,
    /// Changed records in these updates.
    pub applied_changes: u64,
    /// Bytes sent to servers, including the heads of requests.
    pub bytes_sent: u64,
    /// Bytes received from servers, including the heads of responses.
    pub bytes_received: u64,
    /// The version of the last applied update.
    pub version: Version,
    /// Whether the last comparison of digests matched.
    pub in_sync: bool,
    /// Records of the active version that the consumer could not apply.
    pub unapplied_records: u64,
}

/// The last response that showed the active version to be the server's newest one.
#[derive(Clone, Copy, Debug)]
struct CurrentResponse {
    received_at: Instant,
    /// For how long the server itself had not heard from the origin.
    server_staleness: Duration,
}

/// The status of a follower, shared by its driver, its consumer and observers.
#[derive(Debug)]
pub struct FollowerStatus {
    started_at: Instant,
    counters: Cell<FollowerCounters>,
    last_current_response: Cell<Option<CurrentResponse>>,
    current_server: Cell<Option<SocketAddr>>,
}

/// The staleness from which on a state is reported as stale in the log.
const STALE_THRESHOLD: Duration = Duration::from_secs(10);
const STALENESS_CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl Default for FollowerStatus {
    fn default() -> FollowerStatus {
        FollowerStatus {
            started_at: Instant::now(),
            counters: Cell::default(),
            last_current_response: Cell::default(),
            current_server: Cell::default(),
        }
    }
}

impl FollowerStatus {
    /// The present counters.
    pub fn counters(&self) -> FollowerCounters {
        self.counters.get()
    }

    /// The server to which the last request was sent.
    pub fn current_server(&self) -> Option<SocketAddr> {
        self.current_server.get()
    }

    /// The time since a response last showed the active version to be the server's newest one.
    pub fn time_since_last_response(&self) -> Option<Duration> {
        self.last_current_response.get().map(|response| response.received_at.elapsed())
    }

    /// For how long the active state may have lacked changes of the origin: the time since a response last showed the
    /// active version to be the newest one, plus the staleness of its server. Without such a response, the time since
    /// the start.
    pub fn staleness(&self) -> Duration {
        self.last_current_response.get().map_or(self.started_at.elapsed(), |response| {
            response.received_at.elapsed() + response.server_staleness
        })
    }

    /// Sets the number of records of the active version that the consumer could not apply. Each request for changes
    /// reports it to the server.
    pub fn set_unapplied_records(&self, count: u64) {
        self.update_counters(|counters| counters.unapplied_records = count);
    }

    /// Changes the counters in place.
    pub(super) fn update_counters(&self, change: impl FnOnce(&mut FollowerCounters)) {
        let mut counters = self.counters.get();
        change(&mut counters);
        self.counters.set(counters);
    }

    pub(super) fn set_current_server(&self, server: SocketAddr) {
        self.current_server.set(Some(server));
    }

    /// Counts a request and its bytes.
    pub(super) fn count_request(&self, bytes: usize) {
        self.update_counters(|counters| {
            counters.requests_sent += 1;
            counters.bytes_sent += bytes as u64;
        });
    }

    pub(super) fn count_received_bytes(&self, bytes: usize) {
        self.update_counters(|counters| counters.bytes_received += bytes as u64);
    }

    /// Counts an update to this version that the consumer has applied.
    pub(super) fn count_applied_update(&self, version: Version, changes: usize) {
        self.update_counters(|counters| {
            counters.version = version;
            counters.applied_updates += 1;
            counters.applied_changes += changes as u64;
        });
    }

    /// Records a response that showed the active version to be the server's newest one.
    pub(super) fn record_current_response(&self, received_at: Instant, server_staleness: Duration) {
        self.last_current_response.set(Some(CurrentResponse { received_at, server_staleness }));
    }

    /// Logs once when the state becomes stale, and once when it no longer is. Never returns.
    pub(super) async fn log_staleness_changes(&self) {
        let mut was_stale = false;
        loop {
            sleep(STALENESS_CHECK_INTERVAL).await;
            let staleness = self.staleness();
            let is_stale = staleness >= STALE_THRESHOLD;
            let version = self.counters().version;
            if is_stale && !was_stale {
                log::warn!(
                    "control: version {version} is stale: not confirmed as current for {staleness:.1?}"
                );
            }
            if was_stale && !is_stale {
                log::warn!("control: no longer stale at version {version}");
            }
            was_stale = is_stale;
        }
    }
}
