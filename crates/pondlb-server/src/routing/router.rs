//! Owns the balancer: turns notes into its events and carries out its actions, request by request.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::mem;
use std::net::SocketAddr;
use std::rc::Rc;

use pondlb::{
    Action, Balancer, ConfigChange, Event, ListUpdate, Load, Outcome, RequestId, Stage, TenthMillis,
    UpstreamId,
};
use pondlb_http::Message;
use tokio::sync::oneshot;

use super::metrics::count;
use super::{AttemptId, AttemptResult, Metrics, OutgoingAttempt, RouterEvent, UpstreamDirectory};
use crate::protocol::answer::Answer;
use crate::protocol::discovery::UpstreamList;

/// Does the work that the decisions ask for.
pub trait Transport {
    /// Kept while an attempt is out; dropping it gives the attempt up and closes its connection.
    type Handle: AttemptHandle;

    fn send_attempt(&mut self, order: OutgoingAttempt) -> Self::Handle;
    /// Asks for an upstream's load; `RouterEvent::ProbeEnded` says what came of it.
    fn probe(&mut self, upstream: UpstreamId, address: SocketAddr);
    fn watch_list(&mut self, on: bool);
    fn fetch_list(&mut self);
    fn close_idle_connections(&mut self, upstream: &str);
}

/// What is kept of an attempt that is out.
pub trait AttemptHandle {
    /// Whether its last byte has been written, so that it may run; until then it can be taken back.
    fn is_written(&self) -> bool;
}

/// A request until its final answer is given and none of its attempts is out.
struct Request {
    message: Rc<Message>,
    /// None once the final answer is given or the client has left.
    answer: Option<oneshot::Sender<Answer>>,
    deadline: TenthMillis,
    /// How many attempts there have been.
    attempts: u32,
    out: u32,
}

struct Out<H> {
    order: TenthMillis,
    upstream: UpstreamId,
    hold: H,
}

/// The ids of the last while, so many at most. They are new with every request: who sends one again has it
/// from somebody else.
#[derive(Default)]
struct Ids {
    taken: HashSet<RequestId>,
    order: VecDeque<(TenthMillis, RequestId)>,
}

const TAKEN_FOR: TenthMillis = 50_000;
const MOST_TAKEN: usize = 8192;

impl Ids {
    /// False when it is taken.
    fn take(&mut self, now: TenthMillis, id: &RequestId) -> bool {
        let old = |(at, _): &(TenthMillis, RequestId)| at + TAKEN_FOR <= now;
        while self.order.front().is_some_and(old) || self.order.len() >= MOST_TAKEN {
            if let Some((_, id)) = self.order.pop_front() {
                self.taken.remove(&id);
            }
        }
        let new = self.taken.insert(id.clone());
        if new {
            self.order.push_back((now, id.clone()));
        }
        new
    }
}

/// Owns the balancer, and the requests and attempts that it has decided on.
pub struct Router<C: Transport> {
    balancer: Balancer,
    directory: UpstreamDirectory,
    carrier: C,
    requests: BTreeMap<RequestId, Request>,
    ids: Ids,
    outs: BTreeMap<AttemptId, Out<C::Handle>>,
    /// Requests that nobody waits for any more, since the last look at what of theirs can be taken back.
    closed: Vec<RequestId>,
    events: Vec<Event>,
    actions: Vec<Action>,
    wake: Option<(TenthMillis, &'static str)>,
    /// When every request must have its answer, whatever its deadline: the program is killed soon after.
    end: Option<TenthMillis>,
    /// How much before its deadline a request must have its answer, for a loop that runs late.
    slack: TenthMillis,
    /// The list of upstreams is not whole before control servers have told it.
    awaits_state: bool,
    metrics: Metrics,
}

impl<C: Transport> Router<C> {
    pub fn new(balancer: Balancer, directory: UpstreamDirectory, carrier: C, slack: TenthMillis) -> Self {
        Router {
            balancer,
            directory,
            carrier,
            requests: BTreeMap::new(),
            ids: Ids::default(),
            outs: BTreeMap::new(),
            closed: Vec::new(),
            events: Vec::new(),
            actions: Vec::new(),
            wake: None,
            end: None,
            slack,
            awaits_state: false,
            metrics: Metrics::default(),
        }
    }

