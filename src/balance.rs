//! All decisions of the balancer: events in, actions out, in order; no I/O, no clock. Inside are the desk
//! (txns and upstreams) and the roster (when to ask for the list), which `shell` holds together, as `Balancer`.
//! docs/design.md tells what was kept of the design.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};

use histogram::Histogram;
use nanorand::{Rng, WyRand};

use crate::{
    Action, Arrival, Effect, Entry, Event, Listing, Lists, Load, Outcome, Scope, Stage, Tenths, Terms, TxnId,
    UpstreamId,
};

mod shell;

pub use shell::Balancer;

const SECOND: Tenths = 10_000;

/// The percentile that makes tp, and the reliability that the needed tries aim at: with these two tries do.
const TP_PERCENTILE: f64 = 0.95;
const RELIABILITY: f64 = 0.99;
/// A txn is hopeless when fewer of the pooled answers than this would come within its time left.
const HOPELESS_PERCENTILE: f64 = 0.1;
const WINDOW_OUTCOMES: u32 = 1000;
const WINDOW: Tenths = 5 * SECOND;
/// The window waits for so many at least, or with little traffic it would never hold enough to speak.
const FEW_OUTCOMES: u32 = 32;

const FIRST_CAP: f64 = 4.0;
const GROWTH: f64 = 0.5;
const LATE_SHRINKS: f64 = 0.93;
const TIMELY_GROWS: f64 = 1.02;
/// The halving time of what flows: with it a level is the sum over ten seconds.
const LONG: Tenths = 7 * SECOND;
/// Of the txns of ten seconds this part is the number of upstreams used, but never fewer than so many.
const MEET: f64 = 0.15;
const LEAST_CIRCLE: usize = 8;
const OUT_SPAN: f64 = 2.0 * SECOND as f64;
/// A cap is halved above so many times the best pace.
const CROWDED: f64 = 2.2;
const PACE_ANSWERS: f64 = 8.0;
const BEST_ANSWERS: u32 = 256;
/// A posting is overdue after tp, or after this many times the pooled pace for its cost where that is longer.
const OVERDUE_PACE: f64 = 2.0;
const PACE_WINDOW: f64 = 32.0;
const FEW_ANSWERS: f64 = 4.0;
const CROSS: f64 = 0.1;
const CROSS_LEAST: f64 = 0.03;
const ZONE_STEEP: f64 = 3.0;
const REST_PACE: f64 = 2.5;
/// A hint of more, 28 minutes, can't be true; the bins of costs end there.
const MOST_COST: Tenths = (1 << 24) - 1;
/// What is listed beyond these can't be true, and one answer from there would spoil the pace of all.
const LEAST_SIZE: f64 = 0.01;
const MOST_SIZE: f64 = 1e4;

/// Distrust halves in this time; from `BENCHED` on an upstream gets nothing while others can serve.
const FADE: Tenths = 4 * SECOND;
const BENCHED: f64 = 2.0;
const ANSWER_CALMS: f64 = 0.7;
/// With fewer than one in so many trusted, the others serve too.
const FEW_TRUSTED: usize = 4;
const SPOILT_DOUBT: f64 = 0.25;
/// How much a zone is doubted for a posting since which nothing has come from it, and at most.
const ZONE_DOUBT: f64 = 0.5;
const MOST_ZONE_DOUBT: f64 = 3.0;

/// Further postings while one is out, for each txn settled in time, and how many may be saved up.
const EXTRA_SHARE: f64 = 0.1;
const EXTRA_SAVED: f64 = 4.0;

/// Where upstreams may be asked: txns of so many mean costs ask two, who have so long for both to answer, and
/// so long for one. What was told counts as new for `FRESH`, and its weight halves in the last figure.
const ASK_FROM: f64 = 1.0;
const ASKED: u32 = u32::MAX;
const ASKED_BOTH: Tenths = 250;
const ASKED_ANY: Tenths = 1500;
const FRESH: Tenths = 1000;
const REPORT_FADE: Tenths = 3 * SECOND;
/// A probe that is turned away stands for so many held.
const FULL: f64 = 100.0;

const GIVE_WAY: f64 = 4.0;
/// A part of the room is kept from a txn that others are worth more than: none where they are worth little
/// more, up to the second figure where it is worth little beside them.
const KEPT_STEEP: i32 = 4;
const MOST_KEPT: f64 = 0.75;
/// Postings for a unit of listed size before any answer has come.
const FIRST_ROOM: f64 = 8.0;
/// Room of which a part of this is taken counts as in use and grows: less is left to what is worth least.
const IN_USE: f64 = 0.33;
/// Where upstreams may be asked, one has been told enough to have so many out whatever the room.
const LEAST_ROOM: f64 = 3.0;

/// How much of the load that would push a cold upstream over this balancer's part may reach.
const COLD_MARGIN: f64 = 0.35;
/// What a new connection costs there, in mean txns.
const LEAST_ARRIVES: f64 = 0.1;

/// How long the list service may take for one balancer's call, and at worst.
const LIST_CALL: Tenths = 600;
const DEAREST_LIST_CALL: Tenths = 4000;
/// A change counts as told six seconds after the list service had it, whatever became of a call. Of these the
/// row takes up to two and noticing that a watch is silent up to 1.3; a call's wait before it is at most so long.
const SILENT_WAITS: Tenths = 32_000;
const FAILED_WAITS: Tenths = 40_000;

/// The pooled window: response times of all upstreams together, and the mean wait before first postings.
struct Gauge {
    took: Histogram,
    since: u32,
    halved: Tenths,
    /// What the desk plans with: tp, the mean wait, the tries needed, and the least time left worth a try.
    tp: Tenths,
    wait: f64,
    needed: u64,
    quick: Tenths,
}

impl Gauge {
    fn new(terms: &Terms) -> Self {
        let tightest = terms.schemes.iter().map(|s| s.sla).min().unwrap_or(SECOND);
        // Until answers come, half the tightest SLA time: late for most, early enough for a second try.
        let (tp, took) = ((tightest / 2).max(1), Histogram::new(3, 20).expect("the bins are fixed"));
        Gauge { took, since: 0, halved: 0, tp, wait: 0.0, needed: 1, quick: 0 }
    }

