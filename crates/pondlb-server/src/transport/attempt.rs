//! Sends attempts to upstreams and reads their answers; asks upstreams for their load.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pondlb::{Load, Outcome, UpstreamId};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local, yield_now};
use tokio::time::{Instant, timeout_at};

use super::clock::Clock;
use super::discovery::Ask;
use super::memory::Memory;
use super::pool::{Link, NoLink, Pool};
use super::stream::{feed, write_all};
use crate::protocol::upstream::{ResponseReader, UpstreamResponse, encode_attempt, encode_probe};
use crate::routing::{AttemptHandle, AttemptResult, OutgoingAttempt, RouterEvent, Transport};

/// Carries attempts to upstreams, each in a task of its own.
pub struct Attempts {
    pub pool: Rc<Pool>,
    pub clock: Clock,
    pub memory: Memory,
    pub notes: mpsc::UnboundedSender<RouterEvent>,
    pub asks: mpsc::UnboundedSender<Ask>,
    /// How upstreams are asked for their load; nobody is where it is not said.
    pub probing: Option<Probing>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Probing {
    pub path: String,
    pub within: Duration,
}

/// Ends its task when it is dropped, and with it the connection that the task holds.
pub struct Task {
    handle: AbortHandle,
    written: Rc<Cell<bool>>,
}

impl AttemptHandle for Task {
    fn is_written(&self) -> bool {
        self.written.get()
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.handle.abort();
    }
}

impl Transport for Attempts {
    type Handle = Task;

    fn send_attempt(&mut self, order: OutgoingAttempt) -> Task {
        let (pool, clock, memory, notes) = (self.pool.clone(), self.clock, self.memory, self.notes.clone());
        let written = Rc::new(Cell::new(false));
        let is_written = written.clone();
        let task = spawn_local(async move {
            let attempt = order.id.clone();
            let end = carry(&pool, clock, memory, order, &is_written).await;
            let _ended = notes.send(RouterEvent::AttemptEnded { attempt, result: end });
        });
        Task { handle: task.abort_handle(), written }
    }

    fn probe(&mut self, upstream: UpstreamId, address: SocketAddr) {
        let Some(probing) = self.probing.clone() else { return };
        let (pool, clock, memory, notes) = (self.pool.clone(), self.clock, self.memory, self.notes.clone());
        spawn_local(async move {
            let (start, until) = (clock.now(), Instant::now() + probing.within);
            // Against one that never ends: it holds its connection no longer than this.
            let asked = timeout_at(until, ask(&pool, memory, &probing.path, &upstream, address, until)).await;
            let (outcome, load) = asked.unwrap_or((Outcome::TimedOut, Load::default()));
            let _ended = notes.send(RouterEvent::ProbeEnded {
                upstream,
                outcome,
                duration: clock.now() - start,
                load,
            });
        });
    }

    fn watch_list(&mut self, on: bool) {
        let _ended = self.asks.send(Ask::Watch(on));
    }

    fn fetch_list(&mut self) {
        let _ended = self.asks.send(Ask::Fetch);
    }

    fn close_idle_connections(&mut self, upstream: &str) {
        self.pool.close_idle(upstream);
    }
}

async fn ask(
    pool: &Rc<Pool>,
    memory: Memory,
    path: &str,
    upstream: &UpstreamId,
    address: SocketAddr,
    until: Instant,
) -> (Outcome, Load) {
    let link = match pool.take(upstream, address, until).await {
        Ok(link) => link,
        // Our own want of connections says nothing of the upstream.
        Err(NoLink::Budget) => return (Outcome::Moot, Load::default()),
        Err(_) => return (Outcome::ConnectFailed, Load::default()),
    };
    if write_all(&link.stream, &encode_probe(path, address)).await.is_err() {
        return (Outcome::ConnectFailed, Load::default());
    }
    match answer(&link, memory).await {
        Ok(UpstreamResponse { outcome, load, keep_alive: keep, .. }) => {
            if keep {
                pool.keep(upstream.clone(), link);
            }
            (outcome, load)
        }
        Err(outcome) => (outcome, Load::default()),
    }
}

/// Whether an attempt may have run turns on its last byte: until that is written it can't have, from then on
/// it may have. Nothing is ever written twice, so that the decisions alone repeat a request.
async fn carry(
    pool: &Rc<Pool>,
    clock: Clock,
    memory: Memory,
    order: OutgoingAttempt,
    written: &Cell<bool>,
) -> AttemptResult {
    let until = clock.instant(order.deadline);
    let link = match pool.take(&order.upstream, order.address, until).await {
        Ok(link) => link,
        Err(why) => {
            log::debug!("{}: {} can't be reached: {why:?}", order.id, order.upstream);
            return Outcome::ConnectFailed.into();
        }
    };
    // Of a process that was held up, all that came meanwhile is told at once: a client that has gone must be heard
    // of before anything is sent for it, and its task may be behind this one.
    yield_now().await;
    if order.send_by.is_some_and(|by| by <= clock.now()) {
        return Outcome::Moot.into();
    }
    let bytes = encode_attempt(&order.id.request, &order.message, order.deadline.saturating_sub(clock.now()));
    if !matches!(timeout_at(until, write_all(&link.stream, &bytes)).await, Ok(Ok(()))) {
        return Outcome::ConnectFailed.into();
    }
    written.set(true);
    drop(bytes);
    match timeout_at(until, answer(&link, memory)).await {
        Err(_) => Outcome::TimedOut.into(),
        Ok(Err(outcome)) => outcome.into(),
        Ok(Ok(answered)) => {
            if answered.keep_alive && Instant::now() < until {
                pool.keep(order.upstream, link);
            }
            AttemptResult {
                outcome: answered.outcome,
                final_answer: answered.final_answer,
                load: answered.load,
            }
        }
    }
}

/// Whether the connection ended without a word or said what is no whole answer makes a difference: the one
/// may be a dead upstream's, the other is a live one's.
async fn answer(link: &Link, memory: Memory) -> Result<UpstreamResponse, Outcome> {
    let mut side = ResponseReader::new();
    loop {
        let ended = |side: &ResponseReader| {
            if side.has_partial_response() { Outcome::Spoilt } else { Outcome::Reset }
        };
        let count = feed(&link.stream, side.message_reader()).await.map_err(|_| ended(&side))?;
        if memory.is_out() {
            log::warn!("memory is out: an answer is given up");
            return Err(Outcome::Spoilt);
        }
        match side.next_response(count == 0) {
            Ok(Some(answered)) => return Ok(answered),
            Ok(None) if count == 0 => return Err(ended(&side)),
            Ok(None) => {}
            Err(fault) => {
                log::warn!("an upstream's answer is refused: {fault}");
                return Err(Outcome::Spoilt);
            }
        }
    }
}
