//! Sends attempts to upstreams and reads their responses; probes upstreams for their load.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pondlb::{Load, Outcome, UpstreamId};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local, yield_now};
use tokio::time::{Instant, timeout_at};

use super::clock::Clock;
use super::discovery::DiscoveryCommand;
use super::memory::MemoryLimit;
use super::pool::{ConnectError, PooledConnection, UpstreamPool};
use super::stream::{ReadTurn, read_into, write_all};
use crate::protocol::upstream::{ResponseReader, UpstreamResponse, encode_attempt, encode_probe};
use crate::routing::{AttemptHandle, AttemptId, AttemptResult, OutgoingAttempt, RouterEvent, Transport};

/// Carries out the router's outbound work: attempts and probes, each in a task of its own, and commands to the
/// discovery client.
pub struct OutboundTransport {
    pub pool: Rc<UpstreamPool>,
    pub clock: Clock,
    pub memory: MemoryLimit,
    /// Where the results of attempts and probes are sent.
    pub router_tx: mpsc::UnboundedSender<RouterEvent>,
    pub discovery_tx: mpsc::UnboundedSender<DiscoveryCommand>,
    /// How upstreams are probed for their load; none is probed where it is `None`.
    pub probe: Option<ProbeSettings>,
}

/// How upstreams are probed for their load.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbeSettings {
    /// The path that is requested.
    pub path: String,
    /// How long a probe may take, connecting included.
    pub timeout: Duration,
}

/// The task of an attempt. Dropping this aborts the task, which closes its connection.
pub struct AttemptTask {
    handle: AbortHandle,
    is_written: Rc<Cell<bool>>,
}

impl AttemptHandle for AttemptTask {
    fn is_written(&self) -> bool {
        self.is_written.get()
    }
}

impl Drop for AttemptTask {
    fn drop(&mut self) {
        self.handle.abort();
    }
}

impl Transport for OutboundTransport {
    type Handle = AttemptTask;

    fn send_attempt(&mut self, attempt: OutgoingAttempt) -> AttemptTask {
        let (pool, clock, memory) = (self.pool.clone(), self.clock, self.memory);
        let router_tx = self.router_tx.clone();
        let is_written = Rc::new(Cell::new(false));
        let set_written = is_written.clone();
        let task = spawn_local(async move {
            let id = attempt.id.clone();
            let result = run_attempt(&pool, clock, memory, attempt, &set_written).await;
            // The receiver is gone only while the process exits.
            let _ = router_tx.send(RouterEvent::AttemptEnded { attempt: id, result });
        });
        AttemptTask { handle: task.abort_handle(), is_written }
    }

    fn probe(&mut self, upstream: UpstreamId, address: SocketAddr) {
        let Some(settings) = self.probe.clone() else { return };
        let (pool, clock, memory) = (self.pool.clone(), self.clock, self.memory);
        let router_tx = self.router_tx.clone();
        spawn_local(async move {
            let (start, deadline) = (clock.now(), Instant::now() + settings.timeout);
            // An upstream whose response never ends holds the connection no longer than this.
            let probe = run_probe(&pool, memory, &settings.path, &upstream, address, deadline);
            let result = timeout_at(deadline, probe).await;
            let (outcome, load) = result.unwrap_or((Outcome::TimedOut, Load::default()));
            let _ = router_tx.send(RouterEvent::ProbeEnded {
                upstream,
                outcome,
                duration: clock.now() - start,
                load,
            });
        });
    }

    fn watch_list(&mut self, enabled: bool) {
        // The receiver is gone where the discovery client has ended.
        let _ = self.discovery_tx.send(DiscoveryCommand::WatchList { enabled });
    }

    fn fetch_list(&mut self) {
        let _ = self.discovery_tx.send(DiscoveryCommand::FetchList);
    }

    fn close_idle_connections(&mut self, upstream: &str) {
        self.pool.close_idle(upstream);
    }
}

