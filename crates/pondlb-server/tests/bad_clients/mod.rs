//! Bad clients beside a usual one, on real connections: whatever the former send, the latter gets its answers in time.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::MS;
use crate::helper::*;

/// Descriptors of a balancer in a crowd. Of these, 139 are for clients and 16 more for those that come when no place is
/// free.
const CROWDED_DESCRIPTORS: u64 = 256;
/// Within this time a client that sends no request is answered with an error, or its connection is closed.
const MAX_STAY: Duration = Duration::from_millis(3000);
/// How long a crowd sends.
const CROWD_DURATION: Duration = Duration::from_millis(4000);
/// A request must be answered this long after its deadline at the latest.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// The deadline of the usual client's requests.
const DEADLINE: Duration = Duration::from_millis(1500);

/// A crowd of clients that send no request.
#[derive(Clone, Copy, Debug)]
struct IdleCrowd {
    clients: usize,
    /// What each client sends first.
    greeting: &'static str,
    /// What each client sends next, one after the other and over again.
    pieces: &'static [&'static str],
    /// The pause between two pieces.
    interval: Duration,
}

const HEALTH_CHECK: &str = "GET /_health HTTP/1.1\r\nHost: b\r\n\r\n";

/// A client of an [`IdleCrowd`].
struct CrowdMember {
    stream: TcpStream,
    connected_at: Instant,
    /// Until when the connection was seen open, once it has ended.
    ended_at: Option<Instant>,
}

impl CrowdMember {
    fn connect(balancer: &Balancer, greeting: &str) -> CrowdMember {
        let mut stream = balancer.connect().stream;
        // The connection may have been closed again already.
        let _ = stream.write_all(greeting.as_bytes());
        stream.set_nonblocking(true).unwrap();
        CrowdMember { stream, connected_at: Instant::now(), ended_at: None }
    }

    /// Reads what the balancer has sent, and sends a piece if the connection is still open.
    fn send(&mut self, piece: &str) {
        if self.ended_at.is_some() {
            return;
        }
        let mut received = [0; 1024];
        let is_open = match self.stream.read(&mut received) {
            Ok(0) => false,
            // Further bytes than the answer to the greeting are an error response.
            Ok(count) => received[..count].starts_with(b"HTTP/1.1 200"),
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        };
        if !is_open {
            self.ended_at = Some(Instant::now());
            return;
        }
        let _ = self.stream.write(piece.as_bytes());
    }
}

/// The crowd stays for [`CROWD_DURATION`]. Returns the members at the end.
fn play_crowd(balancer: &Balancer, crowd: IdleCrowd) -> Vec<CrowdMember> {
    let mut members: Vec<CrowdMember> =
        (0..crowd.clients).map(|_| CrowdMember::connect(balancer, crowd.greeting)).collect();
    let started = Instant::now();
    for piece in crowd.pieces.iter().cycle() {
        if started.elapsed() >= CROWD_DURATION {
            break;
        }
        members.iter_mut().for_each(|member| member.send(piece));
        sleep(crowd.interval);
    }
    members
}

/// A usual client that sends one request after the other, each on a new connection, until `is_over`. Each must be
/// answered in time. Returns the status codes.
fn request_until(balancer: &Balancer, case: &str, is_over: &AtomicBool) -> Vec<String> {
    let mut statuses = Vec::new();
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let mut client = balancer.connect();
        client.stream.set_read_timeout(Some(DEADLINE + MAX_LATENESS)).unwrap();
        client.send(&Client::request_text(&format!("usual{number}"), "browse", DEADLINE.as_millis() as u64));
        let answer = client.read();
        let answer = answer.unwrap_or_else(|| panic!("{case}: request {number} is not answered in time"));
        statuses.push(answer.status().to_string());
        sleep(20 * MS);
    }
    statuses
}

