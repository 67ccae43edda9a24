//! Events and actions on their way, in short traces; what carries them out here only writes it down.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use expect_test::{Expect, expect};
use pondlb::{Arrival, Balancer, BalancerConfig, Load, Outcome, TenthMillis, UpstreamId};
use pondlb_http::{Head, Message};
use pondlb_terms::Names;
use tokio::sync::oneshot::{self, Receiver};

use super::{
    AttemptHandle, AttemptId, AttemptResult, OutgoingAttempt, Router, RouterEvent, Transport,
    UpstreamDirectory,
};
use crate::protocol::answer::Answer;
use crate::protocol::discovery::UpstreamList;

type Trace = Rc<RefCell<String>>;

struct Scribe(Trace);

/// Says when it is dropped, as the connection of an attempt would close. That of an attempt to `dials` never comes up.
struct Held(Trace, String, bool);

impl AttemptHandle for Held {
    fn is_written(&self) -> bool {
        !self.2
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        *self.0.borrow_mut() += &format!("  {} is let go\n", self.1);
    }
}

impl Transport for Scribe {
    type Handle = Held;

    fn send_attempt(&mut self, order: OutgoingAttempt) -> Held {
        let what = order.id.to_string();
        *self.0.borrow_mut() +=
            &format!("  post {what} to {} at {} until {}\n", order.upstream, order.address, order.deadline);
        Held(self.0.clone(), what, &*order.upstream == "dials")
    }

    fn probe(&mut self, upstream: UpstreamId, _address: SocketAddr) {
        *self.0.borrow_mut() += &format!("  probe {upstream}\n");
    }

    fn watch_list(&mut self, on: bool) {
        *self.0.borrow_mut() += &format!("  watch {on}\n");
    }

    fn fetch_list(&mut self) {
        *self.0.borrow_mut() += "  fetch\n";
    }

    fn close_idle_connections(&mut self, upstream: &str) {
        *self.0.borrow_mut() += &format!("  close idle {upstream}\n");
    }
}

struct Play {
    exchange: Router<Scribe>,
    trace: Trace,
    waiting: Vec<(&'static str, Receiver<Answer>)>,
}

const IDEMPOTENT: u32 = 0;
const NON_IDEMPOTENT: u32 = 1;

const SETTINGS: &str = r#"{"Balancers":1,"SelfIndex":0,"Discovery":"ask","ExcessValue":0.1,"MyZone":0,
"Limits":{"Cancelling":true,"ConnIdleNs":15000000000,"DialTimeoutNs":250000000,"MaxOpen":20000,"MaxPostings":3,
"MaxRetryAfterNs":2000000000,"RetryAfter":false,"SecondCopies":true},"MachineTypes":["m1"],"Zones":["a","b"],
"Reporting":{"Fields":[]},"Rules":{"ColdShare":0.3,"DrainGraceNs":500000000,"FallMultiple":4.0,
"FallNs":2000000000,"MustAskInNs":10000000000,"WarmWithinNs":8900000000},
"Schemes":[{"Effect":"idempotent","Name":"browse","SlaTimeNs":1000000000,"Value":1.0},
{"Effect":"at_most_once","Name":"order","SlaTimeNs":1000000000,"Value":1.0}]}"#;

fn terms() -> (BalancerConfig, Names) {
    let deployment = pondlb_terms::decode(SETTINGS).unwrap();
    (deployment.terms, deployment.names)
}

/// Upstreams by name, each with its port, zone, state and start.
fn list(whole: bool, targets: &[(&str, u16, &str, &str, u64)]) -> UpstreamList {
    let targets: Vec<String> = (targets.iter())
        .map(|(name, port, zone, state, boot)| {
            format!(
                r#"{{"uid":"{name}","endpoint":"127.0.0.1:{port}","az":"{zone}","model":"m1","state":"{state}",
                "capacity_hint":1,"boot_ms":{boot}}}"#
            )
        })
        .collect();
    let json = format!(r#"{{"rev":1,"all":{whole},"targets":[{}]}}"#, targets.join(","));
    UpstreamList::decode(json.as_bytes()).unwrap()
}

