//! The router: owns the balancer, passes events to it and executes its actions, request by request.

use std::collections::BTreeMap;
use std::mem;
use std::rc::Rc;

use pondlb::{
    Action, Arrival, Balancer, ConfigChange, Effect, Event, GiveUpReason, ListUpdate, Load, Outcome,
    RequestId, TenthMillis, UpstreamId,
};
use pondlb_http::Message;
use tokio::sync::oneshot;

use super::directory::Location;
use super::labels::{give_up_reason_label, outcome_label};
use super::metrics::increment;
use super::request_ids::Repeatability;
use super::{
    AttemptHandle, AttemptId, AttemptResult, ExchangeId, Metrics, OutgoingAttempt, RequestIds, RouterEvent,
    Transport, UpstreamDirectory,
};
use crate::protocol::answer::Answer;
use crate::protocol::discovery::UpstreamList;

/// A request from its arrival until its final answer is given and none of its attempts is open.
struct Request {
    exchange: ExchangeId,
    message: Rc<Message>,
    /// None once the final answer is given or the client has disconnected.
    answer_sender: Option<oneshot::Sender<Answer>>,
    deadline: TenthMillis,
    /// Attempts started so far.
    attempt_count: u32,
    open_attempts: u32,
    /// The effect of its class when it arrived.
    effect: Effect,
    /// Whether any ended attempt may have taken effect.
    may_have_run: bool,
}

impl Request {
    fn is_answered(&self) -> bool {
        self.answer_sender.is_none()
    }

    /// Whether a request with the same id may run, now that this one has ended.
    fn repeatability(&self) -> Repeatability {
        match self.may_have_run && self.effect != Effect::Idempotent {
            true => Repeatability::Harmful,
            false => Repeatability::Harmless,
        }
    }
}

/// An attempt from its start until its result is known.
struct OpenAttempt<H> {
    started_at: TenthMillis,
    upstream: UpstreamId,
    /// Where the upstream was when the attempt was sent.
    location: Location,
    handle: H,
}

/// The timer that the balancer has set.
struct Timer {
    fires_at: TenthMillis,
    token: &'static str,
}

/// Owns the balancer, and the requests and attempts that it has decided on.
pub struct Router<T: Transport> {
    balancer: Balancer,
    directory: UpstreamDirectory,
    transport: T,
    requests: BTreeMap<RequestId, Request>,
    /// The ids of requests that have ended.
    request_ids: RequestIds,
    /// Whether the last request of a class that may not be repeated was rejected for want of room in `request_ids`.
    lacks_room_for_ids: bool,
    open_attempts: BTreeMap<AttemptId, OpenAttempt<T::Handle>>,
    /// Requests that were answered, or whose client disconnected, since their unwritten attempts were last withdrawn.
    closed_exchanges: Vec<ExchangeId>,
    /// Events for the balancer's next turn.
    events: Vec<Event>,
    /// Buffer for the balancer's actions, kept for its capacity.
    actions: Vec<Action>,
    timer: Option<Timer>,
    /// By when every request must have its answer, whatever its deadline; the process is killed soon after.
    shutdown_deadline: Option<TenthMillis>,
    /// How much before its deadline a request must have its answer, since the main loop may run late.
    deadline_margin: TenthMillis,
    /// The list of upstreams is incomplete until the first snapshot of the control servers is applied.
    awaits_first_snapshot: bool,
    metrics: Metrics,
}

impl<T: Transport> Router<T> {
    /// Creates a router without upstreams. Each request must have its answer `deadline_margin` before its deadline.
    /// `request_ids` remembers the ids of its requests.
    pub fn new(
        balancer: Balancer,
        directory: UpstreamDirectory,
        transport: T,
        request_ids: RequestIds,
        deadline_margin: TenthMillis,
    ) -> Self {
        Router {
            balancer,
            directory,
            transport,
            requests: BTreeMap::new(),
            request_ids,
            lacks_room_for_ids: false,
            open_attempts: BTreeMap::new(),
            closed_exchanges: Vec::new(),
            events: Vec::new(),
            actions: Vec::new(),
            timer: None,
            shutdown_deadline: None,
            deadline_margin,
            awaits_first_snapshot: false,
            metrics: Metrics::default(),
        }
    }

