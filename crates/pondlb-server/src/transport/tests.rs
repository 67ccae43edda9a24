//! The discovery client against a fake discovery server that each test scripts, backoff, and when attempts are written.

use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

use expect_test::expect;
use pondlb::{Outcome, TenthMillis};
use pondlb_http::{Head, Message};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{LocalSet, spawn_blocking, yield_now};
use tokio::time::{Instant, advance, pause, sleep};

use super::attempt::OutboundTransport;
use super::backoff::Backoff;
use super::clock::Clock;
use super::discovery::{CallTimeouts, DiscoveryCommand, ListLimit, follow_discovery};
use super::memory::MemoryLimit;
use super::pool::UpstreamPool;
use super::stream::{read_available, write_all};
use crate::routing::{AttemptId, ExchangeId, OutgoingAttempt, RouterEvent, Transport};

const MAX_LIST_BYTES: usize = 1 << 20;
const MS: Duration = Duration::from_millis(1);
/// How long a script may take in real time. On a paused clock it takes milliseconds.
const SCRIPT_TIMEOUT: Duration = Duration::from_secs(30);
/// After this time the first call of a watch times out: its hold and the time allowed for discovery's queue.
const FIRST_CALL_TIMEOUT: Duration = Duration::from_millis(50 + 200);
/// How long a watch waits before the next call after a response without changes.
const WATCH_CALL_INTERVAL: Duration = Duration::from_millis(50);

/// A discovery server that a test scripts, with the client's commands and its events for the router.
struct FakeDiscovery {
    listener: TcpListener,
    commands: UnboundedSender<DiscoveryCommand>,
    router_rx: UnboundedReceiver<RouterEvent>,
    /// The paths called and the event that the client sent for each.
    trace: String,
}

impl FakeDiscovery {
    /// Accepts the next connection and reads the call on it.
    async fn accept(&mut self) -> TcpStream {
        let (mut stream, _) = self.listener.accept().await.unwrap();
        self.read_call(&mut stream).await;
        stream
    }

    /// Reads a call and adds its path to the trace.
    async fn read_call(&mut self, stream: &mut TcpStream) {
        let mut call = [0; 256];
        let count = read_available(stream, &mut call).await.unwrap();
        let path = String::from_utf8_lossy(&call[..count]).split(' ').nth(1).unwrap().to_string();
        self.trace += &format!("{path}: ");
    }

    /// The next event from the client, except those that confirm the list.
    async fn next_event(&mut self) -> RouterEvent {
        loop {
            match self.router_rx.recv().await.unwrap() {
                RouterEvent::ListConfirmed { .. } => {}
                event => return event,
            }
        }
    }

    /// Adds the client's event for the call to the trace. After a failure it commands a new watch, as the balancer
    /// does.
    async fn trace_event(&mut self) -> String {
        let event = self.next_event().await;
        let (is_failure, description) = match &event {
            RouterEvent::ListReceived(list) => (false, format!("version {} received", list.version)),
            RouterEvent::ListRefused => (true, "list refused".into()),
            RouterEvent::DiscoveryUnreachable => (true, "discovery unreachable".into()),
            RouterEvent::WatchTimedOut => (true, "watch timed out".into()),
            _ => (true, "unexpected event".into()),
        };
        self.trace += &format!("{description}\n");
        if is_failure {
            self.commands.send(DiscoveryCommand::WatchList { enabled: true }).unwrap();
        }
        description
    }

    /// Whether the call whose event came last confirms the list.
    fn confirms_list(&mut self) -> bool {
        matches!(self.router_rx.try_recv(), Ok(RouterEvent::ListConfirmed { .. }))
    }
}

/// Runs a script on a paused clock, which moves only by `advance`, so that a busy machine can't change the result.
fn run_on_paused_clock(script: impl AsyncFnOnce(&mut FakeDiscovery)) -> String {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let (end_watchdog, script_ended) = mpsc::channel::<()>();
    runtime.block_on(async {
        pause();
        // An idle runtime advances a paused clock by itself, except while a blocking task runs.
        let watchdog = spawn_blocking(move || script_ended.recv_timeout(SCRIPT_TIMEOUT));
        let trace = tokio::select! {
            biased;
            trace = run_script(script) => trace,
            _ = watchdog => panic!("the script waits for something that does not happen"),
        };
        drop(end_watchdog);
        trace
    })
}

