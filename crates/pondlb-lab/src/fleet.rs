//! The emulated fleet: upstreams and discovery on loopback, as tasks of one event loop.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep_until, timeout};

use crate::http::{HttpConnection, Message, format_response};
use crate::ledger::{DrainNotice, Ledgers, UpstreamAttempt, UpstreamStart};
use crate::scenario::{Fault, FaultKind, Rules, UpstreamSpec};

/// The pause before the next `accept` after one has failed for want of a file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Time between the end of an upstream's process and the start of its replacement.
const REPLACEMENT_DELAY_US: u64 = 100_000;
/// The longest time for which discovery holds a watch.
const MAX_WATCH_MS: u64 = 60_000;
/// The backlog of each listening socket.
const LISTEN_BACKLOG: u32 = 1024;

/// The clock of a run, in microseconds since its start, and the ledgers of its events.
pub struct Recorder {
    start: Instant,
    start_unix_ms: u64,
    /// What has been recorded so far.
    pub ledgers: RefCell<Ledgers>,
    /// The number of the next response body. It makes every body unique, so that a swapped response is noticed.
    next_response: Cell<u64>,
}

impl Recorder {
    /// Starts the clock with empty ledgers.
    pub fn new() -> Rc<Recorder> {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let start_unix_ms = u64::try_from(since.as_millis()).unwrap_or_default();
        Rc::new(Recorder {
            start: Instant::now(),
            start_unix_ms,
            ledgers: RefCell::default(),
            next_response: Cell::new(0),
        })
    }

    /// Microseconds since the start.
    pub fn now_us(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// The timer's instant for a time in microseconds since the start.
    pub fn instant_at(&self, at_us: u64) -> Instant {
        self.start + Duration::from_micros(at_us)
    }

    /// Records that no file descriptor was left, and waits a little: the connection is still pending, and another
    /// `accept` at once would spin.
    async fn back_off_without_descriptors(&self) {
        self.ledgers.borrow_mut().descriptor_shortages += 1;
        sleep_until(Instant::now() + ACCEPT_RETRY_DELAY).await;
    }

    fn take_response_number(&self) -> u64 {
        let number = self.next_response.get();
        self.next_response.set(number + 1);
        number
    }

    /// Records an attempt and returns its index in the ledger.
    fn record_attempt(&self, attempt: &UpstreamAttempt) -> usize {
        let mut ledgers = self.ledgers.borrow_mut();
        ledgers.attempts.push(attempt.clone());
        ledgers.attempts.len() - 1
    }
}

/// Guard of an outstanding attempt. Dropping it records the attempt's end: its response is written, its balancer has
/// closed the connection, or its upstream has died. The ledgers may have been taken by then.
struct OutstandingAttempt<'a> {
    recorder: &'a Recorder,
    /// Index in the ledger of attempts.
    entry: usize,
}

impl Drop for OutstandingAttempt<'_> {
    fn drop(&mut self) {
        if let Some(attempt) = self.recorder.ledgers.borrow_mut().attempts.get_mut(self.entry) {
            attempt.ended_us = Some(self.recorder.now_us());
        }
    }
}

/// A fault that is in effect at an upstream.
struct ActiveFault {
    kind: FaultKind,
    factor: f64,
}

/// One emulated upstream: a process that may be dead, and the faults in effect.
pub struct Upstream {
    index: usize,
    spec: UpstreamSpec,
    warm_up_us: u64,
    initial_capacity_share: f64,
    port: u16,
    faults: RefCell<Vec<ActiveFault>>,
    /// When the present process started; `None` if it was up and warm before the run.
    started_us: Cell<Option<u64>>,
    alive: watch::Sender<bool>,
    /// How many processes have been replaced here; each has a uid of its own.
    incarnation: Cell<u32>,
    /// When each core is free again, in microseconds.
    cores_free_at_us: RefCell<Vec<u64>>,
    /// Requests that wait for a core.
    queued: Cell<usize>,
    open_connections: Cell<usize>,
    /// Requests that wait or are worked on.
    in_flight: Cell<usize>,
    /// Requests received so far, load probes not counted.
    request_count: Cell<u64>,
}

impl Upstream {
    /// The factor of the fault of this kind, if one is in effect.
    fn fault_factor(&self, kind: FaultKind) -> Option<f64> {
        self.faults.borrow().iter().find(|fault| fault.kind == kind).map(|fault| fault.factor)
    }