    /// Control servers are followed: nothing is known until their first whole state is in force.
    pub fn await_first_snapshot(&mut self) {
        self.awaits_state = true;
    }

    /// Puts checked changes of the terms in force; requests that are open end under what they came with.
    pub fn apply_config_changes(&mut self, now: TenthMillis, changes: &[ConfigChange]) {
        self.balancer.apply(changes);
        self.decide(now);
    }

    /// The list as it was before the start, and when it was right; none where nobody confirms lists.
    pub fn restore_list(&mut self, now: TenthMillis, known: UpstreamList, current_at: Option<TenthMillis>) {
        let entries = self.directory.apply_list(known);
        self.events.extend(current_at.map(|at| Event::ListConfirmed { at }));
        self.events.push(Event::ListUpdate(ListUpdate::Restored(entries)));
        self.decide(now);
    }

    /// Hands over all that happened until now, and carries out what is decided. At `wake_at` it wants to be
    /// called again, with nothing new.
    pub fn handle_events(&mut self, now: TenthMillis, notes: impl IntoIterator<Item = RouterEvent>) {
        for note in notes {
            self.read(now, note);
        }
        let closed = mem::take(&mut self.closed);
        if !closed.is_empty() {
            self.take_back(now, |id, _| closed.contains(id));
        }
        if self.end.is_some_and(|at| at <= now) {
            let late: Vec<AttemptId> = self.outs.keys().cloned().collect();
            late.into_iter().for_each(|attempt| self.ended(now, attempt, Outcome::TimedOut.into()));
        }
        if let Some((_, token)) = self.wake.take_if(|(at, _)| *at <= now) {
            self.events.push(Event::TimerFired { token: token.into() });
        }
        self.decide(now);
    }

    /// Of these attempts those that are not written yet: one that is still dialling would be written long after, also
    /// where work that has begun may not be cancelled.
    fn take_back(&mut self, now: TenthMillis, which: impl Fn(&RequestId, &UpstreamId) -> bool) {
        let chosen =
            self.outs.iter().filter(|(id, out)| !out.hold.is_written() && which(&id.request, &out.upstream));
        let chosen: Vec<AttemptId> = chosen.map(|(attempt, _)| attempt.clone()).collect();
        chosen.into_iter().for_each(|attempt| self.ended(now, attempt, Outcome::Moot.into()));
    }

    pub fn next_wakeup(&self) -> Option<TenthMillis> {
        let end = self.end.filter(|_| !self.outs.is_empty());
        self.wake.map(|(at, _)| at).into_iter().chain(end).min()
    }

    /// From then on nothing is sent, and what is out is given up, for the decisions to answer.
    pub fn set_shutdown_deadline(&mut self, at: TenthMillis) {
        self.end = Some(at);
        for request in self.requests.values_mut() {
            request.deadline = request.deadline.min(at);
        }
    }

    /// Without any, whatever came would have to be rejected.
    pub fn has_upstreams(&self) -> bool {
        !self.directory.is_empty() && !self.awaits_state
    }

    /// Discovery is at another address from now on.
    pub fn discovery_address_changed(&mut self, now: TenthMillis) {
        self.events.push(Event::DiscoveryAddressChanged);
        self.decide(now);
    }

    /// Whether nothing may be sent since the list has not been confirmed for too long.
    pub fn is_list_stale(&self) -> bool {
        self.balancer.is_list_stale()
    }

    /// Counts since the start.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Requests that are owed an answer.
    pub fn unanswered_count(&self) -> usize {
        self.requests.values().filter(|request| request.answer.is_some()).count()
    }

