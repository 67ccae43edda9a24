//! The loop of a balancer: what happens in which order, which places upstreams have and what is forgotten.
//! Nothing is decided here.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use nanorand::WyRand;

use super::{Desk, Roster, SECOND, Seen, Upstream};
use crate::{Action, Entry, Event, Listing, Stage, Tenths, Terms};

/// Zones or kinds beyond so many are forgotten when no upstream is of them.
const MANY_NAMES: usize = 32;

/// The decisions of one balancer.
pub struct Balancer {
    desk: Desk,
    roster: Roster,
    /// Places of upstreams that are forgotten.
    free: Vec<usize>,
    /// When the caller was last asked to come back, with or without news.
    wake: Option<Tenths>,
}

impl Balancer {
    /// A balancer that knows no upstreams yet. Equal seeds and events bring equal actions.
    pub fn new(terms: Terms, seed: u64) -> Self {
        let roster = Roster { failures: 0, ask_at: None };
        let desk = Desk::new(terms, WyRand::new_seed(seed));
        Balancer { desk, roster, free: Vec::new(), wake: None }
    }

    /// Takes what happened until now and adds to `out` what is to be done.
    pub fn handle(&mut self, now: Tenths, events: impl IntoIterator<Item = Event>, out: &mut Vec<Action>) {
        for event in events {
            match event {
                Event::Listed(listing) => self.list(now, listing),
                event => self.desk.receive(now, event, out),
            }
        }
        if self.roster.ask_at.take_if(|at| *at <= now).is_some() {
            out.push(Action::Watch { on: true });
        }
        self.desk.ring(now, out);
        self.desk.lay_lanes(now);
        while self.desk.release(now, out) {}
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
            Listing::Lost | Listing::Unreached | Listing::Silent => return self.ask(now, &listing),
            Listing::Changes(entries) => (entries, false),
            Listing::Whole(entries) | Listing::Remembered(entries) => (entries, true),
        };
        self.roster.failures = 0;
        if matches!(listing, Listing::Remembered(_)) {
            self.ask(now, &listing);
        }
        self.forget(now);
        let mut stages = BTreeMap::new();
        for entry in entries.iter() {
            let up = self.place(entry);
            stages.entry(up).or_insert(self.desk.seen.board[up].entry.stage);
            self.desk.listed(now, up, Some(entry.clone()));
        }
        if whole {
            let missing: Vec<usize> = self.live_or_draining().filter(|up| !stages.contains_key(up)).collect();
            for up in missing {
                stages.insert(up, self.desk.seen.board[up].entry.stage);
                self.desk.listed(now, up, None);
            }
        }
        let seen = &mut self.desk.seen;
        seen.stale |= stages.into_iter().any(|(up, before)| seen.board[up].entry.stage != before);
    }

    fn live_or_draining(&self) -> impl Iterator<Item = usize> {
        let board = &self.desk.seen.board;
        (0..board.len()).filter(|up| board[*up].entry.stage != Stage::Gone)
    }

    fn ask(&mut self, now: Tenths, why: &Listing) {
        self.roster.ask(now, why, &self.desk.terms, &mut self.desk.rng);
    }

    /// The place of a listed upstream; one that is new gets that of a forgotten one first.
    fn place(&mut self, entry: &Entry) -> usize {
        let Seen { names, board, .. } = &mut self.desk.seen;
        *names.entry(entry.upstream.clone()).or_insert_with(|| {
            let upstream = Upstream::new(entry, &self.desk.terms);
            let up = self.free.pop().unwrap_or(board.len());
            board.splice(up..board.len().min(up + 1), [upstream]);
            up
        })
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
}
