//! The loop of a balancer: who is told what and in which order, which places upstreams have and what is
//! forgotten. Nothing is decided here.

use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

use nanorand::WyRand;

use super::{Desk, DeskNote, Roster, SECOND, Seen, Upstream, UpstreamNote};
use crate::{Action, Event, Listing, Stage, Tenths, Terms};

/// Zones or kinds beyond so many are forgotten when no upstream is of them.
const MANY_NAMES: usize = 32;

pub struct Balancer {
    inboxes: Inboxes,
    desk: Desk,
    roster: Roster,
    upstreams: Vec<Upstream>,
    /// Places of upstreams that are forgotten.
    free: Vec<usize>,
    /// When the caller was last asked to come back, with or without news.
    wake: Option<Tenths>,
}

impl Balancer {
    pub fn new(terms: Terms, seed: u64) -> Self {
        let terms = Rc::new(terms);
        let roster = Roster { terms: terms.clone(), failures: 0, ask_at: None };
        let desk = Desk::new(terms, WyRand::new_seed(seed));
        let (inboxes, upstreams, free) = (Inboxes::default(), Vec::new(), Vec::new());
        Balancer { inboxes, desk, roster, upstreams, free, wake: None }
    }

    pub fn handle(&mut self, now: Tenths, events: impl IntoIterator<Item = Event>, out: &mut Vec<Action>) {
        for event in events {
            match event {
                Event::Listed(listing) => self.list(now, listing),
                event => self.inboxes.desk.push_back(DeskNote::Event(event)),
            }
            self.settle(now, out);
        }
        if self.roster.ask_at.take_if(|at| *at <= now).is_some() {
            out.push(Action::Watch { on: true });
        }
        self.desk.ring(now, &mut self.inboxes, out);
        self.settle(now, out);
        self.desk.lay_lanes(now);
        while self.desk.release(now, &mut self.inboxes, out) {
            self.settle(now, out);
        }
        self.desk.shed(now, out);
        let alarm = self.desk.book.alarms.peek().map(|Reverse((at, ..))| *at);
        let Some(next) = alarm.into_iter().chain(self.roster.ask_at).min() else { return };
        if self.wake.is_none_or(|at| at <= now || next < at) {
            self.wake = Some(next);
            out.push(Action::Wake { token: "wake", after: next.saturating_sub(now).max(1) });
        }
    }

    fn list(&mut self, now: Tenths, listing: Listing) {
        let (entries, whole) = match &listing {
            Listing::Lost | Listing::Unreached | Listing::Silent => {
                return self.roster.ask(now, &listing, &mut self.desk.rng);
            }
            Listing::Changes(entries) => (entries, false),
            Listing::Whole(entries) | Listing::Remembered(entries) => (entries, true),
        };
        self.roster.failures = 0;
        if matches!(listing, Listing::Remembered(_)) {
            self.roster.ask(now, &listing, &mut self.desk.rng);
        }
        self.forget(now);
        let mut named = vec![!whole; self.upstreams.len()];
        for entry in entries.iter() {
            let up = *self.desk.seen.names.entry(entry.upstream.clone()).or_insert_with(|| {
                let upstream = Upstream::new(entry, &self.desk.terms);
                let up = self.free.pop().unwrap_or(self.upstreams.len());
                self.desk.seen.board.splice(up..named.len().min(up + 1), [upstream.shown.clone()]);
                self.upstreams.splice(up..named.len().min(up + 1), [upstream]);
                self.inboxes.upstreams.resize_with(self.upstreams.len(), VecDeque::new);
                named.resize(self.upstreams.len(), true);
                up
            });
            named[up] = true;
            self.inboxes.upstream(up, UpstreamNote::Listed(entry.clone()));
        }
        for (up, _) in named.iter().enumerate().filter(|(_, named)| !**named) {
            self.inboxes.upstream(up, UpstreamNote::Unlisted);
        }
    }

    /// Against a balancer that grows with each upstream that ever was. What it has sent is kept as long as
    /// one may be cold, or an upstream that comes back would be given its part of the cold work twice.
    fn forget(&mut self, now: Tenths) {
        let (seen, txns) = (&mut self.desk.seen, &self.desk.book.txns);
        let posted: BTreeSet<usize> = txns.values().flat_map(|t| t.postings.iter().map(|p| p.up)).collect();
        let since = now.saturating_sub(self.desk.terms.cold.warm_within.max(SECOND));
        let is_old = |up: &usize| {
            let s = &seen.board[*up];
            s.entry.stage == Stage::Gone && s.gone < since && s.in_flight == 0 && !posted.contains(up)
        };
        self.free.extend(seen.names.values().copied().filter(is_old));
        seen.names.retain(|_, up| !is_old(up));
        let named = || seen.names.values().map(|up| &seen.board[*up].entry);
        let many = seen.zones.len().max(seen.kinds.len()) > MANY_NAMES;
        seen.zones.retain(|zone, _| !many || named().any(|entry| entry.zone == *zone));
        seen.kinds.retain(|kind, _| !many || named().any(|entry| entry.kind == *kind));
    }

    /// How many upstreams, zones and kinds are remembered, and txns open: for the log.
    pub fn sizes(&self) -> [usize; 4] {
        let Seen { names, zones, kinds, .. } = &self.desk.seen;
        [names.len(), zones.len(), kinds.len(), self.desk.book.txns.len()]
    }

    fn settle(&mut self, now: Tenths, out: &mut Vec<Action>) {
        let inboxes = &mut self.inboxes;
        loop {
            if let Some(up) = inboxes.ready.pop_front() {
                while let Some(note) = inboxes.upstreams[up].pop_front() {
                    self.upstreams[up].receive(now, note, &self.desk.terms);
                }
                inboxes.desk.push_back(DeskNote::Standing(up, self.upstreams[up].shown.clone()));
            } else if let Some(note) = inboxes.desk.pop_front() {
                self.desk.receive(now, note, inboxes, out);
            } else {
                return;
            }
        }
    }
}

#[derive(Default)]
pub struct Inboxes {
    upstreams: Vec<VecDeque<UpstreamNote>>,
    ready: VecDeque<usize>,
    desk: VecDeque<DeskNote>,
}

impl Inboxes {
    pub fn upstream(&mut self, up: usize, note: UpstreamNote) {
        if self.upstreams[up].is_empty() {
            self.ready.push_back(up);
        }
        self.upstreams[up].push_back(note);
    }
}
