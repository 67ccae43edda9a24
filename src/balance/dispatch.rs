//! Which request leaves next, and to which upstream.

use std::cmp::Reverse;

use nanorand::Rng;

use super::{Attempt, Dispatcher, EJECTED, FADE, LONG, PACE_WINDOW, Request, mix};
use crate::{Action, DedupScope, Effect, GiveUpReason, TenthMillis};

/// An attempt is overdue after tp, or after this many times the pooled pace for its cost where that is longer.
const OVERDUE_PACE: f64 = 2.0;
const CROSS: f64 = 0.1;
const CROSS_LEAST: f64 = 0.03;
const ZONE_STEEP: f64 = 3.0;
/// With fewer than one in so many trusted, the others serve too.
const FEW_TRUSTED: usize = 4;
/// Requests of so many mean costs ask two upstreams for their load, who have so long for both to answer or for one.
const ASK_FROM: f64 = 1.0;
const ASKED: u32 = u32::MAX;
const ASKED_BOTH: TenthMillis = 250;
const ASKED_ANY: TenthMillis = 1500;
/// What an upstream told of its load counts as new for so long.
const FRESH: TenthMillis = 1000;
/// A part of the room is kept from a request that others are worth more than: how steeply, and how much at most.
const KEPT_STEEP: i32 = 4;
const MOST_KEPT: f64 = 0.75;
/// Where upstreams may be asked, one has been told enough to have so many out whatever the room.
const LEAST_ROOM: f64 = 3.0;
/// How much of the load that would push a cold upstream over this balancer's part may reach.
const COLD_MARGIN: f64 = 0.35;
/// What a new connection costs there, in mean requests.
const LEAST_ARRIVES: f64 = 0.1;

impl Dispatcher {
    /// One attempt, or one request given up; false when nothing more can leave.
    pub fn release(&mut self, now: TenthMillis, out: &mut Vec<Action>) -> bool {
        self.fleet.note_out(now, 0.0);
        // More than the first, against one that only some upstreams may take keeping all others waiting.
        let heads: Vec<u64> = self.queue.held.iter().take(4).map(|(_, number)| *number).collect();
        for number in heads {
            if let Some(why) = self.hindrance(now, number) {
                // The client had better hear so at once.
                self.stop_waiting(number, why, out);
                return true;
            }
            let request = &self.queue.requests[&number];
            if let Some(up) = self.has_room(request).then(|| self.pick(now, number, out)).flatten() {
                self.unhold(number);
                // Where nobody waits it costs nobody, and late is worth more than never.
                let waits = self.fleet.told(now, up) >= self.fleet.mean_cost();
                if waits && self.is_late(now, &self.queue.requests[&number], up) {
                    self.give_up(number, GiveUpReason::ForeseenLate, out);
                } else {
                    self.attempt(now, number, up, out);
                }
                return true;
            }
        }
        false
    }

    /// Why a held request can't be sent now, and would not be sent later either.
    fn hindrance(&self, now: TenthMillis, number: u64) -> Option<GiveUpReason> {
        if self.fleet.candidates.is_empty() {
            return Some(GiveUpReason::NoUpstream);
        }
        if self.lease.is_over(now, &self.terms) {
            return Some(GiveUpReason::StaleList);
        }
        let is_over = self.queue.requests[&number].begin_by().is_some_and(|by| by <= now + 1);
        is_over.then_some(GiveUpReason::WindowOver)
    }

    /// The last of the room is kept for what is worth more: with little traffic, one at a time is held.
    pub fn has_room(&self, request: &Request) -> bool {
        let least = if self.terms.probing { LEAST_ROOM } else { 0.0 };
        let room = least.max((1.0 - self.kept(request)) * self.fleet.room);
        self.fleet.out_now + 1.0 <= room || self.fleet.out_mean <= room
    }

    /// Whether it is foreseen to be late there, by what is told to be waiting and its own work.
    fn is_late(&self, now: TenthMillis, request: &Request, up: usize) -> bool {
        let left = request.sla_end.saturating_sub(now) as f64 * self.fleet.speed(up);
        self.terms.probing && self.fleet.told(now, up) + request.cost * self.fleet.cores.max(1.0) > left
    }

    /// The part that a request leaves to those that are worth more.
    pub fn kept(&self, request: &Request) -> f64 {
        let value = f64::from_bits(request.rank);
        let most = self.highest_value.max(value);
        (1.0 - value / most.max(f64::MIN_POSITIVE)).powi(KEPT_STEEP).min(MOST_KEPT)
    }