    fn read(&mut self, now: TenthMillis, note: RouterEvent) {
        match note {
            RouterEvent::RequestArrived { mut arrival, message, answer_sender: answer } => {
                // Two requests of one id would get each other's answers, and a second one's effect is no repeat.
                if self.requests.contains_key(&arrival.request) || !self.ids.take(now, &arrival.request) {
                    let _gone = answer.send(Answer::DuplicateId);
                    return;
                }
                let hint = arrival.cost.unwrap_or_default();
                log::debug!("{} comes: scheme {} cost {hint}", arrival.request, arrival.class);
                arrival.time_left = arrival.time_left.saturating_sub(self.slack);
                if let Some(end) = self.end {
                    arrival.time_left = arrival.time_left.min(end.saturating_sub(now));
                }
                let (message, deadline) = (Rc::new(message), now + arrival.time_left);
                let request = Request { message, answer: Some(answer), deadline, attempts: 0, out: 0 };
                self.requests.insert(arrival.request.clone(), request);
                self.metrics.requests += 1;
                self.events.push(Event::RequestArrived(arrival));
            }
            RouterEvent::ClientDisconnected { request } => {
                if self.close(&request).is_some() {
                    self.metrics.left += 1;
                    self.events.push(Event::ClientDisconnected { request });
                }
            }
            RouterEvent::AttemptEnded { attempt, result: end } => self.ended(now, attempt, end),
            RouterEvent::ProbeEnded { upstream, outcome, duration: took, load } => {
                log::debug!("{upstream} is asked: {outcome:?} after {took}{load}");
                self.events.push(Event::ProbeEnded { upstream, outcome, duration: took, load });
            }
            RouterEvent::ListConfirmed { at } => self.events.push(Event::ListConfirmed { at }),
            RouterEvent::ListReceived(list) => {
                self.metrics.lists += 1;
                self.listed(now, list);
            }
            RouterEvent::UpstreamsChanged {
                upstreams,
                completes_snapshot: completes,
                applied_sender: applied,
            } => {
                if !(upstreams.targets.is_empty() && upstreams.removed.is_empty()) {
                    self.listed(now, upstreams);
                }
                self.awaits_state &= !completes;
                let _ended = applied.send(());
            }
            RouterEvent::ListRefused => {
                self.metrics.calls_refused += 1;
                self.events.push(Event::ListUpdate(ListUpdate::Refused));
            }
            RouterEvent::DiscoveryUnreachable => {
                self.metrics.calls_unreached += 1;
                self.events.push(Event::ListUpdate(ListUpdate::Unreachable));
            }
            RouterEvent::WatchTimedOut => {
                self.metrics.calls_silent += 1;
                self.events.push(Event::ListUpdate(ListUpdate::WatchTimedOut));
            }
        }
    }

    fn listed(&mut self, now: TenthMillis, list: UpstreamList) {
        let whole = list.is_snapshot;
        let entries = self.directory.apply_list(list);
        // Nothing is begun at who is announced as leaving, or is not named any more.
        self.take_back(now, |_, up| {
            let named = entries.iter().find(|entry| entry.upstream == *up);
            named.map_or(whole, |entry| entry.stage != Stage::Live)
        });
        let listing = if whole { ListUpdate::Snapshot } else { ListUpdate::Changes };
        self.events.push(Event::ListUpdate(listing(entries)));
        let (listed, known) = (self.directory.counts(), self.balancer.tracked_counts());
        log::debug!(
            "listed upstreams, other zones, kinds: {listed:?}; upstreams, zones, kinds, txns: {known}"
        );
    }

    /// An attempt given up may have ended at the same moment: only the first of the two ends counts.
    fn ended(&mut self, now: TenthMillis, id: AttemptId, end: AttemptResult) {
        let Some(out) = self.outs.remove(&id) else { return };
        let AttemptId { request: id, number: attempt } = id;
        if let Some(request) = self.requests.get_mut(&id) {
            request.out -= 1;
        }
        let (up, outcome, took, load) = (&out.upstream, end.outcome, now - out.order, end.load);
        log::debug!("{id} {attempt} ends at {up}: {outcome:?} after {took}{load}");
        count(&mut self.metrics.outcomes, outcome);
        if let Some(reply) = end.final_answer {
            self.metrics.served += u64::from(self.give(&id, reply));
        }
        let answered = self.requests.get(&id).is_none_or(|request| request.answer.is_none());
        self.forget(&id);
        self.events.push(Event::AttemptEnded {
            request: id,
            attempt,
            upstream: out.upstream,
            outcome: end.outcome,
            duration: now - out.order,
            answered,
            load: end.load,
        });
    }

