//! Estimates from the answers of upstreams: response times, and times per unit of cost.

use histogram::Histogram;

use super::SECOND;
use crate::{BalancerConfig, TenthMillis};

/// The quantile of response times after which an attempt counts as slow.
const HIGH_QUANTILE: f64 = 0.95;
/// The probability of an answer in time that the number of planned attempts aims at. With `HIGH_QUANTILE` as it
/// is, two attempts are enough.
const TARGET_RELIABILITY: f64 = 0.99;
/// A request is given up when fewer than this fraction of recent answers would come within the time that it
/// has left.
const LOW_QUANTILE: f64 = 0.1;
/// Old samples lose half their weight after this many new ones, or after `WINDOW_TIME`.
pub const WINDOW_SAMPLES: u32 = 1000;
/// See `WINDOW_SAMPLES`.
const WINDOW_TIME: TenthMillis = 5 * SECOND;
/// `WINDOW_TIME` counts only with this many new samples: with little traffic the window would otherwise never
/// hold enough of them.
const MIN_WINDOW_SAMPLES: u32 = 32;
/// The quantiles are recomputed each time this many samples have been added, and not from fewer.
const QUANTILE_UPDATE_SAMPLES: u32 = 16;
/// The bins of the durations: 8 for each power of two, up to 2^20 tenths of a millisecond (105 seconds).
const DURATION_GROUPING_POWER: u8 = 3;
const MAX_DURATION_POWER: u8 = 20;
/// The number of answers in the running mean of one upstream's pace.
const UPSTREAM_PACE_SAMPLES: f64 = 8.0;
/// The best pace is the best of the last one to two times this many answers.
const BEST_PACE_SAMPLES: u32 = 256;
/// The bins of the costs: 8 for each power of two.
const COST_GROUPING_POWER: u8 = 3;
const MAX_COST_POWER: u8 = 24;
/// The highest cost. A hint of more than these 28 minutes can't be true.
pub const MAX_COST: TenthMillis = (1 << MAX_COST_POWER) - 1;
/// An unloaded upstream takes at most this much time per unit of cost.
pub const MAX_UNLOADED_PACE: f64 = 2.5;

/// Response times of all upstreams together, and the mean wait before first attempts.
pub struct ResponseTimes {
    /// Response times in tenths of a millisecond; the counts are halved as samples age.
    histogram: Histogram,
    /// Samples since the weight of the older ones was halved.
    new_samples: u32,
    /// When the weight of the older samples was last halved.
    halved_at: TenthMillis,
    /// The response time at `HIGH_QUANTILE`.
    pub high_quantile: TenthMillis,
    /// The response time at `LOW_QUANTILE`: with less time left, an attempt is not worth it.
    pub low_quantile: TenthMillis,
    /// The mean time that requests wait for their first attempt, in tenths of a millisecond.
    pub mean_wait: f64,
    /// The number of attempts of `high_quantile` each that reach `TARGET_RELIABILITY`.
    attempts_needed: u64,
}

/// When to send a request that waits.
pub struct SendPlan {
    /// The latest time that leaves room for all planned attempts.
    pub send_by: TenthMillis,
    /// Whether the time left is enough for an attempt of `high_quantile`.
    pub has_time_for_attempt: bool,
}

impl ResponseTimes {
    /// Until answers come, half the shortest SLA time stands for the high quantile: that is late for most
    /// answers, and early enough for a second attempt.
    pub fn new(config: &BalancerConfig) -> Self {
        let shortest_sla_time = config.classes.iter().map(|class| class.sla_time).min().unwrap_or(SECOND);
        ResponseTimes {
            histogram: Histogram::new(DURATION_GROUPING_POWER, MAX_DURATION_POWER)
                .expect("the bins are constant"),
            new_samples: 0,
            halved_at: 0,
            high_quantile: (shortest_sla_time / 2).max(1),
            low_quantile: 0,
            mean_wait: 0.0,
            attempts_needed: 1,
        }
    }