    fn took(&mut self, now: Tenths, took: Tenths) {
        self.took.increment(took.min((1 << 20) - 1)).unwrap_or_default();
        self.since += 1;
        if self.since >= WINDOW_OUTCOMES || now >= self.halved + WINDOW && self.since >= FEW_OUTCOMES {
            self.took.as_mut_slice().iter_mut().for_each(|bin| *bin /= 2);
            (self.since, self.halved) = (0, now);
        }
        let all: u64 = self.took.as_slice().iter().sum();
        if !self.since.is_multiple_of(16) || all < 16 {
            return;
        }
        let quantile = |part| self.took.quantile_bucket(part).ok().flatten();
        let (Some(quick), Some(tp)) = (quantile(HOPELESS_PERCENTILE), quantile(TP_PERCENTILE)) else {
            return;
        };
        let within: u64 = self.took.iter().take_while(|b| b.end() <= tp.end()).map(|b| b.count()).sum();
        let missed = (1.0 - within as f64 / all as f64).max(1e-6);
        (self.tp, self.quick) = (tp.end().max(1), quick.start());
        self.needed = ((1.0 - RELIABILITY).ln() / missed.ln()).ceil().max(1.0) as u64;
    }
}

/// What this balancer knows of an upstream.
#[derive(Default)]
struct Upstream {
    entry: Entry,
    /// Its place in the order of the lanes, alike at every balancer.
    order: u64,
    in_flight: u32,
    cost_out: f64,
    cap: f64,
    distrust: Fading,
    /// Work posted of late, against its budget while it is cold.
    cold_work: Fading,
    gone: Tenths,
    told: Told,
    answered: Tenths,
    /// When the last of the answered postings left.
    answered_sent: Tenths,
    pace: Pace,
}

/// What an upstream told last of its load, when, and the cost posted there since.
#[derive(Clone, Copy, Default)]
struct Told {
    at: Tenths,
    load: Load,
    since: f64,
}

impl Upstream {
    fn new(entry: &Entry, terms: &Terms) -> Self {
        let order = entry.upstream.bytes().fold(0, |hash, byte| mix(hash ^ u64::from(byte)));
        let entry = Entry { started: None, stage: Stage::Gone, ..entry.clone() };
        Upstream { entry, order, cap: terms.part(FIRST_CAP).max(1.0), ..Upstream::default() }
    }

    /// The part of its capacity that it has by now, at least.
    fn present(&self, now: Tenths, terms: &Terms) -> f64 {
        let cold = &terms.cold;
        let warmed = |age| cold.share + (1.0 - cold.share) * age as f64 / cold.warm_within as f64;
        self.cold_age(now, terms).map_or(1.0, warmed)
    }

    fn cold_age(&self, now: Tenths, terms: &Terms) -> Option<Tenths> {
        self.entry.started.map(|at| now.saturating_sub(at)).filter(|age| *age < terms.cold.warm_within)
    }

    fn listed(&mut self, now: Tenths, entry: Entry, terms: &Terms) {
        let known = std::mem::replace(&mut self.entry, entry);
        self.gone = now;
        if self.cold_age(now, terms).is_some() && self.entry.started != known.started {
            // A new process: what was known of the old one would send it too much too soon.
            (self.cap, self.distrust.level) = (1.0, 0.0);
        }
    }

    fn posted(&mut self, now: Tenths, cost: f64, arrives: f64, terms: &Terms) {
        self.in_flight += 1;
        self.cost_out += cost;
        self.told.since += cost;
        self.cold_work.add(now, terms.cold.window.max(1), arrives);
    }

    fn returned(&mut self, cost: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let idle = self.in_flight == 0;
        self.cost_out = if idle { 0.0 } else { (self.cost_out - cost).max(0.0) };
    }

    fn ended(&mut self, now: Tenths, outcome: Outcome, took: Tenths, cost: f64, tp: Tenths, terms: &Terms) {
        match outcome {
            Outcome::Ok => {
                self.answered = now;
                self.answered_sent = self.answered_sent.max(now.saturating_sub(took));
                self.distrust.level *= ANSWER_CALMS;
                if self.pace.crowding(took, cost) > CROWDED {
                    self.halve(terms);
                } else if took <= tp {
                    self.cap += GROWTH / self.cap;
                }
            }
            Outcome::TimedOut if now.saturating_sub(took) < self.answered_sent => {}
            // A full waiting room is the shortest queue to look at; it must not draw more.
            Outcome::Full | Outcome::TimedOut => {
                self.halve(terms);
                self.doubt(now, 1.0);
            }
            // One in so many from everybody is no sign of this one's health; nothing else is.
            Outcome::Spoilt => self.doubt(now, SPOILT_DOUBT),
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => self.doubt(now, 1.0),
            Outcome::Cancelled | Outcome::Moot => {}
        }
    }

    fn reported(&mut self, now: Tenths, outcome: Outcome, load: Load) {
        match outcome {
            Outcome::Ok => (self.told.load, self.told.since) = (load, 0.0),
            Outcome::Full => self.told.load.held = Some(FULL),
            Outcome::Cancelled | Outcome::Moot => self.told.load = Load::default(),
            _ => self.doubt(now, 1.0),
        }
        self.told.at = now;
    }

    fn overdue(&mut self, now: Tenths, sent: Tenths, terms: &Terms) {
        // A later one was answered: this is heavy, or its connection silent, and no crowd.
        if sent >= self.answered_sent {
            self.halve(terms);
            // Silent since that posting left: perhaps it takes txns and answers none.
            if self.answered < sent {
                self.doubt(now, 1.0);
            }
        }
    }

    fn halve(&mut self, terms: &Terms) {
        self.cap = (self.cap / 2.0).max(terms.part(self.entry.size)).max(1.0);
    }

    /// Grows by its own half too, so that an upstream that fails each careful try is tried ever less often.
    fn doubt(&mut self, now: Tenths, step: f64) {
        let level = self.distrust.at(now, FADE) * (1.0 + step / 2.0) + step;
        self.distrust = Fading { level: level.min(4.0 * BENCHED), at: now };
    }
}

#[derive(Clone, Copy, Default)]
struct Fading {
    level: f64,
    at: Tenths,
}

impl Fading {
    fn at(&self, now: Tenths, half: Tenths) -> f64 {
        self.level * (-(now.saturating_sub(self.at) as f64) / half as f64).exp2()
    }

