//! The main loop of a follower: sends requests to a control server, validates the responses and delivers the updates.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pondlb_control::{
    Key, LongPoll, PendingResponse, Progress, Rejection, Replica, ReplicaRequest, ReplicaResponse, Rotation,
    Update,
};
use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, oneshot};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout};

use super::connection::ServerConnection;
use super::failure::{FailureLogLimiter, RequestFailure};
use super::status::FollowerStatus;
use super::{FollowerConfig, UNAPPLIED_RECORDS_PARAMETER, UpdateDelivery};
use crate::options::CHANGES_BYTES_LIMIT;

/// The timeout of a request that the server answers without a hold.
const IMMEDIATE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2200);
/// The delay after a response without any progress. It bounds the request rate towards a server that does not hold
/// its responses, or that sends the same complete state again and again.
const NO_PROGRESS_DELAY: Duration = Duration::from_millis(50);

/// The number of records that are validated before other tasks of the thread get a turn.
const VALIDATION_BATCH_RECORDS: usize = 64;

/// An upper bound of what a response with changes or a snapshot page contains besides the values of its records: key,
/// revision, version and digest.
const MAX_RESPONSE_OVERHEAD_BYTES: usize = 4 << 10;
/// The maximum content of a response to a request of a repair: a bucket of very long records.
const MAX_REPAIR_RESPONSE_BYTES: usize = 8 << 20;

/// Keeps one replica up to date from the configured servers.
pub struct Driver<V> {
    config: FollowerConfig,
    /// The follower's name in requests.
    caller_name: String,
    /// Validates each changed value or removal.
    validate: V,
    /// The channel to the consumer.
    deliveries: mpsc::UnboundedSender<UpdateDelivery>,
    status: Rc<FollowerStatus>,
    replica: Replica,
    rotation: Rotation,
    connection: ServerConnection,
    /// When to return to the preferred server; `None` while it is the current one.
    failback_at: Option<Instant>,
    log_limiter: FailureLogLimiter,
}

/// The properties of a response that the driver needs after its records have been processed.
struct ResponseInfo {
    /// For how long the server itself has not heard from the origin.
    server_staleness: Duration,
    /// Whether it contains neither changes nor a reset.
    is_empty: bool,
}

impl<V: Fn(&Key, Option<&str>) -> Result<(), String>> Driver<V> {
    /// Creates a driver with an empty replica.
    pub fn new(
        config: FollowerConfig,
        validate: V,
        deliveries: mpsc::UnboundedSender<UpdateDelivery>,
        status: Rc<FollowerStatus>,
    ) -> Driver<V> {
        Driver {
            caller_name: config.caller_name(),
            replica: Replica::new(config.limits, config.key_interner.clone()),
            rotation: Rotation::new(config.servers.len(), config.follower_number, config.seed),
            config,
            validate,
            deliveries,
            status,
            connection: ServerConnection::default(),
            failback_at: None,
            log_limiter: FailureLogLimiter::default(),
        }
    }

    /// Sends requests and processes their responses. Never returns.
    pub async fn run(&mut self) {
        loop {
            self.fail_back_if_due();
            let delay = match self.exchange_once().await {
                Ok(delay) => delay,
                Err(failure) => Some(self.fail_over(failure)),
            };
            if let Some(delay) = delay {
                sleep(delay).await;
            }
        }
    }

    /// Sends the next request, processes its response and delivers the update, if any. Returns the delay before the
    /// next request.
    async fn exchange_once(&mut self) -> Result<Option<Duration>, RequestFailure> {
        let request = self.replica.next_request(self.config.max_hold);
        self.count_started(&request);
        let sent_at = Instant::now();
        let response = self.send(&request).await?;
        let received_at = Instant::now();
        let info = response_info(&response);
        let progress = self.receive(response).await?;
        self.rotation.record_success();
        let in_sync = self.replica.is_in_sync();
        self.status.update_counters(|counters| {
            counters.accepted_responses += 1;
            counters.in_sync = in_sync;
        });
        match progress {
            Progress::Unchanged => self.status.record_current_response(received_at, info.server_staleness),
            Progress::Pending => {}
            Progress::Applied(update) => {
                let (is_last, is_empty) = (!update.has_more, update.changes.is_empty());
                self.deliver_update(update).await;
                if is_last {
                    self.status.record_current_response(received_at, info.server_staleness);
                }
                return Ok(is_empty.then_some(NO_PROGRESS_DELAY));
            }
        }
        Ok((info.is_empty && sent_at.elapsed() < NO_PROGRESS_DELAY).then_some(NO_PROGRESS_DELAY))
    }

    /// Processes a response that was just decoded; it is applied as a whole or not at all. Yields to other tasks before
    /// its records are validated, between batches of them, and before they are applied.
    async fn receive(&mut self, response: ReplicaResponse) -> Result<Progress, Rejection> {
        let mut pending = PendingResponse::new(response);
        while !pending.is_validated() {
            yield_now().await;
            self.replica.validate_batch(&mut pending, &self.validate, VALIDATION_BATCH_RECORDS);
            if pending.is_validated() {
                yield_now().await;
            }
        }
        self.replica.receive_validated(pending, &self.validate)
    }

