//! All decisions of the balancer: events in, actions out, without I/O or a clock. docs/design.md explains
//! them.

use nanorand::WyRand;

use crate::{
    Action, Arrival, BalancerConfig, Event, GiveUpReason, Load, Outcome, RequestId, Stage, TenthMillis,
    UpstreamEntry,
};

mod balancer;
mod discovery;
mod dispatch;
mod estimate;
mod lease;
mod queue;
mod subset;
mod upstream;

pub use balancer::{Balancer, TrackedCounts};
use estimate::{CostStats, DecayingLevel, MAX_COST, MAX_UNLOADED_PACE, Pace, ResponseTimes};
use lease::ListLease;
use queue::{Alarm, AlarmKind, Attempt, DedupGroups, ProbeRound, Queue, Request, RequestNumber};
use subset::Fleet;
use upstream::{ANSWER_SCORE_FACTOR, EJECTION_SCORE, OUTLIER_HALF_LIFE, Upstream, UpstreamIndex, Zone};

const SECOND: TenthMillis = 10_000;

/// The half-life of rates. A level that decays with it is about the sum over `RATE_WINDOW`.
const RATE_HALF_LIFE: TenthMillis = 7 * SECOND;
const RATE_WINDOW: TenthMillis = 10 * SECOND;
/// The number of samples in a running mean over many upstreams.
const RUNNING_MEAN_SAMPLES: f64 = 32.0;
/// The bounds of plausible capacities. A single answer from an upstream with any other would distort the pace
/// of all.
const MIN_CAPACITY: f64 = 0.01;
const MAX_CAPACITY: f64 = 1e4;

/// What each request served in time adds to the hedge budget, the number of further attempts that may be sent
/// while one is in flight.
const HEDGES_PER_TIMELY_REQUEST: f64 = 0.1;
/// The maximum of the hedge budget.
const MAX_HEDGE_BUDGET: f64 = 4.0;

/// The state of a balancer, and its reactions to events.
struct Dispatcher {
    config: BalancerConfig,
    /// The source of all random choices.
    rng: WyRand,
    response_times: ResponseTimes,
    fleet: Fleet,
    queue: Queue,
    /// The number of hedges that may be sent.
    hedge_budget: f64,
    /// The quota buckets of the tenants, by the index of the tenant.
    quotas: Vec<QuotaBucket>,
    /// The highest value of a class.
    max_class_value: f64,
    /// The lease on the list of upstreams.
    lease: ListLease,
}

/// The token bucket of one tenant's quota. It holds the tokens of one second, and at least one.
#[derive(Clone, Default)]
struct QuotaBucket {
    /// How many more requests are within the quota.
    tokens: f64,
    refilled_at: TenthMillis,
}

/// An attempt that has ended.
struct EndedAttempt {
    request: RequestId,
    /// Number of the attempt within its request.
    attempt: u32,
    upstream: UpstreamIndex,
    outcome: Outcome,
    duration: TenthMillis,
    /// Whether the request has its final answer.
    answered: bool,
}

impl Dispatcher {
    fn new(config: BalancerConfig, rng: WyRand) -> Self {
        Dispatcher {
            response_times: ResponseTimes::new(&config),
            quotas: vec![QuotaBucket::default(); config.tenants.len()],
            fleet: Fleet::new(),
            queue: Queue::default(),
            hedge_budget: MAX_HEDGE_BUDGET,
            max_class_value: config.max_class_value(),
            lease: ListLease::default(),
            config,
            rng,
        }
    }