/// Guards against the incident described in docs/incidents/blank-lines.md: clients that send only empty lines, whole or
/// in pieces, on new or used connections, hold all places, so that no other client is accepted.
#[test]
fn crowds_of_clients_that_send_empty_lines_delay_no_other_client() {
    let crowds = [
        IdleCrowd { clients: 200, greeting: "", pieces: &["\r\n"], interval: 100 * MS },
        IdleCrowd { clients: 700, greeting: "", pieces: &["\r\n"], interval: 100 * MS },
        IdleCrowd { clients: 200, greeting: "", pieces: &["\r", "\n"], interval: 50 * MS },
        IdleCrowd { clients: 200, greeting: "", pieces: &["\r\n"], interval: 400 * MS },
        IdleCrowd { clients: 200, greeting: "", pieces: &["\r\n\r\n\r\n"], interval: 10 * MS },
        IdleCrowd { clients: 200, greeting: HEALTH_CHECK, pieces: &["\r\n"], interval: 100 * MS },
    ];
    for crowd in crowds {
        let case = format!("{crowd:?}");
        let upstream = Upstream::start(ANSWER_HELLO);
        let mut options = BalancerOptions::new(&[&upstream]);
        options.sockets = CROWDED_DESCRIPTORS;
        let balancer = options.start();
        let is_over = AtomicBool::new(false);
        let (members, statuses) = thread::scope(|scope| {
            let usual = scope.spawn(|| request_until(&balancer, &case, &is_over));
            let members = play_crowd(&balancer, crowd);
            is_over.store(true, Ordering::Relaxed);
            (members, usual.join().unwrap())
        });
        let served = statuses.iter().filter(|status| *status == "200").count();
        assert!(served * 2 > statuses.len(), "{case}: served {served} of {}", statuses.len());
        if crowd.greeting.is_empty() {
            let stays = members.iter().map(|member| member.ended_at.map(|at| at - member.connected_at));
            let held = stays.filter(|stay| stay.is_none_or(|stay| stay > MAX_STAY)).count();
            assert_eq!(held, 0, "{case}: clients with neither an error nor a close in time");
        }
    }
}

/// How often an upstream has got the request with this id.
fn count_runs(upstream: &Upstream, id: &str) -> usize {
    upstream.take_request_ids().iter().filter(|run| *run == id).count()
}

/// Guards against the incident described in docs/incidents/forgotten-request-id.md: a client that sends the id of another
/// client's order again as soon as it is turned away gets through after some seconds, and the order runs twice.
#[test]
fn an_order_whose_id_is_sent_again_and_again_runs_once() {
    let upstream = Upstream::start(ANSWER_HELLO);
    let balancer = BalancerOptions::new(&[&upstream]).start();
    assert_eq!(balancer.request("order1", "order").status(), "200");
    let started = Instant::now();
    while started.elapsed() < 6500 * MS {
        assert_eq!(balancer.request("order1", "order").status(), "409", "after {:?}", started.elapsed());
        sleep(20 * MS);
    }
    assert_eq!(count_runs(&upstream, "order1"), 1);
}

/// Guards against the incident described in docs/incidents/forgotten-request-id.md: clients that send ever new ids make
/// the balancer forget that of an order, which runs again when it is copied.
#[test]
fn an_order_that_is_sent_again_after_a_flood_of_new_ids_runs_once() {
    const FLOOD_CLIENTS: usize = 6;
    const REQUESTS_PER_CLIENT: usize = 2000;
    let upstream = Upstream::start(ANSWER_HELLO);
    let balancer = BalancerOptions::new(&[&upstream]).start();
    assert_eq!(balancer.request("order1", "order").status(), "200");
    thread::scope(|scope| {
        for client_number in 0..FLOOD_CLIENTS {
            let mut client = balancer.connect();
            scope.spawn(move || {
                for number in 0..REQUESTS_PER_CLIENT {
                    client.send(&Client::request_text(&format!("f{client_number}-{number}"), "browse", 1));
                    assert_eq!(client.read().unwrap().status(), "503");
                }
            });
        }
    });
    assert_eq!(balancer.request("order1", "order").status(), "409");
    assert_eq!(count_runs(&upstream, "order1"), 1);
}

/// What clients send at full speed, on one connection after the other.
#[derive(Clone, Copy, Debug)]
struct Flood {
    /// What each connection sends first, with a number of its own in place of `NUMBER`.
    greeting: &'static str,
    /// What it sends next, over and over again.
    unit: &'static str,
}