    fn has_fault(&self, kind: FaultKind) -> bool {
        self.fault_factor(kind).is_some()
    }

    /// The share of its full speed that the process has now: it rises linearly over the warm-up.
    fn capacity_share(&self, now_us: u64) -> f64 {
        let age_us = self.started_us.get().map_or(self.warm_up_us, |at_us| now_us.saturating_sub(at_us));
        let warm_share = (age_us as f64 / self.warm_up_us.max(1) as f64).min(1.0);
        self.initial_capacity_share + (1.0 - self.initial_capacity_share) * warm_share
    }

    /// Accepts the connections of one balancer while the process is alive. Never returns during a run.
    async fn accept_connections(
        self: Rc<Self>,
        recorder: Rc<Recorder>,
        listener: TcpListener,
        balancer: u32,
    ) {
        let mut alive = self.alive.subscribe();
        let mut listener = Some(listener);
        loop {
            let Some(open) = &listener else {
                // While the process is dead its port is closed and refuses connections.
                if alive.wait_for(|up| *up).await.is_err() {
                    return;
                }
                listener = bind(Some(self.address_for(balancer))).ok();
                continue;
            };
            tokio::select! {
                accepted = open.accept() => {
                    let Ok((stream, _)) = accepted else {
                        recorder.back_off_without_descriptors().await;
                        continue;
                    };
                    if self.open_connections.get() < self.spec.max_connections {
                        spawn_local(self.clone().serve_connection(recorder.clone(), stream, balancer));
                    }
                }
                _ = alive.wait_for(|up| !*up) => listener = None,
            }
        }
    }

    /// The address under which a balancer reaches this upstream. It differs for each balancer, so that the sender of
    /// an attempt is known without anything that the balancer says.
    pub fn address_for(&self, balancer: u32) -> SocketAddr {
        SocketAddr::from(([127, 1, (balancer >> 8) as u8, (balancer & 255) as u8 + 1], self.port))
    }

    async fn serve_connection(self: Rc<Self>, recorder: Rc<Recorder>, stream: TcpStream, balancer: u32) {
        let mut alive = self.alive.subscribe();
        self.open_connections.set(self.open_connections.get() + 1);
        let mut connection = HttpConnection::new(stream);
        tokio::select! {
            _ = self.answer_requests(&recorder, &mut connection, balancer) => {}
            _ = alive.wait_for(|up| !*up) => {
                // With zero linger the close sends a reset, as at the death of a process.
                let _ = connection.stream.set_zero_linger();
            }
        }
        self.open_connections.set(self.open_connections.get() - 1);
    }

    /// Answers the requests on one connection, as the faults in effect have it, until the balancer closes it.
    async fn answer_requests(
        &self,
        recorder: &Rc<Recorder>,
        connection: &mut HttpConnection,
        balancer: u32,
    ) -> io::Result<()> {
        let mut handshake_us = (self.spec.handshake_ms * 1000.0) as u64;
        while connection.wait_for_data().await? {
            let first_byte_us = recorder.now_us();
            let Some(request) = connection.read_request().await? else { return Ok(()) };
            let last_byte_us = recorder.now_us();
            let load = format!("Srv-Load: rif={},q={}\r\n", self.in_flight.get(), self.queued.get());
            if request.path == "/load" {
                recorder.ledgers.borrow_mut().probe_senders.push(balancer);
                connection.write(&format_response(200, &load, "")).await?;
                continue;
            }
            let attempt =
                UpstreamAttempt { first_byte_us, last_byte_us, ..self.parse_attempt(&request, balancer) };
            let entry = recorder.record_attempt(&attempt);
            let outstanding = OutstandingAttempt { recorder, entry };
            self.request_count.set(self.request_count.get() + 1);
            let count = self.request_count.get();
            if self.fault_factor(FaultKind::Silent).is_some_and(|one_in| count.is_multiple_of(one_in as u64))
            {
                return connection.wait_for_data().await.map(drop);
            }
            if self.queued.get() >= self.spec.max_queued {
                connection.write(&format_response(503, "Srv-Declined: 1\r\n", "")).await?;
                continue;
            }
            if self.has_fault(FaultKind::Errors) {
                recorder.ledgers.borrow_mut().attempts[entry].started_us = Some(recorder.now_us());
                connection.write(&format_response(500, &load, "")).await?;
                continue;
            }
            let in_flight = CountGuard::increment(&self.in_flight);
            let work = self.work(recorder, entry, attempt.work_us + std::mem::take(&mut handshake_us));
            tokio::pin!(work);
            let mut outstanding = Some(outstanding);
            // When the balancer closes the connection the attempt ends, but its work is still done.
            tokio::select! {
                biased;
                () = &mut work => {}
                more = connection.wait_for_data() => {
                    outstanding.take_if(|_| !matches!(more, Ok(true)));
                    work.await;
                }
            }
            if self.has_fault(FaultKind::Hang) {
                return connection.wait_for_data().await.map(drop);
            }
            drop((in_flight, outstanding));
            let number = recorder.take_response_number();
            let body = format!("{} by {} as answer {number}", attempt.id, self.index);
            let text = format_response(200, &load, &body);
            if self.has_fault(FaultKind::Cut) {
                return connection.write(&text[..text.len() / 2]).await;
            }
            if self.has_fault(FaultKind::Spoil) {
                connection.write("\u{1}\u{2}noise, and no answer\r\n\r\n").await?;
                continue;
            }
            recorder.ledgers.borrow_mut().attempts[entry].answer_body = Some(body);
            connection.write(&text).await?;
        }
        Ok(())
    }

