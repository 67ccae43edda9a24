//! All decisions of the balancer, in one module.
//!
//! Callers make a [`Balancer`] from [`Terms`] and a seed, hand it each batch of [`Event`]s with their time,
//! and carry out the [`Action`]s it appends, in order. It does no I/O and reads no clock; the same events
//! bring the same actions. The interface is `Balancer::new` and `Balancer::handle`, below.
//!
//! Inside are the desk (txns), an actor for each upstream, the gauge (the pooled window) and the roster (that
//! follows the list). They talk only by notes in inboxes, which `Balancer::settle` empties. docs/design.md
//! tells what of the design is kept, what was changed, and when each exception acts.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::rc::Rc;

use histogram::Histogram;
use nanorand::{Rng, WyRand};

use crate::{
    Action, Arrival, Effect, Entry, Event, Listing, Outcome, Scope, Stage, Tenths, Terms, TxnId, UpstreamId,
};

const SECOND: Tenths = 10_000;

/// The percentile that makes tp, and the reliability that the needed tries aim at: with these two tries do.
const TP_PERCENTILE: f64 = 0.95;
const RELIABILITY: f64 = 0.99;
/// A txn is hopeless when fewer of the pooled answers than this would come within its time left.
const HOPELESS_PERCENTILE: f64 = 0.1;
const WINDOW_OUTCOMES: u32 = 1000;
const WINDOW: Tenths = 5 * SECOND;

const FIRST_CAP: f64 = 4.0;
/// For all balancers together, so caps may fall below one; for a unit of size, up to the first cap.
const SMALLEST_CAP: f64 = 1.0;
const GROWTH: f64 = 0.5;
/// Times the best pace: below the first a cap may grow, above the second it is halved.
/// The second falls from the one figure towards the other with the share of postings that end late.
const EASY_PART: f64 = 0.6;
const CROWDED: f64 = 3.5;
const CROWDED_JAMMED: f64 = 1.5;
const CROWDED_BY_LATE: f64 = 12.0;
const PACE_ANSWERS: f64 = 8.0;
/// A posting is overdue after tp, or after this many times the pooled pace for its cost where that is longer.
const OVERDUE_PACE: f64 = 2.0;
const PACE_WINDOW: f64 = 32.0;
const BEST_DRIFT: f64 = 1.001;
const REST_PACE: f64 = 2.5;

/// Distrust halves in this time; from `BENCHED` on an upstream gets nothing while others can serve.
const FADE: Tenths = 4 * SECOND;
const DOUBT: f64 = 1.0;
const BENCHED: f64 = 2.0;

/// Further postings while one is out, for each txn settled in time, and how many may be saved up.
const EXTRA_SHARE: f64 = 0.1;
const EXTRA_SAVED: f64 = 10.0;

/// Txns give way when this many times the expected wait would exceed their slack.
const GIVE_WAY: f64 = 4.0;

/// How much of the load that would push a cold upstream over this balancer's part may reach.
const COLD_MARGIN: f64 = 0.35;

pub struct Balancer {
    inboxes: Inboxes,
    desk: Desk,
    gauge: Gauge,
    roster: Roster,
    upstreams: Vec<Upstream>,
    names: HashMap<UpstreamId, usize>,
}

impl Balancer {
    pub fn new(terms: Terms, seed: u64) -> Self {
        let terms = Rc::new(terms);
        Balancer {
            inboxes: Inboxes::default(),
            gauge: Gauge::new(&terms),
            roster: Roster { must_ask: terms.must_ask, failures: 0, ask_at: None },
            desk: Desk::new(terms, WyRand::new_seed(seed)),
            upstreams: Vec::new(),
            names: HashMap::new(),
        }
    }

    pub fn handle(&mut self, now: Tenths, events: impl IntoIterator<Item = Event>, out: &mut Vec<Action>) {
        for event in events {
            self.sort_in(now, event);
            self.settle(now, out);
        }
        if self.roster.ask_at.take_if(|at| *at <= now).is_some() {
            out.push(Action::Watch { on: true });
        }
        self.desk.ring(now, &mut self.inboxes, out);
        self.settle(now, out);
        self.desk.lay_lanes();
        while self.desk.release(now, &mut self.inboxes, out) {
            self.settle(now, out);
        }
        self.desk.shed(now, out);
        self.desk.set_wake(now, self.roster.ask_at, out);
    }

    fn sort_in(&mut self, now: Tenths, event: Event) {
        let inboxes = &mut self.inboxes;
        match event {
            Event::Arrived(arrival) => inboxes.desk.push_back(DeskNote::Arrived(arrival)),
            Event::Ended { txn, posting, upstream, outcome, took, settled, load: _ } => {
                let Some(&up) = self.names.get(&upstream) else { return };
                if matches!(outcome, Outcome::Ok | Outcome::TimedOut) {
                    inboxes.gauge.push_back(GaugeNote::Took(took));
                }
                inboxes.desk.push_back(DeskNote::Ended { txn, posting, up, outcome, took, settled });
            }
            Event::Streaming { txn, posting, .. } => {
                inboxes.desk.push_back(DeskNote::Streams { txn, posting })
            }
            Event::Left { txn } => inboxes.desk.push_back(DeskNote::Left { txn }),
            Event::Listed(listing) => self.list(now, listing),
            // Neither probes nor talk with peers are used: own outcomes tell as much and cost nothing.
            Event::Woke { .. } | Event::Probed { .. } | Event::Heard { .. } => {}
        }
    }