    fn decide(&mut self, now: TenthMillis) {
        loop {
            let mut actions = mem::take(&mut self.actions);
            self.balancer.handle(now, self.events.drain(..), &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action);
            }
            self.actions = actions;
            // What a cancellation or an attempt that can't leave brings about is news again.
            if self.events.is_empty() {
                return;
            }
        }
    }

    fn carry_out(&mut self, now: TenthMillis, action: Action) {
        match action {
            Action::Attempt { request, upstream, timeout, send_by: begin_by } => {
                self.attempt(now, request, upstream, timeout, begin_by);
            }
            Action::Cancel { request, attempt } => {
                // Dropping what is kept of it closes its connection.
                self.ended(now, AttemptId { request, number: attempt }, Outcome::Cancelled.into());
            }
            Action::Reject { request, retry_after: cool_down, reason: why } => {
                log::debug!("{request} is rejected: {why:?}");
                count(&mut self.metrics.rejected, why);
                self.give(&request, Answer::Rejected { retry_after: cool_down });
            }
            Action::Fail { request, reason: why } => {
                log::debug!("{request} fails: {why:?}");
                count(&mut self.metrics.failed, why);
                self.give(&request, Answer::Failed);
            }
            Action::WatchList { enabled: on } => self.carrier.watch_list(on),
            Action::FetchList => self.carrier.fetch_list(),
            Action::CloseIdleConnections { upstream } => self.carrier.close_idle_connections(&upstream),
            Action::SetTimer { token, after } => self.wake = Some((now + after, token)),
            Action::Log { text } => log::info!("{text}"),
            Action::Probe { upstream } => match self.directory.address(&upstream) {
                Some(address) => self.carrier.probe(upstream, address),
                None => {
                    let (outcome, load) = (Outcome::Moot, Load::default());
                    self.events.push(Event::ProbeEnded { upstream, outcome, duration: 0, load });
                }
            },
            Action::SendToPeer { .. } => log::warn!("talk with peers is not carried here: {action:?}"),
        }
    }

    fn attempt(
        &mut self,
        now: TenthMillis,
        id: RequestId,
        upstream: UpstreamId,
        timeout: Option<TenthMillis>,
        begin_by: Option<TenthMillis>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts;
        request.attempts += 1;
        let outcome = match self.directory.address(&upstream) {
            // Nothing leaves after the final answer or the deadline, whoever asks for it.
            _ if request.answer.is_none() || now >= request.deadline => Outcome::Moot,
            None => Outcome::ConnectFailed,
            Some(address) => {
                log::debug!("{id} {attempt} is posted to {upstream}");
                request.out += 1;
                self.metrics.attempts += 1;
                let until = timeout.map_or(request.deadline, |span| request.deadline.min(now + span));
                let (message, name) = (request.message.clone(), upstream.clone());
                let id = AttemptId { request: id.clone(), number: attempt };
                let order = OutgoingAttempt {
                    id: id.clone(),
                    upstream: name,
                    address,
                    message,
                    deadline: until,
                    send_by: begin_by,
                };
                let hold = self.carrier.send_attempt(order);
                self.outs.insert(id, Out { order: now, upstream, hold });
                return;
            }
        };
        let (answered, took, load) = (request.answer.is_none(), 0, Load::default());
        self.events.push(Event::AttemptEnded {
            request: id,
            attempt,
            upstream,
            outcome,
            duration: took,
            answered,
            load,
        });
    }

    /// The first answer is final; a client that has left gets none. Whether it was this one.
    fn give(&mut self, id: &RequestId, answer: Answer) -> bool {
        let Some(waiting) = self.close(id) else { return false };
        log::debug!("{id} is answered: {}", answer.log_name());
        waiting.send(answer).is_ok()
    }

    fn close(&mut self, id: &RequestId) -> Option<oneshot::Sender<Answer>> {
        let waiting = self.requests.get_mut(id)?.answer.take();
        if waiting.is_some() {
            self.closed.push(id.clone());
        }
        self.forget(id);
        waiting
    }

    fn forget(&mut self, id: &RequestId) {
        if self.requests.get(id).is_some_and(|request| request.answer.is_none() && request.out == 0) {
            self.requests.remove(id);
        }
    }
}
