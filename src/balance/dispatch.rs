//! Which request is sent next, and to which upstream.

use std::cmp::Reverse;

use nanorand::Rng;

use super::{
    Alarm, AlarmKind, Attempt, DedupGroups, Dispatcher, EJECTION_SCORE, OUTLIER_HALF_LIFE, ProbeRound,
    RATE_HALF_LIFE, RUNNING_MEAN_SAMPLES, Request, RequestNumber, UpstreamIndex, hash_u64,
};
use crate::{Action, Effect, GiveUpReason, TenthMillis};

/// The number of waiting requests that are tried in their order, so that one which only some upstreams may
/// take doesn't block all others.
const MAX_TRIED_REQUESTS: usize = 4;
/// An attempt is overdue after the high quantile of response times, or after this multiple of the mean pace
/// for its cost where that is longer.
const OVERDUE_PACE_FACTOR: f64 = 2.0;
/// The weight of an upstream in another zone, where both zones are equally fast.
const OTHER_ZONE_WEIGHT: f64 = 0.1;
/// The minimum of the weight of an upstream in another zone.
const MIN_OTHER_ZONE_WEIGHT: f64 = 0.03;
/// The weight of another zone is multiplied by the own zone's slowdown relative to it, to this power.
const ZONE_SLOWDOWN_EXPONENT: f64 = 3.0;
/// Ejected upstreams get requests only when fewer than one in this many candidates is not ejected.
const MIN_TRUSTED_DIVISOR: usize = 4;
/// For a request of at least this multiple of the mean cost, two upstreams are probed for their load.
const PROBE_COST_FACTOR: f64 = 1.0;
/// How long a request waits for the answers of both probes, if one has answered.
const BOTH_PROBES_TIMEOUT: TenthMillis = 250;
/// How long a request waits for the first answer of a probe.
const ONE_PROBE_TIMEOUT: TenthMillis = 1500;
/// A load report younger than this saves a probe.
const MAX_FRESH_REPORT_AGE: TenthMillis = 1000;
/// The exponent with which the part of the concurrency limit that is reserved for requests of higher value
/// grows with the difference in value.
const RESERVE_EXPONENT: i32 = 4;
/// The maximum of the part of the concurrency limit that is reserved for requests of higher value.
const MAX_RESERVED_SHARE: f64 = 0.75;
/// The lowest concurrency limit where upstreams can be probed: the probes protect them well enough from that
/// few attempts.
const MIN_LIMIT_WITH_PROBES: f64 = 3.0;
/// The budget of a cold upstream, as a fraction of this balancer's share of the load at which the upstream
/// collapses.
const COLD_BUDGET_FRACTION: f64 = 0.35;
/// The cost of a new connection to a cold upstream, as a multiple of the mean cost of a request.
const NEW_CONNECTION_COST_FACTOR: f64 = 0.1;

impl Dispatcher {
    /// Sends one waiting request or gives one up; false when none can be sent now.
    pub fn dispatch_next(&mut self, now: TenthMillis, actions: &mut Vec<Action>) -> bool {
        self.fleet.update_in_flight(now, 0.0);
        let by_send_time = self.queue.by_send_time.iter().take(MAX_TRIED_REQUESTS);
        let next: Vec<RequestNumber> = by_send_time.map(|waiting| waiting.request).collect();
        for number in next {
            if let Some(reason) = self.reason_to_give_up(now, number) {
                // An early answer serves the client better than a late one.
                self.stop_waiting(number, reason, actions);
                return true;
            }
            let is_below_limit = self.is_below_limit(&self.queue.requests[&number]);
            let upstream = if is_below_limit { self.choose_upstream(now, number, actions) } else { None };
            if let Some(upstream) = upstream {
                self.send_or_give_up(now, number, upstream, actions);
                return true;
            }
        }
        false
    }

    /// Why a waiting request can be sent neither now nor later.
    fn reason_to_give_up(&self, now: TenthMillis, number: RequestNumber) -> Option<GiveUpReason> {
        if self.fleet.candidates.is_empty() {
            return Some(GiveUpReason::NoUpstream);
        }
        if self.lease.has_expired(now, &self.config) {
            return Some(GiveUpReason::StaleList);
        }
        let repeat_by = self.queue.requests[&number].repeat_by();
        let is_window_over = repeat_by.is_some_and(|repeat_by| repeat_by <= now + 1);
        is_window_over.then_some(GiveUpReason::WindowOver)
    }

