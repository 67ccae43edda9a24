//! The subset of the listed upstreams that this balancer uses: the candidates for its requests.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    CostStats, DecayingLevel, Pace, RATE_HALF_LIFE, SECOND, Upstream, UpstreamIndex, Zone, hash_u64,
};
use crate::{BalancerConfig, Stage, TenthMillis, UpstreamEntry, UpstreamId};

/// The size of the subset for each request that has arrived within the last ten seconds. It is rounded down to
/// a power of two.
const UPSTREAMS_PER_ARRIVAL: f64 = 0.15;
/// The smallest size of the subset, if that many upstreams are live.
const MIN_SUBSET_SIZE: usize = 8;
/// The subset shrinks only when the arrivals call for less than this fraction of it.
const SUBSET_SHRINK_THRESHOLD: f64 = 0.7;
/// The first concurrency limit, for each unit of live capacity.
const INITIAL_LIMIT_PER_CAPACITY: f64 = 8.0;
/// The factor on the concurrency limit after an attempt that waited too long.
const LIMIT_DECREASE_FACTOR: f64 = 0.93;
/// The factor on the concurrency limit after an attempt that did not wait too long.
const LIMIT_INCREASE_FACTOR: f64 = 1.02;
/// The concurrency limit grows only while at least this fraction of it is in use. Requests of the lowest
/// value may use a smaller fraction only, so that they alone never raise it.
const MIN_USE_TO_INCREASE: f64 = 0.33;
/// The time constant of the mean of attempts in flight, in tenths of a millisecond.
const MEAN_IN_FLIGHT_TIME: f64 = 2.0 * SECOND as f64;
/// The half-life of the load that an upstream reported.
const REPORT_HALF_LIFE: TenthMillis = 3 * SECOND;
/// The difference between the pace of a zone or kind and that of all counts by half with this many answers,
/// and nearly in full with many: a few answers are too noisy to rely on.
const PACE_PRIOR_SAMPLES: f64 = 4.0;

/// A live upstream with its random position in this balancer's own order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RankedUpstream {
    /// A hash of the upstream's id and this balancer's index; the lowest rank comes first.
    rank: u64,
    index: UpstreamIndex,
}

/// Live upstreams in the order in which this balancer takes them into its subset.
pub type Ranking = BTreeSet<RankedUpstream>;

/// All upstreams of this balancer, and its load on them.
#[derive(Default)]
pub struct Fleet {
    /// The indices in `upstreams` of those that are not forgotten.
    pub index_by_id: BTreeMap<UpstreamId, UpstreamIndex>,
    /// All upstreams that were ever listed; the places of forgotten ones are used again.
    pub upstreams: Vec<Upstream>,
    /// The upstreams in use, in an order that all balancers share: the first `light_count` are for light
    /// requests, the others for heavy ones.
    pub candidates: Vec<UpstreamIndex>,
    /// How many of the candidates are for light requests.
    pub light_count: usize,
    /// The wanted size of the subset.
    subset_size: usize,
    /// Whether the stage of an upstream has changed since the subset was chosen.
    pub is_subset_outdated: bool,
    /// Whether there are more live upstreams than candidates.
    is_partial: bool,
    /// The pace of all upstreams, as response time per unit of cost.
    pub pace: Pace,
    /// The same with costs divided by the upstream's capacity, to which kinds and zones are compared.
    pub pace_by_capacity: Pace,
    /// The same for each kind of machines.
    pub kind_paces: BTreeMap<u32, Pace>,
    /// How many requests an upstream works on at once, by the reports of upstreams with a queue.
    pub concurrency_per_upstream: f64,
    /// What is known of each zone.
    pub zones: BTreeMap<u32, Zone>,
    /// Requests that have arrived in the last ten seconds.
    pub recent_arrivals: DecayingLevel,
    /// The cost served per tenth of a millisecond over the last ten seconds.
    pub served_cost_rate: DecayingLevel,
    /// The costs of recent requests.
    pub costs: CostStats,
    /// Live upstreams of the balancer's own zone.
    own_zone_ranking: Ranking,
    /// Live upstreams of all other zones.
    other_zones_ranking: Ranking,
    /// Upstreams that were listed since the subset was chosen.
    pub relisted: BTreeSet<UpstreamIndex>,
    /// The sum of `Upstream::subset_capacity` when it was first needed after the subset was chosen.
    live_capacity: Option<f64>,
    /// How many attempts this balancer may have in flight.
    pub concurrency_limit: f64,
    /// The number of attempts in flight at all upstreams.
    pub in_flight: f64,
    /// The mean of `in_flight` over about `MEAN_IN_FLIGHT_TIME`.
    pub mean_in_flight: f64,
    /// When `in_flight` and its mean were last updated.
    in_flight_updated_at: TenthMillis,
}

