use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pondlb::{Balancer, Lists, Tenths};
use pondlb_terms::Links;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

use super::setup::{Given, Setup};
use crate::routing::{Directory, Exchange, Note};
use crate::transport::{
    Ask, Clock, Crowd, Follower, Front, Patience, Phase, Pool, Postings, discover, follow_control, listen,
    span,
};

/// The steps of an orderly end, each counted from the signal. A planned restart leaves as long as the longest
/// expiry, 3 s at most, and 0.7 s more until it kills.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Farewell {
    /// Until then all goes on: clients keep what connections they have for as long as these stay open, and
    /// the other balancers may just be restarting too.
    leaving: Duration,
    /// A txn may have more time left than the program has: its answer comes by then, or the kill would lose
    /// it.
    answered: Tenths,
    /// However slow a client is with its request, the program is gone before it is killed.
    at_most: Duration,
}

impl Farewell {
    pub(super) fn new(expiry: Option<Tenths>) -> Self {
        let expiry = expiry.map(|expiry| expiry.min(LONGEST_EXPIRY));
        let killed = expiry.unwrap_or(LONGEST_EXPIRY) + KILL_AFTER;
        let answered = killed - UNANSWERED;
        // What comes last still has time for a quick answer.
        let stays = expiry.map_or(0, |_| answered.saturating_sub(LAST_CHANCE));
        let leaving = span(stays.max(LEAVING.min(answered)));
        Farewell { leaving, answered, at_most: span(killed - MARGIN) }
    }
}

const LONGEST_EXPIRY: Tenths = 30_000;
const KILL_AFTER: Tenths = 7000;
/// So much before the kill.
const UNANSWERED: Tenths = 4000;
const MARGIN: Tenths = 2000;
const LAST_CHANCE: Tenths = 4000;
/// Clients that are new to it come for up to 0.4 s.
const LEAVING: Tenths = 6000;
/// So much longer than the settings say is each limit where it is kept on sockets.
const ON_SOCKETS: Tenths = 500;
/// For a late loop and the way to the client.
const SLACK: Tenths = 50;
const BATCH: usize = 256;
/// A whole state from control servers may take this part of the memory, beside what is served.
const STATE_SHARE: usize = 4;