    /// Sends a request to the chosen upstream, unless its answer would be late there.
    fn send_or_give_up(
        &mut self,
        now: TenthMillis,
        number: RequestNumber,
        upstream: UpstreamIndex,
        actions: &mut Vec<Action>,
    ) {
        self.dequeue(number);
        // Where no request waits at the upstream, a late answer costs the others nothing and is better than
        // none.
        let has_queue = self.fleet.reported_cost(now, upstream) >= self.fleet.costs.mean();
        if has_queue && self.would_be_late(now, &self.queue.requests[&number], upstream) {
            self.give_up(number, GiveUpReason::ForeseenLate, actions);
        } else {
            self.send_attempt(now, number, upstream, actions);
        }
    }

    /// Whether the concurrency limit allows one more attempt of this request. The last part of the limit is
    /// reserved for requests of higher value: with little traffic only one request waits at a time, and an
    /// order among the waiting ones would not favour them.
    pub fn is_below_limit(&self, request: &Request) -> bool {
        let min_limit = if self.config.probing { MIN_LIMIT_WITH_PROBES } else { 0.0 };
        let limit = (1.0 - self.reserved_share(request)) * self.fleet.concurrency_limit;
        let limit = min_limit.max(limit);
        self.fleet.in_flight + 1.0 <= limit || self.fleet.mean_in_flight <= limit
    }

    /// Whether the reported load of the upstream and the request's own work take longer than the time left.
    /// Without probes there are no reports, and no request is foreseen to be late.
    fn would_be_late(&self, now: TenthMillis, request: &Request, upstream: UpstreamIndex) -> bool {
        let time_left = request.sla_end.saturating_sub(now) as f64;
        let cost_in_time = time_left * self.fleet.speed(upstream);
        let concurrency = self.fleet.concurrency_per_upstream.max(1.0);
        let cost_to_do = self.fleet.reported_cost(now, upstream) + request.cost * concurrency;
        self.config.probing && cost_to_do > cost_in_time
    }

    /// The part of the concurrency limit that this request leaves to those of higher value.
    pub fn reserved_share(&self, request: &Request) -> f64 {
        let value = request.value();
        let max_value = self.max_class_value.max(value);
        let value_share = value / max_value.max(f64::MIN_POSITIVE);
        (1.0 - value_share).powi(RESERVE_EXPONENT).min(MAX_RESERVED_SHARE)
    }

    /// The upstream for a request; none where no upstream can take it now, or while probes are awaited.
    fn choose_upstream(
        &mut self,
        now: TenthMillis,
        number: RequestNumber,
        actions: &mut Vec<Action>,
    ) -> Option<UpstreamIndex> {
        let random = self.rng.generate::<u64>();
        let request = &self.queue.requests[&number];
        let eligible = self.eligible_upstreams(now, request)?;
        let in_time = eligible.iter().copied();
        let in_time: Vec<_> = in_time.filter(|index| !self.would_be_late(now, request, *index)).collect();
        let drawn =
            self.draw_two(now, request, if in_time.is_empty() { &eligible } else { &in_time }, random);
        let cost = request.cost;
        if !self.config.probing || cost < PROBE_COST_FACTOR * self.fleet.costs.mean() {
            return self.least_loaded(now, &drawn, cost);
        }
        self.start_probes(now, number, &drawn, actions);
        let answered = self.answered_probes(now, &self.queue.requests[&number].probes)?;
        let answered: Vec<_> = answered.into_iter().filter(|index| eligible.contains(index)).collect();
        self.least_loaded(now, if answered.is_empty() { &drawn } else { &answered }, cost)
    }

