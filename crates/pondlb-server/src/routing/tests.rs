//! The router against a transport that records its calls, as traces of events and calls.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::iter::successors;
use std::net::SocketAddr;
use std::rc::Rc;

use expect_test::{Expect, expect};
use pondlb::{
    Arrival, Balancer, BalancerConfig, GiveUpReason, Load, Outcome, Stage, TenthMillis, UpstreamEntry,
    UpstreamId,
};
use pondlb_http::{Head, Message};
use pondlb_terms::IndexedNames;
use tokio::sync::oneshot::{self, Receiver};

use super::labels::{give_up_reason_label, outcome_label, stage_label};
use super::{
    AttemptHandle, AttemptId, AttemptResult, ExchangeId, OutgoingAttempt, RequestIds, Router, RouterEvent,
    Transport, UpstreamDirectory,
};
use crate::protocol::answer::Answer;
use crate::protocol::discovery::UpstreamList;

type Trace = Rc<RefCell<String>>;

/// Writes the router's calls to the trace and does nothing else.
struct RecordingTransport {
    trace: Trace,
}

/// Writes to the trace when it is dropped, which would close the attempt's connection.
struct RecordingHandle {
    trace: Trace,
    attempt: AttemptId,
    is_written: bool,
}

/// Attempts to this upstream stay unwritten, as if its connection were never established.
const UNCONNECTED_UPSTREAM: &str = "unconnected";

impl AttemptHandle for RecordingHandle {
    fn is_written(&self) -> bool {
        self.is_written
    }
}

impl Drop for RecordingHandle {
    fn drop(&mut self) {
        *self.trace.borrow_mut() += &format!("  close {}\n", self.attempt);
    }
}

impl Transport for RecordingTransport {
    type Handle = RecordingHandle;

    fn send_attempt(&mut self, attempt: OutgoingAttempt) -> RecordingHandle {
        let OutgoingAttempt { id, upstream, address, deadline, .. } = attempt;
        *self.trace.borrow_mut() += &format!("  send {id} to {upstream} at {address}, deadline {deadline}\n");
        let is_written = &*upstream != UNCONNECTED_UPSTREAM;
        RecordingHandle { trace: self.trace.clone(), attempt: id, is_written }
    }

    fn probe(&mut self, upstream: UpstreamId, _address: SocketAddr) {
        *self.trace.borrow_mut() += &format!("  probe {upstream}\n");
    }

    fn watch_list(&mut self, enabled: bool) {
        *self.trace.borrow_mut() += &format!("  watch list: {enabled}\n");
    }

    fn fetch_list(&mut self) {
        *self.trace.borrow_mut() += "  fetch list\n";
    }

    fn close_idle_connections(&mut self, upstream: &str) {
        *self.trace.borrow_mut() += &format!("  close idle connections to {upstream}\n");
    }
}

/// A router, and what it does and answers.
struct TestRouter {
    router: Router<RecordingTransport>,
    trace: Trace,
    /// Requests without an answer so far.
    unanswered: Vec<(&'static str, Receiver<Answer>)>,
    /// The ids of all requests in the order of their arrival; the index of each is its exchange.
    arrived: Vec<&'static str>,
}

const IDEMPOTENT: u32 = 0;
const NON_IDEMPOTENT: u32 = 1;
/// In tenths of a millisecond, as all times here.
const DEADLINE_MARGIN: TenthMillis = 50;

const SETTINGS: &str = r#"{"Balancers":1,"SelfIndex":0,"Discovery":"ask","ExcessValue":0.1,"MyZone":0,
"Limits":{"Cancelling":true,"ConnIdleNs":15000000000,"DialTimeoutNs":250000000,"MaxOpen":20000,"MaxPostings":3,
"MaxRetryAfterNs":2000000000,"RetryAfter":false,"SecondCopies":true},"MachineTypes":["m1"],"Zones":["a","b"],
"Reporting":{"Fields":[]},"Rules":{"ColdShare":0.3,"DrainGraceNs":500000000,"FallMultiple":4.0,
"FallNs":2000000000,"MustAskInNs":10000000000,"WarmWithinNs":8900000000},
"Schemes":[{"Effect":"idempotent","Name":"browse","SlaTimeNs":1000000000,"Value":1.0},
{"Effect":"at_most_once","Name":"order","SlaTimeNs":1000000000,"Value":1.0}]}"#;

fn config() -> (BalancerConfig, IndexedNames) {
    let deployment = pondlb_terms::decode(SETTINGS).unwrap();
    (deployment.balancer_config, deployment.names)
}

/// An upstream as discovery lists it: name, port, zone, state and start in Unix time (ms).
type ListedUpstream<'a> = (&'a str, u16, &'a str, &'a str, u64);

fn list(is_snapshot: bool, upstreams: &[ListedUpstream]) -> UpstreamList {
    let targets: Vec<String> = (upstreams.iter())
        .map(|(name, port, zone, state, boot_ms)| {
            format!(
                r#"{{"uid":"{name}","endpoint":"127.0.0.1:{port}","az":"{zone}","model":"m1","state":"{state}",
                "capacity_hint":1,"boot_ms":{boot_ms}}}"#
            )
        })
        .collect();
    let json = format!(r#"{{"rev":1,"all":{is_snapshot},"targets":[{}]}}"#, targets.join(","));
    UpstreamList::decode(json.as_bytes()).unwrap()
}

