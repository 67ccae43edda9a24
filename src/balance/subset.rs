//! The subset of the listed upstreams that this balancer uses: the candidates for its requests.

use std::collections::{BTreeMap, BTreeSet};

use super::{Decaying, FEW_ANSWERS, LONG, Pace, SECOND, Upstream, Zone, mix};
use crate::{BalancerConfig, Stage, TenthMillis, UpstreamEntry, UpstreamId};

/// Of the requests of ten seconds this part is the number of upstreams used, but never fewer than so many.
const MEET: f64 = 0.15;
const LEAST_SUBSET: usize = 8;
/// Attempts for a unit of listed size before any answer has come.
const FIRST_ROOM: f64 = 8.0;
const LATE_SHRINKS: f64 = 0.93;
const TIMELY_GROWS: f64 = 1.02;
const OUT_SPAN: f64 = 2.0 * SECOND as f64;
/// Room of which a part of this is taken counts as in use and grows: less is left to what is worth least.
const IN_USE: f64 = 0.33;
const REPORT_FADE: TenthMillis = 3 * SECOND;

/// Live upstreams in an order of this balancer's own, by which it takes them into use, and by place.
pub type Ranking = BTreeSet<(u64, usize)>;

/// All that this balancer knows of its upstreams, and what it has out there.
#[derive(Default)]
pub struct Fleet {
    pub names: BTreeMap<UpstreamId, usize>,
    pub board: Vec<Upstream>,
    /// The upstreams used, in an order all balancers share: the first `light` for light requests, the rest for heavy.
    pub candidates: Vec<usize>,
    pub light: usize,
    pub subset: usize,
    pub stale: bool,
    pub partial: bool,
    pub pace: Pace,
    /// As above, for a unit of cost by listed size: what kinds and zones are held against.
    pub listed: Pace,
    pub kinds: BTreeMap<u32, Pace>,
    /// How many requests an upstream works on at once, by what those with a queue tell.
    pub cores: f64,
    pub zones: BTreeMap<u32, Zone>,
    pub arrivals: Decaying,
    pub flow: Decaying,
    pub cost_sums: [f64; 2],
    pub cost_count: u32,
    /// Those of the own zone and of the others.
    pub near: Ranking,
    pub far: Ranking,
    /// Places listed since the subset was chosen, and the sum of the sizes as they were then.
    pub relisted: BTreeSet<usize>,
    pub size: Option<f64>,
    /// This balancer's room among all live upstreams, and what it has out.
    pub room: f64,
    pub out_now: f64,
    pub out_mean: f64,
    pub out_at: TenthMillis,
}

impl Fleet {
    /// Where a live upstream stands among those of the own zone or of the others.
    pub fn rank(
        &mut self,
        up: usize,
        terms: &BalancerConfig,
        change: impl Fn(&mut Ranking, (u64, usize)) -> bool,
    ) {
        let upstream = &self.board[up];
        if upstream.entry.stage == Stage::Live {
            let ranking = if upstream.entry.zone == terms.own_zone { &mut self.near } else { &mut self.far };
            change(ranking, (mix(upstream.order ^ mix(u64::from(terms.own_index))), up));
        }
    }

    /// Listed size of all that were live when the subset was drawn last, added up once it is needed.
    pub fn size(&mut self) -> f64 {
        *self.size.get_or_insert_with(|| self.board.iter().map(|s| s.counted_size).sum())
    }

    pub fn slower(&self, some: Option<&Pace>) -> f64 {
        some.map_or(0.0, |p| (p.log - self.listed.log) * p.answers / (p.answers + FEW_ANSWERS))
    }

    pub fn mean_cost(&self) -> f64 {
        self.cost_sums.iter().sum::<f64>() / f64::from(self.cost_count.max(1))
    }

    /// Listed size by the pace of all upstreams of its kind, since each is met too seldom to know its own.
    pub fn speed(&self, up: usize) -> f64 {
        let s = &self.board[up];
        s.entry.capacity * (-self.slower(self.kinds.get(&s.entry.kind))).exp()
    }