    /// The candidates that may take a request, from the best group that has some: first the candidates for
    /// its weight, then the others; first only those that are not ejected, neither alone nor with their zone,
    /// then those of ejected zones. None where enough candidates are not ejected, so that the request waits
    /// for one of them. Otherwise ejected candidates count too, and the result is empty where none of them is
    /// free.
    fn eligible_upstreams(&self, now: TenthMillis, request: &Request) -> Option<Vec<UpstreamIndex>> {
        let (mut preferred, mut others) = self.fleet.candidates.split_at(self.fleet.light_count);
        if request.is_heavy && !others.is_empty() {
            (preferred, others) = (others, preferred);
        }
        let mut eligible: Vec<UpstreamIndex> = Vec::new();
        for ignores_zones in [false, true] {
            let is_trusted = |index: &UpstreamIndex| self.is_trusted(now, *index, ignores_zones);
            for group in [preferred, others] {
                if eligible.is_empty() {
                    let group = group.iter().copied();
                    eligible.extend(
                        group.filter(|index| {
                            is_trusted(index) && self.may_send_to(now, request, *index, true)
                        }),
                    );
                }
            }
            let trusted_count = self.fleet.candidates.iter().filter(|index| is_trusted(index)).count();
            if eligible.is_empty() && MIN_TRUSTED_DIVISOR * trusted_count >= self.fleet.candidates.len() {
                return None;
            }
        }
        if eligible.is_empty() {
            // Nearly all candidates are ejected: the fault may be the balancer's own, and requests still have
            // to be sent.
            let candidates = self.fleet.candidates.iter().copied();
            eligible.extend(candidates.filter(|index| self.may_send_to(now, request, *index, false)));
        }
        Some(eligible)
    }

    /// Whether an upstream is not ejected, neither alone nor, unless `ignores_zones`, with its zone.
    fn is_trusted(&self, now: TenthMillis, index: UpstreamIndex, ignores_zones: bool) -> bool {
        let upstream = &self.fleet.upstreams[index];
        let zone = self.fleet.zones.get(&upstream.entry.zone).filter(|_| !ignores_zones);
        let zone_score = zone.map_or(0.0, |zone| zone.outlier_score.value_at(now, OUTLIER_HALF_LIFE));
        zone_score.max(upstream.outlier_score.value_at(now, OUTLIER_HALF_LIFE)) < EJECTION_SCORE
    }

    /// Whether an upstream is in the request's deduplication scope, below its in-flight limit, within its
    /// cold budget and not trying the request already; with `excludes_tried`, not an upstream that ever tried
    /// it either.
    fn may_send_to(
        &self,
        now: TenthMillis,
        request: &Request,
        index: UpstreamIndex,
        excludes_tried: bool,
    ) -> bool {
        let upstream = &self.fleet.upstreams[index];
        let is_in_scope = || match (request.effect, request.first_possible_run()) {
            (Effect::Keyed { scope, .. }, Some(first)) => {
                first.groups.is_same(DedupGroups::of(&upstream.entry), scope)
            }
            _ => true,
        };
        let is_excluded =
            |attempt: &Attempt| attempt.upstream == index && (attempt.in_flight || excludes_tried);
        is_in_scope()
            && f64::from(upstream.in_flight) < upstream.in_flight_limit
            && !request.attempts.iter().any(is_excluded)
            && self.is_within_cold_budget(now, index, self.cost_if_cold(request.cost))
    }

    /// Probes the drawn upstreams for a request, once before each of its attempts.
    fn start_probes(
        &mut self,
        now: TenthMillis,
        number: RequestNumber,
        drawn: &[UpstreamIndex],
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.queue.requests.get_mut(&number) else { return };
        if !request.probes.upstreams.is_empty() {
            return;
        }
        for &index in drawn {
            let upstream = &self.fleet.upstreams[index];
            if upstream.reported_at + MAX_FRESH_REPORT_AGE <= now {
                actions.push(Action::Probe { upstream: upstream.entry.upstream.clone() });
            }
        }
        request.probes = ProbeRound { started_at: now, upstreams: drawn.to_vec() };
        let alarms = [BOTH_PROBES_TIMEOUT, ONE_PROBE_TIMEOUT]
            .map(|time| Reverse(Alarm { at: now + time, request: number, kind: AlarmKind::ProbesOver }));
        self.queue.alarms.extend(alarms);
    }