    fn list(&mut self, now: Tenths, listing: Listing) {
        let (entries, whole) = match &listing {
            Listing::Lost => return self.roster.ask_later(now, &mut self.desk.rng),
            Listing::Changes(entries) => (entries, false),
            Listing::Whole(entries) | Listing::Remembered(entries) => (entries, true),
        };
        self.roster.failures = 0;
        if matches!(listing, Listing::Remembered(_)) {
            self.roster.ask_later(now, &mut self.desk.rng);
        }
        let mut named = vec![!whole; self.upstreams.len()];
        for entry in entries.iter() {
            let up = *self.names.entry(entry.upstream.clone()).or_insert_with(|| {
                self.upstreams.push(Upstream::new(entry, &self.desk.terms));
                self.inboxes.upstreams.push(VecDeque::new());
                named.push(true);
                self.upstreams.len() - 1
            });
            named[up] = true;
            self.inboxes.upstream(up, UpstreamNote::Listed(entry.clone()));
        }
        for (up, _) in named.iter().enumerate().filter(|(_, named)| !**named) {
            self.inboxes.upstream(up, UpstreamNote::Unlisted);
        }
    }

    /// Empties the inboxes, which may fill others, until nobody has anything left to read.
    fn settle(&mut self, now: Tenths, out: &mut Vec<Action>) {
        let inboxes = &mut self.inboxes;
        loop {
            if let Some(up) = inboxes.ready.pop_front() {
                while let Some(note) = inboxes.upstreams[up].pop_front() {
                    self.upstreams[up].receive(now, note, &self.desk.terms);
                }
                inboxes.desk.push_back(DeskNote::Standing(up, self.upstreams[up].shown.clone()));
            } else if let Some(note) = inboxes.gauge.pop_front() {
                self.gauge.receive(now, note, &mut inboxes.desk);
            } else if let Some(note) = inboxes.desk.pop_front() {
                self.desk.receive(now, note, inboxes, out);
            } else {
                return;
            }
        }
    }
}

#[derive(Default)]
struct Inboxes {
    upstreams: Vec<VecDeque<UpstreamNote>>,
    ready: VecDeque<usize>,
    gauge: VecDeque<GaugeNote>,
    desk: VecDeque<DeskNote>,
}

impl Inboxes {
    fn upstream(&mut self, up: usize, note: UpstreamNote) {
        if self.upstreams[up].is_empty() {
            self.ready.push_back(up);
        }
        self.upstreams[up].push_back(note);
    }
}

enum UpstreamNote {
    Listed(Entry),
    Unlisted,
    Posted { cost: f64 },
    Ended { outcome: Outcome, took: Tenths, cost: f64, tp: Tenths, crowded: f64 },
    Overdue { sent: Tenths },
}

enum GaugeNote {
    Waited(Tenths),
    Took(Tenths),
}

enum DeskNote {
    Arrived(Arrival),
    Ended { txn: TxnId, posting: u32, up: usize, outcome: Outcome, took: Tenths, settled: bool },
    Streams { txn: TxnId, posting: u32 },
    Left { txn: TxnId },
    Standing(usize, Standing),
    Measure(Measure),
}

/// Follows the list of upstreams where it must be asked for.
struct Roster {
    must_ask: bool,
    failures: u32,
    ask_at: Option<Tenths>,
}

impl Roster {
    /// The waits grow and differ, against a bank of balancers keeping a slow list service down by asking, and
    /// against balancers started in step failing each other's first calls.
    fn ask_later(&mut self, now: Tenths, rng: &mut WyRand) {
        let longest = SECOND << self.failures.min(4);
        self.failures += 1;
        self.ask_at = self.must_ask.then(|| now + rng.generate_range(longest / 4..longest));
    }
}

/// The pooled window: response times of all upstreams together, and the mean wait before first postings.
struct Gauge {
    took: Histogram,
    waited: f64,
    waits: f64,
    since: u32,
    halved: Tenths,
    measure: Measure,
}

/// What the desk plans with.
#[derive(Clone, Copy)]
struct Measure {
    tp: Tenths,
    wait: Tenths,
    needed: u64,
    /// Less time left than this makes a txn hopeless.
    quick: Tenths,
}

impl Gauge {
    fn new(terms: &Terms) -> Self {
        let tightest = terms.schemes.iter().map(|s| s.sla).min().unwrap_or(SECOND);
        // Until answers come, half the tightest SLA time: late for most, early enough for a second try.
        let measure = Measure { tp: (tightest / 2).max(1), wait: 0, needed: 1, quick: 0 };
        let took = Histogram::new(3, 20).expect("the bins are fixed");
        Gauge { took, waited: 0.0, waits: 0.0, since: 0, halved: 0, measure }
    }