fn run_in_real_time(script: impl AsyncFnOnce(&mut FakeDiscovery)) -> String {
    Builder::new_current_thread().enable_all().build().unwrap().block_on(run_script(script))
}

/// Runs a script against a client that knows version 7 and watches the list, and returns the trace.
async fn run_script(script: impl AsyncFnOnce(&mut FakeDiscovery)) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (commands, commands_rx) = unbounded_channel();
    let (router_tx, router_rx) = unbounded_channel();
    let [first_hold, hold, response_margin, queue_margin, min_silence] =
        [50, 500, 100, 200, 400].map(Duration::from_millis);
    let timeouts = CallTimeouts { first_hold, hold, response_margin, queue_margin, min_silence };
    let limit = ListLimit { max_bytes: MAX_LIST_BYTES, backoff: Backoff::new(1) };
    let (address, clock) = (listener.local_addr().unwrap(), Clock::start());
    let client = follow_discovery(address, 7, timeouts, limit, clock, commands_rx, router_tx);
    commands.send(DiscoveryCommand::WatchList { enabled: true }).unwrap();
    let mut discovery = FakeDiscovery { listener, commands, router_rx, trace: String::new() };
    tokio::select! {
        () = client => {}
        () = script(&mut discovery) => {}
    }
    discovery.trace
}

/// Lets the client do all that it can do by now.
async fn yield_often() {
    for _ in 0..100 {
        yield_now().await;
    }
}

