//! Follows discovery's list of upstreams: calls, watches and what becomes of them.

mod call;
mod confirmation;
mod fault;

use std::net::SocketAddr;
use std::time::Duration;

use call::{Line, Newer};
use confirmation::Confirmation;
use fault::{Fault, FaultLog};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

use super::backoff::Backoff;
use super::clock::Clock;
use crate::protocol::discovery::UpstreamList;
use crate::routing::RouterEvent;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ask {
    Watch(bool),
    Fetch,
    /// Discovery is at another address from now on.
    Move(SocketAddr),
}

/// Well under the time after which a watch has lapsed.
const BREATH: Duration = Duration::from_millis(50);

/// How long calls may take.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// How long a watch's first call may wait for news: hardly, so that its answer tells that the watch stands.
    pub first: Duration,
    /// Its other calls. What a silent watch misses counts as told six seconds later, and some of these must be
    /// left for the call in its place.
    pub hold: Duration,
    /// How much later than that an answer may come before the watch is held to be silent.
    pub late: Duration,
    /// The same for a call that is no part of a watch yet: discovery works through all balancers' calls in turn,
    /// and turns away who would wait for two seconds.
    pub row: Duration,
}

impl Patience {
    pub fn new() -> Self {
        let [first, hold, late, row] = [100, 1000, 300, 2200].map(Duration::from_millis);
        Patience { first, hold, late, row }
    }
}

/// How long lists may be, and when one that was longer is asked for again.
pub struct ListLimit {
    /// In bytes, as they are sent.
    pub longest: usize,
    pub backoff: Backoff,
}

/// Asks discovery as the decisions want it asked. It is they who say when to try again after a failure,
/// but for a list that is too long: it will hardly be shorter at once, and each try costs both ends much.
pub async fn discover(
    address: SocketAddr,
    version: u64,
    patience: Patience,
    limit: ListLimit,
    clock: Clock,
    mut asks: mpsc::UnboundedReceiver<Ask>,
    notes: mpsc::UnboundedSender<RouterEvent>,
) {
    let mut caller = Caller {
        line: Line::new(address, limit.longest, patience.row),
        version: Some(version),
        patience,
        backoff: limit.backoff,
        clock,
        notes,
        confirmation: Confirmation::default(),
        fault_log: FaultLog::default(),
        calls: 0,
    };
    let mut next = asks.recv().await;
    while let Some(ask) = next {
        next = tokio::select! {
            () = caller.carry_out(ask) => asks.recv().await,
            next = called_off(&mut asks) => next,
        };
    }
}

/// What ends the call at hand; other asks are answered by it.
async fn called_off(asks: &mut mpsc::UnboundedReceiver<Ask>) -> Option<Ask> {
    loop {
        let ask = asks.recv().await?;
        if matches!(ask, Ask::Watch(false) | Ask::Move(_)) {
            return Some(ask);
        }
    }
}

struct Caller {
    line: Line,
    /// The newest that is known; none where the whole list is wanted.
    version: Option<u64>,
    patience: Patience,
    /// For lists that are too long.
    backoff: Backoff,
    clock: Clock,
    notes: mpsc::UnboundedSender<RouterEvent>,
    confirmation: Confirmation,
    fault_log: FaultLog,
    /// Calls made so far.
    calls: u64,
}

/// What a call brought, and up to when the list is confirmed by it.
struct Called {
    outcome: Result<UpstreamList, Fault>,
    current_at: Option<Instant>,
}

impl Caller {
    async fn carry_out(&mut self, ask: Ask) {
        match ask {
            Ask::Watch(true) => self.watch().await,
            Ask::Watch(false) => self.line.close(),
            Ask::Fetch => {
                let called = self.call_with_backoff(None).await;
                self.tell(called);
            }
            // Asked at once, for the whole list: the versions of one address need not be those of another,
            // and what the old one has not told by now it never will.
            Ask::Move(address) => {
                self.line.close();
                (self.line.address, self.version) = (address, None);
                self.backoff.reset();
                self.watch().await;
            }
        }
    }

    /// Calls again after each answer, so that the watch never lapses, until a call fails.
    async fn watch(&mut self) {
        let mut hold = self.patience.first;
        loop {
            let (start, known) = (Instant::now(), self.version);
            let called = self.call_with_backoff(known.map(|from| (from, hold))).await;
            if !self.tell(called) {
                return;
            }
            let news = self.version != known;
            // One that does not hold its answers would else be called without end.
            if !news && start.elapsed() < BREATH {
                sleep(BREATH).await;
            }
            // What follows the whole list is the first call of a watch, and stands in the row with others' first calls.
            hold = if known.is_some() { self.patience.hold } else { self.patience.first };
        }
    }

    /// False when the call brought nothing.
    fn tell(&mut self, called: Called) -> bool {
        let (note, is_list) = match called.outcome {
            Ok(list) => {
                self.version = Some(list.version);
                self.fault_log.reset();
                (RouterEvent::ListReceived(list), true)
            }
            Err(fault) => {
                self.fault_log.tell(&fault);
                (fault.note(), false)
            }
        };
        // After the list that it speaks of.
        let current = called.current_at.map(|at| RouterEvent::ListConfirmed { at: self.clock.at(at) });
        let mut is_heard = self.notes.send(note).is_ok();
        if let Some(current) = current {
            is_heard &= self.notes.send(current).is_ok();
        }
        is_heard && is_list
    }

    /// As `call`, but a list that is too long is asked for again and again, after growing waits.
    async fn call_with_backoff(&mut self, mut newer: Newer) -> Called {
        loop {
            let called = self.call(newer).await;
            match &called.outcome {
                Err(fault @ Fault::TooLong { .. }) => self.fault_log.tell(fault),
                Ok(_) => {
                    self.backoff.reset();
                    return called;
                }
                Err(_) => return called,
            }
            sleep(self.backoff.next_wait()).await;
            // As the first call of a watch: nothing stands by now.
            newer = newer.map(|(version, _)| (version, self.patience.first));
        }
    }

    async fn call(&mut self, newer: Newer) -> Called {
        self.calls += 1;
        let (number, called) = (self.calls, Instant::now());
        log::debug!("discovery is called: newer than {newer:?}, call {number} to {}", self.line.address);
        let outcome = self.answer(newer).await;
        let took = called.elapsed().as_millis();
        match &outcome {
            Ok(list) => log::debug!("discovery: call {number} brings list {} after {took} ms", list.version),
            Err(fault) => log::debug!("discovery: call {number} fails after {took} ms: {fault:?}"),
        }
        let hold = newer.map(|(_, hold)| hold).unwrap_or_default();
        let current_at = self.confirmation.judge(called, hold, &outcome);
        Called { outcome, current_at }
    }

    async fn answer(&mut self, newer: Newer) -> Result<UpstreamList, Fault> {
        let hold = newer.map(|(_, hold)| hold).unwrap_or_default();
        let late = if hold < self.patience.hold { self.patience.row } else { self.patience.late };
        let list = timeout(hold + late, self.line.exchange(newer)).await.map_err(|_| Fault::Silent)??;
        match newer {
            // Of another discovery, or of one that has lost its versions: only a whole list tells what holds.
            Some((from, _)) if list.version < from => {
                self.version = None;
                Err(Fault::Refused(format!("version {} is answered to one who has {from}", list.version)))
            }
            _ => Ok(list),
        }
    }
}
