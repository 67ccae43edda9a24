use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pondlb::{Balancer, ListSource, TenthMillis};
use pondlb_control::Change;
use pondlb_control_net::FollowerStatus;
use pondlb_terms::{Fault, Links, SettingChange};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

use super::configuration::{Configuration, cool_down};
use super::setup::{Given, Setup};
use crate::protocol::client::Classes;
use crate::protocol::control::setting_change;
use crate::protocol::discovery::UpstreamList;
use crate::routing::{Directory, Exchange, Metrics, Note};
use crate::transport::{
    Ask, Attempts, Backoff, Clock, ConnectionTable, Follower, Front, ListLimit, Patience, Phase, Pool,
    SettingsUpdate, discover, follow_control, listen, span,
};

/// The steps of an orderly end, each counted from the signal. A planned restart leaves as long as the longest
/// deadline, 3 s at most, and 0.7 s more until it kills.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ShutdownTimeline {
    /// Until then all goes on: clients keep what connections they have for as long as these stay open, and
    /// the other balancers may just be restarting too.
    leaving: Duration,
    /// A request may have more time left than the program has: its answer comes by then, or the kill would lose
    /// it.
    answered: TenthMillis,
    /// However slow a client is with its request, the program is gone before it is killed.
    at_most: Duration,
}

impl ShutdownTimeline {
    pub(super) fn new(deadline: Option<TenthMillis>) -> Self {
        let deadline = deadline.map(|deadline| deadline.min(LONGEST_DEADLINE));
        let killed = deadline.unwrap_or(LONGEST_DEADLINE) + KILL_AFTER;
        let answered = killed - UNANSWERED;
        // What comes last still has time for a quick answer.
        let stays = deadline.map_or(0, |_| answered.saturating_sub(LAST_CHANCE));
        let leaving = span(stays.max(LEAVING.min(answered)));
        ShutdownTimeline { leaving, answered, at_most: span(killed - MARGIN) }
    }
}

const LONGEST_DEADLINE: TenthMillis = 30_000;
const KILL_AFTER: TenthMillis = 7000;
/// So much before the kill.
const UNANSWERED: TenthMillis = 4000;
const MARGIN: TenthMillis = 2000;
const LAST_CHANCE: TenthMillis = 4000;
/// Clients that are new to it come for up to 0.4 s.
const LEAVING: TenthMillis = 6000;
/// So much longer than the settings say is each limit where it is kept on sockets.
const ON_SOCKETS: TenthMillis = 500;
/// A list that was made for a start may be as old as the time in which a dead process is replaced.
const RESTART_TIME: TenthMillis = 15_000;
/// For a late loop and the way to the client.
const SLACK: TenthMillis = 50;
const BATCH: usize = 256;
/// So long at most a new process is not ready since discovery has not confirmed its list.
const UNCONFIRMED_START: Duration = Duration::from_secs(5);
/// How often the counters are logged where they move.
const METRICS_EVERY: Duration = Duration::from_secs(10);
/// A whole state from control servers may take this part of the memory, beside what is served.
const STATE_SHARE: usize = 4;

/// The running program: its phase, and the loop that hands what happens to the exchange.
pub struct Service {
    phase: watch::Sender<Phase>,
    clock: Clock,
    exchange: Exchange<Attempts>,
    notes: mpsc::UnboundedReceiver<Note>,
    /// From control servers; closed where none are followed.
    settings: mpsc::UnboundedReceiver<SettingsUpdate>,
    /// Records from control servers that the settings as a whole do not allow so far.
    refused: Vec<Change>,
    control_status: Rc<FollowerStatus>,
    connections: Rc<ConnectionTable>,
    configuration: Configuration,
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    /// As the configuration last read says.
    given: Given,
    asks: mpsc::UnboundedSender<Ask>,
    started: Instant,
    told_to_end: Option<Instant>,
    shutdown: ShutdownTimeline,
    /// The counters as they were logged last, and when.
    logged: (Metrics, Instant),
}