    /// The attempt that a request is, without its times.
    fn parse_attempt(&self, request: &Message, balancer: u32) -> UpstreamAttempt {
        UpstreamAttempt {
            id: request.header("Req-Id").unwrap_or_default().to_string(),
            upstream: self.index,
            incarnation: self.incarnation.get(),
            balancer,
            work_us: request.header("Req-Cost").and_then(|cost| cost.parse().ok()).unwrap_or_default(),
            ..UpstreamAttempt::default()
        }
    }

    /// Waits for the first free core, and then for as long as the work takes on it. A core is only the time at which
    /// it is free again, so that hundreds of them need no processor.
    async fn work(&self, recorder: &Recorder, entry: usize, work_us: u64) {
        let now_us = recorder.now_us();
        let slowdown = self.fault_factor(FaultKind::Slow).unwrap_or(1.0);
        let takes_us = work_us as f64 * slowdown / (self.spec.speed_factor * self.capacity_share(now_us));
        let (started_us, end_us) = {
            let mut cores = self.cores_free_at_us.borrow_mut();
            let Some(core) = cores.iter_mut().min() else { return };
            let started_us = now_us.max(*core);
            *core = started_us + takes_us as u64;
            (started_us, *core)
        };
        let queued = CountGuard::increment(&self.queued);
        sleep_until(recorder.instant_at(started_us)).await;
        drop(queued);
        recorder.ledgers.borrow_mut().attempts[entry].started_us = Some(started_us);
        sleep_until(recorder.instant_at(end_us)).await;
    }

    /// Ends the process: its connections are reset and its work is lost.
    fn kill(&self) {
        self.alive.send_replace(false);
        self.cores_free_at_us.borrow_mut().fill(0);
    }

    /// Starts a cold process.
    fn start(&self, recorder: &Recorder) {
        self.started_us.set(Some(recorder.now_us()));
        let start = UpstreamStart { upstream: self.index, at_us: recorder.now_us() };
        recorder.ledgers.borrow_mut().upstream_starts.push(start);
        self.alive.send_replace(true);
    }
}

/// Guard that counts one until it is dropped, which also happens when its task is aborted.
struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    fn increment(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        CountGuard(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Listens on this address, or on a free port of 127.0.0.1.
fn bind(address: Option<SocketAddr>) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0))))?;
    socket.listen(LISTEN_BACKLOG)
}

/// All emulated upstreams and their discovery. Dropping it stops them.
pub struct Fleet {
    /// The clock and ledgers of the run.
    pub recorder: Rc<Recorder>,
    /// The upstreams, by index.
    pub upstreams: Vec<Rc<Upstream>>,
    discovery: Rc<Discovery>,
    /// The address of discovery for each balancer.
    pub discovery_addresses: Vec<SocketAddr>,
    tasks: Vec<JoinHandle<()>>,
}

