//! The emulated fleet: upstreams and discovery on loopback, as tasks of one loop.

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

use crate::http::{HttpConnection, format_response};
use crate::ledger::{DrainNotice, Ledgers, UpstreamAttempt, UpstreamStart};
use crate::scenario::{Fault, FaultKind, Rules, UpstreamSpec};

/// The run's clock, in microseconds, and its ledgers.
pub struct Recorder {
    start: Instant,
    unix_ms: u64,
    pub ledgers: RefCell<Ledgers>,
    /// Bodies of answers are numbered, so that none is like another.
    answers: Cell<u64>,
}

impl Recorder {
    pub fn new() -> Rc<Recorder> {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let unix_ms = u64::try_from(since.as_millis()).unwrap_or_default();
        Rc::new(Recorder {
            start: Instant::now(),
            unix_ms,
            ledgers: RefCell::default(),
            answers: Cell::new(0),
        })
    }

    pub fn now_us(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    pub fn instant_at(&self, at: u64) -> Instant {
        self.start + Duration::from_micros(at)
    }

    /// Waits a little: what can't be accepted stands there still, and to try at once would spin.
    async fn ran_short(&self) {
        self.ledgers.borrow_mut().descriptor_shortages += 1;
        sleep_until(Instant::now() + Duration::from_millis(10)).await;
    }

    fn note(&self, run: &UpstreamAttempt) -> usize {
        let mut ledgers = self.ledgers.borrow_mut();
        ledgers.attempts.push(run.clone());
        ledgers.attempts.len() - 1
    }
}

/// An attempt that is out, for as long as this is kept: until its answer leaves, its balancer has closed its
/// connection, or its upstream has died. The ledgers may have been taken by then.
struct Out<'a>(&'a Recorder, usize);

impl Drop for Out<'_> {
    fn drop(&mut self) {
        if let Some(run) = self.0.ledgers.borrow_mut().attempts.get_mut(self.1) {
            run.ended_us = Some(self.0.now_us());
        }
    }
}

/// One upstream: a process that may be dead, and the faults that are on.
pub struct Upstream {
    number: usize,
    machine: UpstreamSpec,
    warm: u64,
    cold_share: f64,
    port: u16,
    faults: RefCell<Vec<(FaultKind, f64)>>,
    /// When the present process started; none where it has been up since long ago.
    boot: Cell<Option<u64>>,
    alive: watch::Sender<bool>,
    /// How many have been replaced here; each has a uid of its own.
    life: Cell<u32>,
    /// When each core is free again.
    free: RefCell<Vec<u64>>,
    waiting: Cell<usize>,
    open: Cell<usize>,
    held: Cell<usize>,
    requests: Cell<u64>,
}

impl Upstream {
    fn has(&self, kind: FaultKind) -> Option<f64> {
        self.faults.borrow().iter().find(|(k, _)| *k == kind).map(|(_, factor)| *factor)
    }

    /// The part of its speed that a cold process has.
    fn present(&self, now: u64) -> f64 {
        let age = self.boot.get().map_or(self.warm, |at| now.saturating_sub(at));
        self.cold_share + (1.0 - self.cold_share) * (age as f64 / self.warm.max(1) as f64).min(1.0)
    }

    async fn listen(self: Rc<Self>, book: Rc<Recorder>, listener: TcpListener, balancer: u32) {
        let mut alive = self.alive.subscribe();
        let mut listener = Some(listener);
        loop {
            let Some(open) = &listener else {
                // Dead: the port is free, and refuses. It is listened on again at the same address.
                if alive.wait_for(|up| *up).await.is_err() {
                    return;
                }
                listener = bind(Some(self.address_for(balancer))).ok();
                continue;
            };
            tokio::select! {
                came = open.accept() => {
                    let Ok((stream, _)) = came else {
                        book.ran_short().await;
                        continue;
                    };
                    if self.open.get() < self.machine.max_connections {
                        spawn_local(self.clone().serve(book.clone(), stream, balancer));
                    }
                }
                _ = alive.wait_for(|up| !*up) => listener = None,
            }
        }
    }

    /// Each balancer has an address of its own to it, so that an attempt tells whose it is.
    pub fn address_for(&self, balancer: u32) -> SocketAddr {
        SocketAddr::from(([127, 1, (balancer >> 8) as u8, (balancer & 255) as u8 + 1], self.port))
    }

