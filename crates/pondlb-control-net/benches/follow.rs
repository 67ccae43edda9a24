//! Measures the cost of a follower per record for a snapshot, the removal of a zone and the return of the zone.
//!
//! The followers are those of the balancer and use sockets; the server only sends responses that are encoded
//! beforehand. The benchmark prints the elapsed time per record and the longest single poll of a follower. During such
//! a poll, the thread of a balancer serves no requests. To count instructions, run it under `valgrind --tool=callgrind`
//! with two numbers of followers and take the difference, or with `--toggle-collect='*Timed*poll*'`, which excludes the
//! server and the setup.
//!
//! `cargo bench -p pondlb-control-net --bench follow -- FOLLOWERS STATES CHECK`: STATES is 1 for the snapshot only, 2
//! with the removal of the zone, 3 with its return; CHECK is `any` to accept all records or `record` to validate them.

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
/// The default of the control server.
const MAX_CHANGES_BYTES: usize = 16_384;
/// The page size of the control server.
const SNAPSHOT_PAGE_BYTES: usize = 65_536;
const GZIP_LEVEL: u32 = 1;
const MAX_HOLD: Duration = Duration::from_secs(60);
const FOLLOWER_NAME: &str = "bench";
const EPOCH: u64 = 1;

/// The complete HTTP responses by the targets of the requests.
type EncodedResponses = HashMap<String, Vec<u8>>;

fn main() {
    let arguments: Vec<String> = std::env::args().filter(|argument| argument != "--bench").collect();
    let number = |position: usize, default: usize| {
        arguments.get(position).and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let (followers, states) = (number(1, 4), number(2, 3));
    let validate: ValidateRecord = match arguments.get(3).map(String::as_str) {
        Some("any") => |_, _| Ok(()),
        _ => validate_record,
    };
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, measure(followers, states, validate));
}

/// Runs the followers one after the other and prints the results.
async fn measure(followers: usize, states: usize, validate: ValidateRecord) {
    let (responses, versions) = prepare(states);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let server = listener.local_addr().expect("its address");
    spawn_local(serve(listener, Rc::new(responses)));
    let key_interner = KeyInterner::default();
    let mut shortest = vec![Duration::MAX; versions.len()];
    for number in 0..followers {
        let longest = follow_all_versions(server, key_interner.clone(), validate, &versions).await;
        println!("follower {number}: longest poll by state {longest:.0?}");
        let pairs = shortest.iter_mut().zip(longest);
        pairs.for_each(|(shortest, longest)| *shortest = longest.min(*shortest));
    }
    println!("shortest of these times by state: {shortest:.0?}");
}

/// Runs a follower until the last version and returns the longest poll up to each version.
async fn follow_all_versions(
    server: SocketAddr,
    key_interner: KeyInterner,
    validate: ValidateRecord,
    versions: &[Version],
) -> Vec<Duration> {
    let mut config = FollowerConfig::new(vec![server], FOLLOWER_NAME, 0);
    (config.max_hold, config.key_interner) = (MAX_HOLD, key_interner);
    let (sender, mut deliveries) = mpsc::unbounded_channel();
    let longest_poll = Rc::new(Cell::new(Duration::ZERO));
    let follower = follow(config, validate, sender, Rc::new(FollowerStatus::default()));
    let follower = spawn_local(Timed { future: Box::pin(follower), longest: longest_poll.clone() });
    let mut longest = Vec::new();
    let (mut started, mut records) = (Instant::now(), 0);
    for version in versions {
        loop {
            let delivery = deliveries.recv().await.expect("a running follower");
            records += delivery.update.changes.len();
            let is_last = delivery.update.version == *version && !delivery.update.has_more;
            if is_last {
                let time_per_record = started.elapsed() / u32::try_from(records.max(1)).unwrap_or(1);
                println!("  {version}: {records} records, {time_per_record:?} each");
                longest.push(longest_poll.take());
                (started, records) = (Instant::now(), 0);
            }
            delivery.applied.send(()).expect("a waiting follower");
            if is_last {
                break;
            }
        }
    }
    follower.abort();
    longest
}

/// Records the longest poll of a future.
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

/// Serves the prepared responses. A request without one is never answered.
async fn serve(listener: TcpListener, responses: Rc<EncodedResponses>) {
    loop {
        let (stream, _) = listener.accept().await.expect("a connection");
        spawn_local(serve_follower(stream, responses.clone()));
    }
}

async fn serve_follower(mut stream: TcpStream, responses: Rc<EncodedResponses>) {
    let mut request = vec![0; 4096];
    loop {
        let Ok(count @ 1..) = stream.read(&mut request).await else { return };
        let head = String::from_utf8_lossy(&request[..count]);
        let target = head.split(' ').nth(1).expect("a target");
        // A request without a prepared response is held until the follower ends.
        if let Some(response) = responses.get(target) {
            stream.write_all(response).await.expect("the follower reads");
        }
    }
}

/// Prepares all responses that a follower requests until the last state, and the versions of the states.
fn prepare(states: usize) -> (EncodedResponses, Vec<Version>) {
    let is_in_zone = |number: &usize| number % ZONES == ZONES - 1;
    let commits: [Vec<NewChange>; 3] = [
        (0..UPSTREAMS).map(set_upstream).collect(),
        (0..UPSTREAMS)
            .filter(is_in_zone)
            .map(|number| NewChange { value: None, ..set_upstream(number) })
            .collect(),
        (0..UPSTREAMS).filter(is_in_zone).map(set_upstream).collect(),
    ];
    let mut store = Store::new(EPOCH, Limits::default());
    let mut replica = Replica::new(Limits::default(), KeyInterner::default());
    let (mut responses, mut versions) = (EncodedResponses::new(), Vec::new());
    for changes in commits.iter().take(states) {
        let version = store.commit(changes, &validate_record).expect("valid records");
        while replica.version() != version || !replica.is_in_sync() {
            let request = replica.next_request(MAX_HOLD);
            let (response, encoded) = respond(&store, &request);
            let progress = replica.receive(response, &validate_record).expect("an accepted response");
            assert!(!matches!(progress, Progress::Unchanged));
            responses.insert(request.target(FOLLOWER_NAME), encoded);
        }
        versions.push(version);
    }
    (responses, versions)
}

/// The response to a request, and its encoded form.
fn respond(store: &Store, request: &ReplicaRequest) -> (ReplicaResponse, Vec<u8>) {
    match request {
        ReplicaRequest::Changes { from, .. } => {
            let changes = store.changes_since(*from, MAX_CHANGES_BYTES);
            let encoded = encode(&changes);
            (ReplicaResponse::Changes(changes), encoded)
        }
        ReplicaRequest::Snapshot { after } => {
            let page = store.snapshot_page(after.as_ref(), SNAPSHOT_PAGE_BYTES);
            let encoded = encode(&page);
            (ReplicaResponse::Snapshot(page), encoded)
        }
        ReplicaRequest::Digests | ReplicaRequest::Bucket(_) => unreachable!("the replica needs no repair"),
    }
}

/// Encodes a response as compressed JSON with an HTTP head.
fn encode(content: &impl Serialize) -> Vec<u8> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::new(GZIP_LEVEL));
    encoder.write_all(&serde_json::to_vec(content).expect("valid JSON")).expect("a write to memory");
    let body = encoder.finish().expect("a write to memory");
    let mut response = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\nContent-Encoding: gzip\r\n\r\n",
        body.len()
    )
    .into_bytes();
    response.extend_from_slice(&body);
    response
}

/// A change that sets an upstream as the scale run of the laboratory does.
fn set_upstream(number: usize) -> NewChange {
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