    fn handle_event(&mut self, now: TenthMillis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::RequestArrived(arrival) => self.handle_arrival(now, arrival, actions),
            Event::AttemptEnded { request, attempt, upstream, outcome, duration, answered, load } => {
                let Some(&upstream) = self.fleet.index_by_id.get(&upstream) else { return };
                if self.config.probing && (load.in_flight.is_some() || outcome == Outcome::Full) {
                    let reported = if outcome == Outcome::Full { outcome } else { Outcome::Ok };
                    self.record_report(now, upstream, reported, load);
                }
                let ended = EndedAttempt { request, attempt, upstream, outcome, duration, answered };
                self.handle_attempt_ended(now, &ended, actions);
            }
            Event::ClientDisconnected { request } => {
                let Some(&number) = self.queue.number_by_id.get(&request) else { return };
                self.close_request(number, actions);
            }
            Event::ProbeEnded { upstream, outcome, load, .. } => {
                if let Some(&index) = self.fleet.index_by_id.get(&upstream) {
                    self.record_report(now, index, outcome, load);
                }
            }
            Event::ListConfirmed { at } => self.lease.renew(at),
            Event::DiscoveryAddressChanged => self.lease.change_address(now),
            // The balancer handles lists before it passes events on, and timers by the time alone; messages
            // of peers are not used.
            Event::ListUpdate(_) | Event::TimerFired { .. } | Event::PeerMessage { .. } => {}
        }
    }

    /// Takes the outcome of an attempt; retries or closes its request.
    fn handle_attempt_ended(&mut self, now: TenthMillis, ended: &EndedAttempt, actions: &mut Vec<Action>) {
        let number = self.queue.number_by_id.get(&ended.request).copied();
        self.record_ended_attempt(now, number, ended);
        let Some(number) = number else { return };
        let Some(request) = self.queue.requests.get_mut(&number) else { return };
        if let Some(attempt) = request.attempts.get_mut(ended.attempt as usize) {
            attempt.in_flight = false;
            attempt.may_have_run = !ended.outcome.never_ran();
        }
        if !ended.answered {
            return self.retry_or_fail(now, number, actions);
        }
        if ended.outcome == Outcome::Ok {
            let earned = if now <= request.sla_end { HEDGES_PER_TIMELY_REQUEST } else { 0.0 };
            self.hedge_budget = (self.hedge_budget + earned).min(MAX_HEDGE_BUDGET);
            let cost_rate = request.cost / RATE_WINDOW as f64;
            self.fleet.served_cost_rate.add(now, RATE_HALF_LIFE, cost_rate);
        }
        self.close_request(number, actions);
    }

    /// Takes an ended attempt into the estimates of response times, of the concurrency limit, and of its
    /// upstream and zone.
    fn record_ended_attempt(
        &mut self,
        now: TenthMillis,
        number: Option<RequestNumber>,
        ended: &EndedAttempt,
    ) {
        let &EndedAttempt { upstream, outcome, duration, .. } = ended;
        let zone = self.fleet.zones.entry(self.fleet.upstreams[upstream].entry.zone).or_default();
        // If its whole zone has not answered since it was sent, a timeout shows neither a response time nor
        // an overload.
        let zone_is_silent = outcome == Outcome::TimedOut && zone.answered_at < now.saturating_sub(duration);
        if matches!(outcome, Outcome::Ok | Outcome::TimedOut) && !zone_is_silent {
            self.response_times.record(now, duration);
        }
        let request = number.and_then(|number| self.queue.requests.get(&number));
        let (cost, sla_time) = request.map_or((self.fleet.costs.mean(), 0), |request| {
            (request.cost, request.sla_end - request.arrived_at)
        });
        self.fleet.update_in_flight(now, -1.0);
        if matches!(outcome, Outcome::Ok | Outcome::TimedOut | Outcome::Full) && !zone_is_silent {
            let waited = duration as f64 - MAX_UNLOADED_PACE * cost;
            // More than half the SLA time without being worked on.
            let has_waited_too_long = 2.0 * waited > sla_time as f64 || outcome == Outcome::Full;
            self.fleet.adapt_concurrency_limit(has_waited_too_long, &self.config);
        }
        self.record_at_upstream(now, ended, cost);
    }

    /// Takes an ended attempt into the estimates of its upstream, zone and kind.
    fn record_at_upstream(&mut self, now: TenthMillis, ended: &EndedAttempt, cost: f64) {
        let &EndedAttempt { outcome, duration, .. } = ended;
        let upstream = &mut self.fleet.upstreams[ended.upstream];
        let entry = &upstream.entry;
        let capacity = entry.capacity.clamp(MIN_CAPACITY, MAX_CAPACITY);
        let cost_by_capacity = cost / capacity;
        let zone = self.fleet.zones.entry(entry.zone).or_default();
        // The network round trip counts as cost: otherwise that of a small request would look like an
        // overload of its upstream.
        let round_trip = zone.pace.min_duration;
        if matches!(outcome, Outcome::ConnectFailed | Outcome::TimedOut) {
            zone.record_unanswered(now, now.saturating_sub(duration));
        }
        if outcome == Outcome::Ok {
            zone.answered_at = now;
            zone.outlier_score.level *= ANSWER_SCORE_FACTOR;
            zone.pace.record(duration, cost_by_capacity, RUNNING_MEAN_SAMPLES);
            self.fleet.pace.record(duration, cost + round_trip, RUNNING_MEAN_SAMPLES);
            self.fleet.pace_by_capacity.record(duration, cost_by_capacity + round_trip, RUNNING_MEAN_SAMPLES);
            let kind_pace = self.fleet.kind_paces.entry(entry.kind).or_default();
            kind_pace.record(duration, cost_by_capacity + round_trip, RUNNING_MEAN_SAMPLES);
        }
        upstream.record_ended(cost);
        let slow_after = self.response_times.high_quantile;
        upstream.record_outcome(now, outcome, duration, cost + round_trip, slow_after, &self.config);
    }

    /// Takes the entry of an upstream in a new list; none where the list doesn't contain it any more.
    fn update_entry(&mut self, now: TenthMillis, index: UpstreamIndex, entry: Option<UpstreamEntry>) {
        self.fleet.change_ranking(index, &self.config, |ranking, ranked| ranking.remove(&ranked));
        let upstream = &mut self.fleet.upstreams[index];
        match entry {
            Some(entry) => upstream.update_entry(now, entry, &self.config),
            None => (upstream.entry.stage, upstream.listed_at) = (Stage::Gone, now),
        }
        self.fleet.change_ranking(index, &self.config, |ranking, ranked| ranking.insert(ranked));
        self.fleet.relisted.insert(index);
    }

    /// Takes the load that an upstream reported, or the failure of a probe.
    fn record_report(&mut self, now: TenthMillis, index: UpstreamIndex, outcome: Outcome, load: Load) {
        let queued = load.queued.filter(|queued| *queued >= 1.0);
        if let (Some(in_flight), Some(queued)) = (load.in_flight, queued) {
            let concurrency = &mut self.fleet.concurrency_per_upstream;
            *concurrency += (in_flight - queued - *concurrency) / RUNNING_MEAN_SAMPLES;
        }
        self.fleet.upstreams[index].record_report(now, outcome, load);
    }

    /// Opens a request: queues it, or gives it up at once where it would delay too much of higher value.
    fn handle_arrival(&mut self, now: TenthMillis, arrival: Arrival, actions: &mut Vec<Action>) {
        let number = self.queue.next_number;
        self.queue.next_number += 1;
        self.fleet.recent_arrivals.add(now, RATE_HALF_LIFE, 1.0);
        let value_factor = self.take_from_quota(now, arrival.tenant as usize);
        let class_index = (arrival.class as usize).min(self.config.classes.len() - 1);
        let class = &self.config.classes[class_index];
        let sla_end = now + class.sla_time.min(arrival.time_left);
        let cost = arrival.cost.unwrap_or(1).clamp(1, MAX_COST) as f64;
        let request = Request {
            id: arrival.request.clone(),
            effect: class.effect,
            limits: self.config.attempt_limits(),
            cost,
            affinity_key: arrival.affinity_key,
            is_heavy: self.fleet.costs.record(cost),
            arrived_at: now,
            sla_end,
            value_bits: (class.value * value_factor).max(0.0).to_bits(),
            ..Request::default()
        };
        // A long request of little value would make dozens of more valuable ones late that wait behind it.
        let expected_time = self.reserved_share(&request) * self.fleet.pace.mean() * cost;
        self.queue.number_by_id.insert(arrival.request, number);
        self.queue.requests.insert(number, request);
        if !self.config.probing && expected_time > (sla_end - now) as f64 {
            self.give_up(number, GiveUpReason::TooLong, actions)
        } else {
            self.enqueue(now, number)
        }
    }

    /// The factor on the value of a tenant's request: 1 within this balancer's share of the tenant's quota.
    fn take_from_quota(&mut self, now: TenthMillis, tenant: usize) -> f64 {
        let quota = self.config.tenants.get(tenant).map(|tenant| self.config.own_share(tenant.quota_rps));
        let (Some(quota), Some(bucket)) = (quota, self.quotas.get_mut(tenant)) else { return 1.0 };
        let refill = quota * (now - bucket.refilled_at) as f64 / SECOND as f64;
        bucket.tokens = (bucket.tokens + refill).min(quota.max(1.0));
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            return self.config.over_quota_value;
        }
        bucket.tokens -= 1.0;
        1.0
    }
}

/// A hash of a number, by the steps of the generator SplitMix64.
fn hash_u64(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_add(0x9e37_79b9_7f4a_7c15).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