/// A request that waits long for its upstream, so that what follows it is read while its answer is due.
const SLOW_REQUEST: &str =
    "GET /slow HTTP/1.1\r\nHost: b\r\nReq-Id: NUMBER\r\nReq-Kind: order\r\nReq-Deadline: 60000m\r\n\r\n";
/// The head of a request with a chunked body.
const CHUNKED_HEAD: &str = "POST / HTTP/1.1\r\nHost: b\r\nReq-Id: NUMBER\r\nReq-Kind: browse\r\nReq-Deadline: 1000m\r\n\
    Transfer-Encoding: chunked\r\n\r\n";

const FLOODS: [Flood; 8] = [
    Flood { greeting: "", unit: HEALTH_CHECK },
    Flood { greeting: "", unit: "\r\n" },
    Flood { greeting: HEALTH_CHECK, unit: "\r\n" },
    Flood { greeting: "", unit: "this is no request\r\n\r\n" },
    Flood { greeting: "", unit: "GET / HTTP/1.1\r\nHost: b\r\n\r\n" },
    Flood { greeting: "GET / HTTP/1.1\r\n", unit: "a:b\r\n" },
    Flood { greeting: CHUNKED_HEAD, unit: "1\r\nx\r\n" },
    Flood { greeting: SLOW_REQUEST, unit: "GET / HTTP/1.1\r\n" },
];
const FLOOD_CLIENTS: usize = 3;
const FLOOD_DURATION: Duration = Duration::from_millis(3000);
/// How much a client of a flood writes at once.
const FLOOD_BLOCK_BYTES: usize = 32 * 1024;

/// Sends without a pause, and reads what comes, until `is_over`. A connection that ends is replaced by another.
fn send_flood(balancer: &Balancer, flood: Flood, is_over: &AtomicBool) {
    static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);
    let block = flood.unit.repeat(FLOOD_BLOCK_BYTES / flood.unit.len());
    while !is_over.load(Ordering::Relaxed) {
        let mut stream = balancer.connect().stream;
        stream.set_write_timeout(Some(100 * MS)).unwrap();
        let mut received = stream.try_clone().unwrap();
        thread::scope(|scope| {
            scope.spawn(move || {
                let mut buffer = vec![0; 1 << 18];
                while matches!(received.read(&mut buffer), Ok(1..)) {}
            });
            let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
            let greeting = flood.greeting.replace("NUMBER", &format!("flood{number}"));
            let _ = stream.write_all(greeting.as_bytes());
            while !is_over.load(Ordering::Relaxed) {
                match stream.write(block.as_bytes()) {
                    Ok(1..) => {}
                    // The balancer does not read for now.
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    _ => break,
                }
            }
            let _ = stream.shutdown(std::net::Shutdown::Both);
        });
    }
}

/// Guards against the incident described in docs/incidents/floods.md: as long as a client sends at full speed on one
/// connection, the balancer reads from and answers hardly any other, and no timer fires.
#[test]
fn floods_on_a_few_connections_delay_no_other_client() {
    for flood in FLOODS {
        let case = format!("{flood:?}");
        let (upstream, silent) = (Upstream::start(ANSWER_HELLO), Upstream::start(UpstreamBehavior::Silent));
        let mut options = BalancerOptions::new(&[&upstream]);
        if flood.greeting == SLOW_REQUEST {
            options.known.push(silent.address);
        }
        let balancer = options.start();
        let is_over = AtomicBool::new(false);
        let statuses = thread::scope(|scope| {
            for _ in 0..FLOOD_CLIENTS {
                scope.spawn(|| send_flood(&balancer, flood, &is_over));
            }
            let usual = scope.spawn(|| request_until(&balancer, &case, &is_over));
            sleep(FLOOD_DURATION);
            is_over.store(true, Ordering::Relaxed);
            usual.join().unwrap()
        });
        let served = statuses.iter().filter(|status| *status == "200").count();
        assert!(served * 2 > statuses.len(), "{case}: served {served} of {}", statuses.len());
    }
}

