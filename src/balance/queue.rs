//! Requests that are held, given up and ended.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};

use nanorand::Rng;

use super::{Dispatcher, LONG};
use crate::{Action, AttemptLimits, DedupScope, Effect, GiveUpReason, RequestId, TenthMillis};

const GIVE_WAY: f64 = 4.0;

pub struct Attempt {
    pub up: usize,
    pub sent: TenthMillis,
    pub out: bool,
    pub may_have_run: bool,
}

#[derive(Default)]
pub struct Request {
    pub id: RequestId,
    /// What it came under, whatever its class and the settings say since.
    pub effect: Effect,
    pub limits: AttemptLimits,
    pub cost: f64,
    pub key: Option<u64>,
    pub heavy: bool,
    pub arrived: TenthMillis,
    /// The end of its SLA time, or its deadline where that is sooner.
    pub sla_end: TenthMillis,
    pub rank: u64,
    pub held: Option<TenthMillis>,
    pub attempts: Vec<Attempt>,
    /// When it asked for their load before it is sent, and which upstreams.
    pub asked: (TenthMillis, Vec<usize>),
}

impl Request {
    pub fn out(&self) -> bool {
        self.attempts.iter().any(|a| a.out)
    }

    /// The first that may have run.
    pub fn first(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.out || a.may_have_run)
    }

    fn never_ran(&self) -> bool {
        self.first().is_none()
    }

    /// Whether it may be sent once more, and is not waiting for that already.
    fn may_retry(&self) -> bool {
        let may_repeat = self.effect != Effect::NonIdempotent || self.never_ran();
        may_repeat && self.held.is_none() && self.attempts.len() < self.limits.max_attempts as usize
    }

    /// Until when one that may have run can be repeated without running twice.
    pub fn begin_by(&self) -> Option<TenthMillis> {
        let Effect::Keyed { key_ttl: memory, .. } = self.effect else { return None };
        self.first().map(|a| a.sent + memory)
    }
}

#[derive(Default)]
pub struct Queue {
    pub requests: BTreeMap<u64, Request>,
    pub numbers: HashMap<RequestId, u64>,
    pub next: u64,
    pub held: BTreeSet<(TenthMillis, u64)>,
    pub by_rank: BTreeSet<(u64, Reverse<TenthMillis>, u64)>,
    pub held_cost: f64,
    /// When an attempt is overdue, a held request (no attempt) runs out of time, or a probe (`ASKED`) is waited for.
    pub alarms: BinaryHeap<Reverse<(TenthMillis, u64, Option<u32>)>>,
}

impl Dispatcher {
    pub fn hold(&mut self, now: TenthMillis, number: u64) {
        let Some(request) = self.queue.requests.get_mut(&number) else { return };
        let (send_by, _) = self.estimate.plan(now, request.sla_end);
        let by = request.begin_by().unwrap_or(request.sla_end);
        let last = request.sla_end.saturating_sub(self.estimate.quick).min(by).max(now + 1);
        request.held = Some(send_by);
        self.queue.held.insert((send_by, number));
        self.queue.by_rank.insert((request.rank, Reverse(send_by), number));
        self.queue.held_cost += request.cost;
        self.queue.alarms.push(Reverse((last, number, None)));
    }

    pub fn unhold(&mut self, number: u64) {
        let Some(request) = self.queue.requests.get_mut(&number) else { return };
        let Some(send_by) = request.held.take() else { return };
        self.queue.held.remove(&(send_by, number));
        self.queue.by_rank.remove(&(request.rank, Reverse(send_by), number));
        self.queue.held_cost -= request.cost;
    }

    /// In a jam the requests of least value give way, at once rather than at the end of a hopeless wait.
    pub fn shed(&mut self, now: TenthMillis, out: &mut Vec<Action>) {
        while let Some(&(_, _, number)) = self.queue.by_rank.first() {
            let request = &self.queue.requests[&number];
            let flow = self.fleet.flow.at(now, LONG);
            let slack = request.sla_end.saturating_sub(self.estimate.tp).saturating_sub(now);
            // What only waits for an answer to what it asked is in nobody's way.
            let asks = self.terms.probing && self.has_room(request);
            if GIVE_WAY * self.queue.held_cost <= slack as f64 * flow || flow == 0.0 || asks {
                return;
            }
            self.stop_waiting(number, GiveUpReason::Overload, out);
        }
    }