impl TestRouter {
    fn new(upstreams: &[ListedUpstream]) -> TestRouter {
        TestRouter::with_max_ids(upstreams, 100_000)
    }

    /// A router that remembers so many ids of requests that must not be repeated.
    fn with_max_ids(upstreams: &[ListedUpstream], max_ids: usize) -> TestRouter {
        let (config, names) = config();
        let trace = Trace::default();
        let directory = UpstreamDirectory::new(names, 0);
        let transport = RecordingTransport { trace: trace.clone() };
        let (balancer, request_ids) = (Balancer::new(config, 7), RequestIds::new(max_ids));
        let mut router = Router::new(balancer, directory, transport, request_ids, DEADLINE_MARGIN);
        router.restore_list(0, list(true, upstreams), None);
        TestRouter { router, trace, unanswered: Vec::new(), arrived: Vec::new() }
    }

    fn request_arrives(&mut self, now: TenthMillis, id: &'static str, class: u32, time_left: TenthMillis) {
        let (answer_sender, answer_receiver) = oneshot::channel();
        let head = Head { start_line: "GET / HTTP/1.1".into(), fields: Vec::new() };
        let message = Message { head, body: Vec::new() };
        let arrival = Arrival {
            request: id.into(),
            class,
            tenant: 0,
            affinity_key: None,
            time_left,
            cost: None,
            is_retry: false,
            is_write: false,
        };
        self.unanswered.push((id, answer_receiver));
        let exchange = ExchangeId(self.arrived.len() as u64);
        self.arrived.push(id);
        self.handle(now, RouterEvent::RequestArrived { exchange, arrival, message, answer_sender });
    }

    /// The exchange of the first request that arrived with this id.
    fn exchange_of(&self, request: &str) -> ExchangeId {
        let index = self.arrived.iter().position(|arrived| *arrived == request);
        ExchangeId(index.expect("the request has arrived") as u64)
    }

    /// The client of the first request with this id disconnects.
    fn client_disconnects(&mut self, now: TenthMillis, request: &str) {
        let exchange = self.exchange_of(request);
        self.handle(now, RouterEvent::ClientDisconnected { exchange, request: request.into() });
    }

    /// The client of the last request that arrived disconnects.
    fn last_client_disconnects(&mut self, now: TenthMillis) {
        let exchange = ExchangeId(self.arrived.len() as u64 - 1);
        let request = self.arrived[self.arrived.len() - 1].into();
        self.handle(now, RouterEvent::ClientDisconnected { exchange, request });
    }

    /// Ends an attempt of the first request with this id, with an answer that names the attempt if the outcome is `Ok`.
    fn attempt_ends(&mut self, now: TenthMillis, request: &str, number: u32, outcome: Outcome) {
        let mut result = AttemptResult::from(outcome);
        if outcome == Outcome::Ok {
            let head = Head { start_line: "HTTP/1.1 200 OK".into(), fields: Vec::new() };
            let body = format!("answer to {request} {number}").into();
            result.final_answer = Some(Answer::Served(Message { head, body }));
        }
        let attempt = AttemptId { exchange: self.exchange_of(request), request: request.into(), number };
        self.handle(now, RouterEvent::AttemptEnded { attempt, result });
    }

    /// Ends the first attempt of the last request that arrived.
    fn attempt_ends_of_last(&mut self, now: TenthMillis, outcome: Outcome) {
        let request = self.arrived[self.arrived.len() - 1];
        self.attempt_ends(now, request, 0, outcome);
    }

    fn list_arrives(&mut self, now: TenthMillis, is_snapshot: bool, upstreams: &[ListedUpstream]) {
        self.handle(now, RouterEvent::ListReceived(list(is_snapshot, upstreams)));
    }

    fn handle(&mut self, now: TenthMillis, event: RouterEvent) {
        let description = describe(&event);
        self.step(now, &description, Some(event));
    }

    /// Wakes the router up whenever it asks for it, until then.
    fn run_until(&mut self, end: TenthMillis) {
        while let Some(at) = self.router.next_wakeup().filter(|at| *at <= end) {
            self.step(at, "wakeup", None);
        }
    }

    fn step(&mut self, now: TenthMillis, description: &str, event: Option<RouterEvent>) {
        *self.trace.borrow_mut() += &format!("{now}: {description}\n");
        self.router.handle_events(now, event);
        self.unanswered.retain_mut(|(id, answer_receiver)| {
            let answer = match answer_receiver.try_recv() {
                Ok(Answer::Served(response)) => {
                    format!("Served {:?}", String::from_utf8_lossy(&response.body))
                }
                Ok(answer) => format!("{answer:?}"),
                Err(oneshot::error::TryRecvError::Empty) => return true,
                Err(oneshot::error::TryRecvError::Closed) => return false,
            };
            *self.trace.borrow_mut() += &format!("  {id} is answered: {answer}\n");
            false
        });
    }

    /// Checks the trace, which ends with the attempts that are open still and the number of unanswered requests.
    fn assert_trace(self, expected: Expect) {
        let unanswered = self.router.unanswered_count();
        drop(self.router);
        expected.assert_eq(&format!("{}unanswered: {unanswered}\n", self.trace.borrow()));
    }
}

