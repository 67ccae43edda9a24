//! What this balancer knows of one upstream and of one zone.

use super::{DecayingLevel, Pace, SECOND, hash_u64};
use crate::{BalancerConfig, Load, Outcome, Stage, TenthMillis, UpstreamEntry};

/// The first in-flight limit of an upstream, for all balancers together.
const INITIAL_IN_FLIGHT_LIMIT: f64 = 4.0;
/// As many fast answers as the in-flight limit allows at a time raise the limit by this much.
const LIMIT_INCREASE: f64 = 0.5;
/// The in-flight limit is halved when the pace is more than this multiple of the best pace.
const MAX_SLOWDOWN: f64 = 2.2;
/// The half-life of outlier scores.
pub const OUTLIER_HALF_LIFE: TenthMillis = 4 * SECOND;
/// An upstream with this outlier score is ejected: it gets no requests while others can serve them.
pub const EJECTION_SCORE: f64 = 2.0;
/// The highest outlier score of an upstream.
const MAX_OUTLIER_SCORE: f64 = 4.0 * EJECTION_SCORE;
/// The factor on an outlier score for each successful answer.
pub const ANSWER_SCORE_FACTOR: f64 = 0.7;
/// What a failure adds to the outlier score.
const FAILURE_SCORE: f64 = 1.0;
/// What a malformed answer adds to the outlier score.
const SPOILT_SCORE: f64 = 0.25;
/// What an attempt adds to its zone's outlier score if no answer has come from the zone since it was sent.
const ZONE_UNANSWERED_SCORE: f64 = 0.5;
/// The highest outlier score of a zone.
const MAX_ZONE_SCORE: f64 = 3.0;
/// A refused probe counts as a report of this many requests in flight.
const FULL_IN_FLIGHT: f64 = 100.0;

/// The index of an upstream in `Fleet::upstreams`.
pub type UpstreamIndex = usize;

/// What this balancer knows of an upstream.
#[derive(Default)]
pub struct Upstream {
    /// Its entry in the list; of stage `Gone` where the list does not contain it.
    pub entry: UpstreamEntry,
    /// A hash of its id, the same at every balancer, which gives the candidates their order.
    pub id_hash: u64,
    /// The number of this balancer's attempts without an outcome.
    pub in_flight: u32,
    /// The most attempts that this balancer may have in flight there at a time.
    pub in_flight_limit: f64,
    /// The sum of the costs of the attempts in flight.
    pub cost_in_flight: f64,
    /// Rises with each failure, falls with each answer, and decays with `OUTLIER_HALF_LIFE`.
    pub outlier_score: DecayingLevel,
    /// The cost that was sent recently, to be kept within the budget of a cold upstream.
    pub recent_cost: DecayingLevel,
    /// When the list last contained the upstream, or first did so no more.
    pub listed_at: TenthMillis,
    /// Its capacity, or 0 where it was not live, when the subset was last chosen.
    pub subset_capacity: f64,
    /// The requests of all balancers in flight there by its last report; `None` where none is known.
    pub reported_in_flight: Option<f64>,
    /// The time of its last report or of the end of its last probe.
    pub reported_at: TenthMillis,
    /// The cost that this balancer has sent since the last successful report.
    pub cost_since_report: f64,
    /// When it last answered.
    answered_at: TenthMillis,
    /// When the latest of the answered attempts was sent.
    answered_sent_at: TenthMillis,
    /// Its response time per unit of cost, the network round trip counted as cost.
    pace: Pace,
}

impl Upstream {
    /// An upstream that is known by its id, but not listed yet.
    pub fn new(entry: &UpstreamEntry, config: &BalancerConfig) -> Self {
        let id_hash = entry.upstream.bytes().fold(0, |hash, byte| hash_u64(hash ^ u64::from(byte)));
        let entry = UpstreamEntry { started_at: None, stage: Stage::Gone, ..entry.clone() };
        let in_flight_limit = config.own_share(INITIAL_IN_FLIGHT_LIMIT).max(1.0);
        Upstream { entry, id_hash, in_flight_limit, ..Upstream::default() }
    }

    /// The fraction of its capacity that it has by now, at least.
    pub fn present_capacity_share(&self, now: TenthMillis, config: &BalancerConfig) -> f64 {
        let cold = &config.cold_start;
        let warmed_share = |age| {
            cold.initial_capacity_share
                + (1.0 - cold.initial_capacity_share) * age as f64 / cold.warm_up_time as f64
        };
        self.age_while_cold(now, config).map_or(1.0, warmed_share)
    }

    /// The time since its start; none where it is warm.
    pub fn age_while_cold(&self, now: TenthMillis, config: &BalancerConfig) -> Option<TenthMillis> {
        let age = self.entry.started_at.map(|started_at| now.saturating_sub(started_at));
        age.filter(|age| *age < config.cold_start.warm_up_time)
    }

    /// Takes its entry in a new list.
    pub fn update_entry(&mut self, now: TenthMillis, entry: UpstreamEntry, config: &BalancerConfig) {
        let previous = std::mem::replace(&mut self.entry, entry);
        self.listed_at = now;
        if self.age_while_cold(now, config).is_some() && self.entry.started_at != previous.started_at {
            // A new process: by what is known of the old one it would get too much too soon.
            (self.in_flight_limit, self.outlier_score.level) = (1.0, 0.0);
        }
    }

