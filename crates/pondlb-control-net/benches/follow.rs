//! What a follower pays for each record: a whole state, then a zone that leaves and one that returns.
//!
//! The followers are those of the program, over sockets; the server only gives out answers that were encoded before.
//! Prints processor time for each record and the longest single poll of a follower, which is how long a balancer's
//! loop serves nothing else. For instruction counts run it under `valgrind --tool=callgrind` with two numbers of
//! followers and take the difference, or with `--toggle-collect='*Timed*poll*'`, which leaves out the server and the setup.
//!
//! `cargo bench -p pondlb-control-net --bench follow -- FOLLOWERS STATES CHECK`: STATES is 1 for the snapshot only, 2
//! with the zone's removal, 3 with its return; CHECK is `any` or `record`.

use std::cell::Cell;
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use flate2::Compression;
use flate2::write::GzEncoder;
use pondlb_control::{
    Key, KeyInterner, Limits, NewChange, Progress, RecordKind, Replica, ReplicaRequest, ReplicaResponse,
    Store, Version,
};
use pondlb_control_net::{FollowerConfig, FollowerStatus, ValidateRecord, follow, validate_record};
use serde::Serialize;
use serde_json::value::RawValue;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};

const UPSTREAMS: usize = 24_000;
const ZONES: usize = 10;
/// As the control server's defaults.
const PIECE_BYTES: usize = 16_384;
const SNAPSHOT_PIECE_BYTES: usize = 65_536;
const GZIP_LEVEL: u32 = 1;
const HOLD: Duration = Duration::from_secs(60);
const NAME: &str = "bench";
const EPOCH: u64 = 1;

/// Whole answers by the targets of the calls.
type Answers = HashMap<String, Vec<u8>>;

fn main() {
    let arguments: Vec<String> = std::env::args().filter(|argument| argument != "--bench").collect();
    let number = |position: usize, default: usize| {
        arguments.get(position).and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let (followers, states) = (number(1, 4), number(2, 3));
    let check: ValidateRecord = match arguments.get(3).map(String::as_str) {
        Some("any") => |_, _| Ok(()),
        _ => validate_record,
    };
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, measure(followers, states, check));
}

async fn measure(followers: usize, states: usize, check: ValidateRecord) {
    let (answers, versions) = prepare(states);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let server = listener.local_addr().expect("its address");
    spawn_local(serve(listener, Rc::new(answers)));
    let names = KeyInterner::default();
    let mut least_disturbed = vec![Duration::MAX; versions.len()];
    for number in 0..followers {
        let longest = follow_through(server, names.clone(), check, &versions).await;
        println!("follower {number}: longest poll by state {longest:.0?}");
        let pairs = least_disturbed.iter_mut().zip(longest);
        pairs.for_each(|(least, longest)| *least = longest.min(*least));
    }
    println!("longest poll of the follower that was disturbed least {least_disturbed:.0?}");
}

/// Follows until the last version; the longest poll until each version.
async fn follow_through(
    server: SocketAddr,
    names: KeyInterner,
    check: ValidateRecord,
    versions: &[Version],
) -> Vec<Duration> {
    let mut following = FollowerConfig::new(vec![server], NAME, 0);
    (following.max_hold, following.key_interner) = (HOLD, names);
    let (deliver, mut delivered) = mpsc::unbounded_channel();
    let longest_poll = Rc::new(Cell::new(Duration::ZERO));
    let follower = follow(following, check, deliver, Rc::new(FollowerStatus::default()));
    let follower = spawn_local(Timed { future: Box::pin(follower), longest: longest_poll.clone() });
    let mut longest = Vec::new();
    let (mut started, mut records) = (Instant::now(), 0);
    for version in versions {
        loop {
            let news = delivered.recv().await.expect("the follower goes on");
            records += news.update.changes.len();
            let is_last = news.update.version == *version && !news.update.has_more;
            if is_last {
                let each = started.elapsed() / u32::try_from(records.max(1)).unwrap_or(1);
                println!("  {version}: {records} records, {each:?} each");
                longest.push(longest_poll.take());
                (started, records) = (Instant::now(), 0);
            }
            news.applied.send(()).expect("the follower waits");
            if is_last {
                break;
            }
        }
    }
    follower.abort();
    longest
}