    fn receive(&mut self, now: Tenths, note: GaugeNote, desk: &mut VecDeque<DeskNote>) {
        match note {
            GaugeNote::Waited(span) => {
                (self.waited, self.waits) = (self.waited + span as f64, self.waits + 1.0);
                return;
            }
            GaugeNote::Took(took) => self.took.increment(took.min((1 << 20) - 1)).unwrap_or_default(),
        }
        self.since += 1;
        if self.since >= WINDOW_OUTCOMES || now >= self.halved + WINDOW {
            self.took.as_mut_slice().iter_mut().for_each(|bin| *bin /= 2);
            (self.waited, self.waits) = (self.waited / 2.0, self.waits / 2.0);
            (self.since, self.halved) = (0, now);
        }
        if self.since.is_multiple_of(16) {
            self.measure_again();
            desk.push_back(DeskNote::Measure(self.measure));
        }
    }

    fn measure_again(&mut self) {
        let all: u64 = self.took.as_slice().iter().sum();
        if all < 16 {
            return;
        }
        let quantile = |part| self.took.quantile_bucket(part).ok().flatten();
        let (Some(quick), Some(tp)) = (quantile(HOPELESS_PERCENTILE), quantile(TP_PERCENTILE)) else {
            return;
        };
        let within: u64 =
            self.took.iter().take_while(|bin| bin.end() <= tp.end()).map(|bin| bin.count()).sum();
        let missed = (1.0 - within as f64 / all as f64).max(1e-6);
        self.measure = Measure {
            tp: tp.end().max(1),
            wait: if self.waits > 0.0 { (self.waited / self.waits) as Tenths } else { 0 },
            needed: ((1.0 - RELIABILITY).ln() / missed.ln()).ceil().max(1.0) as u64,
            quick: quick.start(),
        };
    }
}

/// One upstream as this balancer knows it.
struct Upstream {
    shown: Standing,
    halved: Tenths,
    answered: Tenths,
    pace: Pace,
    /// Work posted of late while cold.
    cold_work: VecDeque<(Tenths, f64)>,
}

/// What an upstream lets the desk know.
#[derive(Clone)]
struct Standing {
    entry: Entry,
    /// Its place in the order of the lanes, alike at every balancer.
    order: u64,
    in_flight: u32,
    cost_out: f64,
    cap: f64,
    distrust: f64,
    faded: Tenths,
    cold_sum: f64,
}

impl Standing {
    fn distrust(&self, now: Tenths) -> f64 {
        self.distrust * (-(now.saturating_sub(self.faded) as f64) / FADE as f64).exp2()
    }

    fn size(&self) -> f64 {
        self.entry.size.max(0.01)
    }

    /// How long ago it started, while it may still be cold.
    fn cold_age(&self, now: Tenths, terms: &Terms) -> Option<Tenths> {
        self.entry.started.map(|at| now.saturating_sub(at)).filter(|age| *age < terms.cold.warm_within)
    }
}

impl Upstream {
    fn new(entry: &Entry, terms: &Terms) -> Self {
        let order = entry.upstream.bytes().fold(0, |hash, byte| mix(hash ^ u64::from(byte)));
        let entry = Entry { started: None, stage: Stage::Gone, ..entry.clone() };
        let cap = terms.part(FIRST_CAP);
        let (in_flight, cost_out, distrust, faded, cold_sum) = (0, 0.0, 0.0, 0, 0.0);
        let shown = Standing { entry, order, in_flight, cost_out, cap, distrust, faded, cold_sum };
        Upstream { shown, halved: 0, answered: 0, pace: Pace::default(), cold_work: VecDeque::new() }
    }

    fn receive(&mut self, now: Tenths, note: UpstreamNote, terms: &Terms) {
        (self.shown.distrust, self.shown.faded) = (self.shown.distrust(now), now);
        while let Some(&(_, cost)) = self.cold_work.front().filter(|(at, _)| at + terms.cold.window <= now) {
            self.cold_work.pop_front();
            self.shown.cold_sum -= cost;
        }
        match note {
            UpstreamNote::Listed(entry) => {
                let known = std::mem::replace(&mut self.shown.entry, entry);
                if self.shown.cold_age(now, terms).is_some() && self.shown.entry.started != known.started {
                    // A new process: what was known of the old one would send it too much too soon.
                    (self.shown.cap, self.shown.distrust) = (terms.part(SMALLEST_CAP), 0.0);
                }
            }
            UpstreamNote::Unlisted => self.shown.entry.stage = Stage::Gone,
            UpstreamNote::Posted { cost } => {
                self.shown.in_flight += 1;
                self.shown.cost_out += cost;
                if self.shown.cold_age(now, terms).is_some() {
                    self.cold_work.push_back((now, cost));
                    self.shown.cold_sum += cost;
                }
            }
            UpstreamNote::Ended { outcome, took, cost, tp, crowded } => {
                let sent = now.saturating_sub(took);
                self.shown.in_flight = self.shown.in_flight.saturating_sub(1);
                let idle = self.shown.in_flight == 0;
                self.shown.cost_out = if idle { 0.0 } else { (self.shown.cost_out - cost).max(0.0) };
                match outcome {
                    Outcome::Ok => {
                        self.answered = now;
                        let crowding = self.crowding(took, cost);
                        let shown = &mut self.shown;
                        shown.distrust *= 0.7;
                        let in_use = f64::from(shown.in_flight) + 1.0 >= shown.cap / 2.0;
                        if crowding > crowded {
                            self.halve(now, sent, terms);
                        } else if took <= tp && crowding < EASY_PART * crowded && in_use {
                            shown.cap += shown.cap.min(GROWTH / shown.cap);
                        }
                    }
                    // A full waiting room is the shortest queue to look at; it must not draw more.
                    Outcome::Full | Outcome::TimedOut => {
                        self.halve(now, sent, terms);
                        self.doubt(if outcome == Outcome::Full { 0.5 } else { 1.0 });
                    }
                    Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => self.doubt(1.0),
                    Outcome::Cancelled | Outcome::Moot => {}
                }
            }
            UpstreamNote::Overdue { sent } => {
                self.halve(now, sent, terms);
                // Silent since that posting left: perhaps it takes txns and answers none.
                if self.answered < sent {
                    self.doubt(1.0);
                }
            }
        }
    }