    fn pick(&mut self, now: TenthMillis, number: u64, out: &mut Vec<Action>) -> Option<usize> {
        let chance = self.rng.generate::<u64>();
        let request = &self.queue.requests[&number];
        let cost = request.cost;
        let (mut own, mut other) = self.fleet.candidates.split_at(self.fleet.light);
        if request.heavy && !other.is_empty() {
            (own, other) = (other, own);
        }
        let pinned = match request.effect {
            Effect::Keyed { scope, .. } => request.first().map(|a| (scope, &self.fleet.board[a.up])),
            _ => None,
        };
        let fit = |up: &usize, careful: bool| {
            let s = &self.fleet.board[*up];
            let in_group = pinned.is_none_or(|(scope, first)| match scope {
                DedupScope::All => true,
                DedupScope::Zone => first.entry.zone == s.entry.zone,
                DedupScope::Cell => first.entry.cell == s.entry.cell,
            });
            in_group
                && f64::from(s.in_flight) < s.cap
                && !request.attempts.iter().any(|a| a.up == *up && (a.out || careful))
                && self.cold_room(now, *up, self.arrives(request.cost))
        };
        let trusted = |up: &usize, any_zone: bool| {
            let s = &self.fleet.board[*up];
            let zone = self.fleet.zones.get(&s.entry.zone).filter(|_| !any_zone);
            let outlier_score = zone.map_or(0.0, |zone| zone.outlier_score.at(now, FADE));
            outlier_score.max(s.outlier_score.at(now, FADE)) < EJECTED
        };
        let mut fitting: Vec<usize> = Vec::new();
        for any_zone in [false, true] {
            for group in [own, other] {
                if fitting.is_empty() {
                    fitting.extend(group.iter().copied().filter(|up| trusted(up, any_zone) && fit(up, true)));
                }
            }
            let count = self.fleet.candidates.iter().filter(|up| trusted(up, any_zone)).count();
            if fitting.is_empty() && FEW_TRUSTED * count >= self.fleet.candidates.len() {
                return None;
            }
        }
        if fitting.is_empty() {
            // Nearly all look bad: the fault may be ours, and traffic still has to flow.
            fitting.extend(self.fleet.candidates.iter().copied().filter(|up| fit(up, false)));
        }
        let timely: Vec<_> = fitting.iter().copied().filter(|up| !self.is_late(now, request, *up)).collect();
        let two = self.two(now, request, if timely.is_empty() { &fitting } else { &timely }, chance);
        if !self.terms.probing || cost < ASK_FROM * self.fleet.mean_cost() {
            return self.least(now, &two, cost);
        }
        let request = self.queue.requests.get_mut(&number)?;
        if request.asked.1.is_empty() {
            for &up in two.iter().filter(|up| self.fleet.board[**up].reported_at + FRESH <= now) {
                out.push(Action::Probe { upstream: self.fleet.board[up].entry.upstream.clone() });
            }
            request.asked = (now, two.clone());
            let waits = [ASKED_BOTH, ASKED_ANY].map(|wait| Reverse((now + wait, number, Some(ASKED))));
            self.queue.alarms.extend(waits);
        }
        // Some wait like a request before they answer: who answers first has the shortest queue.
        let (since, asked) = (now - request.asked.0, &request.asked.1);
        let heard = |up: &&usize| self.fleet.board[**up].reported_at + FRESH > request.asked.0;
        let told: Vec<usize> = asked.iter().filter(heard).copied().collect();
        if told.len() < asked.len() && since < if told.is_empty() { ASKED_ANY } else { ASKED_BOTH } {
            return None;
        }
        let told: Vec<usize> = told.into_iter().filter(|up| fitting.contains(up)).collect();
        self.least(now, if told.is_empty() { &two } else { &told }, cost)
    }

    fn least(&self, now: TenthMillis, ups: &[usize], cost: f64) -> Option<usize> {
        ups.iter().copied().min_by(|a, b| self.load(now, *a, cost).total_cmp(&self.load(now, *b, cost)))
    }

    /// The two between which load decides, drawn by speed so that slow ones get less; a key draws alike everywhere.
    fn two(&self, now: TenthMillis, request: &Request, fitting: &[usize], chance: u64) -> Vec<usize> {
        let key = request.key.filter(|_| self.terms.warm_keys);
        // Twice its time is not left: two drawn at random may both be too slow for it.
        let tight =
            OVERDUE_PACE * self.fleet.pace.mean() * request.cost > request.sla_end.saturating_sub(now) as f64;
        // Crossing is for when the own zone is worse: the others get more as it answers more slowly.
        let pace = |zone: u32| self.fleet.slower(self.fleet.zones.get(&zone).map(|zone| &zone.pace));
        let rank = |up: usize| {
            let s = &self.fleet.board[up];
            let drawn = mix(key.unwrap_or(chance) ^ s.order) as f64 / u64::MAX as f64;
            let near = key.is_some() || s.entry.zone == self.terms.own_zone;
            let slower = pace(self.terms.own_zone) - pace(s.entry.zone);
            let away = (CROSS * (ZONE_STEEP * slower).exp()).clamp(CROSS_LEAST, 1.0);
            let weight = self.fleet.speed(up) * if near { 1.0 } else { away };
            let by_chance = -drawn.max(f64::MIN_POSITIVE).ln() / weight;
            if key.is_none() && tight { self.load(now, up, request.cost) } else { by_chance }
        };
        let mut two: Vec<(f64, usize)> = fitting.iter().map(|up| (rank(*up), *up)).collect();
        two.sort_by(|a, b| a.0.total_cmp(&b.0));
        two.into_iter().map(|(_, up)| up).take(2).collect()
    }