/// A response with a whole list.
fn list_response(version: u64, names: &[&str]) -> String {
    let rest = r#""endpoint":"127.0.0.1:1","az":"a","model":"m","state":"active","capacity_hint":1"#;
    let targets: Vec<_> = names.iter().map(|uid| format!(r#"{{"uid":"{uid}",{rest}}}"#)).collect();
    let body = format!(r#"{{"rev":{version},"all":true,"targets":[{}]}}"#, targets.join(","));
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Resets a connection instead of closing it.
fn reset(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Guards against a change of the list that the balancer never learns of. The balancer reacts differently to a call
/// that timed out, one that did not reach discovery and one that was rejected, so each must be reported as what it is,
/// and nothing of an invalid list may be applied.
#[test]
fn timeouts_unreached_calls_and_rejections_are_reported_as_such_and_invalid_lists_are_not_applied() {
    let status = |line: &str| format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n");
    let trace = run_on_paused_clock(async |discovery| {
        let _unanswered = discovery.accept().await;
        advance(FIRST_CALL_TIMEOUT - MS).await;
        assert!(discovery.router_rx.try_recv().is_err(), "the call has not timed out yet");
        // Timers are rounded to whole milliseconds.
        advance(2 * MS).await;
        discovery.trace_event().await;
        let malformed = "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{".to_string();
        let (duplicate, older) = (list_response(9, &["s1", "s1"]), list_response(3, &["s1"]));
        let (redirect, busy) = (status("302 Found"), status("503 Busy"));
        for response in
            [list_response(8, &["s1"]), duplicate, redirect, busy, malformed, older.clone(), older]
        {
            let stream = discovery.accept().await;
            write_all(&stream, response.as_bytes()).await.unwrap();
            drop(stream);
            discovery.trace_event().await;
        }
        reset(discovery.accept().await);
        discovery.trace_event().await;
        // An error status after more than two thirds of the queue margin: the call has waited for its turn in vain.
        let stream = discovery.accept().await;
        advance(180 * MS).await;
        write_all(&stream, status("503 Down").as_bytes()).await.unwrap();
        discovery.trace_event().await;
    });
    expect![[r#"
        /catalog/members?from=7&hold_ms=50: watch timed out
        /catalog/members?from=7&hold_ms=50: version 8 received
        /catalog/members?from=8&hold_ms=500: list refused
        /catalog/members?from=8&hold_ms=50: list refused
        /catalog/members?from=8&hold_ms=50: list refused
        /catalog/members?from=8&hold_ms=50: list refused
        /catalog/members?from=8&hold_ms=50: list refused
        /catalog/members: version 3 received
        /catalog/members?from=3&hold_ms=50: discovery unreachable
        /catalog/members?from=3&hold_ms=50: discovery unreachable
    "#]]
    .assert_eq(&trace);
}

/// Guards against the incident described in docs/incidents/crowded-discovery.md: a call that fails while other balancers may
/// be answered is taken for a confirmation of the list. Whether a failure comes at once or after a long wait must make no
/// difference.
#[test]
fn only_answers_and_proofs_that_nobody_is_answered_confirm_the_list() {
    let status = |line: &str| format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n");
    let trace = run_on_paused_clock(async |discovery| {
        for wait in [1, 100, 140, 180, 220].map(|ms| ms * MS) {
            for response in [status("503 Busy"), status("500 Error"), String::new()] {
                let stream = discovery.accept().await;
                advance(wait).await;
                if response.is_empty() {
                    reset(stream);
                } else {
                    write_all(&stream, response.as_bytes()).await.unwrap();
                }
                let event = discovery.trace_event().await;
                let is_confirmed = discovery.confirms_list();
                assert!(!is_confirmed, "{response:?} after {wait:?}: {event}");
            }
        }
        // A single call without a response may be the fault of its connection, and the second may still be answered when
        // it times out.
        let mut unanswered = Vec::new();
        for _ in 0..2 {
            unanswered.push(discovery.accept().await);
            advance(FIRST_CALL_TIMEOUT + MS).await;
            discovery.trace_event().await;
            assert!(!discovery.confirms_list());
        }
        let stream = discovery.accept().await;
        // 450 ms after it was made, the second one counts.
        advance(450 * MS - FIRST_CALL_TIMEOUT).await;
        yield_often().await;
        assert!(discovery.confirms_list());
        write_all(&stream, list_response(8, &["s1"]).as_bytes()).await.unwrap();
        discovery.trace_event().await;
        assert!(discovery.confirms_list());
    });
    assert_eq!(trace.lines().count(), 18);
}

/// Guards against the incident described in docs/incidents/slow-discovery.md: a call that times out is closed, and its
/// answer, which would have told of a change, is lost.
#[test]
fn overdue_calls_stay_open_and_their_answers_count_unless_a_newer_list_is_known() {
    let changes = |version: u64, body: &str| {
        let list = format!(r#"{{"rev":{version},"all":false,"targets":[{body}]}}"#);
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
    };
    let trace = run_on_paused_clock(async |discovery| {
        let mut overdue = Vec::new();
        for _ in 0..3 {
            overdue.push(discovery.accept().await);
            advance(FIRST_CALL_TIMEOUT + MS).await;
            discovery.trace_event().await;
            while discovery.router_rx.try_recv().is_ok() {}
        }
        let mut in_time = discovery.accept().await;
        // The second call is answered first. It confirms the list up to when it was made.
        write_all(&overdue[1], list_response(9, &["s1"]).as_bytes()).await.unwrap();
        assert_eq!(discovery.trace_event().await, "version 9 received");
        assert!(discovery.confirms_list());
        // Lists that are not newer confirm what is known, and are not applied.
        write_all(&overdue[0], list_response(8, &["s1", "s2"]).as_bytes()).await.unwrap();
        assert!(matches!(discovery.router_rx.recv().await, Some(RouterEvent::ListConfirmed { .. })));
        write_all(&in_time, list_response(8, &["s1", "s2"]).as_bytes()).await.unwrap();
        assert!(matches!(discovery.router_rx.recv().await, Some(RouterEvent::ListConfirmed { .. })));
        advance(WATCH_CALL_INTERVAL + MS).await;
        discovery.read_call(&mut in_time).await;
        // Changes since version 7 include those since version 9.
        write_all(&overdue[2], changes(10, "").as_bytes()).await.unwrap();
        assert_eq!(discovery.trace_event().await, "version 10 received");
        assert!(discovery.confirms_list());
        write_all(&in_time, changes(10, "").as_bytes()).await.unwrap();
        assert_eq!(discovery.trace_event().await, "version 10 received");
    });
    expect![[r#"
        /catalog/members?from=7&hold_ms=50: watch timed out
        /catalog/members?from=7&hold_ms=50: watch timed out
        /catalog/members?from=7&hold_ms=50: watch timed out
        /catalog/members?from=7&hold_ms=50: version 9 received
        /catalog/members?from=9&hold_ms=500: version 10 received
        version 10 received
    "#]]
    .assert_eq(&trace);
}

/// Guards against the incident described in docs/incidents/slow-discovery.md: calls that a slow discovery has not answered
/// yet are taken for an outage. An outage is one only once calls have been unanswered for longer than a discovery that
/// works takes, whether or not they have timed out before.
#[test]
fn unanswered_calls_confirm_the_list_only_after_a_long_silence() {
    for is_answered_late in [false, true] {
        run_on_paused_clock(async |discovery| {
            let mut stream = discovery.accept().await;
            write_all(&stream, list_response(7, &["s1"]).as_bytes()).await.unwrap();
            discovery.trace_event().await;
            assert!(discovery.confirms_list());
            // The next call has a hold of 500 ms, times out after 600 ms and counts after 900 ms. The one after it has a hold
            // of 50 ms, times out after 250 ms and counts after 450 ms, 1051 ms after the first was made.
            advance(WATCH_CALL_INTERVAL + MS).await;
            discovery.read_call(&mut stream).await;
            advance(601 * MS).await;
            discovery.trace_event().await;
            let _unanswered = discovery.accept().await;
            advance(251 * MS).await;
            discovery.trace_event().await;
            assert!(!discovery.confirms_list(), "no call counts yet");
            let _also_unanswered = discovery.accept().await;
            if is_answered_late {
                let refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
                write_all(&stream, refusal.as_bytes()).await.unwrap();
            }
            // The client reads what has come before the clock goes on, and handles its timer after that.
            yield_often().await;
            advance(1045 * MS - 852 * MS).await;
            yield_often().await;
            assert!(!discovery.confirms_list(), "one call counts");
            advance(8 * MS).await;
            yield_often().await;
            assert_eq!(discovery.confirms_list(), !is_answered_late);
        });
    }
}

/// Guards against a call that is reported as failed, and retried late, only because discovery had closed the connection
/// that was kept for it.
#[test]
fn a_call_on_a_kept_connection_that_discovery_closed_is_repeated_on_a_new_one_at_once() {
    let trace = run_on_paused_clock(async |discovery| {
        // The connection is closed before the next call is sent, and reset as the call arrives. A reset 200 ms after
        // the call is a failure of the call.
        let mut stream = discovery.accept().await;
        for _ in 0..2 {
            write_all(&stream, list_response(8, &["s1"]).as_bytes()).await.unwrap();
            drop(stream);
            discovery.trace_event().await;
            advance(WATCH_CALL_INTERVAL + MS).await;
            stream = discovery.accept().await;
        }
        write_all(&stream, list_response(8, &["s1"]).as_bytes()).await.unwrap();
        discovery.trace_event().await;
        discovery.read_call(&mut stream).await;
        reset(stream);
        stream = discovery.accept().await;
        write_all(&stream, list_response(9, &["s1"]).as_bytes()).await.unwrap();
        discovery.trace_event().await;
        discovery.read_call(&mut stream).await;
        advance(200 * MS).await;
        reset(stream);
        discovery.trace_event().await;
    });
    expect![[r#"
        /catalog/members?from=7&hold_ms=50: version 8 received
        /catalog/members?from=8&hold_ms=500: version 8 received
        /catalog/members?from=8&hold_ms=500: version 8 received
        /catalog/members?from=8&hold_ms=500: /catalog/members?from=8&hold_ms=500: version 9 received
        /catalog/members?from=9&hold_ms=500: discovery unreachable
    "#]]
    .assert_eq(&trace);
}

/// Guards against a list of megabytes that is sent over and over and never accepted.
#[test]
fn a_list_that_is_too_long_is_fetched_again_with_backoff_and_not_reported() {
    let too_long = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n[", MAX_LIST_BYTES + 1);
    let trace = run_in_real_time(async |discovery| {
        for min_delay in [Duration::ZERO, Duration::from_millis(750), Duration::from_millis(1500)] {
            let since = Instant::now();
            let stream = discovery.accept().await;
            assert!(since.elapsed() >= min_delay, "{:?} is less than {min_delay:?}", since.elapsed());
            write_all(&stream, too_long.as_bytes()).await.unwrap();
            assert!(discovery.router_rx.try_recv().is_err());
        }
        // A change of the address does not wait for the backoff.
        let since = Instant::now();
        sleep(Duration::from_millis(50)).await;
        let address = discovery.listener.local_addr().unwrap();
        discovery.commands.send(DiscoveryCommand::ChangeAddress(address)).unwrap();
        let stream = discovery.accept().await;
        assert!(since.elapsed() < Duration::from_millis(1000), "{:?}", since.elapsed());
        write_all(&stream, list_response(8, &["s1"]).as_bytes()).await.unwrap();
        discovery.trace_event().await;
    });
    expect![[r#"
        /catalog/members?from=7&hold_ms=50: /catalog/members?from=7&hold_ms=50: /catalog/members?from=7&hold_ms=50: /catalog/members: version 8 received
    "#]].assert_eq(&trace);
}

#[test]
fn backoff_doubles_up_to_a_minute_with_jitter_and_restarts_after_a_reset() {
    let mut backoff = Backoff::new(1);
    let mut delays: Vec<u128> = (0..8).map(|_| backoff.next_delay().as_millis()).collect();
    backoff.reset();
    delays.push(backoff.next_delay().as_millis());
    for (delay, seconds) in delays.iter().zip([1, 2, 4, 8, 16, 32, 60, 60, 1]) {
        assert!((seconds * 750..=seconds * 1000).contains(delay), "{delay} ms of {seconds} s");
    }
    assert_ne!(delays[0], Backoff::new(2).next_delay().as_millis());
}

const SECOND: TenthMillis = 10_000;

/// Sends an attempt that may not be written from `start_before` on to an upstream that resets the connection. Returns
/// the outcome of the attempt and the first line that the upstream read.
async fn send_attempt(start_before: impl FnOnce(&Clock) -> TenthMillis) -> (Outcome, String) {
    let upstream = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = upstream.local_addr().unwrap();
    let clock = Clock::start();
    let (router_tx, mut router_rx) = unbounded_channel();
    let (discovery_tx, _discovery_rx) = unbounded_channel();
    let timeout = Duration::from_secs(60);
    let pool = UpstreamPool::new(4, timeout, timeout);
    let memory = MemoryLimit { max_bytes: usize::MAX };
    let mut transport = OutboundTransport { pool, clock, memory, router_tx, discovery_tx, probe: None };
    let head = Head { start_line: "POST / HTTP/1.1".into(), fields: Vec::new() };
    let _task = transport.send_attempt(OutgoingAttempt {
        id: AttemptId { exchange: ExchangeId(0), request: "a1".into(), number: 1 },
        upstream: "s1".into(),
        address,
        message: Rc::new(Message { head, body: Vec::new() }),
        deadline: clock.now() + 20 * SECOND,
        start_before: Some(start_before(&clock)),
    });
    let (stream, _) = upstream.accept().await.unwrap();
    let mut bytes = [0; 256];
    // The connection is closed without input if the attempt is not written.
    let count = read_available(&stream, &mut bytes).await.unwrap();
    reset(stream);
    let Some(RouterEvent::AttemptEnded { result, .. }) = router_rx.recv().await else {
        panic!("the attempt does not end")
    };
    let text = String::from_utf8_lossy(&bytes[..count]);
    (result.outcome, text.lines().next().unwrap_or_default().into())
}

/// Guards against running a keyed request twice: when the connection is established late, the upstreams may have
/// forgotten the key.
#[test]
fn an_attempt_whose_connection_is_established_after_start_before_is_not_written() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        assert_eq!(send_attempt(Clock::now).await, (Outcome::Moot, String::new()));
        let in_time = send_attempt(|clock| clock.now() + 20 * SECOND).await;
        assert_eq!(in_time, (Outcome::Reset, "POST / HTTP/1.1".into()));
    });
}