    /// How many times longer than at its best this upstream takes for a unit of cost.
    fn crowding(&mut self, took: Tenths, cost: f64) -> f64 {
        let pace = self.pace.note(took, cost, PACE_ANSWERS);
        // Costs are in time of a standard core: one never seen at rest must not take a jam for its best.
        let rest = if cost > 1.0 { REST_PACE } else { pace };
        let seen = if self.pace.answers < PACE_ANSWERS { rest } else { pace.min(rest) };
        let known = if self.pace.best > 0.0 { self.pace.best * BEST_DRIFT } else { seen };
        self.pace.best = known.min(seen);
        pace / self.pace.best.max(1e-9)
    }

    /// Halves the cap once for all postings that were out together, against one pause counting many times.
    fn halve(&mut self, now: Tenths, sent: Tenths, terms: &Terms) {
        if sent >= self.halved {
            let least = terms.part(SMALLEST_CAP * self.shown.size().clamp(1.0, FIRST_CAP));
            self.shown.cap = (self.shown.cap / 2.0).max(least);
            self.halved = now;
        }
    }

    /// Grows by its own half too, so that an upstream that fails each careful try is tried ever less often.
    fn doubt(&mut self, amount: f64) {
        self.shown.distrust = (self.shown.distrust * 1.5 + amount).min(4.0 * BENCHED);
    }
}

/// Time taken for a unit of cost, as a geometric mean of the last answers: a pause or a heavy tail makes a
/// few answers very late and must not pass for a crowd, which makes all of them late.
#[derive(Default)]
struct Pace {
    log: f64,
    answers: f64,
    best: f64,
}

impl Pace {
    fn note(&mut self, took: Tenths, cost: f64, window: f64) -> f64 {
        self.answers = (self.answers + 1.0).min(window);
        self.log += ((took.max(1) as f64 / cost).ln() - self.log) / self.answers;
        self.mean()
    }

    fn mean(&self) -> f64 {
        self.log.exp()
    }
}

/// Spreads the bits of a number; equal at every balancer, so that all draw the same order of upstreams.
fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_add(0x9e37_79b9_7f4a_7c15).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

#[derive(Clone, Copy, PartialEq)]
struct Posting {
    up: usize,
    sent: Tenths,
    out: bool,
    may_have_run: bool,
}

struct Txn {
    id: TxnId,
    scheme: usize,
    cost: f64,
    key: Option<u64>,
    heavy: bool,
    arrived: Tenths,
    deadline: Tenths,
    expiry: Tenths,
    rank: u64,
    held: Option<Tenths>,
    streaming: bool,
    postings: Vec<Posting>,
}

impl Txn {
    fn out(&self) -> bool {
        self.postings.iter().any(|p| p.out)
    }

    fn never_ran(&self) -> bool {
        self.postings.iter().all(|p| !p.out && !p.may_have_run)
    }
}

/// Holds the txns, and gives each its postings and its final answer.
struct Desk {
    terms: Rc<Terms>,
    rng: WyRand,
    salt: u64,
    measure: Measure,
    board: Vec<Standing>,
    /// Live upstreams in lane order, and how many of them make up the light lane.
    lanes: Vec<usize>,
    light: usize,
    txns: BTreeMap<u64, Txn>,
    numbers: HashMap<TxnId, u64>,
    next: u64,
    held: [BTreeSet<(Tenths, u64)>; 2],
    by_rank: BTreeSet<(u64, Reverse<Tenths>, u64)>,
    held_cost: f64,
    /// When a posting is overdue or, without one, when the time left of a held txn becomes too short.
    alarms: BinaryHeap<Reverse<(Tenths, u64, Option<u32>)>>,
    wake: Option<Tenths>,
    costs: Histogram,
    cost_sums: [f64; 2],
    cost_count: u32,
    extra: f64,
    flow: f64,
    flow_at: Tenths,
    best_flow: f64,
    pace: Pace,
    late: f64,
    quotas: Vec<(f64, Tenths)>,
}

impl Desk {
    fn new(terms: Rc<Terms>, mut rng: WyRand) -> Self {
        Desk {
            salt: rng.generate(),
            measure: Gauge::new(&terms).measure,
            quotas: vec![(0.0, 0); terms.tenants.len()],
            terms,
            rng,
            board: Vec::new(),
            lanes: Vec::new(),
            light: 0,
            txns: BTreeMap::new(),
            numbers: HashMap::new(),
            next: 0,
            held: Default::default(),
            by_rank: BTreeSet::new(),
            held_cost: 0.0,
            alarms: BinaryHeap::new(),
            wake: None,
            costs: Histogram::new(3, 24).expect("the bins are fixed"),
            cost_sums: [0.0; 2],
            cost_count: 0,
            extra: EXTRA_SAVED,
            flow: 0.0,
            flow_at: 0,
            best_flow: 0.0,
            pace: Pace::default(),
            late: 0.0,
        }
    }