/// Tells the other threads of a test to end, also when the test fails.
struct EndOnDrop<'a>(&'a AtomicBool);

impl Drop for EndOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Guards against the incident described in docs/incidents/floods.md on the upstreams' side: one that sends interim
/// responses without end at full speed holds up everything else, and its attempt is not given up when its time is over.
#[test]
fn an_upstream_that_sends_interim_responses_without_end_delays_nothing_else() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut options = BalancerOptions::new(&[]);
    options.known.push(listener.local_addr().unwrap());
    let balancer = options.start();
    let is_over = AtomicBool::new(false);
    let (answer_time, slowest_health_check) = thread::scope(|scope| {
        scope.spawn(|| {
            let mut stream = accept(&listener);
            stream.set_write_timeout(Some(100 * MS)).unwrap();
            let block = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(1000);
            let mut unsent = block.as_bytes();
            while !is_over.load(Ordering::Relaxed) {
                match stream.write(unsent) {
                    Ok(count @ 1..) => unsent = &unsent[count..],
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    _ => return,
                }
                if unsent.is_empty() {
                    unsent = block.as_bytes();
                }
            }
        });
        let _end = EndOnDrop(&is_over);
        let order = scope.spawn(|| {
            let mut client = balancer.connect();
            let started = Instant::now();
            client.send(&Client::request_text("order1", "order", DEADLINE.as_millis() as u64));
            client.read().map(|answer| (answer.status().to_string(), started.elapsed()))
        });
        let mut slowest = Duration::ZERO;
        while !order.is_finished() {
            let asked = Instant::now();
            balancer.health_status();
            slowest = slowest.max(asked.elapsed());
            sleep(10 * MS);
        }
        (order.join().unwrap(), slowest)
    });
    let (status, answer_time) = answer_time.expect("the order is answered");
    assert_eq!(status, "502");
    assert!(answer_time < DEADLINE + MAX_LATENESS, "answered after {answer_time:?}");
    assert!(slowest_health_check < MAX_LATENESS, "health was told after {slowest_health_check:?}");
}

/// The memory limit of a balancer in a crowd, in MB.
const SMALL_MEMORY_MB: u64 = 32;
/// How long clients hold what they have sent of their requests.
const HOLD_DURATION: Duration = Duration::from_millis(2000);

/// Guards against a process that is killed for its memory: hundreds of clients at once send heads of very many short
/// fields, which take much more memory than bytes, or stop in the middle of a request.
#[test]
fn crowds_with_incomplete_requests_stay_within_the_memory_limit() {
    let head = "POST /x HTTP/1.1\r\nHost: b\r\nReq-Id: NUMBER\r\nReq-Kind: order\r\nReq-Deadline: 2000m\r\n\
        Content-Length: 65000\r\n";
    let short_fields = "a:b\r\n".repeat(3200);
    let half_body = "z".repeat(30_000);
    let crowds = [
        format!("{head}{short_fields}\r\n{half_body}"),
        format!("{head}{short_fields}"),
        format!("{head}\r\n{}", "z".repeat(64_990)),
    ];
    for incomplete_request in crowds {
        let upstream = Upstream::start(ANSWER_HELLO);
        let mut options = BalancerOptions::new(&[&upstream]);
        options.memory_mb = SMALL_MEMORY_MB;
        let balancer = options.start();
        let mut clients: Vec<Client> = Vec::new();
        for round in 0..2 {
            for number in 0..600 {
                let mut client = balancer.connect();
                client.stream.set_write_timeout(Some(100 * MS)).unwrap();
                let request = incomplete_request.replace("NUMBER", &format!("{round}-{number}"));
                // The balancer may reject the request before it has read all of it.
                let _ = client.stream.write_all(request.as_bytes());
                clients.push(client);
            }
            sleep(HOLD_DURATION);
            clients.clear();
        }
        assert_eq!(balancer.request("usual", "order").status(), "200");
        let peak_kib = balancer.peak_resident_kib();
        assert!(
            peak_kib < SMALL_MEMORY_MB * 1024,
            "{peak_kib} KiB with requests of {} bytes",
            incomplete_request.len()
        );
    }
}
