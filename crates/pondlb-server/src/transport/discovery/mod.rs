//! Follows discovery's list of upstreams: fetches it, watches it and sends the router events for both.

mod call;
mod confirmation;
mod error;
mod overdue;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use call::{Call, ChangesSince, ReceivedList, connect, exchange};
use confirmation::ListConfirmation;
use error::{CallError, ErrorLog};
use overdue::{EndedCall, OverdueCalls};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};

use super::backoff::Backoff;
use super::clock::Clock;
use super::stream::{ReceiveState, receive_state};
use crate::protocol::discovery::UpstreamList;
use crate::routing::RouterEvent;

/// A command to the discovery client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryCommand {
    /// Starts or stops watching the list.
    WatchList { enabled: bool },
    /// Fetches the whole list once.
    FetchList,
    /// Calls discovery at another address from now on.
    ChangeAddress(SocketAddr),
}

/// The shortest time between the calls of a watch while responses bring no changes. It is well under the time after
/// which discovery considers a watch lapsed.
const MIN_WATCH_CALL_INTERVAL: Duration = Duration::from_millis(50);
/// How long connecting may take. The kernel repeats a lost handshake only after a second; giving up sooner reaches a
/// discovery agent that has restarted without that delay.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// When a kept connection breaks within this time after the call, discovery closed it before the call arrived.
const CLOSED_BEFORE_CALL: Duration = Duration::from_millis(100);

/// How long calls may take. A call that times out is replaced by another, but stays open: see [`OverdueCalls`].
#[derive(Clone, Copy, Debug)]
pub struct CallTimeouts {
    /// How long discovery may hold the first call of a watch. It is short, so that the response soon shows that the
    /// watch works.
    pub first_hold: Duration,
    /// How long discovery may hold the other calls of a watch. A change that a watch misses because it gets no response
    /// counts as announced six seconds later, and part of these must be left for the call that replaces the one that
    /// timed out.
    pub hold: Duration,
    /// How much longer than its hold a call of a watch may take before it times out.
    pub response_margin: Duration,
    /// How much longer than its hold a first call or a fetch may take. Discovery queues such calls of all balancers,
    /// and rejects those that would wait for more than two seconds.
    pub queue_margin: Duration,
    /// How much longer than its hold a call must be unanswered until it counts as a sign that discovery responds to no
    /// balancer. A discovery that works answers a call or turns it away sooner.
    pub min_silence: Duration,
}

impl CallTimeouts {
    /// The timeouts in production.
    pub fn new() -> Self {
        let [first_hold, hold, response_margin, queue_margin, min_silence] =
            [100, 1000, 300, 2200, 3400].map(Duration::from_millis);
        CallTimeouts { first_hold, hold, response_margin, queue_margin, min_silence }
    }
}

/// How long a list may be, and when discovery is called again after a longer one.
pub struct ListLimit {
    /// In bytes, as sent.
    pub max_bytes: usize,
    pub backoff: Backoff,
}

/// Calls discovery as the balancer commands, and reports lists and failures to the router.
///
/// The balancer chooses when to retry after a failure, except after a list that is too long: it is unlikely to become
/// shorter soon and costly for both ends, so it is requested again with backoff here.
pub async fn follow_discovery(
    address: SocketAddr,
    version: u64,
    timeouts: CallTimeouts,
    limit: ListLimit,
    clock: Clock,
    mut commands: mpsc::UnboundedReceiver<DiscoveryCommand>,
    router_tx: mpsc::UnboundedSender<RouterEvent>,
) {
    let mut client = DiscoveryClient {
        address,
        kept_connection: None,
        max_list_bytes: limit.max_bytes,
        version: Some(version),
        timeouts,
        backoff: limit.backoff,
        clock,
        router_tx,
        overdue_calls: OverdueCalls::default(),
        confirmation: ListConfirmation::new(timeouts.min_silence),
        error_log: ErrorLog::default(),
        calls: 0,
    };
    let mut next = commands.recv().await;
    while let Some(command) = next {
        next = tokio::select! {
            () = client.execute(command) => client.meanwhile(commands.recv()).await,
            next = next_interrupting(&mut commands) => next,
        };
    }
}