    fn receive(&mut self, now: Tenths, note: DeskNote, inboxes: &mut Inboxes, out: &mut Vec<Action>) {
        match note {
            DeskNote::Arrived(arrival) => self.arrive(now, arrival),
            DeskNote::Ended { txn, posting, up, outcome, took, settled } => {
                let number = self.numbers.get(&txn).copied();
                let txn = number.and_then(|n| self.txns.get(&n));
                let (cost, sla) = txn.map_or((self.mean_cost(), 0), |t| (t.cost, t.deadline - t.arrived));
                if matches!(outcome, Outcome::Ok | Outcome::TimedOut) {
                    let late = outcome == Outcome::TimedOut || took > sla;
                    self.late += (f64::from(u8::from(late)) - self.late) / PACE_WINDOW;
                }
                let crowded = (CROWDED - CROWDED_BY_LATE * self.late).max(CROWDED_JAMMED);
                inboxes
                    .upstream(up, UpstreamNote::Ended { outcome, took, cost, tp: self.measure.tp, crowded });
                if outcome == Outcome::Ok {
                    self.pace.note(took, cost, PACE_WINDOW);
                }
                let Some(number) = number else { return };
                let Some(txn) = self.txns.get_mut(&number) else { return };
                if let Some(p) = txn.postings.get_mut(posting as usize) {
                    (p.out, p.may_have_run) = (false, !outcome.never_ran());
                }
                if !settled {
                    return self.failed(now, number, out);
                }
                if outcome == Outcome::Ok {
                    self.settled(now, number);
                }
                self.close(number, out);
            }
            DeskNote::Streams { txn, posting } => {
                let Some(&number) = self.numbers.get(&txn) else { return };
                self.unhold(number);
                if let Some(txn) = self.txns.get_mut(&number) {
                    txn.streaming = true;
                    self.recall(number, Some(posting), out);
                }
            }
            DeskNote::Left { txn } => {
                if let Some(&number) = self.numbers.get(&txn) {
                    self.close(number, out);
                }
            }
            DeskNote::Standing(up, standing) => match self.board.get_mut(up) {
                Some(place) => *place = standing,
                None => self.board.push(standing),
            },
            DeskNote::Measure(measure) => self.measure = measure,
        }
    }

    fn arrive(&mut self, now: Tenths, arrival: Arrival) {
        let number = self.next;
        self.next += 1;
        let scheme = (arrival.scheme as usize).min(self.terms.schemes.len() - 1);
        let share = self.share(now, arrival.tenant as usize);
        let rank = (self.terms.schemes[scheme].value * share).max(0.0).to_bits();
        let (deadline, expiry) = (now + self.terms.schemes[scheme].sla.min(arrival.left), now + arrival.left);
        let cost = arrival.cost.unwrap_or(1).max(1) as f64;
        let (id, key, heavy) = (arrival.txn.clone(), arrival.key, self.weigh(cost));
        let (arrived, held, streaming, postings) = (now, None, false, Vec::new());
        self.numbers.insert(arrival.txn, number);
        let t =
            Txn { id, scheme, cost, key, heavy, arrived, deadline, expiry, rank, held, streaming, postings };
        self.txns.insert(number, t);
        self.hold(now, number);
    }

    /// What part of its value counts, by the tenant's share of this balancer as a bucket of one second.
    fn share(&mut self, now: Tenths, tenant: usize) -> f64 {
        let quota = self.terms.tenants.get(tenant).map(|t| self.terms.part(t.quota));
        let (Some(quota), Some((left, at))) = (quota, self.quotas.get_mut(tenant)) else { return 1.0 };
        *left = (*left + quota * (now - *at) as f64 / SECOND as f64).min(quota.max(1.0));
        *at = now;
        let over = *left < 1.0;
        *left -= if over { 0.0 } else { 1.0 };
        if over { self.terms.excess_value } else { 1.0 }
    }

    /// Notes the cost and tells whether it belongs to the heavy lane.
    fn weigh(&mut self, cost: f64) -> bool {
        let median = self.costs.quantile_bucket(0.5).ok().flatten();
        let heavy = median.is_some_and(|bin| cost > bin.end() as f64);
        let _beyond = self.costs.increment((cost as u64).min((1 << 24) - 1));
        self.cost_sums[usize::from(heavy)] += cost;
        self.cost_count += 1;
        if self.cost_count >= 2 * WINDOW_OUTCOMES {
            self.costs.as_mut_slice().iter_mut().for_each(|bin| *bin /= 2);
            self.cost_sums.iter_mut().for_each(|sum| *sum /= 2.0);
            self.cost_count = WINDOW_OUTCOMES;
        }
        heavy
    }

    fn mean_cost(&self) -> f64 {
        self.cost_sums.iter().sum::<f64>() / f64::from(self.cost_count.max(1))
    }