    /// Adds the duration of an attempt.
    pub fn record(&mut self, now: TenthMillis, duration: TenthMillis) {
        let max_duration = (1 << MAX_DURATION_POWER) - 1;
        self.histogram.increment(duration.min(max_duration)).unwrap_or_default();
        self.new_samples += 1;
        let is_full = self.new_samples >= WINDOW_SAMPLES;
        let is_over = now >= self.halved_at + WINDOW_TIME && self.new_samples >= MIN_WINDOW_SAMPLES;
        if is_full || is_over {
            self.histogram.as_mut_slice().iter_mut().for_each(|count| *count /= 2);
            (self.new_samples, self.halved_at) = (0, now);
        }
        self.update_quantiles();
    }

    /// Computes the quantiles and the number of attempts needed where enough samples have been added.
    fn update_quantiles(&mut self) {
        let total: u64 = self.histogram.as_slice().iter().sum();
        let is_due = self.new_samples.is_multiple_of(QUANTILE_UPDATE_SAMPLES);
        if !is_due || total < u64::from(QUANTILE_UPDATE_SAMPLES) {
            return;
        }
        let bucket_of = |quantile| self.histogram.quantile_bucket(quantile).ok().flatten();
        let Some((low, high)) = bucket_of(LOW_QUANTILE).zip(bucket_of(HIGH_QUANTILE)) else { return };
        let in_time: u64 = self
            .histogram
            .iter()
            .take_while(|bucket| bucket.end() <= high.end())
            .map(|bucket| bucket.count())
            .sum();
        let late_share = (1.0 - in_time as f64 / total as f64).max(1e-6);
        (self.high_quantile, self.low_quantile) = (high.end().max(1), low.start());
        self.attempts_needed = ((1.0 - TARGET_RELIABILITY).ln() / late_share.ln()).ceil().max(1.0) as u64;
    }

    /// When to send, at the latest, a request whose answer is due at `sla_end`.
    pub fn plan(&self, now: TenthMillis, sla_end: TenthMillis) -> SendPlan {
        let time_per_attempt = self.mean_wait as TenthMillis + self.high_quantile;
        let possible_attempts = sla_end.saturating_sub(now) / time_per_attempt;
        let attempts = possible_attempts.min(self.attempts_needed);
        let lead_time = if attempts == 0 { self.high_quantile } else { attempts * time_per_attempt };
        SendPlan { send_by: sla_end.saturating_sub(lead_time), has_time_for_attempt: possible_attempts > 0 }
    }
}

/// The costs of recent requests, and their division into light and heavy ones.
pub struct CostStats {
    /// Recent costs, for their median.
    histogram: Histogram,
    /// The sum of the costs of recent light requests.
    light_sum: f64,
    /// The sum of the costs of recent heavy requests.
    heavy_sum: f64,
    /// The number of costs in the sums.
    count: u32,
}

impl Default for CostStats {
    fn default() -> Self {
        let histogram = Histogram::new(COST_GROUPING_POWER, MAX_COST_POWER).expect("the bins are constant");
        CostStats { histogram, light_sum: 0.0, heavy_sum: 0.0, count: 0 }
    }
}

impl CostStats {
    /// Adds the cost of a request, and returns whether it is heavy: above the median of the costs before.
    pub fn record(&mut self, cost: f64) -> bool {
        let median = self.histogram.quantile_bucket(0.5).ok().flatten();
        let is_heavy = median.is_some_and(|bucket| cost > bucket.end() as f64);
        self.histogram.increment(cost as u64).unwrap_or_default();
        *(if is_heavy { &mut self.heavy_sum } else { &mut self.light_sum }) += cost;
        self.count += 1;
        if self.count >= 2 * WINDOW_SAMPLES {
            self.histogram.as_mut_slice().iter_mut().for_each(|count| *count /= 2);
            self.light_sum /= 2.0;
            self.heavy_sum /= 2.0;
            self.count = WINDOW_SAMPLES;
        }
        is_heavy
    }