    /// Only as many as what was served in time pays for, against hedges feeding the slowdown they should hide.
    pub fn hedge(&mut self, now: TenthMillis, number: u64) {
        let request = &self.queue.requests[&number];
        if request.limits.hedging && request.may_retry() && self.extra >= 1.0 {
            self.hold(now, number);
        }
    }

    pub fn failed(&mut self, now: TenthMillis, number: u64, out: &mut Vec<Action>) {
        let request = &self.queue.requests[&number];
        if request.held.is_some() || request.out() {
            return;
        }
        match request.may_retry() {
            true => self.hold_or_give_up(now, number, out),
            false => self.give_up(number, GiveUpReason::AttemptsFailed, out),
        }
    }

    /// The final answer for what cannot be served: a rejection where the rules allow it, else a failure.
    pub fn give_up(&mut self, number: u64, why: GiveUpReason, out: &mut Vec<Action>) {
        let request = &self.queue.requests[&number];
        let may_reject = match request.effect {
            Effect::Idempotent | Effect::Keyed { scope: DedupScope::All, .. } => true,
            Effect::NonIdempotent | Effect::Keyed { .. } => request.never_ran(),
        };
        let request = request.id.clone();
        // Apart from each other, against all those rejected coming back in one wave.
        let cool_down =
            self.terms.max_retry_after.map(|l| l / 2 + self.rng.generate_range(0..(l / 2).max(1)));
        out.push(match may_reject {
            true => Action::Reject { request, retry_after: cool_down, reason: why },
            false => Action::Fail { request, reason: why },
        });
        self.close(number, out);
    }

    pub fn stop_waiting(&mut self, number: u64, why: GiveUpReason, out: &mut Vec<Action>) {
        if self.queue.requests[&number].out() { self.unhold(number) } else { self.give_up(number, why, out) }
    }

    fn hold_or_give_up(&mut self, now: TenthMillis, number: u64, out: &mut Vec<Action>) {
        let hopeful = now + self.estimate.quick < self.queue.requests[&number].sla_end;
        if hopeful { self.hold(now, number) } else { self.give_up(number, GiveUpReason::NoTimeLeft, out) }
    }

    pub fn close(&mut self, number: u64, out: &mut Vec<Action>) {
        self.unhold(number);
        let Some(request) = self.queue.requests.remove(&number) else { return };
        self.queue.numbers.remove(&request.id);
        let outs = (0u32..).zip(&request.attempts).filter(|(_, a)| a.out && request.limits.cancelling);
        out.extend(outs.map(|(attempt, _)| Action::Cancel { request: request.id.clone(), attempt }));
    }

    pub fn ring(&mut self, now: TenthMillis, out: &mut Vec<Action>) {
        while let Some(&Reverse((_, number, attempt))) = self.queue.alarms.peek().filter(|a| a.0.0 <= now) {
            self.queue.alarms.pop();
            let Some(request) = self.queue.requests.get(&number) else { continue };
            if let Some(attempt) = attempt {
                let attempt = request.attempts.get(attempt as usize).filter(|a| a.out);
                let Some(&Attempt { up, sent, .. }) = attempt else { continue };
                self.fleet.board[up].overdue(now, sent, &self.terms);
                self.fleet.zones.entry(self.fleet.board[up].entry.zone).or_default().unanswered(now, sent);
                if now + self.estimate.quick < request.sla_end {
                    self.hedge(now, number);
                }
            } else if request.held.is_some() {
                let still_out = request.out();
                self.unhold(number);
                if !still_out {
                    self.hold_or_give_up(now, number, out);
                }
            }
        }
    }
}