    /// The light lane gets its share of the cost in upstream sizes; both get one upstream at least.
    fn lay_lanes(&mut self) {
        let board = &self.board;
        self.lanes = (0..board.len()).filter(|up| board[*up].entry.stage == Stage::Live).collect();
        self.lanes.sort_by_key(|up| board[*up].order);
        let all: f64 = self.lanes.iter().map(|up| board[*up].size()).sum();
        let cost: f64 = self.cost_sums.iter().sum();
        let mut part = if cost > 0.0 { all * self.cost_sums[0] / cost } else { all / 2.0 };
        self.light = 0;
        for up in &self.lanes {
            if part < board[*up].size() / 2.0 {
                break;
            }
            part -= board[*up].size();
            self.light += 1;
        }
        // Where no hint tells heavy from light there is one lane: an upstream kept for the other would idle.
        if self.cost_sums[1] > 0.0 {
            self.light = self.light.max(1).min(self.lanes.len().saturating_sub(1).max(1));
        }
    }

    /// The design's send-by time, and whether any slot is left before the deadline.
    fn plan(&self, now: Tenths, deadline: Tenths) -> (Tenths, bool) {
        let span = self.measure.wait + self.measure.tp;
        let slots = deadline.saturating_sub(now) / span;
        let tries = slots.min(self.measure.needed);
        let early = if tries == 0 { self.measure.tp } else { tries * span };
        (deadline.saturating_sub(early), slots > 0)
    }

    fn hold(&mut self, now: Tenths, number: u64) {
        let deadline = self.txns[&number].deadline;
        let (send_by, _) = self.plan(now, deadline);
        let last = deadline.saturating_sub(self.measure.quick).max(now + 1);
        let Some(txn) = self.txns.get_mut(&number) else { return };
        txn.held = Some(send_by);
        self.held[usize::from(txn.heavy)].insert((send_by, number));
        self.by_rank.insert((txn.rank, Reverse(send_by), number));
        self.held_cost += txn.cost;
        self.alarms.push(Reverse((last, number, None)));
    }

    fn unhold(&mut self, number: u64) {
        let Some(txn) = self.txns.get_mut(&number) else { return };
        let Some(send_by) = txn.held.take() else { return };
        self.held[usize::from(txn.heavy)].remove(&(send_by, number));
        self.by_rank.remove(&(txn.rank, Reverse(send_by), number));
        self.held_cost -= txn.cost;
    }

    /// In a jam the txns of least value give way, at once rather than at the end of a hopeless wait.
    fn shed(&mut self, now: Tenths, out: &mut Vec<Action>) {
        while let Some(&(_, _, number)) = self.by_rank.first() {
            let txn = &self.txns[&number];
            let wait = self.held_cost / self.best_flow.max(1e-9);
            let slack = txn.deadline.saturating_sub(self.measure.tp).saturating_sub(now);
            if self.best_flow == 0.0 || GIVE_WAY * wait <= slack as f64 || self.by_rank.len() < 4 {
                return;
            }
            self.stop_waiting(number, out);
        }
    }

    /// One posting, or one txn given up; false when nothing more can leave.
    fn release(&mut self, now: Tenths, inboxes: &mut Inboxes, out: &mut Vec<Action>) -> bool {
        let standings = self.lanes.iter().map(|up| &self.board[*up]);
        let (room, busy) = standings.fold((0.0, 0.0), |(r, b), s| (r + s.cap, b + f64::from(s.in_flight)));
        if busy > 0.0 && busy + 1.0 > room {
            return false;
        }
        // A few of each lane, against one that only some upstreams may take keeping all others waiting.
        let heads = self.held.iter().flat_map(|lane| lane.iter().take(4).copied());
        let mut heads: Vec<(Tenths, u64)> = heads.collect();
        heads.sort_unstable();
        for (_, number) in heads {
            if self.lanes.is_empty() {
                // Nobody to send it to: the client had better hear so while it has time to go elsewhere.
                self.stop_waiting(number, out);
                return true;
            }
            if let Some(up) = self.pick(now, number) {
                self.unhold(number);
                self.post(now, number, up, inboxes, out);
                return true;
            }
        }
        false
    }

