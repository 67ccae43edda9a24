//! The clients: they send the planned requests at their planned times, whatever the responses (an open load).

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::{JoinHandle, JoinSet, spawn_local};
use tokio::time::{sleep, sleep_until, timeout};

use crate::balancers::is_ready;
use crate::fleet::Recorder;
use crate::http::{HttpConnection, Message};
use crate::ledger::ClientRequest;
use crate::scenario::{Effect, PlannedRequest, Scenario};

/// How long past the deadline a client waits, so that late responses are seen too.
const LATE_RESPONSE_WAIT: Duration = Duration::from_millis(500);
/// The error `EMFILE`: this process, not the balancer to which it connects, has no file descriptor left.
const EMFILE: i32 = 24;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How often clients check a balancer's health. A balancer that shuts down goes on serving for longer than that.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// The period of the timer whose lateness is recorded, in microseconds. An event loop that is late for it is late for
/// the fleet's work too.
const TICK_US: u64 = 10_000;

/// One balancer as clients see it, or an upstream that they reach directly.
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    kill_count: Cell<u32>,
    /// Whether the last health check succeeded.
    is_healthy: Cell<bool>,
    /// Connections that are kept open between requests.
    idle: RefCell<Vec<Connection>>,
}

/// A connection to an endpoint.
struct Connection {
    http: HttpConnection,
    /// The endpoint's kill count when it was opened. If the count has changed, the process at the other end is gone.
    kill_count: u32,
}

impl Endpoint {
    /// An endpoint without connections, which counts as healthy until a check fails.
    pub fn new(address: SocketAddr) -> Rc<Endpoint> {
        Rc::new(Endpoint {
            address,
            kill_count: Cell::new(0),
            is_healthy: Cell::new(true),
            idle: RefCell::default(),
        })
    }

    /// Counts a kill of its process. A request during which the count changes may have been lost with the process.
    pub fn count_kill(&self) {
        self.kill_count.set(self.kill_count.get() + 1);
    }

    /// Checks its health periodically, as clients do that choose among balancers. Never returns.
    async fn check_health(&self) {
        loop {
            sleep(HEALTH_CHECK_INTERVAL).await;
            let is_healthy = matches!(timeout(CONNECT_TIMEOUT, is_ready(self.address)).await, Ok(Ok(true)));
            if !is_healthy {
                // Nothing more is sent on its connections. Closing them lets the balancer end without waiting for them.
                self.idle.borrow_mut().clear();
            }
            self.is_healthy.set(is_healthy);
        }
    }
}

/// What a client does if its balancer does not take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failover {
    /// It gives up.
    Never,
    /// It tries the next balancer: if the last health check failed, if no connection can be established, and if a new
    /// connection is closed without a response to an idempotent request.
    NextBalancer,
}

impl Failover {
    /// The indices of the endpoints to try in turn, the planned one first and unhealthy ones last.
    fn candidates(self, planned: usize, endpoints: &[Rc<Endpoint>]) -> Vec<usize> {
        if self == Failover::Never {
            return vec![planned];
        }
        let mut candidates: Vec<usize> =
            (0..endpoints.len()).map(|step| (planned + step) % endpoints.len()).collect();
        // The sort is stable: endpoints of the same health stay in this order.
        candidates.sort_by_key(|index| !endpoints[*index].is_healthy.get());
        candidates
    }
}

/// One request and the client that sends it.
struct Client<'a> {
    scenario: &'a Scenario,
    planned: &'a PlannedRequest,
    recorder: &'a Recorder,
    failover: Failover,
}

/// What came of a request at one balancer.
enum SendOutcome {
    /// It was answered, or it was sent and must not be sent again.
    Final,
    /// It may be sent to another balancer.
    TryNext,
}

/// Sends all planned requests, whose times count from `load_start_us`, and returns once each has been answered or has
/// timed out.
pub async fn send_planned(
    scenario: &Rc<Scenario>,
    plan: Vec<PlannedRequest>,
    endpoints: &[Rc<Endpoint>],
    failover: Failover,
    recorder: &Rc<Recorder>,
    load_start_us: u64,
) {
    let mut health_checks = JoinSet::new();
    if failover == Failover::NextBalancer {
        for endpoint in endpoints {
            let endpoint = endpoint.clone();
            health_checks.spawn_local(async move { endpoint.check_health().await });
        }
    }
    let endpoints: Rc<[Rc<Endpoint>]> = endpoints.into();
    let mut open: Vec<JoinHandle<()>> = Vec::with_capacity(plan.len());
    let timer = spawn_local(record_timer_lateness(recorder.clone()));
    for planned in plan {
        let intended_us = load_start_us + planned.at_us;
        sleep_until(recorder.instant_at(intended_us)).await;
        let lateness_us = recorder.now_us().saturating_sub(intended_us);
        recorder.ledgers.borrow_mut().lateness_us.push(lateness_us);
        let (scenario, recorder) = (scenario.clone(), recorder.clone());
        let endpoints = endpoints.clone();
        open.push(spawn_local(async move {
            let client = Client { scenario: &scenario, planned: &planned, recorder: &recorder, failover };
            let request = client.send(&endpoints, intended_us).await;
            recorder.ledgers.borrow_mut().requests.push(request);
        }));
    }
    for task in open {
        let _ = task.await;
    }
    timer.abort();
}