/// How the trace calls an event.
fn describe(event: &RouterEvent) -> String {
    match event {
        RouterEvent::RequestArrived { arrival, .. } => format!("{} arrives", arrival.request),
        RouterEvent::ClientDisconnected { request, .. } => format!("client of {request} disconnects"),
        RouterEvent::AttemptEnded { attempt, result } => {
            format!("{attempt} ends: {}", outcome_label(result.outcome))
        }
        RouterEvent::ProbeEnded { upstream, outcome, .. } => {
            format!("probe of {upstream} ends: {}", outcome_label(*outcome))
        }
        RouterEvent::ListReceived(_) => "list received".into(),
        RouterEvent::UpstreamsChanged { upstreams, completes_snapshot, .. } => {
            let (changed, removed) = (upstreams.targets.len(), upstreams.removed.len());
            format!(
                "upstreams changed: {changed}, removed: {removed}, completes snapshot: {completes_snapshot}"
            )
        }
        RouterEvent::ListConfirmed { at } => format!("list confirmed at {at}"),
        RouterEvent::ListRefused => "list refused".into(),
        RouterEvent::DiscoveryUnreachable => "discovery unreachable".into(),
        RouterEvent::WatchTimedOut => "watch timed out".into(),
    }
}

const ONE: &[ListedUpstream] = &[("u1", 1, "a", "active", 0)];
const TWO: &[ListedUpstream] = &[("u1", 1, "a", "active", 0), ("u2", 2, "a", "active", 0)];

