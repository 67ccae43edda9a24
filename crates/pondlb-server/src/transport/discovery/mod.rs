//! Follows discovery's list of upstreams: fetches it, watches it and sends the router events for both.

mod call;
mod confirmation;
mod error;

use std::net::SocketAddr;
use std::time::Duration;

use call::{ChangesSince, DiscoveryConnection};
use confirmation::ListConfirmation;
use error::{CallError, ErrorLog};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

use super::backoff::Backoff;
use super::clock::Clock;
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

/// How long calls may take.
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
}

impl CallTimeouts {
    /// The timeouts in production.
    pub fn new() -> Self {
        let [first_hold, hold, response_margin, queue_margin] =
            [100, 1000, 300, 2200].map(Duration::from_millis);
        CallTimeouts { first_hold, hold, response_margin, queue_margin }
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
        connection: DiscoveryConnection::new(address, limit.max_bytes, timeouts.queue_margin),
        version: Some(version),
        timeouts,
        backoff: limit.backoff,
        clock,
        router_tx,
        confirmation: ListConfirmation::default(),
        error_log: ErrorLog::default(),
        calls: 0,
    };
    let mut next = commands.recv().await;
    while let Some(command) = next {
        next = tokio::select! {
            () = client.execute(command) => commands.recv().await,
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
    connection: DiscoveryConnection,
    /// The newest known version of the list; `None` makes the next call of a watch ask for the whole list.
    version: Option<u64>,
    timeouts: CallTimeouts,
    /// For lists that are too long.
    backoff: Backoff,
    clock: Clock,
    router_tx: mpsc::UnboundedSender<RouterEvent>,
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
            DiscoveryCommand::WatchList { enabled: false } => self.connection.close(),
            DiscoveryCommand::FetchList => {
                let result = self.call_with_backoff(None).await;
                self.report(result);
            }
            // Calls at once, and asks for the whole list: the versions at the two addresses may be unrelated, and
            // what the old address has not sent by now will never come.
            DiscoveryCommand::ChangeAddress(address) => {
                self.connection.close();
                (self.connection.address, self.version) = (address, None);
                self.backoff.reset();
                self.watch().await;
            }
        }
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
                sleep(MIN_WATCH_CALL_INTERVAL).await;
            }
            // The call after a whole list is the first of a watch, and is queued with the first calls of others.
            hold = if known_version.is_some() { self.timeouts.hold } else { self.timeouts.first_hold };
        }
    }

    /// Reports a call to the router. Returns false when the call failed or the program ends.
    fn report(&mut self, call: CallResult) -> bool {
        let (event, is_list) = match call.result {
            Ok(list) => {
                self.version = Some(list.version);
                self.error_log.reset();
                (RouterEvent::ListReceived(list), true)
            }
            Err(error) => {
                self.error_log.log(&error);
                (error.to_router_event(), false)
            }
        };
        // Sent after the list that it confirms.
        let confirmation =
            call.confirmed_at.map(|at| RouterEvent::ListConfirmed { at: self.clock.time_of(at) });
        let mut is_received = self.router_tx.send(event).is_ok();
        if let Some(confirmation) = confirmation {
            is_received &= self.router_tx.send(confirmation).is_ok();
        }
        is_received && is_list
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
            sleep(self.backoff.next_delay()).await;
            // The watch has lapsed by now, so this is the first call of another.
            since = since.map(|since| ChangesSince { hold: self.timeouts.first_hold, ..since });
        }
    }

    async fn call(&mut self, since: Option<ChangesSince>) -> CallResult {
        self.calls += 1;
        let (number, called_at) = (self.calls, Instant::now());
        match since {
            Some(ChangesSince { version, hold }) => log::debug!(
                "discovery: call {number} to {}: changes since version {version}, hold {hold:?}",
                self.connection.address
            ),
            None => log::debug!("discovery: call {number} to {}: whole list", self.connection.address),
        }
        let result = self.call_in_time(since).await;
        let took = called_at.elapsed().as_millis();
        match &result {
            Ok(list) => {
                log::debug!("discovery: call {number} received version {} after {took} ms", list.version);
            }
            Err(error) => log::debug!("discovery: call {number} failed after {took} ms: {error}"),
        }
        let hold = since.map(|since| since.hold).unwrap_or_default();
        let confirmed_at = self.confirmation.record_call(called_at, hold, &result);
        CallResult { result, confirmed_at }
    }

    async fn call_in_time(&mut self, since: Option<ChangesSince>) -> Result<UpstreamList, CallError> {
        let hold = since.map(|since| since.hold).unwrap_or_default();
        let margin = if hold < self.timeouts.hold {
            self.timeouts.queue_margin
        } else {
            self.timeouts.response_margin
        };
        let call = timeout(hold + margin, self.connection.call(since)).await;
        let list = call.map_err(|_| CallError::TimedOut)??;
        match since {
            // Another discovery server, or one that has lost its versions. Only its whole list can be trusted.
            Some(ChangesSince { version, .. }) if list.version < version => {
                self.version = None;
                Err(CallError::Rejected(format!(
                    "version {} received, older than the known version {version}",
                    list.version
                )))
            }
            _ => Ok(list),
        }
    }
}