    /// Treats the list of upstreams as incomplete until the first snapshot of the control servers is applied.
    pub fn await_first_snapshot(&mut self) {
        self.awaits_first_snapshot = true;
    }

    /// Applies validated changes of the configuration. Open requests are finished under the configuration with
    /// which they arrived.
    pub fn apply_config_changes(&mut self, now: TenthMillis, changes: &[ConfigChange]) {
        self.balancer.apply(changes);
        self.run_balancer(now);
    }

    /// Restores the initial list of upstreams, which was stored before the start, and the time at which it was last
    /// confirmed. There is no such time with control servers, which don't confirm lists.
    pub fn restore_list(
        &mut self,
        now: TenthMillis,
        initial_list: UpstreamList,
        confirmed_at: Option<TenthMillis>,
    ) {
        let entries = self.directory.apply_list(initial_list);
        self.events.extend(confirmed_at.map(|at| Event::ListConfirmed { at }));
        self.events.push(Event::ListUpdate(ListUpdate::Restored(entries)));
        self.run_balancer(now);
    }

    /// Handles events and whatever is due by now, and executes the balancer's actions. Must be called again at
    /// [`next_wakeup`](Self::next_wakeup), if only without events.
    pub fn handle_events(&mut self, now: TenthMillis, events: impl IntoIterator<Item = RouterEvent>) {
        for event in events {
            self.handle_event(now, event);
        }
        let closed = mem::take(&mut self.closed_exchanges);
        if !closed.is_empty() {
            self.withdraw_unwritten(now, |_, id, _| closed.contains(&id.exchange));
        }
        if self.shutdown_deadline.is_some_and(|at| at <= now) {
            let overdue: Vec<AttemptId> = self.open_attempts.keys().cloned().collect();
            overdue.into_iter().for_each(|id| self.end_attempt(now, id, Outcome::TimedOut.into()));
        }
        if let Some(Timer { token, .. }) = self.timer.take_if(|timer| timer.fires_at <= now) {
            self.events.push(Event::TimerFired { token: token.into() });
        }
        self.run_balancer(now);
    }

    /// When [`handle_events`](Self::handle_events) must be called next, at the latest.
    pub fn next_wakeup(&self) -> Option<TenthMillis> {
        let shutdown = self.shutdown_deadline.filter(|_| !self.open_attempts.is_empty());
        self.timer.as_ref().map(|timer| timer.fires_at).into_iter().chain(shutdown).min()
    }

    /// Sets the time by which every request must have its answer. From then on nothing is sent, and open attempts time
    /// out, so that the balancer answers their requests.
    pub fn set_shutdown_deadline(&mut self, at: TenthMillis) {
        self.shutdown_deadline = Some(at);
        for request in self.requests.values_mut() {
            request.deadline = request.deadline.min(at);
        }
    }

    /// Whether any upstream is known and the list is complete; otherwise requests would have to be rejected.
    pub fn has_upstreams(&self) -> bool {
        !self.directory.is_empty() && !self.awaits_first_snapshot
    }

    /// Tells the balancer that discovery has another address from now on.
    pub fn discovery_address_changed(&mut self, now: TenthMillis) {
        self.events.push(Event::DiscoveryAddressChanged);
        self.run_balancer(now);
    }

    /// Whether nothing may be sent because the list of upstreams has not been confirmed for too long.
    pub fn is_list_stale(&self) -> bool {
        self.balancer.is_list_stale()
    }

    /// Counters since the start.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The number of requests whose clients still wait for their answer.
    pub fn unanswered_count(&self) -> usize {
        self.requests.values().filter(|request| !request.is_answered()).count()
    }

