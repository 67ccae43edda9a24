//! The loop of a balancer: what happens in which order, which places upstreams have and what is forgotten.
//! Nothing is decided here.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use nanorand::WyRand;

use super::discovery::Discovery;
use super::{Dispatcher, Fleet, SECOND, Upstream};
use crate::{
    Action, BalancerConfig, ConfigChange, Event, ListUpdate, Stage, TenthMillis, UpstreamEntry, UpstreamId,
};

/// Zones or kinds beyond so many are forgotten when no upstream is of them.
const MANY_NAMES: usize = 32;

/// The decisions of one balancer.
pub struct Balancer {
    dispatcher: Dispatcher,
    discovery: Discovery,
    /// Places of upstreams that are forgotten.
    free: Vec<usize>,
    /// Places of those that are gone and not forgotten yet, by the time since when.
    gone: BTreeSet<(TenthMillis, usize)>,
    known: Known,
    /// When the caller was last asked to come back, with or without news.
    wake: Option<TenthMillis>,
    /// The lease on the list is over, as the log has been told.
    is_stale: bool,
}

impl Balancer {
    /// A balancer that knows no upstreams yet. Equal seeds and events bring equal actions.
    pub fn new(terms: BalancerConfig, seed: u64) -> Self {
        let discovery = Discovery { refusals: 0, ask_at: None };
        let dispatcher = Dispatcher::new(terms, WyRand::new_seed(seed));
        let (free, gone, known) = (Vec::new(), BTreeSet::new(), Known::default());
        Balancer { dispatcher, discovery, free, gone, known, wake: None, is_stale: false }
    }

    /// Takes what happened until now and adds to `out` what is to be done.
    pub fn handle(
        &mut self,
        now: TenthMillis,
        events: impl IntoIterator<Item = Event>,
        out: &mut Vec<Action>,
    ) {
        for event in events {
            match event {
                Event::ListUpdate(listing) => self.list(now, listing),
                event => self.dispatcher.receive(now, event, out),
            }
        }
        if self.discovery.ask_at.take_if(|at| *at <= now).is_some() {
            out.push(Action::WatchList { enabled: true });
        }
        self.dispatcher.ring(now, out);
        self.dispatcher.fleet.choose_candidates(now, &self.dispatcher.terms);
        while self.dispatcher.release(now, out) {}
        self.dispatcher.shed(now, out);
        self.note_lease(now, out);
        let alarm = self.dispatcher.queue.alarms.peek().map(|Reverse((at, ..))| *at);
        let lease_end = self.dispatcher.lease.end(&self.dispatcher.terms).filter(|end| *end > now);
        let Some(next) = alarm.into_iter().chain(self.discovery.ask_at).chain(lease_end).min() else {
            return;
        };
        if self.wake.is_none_or(|at| at <= now || next < at) {
            self.wake = Some(next);
            out.push(Action::SetTimer { token: "wake", after: next.saturating_sub(now).max(1) });
        }
    }

    /// Whether nothing may be sent since the list has not been confirmed for too long.
    pub fn is_list_stale(&self) -> bool {
        self.is_stale
    }

    /// Has the log told when nothing may be sent any more, and when it may again.
    fn note_lease(&mut self, now: TenthMillis, out: &mut Vec<Action>) {
        let is_stale = self.dispatcher.lease.is_over(now, &self.dispatcher.terms);
        if is_stale == self.is_stale {
            return;
        }
        self.is_stale = is_stale;
        let text = match is_stale {
            true => "the list of upstreams is stale: nothing is sent until discovery confirms it",
            false => "the list of upstreams is confirmed again",
        };
        out.push(Action::Log { text: text.into() });
    }

    /// Puts changes of the terms in force. Requests that are open end under what they came with.
    pub fn apply(&mut self, changes: &[ConfigChange]) {
        let Dispatcher { terms, quotas, highest_value, .. } = &mut self.dispatcher;
        changes.iter().for_each(|change| terms.apply(change));
        quotas.resize(terms.tenants.len(), (0.0, 0));
        if changes.iter().any(|change| matches!(change, ConfigChange::Class { .. })) {
            *highest_value = terms.max_class_value();
        }
    }

    fn list(&mut self, now: TenthMillis, listing: ListUpdate) {
        let (entries, whole) = match &listing {
            ListUpdate::Refused | ListUpdate::Unreachable | ListUpdate::WatchTimedOut => {
                return self.ask(now, &listing);
            }
            ListUpdate::Changes(entries) => (entries, false),
            ListUpdate::Snapshot(entries) | ListUpdate::Restored(entries) => (entries, true),
        };
        self.discovery.refusals = 0;
        if matches!(listing, ListUpdate::Restored(_)) {
            self.ask(now, &listing);
        }
        self.forget(now);
        // By their stages before, since only what is another one in the end counts.
        let mut stages = BTreeMap::new();
        for entry in entries.iter() {
            let up = self.place(entry);
            stages.entry(up).or_insert(self.dispatcher.fleet.board[up].entry.stage);
            self.listed(now, up, Some(entry.clone()));
        }
        if whole {
            let board = &self.dispatcher.fleet.board;
            let is_missing = |up: &usize| board[*up].entry.stage != Stage::Gone && !stages.contains_key(up);
            let missing: Vec<usize> = (0..board.len()).filter(is_missing).collect();
            for up in missing {
                stages.insert(up, self.dispatcher.fleet.board[up].entry.stage);
                self.listed(now, up, None);
            }
        }
        let fleet = &mut self.dispatcher.fleet;
        fleet.stale |= stages.into_iter().any(|(up, before)| fleet.board[up].entry.stage != before);
    }