    /// The lesser loaded of two random upstreams of the lane that are under their caps.
    fn pick(&mut self, now: Tenths, number: u64) -> Option<usize> {
        let txn = &self.txns[&number];
        let split = self.light.min(self.lanes.len());
        let (mut own, mut other) = self.lanes.split_at(split);
        if txn.heavy && !other.is_empty() {
            (own, other) = (other, own);
        }
        let scheme = &self.terms.schemes[txn.scheme];
        let pinned = match scheme.effect {
            Effect::Referenced { scope, memory } => {
                let first = txn.postings.iter().find(|p| p.out || p.may_have_run);
                if first.is_some_and(|p| p.sent + memory <= now + 1) {
                    return None;
                }
                first.map(|p| (scope, &self.board[p.up]))
            }
            Effect::Repeatable | Effect::OnceOnly => None,
        };
        let size: f64 = self.lanes.iter().map(|up| self.board[*up].size()).sum();
        let flow = self.flow / size;
        let fit = |up: &usize, careful: bool| {
            let s = &self.board[*up];
            let distrust = s.distrust(now);
            let cap = if careful && distrust >= DOUBT { 1 } else { s.cap.ceil() as u32 };
            let in_group = pinned.is_none_or(|(scope, first)| match scope {
                Scope::All => true,
                Scope::Zone => first.entry.zone == s.entry.zone,
                Scope::Cell => first.entry.cell == s.entry.cell,
            });
            in_group
                && s.in_flight < cap
                && !(careful && distrust >= BENCHED)
                && !(careful && distrust >= DOUBT && scheme.effect == Effect::OnceOnly)
                && !txn.postings.iter().any(|p| p.up == *up && (p.out || careful))
                && self.cold_room(now, s, txn.cost, flow)
        };
        let mut fitting: Vec<usize> = own.iter().copied().filter(|up| fit(up, true)).collect();
        if fitting.is_empty() {
            fitting.extend(other.iter().copied().filter(|up| fit(up, true)));
        }
        if fitting.is_empty() {
            if self.lanes.iter().any(|up| self.board[*up].distrust(now) < BENCHED) {
                return None;
            }
            // All look bad: the fault may be ours, and traffic still has to flow.
            fitting.extend(self.lanes.iter().copied().filter(|up| fit(up, false)));
        }
        let cost = txn.cost;
        let (a, b) = match (fitting.len(), txn.key.filter(|_| self.terms.warm_keys)) {
            (0, _) => return None,
            (1, _) => (fitting[0], fitting[0]),
            // The key draws the two in place of chance, the same two at every balancer: they know the key.
            (_, Some(key)) => {
                fitting.sort_unstable_by_key(|up| mix(key ^ self.board[*up].order));
                (fitting[0], fitting[1])
            }
            (n, None) => {
                // One of the two is from the own zone where it can be: crossing is for when the own is worse.
                let own = |up: &&usize| self.board[**up].entry.zone == self.terms.own_zone;
                let near = fitting.iter().filter(own).count();
                let nth = self.rng.generate_range(0..if near > 0 { near } else { n });
                let a = *fitting.iter().filter(|up| near == 0 || own(up)).nth(nth).unwrap_or(&fitting[0]);
                let others = fitting.iter().filter(|up| **up != a);
                let b = others.clone().nth(self.rng.generate_range(0..n - 1)).unwrap_or(&a);
                (a, *b)
            }
        };
        Some(if self.load(now, b, cost) < self.load(now, a, cost) { b } else { a })
    }

    /// What is in flight counts by its cost: a very heavy txn has time enough only where work gets done fast.
    fn load(&self, now: Tenths, up: usize, cost: f64) -> f64 {
        let s = &self.board[up];
        let away = if s.entry.zone == self.terms.own_zone { 0.0 } else { 1.0 };
        (s.cost_out + cost + away * self.mean_cost()) / s.size() * (1.0 + s.distrust(now))
    }

    /// A cold upstream may get its part of what warm ones are seen to bear (`flow`, settled cost by size), in
    /// every window of the rule: a burst right after its start would push it over. What is less than a txn is
    /// spent by chance, drawn once a window: one free txn for each of many balancers would be hundreds in sum.
    fn cold_room(&self, now: Tenths, s: &Standing, cost: f64, flow: f64) -> bool {
        let cold = &self.terms.cold;
        let Some(age) = s.cold_age(now, &self.terms) else { return true };
        let share = cold.share + (1.0 - cold.share) * age as f64 / cold.warm_within as f64;
        let budget = COLD_MARGIN * cold.multiple * share * flow * s.size() * cold.window as f64;
        let drawn = mix(self.salt ^ s.order ^ (age / cold.window.max(1))) as f64 / u64::MAX as f64;
        s.cold_sum + cost <= budget + drawn * cost
    }

    fn post(&mut self, now: Tenths, number: u64, up: usize, inboxes: &mut Inboxes, out: &mut Vec<Action>) {
        let deadline = self.txns[&number].deadline;
        let (_, slot) = self.plan(now, deadline);
        let Some(txn) = self.txns.get_mut(&number) else { return };
        let repeatable = self.terms.schemes[txn.scheme].effect == Effect::Repeatable;
        let first = txn.postings.is_empty();
        if first {
            inboxes.gauge.push_back(GaugeNote::Waited(now - txn.arrived));
        } else if txn.out() {
            self.extra -= 1.0;
        }
        // A heavy txn is no sign of trouble by its size alone: its repeat would be the dearest waste of all.
        let due = self.measure.tp.max((OVERDUE_PACE * self.pace.mean() * txn.cost) as Tenths);
        // Where two may not be out together, the first ends at tp to make room for the next.
        let last = txn.postings.len() + 1 >= self.terms.max_postings as usize;
        let timeout = (repeatable && !self.terms.second_copies && !last && slot).then_some(due);
        let posting = txn.postings.len() as u32;
        txn.postings.push(Posting { up, sent: now, out: true, may_have_run: false });
        let upstream = self.board[up].entry.upstream.clone();
        out.push(Action::Post { txn: txn.id.clone(), upstream, timeout });
        inboxes.upstream(up, UpstreamNote::Posted { cost: txn.cost });
        self.alarms.push(Reverse((now + due, number, Some(posting))));
        if first && !slot && now < deadline {
            self.copy(now, number);
        }
    }