impl Fleet {
    /// A fleet without upstreams.
    pub fn new() -> Self {
        Fleet { concurrency_per_upstream: 1.0, ..Fleet::default() }
    }

    /// Inserts a live upstream into the ranking of its zone, or removes it, by `change`.
    pub fn change_ranking(
        &mut self,
        index: UpstreamIndex,
        config: &BalancerConfig,
        change: impl Fn(&mut Ranking, RankedUpstream) -> bool,
    ) {
        let upstream = &self.upstreams[index];
        if upstream.entry.stage == Stage::Live {
            let is_in_own_zone = upstream.entry.zone == config.own_zone;
            let ranking =
                if is_in_own_zone { &mut self.own_zone_ranking } else { &mut self.other_zones_ranking };
            let rank = hash_u64(upstream.id_hash ^ hash_u64(u64::from(config.own_index)));
            change(ranking, RankedUpstream { rank, index });
        }
    }

    /// The capacity of all upstreams that were live when the subset was last chosen.
    fn live_capacity(&mut self) -> f64 {
        let capacities = self.upstreams.iter().map(|upstream| upstream.subset_capacity);
        *self.live_capacity.get_or_insert_with(|| capacities.sum())
    }

    /// The logarithm of how much slower the upstreams of a kind or zone are than all, for equal capacity.
    pub fn log_slowdown(&self, pace: Option<&Pace>) -> f64 {
        pace.map_or(0.0, |pace| {
            (pace.log_mean - self.pace_by_capacity.log_mean) * pace.samples
                / (pace.samples + PACE_PRIOR_SAMPLES)
        })
    }

    /// How fast an upstream serves cost, relative to the others: its capacity corrected by the pace of all
    /// upstreams of its kind; a single upstream has too few answers to know its own pace.
    pub fn speed(&self, index: UpstreamIndex) -> f64 {
        let entry = &self.upstreams[index].entry;
        entry.capacity * (-self.log_slowdown(self.kind_paces.get(&entry.kind))).exp()
    }

    /// The cost in flight at an upstream by its last report, plus what was sent there since. Decays with the
    /// report's age.
    pub fn reported_cost(&self, now: TenthMillis, index: UpstreamIndex) -> f64 {
        let upstream = &self.upstreams[index];
        let level = upstream
            .reported_in_flight
            .map_or(0.0, |in_flight| in_flight * self.costs.mean() + upstream.cost_since_report);
        DecayingLevel { level, updated_at: upstream.reported_at }.value_at(now, REPORT_HALF_LIFE)
    }

    /// Changes the number of attempts in flight and updates its mean. By the mean, a limit of less than one
    /// attempt allows one for a part of the time.
    pub fn update_in_flight(&mut self, now: TenthMillis, change: f64) {
        let elapsed = (now - self.in_flight_updated_at) as f64;
        self.mean_in_flight +=
            (self.in_flight - self.mean_in_flight) * (1.0 - (-elapsed / MEAN_IN_FLIGHT_TIME).exp());
        (self.in_flight_updated_at, self.in_flight) = (now, (self.in_flight + change).max(0.0));
    }

    /// Lowers the concurrency limit after an attempt that waited too long, and raises it after others. The
    /// attempts at all upstreams count together, since those at a single one are too few to show an overload.
    pub fn adapt_concurrency_limit(&mut self, has_waited_too_long: bool, config: &BalancerConfig) {
        if has_waited_too_long {
            let min_limit = config.own_share(self.live_capacity());
            self.concurrency_limit = (self.concurrency_limit * LIMIT_DECREASE_FACTOR).max(min_limit);
        } else if self.mean_in_flight >= MIN_USE_TO_INCREASE * self.concurrency_limit {
            self.concurrency_limit *= LIMIT_INCREASE_FACTOR;
        }
    }