    /// The mean cost of recent requests; 0 before the first one.
    pub fn mean(&self) -> f64 {
        self.sum() / f64::from(self.count.max(1))
    }

    /// The part of `total` in proportion to the cost of light requests; the rest is for heavy ones.
    pub fn light_part_of(&self, total: f64) -> f64 {
        total * self.light_sum / self.sum().max(1e-9)
    }

    /// Whether no request counts as heavy, as when there are no cost hints.
    pub fn is_all_light(&self) -> bool {
        self.heavy_sum == 0.0
    }

    /// The sum of the costs of recent requests.
    fn sum(&self) -> f64 {
        self.light_sum + self.heavy_sum
    }
}

/// A level that decays exponentially with time.
#[derive(Clone, Copy, Default)]
pub struct DecayingLevel {
    /// The level at `updated_at`.
    pub level: f64,
    /// The time of the last change, from which the level decays.
    pub updated_at: TenthMillis,
}

impl DecayingLevel {
    /// The decayed level at a time.
    pub fn value_at(&self, now: TenthMillis, half_life: TenthMillis) -> f64 {
        self.level * (-(now.saturating_sub(self.updated_at) as f64) / half_life as f64).exp2()
    }

    /// Adds an amount to the level as decayed by now.
    pub fn add(&mut self, now: TenthMillis, half_life: TenthMillis, amount: f64) {
        (self.level, self.updated_at) = (self.value_at(now, half_life) + amount, now);
    }
}

/// Response time per unit of cost, as a geometric mean of the last answers, which a few late ones hardly
/// change.
#[derive(Default)]
pub struct Pace {
    /// The mean of the natural logarithms of tenths of a millisecond per unit of cost.
    pub log_mean: f64,
    /// The number of answers in the mean, up to its window.
    pub samples: f64,
    /// The best pace since `previous_best` was set; 0 where there is none yet.
    best: f64,
    /// The best pace of the `BEST_PACE_SAMPLES` answers before.
    previous_best: Option<f64>,
    /// Answers that [`Pace::record_slowdown`] has recorded.
    slowdown_samples: u32,
    /// The shortest response time of any cost, in tenths of a millisecond: mostly the network round
    /// trip.
    pub min_duration: f64,
}

impl Pace {
    /// Adds an answer to a running mean of about `window` answers, and returns that mean.
    pub fn record(&mut self, duration: TenthMillis, cost: f64, window: f64) -> f64 {
        self.min_duration =
            if self.samples == 0.0 { duration as f64 } else { self.min_duration.min(duration as f64) };
        self.samples = (self.samples + 1.0).min(window);
        self.log_mean += ((duration.max(1) as f64 / cost).ln() - self.log_mean) / self.samples;
        self.mean()
    }

    /// Adds an answer of one upstream, and returns its pace as a multiple of its best pace.
    pub fn record_slowdown(&mut self, duration: TenthMillis, cost: f64) -> f64 {
        let pace = self.record(duration, cost, UPSTREAM_PACE_SAMPLES);
        // Costs are in time of a standard core. An upstream that has been loaded since it was first seen must
        // not take the pace under that load for its best. A cost of at most 1 is no usable hint.
        let unloaded = if cost > 1.0 { MAX_UNLOADED_PACE } else { pace };
        let seen = if self.samples < UPSTREAM_PACE_SAMPLES { unloaded } else { pace.min(unloaded) };
        self.slowdown_samples += 1;
        // The least of thousands of answers is an outlier: if it were kept forever, each pace would look like
        // a slowdown at the end of a day.
        if self.slowdown_samples.is_multiple_of(BEST_PACE_SAMPLES) {
            (self.previous_best, self.best) = (Some(self.best), seen);
        }
        self.best = if self.best > 0.0 { self.best.min(seen) } else { seen };
        pace / self.previous_best.map_or(self.best, |previous| previous.min(self.best)).max(1e-9)
    }

    /// The geometric mean, in tenths of a millisecond per unit of cost; 1 before the first answer.
    pub fn mean(&self) -> f64 {
        self.log_mean.exp()
    }
}