    /// Hands on what the list says of an upstream, and keeps count of it.
    pub fn listed(&mut self, now: TenthMillis, up: usize, entry: Option<UpstreamEntry>) {
        let before = &self.dispatcher.fleet.board[up];
        self.known.remove(&before.entry);
        self.gone.remove(&(before.gone, up));
        self.dispatcher.listed(now, up, entry);
        let after = &self.dispatcher.fleet.board[up];
        self.known.add(&after.entry);
        if after.entry.stage == Stage::Gone {
            self.gone.insert((after.gone, up));
        }
    }

    pub fn ask(&mut self, now: TenthMillis, why: &ListUpdate) {
        let Dispatcher { terms, lease, rng, .. } = &mut self.dispatcher;
        self.discovery.ask(now, why, lease.left(now, terms), terms, rng);
    }

    /// The place of a listed upstream; one that is new gets that of a forgotten one first.
    fn place(&mut self, entry: &UpstreamEntry) -> usize {
        let Fleet { names, board, .. } = &mut self.dispatcher.fleet;
        *names.entry(entry.upstream.clone()).or_insert_with(|| {
            let upstream = Upstream::new(entry, &self.dispatcher.terms);
            let up = self.free.pop().unwrap_or(board.len());
            board.splice(up..board.len().min(up + 1), [upstream]);
            self.known.add(entry);
            up
        })
    }

    /// Against a balancer that grows with each upstream that ever was. What it has sent is kept as long as
    /// one may be cold, or an upstream that comes back would be given its part of the cold work twice.
    fn forget(&mut self, now: TenthMillis) {
        let since = now.saturating_sub(self.dispatcher.terms.cold_start.warm_up_time.max(SECOND));
        let (fleet, requests) = (&mut self.dispatcher.fleet, &self.dispatcher.queue.requests);
        let mut old: Vec<(UpstreamId, TenthMillis, usize)> = self
            .gone
            .range(..(since, 0))
            .filter(|(_, up)| fleet.board[*up].in_flight == 0)
            .map(|(gone, up)| (fleet.board[*up].entry.upstream.clone(), *gone, *up))
            .collect();
        if !old.is_empty() {
            let sent =
                requests.values().flat_map(|request| request.attempts.iter().map(|attempt| attempt.up));
            let sent: BTreeSet<usize> = sent.collect();
            old.retain(|(.., up)| !sent.contains(up));
        }
        // By name, so that equal events leave equal places free in equal order.
        old.sort();
        for (name, gone, up) in old {
            fleet.names.remove(&name);
            self.known.remove(&fleet.board[up].entry);
            self.gone.remove(&(gone, up));
            self.free.push(up);
        }
        if fleet.zones.len().max(fleet.kinds.len()) > MANY_NAMES {
            fleet.zones.retain(|zone, _| self.known.zones.contains_key(zone));
            fleet.kinds.retain(|kind, _| self.known.kinds.contains_key(kind));
        }
    }

    /// How much state the balancer holds at the moment.
    pub fn tracked_counts(&self) -> TrackedCounts {
        let Fleet { names, zones, kinds, .. } = &self.dispatcher.fleet;
        TrackedCounts {
            upstreams: names.len(),
            zones: zones.len(),
            kinds: kinds.len(),
            open_requests: self.dispatcher.queue.requests.len(),
        }
    }
}

/// The sizes of the balancer's tables, for the log and for tests of their bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrackedCounts {
    /// Upstreams that are listed or not forgotten yet.
    pub upstreams: usize,
    pub zones: usize,
    /// Kinds of machines.
    pub kinds: usize,
    pub open_requests: usize,
}

impl fmt::Display for TrackedCounts {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?}", [self.upstreams, self.zones, self.kinds, self.open_requests])
    }
}

/// How many upstreams that are not forgotten are in each zone and of each kind.
#[derive(Default)]
struct Known {
    zones: BTreeMap<u32, usize>,
    kinds: BTreeMap<u32, usize>,
}

impl Known {
    pub fn add(&mut self, entry: &UpstreamEntry) {
        *self.zones.entry(entry.zone).or_default() += 1;
        *self.kinds.entry(entry.kind).or_default() += 1;
    }

    fn remove(&mut self, entry: &UpstreamEntry) {
        for (counts, name) in [(&mut self.zones, entry.zone), (&mut self.kinds, entry.kind)] {
            if let Some(count) = counts.get_mut(&name) {
                *count -= 1;
                if *count == 0 {
                    counts.remove(&name);
                }
            }
        }
    }
}
