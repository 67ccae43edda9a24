//! Calls to discovery against a stand-in that says, for each call, what becomes of it.

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
use tokio::task::{LocalSet, spawn_blocking};
use tokio::time::{Instant, advance, pause, sleep};

use super::attempt::Attempts;
use super::backoff::Backoff;
use super::clock::Clock;
use super::discovery::{Ask, ListLimit, Patience, discover};
use super::memory::Memory;
use super::pool::Pool;
use super::stream::{read, write_all};
use crate::routing::{AttemptId, OutgoingAttempt, RouterEvent, Transport};

const LONGEST_LIST: usize = 1 << 20;
const MS: Duration = Duration::from_millis(1);
/// In real time; a play on a clock that stands still takes milliseconds of it.
const LONGEST_PLAY: Duration = Duration::from_secs(30);
/// After so long a watch's first call counts as silent: its hold and what the row may take.
const SILENT_AFTER: Duration = Duration::from_millis(50 + 200);
/// So much later than the last a call is made where an answer brought nothing new.
const PAUSE: Duration = Duration::from_millis(50);

/// Discovery as a test plays it: it takes the calls, and is told what the caller makes of the answers.
struct StandIn {
    listener: TcpListener,
    asks: UnboundedSender<Ask>,
    notes: UnboundedReceiver<RouterEvent>,
    trace: String,
}

impl StandIn {
    /// The next call, on a connection of its own.
    async fn accept(&mut self) -> TcpStream {
        let (mut stream, _) = self.listener.accept().await.unwrap();
        self.read(&mut stream).await;
        stream
    }

    async fn read(&mut self, stream: &mut TcpStream) {
        let mut call = [0; 256];
        let count = read(stream, &mut call).await.unwrap();
        let path = String::from_utf8_lossy(&call[..count]).split(' ').nth(1).unwrap().to_string();
        self.trace += &format!("{path}: ");
    }

    /// The next note but for those on how current the list is.
    async fn next_note(&mut self) -> RouterEvent {
        loop {
            match self.notes.recv().await.unwrap() {
                RouterEvent::ListConfirmed { .. } => {}
                note => return note,
            }
        }
    }

    /// What comes of the call; one that came to nothing is asked for anew, as the decisions do.
    async fn noted(&mut self) {
        let note = match self.next_note().await {
            RouterEvent::ListReceived(list) => format!("listed {}", list.version),
            RouterEvent::ListRefused => "lost".into(),
            RouterEvent::DiscoveryUnreachable => "unreached".into(),
            RouterEvent::WatchTimedOut => "silent".into(),
            _ => "no such note".into(),
        };
        self.trace += &format!("{note}\n");
        if !note.starts_with("listed") {
            self.asks.send(Ask::Watch(true)).unwrap();
        }
    }
}

/// In a time that stands still but for what the play lets pass with `advance`: a machine that is held up changes
/// nothing.
fn played(play: impl AsyncFnOnce(&mut StandIn)) -> String {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let (ends, ended) = mpsc::channel::<()>();
    runtime.block_on(async {
        pause();
        // The runtime lets time pass by itself whenever it is idle, but for as long as a blocking task runs.
        let watchdog = spawn_blocking(move || ended.recv_timeout(LONGEST_PLAY));
        let trace = tokio::select! {
            biased;
            trace = plays(play) => trace,
            _ = watchdog => panic!("the play waits for what does not come"),
        };
        drop(ends);
        trace
    })
}

fn played_in_real_time(play: impl AsyncFnOnce(&mut StandIn)) -> String {
    Builder::new_current_thread().enable_all().build().unwrap().block_on(plays(play))
}

async fn plays(play: impl AsyncFnOnce(&mut StandIn)) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (asks, asks_out) = unbounded_channel();
    let (notes_in, notes) = unbounded_channel();
    let [first, hold, late, row] = [50, 500, 100, 200].map(Duration::from_millis);
    let patience = Patience { first, hold, late, row };
    let limit = ListLimit { longest: LONGEST_LIST, backoff: Backoff::new(1) };
    let (address, clock) = (listener.local_addr().unwrap(), Clock::start());
    let asking = discover(address, 7, patience, limit, clock, asks_out, notes_in);
    asks.send(Ask::Watch(true)).unwrap();
    let mut stand_in = StandIn { listener, asks, notes, trace: String::new() };
    tokio::select! {
        () = asking => {}
        () = play(&mut stand_in) => {}
    }
    stand_in.trace
}