    /// Records an attempt; `cost_if_cold` counts against the budget of a cold upstream.
    pub fn record_sent(&mut self, now: TenthMillis, cost: f64, cost_if_cold: f64, config: &BalancerConfig) {
        self.in_flight += 1;
        self.cost_in_flight += cost;
        self.cost_since_report += cost;
        self.recent_cost.add(now, config.cold_start.collapse_window.max(1), cost_if_cold);
    }

    /// Records that an attempt of this cost is not in flight any more.
    pub fn record_ended(&mut self, cost: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.cost_in_flight = if self.in_flight == 0 { 0.0 } else { (self.cost_in_flight - cost).max(0.0) };
    }

    /// Adapts the in-flight limit and the outlier score to the outcome of an attempt. `slow_after` is the
    /// duration from which on an answer doesn't raise the limit.
    pub fn record_outcome(
        &mut self,
        now: TenthMillis,
        outcome: Outcome,
        duration: TenthMillis,
        cost: f64,
        slow_after: TenthMillis,
        config: &BalancerConfig,
    ) {
        match outcome {
            Outcome::Ok => {
                self.answered_at = now;
                self.answered_sent_at = self.answered_sent_at.max(now.saturating_sub(duration));
                self.outlier_score.level *= ANSWER_SCORE_FACTOR;
                if self.pace.record_slowdown(duration, cost) > MAX_SLOWDOWN {
                    self.halve_in_flight_limit(config);
                } else if duration <= slow_after {
                    self.in_flight_limit += LIMIT_INCREASE / self.in_flight_limit;
                }
            }
            // A later attempt was answered, as in `record_overdue`.
            Outcome::TimedOut if now.saturating_sub(duration) < self.answered_sent_at => {}
            // By its load alone, an upstream whose queue is full and drops requests would look like the best
            // choice.
            Outcome::Full | Outcome::TimedOut => {
                self.halve_in_flight_limit(config);
                self.raise_outlier_score(now, FAILURE_SCORE);
            }
            // Every upstream gives malformed answers now and then, so that one is no sign of ill health; a
            // series of nothing else is.
            Outcome::Spoilt => self.raise_outlier_score(now, SPOILT_SCORE),
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => {
                self.raise_outlier_score(now, FAILURE_SCORE);
            }
            Outcome::Cancelled | Outcome::Moot => {}
        }
    }

    /// Takes the load that it reported, or the failure of a probe.
    pub fn record_report(&mut self, now: TenthMillis, outcome: Outcome, load: Load) {
        match outcome {
            Outcome::Ok => (self.reported_in_flight, self.cost_since_report) = (load.in_flight, 0.0),
            Outcome::Full => self.reported_in_flight = Some(FULL_IN_FLIGHT),
            Outcome::Cancelled | Outcome::Moot => self.reported_in_flight = None,
            _ => self.raise_outlier_score(now, FAILURE_SCORE),
        }
        self.reported_at = now;
    }

    /// Records that an attempt has taken longer than expected and is still in flight.
    pub fn record_overdue(&mut self, now: TenthMillis, sent_at: TenthMillis, config: &BalancerConfig) {
        // If a later attempt was answered, this one is heavy or its connection is dead; the upstream is not
        // overloaded.
        if sent_at >= self.answered_sent_at {
            self.halve_in_flight_limit(config);
            // No answer at all since then: the upstream may accept requests and never answer them.
            if self.answered_at < sent_at {
                self.raise_outlier_score(now, FAILURE_SCORE);
            }
        }
    }

    /// Halves the in-flight limit, down to this balancer's share of the capacity and at least 1.
    fn halve_in_flight_limit(&mut self, config: &BalancerConfig) {
        let min_limit = config.own_share(self.entry.capacity);
        self.in_flight_limit = (self.in_flight_limit / 2.0).max(min_limit).max(1.0);
    }

    /// Adds a step to the outlier score. The score also grows in proportion to itself, so that an upstream
    /// which fails each trial request is tried less and less often.
    fn raise_outlier_score(&mut self, now: TenthMillis, step: f64) {
        let level = self.outlier_score.value_at(now, OUTLIER_HALF_LIFE) * (1.0 + step / 2.0) + step;
        self.outlier_score = DecayingLevel { level: level.min(MAX_OUTLIER_SCORE), updated_at: now };
    }
}

/// What this balancer knows of the upstreams of one zone together.
#[derive(Default)]
pub struct Zone {
    /// Response time per unit of cost, with costs divided by the upstream's capacity.
    pub pace: Pace,
    /// Rises with each attempt to a zone that does not answer, falls with each answer, and decays with
    /// `OUTLIER_HALF_LIFE`.
    pub outlier_score: DecayingLevel,
    /// When an upstream of the zone last answered.
    pub answered_at: TenthMillis,
}

impl Zone {
    /// Records an attempt without an answer. A zone that is cut off is scored as a whole, because the
    /// failures of each of its upstreams alone show that far too late.
    pub fn record_unanswered(&mut self, now: TenthMillis, sent_at: TenthMillis) {
        if self.answered_at < sent_at {
            self.outlier_score.add(now, OUTLIER_HALF_LIFE, ZONE_UNANSWERED_SCORE);
            self.outlier_score.level = self.outlier_score.level.min(MAX_ZONE_SCORE);
        }
    }
}