    fn handle_event(&mut self, now: TenthMillis, event: RouterEvent) {
        match event {
            RouterEvent::RequestArrived { exchange, arrival, message, answer_sender } => {
                self.accept_request(now, exchange, arrival, message, answer_sender);
            }
            RouterEvent::ClientDisconnected { exchange, request } => {
                self.handle_disconnect(now, exchange, request);
            }
            RouterEvent::AttemptEnded { attempt, result } => self.end_attempt(now, attempt, result),
            RouterEvent::ProbeEnded { upstream, outcome, duration, load } => {
                log::debug!("{upstream} is probed: {} after {duration}{load}", outcome_label(outcome));
                self.events.push(Event::ProbeEnded { upstream, outcome, duration, load });
            }
            RouterEvent::ListConfirmed { at } => self.events.push(Event::ListConfirmed { at }),
            RouterEvent::ListReceived(list) => {
                self.metrics.lists += 1;
                self.apply_list(now, list);
            }
            RouterEvent::UpstreamsChanged { upstreams, completes_snapshot, applied_sender } => {
                if !(upstreams.targets.is_empty() && upstreams.removed.is_empty()) {
                    self.apply_list(now, upstreams);
                }
                self.awaits_first_snapshot &= !completes_snapshot;
                // The receiver is gone where its task has ended.
                let _ = applied_sender.send(());
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

    fn accept_request(
        &mut self,
        now: TenthMillis,
        exchange: ExchangeId,
        mut arrival: Arrival,
        message: Message,
        answer_sender: oneshot::Sender<Answer>,
    ) {
        // Two open requests with one id would get each other's answers. The effect of a second one would not be
        // recognized as a repetition of the first one's.
        if self.requests.contains_key(&arrival.request) || self.request_ids.is_copy(now, &arrival.request) {
            log::debug!("{} is refused: its id is that of another request", arrival.request);
            // The receiver is gone where the client has disconnected.
            let _ = answer_sender.send(Answer::DuplicateId);
            return;
        }
        self.metrics.requests += 1;
        let effect = self.balancer.effect(arrival.class);
        if effect != Effect::Idempotent && !self.has_room_for_id(now) {
            log::debug!("{} is rejected: its id could not be remembered", arrival.request);
            increment(&mut self.metrics.rejected, GiveUpReason::Overload);
            let _ = answer_sender.send(Answer::Rejected { retry_after: None });
            return;
        }
        let cost = arrival.cost.unwrap_or_default();
        log::debug!("{} arrives: scheme {} cost {cost}", arrival.request, arrival.class);
        arrival.time_left = arrival.time_left.saturating_sub(self.deadline_margin);
        if let Some(shutdown) = self.shutdown_deadline {
            arrival.time_left = arrival.time_left.min(shutdown.saturating_sub(now));
        }
        let request = Request {
            exchange,
            message: Rc::new(message),
            answer_sender: Some(answer_sender),
            deadline: now + arrival.time_left,
            attempt_count: 0,
            open_attempts: 0,
            effect,
            may_have_run: false,
        };
        self.requests.insert(arrival.request.clone(), request);
        self.events.push(Event::RequestArrived(arrival));
    }

    /// Whether the id of one more request that may not be repeated can be remembered.
    fn has_room_for_id(&mut self, now: TenthMillis) -> bool {
        let has_room = self.request_ids.has_room(now, self.requests.len());
        if !has_room && !self.lacks_room_for_ids {
            log::warn!(
                "as many ids are remembered as the memory allows: requests that may not be repeated are rejected"
            );
        }
        self.lacks_room_for_ids = !has_room;
        has_room
    }

    /// Closes the request of a client that has disconnected. The client may have sent the id of another client's open
    /// request, which stays open.
    fn handle_disconnect(&mut self, now: TenthMillis, exchange: ExchangeId, request: RequestId) {
        log::debug!("client of {request} disconnects");
        if self.requests.get(&request).is_none_or(|open| open.exchange != exchange) {
            return;
        }
        if self.close_request(now, &request).is_some() {
            self.metrics.left += 1;
            self.events.push(Event::ClientDisconnected { request });
        }
    }

    fn apply_list(&mut self, now: TenthMillis, list: UpstreamList) {
        let is_snapshot = list.is_snapshot;
        let entries = self.directory.apply_list(list);
        for upstream in self.directory.take_relocated() {
            // They lead to the process that was there before.
            self.transport.close_idle_connections(&upstream);
        }
        // Nothing is started any more at an upstream that is draining, gone, elsewhere or another process.
        self.withdraw_unwritten(now, |directory, _, attempt| {
            !directory.is_live_at(&attempt.upstream, attempt.location)
        });
        let update = if is_snapshot { ListUpdate::Snapshot } else { ListUpdate::Changes };
        self.events.push(Event::ListUpdate(update(entries)));
        log::debug!(
            "listed upstreams, other zones, kinds: {}; upstreams, zones, kinds, txns: {}",
            self.directory.counts(),
            self.balancer.tracked_counts()
        );
    }

    /// Ends those of the chosen attempts that have not been written yet. One that is still connecting might be written
    /// long after the reason for it is gone. Since it has not run, it is withdrawn even where attempts that have begun
    /// may not be cancelled.
    fn withdraw_unwritten(
        &mut self,
        now: TenthMillis,
        is_chosen: impl Fn(&UpstreamDirectory, &AttemptId, &OpenAttempt<T::Handle>) -> bool,
    ) {
        let chosen: Vec<AttemptId> = (self.open_attempts.iter())
            .filter(|(id, attempt)| !attempt.handle.is_written() && is_chosen(&self.directory, id, attempt))
            .map(|(id, _)| id.clone())
            .collect();
        chosen.into_iter().for_each(|id| self.end_attempt(now, id, Outcome::Moot.into()));
    }

    /// Ends an attempt and closes its connection. An attempt that is cancelled may have ended at the same moment; only
    /// the first of the two ends counts.
    fn end_attempt(&mut self, now: TenthMillis, id: AttemptId, result: AttemptResult) {
        let Some(OpenAttempt { started_at, upstream, handle, .. }) = self.open_attempts.remove(&id) else {
            return;
        };
        let AttemptResult { outcome, final_answer, load } = result;
        if let Some(request) = self.requests.get_mut(&id.request) {
            request.open_attempts -= 1;
            request.may_have_run |= !outcome.never_ran();
        }
        let duration = now - started_at;
        log::debug!("{id} ends at {upstream}: {} after {duration}{load}", outcome_label(outcome));
        increment(&mut self.metrics.outcomes, outcome);
        if let Some(answer) = final_answer {
            self.metrics.served += u64::from(self.answer_request(now, &id.request, answer));
        }
        let answered = self.requests.get(&id.request).is_none_or(Request::is_answered);
        self.remove_if_done(now, &id.request);
        self.events.push(Event::AttemptEnded {
            request: id.request,
            attempt: id.number,
            upstream,
            outcome,
            duration,
            answered,
            load,
        });
        drop(handle);
    }

    /// Cancels an attempt of an open request.
    fn cancel_attempt(&mut self, now: TenthMillis, request: RequestId, number: u32) {
        let Some(&Request { exchange, .. }) = self.requests.get(&request) else { return };
        self.end_attempt(now, AttemptId { exchange, request, number }, Outcome::Cancelled.into());
    }

    /// Passes the events to the balancer and executes its actions until there are no events left.
    fn run_balancer(&mut self, now: TenthMillis) {
        loop {
            let mut actions = mem::take(&mut self.actions);
            self.balancer.handle(now, self.events.drain(..), &mut actions);
            for action in actions.drain(..) {
                self.execute(now, action);
            }
            self.actions = actions;
            // Actions can cause events: a cancelled attempt ends, and one that can't be sent ends at once.
            if self.events.is_empty() {
                return;
            }
        }
    }

    fn execute(&mut self, now: TenthMillis, action: Action) {
        match action {
            Action::Attempt { request, upstream, timeout, start_before } => {
                self.start_attempt(now, request, upstream, timeout, start_before);
            }
            Action::Cancel { request, attempt } => {
                self.cancel_attempt(now, request, attempt);
            }
            Action::Reject { request, retry_after, reason } => {
                log::debug!("{request} is rejected: {}", give_up_reason_label(reason));
                increment(&mut self.metrics.rejected, reason);
                self.answer_request(now, &request, Answer::Rejected { retry_after });
            }
            Action::Fail { request, reason } => {
                log::debug!("{request} fails: {}", give_up_reason_label(reason));
                increment(&mut self.metrics.failed, reason);
                self.answer_request(now, &request, Answer::Failed);
            }
            Action::WatchList { enabled } => self.transport.watch_list(enabled),
            Action::FetchList => self.transport.fetch_list(),
            Action::CloseIdleConnections { upstream } => self.transport.close_idle_connections(&upstream),
            Action::SetTimer { token, after } => self.timer = Some(Timer { fires_at: now + after, token }),
            Action::Log { text } => log::info!("{text}"),
            Action::Probe { upstream } => match self.directory.location(&upstream) {
                Some(Location { address, .. }) => self.transport.probe(upstream, address),
                None => {
                    let (outcome, load) = (Outcome::Moot, Load::default());
                    self.events.push(Event::ProbeEnded { upstream, outcome, duration: 0, load });
                }
            },
            Action::SendToPeer { .. } => log::warn!("messages to peers are not supported: {action:?}"),
        }
    }

    fn start_attempt(
        &mut self,
        now: TenthMillis,
        id: RequestId,
        upstream: UpstreamId,
        timeout: Option<TenthMillis>,
        start_before: Option<TenthMillis>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = AttemptId { exchange: request.exchange, request: id, number: request.attempt_count };
        request.attempt_count += 1;
        let outcome = match self.directory.location(&upstream) {
            // Nothing is sent after the final answer or the deadline, even if the balancer asks for it.
            _ if request.is_answered() || now >= request.deadline => Outcome::Moot,
            None => Outcome::ConnectFailed,
            Some(location) => {
                log::debug!("{attempt} is posted to {upstream}");
                request.open_attempts += 1;
                self.metrics.attempts += 1;
                let deadline =
                    timeout.map_or(request.deadline, |timeout| request.deadline.min(now + timeout));
                let handle = self.transport.send_attempt(OutgoingAttempt {
                    id: attempt.clone(),
                    upstream: upstream.clone(),
                    address: location.address,
                    message: request.message.clone(),
                    deadline,
                    start_before,
                });
                let open = OpenAttempt { started_at: now, upstream, location, handle };
                self.open_attempts.insert(attempt, open);
                return;
            }
        };
        self.events.push(Event::AttemptEnded {
            request: attempt.request,
            attempt: attempt.number,
            upstream,
            outcome,
            duration: 0,
            answered: request.is_answered(),
            load: Load::default(),
        });
    }

    /// Gives a request its final answer. Returns whether the client has got it: a request that is answered already or
    /// whose client has disconnected gets none.
    fn answer_request(&mut self, now: TenthMillis, id: &RequestId, answer: Answer) -> bool {
        let Some(answer_sender) = self.close_request(now, id) else { return false };
        log::debug!("{id} is answered: {}", answer.log_name());
        answer_sender.send(answer).is_ok()
    }

    /// Marks a request as answered. Returns the sender for its answer if it was not answered before.
    fn close_request(&mut self, now: TenthMillis, id: &RequestId) -> Option<oneshot::Sender<Answer>> {
        let request = self.requests.get_mut(id)?;
        let answer_sender = request.answer_sender.take();
        if answer_sender.is_some() {
            self.closed_exchanges.push(request.exchange);
        }
        self.remove_if_done(now, id);
        answer_sender
    }

    /// Removes a request that is answered and has no open attempts, and remembers its id.
    fn remove_if_done(&mut self, now: TenthMillis, id: &RequestId) {
        let is_done = |request: &Request| request.is_answered() && request.open_attempts == 0;
        if !self.requests.get(id).is_some_and(is_done) {
            return;
        }
        if let Some(request) = self.requests.remove(id) {
            self.request_ids.insert(now, id, request.repeatability());
        }
    }
}