/// The running program: its phase, and the loop that hands what happens to the exchange.
pub struct Service {
    phase: watch::Sender<Phase>,
    clock: Clock,
    exchange: Exchange<Postings>,
    notes: mpsc::UnboundedReceiver<Note>,
    crowd: Rc<Crowd>,
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    /// As the configuration last read says.
    given: Given,
    asks: mpsc::UnboundedSender<Ask>,
    told_to_end: Option<Instant>,
    farewell: Farewell,
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
        let own_number = terms.own_number;
        // Control servers bring the list unasked; discovery does so on the simulator's wire only.
        terms.lists = match terms.lists {
            _ if setup.control.is_some() => Lists::Unasked,
            Lists::Unasked => Lists::Agent,
            asked => asked,
        };
        let clock = Clock::start();
        let (phase, phase_seen) = watch::channel(Phase::Starting);
        let (notes_in, notes) = mpsc::unbounded_channel();
        let (asks_in, asks) = mpsc::unbounded_channel();
        let pool = Pool::new(setup.budget.upstreams, span(links.idle / 2), span(connect_within(&links)));
        spawn_local(pool.clone().sweep());
        let memory = setup.budget.memory;
        let crowd = Crowd::new(setup.budget.clients, links.most_open as usize, memory);
        let front = Front {
            crowd: crowd.clone(),
            schemes: setup.deployment.names.schemes.clone(),
            cool_down: terms.cool_down.map(|longest| longest / 2),
            notes: notes_in.clone(),
            phase: phase_seen,
        };
        spawn_local(listen(listener, Rc::new(front)));
        let directory = Directory::new(setup.deployment.names, clock.unix_start());
        let balancer = Balancer::new(terms, setup.seed);
        if let Some(discovery) = setup.discovery {
            spawn_local(discover(discovery, setup.known.version, Patience::new(), asks, notes_in.clone()));
        }
        if let Some(control) = setup.control.clone() {
            let follower = Follower {
                name: setup.name.clone(),
                number: own_number.into(),
                seed: setup.seed,
                state_bytes: memory.most / STATE_SHARE,
                remembered: setup.known.targets.iter().map(|target| target.upstream.clone()).collect(),
            };
            spawn_local(follow_control(control, follower, notes_in.clone()));
        }
        let carrier =
            Postings { pool, clock, memory, notes: notes_in, asks: asks_in.clone(), probing: setup.probing };
        let mut exchange = Exchange::new(balancer, directory, carrier, SLACK);
        if setup.control.is_some() {
            exchange.await_state();
        }
        exchange.remember(clock.now(), setup.known);
        log::info!("{} listens on {address}: {:?}", setup.name, setup.budget);
        Ok(Service {
            phase,
            clock,
            exchange,
            notes,
            crowd,
            terminate,
            interrupt,
            hangup,
            given,
            asks: asks_in,
            told_to_end: None,
            farewell: Farewell::new(links.expiry),
        })
    }

    pub async fn run(mut self) -> io::Result<()> {
        let mut batch = Vec::with_capacity(BATCH);
        while !self.is_over() {
            self.note_phase();
            let wake = self.exchange.wake_at().map(|at| self.clock.instant(at));
            let Farewell { leaving, at_most, .. } = self.farewell;
            let turn =
                self.told_to_end.map(|at| at + if self.is(Phase::Closing) { at_most } else { leaving });
            let next = wake.into_iter().chain(turn.filter(|at| *at > Instant::now())).min();
            let running = self.told_to_end.is_none();
            tokio::select! {
                biased;
                _ = self.terminate.recv(), if running => self.leave(),
                _ = self.interrupt.recv(), if running => self.leave(),
                _ = self.hangup.recv() => self.read_anew(),
                _ = self.notes.recv_many(&mut batch, BATCH) => {}
                () = self.crowd.changed.notified(), if self.is(Phase::Closing) => {}
                () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {}
            }
            self.exchange.step(self.clock.now(), batch.drain(..));
        }
        log::info!("ended: nothing is owed");
        Ok(())
    }

    /// Only discovery can move while txns are open. A file that can't be used must not end a program that
    /// serves, so everything stays as it was.
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
        match given.discovery {
            Some(discovery) => log::info!("configuration read anew: discovery is at {discovery}"),
            None => log::info!("configuration read anew: control servers are followed"),
        }
        // From control servers to discovery and back takes a restart, as has been logged.
        if let (Some(now), Some(before)) = (given.discovery, self.given.discovery)
            && now != before
        {
            let _ended = self.asks.send(Ask::Move(now));
            self.given.discovery = Some(now);
        }
    }

    fn leave(&mut self) {
        self.told_to_end = Some(Instant::now());
        self.exchange.end_by(self.clock.now() + self.farewell.answered);
    }

    fn is(&self, phase: Phase) -> bool {
        *self.phase.borrow() == phase
    }

    fn note_phase(&mut self) {
        let phase = match self.told_to_end {
            Some(at) if at.elapsed() >= self.farewell.leaving => Phase::Closing,
            Some(_) => Phase::Leaving,
            None if self.exchange.knows_upstreams() => Phase::Serving,
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
        let late = self.told_to_end.is_some_and(|at| at.elapsed() >= self.farewell.at_most);
        self.is(Phase::Closing) && self.exchange.owed() == 0 && (self.crowd.is_empty() || late)
    }
}

/// A posting that is still connecting when its upstream is told to drain must leave within the grace. With none
/// at all, what the limit is longer on sockets is left.
pub(super) fn connect_within(links: &Links) -> Tenths {
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