async fn run_probe(
    pool: &Rc<UpstreamPool>,
    memory: MemoryLimit,
    path: &str,
    upstream: &UpstreamId,
    address: SocketAddr,
    deadline: Instant,
) -> (Outcome, Load) {
    let connection = match pool.acquire(upstream, address, deadline).await {
        Ok(connection) => connection,
        // A full pool says nothing about the upstream.
        Err(ConnectError::PoolFull) => return (Outcome::Moot, Load::default()),
        Err(_) => return (Outcome::ConnectFailed, Load::default()),
    };
    if write_all(&connection.stream, &encode_probe(path, address)).await.is_err() {
        return (Outcome::ConnectFailed, Load::default());
    }
    match read_response(&connection, memory).await {
        Ok(UpstreamResponse { outcome, load, keep_alive, .. }) => {
            if keep_alive {
                pool.release(upstream.clone(), connection);
            }
            (outcome, load)
        }
        Err(outcome) => (outcome, Load::default()),
    }
}

/// Sends an attempt and reads the response.
///
/// The upstream can't have run the attempt until its last byte is written, and may have run it from then on;
/// `is_written` is set at that moment. Nothing is ever written twice, so that only the balancer decides whether a request is retried.
async fn run_attempt(
    pool: &Rc<UpstreamPool>,
    clock: Clock,
    memory: MemoryLimit,
    attempt: OutgoingAttempt,
    is_written: &Cell<bool>,
) -> AttemptResult {
    let deadline = clock.instant_of(attempt.deadline);
    let connection = match pool.acquire(&attempt.upstream, attempt.address, deadline).await {
        Ok(connection) => connection,
        Err(error) => {
            let AttemptId { request, number, .. } = &attempt.id;
            log::debug!("request {request} attempt {number}: can't connect to {}: {error}", attempt.upstream);
            return Outcome::ConnectFailed.into();
        }
    };
    // After a pause of the whole process, everything that arrived meanwhile becomes ready at once. Yielding lets the
    // task of a client that has disconnected run first, so that nothing is sent for that client.
    yield_now().await;
    if attempt.start_before.is_some_and(|start_before| start_before <= clock.now()) {
        return Outcome::Moot.into();
    }
    let bytes =
        encode_attempt(&attempt.id.request, &attempt.message, attempt.deadline.saturating_sub(clock.now()));
    if !matches!(timeout_at(deadline, write_all(&connection.stream, &bytes)).await, Ok(Ok(()))) {
        return Outcome::ConnectFailed.into();
    }
    is_written.set(true);
    drop(bytes);
    match timeout_at(deadline, read_response(&connection, memory)).await {
        Err(_) => Outcome::TimedOut.into(),
        Ok(Err(outcome)) => outcome.into(),
        Ok(Ok(response)) => {
            if response.keep_alive && Instant::now() < deadline {
                pool.release(attempt.upstream, connection);
            }
            AttemptResult {
                outcome: response.outcome,
                final_answer: response.final_answer,
                load: response.load,
            }
        }
    }
}

/// Reads one whole response. A connection that ends before any byte of it is distinguished from one that ends
/// within it or delivers a malformed one: the upstream may be dead in the first case, and is alive in the other.
async fn read_response(
    connection: &PooledConnection,
    memory: MemoryLimit,
) -> Result<UpstreamResponse, Outcome> {
    let (mut reader, mut turn) = (ResponseReader::new(), ReadTurn::default());
    loop {
        let closed_outcome = |reader: &ResponseReader| {
            if reader.has_partial_response() { Outcome::Spoilt } else { Outcome::Reset }
        };
        let read = read_into(&connection.stream, reader.message_reader()).await;
        let count = read.map_err(|_| closed_outcome(&reader))?;
        if memory.is_exhausted() {
            log::warn!("memory limit reached: dropped an upstream's response");
            return Err(Outcome::Spoilt);
        }
        match reader.next_response(count == 0) {
            Ok(Some(response)) => return Ok(response),
            Ok(None) if count == 0 => return Err(closed_outcome(&reader)),
            Ok(None) => {}
            Err(error) => {
                log::warn!("rejected an upstream's response: {error}");
                return Err(Outcome::Spoilt);
            }
        }
        turn.next_read().await;
    }
}
