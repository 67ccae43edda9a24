//! All decisions of the balancer: events in, actions out, no I/O and no clock. docs/design.md explains them.

use histogram::Histogram;
use nanorand::WyRand;

use crate::{
    Action, Arrival, BalancerConfig, Event, GiveUpReason, Load, Outcome, Stage, TenthMillis, UpstreamEntry,
};

mod discovery;
mod dispatch;
mod estimate;
mod lease;
mod queue;
mod shell;
mod subset;
mod upstream;

use estimate::{Decaying, Estimate, Pace, REST_PACE, WINDOW_OUTCOMES};
use lease::ListLease;
use queue::{Attempt, Queue, Request};
pub use shell::{Balancer, TrackedCounts};
use subset::Fleet;
use upstream::{ANSWER_LOWERS, EJECTED, FADE, Upstream, Zone};

const SECOND: TenthMillis = 10_000;

/// The halving time of what flows: with it a level is the sum over ten seconds.
const LONG: TenthMillis = 7 * SECOND;
const PACE_WINDOW: f64 = 32.0;
const FEW_ANSWERS: f64 = 4.0;
/// A hint of more, 28 minutes, can't be true; the bins of costs end there.
const MOST_COST: TenthMillis = (1 << 24) - 1;
/// What is listed beyond these can't be true, and one answer from there would spoil the pace of all.
const LEAST_SIZE: f64 = 0.01;
const MOST_SIZE: f64 = 1e4;

/// Further attempts while one is out, for each request served in time, and how many may be saved up.
const EXTRA_SHARE: f64 = 0.1;
const EXTRA_SAVED: f64 = 4.0;

struct Dispatcher {
    terms: BalancerConfig,
    rng: WyRand,
    estimate: Estimate,
    fleet: Fleet,
    queue: Queue,
    costs: Histogram,
    extra: f64,
    quotas: Vec<(f64, TenthMillis)>,
    highest_value: f64,
    lease: ListLease,
}

impl Dispatcher {
    fn new(terms: BalancerConfig, rng: WyRand) -> Self {
        let (estimate, quotas) = (Estimate::new(&terms), vec![(0.0, 0); terms.tenants.len()]);
        let costs = Histogram::new(3, 24).expect("the bins are fixed");
        let (fleet, queue) = (Fleet { cores: 1.0, ..Fleet::default() }, Queue::default());
        let (extra, highest_value, lease) = (EXTRA_SAVED, terms.max_class_value(), ListLease::default());
        Dispatcher { estimate, quotas, terms, rng, fleet, queue, costs, extra, highest_value, lease }
    }

