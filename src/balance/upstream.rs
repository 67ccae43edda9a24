//! What is known of one upstream and of one zone.

use super::{Decaying, Pace, SECOND, mix};
use crate::{BalancerConfig, Load, Outcome, Stage, TenthMillis, UpstreamEntry};

const FIRST_CAP: f64 = 4.0;
const GROWTH: f64 = 0.5;
/// A cap is halved above so many times the best pace.
const MOST_SLOWDOWN: f64 = 2.2;
/// The outlier score halves in this time; from `EJECTED` on an upstream gets nothing while others can serve.
pub const FADE: TenthMillis = 4 * SECOND;
pub const EJECTED: f64 = 2.0;
pub const ANSWER_LOWERS: f64 = 0.7;
const SPOILT_STEP: f64 = 0.25;
/// What an attempt since which nothing has come from its zone adds to the zone's score, and the most of that.
const ZONE_STEP: f64 = 0.5;
const MOST_ZONE_SCORE: f64 = 3.0;
/// A probe that is turned away stands for so many held.
const FULL: f64 = 100.0;

/// What this balancer knows of an upstream.
#[derive(Default)]
pub struct Upstream {
    pub entry: UpstreamEntry,
    /// Its place in the order of the candidates, alike at every balancer.
    pub order: u64,
    pub in_flight: u32,
    pub cost_out: f64,
    pub cap: f64,
    pub outlier_score: Decaying,
    /// Work sent of late, against its budget while it is cold.
    pub cold_work: Decaying,
    pub gone: TenthMillis,
    /// Its listed size, or 0 where it was not live, when the subset was chosen last.
    pub counted_size: f64,
    /// What it told last of the work it holds, when, and the cost sent there since.
    pub reported_held: Option<f64>,
    pub reported_at: TenthMillis,
    pub cost_since: f64,
    pub answered: TenthMillis,
    /// When the last of the answered attempts left.
    pub answered_sent: TenthMillis,
    pub pace: Pace,
}

impl Upstream {
    pub fn new(entry: &UpstreamEntry, terms: &BalancerConfig) -> Self {
        let order = entry.upstream.bytes().fold(0, |hash, byte| mix(hash ^ u64::from(byte)));
        let entry = UpstreamEntry { started_at: None, stage: Stage::Gone, ..entry.clone() };
        Upstream { entry, order, cap: terms.own_share(FIRST_CAP).max(1.0), ..Upstream::default() }
    }

    /// The part of its capacity that it has by now, at least.
    pub fn present(&self, now: TenthMillis, terms: &BalancerConfig) -> f64 {
        let cold = &terms.cold_start;
        let warmed = |age| {
            cold.initial_capacity_share
                + (1.0 - cold.initial_capacity_share) * age as f64 / cold.warm_up_time as f64
        };
        self.cold_age(now, terms).map_or(1.0, warmed)
    }

    pub fn cold_age(&self, now: TenthMillis, terms: &BalancerConfig) -> Option<TenthMillis> {
        self.entry
            .started_at
            .map(|at| now.saturating_sub(at))
            .filter(|age| *age < terms.cold_start.warm_up_time)
    }

    pub fn listed(&mut self, now: TenthMillis, entry: UpstreamEntry, terms: &BalancerConfig) {
        let known = std::mem::replace(&mut self.entry, entry);
        self.gone = now;
        if self.cold_age(now, terms).is_some() && self.entry.started_at != known.started_at {
            // A new process: what was known of the old one would send it too much too soon.
            (self.cap, self.outlier_score.level) = (1.0, 0.0);
        }
    }

    pub fn sent(&mut self, now: TenthMillis, cost: f64, arrives: f64, terms: &BalancerConfig) {
        self.in_flight += 1;
        self.cost_out += cost;
        self.cost_since += cost;
        self.cold_work.add(now, terms.cold_start.collapse_window.max(1), arrives);
    }

    pub fn returned(&mut self, cost: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.cost_out = if self.in_flight == 0 { 0.0 } else { (self.cost_out - cost).max(0.0) };
    }

    pub fn end(
        &mut self,
        now: TenthMillis,
        outcome: Outcome,
        took: TenthMillis,
        cost: f64,
        tp: TenthMillis,
        terms: &BalancerConfig,
    ) {
        match outcome {
            Outcome::Ok => {
                self.answered = now;
                self.answered_sent = self.answered_sent.max(now.saturating_sub(took));
                self.outlier_score.level *= ANSWER_LOWERS;
                if self.pace.slowdown(took, cost) > MOST_SLOWDOWN {
                    self.halve(terms);
                } else if took <= tp {
                    self.cap += GROWTH / self.cap;
                }
            }
            Outcome::TimedOut if now.saturating_sub(took) < self.answered_sent => {}
            // A full waiting room is the shortest queue to look at; it must not draw more.
            Outcome::Full | Outcome::TimedOut => {
                self.halve(terms);
                self.raise_outlier_score(now, 1.0);
            }
            // One in so many from everybody is no sign of this one's health; nothing else is.
            Outcome::Spoilt => self.raise_outlier_score(now, SPOILT_STEP),
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => self.raise_outlier_score(now, 1.0),
            Outcome::Cancelled | Outcome::Moot => {}
        }
    }

    pub fn reported(&mut self, now: TenthMillis, outcome: Outcome, load: Load) {
        match outcome {
            Outcome::Ok => (self.reported_held, self.cost_since) = (load.in_flight, 0.0),
            Outcome::Full => self.reported_held = Some(FULL),
            Outcome::Cancelled | Outcome::Moot => self.reported_held = None,
            _ => self.raise_outlier_score(now, 1.0),
        }
        self.reported_at = now;
    }

    pub fn overdue(&mut self, now: TenthMillis, sent: TenthMillis, terms: &BalancerConfig) {
        // A later one was answered: this is heavy, or its connection silent, and no overload.
        if sent >= self.answered_sent {
            self.halve(terms);
            // Silent since that attempt left: perhaps it takes requests and answers none.
            if self.answered < sent {
                self.raise_outlier_score(now, 1.0);
            }
        }
    }

    fn halve(&mut self, terms: &BalancerConfig) {
        self.cap = (self.cap / 2.0).max(terms.own_share(self.entry.capacity)).max(1.0);
    }

    /// Grows by its own half too, so that an upstream that fails each careful try is tried ever less often.
    fn raise_outlier_score(&mut self, now: TenthMillis, step: f64) {
        let level = self.outlier_score.at(now, FADE) * (1.0 + step / 2.0) + step;
        self.outlier_score = Decaying { level: level.min(4.0 * EJECTED), at: now };
    }
}

/// What is seen of the upstreams of one zone together.
#[derive(Default)]
pub struct Zone {
    pub pace: Pace,
    pub outlier_score: Decaying,
    pub answered: TenthMillis,
}

impl Zone {
    /// A zone that is cut off is judged as a whole: the failures of each of its upstreams tell far too late.
    pub fn unanswered(&mut self, now: TenthMillis, sent: TenthMillis) {
        if self.answered < sent {
            self.outlier_score.add(now, FADE, ZONE_STEP);
            self.outlier_score.level = self.outlier_score.level.min(MOST_ZONE_SCORE);
        }
    }
}