impl Service {
    pub fn start(setup: Setup) -> io::Result<Service> {
        let (terminate, interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        let hangup = signal(SignalKind::hangup())?;
        let given = setup.given();
        let listener = bind(setup.listen)
            .map_err(|e| io::Error::new(e.kind(), format!("listen: {}: {e}", setup.listen)))?;
        let address = listener.local_addr()?;
        let (mut terms, links) = (setup.deployment.terms, setup.deployment.links);
        let own_number = terms.own_index;
        // Control servers bring the list unasked; discovery does so on the simulator's wire only.
        terms.list_source = match terms.list_source {
            _ if setup.control.is_some() => ListSource::Pushed,
            ListSource::Pushed => ListSource::LocalAgent,
            asked => asked,
        };
        let clock = Clock::start();
        let (phase, phase_seen) = watch::channel(Phase::Starting);
        let (notes_in, notes) = mpsc::unbounded_channel();
        let (asks_in, asks) = mpsc::unbounded_channel();
        let (settings_in, settings) = mpsc::unbounded_channel();
        let pool = Pool::new(setup.budget.upstreams, span(links.idle / 2), span(connect_within(&links)));
        spawn_local(pool.clone().sweep());
        let memory = setup.budget.memory;
        let connections = ConnectionTable::new(setup.budget.clients, links.most_open as usize, memory);
        let front = Rc::new(Front {
            connections: connections.clone(),
            classes: RefCell::new(numbered(&setup.deployment.names.classes)),
            cool_down: Cell::new(cool_down(terms.max_retry_after)),
            notes: notes_in.clone(),
            phase: phase_seen,
        });
        spawn_local(listen(listener, front.clone()));
        let configuration = Configuration { settings: setup.settings, front, pool: pool.clone() };
        let directory = Directory::new(setup.deployment.names, clock.unix_start());
        let balancer = Balancer::new(terms, setup.seed);
        if let Some(discovery) = setup.discovery {
            let limit = ListLimit { longest: setup.budget.longest_list, backoff: Backoff::new(setup.seed) };
            spawn_local(discover(
                discovery,
                setup.known.version,
                Patience::new(),
                limit,
                clock,
                asks,
                notes_in.clone(),
            ));
        }
        let control_status = Rc::new(FollowerStatus::default());
        if let Some(control) = setup.control.clone() {
            let follower = Follower {
                name: setup.name.clone(),
                number: own_number.into(),
                seed: setup.seed,
                state_bytes: memory.most / STATE_SHARE,
                settings: settings_in,
                status: control_status.clone(),
                remembered: setup.known.targets.iter().map(|target| target.upstream.clone()).collect(),
            };
            spawn_local(follow_control(control, follower, notes_in.clone()));
        }
        let carrier =
            Attempts { pool, clock, memory, notes: notes_in, asks: asks_in.clone(), probing: setup.probing };
        let mut exchange = Exchange::new(balancer, directory, carrier, SLACK);
        if setup.control.is_some() {
            exchange.await_state();
        }
        let current_at = setup.control.is_none().then(|| known_at(&setup.known, clock.now()));
        exchange.remember(clock.now(), setup.known, current_at);
        log::info!("{} listens on {address}: {:?}", setup.name, setup.budget);
        Ok(Service {
            phase,
            clock,
            exchange,
            notes,
            settings,
            refused: Vec::new(),
            control_status,
            connections,
            configuration,
            terminate,
            interrupt,
            hangup,
            given,
            asks: asks_in,
            started: Instant::now(),
            told_to_end: None,
            shutdown: ShutdownTimeline::new(links.longest_deadline),
            logged: (Metrics::default(), Instant::now()),
        })
    }

    pub async fn run(mut self) -> io::Result<()> {
        let mut batch = Vec::with_capacity(BATCH);
        while !self.is_over() {
            self.note_phase();
            let wake = self.exchange.wake_at().map(|at| self.clock.instant(at));
            let ShutdownTimeline { leaving, at_most, .. } = self.shutdown;
            let turn =
                self.told_to_end.map(|at| at + if self.is(Phase::Closing) { at_most } else { leaving });
            let next = wake.into_iter().chain(turn.filter(|at| *at > Instant::now())).min();
            let running = self.told_to_end.is_none();
            tokio::select! {
                biased;
                _ = self.terminate.recv(), if running => self.leave(),
                _ = self.interrupt.recv(), if running => self.leave(),
                _ = self.hangup.recv() => self.read_anew(),
                Some(update) = self.settings.recv() => self.put_settings_in_force(update),
                _ = self.notes.recv_many(&mut batch, BATCH) => {}
                () = self.connections.changed.notified(), if self.is(Phase::Closing) => {}
                () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {}
            }
            self.exchange.step(self.clock.now(), batch.drain(..));
            if self.logged.1.elapsed() >= METRICS_EVERY {
                self.log_metrics();
            }
        }
        self.log_metrics();
        log::info!("ended: nothing is owed");
        Ok(())
    }

    fn log_metrics(&mut self) {
        let metrics = self.exchange.metrics();
        if *metrics != self.logged.0 {
            log::info!("metrics: {metrics}");
        }
        self.logged = (metrics.clone(), Instant::now());
    }

    /// Discovery and most of the settings can change while requests are open. A file that can't be used must not end a
    /// program that serves, so everything stays as it was.
    fn read_anew(&mut self) {
        let setup = match Setup::read(|name| std::env::var(name).ok()) {
            Ok(setup) => setup,
            Err(faults) => {
                return log::error!("configuration: {}; the one before stays in force", faults.join("; "));
            }
        };
        let given = setup.given();
        for key in given.changed_since(&self.given) {
            log::warn!("configuration: {key}: the change takes a restart");
        }
        self.take_what_came();
        let (now, file) = (self.clock.now(), &setup.settings);
        if let Err(fault) = self.configuration.change_to(now, file, &mut self.exchange) {
            return log::error!("configuration: settings: {fault}; the one before stays in force");
        }
        self.note_links();
        self.retry_refused();
        match given.discovery {
            Some(discovery) => log::info!("configuration read anew: discovery is at {discovery}"),
            None => log::info!("configuration read anew: control servers are followed"),
        }
        // From control servers to discovery and back takes a restart, as has been logged.
        if let (Some(now), Some(before)) = (given.discovery, self.given.discovery)
            && now != before
        {
            self.exchange.move_discovery(self.clock.now());
            let _ended = self.asks.send(Ask::Move(now));
            self.given.discovery = Some(now);
        }
    }

    /// Puts changes of the settings by records in force: all of them or none.
    fn change_settings(&mut self, changes: &[SettingChange]) -> Result<(), Fault> {
        self.take_what_came();
        self.configuration.change(self.clock.now(), changes, &mut self.exchange)?;
        self.note_links();
        Ok(())
    }

    /// The records of a settings update together. Where the settings don't allow all of them, each that they do.
    fn put_settings_in_force(&mut self, SettingsUpdate { changes, applied }: SettingsUpdate) {
        self.refused.retain(|refused| changes.iter().all(|change| change.key != refused.key));
        let settings: Vec<SettingChange> = changes.iter().map(setting_change).collect();
        if let Err(fault) = self.change_settings(&settings) {
            log::error!("control: settings: {fault}; {} changes are tried one by one", changes.len());
            for (change, setting) in changes.iter().zip(&settings) {
                if let Err(fault) = self.change_settings(std::slice::from_ref(setting)) {
                    log::error!("control: {}: {fault}; it stays as it was", change.key);
                    self.refused.push(change.clone());
                }
            }
        }
        self.retry_refused();
        let _ended = applied.send(());
    }

    /// Puts records in force that the settings did not allow before, where they do now. Control servers are told of
    /// those that are left.
    fn retry_refused(&mut self) {
        for change in std::mem::take(&mut self.refused) {
            match self.change_settings(&[setting_change(&change)]) {
                Ok(()) => log::info!("control: {}: refused before, in force now", change.key),
                Err(_) => self.refused.push(change),
            }
        }
        self.control_status.set_unapplied_records(self.refused.len() as u64);
    }

    /// Requests that have come already were read with the classes as they were, whose numbers may be used again.
    fn take_what_came(&mut self) {
        let mut come = Vec::new();
        while let Ok(note) = self.notes.try_recv() {
            come.push(note);
        }
        self.exchange.step(self.clock.now(), come);
    }

    /// An end that has begun keeps its times.
    fn note_links(&mut self) {
        if self.told_to_end.is_none() {
            self.shutdown = ShutdownTimeline::new(self.configuration.links().longest_deadline);
        }
    }

    fn leave(&mut self) {
        self.told_to_end = Some(Instant::now());
        self.exchange.end_by(self.clock.now() + self.shutdown.answered);
    }

    fn is(&self, phase: Phase) -> bool {
        *self.phase.borrow() == phase
    }

    /// Clients are better served elsewhere for as long as nothing may be sent, but not for ever.
    fn may_serve(&self) -> bool {
        let is_ready = !self.exchange.is_list_stale() || self.started.elapsed() >= UNCONFIRMED_START;
        is_ready || self.is(Phase::Serving)
    }

    fn note_phase(&mut self) {
        let phase = match self.told_to_end {
            Some(at) if at.elapsed() >= self.shutdown.leaving => Phase::Closing,
            Some(_) => Phase::Leaving,
            None if self.exchange.knows_upstreams() && self.may_serve() => Phase::Serving,
            None => Phase::Starting,
        };
        self.phase.send_if_modified(|now| {
            let changed = *now != phase;
            if changed {
                log::info!("{phase:?}");
            }
            *now = phase;
            changed
        });
    }

    fn is_over(&self) -> bool {
        let late = self.told_to_end.is_some_and(|at| at.elapsed() >= self.shutdown.at_most);
        self.is(Phase::Closing) && self.exchange.owed() == 0 && (self.connections.is_empty() || late)
    }
}

/// An attempt that is still connecting when its upstream is told to drain must leave within the grace. With none
/// at all, what the limit is longer on sockets is left.
pub(super) fn connect_within(links: &Links) -> TenthMillis {
    links.connect_within.min((links.drain_grace + ON_SOCKETS) / 2)
}

/// Connections that wait to be taken. Hundreds may come at once, and one that finds no room here tries again
/// only after a second.
const BACKLOG: u32 = 1024;

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Up to when the list that a process starts with is known to be right. One of version 0 was made for this start. Any other
/// is as the process before this one had it, which may have had no word from discovery for long.
fn known_at(known: &UpstreamList, now: TenthMillis) -> TenthMillis {
    if known.version == 0 { now - RESTART_TIME } else { 0 }
}

/// The classes that requests may name; where a name stands twice, the first has it.
fn numbered(names: &[String]) -> Classes {
    let mut classes = Classes::new();
    for (number, name) in (0..).zip(names) {
        classes.entry(name.clone()).or_insert(number);
    }
    classes
}