fn list(version: u64, names: &[&str]) -> String {
    let rest = r#""endpoint":"127.0.0.1:1","az":"a","model":"m","state":"active","capacity_hint":1"#;
    let targets: Vec<_> = names.iter().map(|uid| format!(r#"{{"uid":"{uid}",{rest}}}"#)).collect();
    let body = format!(r#"{{"rev":{version},"all":true,"targets":[{}]}}"#, targets.join(","));
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn reset(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
}

/// The danger is a change that is never told. Silence, what nobody answers and a refusal are told apart, and of what
/// is no list nothing is taken.
#[test]
fn silence_is_told_from_a_refusal_and_of_what_is_no_list_nothing_is_taken() {
    let status = |line: &str| format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n");
    let trace = played(async |discovery| {
        let _silent = discovery.accept().await;
        advance(SILENT_AFTER - MS).await;
        assert!(discovery.notes.try_recv().is_err(), "it may still answer");
        // Timers go by whole milliseconds.
        advance(2 * MS).await;
        discovery.noted().await;
        let garbled = "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{".to_string();
        let (twice, back) = (list(9, &["s1", "s1"]), list(3, &["s1"]));
        let (moved, busy) = (status("302 Found"), status("503 Busy"));
        for answer in [list(8, &["s1"]), twice, moved, busy, garbled, back.clone(), back] {
            let stream = discovery.accept().await;
            write_all(&stream, answer.as_bytes()).await.unwrap();
            drop(stream);
            discovery.noted().await;
        }
        reset(discovery.accept().await);
        discovery.noted().await;
        // Who is turned away only after as long a wait as the row allows has found nobody there.
        let stream = discovery.accept().await;
        advance(180 * MS).await;
        write_all(&stream, status("503 Down").as_bytes()).await.unwrap();
        discovery.noted().await;
    });
    expect![[r#"
        /catalog/members?from=7&hold_ms=50: silent
        /catalog/members?from=7&hold_ms=50: listed 8
        /catalog/members?from=8&hold_ms=500: lost
        /catalog/members?from=8&hold_ms=50: lost
        /catalog/members?from=8&hold_ms=50: lost
        /catalog/members?from=8&hold_ms=50: lost
        /catalog/members?from=8&hold_ms=50: lost
        /catalog/members: listed 3
        /catalog/members?from=3&hold_ms=50: unreached
        /catalog/members?from=3&hold_ms=50: unreached
    "#]]
    .assert_eq(&trace);
}

/// The danger is a call that counts as refused, and waits, because the connection kept for it had been closed.
#[test]
fn a_kept_connection_that_discovery_has_closed_is_dialled_anew_at_once() {
    let trace = played(async |discovery| {
        // Closed before the next call leaves, and as it comes; a watch that has stood is another matter.
        let mut stream = discovery.accept().await;
        for _ in 0..2 {
            write_all(&stream, list(8, &["s1"]).as_bytes()).await.unwrap();
            drop(stream);
            discovery.noted().await;
            advance(PAUSE + MS).await;
            stream = discovery.accept().await;
        }
        write_all(&stream, list(8, &["s1"]).as_bytes()).await.unwrap();
        discovery.noted().await;
        discovery.read(&mut stream).await;
        reset(stream);
        stream = discovery.accept().await;
        write_all(&stream, list(9, &["s1"]).as_bytes()).await.unwrap();
        discovery.noted().await;
        discovery.read(&mut stream).await;
        advance(200 * MS).await;
        reset(stream);
        discovery.noted().await;
    });
    expect![[r#"
        /catalog/members?from=7&hold_ms=50: listed 8
        /catalog/members?from=8&hold_ms=500: listed 8
        /catalog/members?from=8&hold_ms=500: listed 8
        /catalog/members?from=8&hold_ms=500: /catalog/members?from=8&hold_ms=500: listed 9
        /catalog/members?from=9&hold_ms=500: unreached
    "#]]
    .assert_eq(&trace);
}

/// The danger is a list of megabytes that is sent again and again for nothing.
#[test]
fn a_list_that_is_too_long_is_asked_for_again_after_growing_waits_and_the_decisions_hear_nothing() {
    let too_long = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n[", LONGEST_LIST + 1);
    let trace = played_in_real_time(async |discovery| {
        for least in [Duration::ZERO, Duration::from_millis(750), Duration::from_millis(1500)] {
            let since = Instant::now();
            let stream = discovery.accept().await;
            assert!(since.elapsed() >= least, "{:?} is less than {least:?}", since.elapsed());
            write_all(&stream, too_long.as_bytes()).await.unwrap();
            assert!(discovery.notes.try_recv().is_err());
        }
        // Whoever tells it of another address does not wait for it.
        let since = Instant::now();
        sleep(Duration::from_millis(50)).await;
        discovery.asks.send(Ask::Move(discovery.listener.local_addr().unwrap())).unwrap();
        let stream = discovery.accept().await;
        assert!(since.elapsed() < Duration::from_millis(1000), "{:?}", since.elapsed());
        write_all(&stream, list(8, &["s1"]).as_bytes()).await.unwrap();
        discovery.noted().await;
    });
    expect![[r#"
        /catalog/members?from=7&hold_ms=50: /catalog/members?from=7&hold_ms=50: /catalog/members?from=7&hold_ms=50: /catalog/members: listed 8
    "#]].assert_eq(&trace);
}

#[test]
fn waits_double_up_to_a_minute_with_jitter_and_begin_anew_after_a_success() {
    let mut backoff = Backoff::new(1);
    let mut waits: Vec<u128> = (0..8).map(|_| backoff.next_wait().as_millis()).collect();
    backoff.reset();
    waits.push(backoff.next_wait().as_millis());
    for (wait, span) in waits.iter().zip([1, 2, 4, 8, 16, 32, 60, 60, 1]) {
        assert!((span * 750..=span * 1000).contains(wait), "{wait} of {span} s");
    }
    assert_ne!(waits[0], Backoff::new(2).next_wait().as_millis());
}

const SECOND: TenthMillis = 10_000;

/// Carries one attempt, which may not begin from `begin_by` on, to an upstream that resets the connection. Tells how the
/// attempt ended and the first line that the upstream had read.
async fn carried(begin_by: impl FnOnce(&Clock) -> TenthMillis) -> (Outcome, String) {
    let upstream = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = upstream.local_addr().unwrap();
    let clock = Clock::start();
    let (notes, mut noted) = unbounded_channel();
    let (asks, _asks) = unbounded_channel();
    let limit = Duration::from_secs(60);
    let (pool, memory) = (Pool::new(4, limit, limit), Memory { most: usize::MAX });
    let mut attempts = Attempts { pool, clock, memory, notes, asks, probing: None };
    let head = Head { start_line: "POST / HTTP/1.1".into(), fields: Vec::new() };
    let _task = attempts.send_attempt(OutgoingAttempt {
        id: AttemptId { request: "a1".into(), number: 1 },
        upstream: "s1".into(),
        address,
        message: Rc::new(Message { head, body: Vec::new() }),
        deadline: clock.now() + 20 * SECOND,
        send_by: Some(begin_by(&clock)),
    });
    let (stream, _) = upstream.accept().await.unwrap();
    let mut bytes = [0; 256];
    // Without an attempt on it the connection ends by itself.
    let count = read(&stream, &mut bytes).await.unwrap();
    reset(stream);
    let Some(RouterEvent::AttemptEnded { result: end, .. }) = noted.recv().await else {
        panic!("an attempt ends")
    };
    let text = String::from_utf8_lossy(&bytes[..count]);
    (end.outcome, text.lines().next().unwrap_or_default().into())
}

/// The danger is a second run of a keyed request: its upstreams may have forgotten the key when the connection comes up.
#[test]
fn an_attempt_whose_connection_comes_up_too_late_to_begin_is_not_written() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        assert_eq!(carried(Clock::now).await, (Outcome::Moot, String::new()));
        let in_time = carried(|clock| clock.now() + 20 * SECOND).await;
        assert_eq!(in_time, (Outcome::Reset, "POST / HTTP/1.1".into()));
    });
}
