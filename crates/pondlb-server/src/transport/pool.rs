//! The pool of connections to upstreams.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pondlb::UpstreamId;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout_at};

use super::stream::{ReceiveState, receive_state};

/// Connections to upstreams. Bounds how many are open, and keeps idle ones for later attempts.
pub struct UpstreamPool {
    /// How many connections may be open at once, in use and idle.
    max_open: usize,
    open: Cell<usize>,
    idle: RefCell<HashMap<UpstreamId, VecDeque<IdleConnection>>>,
    /// An idle connection is closed after this time, well before its upstream would close it: whether an attempt ran
    /// is unknown when it was written to a connection that the upstream was just closing.
    idle_timeout: Cell<Duration>,
    /// How long opening a connection may take.
    connect_timeout: Cell<Duration>,
}

/// A connection to an upstream that is in use; dropping it closes it.
pub struct PooledConnection {
    pub stream: TcpStream,
    address: SocketAddr,
    _slot: OpenSlot,
}

struct IdleConnection {
    connection: PooledConnection,
    since: Instant,
}

/// Why there is no connection for an attempt. Nothing has been written to the upstream in any of these cases.
#[derive(Debug)]
pub enum ConnectError {
    /// As many connections are open as are allowed, and none of them is idle.
    PoolFull,
    /// The connection was refused or could not be made.
    Failed,
    /// The connection was not made in time.
    TimedOut,
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ConnectError::PoolFull => "the connection pool is full",
            ConnectError::Failed => "the connection failed",
            ConnectError::TimedOut => "the connection timed out",
        })
    }
}

/// How long a connection stays idle before it is reused. A faulty upstream that sends two responses sends the second
/// some milliseconds after the first; within this time it is noticed as unexpected input, and the connection is closed.
const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(10);
/// How often idle connections are checked for their timeout and for unexpected input.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

impl UpstreamPool {
    /// Creates an empty pool.
    pub fn new(max_open: usize, idle_timeout: Duration, connect_timeout: Duration) -> Rc<Self> {
        let (open, idle) = (Cell::new(0), RefCell::default());
        let (idle_timeout, connect_timeout) = (Cell::new(idle_timeout), Cell::new(connect_timeout));
        Rc::new(UpstreamPool { max_open, open, idle, idle_timeout, connect_timeout })
    }

    /// Changes the timeouts. They hold at once for idle connections, and for connections opened from now on.
    pub fn set_timeouts(&self, idle_timeout: Duration, connect_timeout: Duration) {
        self.idle_timeout.set(idle_timeout);
        self.connect_timeout.set(connect_timeout);
    }

    /// Returns a connection without an attempt on it: an idle one that is still usable, or a new one, which must be
    /// established by `deadline`.
    pub async fn acquire(
        self: &Rc<Self>,
        upstream: &UpstreamId,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<PooledConnection, ConnectError> {
        while let Some(idle) = self.pop_reusable(upstream) {
            if idle.connection.address == address
                && idle.since.elapsed() < self.idle_timeout.get()
                && receive_state(&idle.connection.stream) == ReceiveState::Empty
            {
                return Ok(idle.connection);
            }
        }
        if self.open.get() >= self.max_open {
            self.close_longest_idle();
        }
        if self.open.get() >= self.max_open {
            return Err(ConnectError::PoolFull);
        }
        let slot = OpenSlot::reserve(self);
        let deadline = deadline.min(Instant::now() + self.connect_timeout.get());
        match timeout_at(deadline, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                // Without TCP_NODELAY requests are only slower.
                let _ = stream.set_nodelay(true);
                Ok(PooledConnection { stream, address, _slot: slot })
            }
            Ok(Err(_)) => Err(ConnectError::Failed),
            Err(_) => Err(ConnectError::TimedOut),
        }
    }

    /// Returns a connection to the pool, for a later attempt to the same upstream.
    pub fn release(self: &Rc<Self>, upstream: UpstreamId, connection: PooledConnection) {
        let idle = IdleConnection { connection, since: Instant::now() };
        self.idle.borrow_mut().entry(upstream).or_default().push_back(idle);
    }

    /// Closes all idle connections to an upstream.
    pub fn close_idle(&self, upstream: &str) {
        let closed = self.idle.borrow_mut().remove(upstream);
        drop(closed);
    }

    /// Removes and returns the most recently used idle connection, so that the others stay idle and reach their
    /// timeout. Connections younger than [`MIN_IDLE_BEFORE_REUSE`] are passed over: more of the last response may still
    /// arrive on them and would be taken for the next response.
    fn pop_reusable(&self, upstream: &UpstreamId) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let of_upstream = idle.get_mut(upstream)?;
        let reusable = of_upstream.iter().rposition(|idle| idle.since.elapsed() >= MIN_IDLE_BEFORE_REUSE)?;
        of_upstream.remove(reusable)
    }

    fn close_longest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let non_empty = idle.values_mut().filter(|of_upstream| !of_upstream.is_empty());
        let longest_idle = non_empty.min_by_key(|of_upstream| of_upstream[0].since);
        let closed = longest_idle.and_then(VecDeque::pop_front);
        drop(idle);
        drop(closed);
    }

    /// Closes idle connections before they time out, and those that are no longer usable. Runs for as long as the
    /// program does.
    pub async fn run_sweeper(self: Rc<Self>) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            let mut idle = self.idle.borrow_mut();
            for of_upstream in idle.values_mut() {
                of_upstream.retain(|idle| {
                    idle.since.elapsed() + SWEEP_INTERVAL < self.idle_timeout.get()
                        && receive_state(&idle.connection.stream) == ReceiveState::Empty
                });
            }
            idle.retain(|_, of_upstream| !of_upstream.is_empty());
        }
    }
}

/// Counts one connection as open, from before it is established until it is closed.
struct OpenSlot(Rc<UpstreamPool>);

impl OpenSlot {
    fn reserve(pool: &Rc<UpstreamPool>) -> Self {
        pool.open.set(pool.open.get() + 1);
        OpenSlot(pool.clone())
    }
}

impl Drop for OpenSlot {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}