    /// The cost that an upstream told of, and what was sent there since; what it told fades.
    pub fn told(&self, now: TenthMillis, up: usize) -> f64 {
        let s = &self.board[up];
        let level = s.reported_held.map_or(0.0, |held| held * self.mean_cost() + s.cost_since);
        Decaying { level, at: s.reported_at }.at(now, REPORT_FADE)
    }

    /// What is out, and its mean over the last while: a part of less than one attempt is a part of the time.
    pub fn note_out(&mut self, now: TenthMillis, change: f64) {
        let span = (now - self.out_at) as f64;
        self.out_mean += (self.out_now - self.out_mean) * (1.0 - (-span / OUT_SPAN).exp());
        (self.out_at, self.out_now) = (now, (self.out_now + change).max(0.0));
    }

    /// Each upstream is seen too seldom: the share of all that wait too long tells of a jam not to feed.
    pub fn make_room(&mut self, late: bool, terms: &BalancerConfig) {
        if late {
            self.room = (self.room * LATE_SHRINKS).max(terms.own_share(self.size()));
        } else if self.out_mean >= IN_USE * self.room {
            self.room *= TIMELY_GROWS;
        }
    }

    /// As many upstreams as requests come often enough to know, up to half of them from the own zone: the first live
    /// ones in an order of this balancer's own, so that balancers use all alike and a change moves no other.
    fn choose_subset(&mut self) {
        let Fleet { board, near, far, relisted, subset, .. } = self;
        for up in std::mem::take(relisted) {
            let UpstreamEntry { stage, capacity: size, .. } = board[up].entry;
            board[up].counted_size = if stage == Stage::Live { size } else { 0.0 };
        }
        let all = near.len() + far.len();
        let subset = all.min(*subset);
        let part = 3 * subset * near.len() / (2 * all.max(1));
        let half = part.min(subset / 2).max(subset.saturating_sub(far.len())).min(near.len());
        // The own zone first: one or two candidates for light requests would else be far from most balancers.
        let first = |ranking: &Ranking, count| {
            let mut ups: Vec<usize> = ranking.iter().take(count).map(|(_, up)| *up).collect();
            ups.sort_by_key(|up| board[*up].order);
            ups
        };
        self.candidates = [first(near, half), first(far, subset - half)].concat();
        (self.partial, self.size) = (all > subset, None);
    }

    /// Light requests get candidates by their share of the cost, in upstream sizes; both kinds get one at least.
    pub fn choose_candidates(&mut self, now: TenthMillis, terms: &BalancerConfig) {
        let met = MEET * self.arrivals.at(now, LONG);
        let by_traffic = LEAST_SUBSET.max((met as usize + 1).next_power_of_two() / 2);
        let wanted = if terms.warm_keys { usize::MAX } else { by_traffic };
        if self.stale || wanted > self.subset || wanted < self.subset && met < 0.7 * self.subset as f64 {
            (self.subset, self.stale) = (wanted, false);
            self.choose_subset();
        }
        if self.room == 0.0 {
            self.room = terms.own_share(FIRST_ROOM * self.size());
        }
        let cost: f64 = self.cost_sums.iter().sum();
        let all: f64 = self.candidates.iter().map(|up| self.speed(*up)).sum();
        let mut part = all * self.cost_sums[0] / cost.max(1e-9);
        // Undivided where no hint tells heavy from light, and where only a part of the list is in use: the candidates
        // of different balancers overlap then, so that light requests wait behind heavy ones all the same.
        let undivided = self.cost_sums[1] == 0.0 || self.partial;
        let fits = |up: &&usize| {
            part -= self.speed(**up);
            undivided || part >= -self.speed(**up) / 2.0
        };
        self.light = self.candidates.iter().take_while(fits).count();
        if !undivided {
            self.light = self.light.max(1).min(self.candidates.len().saturating_sub(1).max(1));
        }
    }
}