    fn add(&mut self, now: Tenths, half: Tenths, amount: f64) {
        (self.level, self.at) = (self.at(now, half) + amount, now);
    }
}

/// Time taken for a unit of cost, as a geometric mean of the last answers: a pause or a heavy tail makes a
/// few answers very late and must not pass for a crowd, which makes all of them late.
#[derive(Default)]
struct Pace {
    log: f64,
    answers: f64,
    best: f64,
    older: Option<f64>,
    count: u32,
    least: f64,
}

impl Pace {
    fn note(&mut self, took: Tenths, cost: f64, window: f64) -> f64 {
        self.least = if self.answers == 0.0 { took as f64 } else { self.least.min(took as f64) };
        self.answers = (self.answers + 1.0).min(window);
        self.log += ((took.max(1) as f64 / cost).ln() - self.log) / self.answers;
        self.mean()
    }

    fn crowding(&mut self, took: Tenths, cost: f64) -> f64 {
        let pace = self.note(took, cost, PACE_ANSWERS);
        // Costs are in time of a standard core: one never seen at rest must not take a jam for its best.
        let rest = if cost > 1.0 { REST_PACE } else { pace };
        let seen = if self.answers < PACE_ANSWERS { rest } else { pace.min(rest) };
        self.count += 1;
        // The least of thousands is luck: held for good, each pace would be a crowd by the end of a day.
        if self.count.is_multiple_of(BEST_ANSWERS) {
            (self.older, self.best) = (Some(self.best), seen);
        }
        self.best = if self.best > 0.0 { self.best.min(seen) } else { seen };
        pace / self.older.map_or(self.best, |older| older.min(self.best)).max(1e-9)
    }

    fn mean(&self) -> f64 {
        self.log.exp()
    }
}

/// What is seen of the upstreams of one zone together.
#[derive(Default)]
struct Zone {
    pace: Pace,
    distrust: Fading,
    answered: Tenths,
}

impl Zone {
    /// A zone cut off is silent as a whole. Found by each upstream's own failures, it would take in every txn
    /// drawn there for as long as the cut lasts.
    fn unanswered(&mut self, now: Tenths, sent: Tenths) {
        if self.answered < sent {
            self.distrust.add(now, FADE, ZONE_DOUBT);
            self.distrust.level = self.distrust.level.min(MOST_ZONE_DOUBT);
        }
    }
}

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
    rank: u64,
    held: Option<Tenths>,
    postings: Vec<Posting>,
    /// When it asked for their load before it is posted, and which upstreams.
    asked: (Tenths, Vec<usize>),
}

impl Txn {
    fn out(&self) -> bool {
        self.postings.iter().any(|p| p.out)
    }

    /// The first that may have run.
    fn first(&self) -> Option<&Posting> {
        self.postings.iter().find(|p| p.out || p.may_have_run)
    }

    fn never_ran(&self) -> bool {
        self.first().is_none()
    }
}

/// Live upstreams in an order of this balancer's own, by which it takes them into use, and by place.
type Ranking = BTreeSet<(u64, usize)>;

#[derive(Default)]
struct Seen {
    names: BTreeMap<UpstreamId, usize>,
    board: Vec<Upstream>,
    /// The upstreams used, in lane order, and how many of them make up the light lane.
    lanes: Vec<usize>,
    light: usize,
    circle: usize,
    stale: bool,
    partial: bool,
    pace: Pace,
    /// As above, for a unit of cost by listed size: what kinds and zones are held against.
    listed: Pace,
    kinds: BTreeMap<u32, Pace>,
    /// How many txns an upstream works on at once, by what those with a queue tell.
    cores: f64,
    zones: BTreeMap<u32, Zone>,
    arrivals: Fading,
    flow: Fading,
    cost_sums: [f64; 2],
    cost_count: u32,
    /// Those of the own zone and of the others.
    near: Ranking,
    far: Ranking,
    /// Listed size by place, 0 where not live, as of the last draw; the places listed since; the sum of sizes.
    sizes: Vec<f64>,
    relisted: BTreeSet<usize>,
    size: Option<f64>,
    /// This balancer's room among all live upstreams, and what it has out.
    room: f64,
    out_now: f64,
    out_mean: f64,
    out_at: Tenths,
}

impl Seen {
    /// Where a live upstream stands among those of the own zone or of the others.
    fn rank(&mut self, up: usize, terms: &Terms, change: impl Fn(&mut Ranking, (u64, usize)) -> bool) {
        let upstream = &self.board[up];
        if upstream.entry.stage == Stage::Live {
            let ranking = if upstream.entry.zone == terms.own_zone { &mut self.near } else { &mut self.far };
            change(ranking, (mix(upstream.order ^ mix(u64::from(terms.own_number))), up));
        }
    }

    /// Listed size of all that were live when the circle was drawn last, added up once it is needed.
    fn size(&mut self) -> f64 {
        *self.size.get_or_insert_with(|| self.sizes.iter().sum())
    }

    fn slower(&self, some: Option<&Pace>) -> f64 {
        some.map_or(0.0, |p| (p.log - self.listed.log) * p.answers / (p.answers + FEW_ANSWERS))
    }
}

#[derive(Default)]
struct Book {
    txns: BTreeMap<u64, Txn>,
    numbers: HashMap<TxnId, u64>,
    next: u64,
    held: BTreeSet<(Tenths, u64)>,
    by_rank: BTreeSet<(u64, Reverse<Tenths>, u64)>,
    held_cost: f64,
    /// When a posting is overdue or, without one, when the time left of a held txn becomes too short. That of
    /// no posting (`ASKED`) only wakes, to see who has answered a probe.
    alarms: BinaryHeap<Reverse<(Tenths, u64, Option<u32>)>>,
}

struct Desk {
    terms: Terms,
    rng: WyRand,
    gauge: Gauge,
    seen: Seen,
    book: Book,
    costs: Histogram,
    extra: f64,
    quotas: Vec<(f64, Tenths)>,
}

impl Desk {
    fn new(terms: Terms, rng: WyRand) -> Self {
        let (gauge, quotas) = (Gauge::new(&terms), vec![(0.0, 0); terms.tenants.len()]);
        let costs = Histogram::new(3, 24).expect("the bins are fixed");
        let (seen, book) = (Seen { cores: 1.0, ..Seen::default() }, Book::default());
        Desk { gauge, quotas, terms, rng, seen, book, costs, extra: EXTRA_SAVED }
    }

