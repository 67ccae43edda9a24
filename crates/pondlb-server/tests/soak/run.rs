//! One seeded run: starts the processes, injects the faults and records what clients and upstreams see.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use nanorand::{Rng, WyRand};

use crate::MS;
use crate::discovery::{FaultyDiscovery, Mode};
use crate::helper::*;
use crate::ledger::{ClientRequest, Drain, Execution, Ledger, Report};

/// How many balancers run at a time.
const BALANCER_COUNT: usize = 3;
const UPSTREAM_COUNT: usize = 3;
/// How many clients each balancer has, each on a connection of its own.
const CLIENTS_PER_BALANCER: usize = 4;
/// How many idle connections each balancer has in every other run.
const MAX_IDLE_CONNECTIONS: usize = 60;
/// The setting `limits.sockets` of each balancer.
const SOCKET_LIMIT: u64 = 128;
/// How long clients send requests.
const RUN_DURATION: Duration = Duration::from_secs(13);
/// The longest deadline that the settings allow.
const LONGEST_DEADLINE: Duration = Duration::from_millis(2000);
/// The shortest time from SIGTERM to SIGKILL in a planned restart: the longest deadline and 700 ms.
const TERM_TO_KILL: Duration = Duration::from_millis(2000 + 700);

/// What a run does to one of its balancers.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// SIGTERM, SIGKILL after [`TERM_TO_KILL`], then a new process.
    Restart,
    /// SIGKILL, then a new process.
    Kill,
    /// SIGHUP, to reload an unchanged configuration.
    Reload,
}

/// A run, with the generator that its faults are drawn from.
pub struct Run {
    seed: u64,
    rng: WyRand,
}

/// A fault and its time from the start of the run.
#[derive(Clone, Copy, Debug)]
struct ScheduledFault {
    at: Duration,
    kind: Fault,
}

/// One of the balancers of a run, whose process is replaced over time.
struct BalancerSlot {
    /// The address of the current process; `None` while there is none.
    address: std::sync::Mutex<Option<SocketAddr>>,
    /// How often a process was killed without SIGTERM. Requests that were open then may end without an answer.
    kill_count: AtomicU64,
}

impl Run {
    pub fn new(seed: u64) -> Run {
        Run { seed, rng: WyRand::new_seed(seed) }
    }

    /// Executes the run and checks the rules.
    pub fn execute(mut self) -> Report {
        let upstreams: Vec<Upstream> = (0..UPSTREAM_COUNT).map(|_| Upstream::start(ANSWER_HELLO)).collect();
        let addresses: Vec<SocketAddr> = upstreams.iter().map(|upstream| upstream.address).collect();
        let discovery = FaultyDiscovery::start(&upstreams.iter().collect::<Vec<_>>());
        let mut options = BalancerOptions::new(&upstreams.iter().collect::<Vec<_>>());
        (options.discovery, options.sockets) = (discovery.address, SOCKET_LIMIT);
        let configuration = options.configuration().replace("\"Balancers\":1,", "\"Balancers\":91,");
        let (ledger, is_over) = (Ledger::default(), AtomicBool::new(false));
        let balancers: Vec<Balancer> =
            (0..BALANCER_COUNT).map(|_| options.start_with(&configuration)).collect();
        let slots: Vec<BalancerSlot> = (balancers.iter())
            .map(|balancer| BalancerSlot {
                address: Some(balancer.address).into(),
                kill_count: AtomicU64::new(0),
            })
            .collect();
        let has_idle_connections = self.seed.is_multiple_of(2);
        let balancer_faults: Vec<Vec<ScheduledFault>> =
            (0..BALANCER_COUNT).map(|_| self.draw_faults()).collect();
        let (discovery_fault_at, mode, drained) =
            (self.draw_ms(1500, 4000), self.draw_mode(), self.rng.generate_range(0..UPSTREAM_COUNT));
        thread::scope(|scope| {
            for upstream in upstreams {
                scope.spawn(|| record_executions(upstream, &ledger, &is_over));
            }
            for (number, (balancer, faults)) in balancers.into_iter().zip(balancer_faults).enumerate() {
                let (options, configuration, slot, ledger) =
                    (&options, &configuration, &slots[number], &ledger);
                scope.spawn(move || inject_faults(balancer, &faults, options, configuration, slot, ledger));
            }
            for (number, slot) in slots.iter().enumerate() {
                for client in 0..CLIENTS_PER_BALANCER {
                    let (ledger, is_over) = (&ledger, &is_over);
                    let seed = self.seed * 1000 + (number * CLIENTS_PER_BALANCER + client) as u64;
                    scope.spawn(move || run_client(seed, slot, ledger, is_over));
                }
                if has_idle_connections {
                    scope.spawn(|| hold_idle_connections(slot, &is_over));
                }
            }
            sleep(discovery_fault_at);
            discovery.silence_open_connections();
            discovery.set_mode(mode);
            let announced_at = discovery.drain(addresses[drained]);
            ledger.drains.lock().unwrap().push(Drain { upstream: addresses[drained], announced_at });
            sleep(RUN_DURATION - discovery_fault_at);
            is_over.store(true, Ordering::Relaxed);
        });
        ledger.judge()
    }

    /// A random time of at least `min` and less than `end` milliseconds.
    fn draw_ms(&mut self, min: u64, end: u64) -> Duration {
        Duration::from_millis(self.rng.generate_range(min..end))
    }