/// Records how late a periodic timer of this event loop fires. Ticks that were missed altogether are skipped. Never
/// returns.
pub(crate) async fn record_timer_lateness(recorder: Rc<Recorder>) {
    let mut next_us = recorder.now_us();
    loop {
        next_us += TICK_US;
        sleep_until(recorder.instant_at(next_us)).await;
        let lateness_us = recorder.now_us().saturating_sub(next_us);
        recorder.ledgers.borrow_mut().lateness_us.push(lateness_us);
        next_us += lateness_us / TICK_US * TICK_US;
    }
}

impl Client<'_> {
    /// Sends the request to one balancer after the other until the outcome is final.
    async fn send(&self, endpoints: &[Rc<Endpoint>], intended_us: u64) -> ClientRequest {
        let mut request = ClientRequest {
            id: self.planned.id.clone(),
            class: self.planned.class,
            balancer: self.planned.balancer,
            intended_us,
            ..ClientRequest::default()
        };
        for candidate in self.failover.candidates(self.planned.balancer as usize, endpoints) {
            (request.balancer, request.sent_us) = (candidate as u32, None);
            if let SendOutcome::Final = self.send_to(&endpoints[candidate], &mut request).await {
                break;
            }
        }
        request
    }

    async fn send_to(&self, endpoint: &Endpoint, request: &mut ClientRequest) -> SendOutcome {
        let class = &self.scenario.classes[self.planned.class];
        let text = request_text(self.planned, class.effect, &class.name, class.deadline_ms);
        let response_timeout = Duration::from_millis(class.deadline_ms) + LATE_RESPONSE_WAIT;
        // A balancer may close an idle connection just as a request is sent on it; the request is then sent again on a
        // new connection.
        for reuse in [true, false] {
            let Some(mut connection) = open_connection(endpoint, self.recorder, reuse).await else {
                continue;
            };
            if connection.http.write(&text).await.is_err() {
                continue;
            }
            request.sent_us = Some(self.recorder.now_us());
            let response = timeout(response_timeout, connection.http.read_response()).await;
            request.balancer_killed = endpoint.kill_count.get() != connection.kill_count;
            match response {
                Ok(Ok(Some(response))) => {
                    record_response(request, response, self.recorder.now_us());
                    // A second response may arrive right behind the first.
                    tokio::task::yield_now().await;
                    request.answer_count = 1 + u32::from(connection.http.has_unread_data());
                    endpoint.idle.borrow_mut().push(connection);
                }
                // Not after a kill: the balancer may have taken the request, and sending it again would be a repeat
                // by the client of a request that may run only once.
                Ok(Ok(None)) if reuse && !request.balancer_killed => {
                    request.sent_us = None;
                    continue;
                }
                Ok(_) if self.failover == Failover::NextBalancer && class.effect == Effect::Idempotent => {
                    return SendOutcome::TryNext;
                }
                _ => {}
            }
            return SendOutcome::Final;
        }
        SendOutcome::TryNext
    }
}

fn record_response(request: &mut ClientRequest, response: Message, now_us: u64) {
    (request.answered_us, request.status, request.body) = (Some(now_us), response.status, response.body);
}

/// An idle connection on which nothing has arrived (if `reuse`), or a new one.
async fn open_connection(endpoint: &Endpoint, recorder: &Recorder, reuse: bool) -> Option<Connection> {
    if reuse {
        loop {
            let mut connection = endpoint.idle.borrow_mut().pop()?;
            if !connection.http.has_unread_data() {
                return Some(connection);
            }
        }
    }
    let kill_count = endpoint.kill_count.get();
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(endpoint.address)).await.ok()?;
    if stream.as_ref().is_err_and(|e| e.raw_os_error() == Some(EMFILE)) {
        recorder.ledgers.borrow_mut().descriptor_shortages += 1;
    }
    let stream = stream.ok()?;
    Some(Connection { http: HttpConnection::new(stream), kill_count })
}

/// The request as it is sent. Requests that must not run twice are POSTs.
fn request_text(planned: &PlannedRequest, effect: Effect, class: &str, deadline_ms: u64) -> String {
    let head = format!(
        "Host: lab\r\nReq-Id: {}\r\nReq-Kind: {class}\r\nReq-Deadline: {deadline_ms}m\r\nReq-Cost: {}\r\n",
        planned.id, planned.work_us
    );
    match effect {
        Effect::Idempotent => format!("GET /api HTTP/1.1\r\n{head}\r\n"),
        Effect::Keyed | Effect::NonIdempotent => {
            format!("POST /api HTTP/1.1\r\n{head}Content-Length: 5\r\n\r\norder")
        }
    }
}

#[cfg(test)]
mod tests;
