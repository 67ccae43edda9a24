//! Open requests: those that wait to be sent, their alarms, and how they end.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};

use nanorand::Rng;

use super::{Dispatcher, RATE_HALF_LIFE, UpstreamIndex};
use crate::{Action, AttemptLimits, DedupScope, Effect, GiveUpReason, RequestId, TenthMillis, UpstreamEntry};

/// Requests are dropped when the cost of the waiting ones is more than the recent rate would serve in a
/// quarter of the time left to the one of least value.
const OVERLOAD_FACTOR: f64 = 4.0;

/// A number that the balancer gives each request in the order of arrival.
pub type RequestNumber = u64;

/// The groups to which an upstream belongs. Upstreams of one group recognize repeats of each other's keyed requests.
#[derive(Clone, Copy)]
pub struct DedupGroups {
    zone: u32,
    cell: u32,
}

impl DedupGroups {
    /// The groups of an upstream by its entry in the list.
    pub fn of(entry: &UpstreamEntry) -> Self {
        DedupGroups { zone: entry.zone, cell: entry.cell }
    }

    /// Whether the group of this scope is the same.
    pub fn is_same(self, other: DedupGroups, scope: DedupScope) -> bool {
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => self.zone == other.zone,
            DedupScope::Cell => self.cell == other.cell,
        }
    }
}

/// An attempt of a request.
pub struct Attempt {
    pub upstream: UpstreamIndex,
    /// The groups of its upstream when it was sent. A later list may put the upstream into others.
    pub groups: DedupGroups,
    /// When it was handed to the front end.
    pub sent_at: TenthMillis,
    /// Whether the attempt has no outcome yet.
    pub in_flight: bool,
    /// Whether the attempt, now that it has ended, may have taken effect.
    pub may_have_run: bool,
}

/// The probes that were sent to choose an upstream for a request.
#[derive(Default)]
pub struct ProbeRound {
    /// When the probes were sent.
    pub started_at: TenthMillis,
    /// The upstreams whose load counts; empty where no probes were sent.
    pub upstreams: Vec<UpstreamIndex>,
}

/// An open request.
#[derive(Default)]
pub struct Request {
    pub id: RequestId,
    /// The effect of its class when it arrived; later changes of the configuration don't apply.
    pub effect: Effect,
    /// The limits on its attempts when it arrived; later changes of the configuration don't apply.
    pub limits: AttemptLimits,
    /// The expected work, as time of a standard core in tenths of a millisecond.
    pub cost: f64,
    /// Requests with the same key prefer the same upstreams, where the configuration has warm keys.
    pub affinity_key: Option<u64>,
    /// Whether its cost was above the median of recent costs when it arrived.
    pub is_heavy: bool,
    pub arrived_at: TenthMillis,
    /// The end of its SLA time, or its deadline where that is sooner.
    pub sla_end: TenthMillis,
    /// The bits of its value, a number that is not negative: such bits have the order of the values.
    pub value_bits: u64,
    /// The latest time to send it, while it waits for that.
    pub waiting_send_by: Option<TenthMillis>,
    /// All attempts so far, in the order in which they were sent.
    pub attempts: Vec<Attempt>,
    /// The probes for its next attempt.
    pub probes: ProbeRound,
}

impl Request {
    /// Its value to the client, by its class and its tenant's quota.
    pub fn value(&self) -> f64 {
        f64::from_bits(self.value_bits)
    }

    /// Whether an attempt has no outcome yet.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// The first attempt that may have run or may still run.
    pub fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.in_flight || attempt.may_have_run)
    }

    /// Whether certainly no attempt has taken effect or still can.
    fn never_ran(&self) -> bool {
        self.first_possible_run().is_none()
    }

    /// Whether it may be sent once more and does not already wait for that.
    fn may_be_resent(&self) -> bool {
        let may_repeat = self.effect != Effect::NonIdempotent || self.never_ran();
        let has_attempts_left = self.attempts.len() < self.limits.max_attempts as usize;
        may_repeat && self.waiting_send_by.is_none() && has_attempts_left
    }

    /// Until when upstreams recognize another attempt as a repeat; none where there is no such limit.
    pub fn repeat_by(&self) -> Option<TenthMillis> {
        let Effect::Keyed { key_ttl, .. } = self.effect else { return None };
        self.first_possible_run().map(|attempt| attempt.sent_at + key_ttl)
    }
}

/// A time at which a request needs attention. Alarms are ordered by time, then by request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Alarm {
    /// When it is due.
    pub at: TenthMillis,
    pub request: RequestNumber,
    pub kind: AlarmKind,
}