    async fn serve(self: Rc<Self>, book: Rc<Recorder>, stream: TcpStream, balancer: u32) {
        let mut alive = self.alive.subscribe();
        self.open.set(self.open.get() + 1);
        let mut wire = HttpConnection::new(stream);
        tokio::select! {
            _ = self.answers(&book, &mut wire, balancer) => {}
            _ = alive.wait_for(|up| !*up) => {
                // A process that dies resets its connections.
                let _unset = wire.stream.set_zero_linger();
            }
        }
        self.open.set(self.open.get() - 1);
    }

    async fn answers(&self, book: &Rc<Recorder>, wire: &mut HttpConnection, balancer: u32) -> io::Result<()> {
        let mut handshake = (self.machine.handshake_ms * 1000.0) as u64;
        while wire.wait_for_data().await? {
            let first_byte = book.now_us();
            let Some(request) = wire.read_request().await? else { return Ok(()) };
            let last_byte = book.now_us();
            let load = format!("Srv-Load: rif={},q={}\r\n", self.held.get(), self.waiting.get());
            if request.path == "/load" {
                book.ledgers.borrow_mut().probe_senders.push(balancer);
                wire.write(&format_response(200, &load, "")).await?;
                continue;
            }
            let id = request.header("Req-Id").unwrap_or_default().to_string();
            let work = request.header("Req-Cost").and_then(|c| c.parse().ok()).unwrap_or_default();
            let (upstream, life) = (self.number, self.life.get());
            let run = UpstreamAttempt {
                id,
                upstream,
                incarnation: life,
                balancer,
                first_byte_us: first_byte,
                last_byte_us: last_byte,
                work_us: work,
                ..UpstreamAttempt::default()
            };
            let entry = book.note(&run);
            let out = Out(book, entry);
            self.requests.set(self.requests.get() + 1);
            if self
                .has(FaultKind::Silent)
                .is_some_and(|one_in| self.requests.get().is_multiple_of(one_in as u64))
            {
                return wire.wait_for_data().await.map(drop);
            }
            if self.waiting.get() >= self.machine.max_queued {
                wire.write(&format_response(503, "Srv-Declined: 1\r\n", "")).await?;
                continue;
            }
            if self.has(FaultKind::Errors).is_some() {
                book.ledgers.borrow_mut().attempts[entry].started_us = Some(book.now_us());
                wire.write(&format_response(500, &load, "")).await?;
                continue;
            }
            let held = Count::one(&self.held);
            // Goes on when the balancer gives up, but then the attempt is out no longer.
            let work = self.work(book, entry, run.work_us + std::mem::take(&mut handshake));
            tokio::pin!(work);
            let mut out = Some(out);
            tokio::select! {
                biased;
                () = &mut work => {}
                more = wire.wait_for_data() => {
                    out.take_if(|_| !matches!(more, Ok(true)));
                    work.await;
                }
            }
            if self.has(FaultKind::Hang).is_some() {
                return wire.wait_for_data().await.map(drop);
            }
            drop((held, out));
            let number = book.answers.get();
            book.answers.set(number + 1);
            let body = format!("{} by {} as answer {number}", run.id, self.number);
            let text = format_response(200, &load, &body);
            if self.has(FaultKind::Cut).is_some() {
                return wire.write(&text[..text.len() / 2]).await;
            }
            if self.has(FaultKind::Spoil).is_some() {
                wire.write("\u{1}\u{2}noise, and no answer\r\n\r\n").await?;
                continue;
            }
            book.ledgers.borrow_mut().attempts[entry].answer_body = Some(body);
            wire.write(&text).await?;
        }
        Ok(())
    }

    /// Waits for the first core that is free, then for the work's time. A core is a time at which it is free
    /// again, so hundreds of them need no processor.
    async fn work(&self, book: &Recorder, entry: usize, work: u64) {
        let now = book.now_us();
        let slower = self.has(FaultKind::Slow).unwrap_or(1.0);
        let takes = work as f64 * slower / (self.machine.speed_factor * self.present(now));
        let (began, end) = {
            let mut free = self.free.borrow_mut();
            let Some(core) = free.iter_mut().min() else { return };
            let began = now.max(*core);
            *core = began + takes as u64;
            (began, *core)
        };
        let waiting = Count::one(&self.waiting);
        sleep_until(book.instant_at(began)).await;
        drop(waiting);
        book.ledgers.borrow_mut().attempts[entry].started_us = Some(began);
        sleep_until(book.instant_at(end)).await;
    }