impl Play {
    fn new(targets: &[(&str, u16, &str, &str, u64)]) -> Play {
        let (terms, names) = terms();
        let trace = Trace::default();
        let directory = UpstreamDirectory::new(names, 0);
        let mut exchange = Router::new(Balancer::new(terms, 7), directory, Scribe(trace.clone()), 50);
        exchange.restore_list(0, list(true, targets), None);
        Play { exchange, trace, waiting: Vec::new() }
    }

    fn arrive(&mut self, now: TenthMillis, name: &'static str, class: u32, left: TenthMillis) {
        let (answer, answered) = oneshot::channel();
        let head = Head { start_line: "GET / HTTP/1.1".into(), fields: Vec::new() };
        let (request, tenant, key, cost) = (name.into(), 0, None, None);
        let arrival = Arrival {
            request,
            class,
            tenant,
            affinity_key: key,
            time_left: left,
            cost,
            is_retry: false,
            is_write: false,
        };
        self.waiting.push((name, answered));
        self.step(
            now,
            Some(RouterEvent::RequestArrived {
                arrival,
                message: Message { head, body: Vec::new() },
                answer_sender: answer,
            }),
        );
    }

    fn end(&mut self, now: TenthMillis, name: &str, attempt: u32, outcome: Outcome) {
        let mut end = AttemptResult::from(outcome);
        if outcome == Outcome::Ok {
            let head = Head { start_line: "HTTP/1.1 200 OK".into(), fields: Vec::new() };
            end.final_answer =
                Some(Answer::Served(Message { head, body: format!("of {name} {attempt}").into() }));
        }
        self.step(
            now,
            Some(RouterEvent::AttemptEnded {
                attempt: AttemptId { request: name.into(), number: attempt },
                result: end,
            }),
        );
    }

    fn step(&mut self, now: TenthMillis, note: Option<RouterEvent>) {
        let heading = match &note {
            None => "wake".into(),
            Some(RouterEvent::RequestArrived { arrival, .. }) => format!("{} comes", arrival.request),
            Some(RouterEvent::ClientDisconnected { request }) => format!("{request} leaves"),
            Some(RouterEvent::AttemptEnded { attempt, result: end }) => {
                format!("{attempt} ends: {:?}", end.outcome)
            }
            Some(RouterEvent::ProbeEnded { upstream, outcome, .. }) => {
                format!("{upstream} is asked: {outcome:?}")
            }
            Some(RouterEvent::ListReceived(_)) => "listed".into(),
            Some(RouterEvent::UpstreamsChanged { upstreams, completes_snapshot: completes, .. }) => {
                let counts = [upstreams.targets.len(), upstreams.removed.len()];
                format!("changed, removed: {counts:?}, completes: {completes}")
            }
            Some(RouterEvent::ListConfirmed { at }) => format!("list current at {at}"),
            Some(RouterEvent::ListRefused) => "list lost".into(),
            Some(RouterEvent::DiscoveryUnreachable) => "list unreached".into(),
            Some(RouterEvent::WatchTimedOut) => "watch silent".into(),
        };
        *self.trace.borrow_mut() += &format!("{now}: {heading}\n");
        self.exchange.handle_events(now, note);
        self.waiting.retain_mut(|(name, answered)| {
            let line = match answered.try_recv() {
                Ok(Answer::Served(reply)) => format!("settled {}", String::from_utf8_lossy(&reply.body)),
                Ok(answer) => format!("{answer:?}"),
                Err(oneshot::error::TryRecvError::Empty) => return true,
                Err(oneshot::error::TryRecvError::Closed) => return false,
            };
            *self.trace.borrow_mut() += &format!("  answer to {name}: {line}\n");
            false
        });
    }

    /// Wakes as it is asked for, until then.
    fn pass(&mut self, until: TenthMillis) {
        while let Some(at) = self.exchange.next_wakeup().filter(|at| *at <= until) {
            self.step(at, None);
        }
    }

    /// What is owed at the end stands in the trace too.
    fn ends_with(self, expect: Expect) {
        let owed = self.exchange.unanswered_count();
        drop(self.exchange);
        expect.assert_eq(&format!("{}owed: {owed}\n", self.trace.borrow()));
    }
}