/// Notes how long the longest poll took.
struct Timed<F> {
    future: Pin<Box<F>>,
    longest: Rc<Cell<Duration>>,
}

impl<F: Future> Future for Timed<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<F::Output> {
        let started = Instant::now();
        let polled = self.future.as_mut().poll(context);
        self.longest.set(self.longest.get().max(started.elapsed()));
        polled
    }
}

/// Gives out the answers; a call that has none waits without end.
async fn serve(listener: TcpListener, answers: Rc<Answers>) {
    loop {
        let (stream, _) = listener.accept().await.expect("a connection");
        spawn_local(serve_follower(stream, answers.clone()));
    }
}

async fn serve_follower(mut stream: TcpStream, answers: Rc<Answers>) {
    let mut request = vec![0; 4096];
    loop {
        let Ok(count @ 1..) = stream.read(&mut request).await else { return };
        let head = String::from_utf8_lossy(&request[..count]);
        let target = head.split(' ').nth(1).expect("a target");
        // A call that has no answer is held until the follower ends.
        if let Some(answer) = answers.get(target) {
            stream.write_all(answer).await.expect("the follower reads");
        }
    }
}

/// All answers that a follower asks for on its way through the states, and the versions of these.
fn prepare(states: usize) -> (Answers, Vec<Version>) {
    let zone = |number: &usize| number % ZONES == ZONES - 1;
    let commits: [Vec<NewChange>; 3] = [
        (0..UPSTREAMS).map(set).collect(),
        (0..UPSTREAMS).filter(zone).map(|number| NewChange { value: None, ..set(number) }).collect(),
        (0..UPSTREAMS).filter(zone).map(set).collect(),
    ];
    let mut store = Store::new(EPOCH, Limits::default());
    let mut replica = Replica::new(Limits::default(), KeyInterner::default());
    let (mut answers, mut versions) = (Answers::new(), Vec::new());
    for changes in commits.iter().take(states) {
        let version = store.commit(changes, &validate_record).expect("records that balancers take");
        while replica.version() != version || !replica.is_in_sync() {
            let call = replica.next_request(HOLD);
            let (answer, encoded) = answer(&store, &call);
            let progress = replica.receive(answer, &validate_record).expect("an answer that is taken");
            assert!(!matches!(progress, Progress::Unchanged));
            answers.insert(call.target(NAME), encoded);
        }
        versions.push(version);
    }
    (answers, versions)
}

fn answer(store: &Store, call: &ReplicaRequest) -> (ReplicaResponse, Vec<u8>) {
    match call {
        ReplicaRequest::Changes { from, .. } => {
            let answer = store.changes_since(*from, PIECE_BYTES);
            let encoded = response(&answer);
            (ReplicaResponse::Changes(answer), encoded)
        }
        ReplicaRequest::Snapshot { after } => {
            let answer = store.snapshot_page(after.as_ref(), SNAPSHOT_PIECE_BYTES);
            let encoded = response(&answer);
            (ReplicaResponse::Snapshot(answer), encoded)
        }
        ReplicaRequest::Digests | ReplicaRequest::Bucket(_) => unreachable!("nothing is to be repaired"),
    }
}

fn response(answer: &impl Serialize) -> Vec<u8> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::new(GZIP_LEVEL));
    encoder.write_all(&serde_json::to_vec(answer).expect("an answer")).expect("memory");
    let body = encoder.finish().expect("memory");
    let mut response = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\nContent-Encoding: gzip\r\n\r\n",
        body.len()
    )
    .into_bytes();
    response.extend_from_slice(&body);
    response
}

/// An upstream as the scale run lists it.
fn set(number: usize) -> NewChange {
    let name = format!("upstream-{number}");
    let (zone, [_, _, middle, low]) = (number % ZONES, (number as u32).to_be_bytes());
    let value = format!(
        "{{\"uid\":\"{name}\",\"endpoint\":\"127.64.{middle}.{low}:9\",\"az\":\"region-{}-zone-{}\",\"model\":\"m\",\
         \"pod_group\":0,\"state\":\"leaving\",\"capacity_hint\":2.0,\"boot_ms\":0}}",
        zone / 5,
        zone % 5
    );
    let key: Key = Key::new(RecordKind::Upstream, &name).expect("a key");
    NewChange { key, value: RawValue::from_string(value).ok() }
}