    /// The probed upstreams whose load is known; none while more answers are awaited. Some upstreams let a
    /// probe wait in their queue like a request, so that the first one to answer has the shortest queue.
    fn answered_probes(&self, now: TenthMillis, probes: &ProbeRound) -> Option<Vec<UpstreamIndex>> {
        let has_answered = |index: &&UpstreamIndex| {
            self.fleet.upstreams[**index].reported_at + MAX_FRESH_REPORT_AGE > probes.started_at
        };
        let answered: Vec<_> = probes.upstreams.iter().filter(has_answered).copied().collect();
        let max_wait = if answered.is_empty() { ONE_PROBE_TIMEOUT } else { BOTH_PROBES_TIMEOUT };
        let awaits_more = answered.len() < probes.upstreams.len() && now - probes.started_at < max_wait;
        (!awaits_more).then_some(answered)
    }

    /// The upstream that would serve a request of this cost soonest.
    fn least_loaded(&self, now: TenthMillis, indices: &[UpstreamIndex], cost: f64) -> Option<UpstreamIndex> {
        let load = |index: &UpstreamIndex| self.load(now, *index, cost);
        indices.iter().copied().min_by(|a, b| load(a).total_cmp(&load(b)))
    }

    /// Draws two upstreams, between which their load decides. Faster ones are more likely; requests with the
    /// same affinity key draw the same at all balancers.
    fn draw_two(
        &self,
        now: TenthMillis,
        request: &Request,
        eligible: &[UpstreamIndex],
        random: u64,
    ) -> Vec<UpstreamIndex> {
        let key = request.affinity_key.filter(|_| self.config.warm_keys);
        // With less time left than twice what its work takes, two upstreams drawn at random may both be too
        // slow.
        let usual_time = OVERDUE_PACE_FACTOR * self.fleet.pace.mean() * request.cost;
        let is_urgent = usual_time > request.sla_end.saturating_sub(now) as f64;
        let priority = |index: UpstreamIndex| {
            if key.is_none() && is_urgent {
                return self.load(now, index, request.cost);
            }
            let upstream = &self.fleet.upstreams[index];
            let uniform = hash_u64(key.unwrap_or(random) ^ upstream.id_hash) as f64 / u64::MAX as f64;
            let weight = self.fleet.speed(index) * self.zone_weight(upstream.entry.zone, key.is_some());
            -uniform.max(f64::MIN_POSITIVE).ln() / weight
        };
        let mut by_priority: Vec<_> = eligible.iter().map(|index| (priority(*index), *index)).collect();
        by_priority.sort_by(|a, b| a.0.total_cmp(&b.0));
        by_priority.into_iter().map(|(_, index)| index).take(2).collect()
    }

    /// The weight of an upstream's zone in the draw. Other zones get more requests the slower the own zone is
    /// in comparison.
    fn zone_weight(&self, zone: u32, has_affinity: bool) -> f64 {
        if has_affinity || zone == self.config.own_zone {
            return 1.0;
        }
        let slowdown_of = |zone: u32| {
            let pace = self.fleet.zones.get(&zone).map(|zone| &zone.pace);
            self.fleet.log_slowdown(pace)
        };
        let slowdown = slowdown_of(self.config.own_zone) - slowdown_of(zone);
        (OTHER_ZONE_WEIGHT * (ZONE_SLOWDOWN_EXPONENT * slowdown).exp()).clamp(MIN_OTHER_ZONE_WEIGHT, 1.0)
    }

    /// The time that an upstream needs for its attempts in flight and one more of this cost, raised by its
    /// outlier score. Attempts count by their cost, because a very heavy request has time enough only where
    /// work is done fast.
    fn load(&self, now: TenthMillis, index: UpstreamIndex, cost: f64) -> f64 {
        let upstream = &self.fleet.upstreams[index];
        let other_zone = if upstream.entry.zone == self.config.own_zone { 0.0 } else { 1.0 };
        let cost_there = upstream.cost_in_flight.max(self.fleet.reported_cost(now, index));
        let own_cost = cost * self.fleet.concurrency_per_upstream.max(1.0);
        let total_cost = cost_there + own_cost + other_zone * self.fleet.costs.mean();
        let outlier_score = upstream.outlier_score.value_at(now, OUTLIER_HALF_LIFE);
        total_cost / self.fleet.speed(index) * (1.0 + outlier_score)
    }