/// Returns the next command that interrupts the one being executed. Other commands are dropped: the call under way
/// answers them.
async fn next_interrupting(
    commands: &mut mpsc::UnboundedReceiver<DiscoveryCommand>,
) -> Option<DiscoveryCommand> {
    loop {
        let command = commands.recv().await?;
        if matches!(
            command,
            DiscoveryCommand::WatchList { enabled: false } | DiscoveryCommand::ChangeAddress(_)
        ) {
            return Some(command);
        }
    }
}

struct DiscoveryClient {
    address: SocketAddr,
    /// The connection of the last call, for the next one.
    kept_connection: Option<TcpStream>,
    /// The longest list that is accepted, in bytes as sent.
    max_list_bytes: usize,
    /// The newest known version of the list; `None` makes the next call of a watch ask for the whole list.
    version: Option<u64>,
    timeouts: CallTimeouts,
    /// For lists that are too long.
    backoff: Backoff,
    clock: Clock,
    router_tx: mpsc::UnboundedSender<RouterEvent>,
    overdue_calls: OverdueCalls,
    confirmation: ListConfirmation,
    error_log: ErrorLog,
    /// Calls made so far; numbers them in the log.
    calls: u64,
}

/// The result of a call, and the time up to which it confirms the list.
struct CallResult {
    result: Result<UpstreamList, CallError>,
    confirmed_at: Option<Instant>,
}

impl DiscoveryClient {
    async fn execute(&mut self, command: DiscoveryCommand) {
        match command {
            DiscoveryCommand::WatchList { enabled: true } => self.watch().await,
            DiscoveryCommand::WatchList { enabled: false } => self.close_connections(),
            DiscoveryCommand::FetchList => {
                let result = self.call_with_backoff(None).await;
                self.report(result);
            }
            // Calls at once, and asks for the whole list: the versions at the two addresses may be unrelated, and
            // what the old address has not sent by now will never come.
            DiscoveryCommand::ChangeAddress(address) => {
                self.close_connections();
                self.confirmation.reset();
                (self.address, self.version) = (address, None);
                self.backoff.reset();
                self.watch().await;
            }
        }
    }

    fn close_connections(&mut self) {
        self.kept_connection = None;
        self.overdue_calls.clear();
    }

    /// Calls again after each response, so that the watch never lapses, until a call fails.
    async fn watch(&mut self) {
        let mut hold = self.timeouts.first_hold;
        loop {
            let (start, known_version) = (Instant::now(), self.version);
            let since = known_version.map(|version| ChangesSince { version, hold });
            let result = self.call_with_backoff(since).await;
            if !self.report(result) {
                return;
            }
            let has_changes = self.version != known_version;
            // Keeps a discovery that responds without holding the call from being called in a tight loop.
            if !has_changes && start.elapsed() < MIN_WATCH_CALL_INTERVAL {
                self.meanwhile(sleep(MIN_WATCH_CALL_INTERVAL)).await;
            }
            // The call after a whole list is the first of a watch, and is queued with the first calls of others.
            hold = if known_version.is_some() { self.timeouts.hold } else { self.timeouts.first_hold };
        }
    }

    /// Reports a call to the router. Returns false when the call failed or the program ends.
    fn report(&mut self, call: CallResult) -> bool {
        let (event, is_list) = match call.result {
            // An overdue call was answered with a newer list meanwhile.
            Ok(list) if self.version.is_some_and(|known| list.version < known) => (None, true),
            Ok(list) => {
                self.version = Some(list.version);
                self.error_log.reset();
                (Some(RouterEvent::ListReceived(list)), true)
            }
            Err(error) => {
                self.error_log.log(&error);
                (Some(error.to_router_event()), false)
            }
        };
        self.send(event, call.confirmed_at) && is_list
    }