    /// Draws a mode in which discovery can be reached: in an outage it could announce no drain.
    fn draw_mode(&mut self) -> Mode {
        [Mode::Answers, Mode::Refuses, Mode::Resets, Mode::SendsInvalidLists]
            [self.rng.generate_range(0..4usize)]
    }

    /// Draws the faults of one balancer, in the order of their times.
    fn draw_faults(&mut self) -> Vec<ScheduledFault> {
        let mut at = Duration::ZERO;
        let mut faults = Vec::new();
        for _ in 0..3 {
            at += self.draw_ms(1200, 3500);
            let kinds = [Fault::Restart, Fault::Restart, Fault::Kill, Fault::Reload];
            faults.push(ScheduledFault { at, kind: kinds[self.rng.generate_range(0..kinds.len())] });
        }
        faults
    }
}

/// Records the requests that an upstream reads.
fn record_executions(upstream: Upstream, ledger: &Ledger, is_over: &AtomicBool) {
    while !is_over.load(Ordering::Relaxed) {
        let Ok(UpstreamEvent::Request(request)) = upstream.events.recv_timeout(20 * MS) else { continue };
        let id = request.field("Req-Id").unwrap_or_default().to_string();
        let deadline_us = request.field("Req-Deadline").and_then(|text| text.strip_suffix('u')?.parse().ok());
        let deadline = deadline_us.map(Duration::from_micros);
        let execution =
            Execution { id, upstream: upstream.address, received_at: request.received_at, deadline };
        ledger.executions.lock().unwrap().push(execution);
    }
}

/// Applies the faults to a balancer one after the other. A process that was killed or has exited is replaced in the
/// same slot.
fn inject_faults(
    mut balancer: Balancer,
    faults: &[ScheduledFault],
    options: &BalancerOptions,
    configuration: &str,
    slot: &BalancerSlot,
    ledger: &Ledger,
) {
    let start = Instant::now();
    for fault in faults {
        sleep(fault.at.saturating_sub(start.elapsed()));
        match fault.kind {
            Fault::Reload => {
                balancer.reconfigure(configuration);
                continue;
            }
            Fault::Restart => {
                balancer.signal("TERM");
                let terminated_at = Instant::now();
                while terminated_at.elapsed() < TERM_TO_KILL && balancer.is_running() {
                    sleep(5 * MS);
                }
                if balancer.is_running() {
                    ledger
                        .unexpected_exits
                        .lock()
                        .unwrap()
                        .push("a balancer was still running at SIGKILL".into());
                }
            }
            Fault::Kill => {
                slot.kill_count.store(slot.kill_count.load(Ordering::SeqCst) + 1, Ordering::SeqCst)
            }
        }
        *slot.address.lock().unwrap() = None;
        drop(balancer);
        // The new process starts with the list that the previous one had, which may be outdated.
        balancer = options.start_with(&configuration.replace("\"rev\":0,", "\"rev\":1,"));
        *slot.address.lock().unwrap() = Some(balancer.address);
    }
    sleep(RUN_DURATION.saturating_sub(start.elapsed()) + LONGEST_DEADLINE);
    if !balancer.is_running() {
        ledger.unexpected_exits.lock().unwrap().push("a balancer exited by itself".into());
    }
}

/// One client, which sends requests one after the other on one connection for as long as that stays open.
fn run_client(seed: u64, slot: &BalancerSlot, ledger: &Ledger, is_over: &AtomicBool) {
    let mut rng = WyRand::new_seed(seed);
    let mut connection: Option<Client> = None;
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        sleep(Duration::from_millis(rng.generate_range(10..80)));
        let Some(address) = *slot.address.lock().unwrap() else { continue };
        let is_connection_reused = connection.is_some();
        let Some(mut client) = connection.take().or_else(|| connect(address)) else { continue };
        let class = if rng.generate_range(0..4u32) == 0 { "order" } else { "browse" };
        let id = format!("{class}-{seed}-{number}");
        let deadline = Duration::from_millis(rng.generate_range(300..2000));
        let (kill_count, sent_at) = (slot.kill_count.load(Ordering::SeqCst), Instant::now());
        let written = std::io::Write::write_all(
            &mut client.stream,
            Client::request_text(&id, class, deadline.as_millis() as u64).as_bytes(),
        );
        let answer = written.ok().and_then(|()| client.read());
        let is_balancer_killed = slot.kill_count.load(Ordering::SeqCst) != kill_count;
        let status = answer.as_ref().map(|answer| answer.status().to_string());
        let request = ClientRequest {
            id,
            sent_at,
            deadline,
            ended_at: Instant::now(),
            status,
            is_balancer_killed,
            is_connection_reused,
        };
        ledger.requests.lock().unwrap().push(request);
        let is_kept = answer.is_some_and(|answer| answer.field("Connection") != Some("close"));
        connection = is_kept.then_some(client);
    }
}

/// Opens a client connection; `None` if it is refused or takes too long.
fn connect(address: SocketAddr) -> Option<Client> {
    let stream = TcpStream::connect_timeout(&address, 500 * MS).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    Some(Client { stream })
}

/// Opens connections that stay idle, and closes the oldest when there are more than [`MAX_IDLE_CONNECTIONS`].
fn hold_idle_connections(slot: &BalancerSlot, is_over: &AtomicBool) {
    let mut idle = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        if let Some(address) = *slot.address.lock().unwrap() {
            idle.extend(connect(address));
        }
        if idle.len() > MAX_IDLE_CONNECTIONS {
            idle.remove(0);
        }
        sleep(20 * MS);
    }
}