    /// What is in flight counts by its cost: a very heavy request has time enough only where work gets done fast.
    fn load(&self, now: TenthMillis, up: usize, cost: f64) -> f64 {
        let s = &self.fleet.board[up];
        let away = if s.entry.zone == self.terms.own_zone { 0.0 } else { 1.0 };
        let there = s.cost_out.max(self.fleet.told(now, up));
        let work = there + cost * self.fleet.cores.max(1.0) + away * self.fleet.mean_cost();
        work / self.fleet.speed(up) * (1.0 + s.outlier_score.at(now, FADE))
    }

    /// A cold upstream gets its part of what warm ones bear (served cost by size) in each window. What is less
    /// than a request is granted by chance: one from each of many balancers would be hundreds in sum.
    fn cold_room(&self, now: TenthMillis, up: usize, cost: f64) -> bool {
        let (cold, s) = (&self.terms.cold_start, &self.fleet.board[up]);
        let Some(age) = s.cold_age(now, &self.terms) else { return true };
        // Of a fleet that is mostly cold, what its listed speed could bear would be taken for far too little.
        let present = |up: &usize| self.fleet.board[*up].present(now, &self.terms) * self.fleet.speed(*up);
        let flow = self.fleet.flow.at(now, LONG) / self.fleet.candidates.iter().map(present).sum::<f64>();
        let budget =
            COLD_MARGIN * cold.collapse_load_factor * flow * present(&up) * cold.collapse_window as f64;
        let drawn = mix(mix(s.order ^ u64::from(self.terms.own_index)) ^ (age / cold.collapse_window.max(1)))
            as f64
            / u64::MAX as f64;
        s.cold_work.at(now, cold.collapse_window.max(1)) + cost <= budget + drawn * cost
    }

    /// What an attempt costs a cold upstream: a new connection too, and light ones are heavier than they look.
    fn arrives(&self, cost: f64) -> f64 {
        cost + LEAST_ARRIVES * self.fleet.mean_cost()
    }

    fn attempt(&mut self, now: TenthMillis, number: u64, up: usize, out: &mut Vec<Action>) {
        let Some(request) = self.queue.requests.get_mut(&number) else { return };
        let ((_, slot), window) = (self.estimate.plan(now, request.sla_end), request.begin_by());
        let begin_by = window.into_iter().chain(self.lease.end(&self.terms)).min();
        let (cost, sla_end) = (request.cost, request.sla_end);
        let attempt = request.attempts.len() as u32;
        if attempt == 0 {
            self.estimate.wait += ((now - request.arrived) as f64 - self.estimate.wait) / PACE_WINDOW;
        } else if request.out() {
            self.extra -= 1.0;
        }
        // Neither a heavy request nor a long way is a sign of trouble: its repeat would be the dearest waste.
        let way = self.fleet.zones.get(&self.fleet.board[up].entry.zone).map_or(0.0, |zone| zone.pace.least);
        let due = self.estimate.tp.max((OVERDUE_PACE * self.fleet.pace.mean() * (cost + way)) as TenthMillis);
        // Where two may not be out together, the first ends at tp to make room for the next.
        let last = attempt + 1 >= request.limits.max_attempts;
        let alone = request.effect == Effect::Idempotent && !request.limits.hedging;
        let timeout = (alone && !last && slot).then_some(due);
        request.asked.1.clear();
        request.attempts.push(Attempt { up, sent: now, out: true, may_have_run: false });
        let upstream = self.fleet.board[up].entry.upstream.clone();
        out.push(Action::Attempt { request: request.id.clone(), upstream, timeout, send_by: begin_by });
        let arrives = self.arrives(cost);
        self.fleet.board[up].sent(now, cost, arrives, &self.terms);
        self.queue.alarms.push(Reverse((now + due, number, Some(attempt))));
        self.fleet.note_out(now, 1.0);
        if attempt == 0 && !slot && now < sla_end {
            self.hedge(now, number);
        }
    }
}
