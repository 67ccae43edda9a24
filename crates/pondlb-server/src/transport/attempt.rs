//! Sends attempts to upstreams and reads their answers; probes upstreams for their load.

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
use super::stream::{read_into, write_all};
use crate::protocol::upstream::{Answered, UpstreamSide, write_attempt, write_probe};
use crate::routing::{Carrier, End, Hold, Note, Order};

/// Carries out the exchange's outbound calls: attempts and probes, each in a task of its own, and commands to the
/// discovery client.
pub struct OutboundTransport {
    pub pool: Rc<UpstreamPool>,
    pub clock: Clock,
    pub memory: MemoryLimit,
    /// Where the ends of attempts and probes are reported.
    pub exchange_tx: mpsc::UnboundedSender<Note>,
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

impl Hold for AttemptTask {
    fn is_written(&self) -> bool {
        self.is_written.get()
    }
}

impl Drop for AttemptTask {
    fn drop(&mut self) {
        self.handle.abort();
    }
}

impl Carrier for OutboundTransport {
    type Hold = AttemptTask;

    fn send(&mut self, order: Order) -> AttemptTask {
        let (pool, clock, memory) = (self.pool.clone(), self.clock, self.memory);
        let exchange_tx = self.exchange_tx.clone();
        let is_written = Rc::new(Cell::new(false));
        let set_written = is_written.clone();
        let task = spawn_local(async move {
            let attempt = order.id.clone();
            let end = run_attempt(&pool, clock, memory, order, &set_written).await;
            let _ended = exchange_tx.send(Note::Ended { attempt, end });
        });
        AttemptTask { handle: task.abort_handle(), is_written }
    }

    fn probe(&mut self, upstream: UpstreamId, address: SocketAddr) {
        let Some(settings) = self.probe.clone() else { return };
        let (pool, clock, memory) = (self.pool.clone(), self.clock, self.memory);
        let exchange_tx = self.exchange_tx.clone();
        spawn_local(async move {
            let (start, deadline) = (clock.now(), Instant::now() + settings.timeout);
            // An upstream whose answer never ends holds the connection no longer than this.
            let probe = run_probe(&pool, memory, &settings.path, &upstream, address, deadline);
            let result = timeout_at(deadline, probe).await;
            let (outcome, load) = result.unwrap_or((Outcome::TimedOut, Load::default()));
            let _ended =
                exchange_tx.send(Note::Probed { upstream, outcome, took: clock.now() - start, load });
        });
    }

    fn watch(&mut self, on: bool) {
        let _ended = self.discovery_tx.send(DiscoveryCommand::SetWatch(on));
    }

    fn fetch(&mut self) {
        let _ended = self.discovery_tx.send(DiscoveryCommand::FetchList);
    }

    fn close_idle(&mut self, upstream: &str) {
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
    if write_all(&connection.stream, &write_probe(path, address)).await.is_err() {
        return (Outcome::ConnectFailed, Load::default());
    }
    match read_answer(&connection, memory).await {
        Ok(Answered { outcome, load, keep, .. }) => {
            if keep {
                pool.release(upstream.clone(), connection);
            }
            (outcome, load)
        }
        Err(outcome) => (outcome, Load::default()),
    }
}

/// Sends an attempt and reads its answer.
///
/// The upstream can't have run the attempt until its last byte is written, and may have run it from then on;
/// `is_written` is set at that moment. Nothing is ever written twice, so that only the decisions retry a request.
async fn run_attempt(
    pool: &Rc<UpstreamPool>,
    clock: Clock,
    memory: MemoryLimit,
    order: Order,
    is_written: &Cell<bool>,
) -> End {
    let deadline = clock.instant_of(order.until);
    let connection = match pool.acquire(&order.upstream, order.address, deadline).await {
        Ok(connection) => connection,
        Err(error) => {
            let (request, attempt) = &order.id;
            log::debug!("request {request} attempt {attempt}: can't connect to {}: {error}", order.upstream);
            return Outcome::ConnectFailed.into();
        }
    };
    // After a pause of the whole process, everything that arrived meanwhile becomes ready at once. Yielding lets the
    // task of a client that has disconnected run first, so that nothing is sent for that client.
    yield_now().await;
    if order.begin_by.is_some_and(|by| by <= clock.now()) {
        return Outcome::Moot.into();
    }
    let bytes = write_attempt(&order.id.0, &order.message, order.until.saturating_sub(clock.now()));
    if !matches!(timeout_at(deadline, write_all(&connection.stream, &bytes)).await, Ok(Ok(()))) {
        return Outcome::ConnectFailed.into();
    }
    is_written.set(true);
    drop(bytes);
    match timeout_at(deadline, read_answer(&connection, memory)).await {
        Err(_) => Outcome::TimedOut.into(),
        Ok(Err(outcome)) => outcome.into(),
        Ok(Ok(answered)) => {
            if answered.keep && Instant::now() < deadline {
                pool.release(order.upstream, connection);
            }
            End { outcome: answered.outcome, reply: answered.reply, load: answered.load }
        }
    }
}

/// Reads one whole answer. A connection that ends before any byte of it is told from one that ends within it or brings
/// a malformed one: the upstream may be dead in the first case, and is alive in the other.
async fn read_answer(connection: &PooledConnection, memory: MemoryLimit) -> Result<Answered, Outcome> {
    let mut side = UpstreamSide::new();
    loop {
        let closed_outcome =
            |side: &UpstreamSide| if side.has_begun() { Outcome::Spoilt } else { Outcome::Reset };
        let read = read_into(&connection.stream, side.input()).await;
        let count = read.map_err(|_| closed_outcome(&side))?;
        if memory.is_exhausted() {
            log::warn!("memory limit reached: dropped an upstream's answer");
            return Err(Outcome::Spoilt);
        }
        match side.next(count == 0) {
            Ok(Some(answered)) => return Ok(answered),
            Ok(None) if count == 0 => return Err(closed_outcome(&side)),
            Ok(None) => {}
            Err(error) => {
                log::warn!("rejected an upstream's answer: {error}");
                return Err(Outcome::Spoilt);
            }
        }
    }
}
