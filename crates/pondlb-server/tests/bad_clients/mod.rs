//! Bad clients beside a usual one, on real connections: whatever the former send, the latter gets its answers in time.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
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
