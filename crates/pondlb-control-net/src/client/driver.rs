//! The loop of a follower: call, take, deliver.

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

use super::failure::{Failure, ToldFailures};
use super::link::Link;
use super::status::FollowerStatus;
use super::{FollowerConfig, REFUSED, UpdateDelivery};
use crate::options::MOST_PIECE_BYTES;

/// How long a call may take that is answered at once.
const ANSWER_WITHIN: Duration = Duration::from_millis(2200);
/// A server that does not hold its answers, or tells the same whole state again and again, would else be called
/// without a rest.
const PAUSE: Duration = Duration::from_millis(50);

/// So many records are checked in one turn of the loop: others go on between.
const SLICE: usize = 64;

/// More than a piece and a single record have beside the value: key, revision, version and digest.
const MOST_BESIDE_VALUE: usize = 4 << 10;
/// The longest answer to a call for repairs: a bucket of very long records.
const MOST_REPAIR: usize = 8 << 20;

/// Follows the servers with one replica.
pub struct Driver<C> {
    following: FollowerConfig,
    name: String,
    check: C,
    deliver: mpsc::UnboundedSender<UpdateDelivery>,
    status: Rc<FollowerStatus>,
    replica: Replica,
    rotation: Rotation,
    link: Link,
    /// When to call the home server again; none while it is the one called.
    home_at: Option<Instant>,
    told: ToldFailures,
}

/// What an answer tells beside its records.
struct Told {
    staleness: Duration,
    /// It has neither changes nor a reset.
    is_empty: bool,
}

impl<C: Fn(&Key, Option<&str>) -> Result<(), String>> Driver<C> {
    pub fn new(
        following: FollowerConfig,
        check: C,
        deliver: mpsc::UnboundedSender<UpdateDelivery>,
        status: Rc<FollowerStatus>,
    ) -> Driver<C> {
        Driver {
            name: following.caller_name(),
            replica: Replica::new(following.limits, following.key_interner.clone()),
            rotation: Rotation::new(following.servers.len(), following.follower_number, following.seed),
            following,
            check,
            deliver,
            status,
            link: Link::default(),
            home_at: None,
            told: ToldFailures::default(),
        }
    }

    /// Calls without end.
    pub async fn run(&mut self) {
        loop {
            self.go_home_when_due();
            let pause = match self.call_once().await {
                Ok(pause) => pause,
                Err(failure) => Some(self.go_on_after(failure)),
            };
            if let Some(pause) = pause {
                sleep(pause).await;
            }
        }
    }

    /// One call and all that it brings; how long to wait before the next one.
    async fn call_once(&mut self) -> Result<Option<Duration>, Failure> {
        let call = self.replica.next_request(self.following.max_hold);
        self.count_begun(&call);
        let called = Instant::now();
        let answer = self.ask(&call).await?;
        let answered = Instant::now();
        let told = told_by(&answer);
        let progress = self.receive(answer).await?;
        self.rotation.record_success();
        let in_sync = self.replica.is_in_sync();
        self.status.count(|counters| {
            counters.accepted_responses += 1;
            counters.in_sync = in_sync;
        });
        match progress {
            Progress::Unchanged => self.status.note_heard(answered, told.staleness),
            Progress::Pending => {}
            Progress::Applied(update) => {
                let (is_last, is_empty) = (!update.has_more, update.changes.is_empty());
                self.put_in_force(update).await;
                if is_last {
                    self.status.note_heard(answered, told.staleness);
                }
                return Ok(is_empty.then_some(PAUSE));
            }
        }
        Ok((told.is_empty && called.elapsed() < PAUSE).then_some(PAUSE))
    }

    /// Takes an answer that was just decoded, all or nothing. Other tasks get a turn before its records are checked,
    /// between slices of them, and before they are taken.
    async fn receive(&mut self, answer: ReplicaResponse) -> Result<Progress, Rejection> {
        let mut pending = PendingResponse::new(answer);
        while !pending.is_validated() {
            yield_now().await;
            self.replica.validate_batch(&mut pending, &self.check, SLICE);
            if pending.is_validated() {
                yield_now().await;
            }
        }
        self.replica.receive_validated(pending, &self.check)
    }

