//! Records what clients and upstreams saw in a run, and checks the rules that the balancers have to keep.

use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::MS;

/// How long after a drain at discovery, which can be reached, requests may still be sent to the upstream: the time
/// within which the change counts as announced, the grace, and the tolerance on sockets.
pub const MAX_SEND_DELAY_AFTER_DRAIN: Duration = Duration::from_millis(6000 + 500 + 50);
/// How long after its deadline a request may still be answered; a later answer counts as missing.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(500);
/// How far the deadline that an attempt sends to its upstream may exceed the time that the client has left.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(150);

/// One request as its client saw it.
#[derive(Debug)]
pub struct ClientRequest {
    pub id: String,
    pub sent_at: Instant,
    /// The deadline, as the time from `sent_at`.
    pub deadline: Duration,
    /// When the answer arrived or the connection ended.
    pub ended_at: Instant,
    /// The status code of the answer, if there was one.
    pub status: Option<String>,
    /// Whether the balancer was killed before the request ended.
    pub is_balancer_killed: bool,
    /// Whether the connection had been idle before. The balancer may then have closed it just as the request was sent.
    pub is_connection_reused: bool,
}

/// One request as it arrived at an upstream.
#[derive(Debug)]
pub struct Execution {
    pub id: String,
    pub upstream: SocketAddr,
    /// When its first byte was read.
    pub received_at: Instant,
    /// The deadline that the balancer sent, as the time from `received_at`.
    pub deadline: Option<Duration>,
}

/// The drain of an upstream.
#[derive(Debug)]
pub struct Drain {
    pub upstream: SocketAddr,
    /// From when on discovery announced it.
    pub announced_at: Instant,
}

/// All that was observed in a run.
#[derive(Default)]
pub struct Ledger {
    pub requests: Mutex<Vec<ClientRequest>>,
    pub executions: Mutex<Vec<Execution>>,
    pub drains: Mutex<Vec<Drain>>,
    /// Descriptions of balancers that exited by themselves, or not in time after SIGTERM.
    pub unexpected_exits: Mutex<Vec<String>>,
}

/// The result of a run.
#[derive(Debug, Default)]
pub struct Report {
    /// Descriptions of the violated rules.
    pub violations: Vec<String>,
    request_count: usize,
    /// How many requests ended with each status code, or with "none".
    statuses: BTreeMap<String, usize>,
}

impl fmt::Display for Report {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "{} requests {:?}, {} faults", self.request_count, self.statuses, self.violations.len())
    }
}

impl Ledger {
    /// Checks all rules.
    pub fn judge(self) -> Report {
        let requests = self.requests.into_inner().unwrap();
        let executions = self.executions.into_inner().unwrap();
        let drains = self.drains.into_inner().unwrap();
        let mut report = Report {
            request_count: requests.len(),
            violations: self.unexpected_exits.into_inner().unwrap(),
            ..Report::default()
        };
        for request in &requests {
            let status = request.status.clone().unwrap_or_else(|| "none".into());
            *report.statuses.entry(status).or_default() += 1;
        }
        let executed: HashSet<&str> = executions.iter().map(|execution| &*execution.id).collect();
        report.violations.extend(requests.iter().filter_map(|request| unanswered(request, &executed)));
        report.violations.extend(executed_twice(&executions));
        report
            .violations
            .extend(executions.iter().filter_map(|execution| sent_to_drained(execution, &drains)));
        report
            .violations
            .extend(executions.iter().filter_map(|execution| deadline_too_long(execution, &requests)));
        report
    }
}

/// Rule 1: a request has to get its final answer in time. It may stay unanswered if the balancer closed the idle
/// connection as the request was sent, but then it must not have been forwarded.
fn unanswered(request: &ClientRequest, executed: &HashSet<&str>) -> Option<String> {
    let elapsed = request.ended_at - request.sent_at;
    let is_late = elapsed > request.deadline + MAX_ANSWER_DELAY;
    let has_crossed_close = request.is_connection_reused && !executed.contains(&*request.id);
    let is_lost = request.status.is_none() && !request.is_balancer_killed && !has_crossed_close;
    (is_late || is_lost)
        .then(|| format!("lost: {} ended after {elapsed:?} with {:?}", request.id, request.status))
}

/// Rule 2: a non-idempotent request is executed at most once. The upstreams execute and answer each request that they
/// have read.
fn executed_twice(executions: &[Execution]) -> Vec<String> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for execution in executions.iter().filter(|execution| execution.id.starts_with("order")) {
        *counts.entry(&execution.id).or_default() += 1;
    }
    let duplicates = counts.into_iter().filter(|(_, count)| *count > 1);
    duplicates.map(|(id, count)| format!("duplicate: {id} ran {count} times")).collect()
}

/// Rule 3: nothing new is sent to an upstream that has drained for longer than the grace.
fn sent_to_drained(execution: &Execution, drains: &[Drain]) -> Option<String> {
    let drain = drains.iter().find(|drain| drain.upstream == execution.upstream)?;
    let delay = execution.received_at.checked_duration_since(drain.announced_at)?;
    (delay > MAX_SEND_DELAY_AFTER_DRAIN)
        .then(|| format!("drain: {} arrived {delay:?} after the drain was announced", execution.id))
}

/// Rule 4: the deadline that an attempt sends to its upstream is no longer than the time that the client has left.
fn deadline_too_long(execution: &Execution, requests: &[ClientRequest]) -> Option<String> {
    let request = requests.iter().find(|request| request.id == execution.id)?;
    let left = (request.sent_at + request.deadline).saturating_duration_since(execution.received_at);
    let sent = execution.deadline?;
    (sent > left + DEADLINE_TOLERANCE + MS)
        .then(|| format!("deadline: {} was sent with {sent:?} of {left:?} left", execution.id))
}