/// What an alarm is for. One that is not true any more when it is due is ignored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AlarmKind {
    /// The request has waited as long as it can.
    WaitOver,
    /// The attempt of this number takes longer than expected.
    AttemptOverdue(u32),
    /// The time limit for the answers to probes has passed. Waiting requests are tried again after each batch
    /// of events; the alarm only causes one.
    ProbesOver,
}

/// A waiting request; the one that has to be sent first comes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitingBySendTime {
    /// The latest time that leaves room for all planned attempts.
    pub send_by: TenthMillis,
    pub request: RequestNumber,
}

/// A waiting request; the one of least value comes first, and among equals the one that can wait longest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingByValue {
    /// See [`Request::value_bits`].
    value_bits: u64,
    /// The latest time that leaves room for all planned attempts.
    send_by: Reverse<TenthMillis>,
    request: RequestNumber,
}

/// The open requests, and the order of those that wait.
#[derive(Default)]
pub struct Queue {
    /// All open requests, whether they wait or have attempts in flight.
    pub requests: BTreeMap<RequestNumber, Request>,
    /// The numbers of the open requests by their ids.
    pub number_by_id: HashMap<RequestId, RequestNumber>,
    /// The number of the next request to arrive.
    pub next_number: RequestNumber,
    /// Waiting requests by the latest time to send them.
    pub by_send_time: BTreeSet<WaitingBySendTime>,
    /// Waiting requests by value.
    by_value: BTreeSet<WaitingByValue>,
    /// The sum of the costs of waiting requests.
    waiting_cost: f64,
    /// The earliest alarm comes first.
    pub alarms: BinaryHeap<Reverse<Alarm>>,
}

impl Dispatcher {
    /// Lets a request wait to be sent, the first time or again.
    pub fn enqueue(&mut self, now: TenthMillis, number: RequestNumber) {
        let Some(request) = self.queue.requests.get_mut(&number) else { return };
        let send_by = self.response_times.plan(now, request.sla_end).send_by;
        let repeat_by = request.repeat_by().unwrap_or(request.sla_end);
        let too_late_from = request.sla_end.saturating_sub(self.response_times.low_quantile);
        let wait_until = too_late_from.min(repeat_by).max(now + 1);
        request.waiting_send_by = Some(send_by);
        self.queue.by_send_time.insert(WaitingBySendTime { send_by, request: number });
        self.queue.by_value.insert(WaitingByValue {
            value_bits: request.value_bits,
            send_by: Reverse(send_by),
            request: number,
        });
        self.queue.waiting_cost += request.cost;
        let alarm = Alarm { at: wait_until, request: number, kind: AlarmKind::WaitOver };
        self.queue.alarms.push(Reverse(alarm));
    }

    /// Ends the wait of a request, if it waits.
    pub fn dequeue(&mut self, number: RequestNumber) {
        let Some(request) = self.queue.requests.get_mut(&number) else { return };
        let Some(send_by) = request.waiting_send_by.take() else { return };
        self.queue.by_send_time.remove(&WaitingBySendTime { send_by, request: number });
        self.queue.by_value.remove(&WaitingByValue {
            value_bits: request.value_bits,
            send_by: Reverse(send_by),
            request: number,
        });
        self.queue.waiting_cost -= request.cost;
    }

    /// Under overload, drops the waiting requests of least value at once, instead of after a wait in vain.
    pub fn shed_load(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        while let Some(&WaitingByValue { request: number, .. }) = self.queue.by_value.first() {
            let request = &self.queue.requests[&number];
            let served_cost_rate = self.fleet.served_cost_rate.value_at(now, RATE_HALF_LIFE);
            let latest_send = request.sla_end.saturating_sub(self.response_times.high_quantile);
            let time_left = latest_send.saturating_sub(now) as f64;
            // A request that is below its concurrency limit waits only for answers to probes, and delays no
            // other.
            let waits_for_probes = self.config.probing && self.is_below_limit(request);
            let keeps_up = OVERLOAD_FACTOR * self.queue.waiting_cost <= time_left * served_cost_rate;
            if keeps_up || served_cost_rate == 0.0 || waits_for_probes {
                return;
            }
            self.stop_waiting(number, GiveUpReason::Overload, actions);
        }
    }

    /// Queues a second attempt beside the one in flight. The hedge budget, which requests served in time pay
    /// into, limits such attempts: otherwise hedges would increase the overload whose effect they are meant
    /// to hide.
    pub fn enqueue_hedge(&mut self, now: TenthMillis, number: RequestNumber) {
        let request = &self.queue.requests[&number];
        if request.limits.hedging && request.may_be_resent() && self.hedge_budget >= 1.0 {
            self.enqueue(now, number);
        }
    }