#[test]
fn answer_is_given_only_to_its_request() {
    let mut test = TestRouter::new(TWO);
    test.request_arrives(10, "t1", IDEMPOTENT, 20_000);
    test.request_arrives(20, "t2", IDEMPOTENT, 20_000);
    test.attempt_ends(500, "t2", 0, Outcome::Ok);
    test.attempt_ends(510, "t2", 0, Outcome::Ok);
    test.attempt_ends(520, "t1", 1, Outcome::Ok);
    test.attempt_ends(530, "t1", 0, Outcome::Ok);
    test.assert_trace(expect![[r#"
        10: t1 arrives
          send t1 0 to u2 at 127.0.0.1:2, deadline 19960
        20: t2 arrives
          send t2 0 to u1 at 127.0.0.1:1, deadline 19970
        500: t2 0 ends: Ok
          close t2 0
          t2 is answered: Served "answer to t2 0"
        510: t2 0 ends: Ok
        520: t1 1 ends: Ok
        530: t1 0 ends: Ok
          close t1 0
          t1 is answered: Served "answer to t1 0"
        unanswered: 0
    "#]]);
}

#[test]
fn losing_hedge_is_closed_and_its_late_answer_ignored() {
    let mut test = TestRouter::new(TWO);
    test.request_arrives(10, "t1", IDEMPOTENT, 20_000);
    test.run_until(6000);
    test.attempt_ends(6500, "t1", 1, Outcome::Ok);
    test.attempt_ends(6510, "t1", 0, Outcome::Ok);
    test.assert_trace(expect![[r#"
        10: t1 arrives
          send t1 0 to u2 at 127.0.0.1:2, deadline 19960
        5010: wakeup
          send t1 1 to u1 at 127.0.0.1:1, deadline 19960
        6500: t1 1 ends: Ok
          close t1 1
          close t1 0
          t1 is answered: Served "answer to t1 1"
        6510: t1 0 ends: Ok
        unanswered: 0
    "#]]);
}

#[test]
fn disconnected_client_gets_no_answer_and_its_attempt_is_closed() {
    let mut test = TestRouter::new(ONE);
    test.request_arrives(10, "t1", NON_IDEMPOTENT, 20_000);
    test.client_disconnects(20, "t1");
    test.attempt_ends(500, "t1", 0, Outcome::Ok);
    test.client_disconnects(510, "t1");
    test.assert_trace(expect![[r#"
        10: t1 arrives
          send t1 0 to u1 at 127.0.0.1:1, deadline 19960
        20: client of t1 disconnects
          close t1 0
        500: t1 0 ends: Ok
        510: client of t1 disconnects
        unanswered: 0
    "#]]);
}

#[test]
fn non_idempotent_request_is_retried_only_after_attempts_that_never_ran() {
    let mut test = TestRouter::new(TWO);
    test.request_arrives(10, "t1", NON_IDEMPOTENT, 20_000);
    test.attempt_ends(20, "t1", 0, Outcome::ConnectFailed);
    test.attempt_ends(30, "t1", 1, Outcome::Reset);
    test.assert_trace(expect![[r#"
        10: t1 arrives
          send t1 0 to u2 at 127.0.0.1:2, deadline 19960
        20: t1 0 ends: ConnectFailed
          close t1 0
          send t1 1 to u1 at 127.0.0.1:1, deadline 19960
        30: t1 1 ends: Reset
          close t1 1
          t1 is answered: Failed
        unanswered: 0
    "#]]);
}

#[test]
fn duplicate_id_of_an_open_request_is_refused() {
    let mut test = TestRouter::new(ONE);
    test.request_arrives(10, "t1", NON_IDEMPOTENT, 20_000);
    test.request_arrives(20, "t1", NON_IDEMPOTENT, 20_000);
    test.attempt_ends(30, "t1", 0, Outcome::Ok);
    test.assert_trace(expect![[r#"
        10: t1 arrives
          send t1 0 to u1 at 127.0.0.1:1, deadline 19960
        20: t1 arrives
          t1 is answered: DuplicateId
        30: t1 0 ends: Ok
          close t1 0
          t1 is answered: Served "answer to t1 0"
        unanswered: 0
    "#]]);
}

/// Guards against the incident described in docs/incidents/copied-request-id.md: a client that copies the id of another
/// client's open request and disconnects takes that request's answer with it.
#[test]
fn disconnect_of_a_refused_copy_leaves_the_request_with_the_same_id_open() {
    let mut test = TestRouter::new(&[(UNCONNECTED_UPSTREAM, 1, "a", "active", 0)]);
    test.request_arrives(10, "t1", NON_IDEMPOTENT, 20_000);
    test.request_arrives(20, "t1", NON_IDEMPOTENT, 20_000);
    test.last_client_disconnects(30);
    test.attempt_ends(40, "t1", 0, Outcome::Ok);
    test.assert_trace(expect![[r#"
        10: t1 arrives
          send t1 0 to unconnected at 127.0.0.1:1, deadline 19960
        20: t1 arrives
          t1 is answered: DuplicateId
        30: client of t1 disconnects
        40: t1 0 ends: Ok
          close t1 0
          t1 is answered: Served "answer to t1 0"
        unanswered: 0
    "#]]);
}

/// Guards against the answer of an earlier request being given to a later one with the same id: the attempt had ended in
/// the moment in which it was cancelled.
#[test]
fn end_of_a_cancelled_attempt_is_not_taken_for_that_of_a_later_request_with_the_same_id() {
    let mut test = TestRouter::new(ONE);
    test.request_arrives(10, "t1", NON_IDEMPOTENT, 100_000);
    test.client_disconnects(60_000, "t1");
    test.request_arrives(660_010, "t1", NON_IDEMPOTENT, 20_000);
    test.attempt_ends(660_020, "t1", 0, Outcome::Ok);
    test.client_disconnects(660_030, "t1");
    test.assert_trace(expect![[r#"
        10: t1 arrives
          send t1 0 to u1 at 127.0.0.1:1, deadline 99960
        60000: client of t1 disconnects
          close t1 0
          watch list: true
        660010: t1 arrives
          send t1 0 to u1 at 127.0.0.1:1, deadline 679960
        660020: t1 0 ends: Ok
        660030: client of t1 disconnects
          close t1 0
        unanswered: 1
    "#]]);
}

/// How long an id is remembered after its request has ended, in tenths of a millisecond.
const ID_RETENTION: TenthMillis = 600_000;

/// Guards against the incident described in docs/incidents/forgotten-request-id.md: a client that copies the id of another
/// client's request again and again is refused for some seconds only, and the effect happens twice.
#[test]
fn copied_id_is_refused_for_as_long_as_copies_arrive_and_the_retention_after_the_last() {
    let mut test = TestRouter::new(ONE);
    test.request_arrives(10, "t1", NON_IDEMPOTENT, 20_000);
    test.attempt_ends(500, "t1", 0, Outcome::Ok);
    test.request_arrives(600, "t1", NON_IDEMPOTENT, 20_000);
    for copy in 1..10 {
        test.request_arrives(600 + copy * (ID_RETENTION - 1), "t1", NON_IDEMPOTENT, 20_000);
    }
    let copies = test.trace.borrow().matches("t1 is answered: DuplicateId").count();
    assert_eq!(copies, 10, "{}", test.trace.borrow());
    // The table is cleared in the course of one more retention.
    test.request_arrives(600 + 12 * ID_RETENTION, "t1", NON_IDEMPOTENT, 20_000);
    let sent = test.trace.borrow().matches("send t1 0").count();
    assert_eq!(sent, 2, "{}", test.trace.borrow());
}

/// How a request that may have run has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
enum EffectEnd {
    Answered,
    Failed,
    ClientDisconnected,
}

/// Requests with new ids that come in great number.
#[derive(Clone, Copy, Debug)]
enum IdFlood {
    /// They are rejected, since they have no time left.
    Rejected { class: u32 },
    /// They are answered.
    Served,
}

/// Guards against the incident described in docs/incidents/forgotten-request-id.md: a flood of new ids makes the router
/// forget those of requests that may have run.
#[test]
fn no_flood_of_ids_makes_the_id_of_a_request_that_may_have_run_forgotten() {
    let floods = [
        IdFlood::Rejected { class: IDEMPOTENT },
        IdFlood::Rejected { class: NON_IDEMPOTENT },
        IdFlood::Served,
    ];
    for flood in floods {
        for end in [EffectEnd::Answered, EffectEnd::Failed, EffectEnd::ClientDisconnected] {
            let mut test = TestRouter::new(ONE);
            test.request_arrives(10, "order", NON_IDEMPOTENT, 20_000);
            match end {
                EffectEnd::Answered => test.attempt_ends(500, "order", 0, Outcome::Ok),
                EffectEnd::Failed => test.attempt_ends(500, "order", 0, Outcome::Reset),
                EffectEnd::ClientDisconnected => test.client_disconnects(500, "order"),
            }
            for number in 0..10_000u64 {
                let id: &'static str = Box::leak(format!("new{number}").into_boxed_str());
                let now = 1000 + number;
                match flood {
                    IdFlood::Rejected { class } => test.request_arrives(now, id, class, 10),
                    IdFlood::Served => {
                        test.request_arrives(now, id, IDEMPOTENT, 20_000);
                        test.attempt_ends_of_last(now, Outcome::Ok);
                    }
                }
            }
            test.trace.borrow_mut().clear();
            test.request_arrives(30_000, "order", NON_IDEMPOTENT, 20_000);
            let trace = test.trace.borrow().clone();
            assert!(trace.contains("order is answered: DuplicateId"), "{flood:?}, {end:?}: {trace}");
        }
    }
}

/// Guards against ids that are forgotten, or memory that grows, where more requests have run than can be remembered: no
/// further ones are accepted then, except those that may be repeated.
#[test]
fn requests_that_must_not_be_repeated_are_rejected_while_there_is_no_room_for_their_ids() {
    let mut test = TestRouter::with_max_ids(TWO, 3);
    for (now, id) in [(10, "t1"), (20, "t2")] {
        test.request_arrives(now, id, NON_IDEMPOTENT, 20_000);
        test.attempt_ends(now + 5, id, 0, Outcome::Ok);
    }
    // The third one is open, and needs the last place.
    test.request_arrives(30, "t3", NON_IDEMPOTENT, 20_000);
    test.request_arrives(40, "t4", NON_IDEMPOTENT, 20_000);
    test.request_arrives(50, "t5", IDEMPOTENT, 20_000);
    test.attempt_ends(60, "t5", 0, Outcome::Ok);
    // It never ran, and leaves its place to the next.
    test.attempt_ends(70, "t3", 0, Outcome::Full);
    test.attempt_ends(80, "t3", 1, Outcome::Full);
    test.run_until(20_000);
    test.request_arrives(20_100, "t6", NON_IDEMPOTENT, 20_000);
    test.attempt_ends(20_110, "t6", 0, Outcome::Ok);
    test.request_arrives(20_120, "t1", NON_IDEMPOTENT, 20_000);
    test.request_arrives(20_130, "t7", NON_IDEMPOTENT, 20_000);
    let answers: Vec<String> = (test.trace.borrow().lines())
        .filter_map(|line| line.trim().split_once(" is answered: "))
        .map(|(id, answer)| format!("{id} {}", answer.split([' ', '{']).next().unwrap_or_default()))
        .collect();
    assert_eq!(
        answers.join(", "),
        "t1 Served, t2 Served, t4 Rejected, t5 Served, t3 Rejected, t6 Served, t1 DuplicateId, t7 Rejected"
    );
    expect!["requests=7 served=4 left=0 rejected.Overload=3 attempts=6 ended.Ok=4 ended.Full=2 lists=0 calls_refused=0 calls_unreached=0 calls_silent=0"]
        .assert_eq(&test.router.metrics().to_string());
    // Once the retention of the first ids is over, there is room again.
    test.request_arrives(30 + ID_RETENTION, "t8", NON_IDEMPOTENT, 20_000);
    assert!(test.trace.borrow().contains("send t8 0"), "{}", test.trace.borrow());
}

#[test]
fn client_error_is_answered_without_a_retry() {
    let mut test = TestRouter::new(TWO);
    test.request_arrives(10, "t1", IDEMPOTENT, 20_000);
    let result = AttemptResult {
        outcome: Outcome::Moot,
        final_answer: Some(Answer::ClientError),
        load: Load::default(),
    };
    let attempt = AttemptId { exchange: test.exchange_of("t1"), request: "t1".into(), number: 0 };
    test.handle(20, RouterEvent::AttemptEnded { attempt, result });
    test.run_until(20_000);
    test.assert_trace(expect![[r#"
        10: t1 arrives
          send t1 0 to u2 at 127.0.0.1:2, deadline 19960
        20: t1 0 ends: Moot
          close t1 0
          t1 is answered: ClientError
        5010: wakeup
        10010: wakeup
        13357: wakeup
          watch list: true
        unanswered: 0
    "#]]);
}

#[test]
fn request_without_time_left_or_upstream_is_rejected_unsent() {
    let mut test = TestRouter::new(ONE);
    test.request_arrives(10, "no-time", IDEMPOTENT, 50);
    test.run_until(5000);
    test.list_arrives(6000, false, &[("u1", 1, "a", "leaving", 0)]);
    test.request_arrives(6010, "no-upstream", IDEMPOTENT, 20_000);
    test.assert_trace(expect![[r#"
        10: no-time arrives
          no-time is answered: Rejected { retry_after: None }
        11: wakeup
        6000: list received
        6010: no-upstream arrives
          no-upstream is answered: Rejected { retry_after: None }
        unanswered: 0
    "#]]);
}

#[test]
fn request_whose_attempt_times_out_fails_before_its_deadline() {
    let mut test = TestRouter::new(ONE);
    test.request_arrives(10, "t1", NON_IDEMPOTENT, 5000);
    test.run_until(4959);
    test.attempt_ends(4960, "t1", 0, Outcome::TimedOut);
    test.assert_trace(expect![[r#"
        10: t1 arrives
          send t1 0 to u1 at 127.0.0.1:1, deadline 4960
        4960: t1 0 ends: TimedOut
          close t1 0
          t1 is answered: Failed
        unanswered: 0
    "#]]);
}

/// Guards against requests without an answer when the process is killed: they would be lost.
#[test]
fn every_request_is_answered_by_the_shutdown_deadline() {
    let mut test = TestRouter::new(ONE);
    test.request_arrives(10, "t1", NON_IDEMPOTENT, 60_000);
    test.router.set_shutdown_deadline(5000);
    test.request_arrives(1000, "t2", IDEMPOTENT, 60_000);
    test.run_until(5000);
    test.request_arrives(5001, "t3", IDEMPOTENT, 60_000);
    test.assert_trace(expect![[r#"
        10: t1 arrives
          send t1 0 to u1 at 127.0.0.1:1, deadline 59960
        1000: t2 arrives
          send t2 0 to u1 at 127.0.0.1:1, deadline 5000
        5000: wakeup
          close t1 0
          close t2 0
          t1 is answered: Failed
          t2 is answered: Rejected { retry_after: None }
        5001: t3 arrives
          t3 is answered: Rejected { retry_after: None }
        unanswered: 0
    "#]]);
}

#[test]
fn lists_change_addresses_and_are_requested_again_after_a_refusal() {
    let mut test = TestRouter::new(ONE);
    test.run_until(10_000);
    test.handle(10_010, RouterEvent::ListRefused);
    test.run_until(40_000);
    test.list_arrives(40_010, false, &[("u1", 9, "a", "active", 0)]);
    test.request_arrives(40_020, "t1", IDEMPOTENT, 20_000);
    test.list_arrives(40_030, true, &[("u3", 3, "new", "active", 0)]);
    test.request_arrives(40_040, "t2", IDEMPOTENT, 20_000);
    test.attempt_ends(40_050, "t1", 0, Outcome::Ok);
    test.assert_trace(expect![[r#"
        10010: list refused
        12720: wakeup
          watch list: true
        40010: list received
          close idle connections to u1
        40020: t1 arrives
          send t1 0 to u1 at 127.0.0.1:9, deadline 59970
        40030: list received
        40040: t2 arrives
          send t2 0 to u3 at 127.0.0.1:3, deadline 59990
        40050: t1 0 ends: Ok
          close t1 0
          t1 is answered: Served "answer to t1 0"
          close t2 0
        unanswered: 1
    "#]]);
}

#[test]
fn unconfigured_zone_gets_its_own_index() {
    let mut directory = UpstreamDirectory::new(config().1, -5000);
    let zones = [("u1", 1, "b", "active", 0), ("u2", 2, "new", "left", 600), ("u3", 3, "a", "leaving", 400)];
    let entries = directory.apply_list(list(false, &zones));
    let lines = entries.iter().map(|entry| {
        let UpstreamEntry { upstream, zone, kind, stage, started_at, .. } = entry;
        format!("{upstream} in zone {zone} of kind {kind}: {} since {started_at:?}\n", stage_label(*stage))
    });
    expect![[r#"
        u1 in zone 1 of kind 0: Live since None
        u2 in zone 2 of kind 0: Gone since Some(1000)
        u3 in zone 0 of kind 0: Draining since None
    "#]]
    .assert_eq(&lines.collect::<String>());
}

/// Guards against the incident described in docs/incidents/removed-upstream-group.md: the last entry of an upstream that
/// control servers remove must still say where it was.
#[test]
fn last_entry_of_a_removed_upstream_differs_from_the_one_before_only_in_its_stage() {
    let mut directory = UpstreamDirectory::new(config().1, 0);
    let mut added = list(false, &[("u1", 1, "b", "active", 600)]);
    (added.targets[0].cell, added.targets[0].capacity) = (7, 2.5);
    let mut removed = list(false, &[]);
    removed.removed = vec!["u1".into(), "unknown".into()];
    let added = format!("{:?}", directory.apply_list(added));
    let removed = format!("{:?}", directory.apply_list(removed));
    assert_eq!(removed, added.replace("Live", "Gone"));
}

#[test]
fn all_upstreams_are_replaced_at_a_reused_address_while_an_attempt_is_open() {
    let mut test = TestRouter::new(&[("u1", 1, "a", "active", 0), ("u2", 2, "a", "active", 0)]);
    test.request_arrives(10, "t1", IDEMPOTENT, 60_000);
    test.list_arrives(20, false, &[("u1", 1, "a", "leaving", 0), ("u2", 2, "a", "leaving", 0)]);
    test.request_arrives(30, "t2", IDEMPOTENT, 60_000);
    let replaced = [("u1", 1, "a", "left", 0), ("u2", 2, "a", "left", 0), ("u3", 1, "a", "active", 0)];
    test.list_arrives(40, false, &replaced);
    test.request_arrives(50, "t3", IDEMPOTENT, 60_000);
    test.attempt_ends(60, "t1", 0, Outcome::Ok);
    test.attempt_ends(70, "t3", 0, Outcome::Ok);
    test.assert_trace(expect![[r#"
        10: t1 arrives
          send t1 0 to u2 at 127.0.0.1:2, deadline 59960
        20: list received
        30: t2 arrives
          t2 is answered: Rejected { retry_after: None }
        40: list received
          close idle connections to u1
          close idle connections to u2
        50: t3 arrives
          send t3 0 to u3 at 127.0.0.1:1, deadline 60000
        60: t1 0 ends: Ok
          close t1 0
          t1 is answered: Served "answer to t1 0"
        70: t3 0 ends: Ok
          close t3 0
          t3 is answered: Served "answer to t3 0"
        unanswered: 0
    "#]]);
}

#[test]
fn removed_upstreams_and_unused_names_are_forgotten_and_no_index_is_reused() {
    let mut directory = UpstreamDirectory::new(config().1, 0);
    let (mut counts, mut zones) = (Vec::new(), BTreeSet::new());
    let mut previous = String::new();
    for number in 0..2000 {
        let (name, zone) = (format!("s{number}"), format!("zone {number}"));
        let mut changes =
            list(false, &[(&name, 4000, &zone, "active", 0), (&previous, 4000, "a", "left", 0)]);
        changes.targets[0].kind = format!("kind {number}");
        zones.insert(directory.apply_list(changes)[0].zone);
        previous = name;
        if number == 200 || number == 1999 {
            counts.push(directory.counts());
        }
    }
    expect!["[1, 1, 1] at a tenth, [1, 1, 1] at the end, 2000 indexes for as many zones"].assert_eq(
        &format!(
            "{} at a tenth, {} at the end, {} indexes for as many zones",
            counts[0],
            counts[1],
            zones.len()
        ),
    );
}

#[test]
fn repeated_entries_leave_one_location_each_and_a_snapshot_removes_missing_upstreams() {
    let mut directory = UpstreamDirectory::new(config().1, 0);
    let names: Vec<String> = (0..10_000).map(|number| format!("s{}", number % 5000)).collect();
    let upstreams: Vec<ListedUpstream> = names.iter().map(|name| (&**name, 4000, "a", "active", 0)).collect();
    let entries = directory.apply_list(list(true, &upstreams));
    let counts = directory.counts();
    directory.apply_list(list(true, &upstreams[..30]));
    expect!["10000 entries, [5000, 0, 0] known, then [30, 0, 0]"].assert_eq(&format!(
        "{} entries, {counts} known, then {}",
        entries.len(),
        directory.counts()
    ));
}

/// Guards against a balancer that serves with a part of its list, or that still sends to an upstream after it has
/// confirmed its removal to the control servers.
#[test]
fn changes_are_in_force_once_confirmed_and_the_first_snapshot_makes_the_router_ready() {
    let mut test = TestRouter::new(ONE);
    test.router.await_first_snapshot();
    let change = |test: &mut TestRouter, now, upstreams, removed: &[&str], completes_snapshot| {
        let mut upstreams = list(false, upstreams);
        upstreams.removed = removed.iter().map(ToString::to_string).collect();
        let (applied_sender, mut applied) = oneshot::channel();
        test.handle(now, RouterEvent::UpstreamsChanged { upstreams, completes_snapshot, applied_sender });
        assert!(applied.try_recv().is_ok());
        test.router.has_upstreams()
    };
    let second = &TWO[1..];
    let mut ready = vec![test.router.has_upstreams()];
    ready.push(change(&mut test, 10, second, &["unknown"], false));
    ready.push(change(&mut test, 20, &[], &["u1"], true));
    test.request_arrives(30, "a", 0, 1000);
    test.attempt_ends(40, "a", 0, Outcome::Ok);
    ready.push(change(&mut test, 50, &[], &["u2"], false));
    assert_eq!(ready, [false, false, true, false]);
    test.assert_trace(expect![[r#"
        10: upstreams changed: 1, removed: 1, completes snapshot: false
        20: upstreams changed: 0, removed: 1, completes snapshot: true
        30: a arrives
          send a 0 to u2 at 127.0.0.1:2, deadline 980
        40: a 0 ends: Ok
          close a 0
          a is answered: Served "answer to a 0"
        50: upstreams changed: 0, removed: 1, completes snapshot: false
        unanswered: 0
    "#]]);
}

/// Guards against an incident in which the log doesn't say why requests were refused.
#[test]
fn metrics_count_give_up_reasons_outcomes_and_failed_calls() {
    let mut test = TestRouter::new(ONE);
    test.request_arrives(10, "a", IDEMPOTENT, 1000);
    test.attempt_ends(20, "a", 0, Outcome::Ok);
    test.request_arrives(30, "b", NON_IDEMPOTENT, 1000);
    test.attempt_ends(40, "b", 0, Outcome::Reset);
    test.list_arrives(50, false, &[("u1", 1, "a", "left", 0)]);
    test.request_arrives(60, "c", IDEMPOTENT, 1000);
    test.handle(70, RouterEvent::ListRefused);
    test.handle(80, RouterEvent::DiscoveryUnreachable);
    test.handle(90, RouterEvent::WatchTimedOut);
    expect!["requests=3 served=1 left=0 rejected.NoUpstream=1 failed.AttemptsFailed=1 attempts=2 ended.Ok=1 ended.Reset=1 lists=1 calls_refused=1 calls_unreached=1 calls_silent=1"].assert_eq(&test.router.metrics().to_string());
}

#[test]
fn unwritten_attempts_are_withdrawn_when_their_client_disconnects_or_their_upstream_drains() {
    let mut test = TestRouter::new(&[(UNCONNECTED_UPSTREAM, 1, "a", "active", 0)]);
    test.request_arrives(10, "t1", NON_IDEMPOTENT, 20_000);
    test.request_arrives(20, "t2", NON_IDEMPOTENT, 20_000);
    test.client_disconnects(30, "t1");
    test.list_arrives(40, false, &[(UNCONNECTED_UPSTREAM, 1, "a", "leaving", 0)]);
    test.assert_trace(expect![[r#"
        10: t1 arrives
          send t1 0 to unconnected at 127.0.0.1:1, deadline 19960
        20: t2 arrives
          send t2 0 to unconnected at 127.0.0.1:1, deadline 19970
        30: client of t1 disconnects
          close t1 0
        40: list received
          close t2 0
          t2 is answered: Rejected { retry_after: None }
        unanswered: 0
    "#]]);
}

/// Guards against an attempt that reaches another process than the one it was meant for, and takes effect in a group of
/// upstreams that the balancer does not know of.
#[test]
fn unwritten_attempt_is_withdrawn_when_its_upstream_moves_to_another_address_or_zone() {
    let mut test = TestRouter::new(&[(UNCONNECTED_UPSTREAM, 1, "a", "active", 0)]);
    test.request_arrives(10, "t1", NON_IDEMPOTENT, 20_000);
    test.list_arrives(20, false, &[("u2", 2, "a", "active", 0)]);
    test.list_arrives(30, false, &[(UNCONNECTED_UPSTREAM, 3, "a", "active", 0)]);
    test.list_arrives(40, true, &[(UNCONNECTED_UPSTREAM, 3, "a", "active", 0)]);
    test.request_arrives(50, "t2", NON_IDEMPOTENT, 20_000);
    test.list_arrives(60, true, &[(UNCONNECTED_UPSTREAM, 3, "b", "active", 0), ("u2", 2, "a", "active", 0)]);
    test.assert_trace(expect![[r#"
        10: t1 arrives
          send t1 0 to unconnected at 127.0.0.1:1, deadline 19960
        20: list received
        30: list received
          close idle connections to unconnected
          close t1 0
          send t1 1 to u2 at 127.0.0.1:2, deadline 19960
        40: list received
        50: t2 arrives
          send t2 0 to unconnected at 127.0.0.1:3, deadline 20000
        60: list received
          close idle connections to unconnected
          close t2 0
          send t2 1 to u2 at 127.0.0.1:2, deadline 20000
          close t1 1
          close t2 1
        unanswered: 2
    "#]]);
}

/// Guards against the incident described in docs/incidents/reused-address.md: an attempt that was chosen for a process that
/// is gone is sent to the one that came up at its address, which is cold, and idle connections to the former are used.
#[test]
fn unwritten_attempt_is_withdrawn_when_another_process_is_listed_at_the_same_address() {
    let mut test = TestRouter::new(&[(UNCONNECTED_UPSTREAM, 1, "a", "active", 0)]);
    test.request_arrives(10, "t1", NON_IDEMPOTENT, 20_000);
    test.list_arrives(20, false, &[("u2", 2, "a", "active", 0)]);
    // The same process again, as part of a whole list.
    test.list_arrives(30, true, &[(UNCONNECTED_UPSTREAM, 1, "a", "active", 0), ("u2", 2, "a", "active", 0)]);
    test.list_arrives(40, false, &[(UNCONNECTED_UPSTREAM, 1, "a", "active", 6000)]);
    test.assert_trace(expect![[r#"
        10: t1 arrives
          send t1 0 to unconnected at 127.0.0.1:1, deadline 19960
        20: list received
        30: list received
        40: list received
          close idle connections to unconnected
          close t1 0
          send t1 1 to u2 at 127.0.0.1:2, deadline 19960
          close t1 1
        unanswered: 1
    "#]]);
}

/// Guards against a renamed enum variant that changes what operators read in the log and in the metrics line.
#[test]
fn labels_of_outcomes_reasons_and_stages_stay_the_same() {
    let outcomes = successors(Some(Outcome::Ok), |outcome| next_outcome(*outcome)).map(outcome_label);
    let reasons = successors(Some(GiveUpReason::NoUpstream), |reason| next_reason(*reason));
    let stages = successors(Some(Stage::Live), |stage| next_stage(*stage)).map(stage_label);
    let outcomes: Vec<_> = outcomes.collect();
    let reasons: Vec<_> = reasons.map(give_up_reason_label).collect();
    let stages: Vec<_> = stages.collect();
    assert_eq!(
        outcomes,
        ["Ok", "Error", "Full", "TimedOut", "ConnectFailed", "Reset", "Spoilt", "Cancelled", "Moot"]
    );
    assert_eq!(
        reasons,
        [
            "NoUpstream",
            "StaleList",
            "WindowOver",
            "TooLong",
            "NoTimeLeft",
            "Overload",
            "ForeseenLate",
            "AttemptsFailed"
        ]
    );
    assert_eq!(stages, ["Live", "Draining", "Gone"]);
}

// The variants in their order, each with the next. A new variant doesn't compile until it is added here, and thereby to
// the test of the labels.

fn next_outcome(outcome: Outcome) -> Option<Outcome> {
    match outcome {
        Outcome::Ok => Some(Outcome::Error),
        Outcome::Error => Some(Outcome::Full),
        Outcome::Full => Some(Outcome::TimedOut),
        Outcome::TimedOut => Some(Outcome::ConnectFailed),
        Outcome::ConnectFailed => Some(Outcome::Reset),
        Outcome::Reset => Some(Outcome::Spoilt),
        Outcome::Spoilt => Some(Outcome::Cancelled),
        Outcome::Cancelled => Some(Outcome::Moot),
        Outcome::Moot => None,
    }
}

fn next_reason(reason: GiveUpReason) -> Option<GiveUpReason> {
    match reason {
        GiveUpReason::NoUpstream => Some(GiveUpReason::StaleList),
        GiveUpReason::StaleList => Some(GiveUpReason::WindowOver),
        GiveUpReason::WindowOver => Some(GiveUpReason::TooLong),
        GiveUpReason::TooLong => Some(GiveUpReason::NoTimeLeft),
        GiveUpReason::NoTimeLeft => Some(GiveUpReason::Overload),
        GiveUpReason::Overload => Some(GiveUpReason::ForeseenLate),
        GiveUpReason::ForeseenLate => Some(GiveUpReason::AttemptsFailed),
        GiveUpReason::AttemptsFailed => None,
    }
}

fn next_stage(stage: Stage) -> Option<Stage> {
    match stage {
        Stage::Live => Some(Stage::Draining),
        Stage::Draining => Some(Stage::Gone),
        Stage::Gone => None,
    }
}