    /// Like [`Self::call`], but repeats the call with backoff while the list is too long.
    async fn call_with_backoff(&mut self, mut since: Option<ChangesSince>) -> CallResult {
        loop {
            let call = self.call(since).await;
            match &call.result {
                Err(error @ CallError::ListTooLong { .. }) => self.error_log.log(error),
                Ok(_) => {
                    self.backoff.reset();
                    return call;
                }
                Err(_) => return call,
            }
            let delay = self.backoff.next_delay();
            self.meanwhile(sleep(delay)).await;
            // The watch has lapsed by now, so this is the first call of another.
            since = since.map(|since| ChangesSince { hold: self.timeouts.first_hold, ..since });
        }
    }

    async fn call(&mut self, since: Option<ChangesSince>) -> CallResult {
        self.calls += 1;
        let call = Rc::new(Call {
            number: self.calls,
            address: self.address,
            since,
            called_at: Instant::now(),
            max_list_bytes: self.max_list_bytes,
            queue_margin: self.timeouts.queue_margin,
        });
        let number = call.number;
        match since {
            Some(ChangesSince { version, hold }) => log::debug!(
                "discovery: call {number} to {}: changes since version {version}, hold {hold:?}",
                self.address
            ),
            None => log::debug!("discovery: call {number} to {}: whole list", self.address),
        }
        let result = self.call_in_time(&call).await;
        let took = call.called_at.elapsed().as_millis();
        match &result {
            Ok(ReceivedList { list, .. }) => {
                log::debug!("discovery: call {number} received version {} after {took} ms", list.version);
            }
            Err(error) => log::debug!("discovery: call {number} failed after {took} ms: {error}"),
        }
        let confirmed_at = match &result {
            Err(CallError::TimedOut | CallError::ConnectTimedOut) => {
                self.confirmation.record_timeout(&call);
                self.confirmation.count_unanswered()
            }
            result => self.confirmation.record_end(&call, result),
        };
        let result = result.map(|ReceivedList { list, connection }| {
            self.kept_connection = connection;
            list
        });
        CallResult { result, confirmed_at }
    }

    /// Makes a call. If it times out, it stays open as an overdue one.
    async fn call_in_time(&mut self, call: &Rc<Call>) -> Result<ReceivedList, CallError> {
        let margin = if call.hold() < self.timeouts.hold {
            self.timeouts.queue_margin
        } else {
            self.timeouts.response_margin
        };
        let deadline = call.called_at + call.hold() + margin;
        let is_open = |kept: &TcpStream| receive_state(kept) == ReceiveState::Empty;
        let received = match self.kept_connection.take().filter(is_open) {
            Some(kept) => match self.exchange_in_time(call, kept, deadline).await {
                // Discovery closed the connection just as the call was sent. This is not a rejection, and calls have
                // no effect, so the call is repeated on a new connection.
                Err(CallError::ConnectionBroken(_)) if call.called_at.elapsed() < CLOSED_BEFORE_CALL => {
                    self.connect_in_time(call, deadline).await?
                }
                result => result?,
            },
            None => self.connect_in_time(call, deadline).await?,
        };
        match call.since {
            // Another discovery server, or one that has lost its versions. Only its whole list can be trusted.
            Some(ChangesSince { version, .. }) if received.list.version < version => {
                self.version = None;
                self.overdue_calls.clear();
                Err(CallError::Rejected(format!(
                    "version {} received, older than the known version {version}",
                    received.list.version
                )))
            }
            _ => Ok(received),
        }
    }