    fn die(&self) {
        self.alive.send_replace(false);
        self.free.borrow_mut().fill(0);
    }

    fn boot(&self, book: &Recorder) {
        self.boot.set(Some(book.now_us()));
        book.ledgers
            .borrow_mut()
            .upstream_starts
            .push(UpstreamStart { upstream: self.number, at_us: book.now_us() });
        self.alive.send_replace(true);
    }
}

/// Counts one for as long as it is kept, also where its task is ended.
struct Count<'a>(&'a Cell<usize>);

impl<'a> Count<'a> {
    fn one(cell: &'a Cell<usize>) -> Self {
        cell.set(cell.get() + 1);
        Count(cell)
    }
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn bind(address: Option<SocketAddr>) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0))))?;
    socket.listen(1024)
}

/// Between the end of an upstream's process and the start of the one in its place.
const REPLACED_AFTER: u64 = 100_000;

pub struct Fleet {
    pub recorder: Rc<Recorder>,
    pub upstreams: Vec<Rc<Upstream>>,
    state: Rc<List>,
    pub discovery_addresses: Vec<SocketAddr>,
    tasks: Vec<JoinHandle<()>>,
}

/// What discovery knows.
struct List {
    version: Cell<u64>,
    /// Which upstreams are listed as leaving.
    leaves: RefCell<Vec<bool>>,
    down: Cell<bool>,
    changed: Notify,
}