    /// Holds a txn for a further posting while one is out; only as many as what settled in time pays for,
    /// against copies that feed the slowdown they were meant to hide.
    fn copy(&mut self, now: Tenths, number: u64) {
        let txn = &self.txns[&number];
        let may_repeat =
            self.terms.second_copies && self.terms.schemes[txn.scheme].effect != Effect::OnceOnly;
        let may_post = txn.postings.len() < self.terms.max_postings as usize && !txn.streaming;
        if may_repeat && may_post && txn.held.is_none() && self.extra >= 1.0 {
            self.hold(now, number);
        }
    }

    fn settled(&mut self, now: Tenths, number: u64) {
        let txn = &self.txns[&number];
        if now <= txn.deadline {
            self.extra = (self.extra + EXTRA_SHARE).min(EXTRA_SAVED);
        }
        let span = (now - self.flow_at) as f64;
        self.flow = self.flow * (-span / SECOND as f64).exp() + txn.cost / SECOND as f64;
        self.best_flow = (self.best_flow * (-span / (10 * SECOND) as f64).exp()).max(self.flow);
        self.flow_at = now;
    }

    fn failed(&mut self, now: Tenths, number: u64, out: &mut Vec<Action>) {
        let txn = &self.txns[&number];
        if txn.held.is_some() || txn.out() {
            return;
        }
        let may_repeat = self.terms.schemes[txn.scheme].effect != Effect::OnceOnly || txn.never_ran();
        let may_post = may_repeat && txn.postings.len() < self.terms.max_postings as usize;
        if may_post { self.hold_or_give_up(now, number, out) } else { self.give_up(number, out) }
    }

    /// The final answer for what cannot be settled: a decline where the rules allow it, else a reversal.
    fn give_up(&mut self, number: u64, out: &mut Vec<Action>) {
        let txn = &self.txns[&number];
        let may_decline = match self.terms.schemes[txn.scheme].effect {
            Effect::Repeatable | Effect::Referenced { scope: Scope::All, .. } => true,
            Effect::OnceOnly | Effect::Referenced { .. } => txn.never_ran(),
        };
        let id = txn.id.clone();
        // Apart from each other, against all those declined coming back in one wave.
        let cool_down = self.terms.cool_down.map(|l| l / 2 + self.rng.generate_range(0..(l / 2).max(1)));
        out.push(if may_decline {
            Action::Decline { txn: id, cool_down }
        } else {
            Action::Reverse { txn: id }
        });
        self.close(number, out);
    }

    /// No further posting for a held txn: what is out may still answer it.
    fn stop_waiting(&mut self, number: u64, out: &mut Vec<Action>) {
        if self.txns[&number].out() { self.unhold(number) } else { self.give_up(number, out) }
    }

    /// As the time left allows. Past the SLA time the late value counts until the expiry, behind all others.
    fn hold_or_give_up(&mut self, now: Tenths, number: u64, out: &mut Vec<Action>) {
        let quick = self.measure.quick;
        let Some(txn) = self.txns.get_mut(&number) else { return };
        let late_value = self.terms.schemes[txn.scheme].late_value;
        if now + quick >= txn.deadline && late_value > 0.0 && txn.deadline < txn.expiry {
            txn.rank = (f64::from_bits(txn.rank) * late_value).to_bits();
            txn.deadline = txn.expiry;
        }
        if now + quick < txn.deadline { self.hold(now, number) } else { self.give_up(number, out) }
    }

    fn recall(&mut self, number: u64, keep: Option<u32>, out: &mut Vec<Action>) {
        let Some(txn) = self.txns.get(&number).filter(|_| self.terms.cancelling) else { return };
        let outs = (0u32..).zip(&txn.postings).filter(|(posting, p)| p.out && Some(*posting) != keep);
        out.extend(outs.map(|(posting, _)| Action::Recall { txn: txn.id.clone(), posting }));
    }

    fn close(&mut self, number: u64, out: &mut Vec<Action>) {
        self.unhold(number);
        self.recall(number, None, out);
        if let Some(txn) = self.txns.remove(&number) {
            self.numbers.remove(&txn.id);
        }
    }

    fn ring(&mut self, now: Tenths, inboxes: &mut Inboxes, out: &mut Vec<Action>) {
        while let Some(&Reverse((_, number, posting))) = self.alarms.peek().filter(|alarm| alarm.0.0 <= now) {
            self.alarms.pop();
            let Some(txn) = self.txns.get(&number) else { continue };
            if let Some(posting) = posting {
                let posting = txn.postings.get(posting as usize).filter(|p| p.out && !txn.streaming);
                let Some(&Posting { up, sent, .. }) = posting else { continue };
                inboxes.upstream(up, UpstreamNote::Overdue { sent });
                if now + self.measure.quick < txn.deadline {
                    self.copy(now, number);
                }
            } else if txn.held.is_some() {
                let still_out = txn.out();
                self.unhold(number);
                if !still_out {
                    self.hold_or_give_up(now, number, out);
                }
            }
        }
    }

    fn set_wake(&mut self, now: Tenths, ask_at: Option<Tenths>, out: &mut Vec<Action>) {
        let alarm = self.alarms.peek().map(|Reverse((at, ..))| *at);
        let Some(next) = alarm.into_iter().chain(ask_at).min() else { return };
        if self.wake.is_none_or(|at| at <= now || next < at) {
            self.wake = Some(next);
            out.push(Action::Wake { token: "wake", after: next.saturating_sub(now).max(1) });
        }
    }
}