    /// Makes a call on a new connection.
    async fn connect_in_time(
        &mut self,
        call: &Rc<Call>,
        deadline: Instant,
    ) -> Result<ReceivedList, CallError> {
        let mut connecting = Box::pin(connect(self.address));
        let connect_deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let Some(connection) = self.run_until(connect_deadline, &mut connecting).await else {
            let overdue_call = call.clone();
            let rest = async move { exchange(overdue_call, connecting.await?).await };
            self.overdue_calls.push(call.clone(), rest);
            return Err(CallError::ConnectTimedOut);
        };
        self.exchange_in_time(call, connection?, deadline).await
    }

    /// Makes a call on an open connection.
    async fn exchange_in_time(
        &mut self,
        call: &Rc<Call>,
        connection: TcpStream,
        deadline: Instant,
    ) -> Result<ReceivedList, CallError> {
        let mut exchange = Box::pin(exchange(call.clone(), connection));
        match self.run_until(deadline, &mut exchange).await {
            Some(result) => result,
            None => {
                self.overdue_calls.push(call.clone(), exchange);
                Err(CallError::TimedOut)
            }
        }
    }

    /// Waits for `work` until a deadline; `None` if it is not done by then.
    async fn run_until<T>(
        &mut self,
        deadline: Instant,
        work: &mut (impl Future<Output = T> + Unpin),
    ) -> Option<T> {
        self.meanwhile(async {
            tokio::select! {
                biased;
                result = work => Some(result),
                () = sleep_until(deadline) => None,
            }
        })
        .await
    }

    /// Waits for `work`, and handles what becomes of the overdue calls meanwhile.
    async fn meanwhile<T>(&mut self, work: impl Future<Output = T>) -> T {
        let mut work = pin!(work);
        tokio::select! {
            biased;
            result = &mut work => result,
            never = self.follow_overdue_calls() => match never {},
        }
    }

    /// Reports the answers to overdue calls, and that discovery responds to no balancer.
    async fn follow_overdue_calls(&mut self) -> Infallible {
        loop {
            let next_count_at = self.confirmation.next_count_at();
            tokio::select! {
                biased;
                ended = self.overdue_calls.next_end() => self.report_overdue(ended),
                () = sleep_until(next_count_at.unwrap_or_else(Instant::now)), if next_count_at.is_some() => {
                    let confirmed_at = self.confirmation.count_unanswered();
                    self.send(None, confirmed_at);
                }
            }
        }
    }

    /// Reports the end of a call that had timed out.
    fn report_overdue(&mut self, EndedCall { call, result }: EndedCall) {
        let (number, took) = (call.number, call.called_at.elapsed().as_millis());
        let confirmed_at = self.confirmation.record_end(&call, &result);
        match result {
            Ok(ReceivedList { list, .. }) => {
                log::debug!(
                    "discovery: overdue call {number} received version {} after {took} ms",
                    list.version
                );
                if call.since.is_some_and(|since| list.version < since.version) {
                    // The next call finds that out too, and asks for the whole list.
                    return;
                }
                let event = self.is_news(&list).then(|| {
                    self.version = Some(list.version);
                    RouterEvent::ListReceived(list)
                });
                self.send(event, confirmed_at);
            }
            Err(error) => {
                log::debug!("discovery: overdue call {number} failed after {took} ms: {error}");
                self.send(None, confirmed_at);
            }
        }
    }

    /// Whether the list of an overdue call is newer than the known one. Changes since an older version than the known
    /// one include those since the known one.
    fn is_news(&self, list: &UpstreamList) -> bool {
        match self.version {
            Some(known) => list.version > known,
            None => list.is_snapshot,
        }
    }

    /// Sends an event to the router, and after it the time up to which the list is confirmed. Returns false when the
    /// program ends.
    fn send(&self, event: Option<RouterEvent>, confirmed_at: Option<Instant>) -> bool {
        let confirmation = confirmed_at.map(|at| RouterEvent::ListConfirmed { at: self.clock.time_of(at) });
        event.into_iter().chain(confirmation).all(|event| self.router_tx.send(event).is_ok())
    }
}