/// The state of discovery.
struct Discovery {
    /// The version of the list of upstreams.
    version: Cell<u64>,
    /// Whether each upstream is listed as leaving.
    leaving: RefCell<Vec<bool>>,
    /// Whether it answers everything with 503.
    is_down: Cell<bool>,
    /// Wakes the watches.
    changed: Notify,
}

impl Fleet {
    /// Starts all upstreams and discovery, which listen at addresses of their own for each balancer.
    ///
    /// # Errors
    /// A listening socket could not be opened.
    pub fn start(
        recorder: Rc<Recorder>,
        specs: Vec<UpstreamSpec>,
        rules: &Rules,
        balancers: u32,
    ) -> io::Result<Fleet> {
        let discovery = Rc::new(Discovery {
            version: Cell::new(1),
            leaving: RefCell::new(vec![false; specs.len()]),
            is_down: Cell::new(false),
            changed: Notify::new(),
        });
        let (mut upstreams, mut tasks, mut discovery_addresses) = (Vec::new(), Vec::new(), Vec::new());
        for (index, spec) in specs.into_iter().enumerate() {
            let first_listener = bind(Some(SocketAddr::from(([127, 1, 0, 1], 0))))?;
            let upstream = Rc::new(Upstream {
                index,
                cores_free_at_us: RefCell::new(vec![0; spec.cores as usize]),
                spec,
                warm_up_us: rules.warm_up_ms * 1000,
                initial_capacity_share: rules.initial_capacity_share,
                port: first_listener.local_addr()?.port(),
                faults: RefCell::default(),
                started_us: Cell::new(None),
                alive: watch::channel(true).0,
                incarnation: Cell::new(0),
                queued: Cell::new(0),
                open_connections: Cell::new(0),
                in_flight: Cell::new(0),
                request_count: Cell::new(0),
            });
            let mut first_listener = Some(first_listener);
            for balancer in 0..balancers {
                let listener = match first_listener.take() {
                    Some(listener) => listener,
                    None => bind(Some(upstream.address_for(balancer)))?,
                };
                let accepting = upstream.clone().accept_connections(recorder.clone(), listener, balancer);
                tasks.push(spawn_local(accepting));
            }
            upstreams.push(upstream);
        }
        let mut fleet = Fleet { recorder, upstreams, discovery, discovery_addresses: Vec::new(), tasks };
        for balancer in 0..balancers {
            let listener = bind(None)?;
            discovery_addresses.push(listener.local_addr()?);
            let (recorder, upstreams, discovery) =
                (fleet.recorder.clone(), fleet.upstreams.clone(), fleet.discovery.clone());
            fleet.tasks.push(spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let (recorder, upstreams, discovery) =
                        (recorder.clone(), upstreams.clone(), discovery.clone());
                    let connection = HttpConnection::new(stream);
                    spawn_local(
                        async move { discovery.serve(&recorder, &upstreams, connection, balancer).await },
                    );
                }
            }));
        }
        fleet.discovery_addresses = discovery_addresses;
        Ok(fleet)
    }

    /// The list of upstreams with which a balancer is configured at its start.
    pub fn initial_list(&self, balancer: u32) -> serde_json::Value {
        self.discovery.upstream_list(&self.recorder, &self.upstreams, balancer)
    }

    /// Waits for a fault's start, injects it, and ends it after its duration. `load_start_us` is the time from which
    /// the scenario counts.
    pub async fn inject_fault(&self, fault: &Fault, load_start_us: u64) {
        let at_us = load_start_us + (fault.at_seconds * 1e6) as u64;
        sleep_until(self.recorder.instant_at(at_us)).await;
        let Some(upstream) = self.upstreams.get(fault.target_index) else { return };
        let in_zone = self.upstreams.iter().filter(|upstream| upstream.spec.zone == fault.zone);
        match fault.kind {
            FaultKind::Kill => upstream.kill(),
            FaultKind::KillZone => in_zone.clone().for_each(|upstream| upstream.kill()),
            FaultKind::Drain | FaultKind::Replace => self.discovery.mark_leaving(fault.target_index),
            FaultKind::DiscoveryDown => self.discovery.is_down.set(true),
            kind => upstream.faults.borrow_mut().push(ActiveFault { kind, factor: fault.factor }),
        }
        self.discovery.changed.notify_waiters();
        let Some(duration_seconds) = fault.duration_seconds else { return };
        sleep_until(self.recorder.instant_at(at_us + (duration_seconds * 1e6) as u64)).await;
        match fault.kind {
            FaultKind::Kill => {
                upstream.start(&self.recorder);
                self.discovery.publish_change();
            }
            FaultKind::KillZone => {
                in_zone.for_each(|upstream| upstream.start(&self.recorder));
                self.discovery.publish_change();
            }
            FaultKind::Replace => {
                upstream.kill();
                // The tasks of the old process have to see its end before the next one listens on the same port.
                let restart_us = self.recorder.now_us() + REPLACEMENT_DELAY_US;
                sleep_until(self.recorder.instant_at(restart_us)).await;
                upstream.incarnation.set(upstream.incarnation.get() + 1);
                upstream.start(&self.recorder);
                self.discovery.mark_active(fault.target_index);
            }
            FaultKind::Drain => {}
            FaultKind::DiscoveryDown => self.discovery.is_down.set(false),
            kind => upstream.faults.borrow_mut().retain(|active| active.kind != kind),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Discovery {
    /// Raises the version and wakes the watches.
    fn publish_change(&self) {
        self.version.set(self.version.get() + 1);
        self.changed.notify_waiters();
    }

    fn mark_active(&self, upstream: usize) {
        self.leaving.borrow_mut()[upstream] = false;
        self.publish_change();
    }

    fn mark_leaving(&self, upstream: usize) {
        self.publish_change();
        self.leaving.borrow_mut()[upstream] = true;
    }

    /// The list of upstreams in the form of the discovery protocol.
    fn upstream_list(
        &self,
        recorder: &Recorder,
        upstreams: &[Rc<Upstream>],
        balancer: u32,
    ) -> serde_json::Value {
        let entry = |(index, upstream): (usize, &Rc<Upstream>)| {
            let (spec, is_leaving) = (&upstream.spec, self.leaving.borrow()[index]);
            json!({
                "uid": format!("u{index}-{}", upstream.incarnation.get()),
                "endpoint": upstream.address_for(balancer).to_string(),
                "az": spec.zone,
                "pod_group": spec.group,
                "model": "m",
                "state": if is_leaving { "leaving" } else { "active" },
                "capacity_hint": f64::from(spec.cores) * spec.speed_factor,
                "boot_ms": upstream.started_us.get().map_or(0, |at_us| recorder.start_unix_ms + at_us / 1000),
            })
        };
        let targets: Vec<_> = upstreams.iter().enumerate().map(entry).collect();
        json!({ "rev": self.version.get(), "all": true, "targets": targets })
    }

    /// Answers a balancer's requests for the list. A request with `from` is a watch: it is held for up to `hold_ms`
    /// until the list is newer than that version.
    async fn serve(
        &self,
        recorder: &Recorder,
        upstreams: &[Rc<Upstream>],
        mut connection: HttpConnection,
        balancer: u32,
    ) {
        while let Ok(Some(request)) = connection.read_request().await {
            let parameter = |name: &str| {
                let (_, query) = request.path.split_once('?')?;
                query
                    .split('&')
                    .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            if let Some(from) = parameter("from") {
                let hold = Duration::from_millis(parameter("hold_ms").unwrap_or_default().min(MAX_WATCH_MS));
                let change = async {
                    while self.version.get() <= from && !self.is_down.get() {
                        self.changed.notified().await;
                    }
                };
                let _ = timeout(hold, change).await;
            }
            if self.is_down.get() {
                let _ = connection.write(&format_response(503, "", "")).await;
                return;
            }
            let list = self.upstream_list(recorder, upstreams, balancer);
            let leaving: Vec<usize> =
                (0..upstreams.len()).filter(|index| self.leaving.borrow()[*index]).collect();
            if connection.write(&format_response(200, "", &list.to_string())).await.is_err() {
                return;
            }
            let (at_us, mut ledgers) = (recorder.now_us(), recorder.ledgers.borrow_mut());
            for upstream in leaving {
                let incarnation = upstreams[upstream].incarnation.get();
                let is_same = |notice: &DrainNotice| {
                    (notice.balancer, notice.upstream, notice.incarnation)
                        == (balancer, upstream, incarnation)
                };
                if !ledgers.drain_notices.iter().any(is_same) {
                    ledgers.drain_notices.push(DrainNotice { balancer, upstream, incarnation, at_us });
                }
            }
        }
    }
}