const ONE: &[(&str, u16, &str, &str, u64)] = &[("u1", 1, "a", "active", 0)];
const TWO: &[(&str, u16, &str, &str, u64)] = &[("u1", 1, "a", "active", 0), ("u2", 2, "a", "active", 0)];

#[test]
fn an_answer_reaches_its_own_request_and_no_other() {
    let mut play = Play::new(TWO);
    play.arrive(10, "t1", IDEMPOTENT, 20_000);
    play.arrive(20, "t2", IDEMPOTENT, 20_000);
    play.end(500, "t2", 0, Outcome::Ok);
    play.end(510, "t2", 0, Outcome::Ok);
    play.end(520, "t1", 1, Outcome::Ok);
    play.end(530, "t1", 0, Outcome::Ok);
    play.ends_with(expect![[r#"
        10: t1 comes
          post t1 0 to u2 at 127.0.0.1:2 until 19960
        20: t2 comes
          post t2 0 to u1 at 127.0.0.1:1 until 19970
        500: t2 0 ends: Ok
          t2 0 is let go
          answer to t2: settled of t2 0
        510: t2 0 ends: Ok
        520: t1 1 ends: Ok
        530: t1 0 ends: Ok
          t1 0 is let go
          answer to t1: settled of t1 0
        owed: 0
    "#]]);
}

#[test]
fn the_attempt_that_lost_is_let_go_and_its_late_answer_goes_nowhere() {
    let mut play = Play::new(TWO);
    play.arrive(10, "t1", IDEMPOTENT, 20_000);
    play.pass(6000);
    play.end(6500, "t1", 1, Outcome::Ok);
    play.end(6510, "t1", 0, Outcome::Ok);
    play.ends_with(expect![[r#"
        10: t1 comes
          post t1 0 to u2 at 127.0.0.1:2 until 19960
        5010: wake
          post t1 1 to u1 at 127.0.0.1:1 until 19960
        6500: t1 1 ends: Ok
          t1 1 is let go
          t1 0 is let go
          answer to t1: settled of t1 1
        6510: t1 0 ends: Ok
        owed: 0
    "#]]);
}

#[test]
fn a_client_that_left_is_owed_nothing_and_its_attempt_is_let_go() {
    let mut play = Play::new(ONE);
    play.arrive(10, "t1", NON_IDEMPOTENT, 20_000);
    play.step(20, Some(RouterEvent::ClientDisconnected { request: "t1".into() }));
    play.end(500, "t1", 0, Outcome::Ok);
    play.step(510, Some(RouterEvent::ClientDisconnected { request: "t1".into() }));
    play.ends_with(expect![[r#"
        10: t1 comes
          post t1 0 to u1 at 127.0.0.1:1 until 19960
        20: t1 leaves
          t1 0 is let go
        500: t1 0 ends: Ok
        510: t1 leaves
        owed: 0
    "#]]);
}

#[test]
fn non_idempotent_goes_again_after_what_never_ran_and_only_then() {
    let mut play = Play::new(TWO);
    play.arrive(10, "t1", NON_IDEMPOTENT, 20_000);
    play.end(20, "t1", 0, Outcome::ConnectFailed);
    play.end(30, "t1", 1, Outcome::Reset);
    play.ends_with(expect![[r#"
        10: t1 comes
          post t1 0 to u2 at 127.0.0.1:2 until 19960
        20: t1 0 ends: ConnectFailed
          t1 0 is let go
          post t1 1 to u1 at 127.0.0.1:1 until 19960
        30: t1 1 ends: Reset
          t1 1 is let go
          answer to t1: Failed
        owed: 0
    "#]]);
}

#[test]
fn a_second_request_of_an_id_in_service_is_refused() {
    let mut play = Play::new(ONE);
    play.arrive(10, "t1", NON_IDEMPOTENT, 20_000);
    play.arrive(20, "t1", NON_IDEMPOTENT, 20_000);
    play.end(30, "t1", 0, Outcome::Ok);
    play.ends_with(expect![[r#"
        10: t1 comes
          post t1 0 to u1 at 127.0.0.1:1 until 19960
        20: t1 comes
          answer to t1: DuplicateId
        30: t1 0 ends: Ok
          t1 0 is let go
          answer to t1: settled of t1 0
        owed: 0
    "#]]);
}

/// The danger is a stranger who sends an id that he has seen: its effect would happen twice.
#[test]
fn an_id_stays_taken_for_a_while_and_no_longer() {
    let mut play = Play::new(ONE);
    play.arrive(10, "t1", NON_IDEMPOTENT, 20_000);
    play.end(500, "t1", 0, Outcome::Ok);
    play.arrive(600, "t1", NON_IDEMPOTENT, 20_000);
    play.arrive(50_010, "t1", NON_IDEMPOTENT, 20_000);
    play.ends_with(expect![[r#"
        10: t1 comes
          post t1 0 to u1 at 127.0.0.1:1 until 19960
        500: t1 0 ends: Ok
          t1 0 is let go
          answer to t1: settled of t1 0
        600: t1 comes
          answer to t1: DuplicateId
        50010: t1 comes
          watch true
          post t1 0 to u1 at 127.0.0.1:1 until 69960
          t1 0 is let go
        owed: 1
    "#]]);
}

#[test]
fn what_an_upstream_turns_away_for_the_clients_fault_is_answered_and_goes_nowhere_else() {
    let mut play = Play::new(TWO);
    play.arrive(10, "t1", IDEMPOTENT, 20_000);
    let end = AttemptResult {
        outcome: Outcome::Moot,
        final_answer: Some(Answer::ClientError),
        load: Load::default(),
    };
    play.step(
        20,
        Some(RouterEvent::AttemptEnded {
            attempt: AttemptId { request: "t1".into(), number: 0 },
            result: end,
        }),
    );
    play.pass(20_000);
    play.ends_with(expect![[r#"
        10: t1 comes
          post t1 0 to u2 at 127.0.0.1:2 until 19960
        20: t1 0 ends: Moot
          t1 0 is let go
          answer to t1: ClientError
        5010: wake
        10010: wake
        13357: wake
          watch true
        owed: 0
    "#]]);
}

#[test]
fn nothing_leaves_without_time_left_or_with_nobody_to_send_to() {
    let mut play = Play::new(ONE);
    play.arrive(10, "no-time", IDEMPOTENT, 50);
    play.pass(5000);
    play.step(6000, Some(RouterEvent::ListReceived(list(false, &[("u1", 1, "a", "leaving", 0)]))));
    play.arrive(6010, "no-upstream", IDEMPOTENT, 20_000);
    play.ends_with(expect![[r#"
        10: no-time comes
          answer to no-time: Rejected { retry_after: None }
        11: wake
        6000: listed
        6010: no-upstream comes
          answer to no-upstream: Rejected { retry_after: None }
        owed: 0
    "#]]);
}

#[test]
fn a_request_without_an_answer_gets_its_final_one_before_its_deadline() {
    let mut play = Play::new(ONE);
    play.arrive(10, "t1", NON_IDEMPOTENT, 5000);
    play.pass(4959);
    play.end(4960, "t1", 0, Outcome::TimedOut);
    play.ends_with(expect![[r#"
        10: t1 comes
          post t1 0 to u1 at 127.0.0.1:1 until 4960
        4960: t1 0 ends: TimedOut
          t1 0 is let go
          answer to t1: Failed
        owed: 0
    "#]]);
}

/// The danger is the kill that follows: what it finds unanswered is lost.
#[test]
fn when_the_program_ends_every_request_has_its_answer_by_then() {
    let mut play = Play::new(ONE);
    play.arrive(10, "t1", NON_IDEMPOTENT, 60_000);
    play.exchange.set_shutdown_deadline(5000);
    play.arrive(1000, "t2", IDEMPOTENT, 60_000);
    play.pass(5000);
    play.arrive(5001, "t3", IDEMPOTENT, 60_000);
    play.ends_with(expect![[r#"
        10: t1 comes
          post t1 0 to u1 at 127.0.0.1:1 until 59960
        1000: t2 comes
          post t2 0 to u1 at 127.0.0.1:1 until 5000
        5000: wake
          t1 0 is let go
          t2 0 is let go
          answer to t1: Failed
          answer to t2: Rejected { retry_after: None }
        5001: t3 comes
          answer to t3: Rejected { retry_after: None }
        owed: 0
    "#]]);
}

#[test]
fn lists_move_upstreams_and_lost_ones_are_asked_for_again() {
    let mut play = Play::new(ONE);
    play.pass(10_000);
    play.step(10_010, Some(RouterEvent::ListRefused));
    play.pass(40_000);
    play.step(40_010, Some(RouterEvent::ListReceived(list(false, &[("u1", 9, "a", "active", 0)]))));
    play.arrive(40_020, "t1", IDEMPOTENT, 20_000);
    play.step(40_030, Some(RouterEvent::ListReceived(list(true, &[("u3", 3, "new", "active", 0)]))));
    play.arrive(40_040, "t2", IDEMPOTENT, 20_000);
    play.end(40_050, "t1", 0, Outcome::Ok);
    play.ends_with(expect![[r#"
        10010: list lost
        12720: wake
          watch true
        40010: listed
        40020: t1 comes
          post t1 0 to u1 at 127.0.0.1:9 until 59970
        40030: listed
        40040: t2 comes
          post t2 0 to u3 at 127.0.0.1:3 until 59990
        40050: t1 0 ends: Ok
          t1 0 is let go
          answer to t1: settled of t1 0
          t2 0 is let go
        owed: 1
    "#]]);
}

#[test]
fn a_name_that_the_settings_do_not_know_is_not_taken_for_another() {
    let mut directory = UpstreamDirectory::new(terms().1, -5000);
    let zones = [("u1", 1, "b", "active", 0), ("u2", 2, "new", "left", 600), ("u3", 3, "a", "leaving", 400)];
    let entries = directory.apply_list(list(false, &zones));
    let lines = entries.iter().map(|e| {
        format!(
            "{} in zone {} of kind {}: {:?} since {:?}\n",
            e.upstream, e.zone, e.kind, e.stage, e.started_at
        )
    });
    expect![[r#"
        u1 in zone 1 of kind 0: Live since None
        u2 in zone 2 of kind 0: Gone since Some(1000)
        u3 in zone 0 of kind 0: Draining since None
    "#]]
    .assert_eq(&lines.collect::<String>());
}

#[test]
fn a_whole_set_is_replaced_at_its_own_addresses_while_attempts_are_out() {
    let mut play = Play::new(&[("u1", 1, "a", "active", 0), ("u2", 2, "a", "active", 0)]);
    play.arrive(10, "t1", IDEMPOTENT, 60_000);
    play.step(
        20,
        Some(RouterEvent::ListReceived(list(
            false,
            &[("u1", 1, "a", "leaving", 0), ("u2", 2, "a", "leaving", 0)],
        ))),
    );
    play.arrive(30, "declined", IDEMPOTENT, 60_000);
    let replaced = [("u1", 1, "a", "left", 0), ("u2", 2, "a", "left", 0), ("u3", 1, "a", "active", 0)];
    play.step(40, Some(RouterEvent::ListReceived(list(false, &replaced))));
    play.arrive(50, "t2", IDEMPOTENT, 60_000);
    play.end(60, "t1", 0, Outcome::Ok);
    play.end(70, "t2", 0, Outcome::Ok);
    play.ends_with(expect![[r#"
        10: t1 comes
          post t1 0 to u2 at 127.0.0.1:2 until 59960
        20: listed
        30: declined comes
          answer to declined: Rejected { retry_after: None }
        40: listed
        50: t2 comes
          post t2 0 to u3 at 127.0.0.1:1 until 60000
        60: t1 0 ends: Ok
          t1 0 is let go
          answer to t1: settled of t1 0
        70: t2 0 ends: Ok
          t2 0 is let go
          answer to t2: settled of t2 0
        owed: 0
    "#]]);
}

#[test]
fn what_left_and_names_nobody_has_any_more_are_forgotten_and_no_number_is_used_twice() {
    let mut directory = UpstreamDirectory::new(terms().1, 0);
    let (mut sizes, mut zones) = (Vec::new(), std::collections::BTreeSet::new());
    let mut last = String::new();
    for n in 0..2000 {
        let (id, zone) = (format!("s{n}"), format!("zone {n}"));
        let mut change = list(false, &[(&id, 4000, &zone, "active", 0), (&last, 4000, "a", "left", 0)]);
        change.targets[0].kind = format!("kind {n}");
        zones.insert(directory.apply_list(change)[0].zone);
        last = id;
        if n == 200 || n == 1999 {
            sizes.push(directory.counts());
        }
    }
    expect!["[1, 1, 1] at a tenth, [1, 1, 1] at the end, 2000 numbers for as many zones"].assert_eq(
        &format!(
            "{:?} at a tenth, {:?} at the end, {} numbers for as many zones",
            sizes[0],
            sizes[1],
            zones.len()
        ),
    );
}

#[test]
fn a_long_list_that_names_each_twice_leaves_one_place_for_each_and_a_short_one_forgets_the_rest() {
    let mut directory = UpstreamDirectory::new(terms().1, 0);
    let ids: Vec<String> = (0..10_000).map(|n| format!("s{}", n % 5000)).collect();
    let targets: Vec<_> = ids.iter().map(|id| (&**id, 4000, "a", "active", 0)).collect();
    let entries = directory.apply_list(list(true, &targets));
    let known = directory.counts();
    directory.apply_list(list(true, &targets[..30]));
    expect!["10000 entries, [5000, 0, 0] known, then [30, 0, 0]"].assert_eq(&format!(
        "{} entries, {known:?} known, then {:?}",
        entries.len(),
        directory.counts()
    ));
}

/// The danger is a balancer that serves with a part of its list, or sends to who has been removed.
#[test]
fn records_are_in_force_once_told_and_the_first_whole_state_makes_ready() {
    let mut play = Play::new(ONE);
    play.exchange.await_first_snapshot();
    let change = |play: &mut Play, now, targets, removed: &[&str], completes| {
        let mut upstreams = list(false, targets);
        upstreams.removed = removed.iter().map(ToString::to_string).collect();
        let (applied, mut is_applied) = oneshot::channel();
        play.step(
            now,
            Some(RouterEvent::UpstreamsChanged {
                upstreams,
                completes_snapshot: completes,
                applied_sender: applied,
            }),
        );
        assert!(is_applied.try_recv().is_ok());
        play.exchange.has_upstreams()
    };
    let two = &TWO[1..];
    let mut ready = vec![play.exchange.has_upstreams()];
    ready.push(change(&mut play, 10, two, &["unknown"], false));
    ready.push(change(&mut play, 20, &[], &["u1"], true));
    play.arrive(30, "a", 0, 1000);
    play.end(40, "a", 0, Outcome::Ok);
    ready.push(change(&mut play, 50, &[], &["u2"], false));
    assert_eq!(ready, [false, false, true, false]);
    play.ends_with(expect![[r#"
        10: changed, removed: [1, 1], completes: false
        20: changed, removed: [0, 1], completes: true
        30: a comes
          post a 0 to u2 at 127.0.0.1:2 until 980
        40: a 0 ends: Ok
          a 0 is let go
          answer to a: settled of a 0
        50: changed, removed: [0, 1], completes: false
        owed: 0
    "#]]);
}

/// The danger is an incident without a word on why requests were refused.
#[test]
fn the_metrics_tell_why_requests_were_given_up_and_what_became_of_attempts_and_calls() {
    let mut play = Play::new(ONE);
    play.arrive(10, "a", IDEMPOTENT, 1000);
    play.end(20, "a", 0, Outcome::Ok);
    play.arrive(30, "b", NON_IDEMPOTENT, 1000);
    play.end(40, "b", 0, Outcome::Reset);
    play.step(50, Some(RouterEvent::ListReceived(list(false, &[("u1", 1, "a", "left", 0)]))));
    play.arrive(60, "c", IDEMPOTENT, 1000);
    play.step(70, Some(RouterEvent::ListRefused));
    play.step(80, Some(RouterEvent::DiscoveryUnreachable));
    play.step(90, Some(RouterEvent::WatchTimedOut));
    expect!["requests=3 served=1 left=0 rejected.NoUpstream=1 failed.AttemptsFailed=1 attempts=2 ended.Ok=1 ended.Reset=1 lists=1 calls_refused=1 calls_unreached=1 calls_silent=1"].assert_eq(&play.exchange.metrics().to_string());
}