    fn receive(&mut self, now: Tenths, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrived(arrival) => self.arrive(now, arrival, out),
            Event::Ended { txn, posting, upstream, outcome, took, settled, load } => {
                let Some(&up) = self.seen.names.get(&upstream) else { return };
                if self.terms.probing && (load.held.is_some() || outcome == Outcome::Full) {
                    let told = if outcome == Outcome::Full { outcome } else { Outcome::Ok };
                    self.report(now, up, told, load);
                }
                let zone = self.seen.zones.entry(self.seen.board[up].entry.zone).or_default();
                // Lost with its zone, it says nothing of how long answers take, nor of a jam.
                let lost = outcome == Outcome::TimedOut && zone.answered < now.saturating_sub(took);
                if matches!(outcome, Outcome::Ok | Outcome::TimedOut) && !lost {
                    self.gauge.took(now, took);
                }
                let number = self.book.numbers.get(&txn).copied();
                let txn = number.and_then(|n| self.book.txns.get(&n));
                let (cost, sla) = txn.map_or((self.mean_cost(), 0), |t| (t.cost, t.deadline - t.arrived));
                self.note_out(now, -1.0);
                if matches!(outcome, Outcome::Ok | Outcome::TimedOut | Outcome::Full) && !lost {
                    let waited = took as f64 - REST_PACE * cost;
                    self.make_room(2.0 * waited > sla as f64 || outcome == Outcome::Full);
                }
                let upstream = &mut self.seen.board[up];
                let entry = &upstream.entry;
                let size = entry.size.clamp(LEAST_SIZE, MOST_SIZE);
                let (zone, work) = (self.seen.zones.entry(entry.zone).or_default(), cost / size);
                // Else a small txn's way there and back would pass for a crowd at its upstream.
                let way = zone.pace.least;
                if matches!(outcome, Outcome::ConnectFailed | Outcome::TimedOut) {
                    zone.unanswered(now, now.saturating_sub(took));
                }
                if outcome == Outcome::Ok {
                    (zone.answered, zone.distrust.level) = (now, zone.distrust.level * ANSWER_CALMS);
                    zone.pace.note(took, work, PACE_WINDOW);
                    self.seen.pace.note(took, cost + way, PACE_WINDOW);
                    self.seen.listed.note(took, work + way, PACE_WINDOW);
                    self.seen.kinds.entry(entry.kind).or_default().note(took, work + way, PACE_WINDOW);
                }
                upstream.returned(cost);
                upstream.ended(now, outcome, took, cost + way, self.gauge.tp, &self.terms);
                let Some(number) = number else { return };
                let Some(txn) = self.book.txns.get_mut(&number) else { return };
                if let Some(p) = txn.postings.get_mut(posting as usize) {
                    (p.out, p.may_have_run) = (false, !outcome.never_ran());
                }
                if !settled {
                    return self.failed(now, number, out);
                }
                if outcome == Outcome::Ok {
                    self.extra =
                        (self.extra + if now <= txn.deadline { EXTRA_SHARE } else { 0.0 }).min(EXTRA_SAVED);
                    self.seen.flow.add(now, LONG, txn.cost / (10 * SECOND) as f64);
                }
                self.close(number, out);
            }
            Event::Left { txn } => {
                self.book.numbers.get(&txn).copied().into_iter().for_each(|number| self.close(number, out))
            }
            Event::Probed { upstream, outcome, load, .. } => {
                if let Some(&up) = self.seen.names.get(&upstream) {
                    self.report(now, up, outcome, load);
                }
            }
            // Talk with peers is not used.
            Event::Listed(_) | Event::Woke { .. } | Event::Heard { .. } => {}
        }
    }

    /// Takes what the list says of an upstream, or that it is not on the list any more.
    fn listed(&mut self, now: Tenths, up: usize, entry: Option<Entry>) {
        self.seen.rank(up, &self.terms, |ranking, rank| ranking.remove(&rank));
        let upstream = &mut self.seen.board[up];
        match entry {
            Some(entry) => upstream.listed(now, entry, &self.terms),
            None => (upstream.entry.stage, upstream.gone) = (Stage::Gone, now),
        }
        self.seen.rank(up, &self.terms, |ranking, rank| ranking.insert(rank));
        self.seen.relisted.insert(up);
    }

    fn report(&mut self, now: Tenths, up: usize, outcome: Outcome, load: Load) {
        if let (Some(held), Some(waiting)) = (load.held, load.waiting.filter(|waiting| *waiting >= 1.0)) {
            self.seen.cores += (held - waiting - self.seen.cores) / PACE_WINDOW;
        }
        self.seen.board[up].reported(now, outcome, load);
    }

    fn arrive(&mut self, now: Tenths, arrival: Arrival, out: &mut Vec<Action>) {
        let number = self.book.next;
        self.book.next += 1;
        self.seen.arrivals.add(now, LONG, 1.0);
        let scheme = (arrival.scheme as usize).min(self.terms.schemes.len() - 1);
        let share = self.share(now, arrival.tenant as usize);
        let rank = (self.terms.schemes[scheme].value * share).max(0.0).to_bits();
        let deadline = now + self.terms.schemes[scheme].sla.min(arrival.left);
        let cost = arrival.cost.unwrap_or(1).clamp(1, MOST_COST) as f64;
        let (id, key, heavy) = (arrival.txn.clone(), arrival.key, self.weigh(cost));
        let (arrived, held, postings, asked) = (now, None, Vec::new(), (0, Vec::new()));
        self.book.numbers.insert(arrival.txn, number);
        let t = Txn { id, scheme, cost, key, heavy, arrived, deadline, rank, held, postings, asked };
        self.book.txns.insert(number, t);
        // Against one long txn that is hardly worth its time making dozens late that wait behind it: by the
        // pooled pace it would itself be late, and all the sooner the more the others are worth.
        let takes = self.kept(number) * self.seen.pace.mean() * cost;
        if !self.terms.probing && takes > (deadline - now) as f64 {
            self.give_up(number, out)
        } else {
            self.hold(now, number)
        }
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

    fn weigh(&mut self, cost: f64) -> bool {
        let median = self.costs.quantile_bucket(0.5).ok().flatten();
        let heavy = median.is_some_and(|bin| cost > bin.end() as f64);
        let _beyond = self.costs.increment(cost as u64);
        self.seen.cost_sums[usize::from(heavy)] += cost;
        self.seen.cost_count += 1;
        if self.seen.cost_count >= 2 * WINDOW_OUTCOMES {
            self.costs.as_mut_slice().iter_mut().for_each(|bin| *bin /= 2);
            self.seen.cost_sums.iter_mut().for_each(|sum| *sum /= 2.0);
            self.seen.cost_count = WINDOW_OUTCOMES;
        }
        heavy
    }

    fn mean_cost(&self) -> f64 {
        self.seen.cost_sums.iter().sum::<f64>() / f64::from(self.seen.cost_count.max(1))
    }

    /// The upstreams this balancer uses: as many as it can meet often enough to know and keep connections to,
    /// more of its own zone than of others, up to half, but not so many that those of a small zone are in
    /// half of all circles. Each balancer ranks all upstreams in an order of its own and uses the first live
    /// ones, so they are used by about equally many, and what comes or goes moves nobody else.
    fn draw_circle(&mut self) {
        let Seen { board, near, far, sizes, relisted, circle, .. } = &mut self.seen;
        sizes.resize(board.len(), 0.0);
        for up in std::mem::take(relisted) {
            let Entry { stage, size, .. } = board[up].entry;
            sizes[up] = if stage == Stage::Live { size } else { 0.0 };
        }
        let all = near.len() + far.len();
        let circle = all.min(*circle);
        let part = 3 * circle * near.len() / (2 * all.max(1));
        let half = part.min(circle / 2).max(circle.saturating_sub(far.len())).min(near.len());
        // The lane order puts the own zone first: a light lane of one or two upstreams would else lie in
        // another zone for most balancers, and half of all txns cross to it.
        let first = |ranking: &Ranking, count| {
            let mut ups: Vec<usize> = ranking.iter().take(count).map(|(_, up)| *up).collect();
            ups.sort_by_key(|up| board[*up].order);
            ups
        };
        self.seen.lanes = [first(near, half), first(far, circle - half)].concat();
        (self.seen.partial, self.seen.size) = (all > circle, None);
    }

    /// The light lane gets its share of the cost in upstream sizes; both get one upstream at least.
    fn lay_lanes(&mut self, now: Tenths) {
        let met = MEET * self.seen.arrivals.at(now, LONG);
        let wanted = if self.terms.warm_keys {
            usize::MAX
        } else {
            LEAST_CIRCLE.max((met as usize + 1).next_power_of_two() / 2)
        };
        if self.seen.stale
            || wanted > self.seen.circle
            || wanted < self.seen.circle && met < 0.7 * self.seen.circle as f64
        {
            (self.seen.circle, self.seen.stale) = (wanted, false);
            self.draw_circle();
        }
        if self.seen.room == 0.0 {
            self.seen.room = self.terms.part(FIRST_ROOM * self.seen.size());
        }
        let cost: f64 = self.seen.cost_sums.iter().sum();
        let all: f64 = self.seen.lanes.iter().map(|up| self.speed(*up)).sum();
        let mut part = all * self.seen.cost_sums[0] / cost.max(1e-9);
        // One lane where no hint tells heavy from light: an upstream kept for the other would idle. And where
        // the circle is a part of the list: what is one balancer's light lane is in others' heavy ones, so
        // that light txns wait behind heavy ones all the same, and each lane has too few to choose from.
        let one_lane = self.seen.cost_sums[1] == 0.0 || self.seen.partial;
        let fits = |up: &&usize| {
            part -= self.speed(**up);
            one_lane || part >= -self.speed(**up) / 2.0
        };
        self.seen.light = self.seen.lanes.iter().take_while(fits).count();
        if !one_lane {
            self.seen.light = self.seen.light.max(1).min(self.seen.lanes.len().saturating_sub(1).max(1));
        }
    }

    fn plan(&self, now: Tenths, deadline: Tenths) -> (Tenths, bool) {
        let span = self.gauge.wait as Tenths + self.gauge.tp;
        let slots = deadline.saturating_sub(now) / span;
        let tries = slots.min(self.gauge.needed);
        let early = if tries == 0 { self.gauge.tp } else { tries * span };
        (deadline.saturating_sub(early), slots > 0)
    }

    fn hold(&mut self, now: Tenths, number: u64) {
        let deadline = self.book.txns[&number].deadline;
        let (send_by, _) = self.plan(now, deadline);
        let by = self.begin_by(number).unwrap_or(deadline);
        let last = deadline.saturating_sub(self.gauge.quick).min(by).max(now + 1);
        let Some(txn) = self.book.txns.get_mut(&number) else { return };
        txn.held = Some(send_by);
        self.book.held.insert((send_by, number));
        self.book.by_rank.insert((txn.rank, Reverse(send_by), number));
        self.book.held_cost += txn.cost;
        self.book.alarms.push(Reverse((last, number, None)));
    }

    fn unhold(&mut self, number: u64) {
        let Some(txn) = self.book.txns.get_mut(&number) else { return };
        let Some(send_by) = txn.held.take() else { return };
        self.book.held.remove(&(send_by, number));
        self.book.by_rank.remove(&(txn.rank, Reverse(send_by), number));
        self.book.held_cost -= txn.cost;
    }

    /// In a jam the txns of least value give way, at once rather than at the end of a hopeless wait.
    fn shed(&mut self, now: Tenths, out: &mut Vec<Action>) {
        while let Some(&(_, _, number)) = self.book.by_rank.first() {
            let txn = &self.book.txns[&number];
            let flow = self.seen.flow.at(now, LONG);
            let slack = txn.deadline.saturating_sub(self.gauge.tp).saturating_sub(now);
            // What only waits for an answer to what it asked is in nobody's way.
            let asks = self.terms.probing && self.has_room(number);
            if GIVE_WAY * self.book.held_cost <= slack as f64 * flow || flow == 0.0 || asks {
                return;
            }
            self.stop_waiting(number, out);
        }
    }

    /// What is out, and its mean over the last while: a part of less than one posting is a part of the time.
    fn note_out(&mut self, now: Tenths, change: f64) {
        let span = (now - self.seen.out_at) as f64;
        self.seen.out_mean += (self.seen.out_now - self.seen.out_mean) * (1.0 - (-span / OUT_SPAN).exp());
        self.seen.out_at = now;
        self.seen.out_now = (self.seen.out_now + change).max(0.0);
    }

    /// Each upstream is seen too seldom: the share of all that wait too long tells of a jam not to feed.
    fn make_room(&mut self, late: bool) {
        if late {
            self.seen.room = (self.seen.room * LATE_SHRINKS).max(self.terms.part(self.seen.size()));
        } else if self.seen.out_mean >= IN_USE * self.seen.room {
            self.seen.room *= TIMELY_GROWS;
        }
    }

    /// Until when one that may have run can be repeated without running twice.
    fn begin_by(&self, number: u64) -> Option<Tenths> {
        let txn = &self.book.txns[&number];
        let Effect::Referenced { memory, .. } = self.terms.schemes[txn.scheme].effect else { return None };
        txn.first().map(|p| p.sent + memory)
    }

    /// One posting, or one txn given up; false when nothing more can leave.
    fn release(&mut self, now: Tenths, out: &mut Vec<Action>) -> bool {
        self.note_out(now, 0.0);
        // More than the first, against one that only some upstreams may take keeping all others waiting.
        let heads: Vec<u64> = self.book.held.iter().take(4).map(|(_, number)| *number).collect();
        for number in heads {
            if self.seen.lanes.is_empty() || self.begin_by(number).is_some_and(|by| by <= now + 1) {
                // Nobody to send it to, or who would not know it again: the client had better hear so at once.
                self.stop_waiting(number, out);
                return true;
            }
            if let Some(up) = self.has_room(number).then(|| self.pick(now, number, out)).flatten() {
                self.unhold(number);
                // Where nobody waits it costs nobody, and late is worth more than never.
                if self.told(now, up) >= self.mean_cost() && self.is_late(now, number, up) {
                    self.give_up(number, out);
                } else {
                    self.post(now, number, up, out);
                }
                return true;
            }
        }
        false
    }

    /// With little traffic a balancer holds one txn at a time, so that comparing what is held spares nothing:
    /// in a jam of the fleet the dearest was declined as often as the cheapest. The last of the room is kept
    /// for what is worth more.
    fn has_room(&self, number: u64) -> bool {
        let least = if self.terms.probing { LEAST_ROOM } else { 0.0 };
        let room = least.max((1.0 - self.kept(number)) * self.seen.room);
        self.seen.out_now + 1.0 <= room || self.seen.out_mean <= room
    }

    /// Whether it is foreseen to be late there, by what is told to be waiting and its own work.
    fn is_late(&self, now: Tenths, number: u64, up: usize) -> bool {
        let txn = &self.book.txns[&number];
        let left = txn.deadline.saturating_sub(now) as f64 * self.speed(up);
        self.terms.probing && self.told(now, up) + txn.cost * self.seen.cores.max(1.0) > left
    }

    /// The part that a txn leaves to those that are worth more.
    fn kept(&self, number: u64) -> f64 {
        let value = f64::from_bits(self.book.txns[&number].rank);
        let most = self.terms.schemes.iter().map(|s| s.value).fold(value, f64::max);
        (1.0 - value / most.max(f64::MIN_POSITIVE)).powi(KEPT_STEEP).min(MOST_KEPT)
    }

    fn pick(&mut self, now: Tenths, number: u64, out: &mut Vec<Action>) -> Option<usize> {
        let chance = self.rng.generate::<u64>();
        let txn = &self.book.txns[&number];
        let cost = txn.cost;
        let split = self.seen.light.min(self.seen.lanes.len());
        let (mut own, mut other) = self.seen.lanes.split_at(split);
        if txn.heavy && !other.is_empty() {
            (own, other) = (other, own);
        }
        let pinned = match self.terms.schemes[txn.scheme].effect {
            Effect::Referenced { scope, .. } => txn.first().map(|p| (scope, &self.seen.board[p.up])),
            _ => None,
        };
        let fit = |up: &usize, careful: bool| {
            let s = &self.seen.board[*up];
            let in_group = pinned.is_none_or(|(scope, first)| match scope {
                Scope::All => true,
                Scope::Zone => first.entry.zone == s.entry.zone,
                Scope::Cell => first.entry.cell == s.entry.cell,
            });
            in_group
                && f64::from(s.in_flight) < s.cap
                && !txn.postings.iter().any(|p| p.up == *up && (p.out || careful))
                && self.cold_room(now, *up, self.arrives(txn.cost))
        };
        let trusted = |up: &usize, any_zone: bool| {
            let s = &self.seen.board[*up];
            let zone = self.seen.zones.get(&s.entry.zone).filter(|_| !any_zone);
            let distrust = zone.map_or(0.0, |zone| zone.distrust.at(now, FADE));
            distrust.max(s.distrust.at(now, FADE)) < BENCHED
        };
        let mut fitting: Vec<usize> = Vec::new();
        for any_zone in [false, true] {
            for lane in [own, other] {
                if !fitting.is_empty() {
                    break;
                }
                fitting.extend(lane.iter().copied().filter(|up| trusted(up, any_zone) && fit(up, true)));
            }
            let count = self.seen.lanes.iter().filter(|up| trusted(up, any_zone)).count();
            if fitting.is_empty() && FEW_TRUSTED * count >= self.seen.lanes.len() {
                return None;
            }
        }
        if fitting.is_empty() {
            // Nearly all look bad: the fault may be ours, and traffic still has to flow.
            fitting.extend(self.seen.lanes.iter().copied().filter(|up| fit(up, false)));
        }
        let timely: Vec<usize> =
            fitting.iter().copied().filter(|up| !self.is_late(now, number, *up)).collect();
        let two = self.two(now, number, if timely.is_empty() { &fitting } else { &timely }, chance);
        if !self.terms.probing || cost < ASK_FROM * self.mean_cost() {
            return self.least(now, &two, cost);
        }
        let txn = self.book.txns.get_mut(&number)?;
        if txn.asked.1.is_empty() {
            for &up in two.iter().filter(|up| self.seen.board[**up].told.at + FRESH <= now) {
                out.push(Action::Probe { upstream: self.seen.board[up].entry.upstream.clone() });
            }
            txn.asked = (now, two.clone());
            let waits = [ASKED_BOTH, ASKED_ANY].map(|wait| Reverse((now + wait, number, Some(ASKED))));
            self.book.alarms.extend(waits);
        }
        // Some wait like a txn before they answer: who answers first has the shortest queue.
        let (since, asked) = (now - txn.asked.0, &txn.asked.1);
        let heard = |up: &&usize| self.seen.board[**up].told.at + FRESH > txn.asked.0;
        let told: Vec<usize> = asked.iter().filter(heard).copied().collect();
        if told.len() < asked.len() && since < if told.is_empty() { ASKED_ANY } else { ASKED_BOTH } {
            return None;
        }
        let told: Vec<usize> = told.into_iter().filter(|up| fitting.contains(up)).collect();
        self.least(now, if told.is_empty() { &two } else { &told }, cost)
    }

    fn least(&self, now: Tenths, ups: &[usize], cost: f64) -> Option<usize> {
        ups.iter().copied().min_by(|a, b| self.load(now, *a, cost).total_cmp(&self.load(now, *b, cost)))
    }

    /// The two of those that fit between which load decides, drawn by speed: where little is in flight, slow
    /// ones must not get as much. A key draws in place of chance, alike wherever speeds are held to be alike.
    fn two(&self, now: Tenths, number: u64, fitting: &[usize], chance: u64) -> Vec<usize> {
        let txn = &self.book.txns[&number];
        let key = txn.key.filter(|_| self.terms.warm_keys);
        // Twice its time is not left: two drawn at random may both be too slow for it.
        let tight = OVERDUE_PACE * self.seen.pace.mean() * txn.cost > txn.deadline.saturating_sub(now) as f64;
        // Crossing is for when the own zone is worse: the others get more as it answers more slowly.
        let pace = |zone: u32| self.seen.slower(self.seen.zones.get(&zone).map(|zone| &zone.pace));
        let rank = |up: usize| {
            let s = &self.seen.board[up];
            let drawn = mix(key.unwrap_or(chance) ^ s.order) as f64 / u64::MAX as f64;
            let near = key.is_some() || s.entry.zone == self.terms.own_zone;
            let slower = pace(self.terms.own_zone) - pace(s.entry.zone);
            let away = (CROSS * (ZONE_STEEP * slower).exp()).clamp(CROSS_LEAST, 1.0);
            let weight = self.speed(up) * if near { 1.0 } else { away };
            if key.is_none() && tight {
                self.load(now, up, txn.cost)
            } else {
                -drawn.max(f64::MIN_POSITIVE).ln() / weight
            }
        };
        let mut two: Vec<(f64, usize)> = fitting.iter().map(|up| (rank(*up), *up)).collect();
        two.sort_by(|a, b| a.0.total_cmp(&b.0));
        two.into_iter().map(|(_, up)| up).take(2).collect()
    }

    /// Listed size by the pace of all upstreams of its kind, since each is met too seldom to know its own.
    fn speed(&self, up: usize) -> f64 {
        let s = &self.seen.board[up];
        s.entry.size * (-self.seen.slower(self.seen.kinds.get(&s.entry.kind))).exp()
    }

    /// The cost that an upstream told of, and what was posted there since; what it told fades.
    fn told(&self, now: Tenths, up: usize) -> f64 {
        let told = self.seen.board[up].told;
        let level = told.load.held.map_or(0.0, |held| held * self.mean_cost() + told.since);
        Fading { level, at: told.at }.at(now, REPORT_FADE)
    }

    /// What is in flight counts by its cost: a very heavy txn has time enough only where work gets done fast.
    fn load(&self, now: Tenths, up: usize, cost: f64) -> f64 {
        let s = &self.seen.board[up];
        let away = if s.entry.zone == self.terms.own_zone { 0.0 } else { 1.0 };
        let told = self.told(now, up);
        (s.cost_out.max(told) + cost * self.seen.cores.max(1.0) + away * self.mean_cost()) / self.speed(up)
            * (1.0 + s.distrust.at(now, FADE))
    }

    /// A cold upstream may get its part of what warm ones are seen to bear (settled cost by size), in
    /// every window of the rule: a burst right after its start would push it over. What is less than a txn is
    /// spent by chance, drawn once a window: a free txn for each of many balancers would be hundreds in sum.
    fn cold_room(&self, now: Tenths, up: usize, cost: f64) -> bool {
        let (cold, s) = (&self.terms.cold, &self.seen.board[up]);
        let Some(age) = s.cold_age(now, &self.terms) else { return true };
        // Of a fleet that is mostly cold, what its listed speed could bear would be taken for far too little.
        let present = |up: &usize| self.seen.board[*up].present(now, &self.terms) * self.speed(*up);
        let flow = self.seen.flow.at(now, LONG) / self.seen.lanes.iter().map(present).sum::<f64>();
        let budget = COLD_MARGIN * cold.multiple * flow * present(&up) * cold.window as f64;
        let drawn = mix(mix(s.order ^ u64::from(self.terms.own_number)) ^ (age / cold.window.max(1))) as f64
            / u64::MAX as f64;
        s.cold_work.at(now, cold.window.max(1)) + cost <= budget + drawn * cost
    }

    /// What a posting costs a cold upstream: a new connection too, and light ones are heavier than they look.
    fn arrives(&self, cost: f64) -> f64 {
        cost + LEAST_ARRIVES * self.mean_cost()
    }

    fn post(&mut self, now: Tenths, number: u64, up: usize, out: &mut Vec<Action>) {
        let deadline = self.book.txns[&number].deadline;
        let ((_, slot), begin_by) = (self.plan(now, deadline), self.begin_by(number));
        let Some(txn) = self.book.txns.get_mut(&number) else { return };
        let repeatable = self.terms.schemes[txn.scheme].effect == Effect::Repeatable;
        let first = txn.postings.is_empty();
        if first {
            self.gauge.wait += ((now - txn.arrived) as f64 - self.gauge.wait) / PACE_WINDOW;
        } else if txn.out() {
            self.extra -= 1.0;
        }
        // Neither a heavy txn nor a long way is a sign of trouble: its repeat would be the dearest waste.
        let way = self.seen.zones.get(&self.seen.board[up].entry.zone).map_or(0.0, |zone| zone.pace.least);
        let due = self.gauge.tp.max((OVERDUE_PACE * self.seen.pace.mean() * (txn.cost + way)) as Tenths);
        // Where two may not be out together, the first ends at tp to make room for the next.
        let last = txn.postings.len() + 1 >= self.terms.max_postings as usize;
        let timeout = (repeatable && !self.terms.second_copies && !last && slot).then_some(due);
        txn.asked.1.clear();
        let posting = txn.postings.len() as u32;
        txn.postings.push(Posting { up, sent: now, out: true, may_have_run: false });
        let upstream = self.seen.board[up].entry.upstream.clone();
        out.push(Action::Post { txn: txn.id.clone(), upstream, timeout, begin_by });
        let cost = txn.cost;
        let arrives = self.arrives(cost);
        self.seen.board[up].posted(now, cost, arrives, &self.terms);
        self.book.alarms.push(Reverse((now + due, number, Some(posting))));
        self.note_out(now, 1.0);
        if first && !slot && now < deadline {
            self.copy(now, number);
        }
    }

    /// Only as many as what settled in time pays for, against copies feeding the slowdown they should hide.
    fn copy(&mut self, now: Tenths, number: u64) {
        let txn = &self.book.txns[&number];
        let may_repeat =
            self.terms.second_copies && self.terms.schemes[txn.scheme].effect != Effect::OnceOnly;
        let may_post = txn.postings.len() < self.terms.max_postings as usize;
        if may_repeat && may_post && txn.held.is_none() && self.extra >= 1.0 {
            self.hold(now, number);
        }
    }

    fn failed(&mut self, now: Tenths, number: u64, out: &mut Vec<Action>) {
        let txn = &self.book.txns[&number];
        if txn.held.is_some() || txn.out() {
            return;
        }
        let may_repeat = self.terms.schemes[txn.scheme].effect != Effect::OnceOnly || txn.never_ran();
        let may_post = may_repeat && txn.postings.len() < self.terms.max_postings as usize;
        if may_post { self.hold_or_give_up(now, number, out) } else { self.give_up(number, out) }
    }

    /// The final answer for what cannot be settled: a decline where the rules allow it, else a reversal.
    fn give_up(&mut self, number: u64, out: &mut Vec<Action>) {
        let txn = &self.book.txns[&number];
        let may_decline = match self.terms.schemes[txn.scheme].effect {
            Effect::Repeatable | Effect::Referenced { scope: Scope::All, .. } => true,
            Effect::OnceOnly | Effect::Referenced { .. } => txn.never_ran(),
        };
        let txn = txn.id.clone();
        // Apart from each other, against all those declined coming back in one wave.
        let cool_down = self.terms.cool_down.map(|l| l / 2 + self.rng.generate_range(0..(l / 2).max(1)));
        out.push(if may_decline { Action::Decline { txn, cool_down } } else { Action::Reverse { txn } });
        self.close(number, out);
    }

    fn stop_waiting(&mut self, number: u64, out: &mut Vec<Action>) {
        if self.book.txns[&number].out() { self.unhold(number) } else { self.give_up(number, out) }
    }

    fn hold_or_give_up(&mut self, now: Tenths, number: u64, out: &mut Vec<Action>) {
        let hopeful = now + self.gauge.quick < self.book.txns[&number].deadline;
        if hopeful { self.hold(now, number) } else { self.give_up(number, out) }
    }

    fn close(&mut self, number: u64, out: &mut Vec<Action>) {
        self.unhold(number);
        let Some(txn) = self.book.txns.remove(&number) else { return };
        self.book.numbers.remove(&txn.id);
        let outs = (0u32..).zip(&txn.postings).filter(|(_, p)| p.out && self.terms.cancelling);
        out.extend(outs.map(|(posting, _)| Action::Recall { txn: txn.id.clone(), posting }));
    }

    fn ring(&mut self, now: Tenths, out: &mut Vec<Action>) {
        while let Some(&Reverse((_, number, posting))) =
            self.book.alarms.peek().filter(|alarm| alarm.0.0 <= now)
        {
            self.book.alarms.pop();
            let Some(txn) = self.book.txns.get(&number) else { continue };
            if let Some(posting) = posting {
                let posting = txn.postings.get(posting as usize).filter(|p| p.out);
                let Some(&Posting { up, sent, .. }) = posting else { continue };
                self.seen.board[up].overdue(now, sent, &self.terms);
                let zone = self.seen.board[up].entry.zone;
                self.seen.zones.entry(zone).or_default().unanswered(now, sent);
                if now + self.gauge.quick < txn.deadline {
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
}

struct Roster {
    failures: u32,
    ask_at: Option<Tenths>,
}

impl Roster {
    /// Against a bank started in step failing each other's calls, which wait in one row, worked through even
    /// for who has left it: calls are spread over the time that all take, as far as what is to be told by then
    /// lets them. Who is turned away time and again comes back ever later: all would else be for good.
    fn ask(&mut self, now: Tenths, why: &Listing, terms: &Terms, rng: &mut WyRand) {
        let row = LIST_CALL * u64::from(terms.balancers);
        let (least, longest) = match (terms.lists, why) {
            (Lists::Unasked, _) => return,
            (Lists::Agent, Listing::Silent | Listing::Remembered(_)) => (0, 1),
            (Lists::Agent, _) => (LIST_CALL, 4 * LIST_CALL),
            (Lists::Asked { .. }, Listing::Silent) => (0, row.min(SILENT_WAITS)),
            (Lists::Asked { within }, _) => {
                let all = (2 * row).clamp(3 * SECOND / 2, FAILED_WAITS).min(within);
                let most = FAILED_WAITS.max(DEAREST_LIST_CALL * u64::from(terms.balancers)).min(3 * within);
                let longest = (all << (2 * self.failures.saturating_sub(1)).min(4)).min(most);
                (longest / 16, longest)
            }
        };
        let kept = if matches!(why, Listing::Unreached) { self.failures } else { 0 };
        self.failures = if matches!(why, Listing::Lost) { self.failures + 1 } else { kept };
        self.ask_at = Some(now + rng.generate_range(least..longest.max(least + 1)));
    }
}