impl Fleet {
    /// Listens for each balancer at addresses of its own.
    pub fn start(
        book: Rc<Recorder>,
        machines: Vec<UpstreamSpec>,
        rules: &Rules,
        balancers: u32,
    ) -> io::Result<Fleet> {
        let leaves = RefCell::new(vec![false; machines.len()]);
        let (version, down, changed) = (Cell::new(1), Cell::new(false), Notify::new());
        let state = Rc::new(List { version, leaves, down, changed });
        let (mut upstreams, mut tasks, mut discovery) = (Vec::new(), Vec::new(), Vec::new());
        for (number, machine) in machines.into_iter().enumerate() {
            let first = bind(Some(SocketAddr::from(([127, 1, 0, 1], 0))))?;
            let upstream = Rc::new(Upstream {
                number,
                free: RefCell::new(vec![0; machine.cores as usize]),
                machine,
                warm: rules.warm_up_ms * 1000,
                cold_share: rules.initial_capacity_share,
                port: first.local_addr()?.port(),
                faults: RefCell::default(),
                boot: Cell::new(None),
                alive: watch::channel(true).0,
                life: Cell::new(0),
                waiting: Cell::new(0),
                open: Cell::new(0),
                held: Cell::new(0),
                requests: Cell::new(0),
            });
            let mut first = Some(first);
            for balancer in 0..balancers {
                let listener = first.take().map_or_else(|| bind(Some(upstream.address_for(balancer))), Ok)?;
                tasks.push(spawn_local(upstream.clone().listen(book.clone(), listener, balancer)));
            }
            upstreams.push(upstream);
        }
        let mut fleet = Fleet { recorder: book, upstreams, state, discovery_addresses: Vec::new(), tasks };
        for balancer in 0..balancers {
            let listener = bind(None)?;
            discovery.push(listener.local_addr()?);
            let (book, ups, state) = (fleet.recorder.clone(), fleet.upstreams.clone(), fleet.state.clone());
            fleet.tasks.push(spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let (book, ups, state) = (book.clone(), ups.clone(), state.clone());
                    spawn_local(async move {
                        state.serve(&book, &ups, HttpConnection::new(stream), balancer).await
                    });
                }
            }));
        }
        fleet.discovery_addresses = discovery;
        Ok(fleet)
    }

    /// The list as a balancer remembers it from before its start.
    pub fn initial_list(&self, balancer: u32) -> serde_json::Value {
        self.state.list(&self.recorder, &self.upstreams, balancer)
    }

    /// Plays one fault from its moment to its end.
    pub async fn inject_fault(&self, trouble: &Fault, from: u64) {
        let at = from + (trouble.at_seconds * 1e6) as u64;
        sleep_until(self.recorder.instant_at(at)).await;
        let Some(upstream) = self.upstreams.get(trouble.target_index) else { return };
        let in_zone = self.upstreams.iter().filter(|up| up.machine.zone == trouble.zone);
        match trouble.kind {
            FaultKind::Kill => upstream.die(),
            FaultKind::KillZone => in_zone.clone().for_each(|up| up.die()),
            FaultKind::Drain | FaultKind::Replace => self.state.leaves(trouble.target_index),
            FaultKind::DiscoveryDown => self.state.down.set(true),
            kind => upstream.faults.borrow_mut().push((kind, trouble.factor)),
        }
        self.state.changed.notify_waiters();
        let Some(lasts) = trouble.duration_seconds else { return };
        sleep_until(self.recorder.instant_at(at + (lasts * 1e6) as u64)).await;
        match trouble.kind {
            FaultKind::Kill => {
                upstream.boot(&self.recorder);
                self.state.news();
            }
            FaultKind::KillZone => {
                in_zone.for_each(|up| up.boot(&self.recorder));
                self.state.news();
            }
            FaultKind::Replace => {
                upstream.die();
                // Its tasks have to see that it died before another listens there.
                sleep_until(self.recorder.instant_at(self.recorder.now_us() + REPLACED_AFTER)).await;
                upstream.life.set(upstream.life.get() + 1);
                upstream.boot(&self.recorder);
                self.state.stays(trouble.target_index);
            }
            FaultKind::Drain => {}
            FaultKind::DiscoveryDown => self.state.down.set(false),
            kind => upstream.faults.borrow_mut().retain(|(k, _)| *k != kind),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl List {
    fn news(&self) {
        self.version.set(self.version.get() + 1);
        self.changed.notify_waiters();
    }

    fn stays(&self, which: usize) {
        self.leaves.borrow_mut()[which] = false;
        self.news();
    }

    fn leaves(&self, which: usize) {
        self.news();
        self.leaves.borrow_mut()[which] = true;
    }

    fn list(&self, book: &Recorder, upstreams: &[Rc<Upstream>], balancer: u32) -> serde_json::Value {
        let entry = |(number, up): (usize, &Rc<Upstream>)| {
            let leaves = self.leaves.borrow()[number];
            json!({
                "uid": format!("u{number}-{}", up.life.get()), "endpoint": up.address_for(balancer).to_string(),
                "az": up.machine.zone, "pod_group": up.machine.group, "model": "m", "state": if leaves { "leaving" } else { "active" },
                "capacity_hint": f64::from(up.machine.cores) * up.machine.speed_factor,
                "boot_ms": up.boot.get().map_or(0, |at| book.unix_ms + at / 1000),
            })
        };
        let targets: Vec<_> = upstreams.iter().enumerate().map(entry).collect();
        json!({ "rev": self.version.get(), "all": true, "targets": targets })
    }

    async fn serve(
        &self,
        book: &Recorder,
        upstreams: &[Rc<Upstream>],
        mut wire: HttpConnection,
        balancer: u32,
    ) {
        while let Ok(Some(request)) = wire.read_request().await {
            let number = |name: &str| {
                let (_, query) = request.path.split_once('?')?;
                query
                    .split('&')
                    .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            if let Some(from) = number("from") {
                let held = Duration::from_millis(number("hold_ms").unwrap_or_default().min(60_000));
                let news = async {
                    while self.version.get() <= from && !self.down.get() {
                        self.changed.notified().await;
                    }
                };
                let _nothing_new = timeout(held, news).await;
            }
            if self.down.get() {
                let _ended = wire.write(&format_response(503, "", "")).await;
                return;
            }
            let list = self.list(book, upstreams, balancer);
            let leaving: Vec<usize> = (0..upstreams.len()).filter(|n| self.leaves.borrow()[*n]).collect();
            if wire.write(&format_response(200, "", &list.to_string())).await.is_err() {
                return;
            }
            let (at, mut ledgers) = (book.now_us(), book.ledgers.borrow_mut());
            for upstream in leaving {
                let life = upstreams[upstream].life.get();
                let is_it =
                    |t: &DrainNotice| (t.balancer, t.upstream, t.incarnation) == (balancer, upstream, life);
                if !ledgers.drain_notices.iter().any(is_it) {
                    ledgers.drain_notices.push(DrainNotice {
                        balancer,
                        upstream,
                        incarnation: life,
                        at_us: at,
                    });
                }
            }
        }
    }
}