    async fn ask(&mut self, call: &ReplicaRequest) -> Result<ReplicaResponse, Failure> {
        let server = self.server();
        self.status.note_server(server);
        let within = match call {
            ReplicaRequest::Changes { hold: LongPoll::UpTo(hold), .. } => {
                *hold + self.following.response_grace
            }
            _ => ANSWER_WITHIN,
        };
        let target = self.target(call);
        log::trace!("control: {server}: {target}");
        let body = timeout(within, self.link.call(server, &target, self.most_content(call), &self.status))
            .await
            .map_err(|_| Failure::Silent(within))??;
        decode(call, &body)
    }

    fn target(&self, call: &ReplicaRequest) -> String {
        let target = call.target(&self.name);
        match (call, self.status.counters().unapplied_records) {
            (ReplicaRequest::Changes { .. }, refused @ 1..) => format!("{target}&{REFUSED}={refused}"),
            _ => target,
        }
    }

    /// How long the content of an answer may be.
    fn most_content(&self, call: &ReplicaRequest) -> usize {
        match call {
            ReplicaRequest::Changes { .. } | ReplicaRequest::Snapshot { .. } => {
                MOST_PIECE_BYTES + MOST_BESIDE_VALUE + self.following.limits.max_value_bytes
            }
            ReplicaRequest::Digests | ReplicaRequest::Bucket(_) => MOST_REPAIR,
        }
    }

    async fn put_in_force(&mut self, update: Update) {
        let (version, changes) = (update.version, update.changes.len());
        let (in_force, is_in_force) = oneshot::channel();
        // Without its receiver the whole driver ends at its next wait.
        let _ended = self.deliver.send(UpdateDelivery { update, applied: in_force });
        if is_in_force.await.is_ok() {
            self.status.note_in_force(version, changes);
        }
    }

    /// Goes on to the next server; how long to wait first.
    fn go_on_after(&mut self, failure: Failure) -> Duration {
        let server = self.server();
        match &failure {
            Failure::Rejected(_) => self.status.count(|counters| counters.rejected_responses += 1),
            _ => self.status.count(|counters| counters.failed_requests += 1),
        }
        if self.told.is_due(&failure) {
            log::warn!("control: {server}: {failure}");
        } else {
            log::debug!("control: {server}: again {failure}");
        }
        self.link.close();
        self.replica.reset_for_new_server();
        let wait = self.rotation.fail_over();
        self.home_at = self.rotation.failback_delay().map(|after| Instant::now() + after);
        wait
    }

    /// Only between two whole states: a snapshot or repair would start over.
    fn go_home_when_due(&mut self) {
        let is_due = self.home_at.is_some_and(|at| at <= Instant::now());
        if is_due && self.replica.is_in_sync() {
            self.home_at = None;
            self.rotation.fail_back();
            self.replica.reset_for_new_server();
            log::debug!("control: back to {}", self.server());
        }
    }

    fn server(&self) -> SocketAddr {
        let servers = &self.following.servers;
        servers[self.rotation.current_server() % servers.len()]
    }

    fn count_begun(&self, call: &ReplicaRequest) {
        self.status.count(|counters| match call {
            ReplicaRequest::Snapshot { after: None } => counters.snapshots_started += 1,
            ReplicaRequest::Digests => counters.repairs_started += 1,
            _ => {}
        });
    }
}

fn told_by(answer: &ReplicaResponse) -> Told {
    match answer {
        ReplicaResponse::Changes(changes) => Told {
            staleness: Duration::from_millis(changes.stale_ms),
            is_empty: changes.changes.is_empty() && !changes.reset,
        },
        _ => Told { staleness: Duration::ZERO, is_empty: false },
    }
}

fn decode(call: &ReplicaRequest, body: &[u8]) -> Result<ReplicaResponse, Failure> {
    Ok(match call {
        ReplicaRequest::Changes { .. } => ReplicaResponse::Changes(json(body)?),
        ReplicaRequest::Snapshot { .. } => ReplicaResponse::Snapshot(json(body)?),
        ReplicaRequest::Digests => ReplicaResponse::Digests(json(body)?),
        ReplicaRequest::Bucket(_) => ReplicaResponse::Bucket(json(body)?),
    })
}

fn json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|error| Failure::Unreadable(error.to_string()))
}