    /// Chooses as many candidates as get requests often enough to be known, up to half of them from the own
    /// zone: the first live upstreams of this balancer's random order. So balancers use all upstreams alike,
    /// and a change of one upstream replaces no other candidate.
    fn choose_subset(&mut self) {
        for index in std::mem::take(&mut self.relisted) {
            let upstream = &mut self.upstreams[index];
            let UpstreamEntry { stage, capacity, .. } = upstream.entry;
            upstream.subset_capacity = if stage == Stage::Live { capacity } else { 0.0 };
        }
        let (own_zone_count, other_count) = (self.own_zone_ranking.len(), self.other_zones_ranking.len());
        let live_count = own_zone_count + other_count;
        let subset_size = live_count.min(self.subset_size);
        // One and a half times the own zone's share of the live upstreams.
        let own_zone_part = 3 * subset_size * own_zone_count / (2 * live_count.max(1));
        let from_own_zone = own_zone_part
            .min(subset_size / 2)
            .max(subset_size.saturating_sub(other_count))
            .min(own_zone_count);
        let first_of = |ranking: &Ranking, count| {
            let mut indices: Vec<UpstreamIndex> =
                ranking.iter().take(count).map(|ranked| ranked.index).collect();
            indices.sort_by_key(|index| self.upstreams[*index].id_hash);
            indices
        };
        // The own zone comes first: otherwise the one or two candidates for light requests would be in
        // another zone for most balancers.
        self.candidates = [
            first_of(&self.own_zone_ranking, from_own_zone),
            first_of(&self.other_zones_ranking, subset_size - from_own_zone),
        ]
        .concat();
        self.is_partial = live_count > subset_size;
        self.live_capacity = None;
    }

    /// Chooses a new subset where the list or the traffic calls for one, and divides it between light and
    /// heavy requests.
    pub fn choose_candidates(&mut self, now: TenthMillis, config: &BalancerConfig) {
        let by_arrivals = UPSTREAMS_PER_ARRIVAL * self.recent_arrivals.value_at(now, RATE_HALF_LIFE);
        let rounded = MIN_SUBSET_SIZE.max((by_arrivals as usize + 1).next_power_of_two() / 2);
        let wanted_size = if config.warm_keys { usize::MAX } else { rounded };
        let is_too_small = wanted_size > self.subset_size;
        let is_too_large =
            wanted_size < self.subset_size && by_arrivals < SUBSET_SHRINK_THRESHOLD * self.subset_size as f64;
        if self.is_subset_outdated || is_too_small || is_too_large {
            (self.subset_size, self.is_subset_outdated) = (wanted_size, false);
            self.choose_subset();
        }
        if self.concurrency_limit == 0.0 {
            self.concurrency_limit = config.own_share(INITIAL_LIMIT_PER_CAPACITY * self.live_capacity());
        }
        self.divide_candidates();
    }

    /// Gives light requests the first candidates, by their part of the cost and the candidates' speeds; light
    /// and heavy requests get at least one candidate each.
    fn divide_candidates(&mut self) {
        let total_speed: f64 = self.candidates.iter().map(|index| self.speed(*index)).sum();
        let mut light_speed_left = self.costs.light_part_of(total_speed);
        // Undivided where no cost hint tells heavy requests from light ones. Undivided too where only a part
        // of the list is in use: the candidates of different balancers overlap then, and light requests would
        // wait behind heavy ones all the same.
        let is_undivided = self.costs.is_all_light() || self.is_partial;
        let is_for_light = |index: &&UpstreamIndex| {
            light_speed_left -= self.speed(**index);
            is_undivided || light_speed_left >= -self.speed(**index) / 2.0
        };
        let light_count = self.candidates.iter().take_while(is_for_light).count();
        let max_light_count = self.candidates.len().saturating_sub(1).max(1);
        self.light_count = if is_undivided { light_count } else { light_count.max(1).min(max_light_count) };
    }
}