    /// Sends a request to the current server and returns its decoded response.
    async fn send(&mut self, request: &ReplicaRequest) -> Result<ReplicaResponse, RequestFailure> {
        let server = self.current_server();
        self.status.set_current_server(server);
        let response_timeout = match request {
            ReplicaRequest::Changes { hold: LongPoll::UpTo(hold), .. } => *hold + self.config.response_grace,
            _ => IMMEDIATE_RESPONSE_TIMEOUT,
        };
        let target = self.request_target(request);
        log::trace!("control: {server}: {target}");
        let max_content_bytes = self.max_content_bytes(request);
        let exchange = self.connection.get(server, &target, max_content_bytes, &self.status);
        let content = timeout(response_timeout, exchange)
            .await
            .map_err(|_| RequestFailure::TimedOut(response_timeout))??;
        decode(request, &content)
    }

    /// The target of a request. Requests for changes report the number of unapplied records, if there are any.
    fn request_target(&self, request: &ReplicaRequest) -> String {
        let target = request.target(&self.caller_name);
        match (request, self.status.counters().unapplied_records) {
            (ReplicaRequest::Changes { .. }, unapplied_records @ 1..) => {
                format!("{target}&{UNAPPLIED_RECORDS_PARAMETER}={unapplied_records}")
            }
            _ => target,
        }
    }

    /// The maximum length of the decoded content of the response to a request.
    fn max_content_bytes(&self, request: &ReplicaRequest) -> usize {
        match request {
            ReplicaRequest::Changes { .. } | ReplicaRequest::Snapshot { .. } => {
                CHANGES_BYTES_LIMIT + MAX_RESPONSE_OVERHEAD_BYTES + self.config.limits.max_value_bytes
            }
            ReplicaRequest::Digests | ReplicaRequest::Bucket(_) => MAX_REPAIR_RESPONSE_BYTES,
        }
    }

    /// Hands an update to the consumer and waits until it is applied.
    async fn deliver_update(&mut self, update: Update) {
        let (version, change_count) = (update.version, update.changes.len());
        let (applied, applied_receiver) = oneshot::channel();
        // If the consumer has dropped its receiver, `follow` cancels this driver at its next wait.
        let _ = self.deliveries.send(UpdateDelivery { update, applied });
        if applied_receiver.await.is_ok() {
            self.status.count_applied_update(version, change_count);
        }
    }

    /// Counts and logs a failure and moves on to the next server. Returns the time to wait before using it.
    fn fail_over(&mut self, failure: RequestFailure) -> Duration {
        let server = self.current_server();
        match &failure {
            RequestFailure::Rejected(_) => {
                self.status.update_counters(|counters| counters.rejected_responses += 1)
            }
            _ => self.status.update_counters(|counters| counters.failed_requests += 1),
        }
        if self.log_limiter.should_log(&failure) {
            log::warn!("control: {server}: {failure}");
        } else {
            log::debug!("control: {server}: repeated failure: {failure}");
        }
        self.connection.close();
        self.replica.reset_for_new_server();
        let backoff = self.rotation.fail_over();
        self.failback_at = self.rotation.failback_delay().map(|delay| Instant::now() + delay);
        backoff
    }

    /// Returns to the preferred server when it is time, but not during a snapshot or a repair, which would start over.
    fn fail_back_if_due(&mut self) {
        let is_due = self.failback_at.is_some_and(|at| at <= Instant::now());
        if is_due && self.replica.is_in_sync() {
            self.failback_at = None;
            self.rotation.fail_back();
            self.replica.reset_for_new_server();
            log::debug!("control: returned to the preferred server {}", self.current_server());
        }
    }

    fn current_server(&self) -> SocketAddr {
        let servers = &self.config.servers;
        servers[self.rotation.current_server() % servers.len()]
    }

    /// Counts the snapshot or the repair that a request starts.
    fn count_started(&self, request: &ReplicaRequest) {
        self.status.update_counters(|counters| match request {
            ReplicaRequest::Snapshot { after: None } => counters.snapshots_started += 1,
            ReplicaRequest::Digests => counters.repairs_started += 1,
            _ => {}
        });
    }
}

fn response_info(response: &ReplicaResponse) -> ResponseInfo {
    match response {
        ReplicaResponse::Changes(changes) => ResponseInfo {
            server_staleness: Duration::from_millis(changes.stale_ms),
            is_empty: changes.changes.is_empty() && !changes.reset,
        },
        _ => ResponseInfo { server_staleness: Duration::ZERO, is_empty: false },
    }
}

/// Decodes the content of the response to a request.
fn decode(request: &ReplicaRequest, content: &[u8]) -> Result<ReplicaResponse, RequestFailure> {
    Ok(match request {
        ReplicaRequest::Changes { .. } => ReplicaResponse::Changes(from_json(content)?),
        ReplicaRequest::Snapshot { .. } => ReplicaResponse::Snapshot(from_json(content)?),
        ReplicaRequest::Digests => ReplicaResponse::Digests(from_json(content)?),
        ReplicaRequest::Bucket(_) => ReplicaResponse::Bucket(from_json(content)?),
    })
}

fn from_json<T: DeserializeOwned>(content: &[u8]) -> Result<T, RequestFailure> {
    serde_json::from_slice(content).map_err(|error| RequestFailure::MalformedResponse(error.to_string()))
}