    fn receive(&mut self, now: TenthMillis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::RequestArrived(arrival) => self.arrive(now, arrival, out),
            Event::AttemptEnded { request, attempt, upstream, outcome, duration: took, answered, load } => {
                let Some(&up) = self.fleet.names.get(&upstream) else { return };
                if self.terms.probing && (load.in_flight.is_some() || outcome == Outcome::Full) {
                    let told = if outcome == Outcome::Full { outcome } else { Outcome::Ok };
                    self.report(now, up, told, load);
                }
                let zone = self.fleet.zones.entry(self.fleet.board[up].entry.zone).or_default();
                // Lost with its zone, it says nothing of how long answers take, nor of a jam.
                let lost = outcome == Outcome::TimedOut && zone.answered < now.saturating_sub(took);
                if matches!(outcome, Outcome::Ok | Outcome::TimedOut) && !lost {
                    self.estimate.took(now, took);
                }
                let number = self.queue.numbers.get(&request).copied();
                let request = number.and_then(|n| self.queue.requests.get(&n));
                let (cost, sla) =
                    request.map_or((self.fleet.mean_cost(), 0), |r| (r.cost, r.sla_end - r.arrived));
                self.fleet.note_out(now, -1.0);
                if matches!(outcome, Outcome::Ok | Outcome::TimedOut | Outcome::Full) && !lost {
                    let waited = took as f64 - REST_PACE * cost;
                    self.fleet.make_room(2.0 * waited > sla as f64 || outcome == Outcome::Full, &self.terms);
                }
                let upstream = &mut self.fleet.board[up];
                let entry = &upstream.entry;
                let size = entry.capacity.clamp(LEAST_SIZE, MOST_SIZE);
                let (zone, work) = (self.fleet.zones.entry(entry.zone).or_default(), cost / size);
                // Else a small request's way there and back would pass for overload of its upstream.
                let way = zone.pace.least;
                if matches!(outcome, Outcome::ConnectFailed | Outcome::TimedOut) {
                    zone.unanswered(now, now.saturating_sub(took));
                }
                if outcome == Outcome::Ok {
                    zone.answered = now;
                    zone.outlier_score.level *= ANSWER_LOWERS;
                    zone.pace.note(took, work, PACE_WINDOW);
                    self.fleet.pace.note(took, cost + way, PACE_WINDOW);
                    self.fleet.listed.note(took, work + way, PACE_WINDOW);
                    self.fleet.kinds.entry(entry.kind).or_default().note(took, work + way, PACE_WINDOW);
                }
                upstream.returned(cost);
                upstream.end(now, outcome, took, cost + way, self.estimate.tp, &self.terms);
                let Some(number) = number else { return };
                let Some(request) = self.queue.requests.get_mut(&number) else { return };
                if let Some(a) = request.attempts.get_mut(attempt as usize) {
                    (a.out, a.may_have_run) = (false, !outcome.never_ran());
                }
                if !answered {
                    return self.failed(now, number, out);
                }
                if outcome == Outcome::Ok {
                    let earned = if now <= request.sla_end { EXTRA_SHARE } else { 0.0 };
                    self.extra = (self.extra + earned).min(EXTRA_SAVED);
                    self.fleet.flow.add(now, LONG, request.cost / (10 * SECOND) as f64);
                }
                self.close(number, out);
            }
            Event::ClientDisconnected { request } => {
                let Some(&number) = self.queue.numbers.get(&request) else { return };
                self.close(number, out);
            }
            Event::ProbeEnded { upstream, outcome, load, .. } => {
                if let Some(&up) = self.fleet.names.get(&upstream) {
                    self.report(now, up, outcome, load);
                }
            }
            Event::ListConfirmed { at } => self.lease.renew(at),
            Event::DiscoveryAddressChanged => self.lease.move_at(now),
            // Talk with peers is not used.
            Event::ListUpdate(_) | Event::TimerFired { .. } | Event::PeerMessage { .. } => {}
        }
    }

    /// Takes what the list says of an upstream, or that it is not on the list any more.
    fn listed(&mut self, now: TenthMillis, up: usize, entry: Option<UpstreamEntry>) {
        self.fleet.rank(up, &self.terms, |ranking, rank| ranking.remove(&rank));
        let upstream = &mut self.fleet.board[up];
        match entry {
            Some(entry) => upstream.listed(now, entry, &self.terms),
            None => (upstream.entry.stage, upstream.gone) = (Stage::Gone, now),
        }
        self.fleet.rank(up, &self.terms, |ranking, rank| ranking.insert(rank));
        self.fleet.relisted.insert(up);
    }

    fn report(&mut self, now: TenthMillis, up: usize, outcome: Outcome, load: Load) {
        if let (Some(held), Some(waiting)) = (load.in_flight, load.queued.filter(|waiting| *waiting >= 1.0)) {
            self.fleet.cores += (held - waiting - self.fleet.cores) / PACE_WINDOW;
        }
        self.fleet.board[up].reported(now, outcome, load);
    }

    fn arrive(&mut self, now: TenthMillis, arrival: Arrival, out: &mut Vec<Action>) {
        let number = self.queue.next;
        self.queue.next += 1;
        self.fleet.arrivals.add(now, LONG, 1.0);
        let share = self.share(now, arrival.tenant as usize);
        let class = self.terms.classes[(arrival.class as usize).min(self.terms.classes.len() - 1)].clone();
        let rank = (class.value * share).max(0.0).to_bits();
        let sla_end = now + class.sla_time.min(arrival.time_left);
        let cost = arrival.cost.unwrap_or(1).clamp(1, MOST_COST) as f64;
        let (id, key, heavy) = (arrival.request.clone(), arrival.affinity_key, self.weigh(cost));
        let (arrived, effect, limits) = (now, class.effect, self.terms.attempt_limits());
        let request =
            Request { id, effect, limits, cost, key, heavy, arrived, sla_end, rank, ..Request::default() };
        // A long request of little value would make dozens late that are worth more and wait behind it.
        let takes = self.kept(&request) * self.fleet.pace.mean() * cost;
        self.queue.numbers.insert(arrival.request, number);
        self.queue.requests.insert(number, request);
        if !self.terms.probing && takes > (sla_end - now) as f64 {
            self.give_up(number, GiveUpReason::TooLong, out)
        } else {
            self.hold(now, number)
        }
    }

    /// What part of its value counts, by the tenant's share of this balancer as a bucket of one second.
    fn share(&mut self, now: TenthMillis, tenant: usize) -> f64 {
        let quota = self.terms.tenants.get(tenant).map(|t| self.terms.own_share(t.quota_rps));
        let (Some(quota), Some((left, at))) = (quota, self.quotas.get_mut(tenant)) else { return 1.0 };
        *left = (*left + quota * (now - *at) as f64 / SECOND as f64).min(quota.max(1.0));
        *at = now;
        let over = *left < 1.0;
        *left -= if over { 0.0 } else { 1.0 };
        if over { self.terms.over_quota_value } else { 1.0 }
    }

    fn weigh(&mut self, cost: f64) -> bool {
        let median = self.costs.quantile_bucket(0.5).ok().flatten();
        let heavy = median.is_some_and(|bin| cost > bin.end() as f64);
        let _beyond = self.costs.increment(cost as u64);
        self.fleet.cost_sums[usize::from(heavy)] += cost;
        self.fleet.cost_count += 1;
        if self.fleet.cost_count >= 2 * WINDOW_OUTCOMES {
            self.costs.as_mut_slice().iter_mut().for_each(|bin| *bin /= 2);
            self.fleet.cost_sums.iter_mut().for_each(|sum| *sum /= 2.0);
            self.fleet.cost_count = WINDOW_OUTCOMES;
        }
        heavy
    }
}

fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_add(0x9e37_79b9_7f4a_7c15).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