    /// After a failed attempt: a retry where one is allowed, unless another attempt is in flight or waits.
    pub fn retry_or_fail(&mut self, now: TenthMillis, number: RequestNumber, actions: &mut Vec<Action>) {
        let request = &self.queue.requests[&number];
        if request.waiting_send_by.is_some() || request.has_attempt_in_flight() {
            return;
        }
        match request.may_be_resent() {
            true => self.enqueue_or_give_up(now, number, actions),
            false => self.give_up(number, GiveUpReason::AttemptsFailed, actions),
        }
    }

    /// The final answer to a request that can't be served: a rejection where the request has certainly had no
    /// effect or may be repeated, and a failure otherwise.
    pub fn give_up(&mut self, number: RequestNumber, reason: GiveUpReason, actions: &mut Vec<Action>) {
        let request = &self.queue.requests[&number];
        let may_reject = match request.effect {
            Effect::Idempotent | Effect::Keyed { scope: DedupScope::All, .. } => true,
            Effect::NonIdempotent | Effect::Keyed { .. } => request.never_ran(),
        };
        let request = request.id.clone();
        // Spread at random, so that rejected clients don't all come back at once.
        let rng = &mut self.rng;
        let retry_after =
            self.config.max_retry_after.map(|max| max / 2 + rng.generate_range(0..(max / 2).max(1)));
        actions.push(match may_reject {
            true => Action::Reject { request, retry_after, reason },
            false => Action::Fail { request, reason },
        });
        self.close_request(number, actions);
    }

    /// Ends the wait of a request. That ends the request too, unless an attempt is in flight.
    pub fn stop_waiting(&mut self, number: RequestNumber, reason: GiveUpReason, actions: &mut Vec<Action>) {
        if self.queue.requests[&number].has_attempt_in_flight() {
            self.dequeue(number);
        } else {
            self.give_up(number, reason, actions);
        }
    }

    /// Queues a request again where an answer could still be in time, and gives it up otherwise.
    fn enqueue_or_give_up(&mut self, now: TenthMillis, number: RequestNumber, actions: &mut Vec<Action>) {
        let has_time_left = now + self.response_times.low_quantile < self.queue.requests[&number].sla_end;
        if has_time_left {
            self.enqueue(now, number);
        } else {
            self.give_up(number, GiveUpReason::NoTimeLeft, actions);
        }
    }

    /// Forgets a request, and cancels its attempts in flight where that is allowed.
    pub fn close_request(&mut self, number: RequestNumber, actions: &mut Vec<Action>) {
        self.dequeue(number);
        let Some(request) = self.queue.requests.remove(&number) else { return };
        self.queue.number_by_id.remove(&request.id);
        if request.limits.cancelling {
            let in_flight = (0u32..).zip(&request.attempts).filter(|(_, attempt)| attempt.in_flight);
            actions.extend(
                in_flight.map(|(attempt, _)| Action::Cancel { request: request.id.clone(), attempt }),
            );
        }
    }

    /// Handles all alarms that are due.
    pub fn handle_alarms(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        while let Some(&Reverse(alarm)) = self.queue.alarms.peek().filter(|alarm| alarm.0.at <= now) {
            self.queue.alarms.pop();
            match alarm.kind {
                AlarmKind::WaitOver => self.handle_wait_over(now, alarm.request, actions),
                AlarmKind::AttemptOverdue(attempt) => self.handle_overdue(now, alarm.request, attempt),
                AlarmKind::ProbesOver => {}
            }
        }
    }

    /// Records at the upstream and its zone that an attempt takes longer than expected, and queues a hedge.
    fn handle_overdue(&mut self, now: TenthMillis, number: RequestNumber, attempt: u32) {
        let Some(request) = self.queue.requests.get(&number) else { return };
        let attempt = request.attempts.get(attempt as usize).filter(|attempt| attempt.in_flight);
        let Some(&Attempt { upstream, sent_at, .. }) = attempt else { return };
        self.fleet.upstreams[upstream].record_overdue(now, sent_at, &self.config);
        let zone = self.fleet.upstreams[upstream].entry.zone;
        self.fleet.zones.entry(zone).or_default().record_unanswered(now, sent_at);
        if now + self.response_times.low_quantile < request.sla_end {
            self.enqueue_hedge(now, number);
        }
    }

    /// Ends a wait that took too long; the request is queued again, where another attempt can be in time, or
    /// given up, unless an attempt is in flight.
    fn handle_wait_over(&mut self, now: TenthMillis, number: RequestNumber, actions: &mut Vec<Action>) {
        let Some(request) = self.queue.requests.get(&number) else { return };
        if request.waiting_send_by.is_none() {
            return;
        }
        let has_attempt_in_flight = request.has_attempt_in_flight();
        self.dequeue(number);
        if !has_attempt_in_flight {
            self.enqueue_or_give_up(now, number, actions);
        }
    }
}