    /// Whether a cold upstream may get this cost in the present window. Its budget is its part of the load
    /// that warm upstreams bear (served cost by capacity). A rest of the budget that is less than a request
    /// is granted at random: one request from each of many balancers would be hundreds in total.
    fn is_within_cold_budget(&self, now: TenthMillis, index: UpstreamIndex, cost: f64) -> bool {
        let (cold, upstream) = (&self.config.cold_start, &self.fleet.upstreams[index]);
        let Some(age) = upstream.age_while_cold(now, &self.config) else { return true };
        // Relative to the present capacity: if most candidates are cold, the load relative to their full
        // capacity would be far too low an estimate of what warm upstreams bear.
        let present_speed = |index: &UpstreamIndex| {
            let share = self.fleet.upstreams[*index].present_capacity_share(now, &self.config);
            share * self.fleet.speed(*index)
        };
        let total_speed = self.fleet.candidates.iter().map(present_speed).sum::<f64>();
        let load = self.fleet.served_cost_rate.value_at(now, RATE_HALF_LIFE) / total_speed;
        let budget = COLD_BUDGET_FRACTION
            * cold.collapse_load_factor
            * load
            * present_speed(&index)
            * cold.collapse_window as f64;
        let window_length = cold.collapse_window.max(1);
        let window = age / window_length;
        let own_hash = hash_u64(upstream.id_hash ^ u64::from(self.config.own_index));
        let uniform = hash_u64(own_hash ^ window) as f64 / u64::MAX as f64;
        upstream.recent_cost.value_at(now, window_length) + cost <= budget + uniform * cost
    }

    /// The cost of an attempt to a cold upstream: it may need a new connection, and light requests are
    /// heavier there than their cost hint says.
    fn cost_if_cold(&self, cost: f64) -> f64 {
        cost + NEW_CONNECTION_COST_FACTOR * self.fleet.costs.mean()
    }

    /// Sends the next attempt of a request, and sets the alarm for when it is overdue.
    fn send_attempt(
        &mut self,
        now: TenthMillis,
        number: RequestNumber,
        upstream: UpstreamIndex,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.queue.requests.get_mut(&number) else { return };
        let has_time_for_attempt = self.response_times.plan(now, request.sla_end).has_time_for_attempt;
        let start_before = request.repeat_by().into_iter().chain(self.lease.end(&self.config)).min();
        let (cost, sla_end) = (request.cost, request.sla_end);
        let attempt = request.attempts.len() as u32;
        if attempt == 0 {
            let wait = (now - request.arrived_at) as f64;
            self.response_times.mean_wait += (wait - self.response_times.mean_wait) / RUNNING_MEAN_SAMPLES;
        } else if request.has_attempt_in_flight() {
            self.hedge_budget -= 1.0;
        }
        // By the request's cost and the network round trip: a heavy request or a long round trip is no sign of
        // trouble, and a needless repeat of a heavy request is the most expensive one.
        let entry = &self.fleet.upstreams[upstream].entry;
        let round_trip = self.fleet.zones.get(&entry.zone).map_or(0.0, |zone| zone.pace.min_duration);
        let usual_time = (OVERDUE_PACE_FACTOR * self.fleet.pace.mean() * (cost + round_trip)) as TenthMillis;
        let overdue_after = self.response_times.high_quantile.max(usual_time);
        // Where two attempts may not be in flight, the first one is ended to make room for the next.
        let is_last = attempt + 1 >= request.limits.max_attempts;
        let may_not_hedge = request.effect == Effect::Idempotent && !request.limits.hedging;
        let timeout = (may_not_hedge && !is_last && has_time_for_attempt).then_some(overdue_after);
        request.probes.upstreams.clear();
        let groups = DedupGroups::of(entry);
        request.attempts.push(Attempt {
            upstream,
            groups,
            sent_at: now,
            in_flight: true,
            may_have_run: false,
        });
        let (request, upstream_id) = (request.id.clone(), entry.upstream.clone());
        actions.push(Action::Attempt { request, upstream: upstream_id, timeout, start_before });
        let cost_if_cold = self.cost_if_cold(cost);
        self.fleet.upstreams[upstream].record_sent(now, cost, cost_if_cold, &self.config);
        let kind = AlarmKind::AttemptOverdue(attempt);
        self.queue.alarms.push(Reverse(Alarm { at: now + overdue_after, request: number, kind }));
        self.fleet.update_in_flight(now, 1.0);
        if attempt == 0 && !has_time_for_attempt && now < sla_end {
            self.enqueue_hedge(now, number);
        }
    }
}
