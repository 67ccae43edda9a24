//! What is estimated from the answers of all upstreams: how long one takes, and how long for a unit of cost.

use histogram::Histogram;

use super::SECOND;
use crate::{BalancerConfig, TenthMillis};

/// The quantile that makes tp, and the reliability that the needed tries aim at: with these two tries do.
const TP_QUANTILE: f64 = 0.95;
const RELIABILITY: f64 = 0.99;
/// A request is given up when fewer of the pooled answers than this would come within its time left.
const QUICK_QUANTILE: f64 = 0.1;
pub const WINDOW_OUTCOMES: u32 = 1000;
const WINDOW: TenthMillis = 5 * SECOND;
/// The window waits for so many at least, or with little traffic it would never hold enough to speak.
const FEW_OUTCOMES: u32 = 32;
const PACE_ANSWERS: f64 = 8.0;
const BEST_ANSWERS: u32 = 256;
pub const REST_PACE: f64 = 2.5;

/// The pooled window: response times of all upstreams together, and the mean wait before first attempts.
pub struct Estimate {
    pub took: Histogram,
    pub since: u32,
    pub halved: TenthMillis,
    /// What the dispatcher plans with: tp, the mean wait, the tries needed, and the least time left worth a try.
    pub tp: TenthMillis,
    pub wait: f64,
    pub needed: u64,
    pub quick: TenthMillis,
}

impl Estimate {
    pub fn new(terms: &BalancerConfig) -> Self {
        let tightest = terms.classes.iter().map(|s| s.sla_time).min().unwrap_or(SECOND);
        // Until answers come, half the tightest SLA time: late for most, early enough for a second try.
        let (tp, took) = ((tightest / 2).max(1), Histogram::new(3, 20).expect("the bins are fixed"));
        Estimate { took, since: 0, halved: 0, tp, wait: 0.0, needed: 1, quick: 0 }
    }

    pub fn took(&mut self, now: TenthMillis, took: TenthMillis) {
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
        let Some((quick, tp)) = quantile(QUICK_QUANTILE).zip(quantile(TP_QUANTILE)) else { return };
        let within: u64 = self.took.iter().take_while(|b| b.end() <= tp.end()).map(|b| b.count()).sum();
        let missed = (1.0 - within as f64 / all as f64).max(1e-6);
        (self.tp, self.quick) = (tp.end().max(1), quick.start());
        self.needed = ((1.0 - RELIABILITY).ln() / missed.ln()).ceil().max(1.0) as u64;
    }

    /// When to send at the latest for as many tries as are needed, and whether there is time for one at all.
    pub fn plan(&self, now: TenthMillis, sla_end: TenthMillis) -> (TenthMillis, bool) {
        let span = self.wait as TenthMillis + self.tp;
        let slots = sla_end.saturating_sub(now) / span;
        let tries = slots.min(self.needed);
        let early = if tries == 0 { self.tp } else { tries * span };
        (sla_end.saturating_sub(early), slots > 0)
    }
}

#[derive(Clone, Copy, Default)]
pub struct Decaying {
    pub level: f64,
    pub at: TenthMillis,
}

impl Decaying {
    pub fn at(&self, now: TenthMillis, half: TenthMillis) -> f64 {
        self.level * (-(now.saturating_sub(self.at) as f64) / half as f64).exp2()
    }

    pub fn add(&mut self, now: TenthMillis, half: TenthMillis, amount: f64) {
        (self.level, self.at) = (self.at(now, half) + amount, now);
    }
}

/// Time taken for a unit of cost, as a geometric mean of the last answers, which a few late ones hardly move.
#[derive(Default)]
pub struct Pace {
    pub log: f64,
    pub answers: f64,
    pub best: f64,
    pub older: Option<f64>,
    pub count: u32,
    pub least: f64,
}

impl Pace {
    pub fn note(&mut self, took: TenthMillis, cost: f64, window: f64) -> f64 {
        self.least = if self.answers == 0.0 { took as f64 } else { self.least.min(took as f64) };
        self.answers = (self.answers + 1.0).min(window);
        self.log += ((took.max(1) as f64 / cost).ln() - self.log) / self.answers;
        self.mean()
    }

    pub fn slowdown(&mut self, took: TenthMillis, cost: f64) -> f64 {
        let pace = self.note(took, cost, PACE_ANSWERS);
        // Costs are in time of a standard core: one never seen at rest must not take a jam for its best.
        let rest = if cost > 1.0 { REST_PACE } else { pace };
        let seen = if self.answers < PACE_ANSWERS { rest } else { pace.min(rest) };
        self.count += 1;
        // The least of thousands is luck: held for good, each pace would be a slowdown by the end of a day.
        if self.count.is_multiple_of(BEST_ANSWERS) {
            (self.older, self.best) = (Some(self.best), seen);
        }
        self.best = if self.best > 0.0 { self.best.min(seen) } else { seen };
        pace / self.older.map_or(self.best, |older| older.min(self.best)).max(1e-9)
    }

    pub fn mean(&self) -> f64 {
        self.log.exp()
    }
}
