//! The client connections, and which of them may be closed to make room for more.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::memory::MemoryLimit;

/// Counts the client connections and knows which may be evicted. A connection is idle while no byte of a request has
/// been read from it, and busy otherwise.
pub struct ConnectionTable {
    /// How many connections may be open, beside the reserve.
    max_open: usize,
    /// How many connections may be busy.
    max_busy: Cell<usize>,
    memory: MemoryLimit,
    open: Cell<usize>,
    /// Connections whose write reader is shut down, and which are only read for a moment longer.
    lingering: Cell<usize>,
    next_eviction_number: Cell<u64>,
    /// Idle connections that never sent a request.
    unused: EvictionQueue,
    /// Idle connections that have sent a request before.
    idle: EvictionQueue,
    /// Connections on which a part of a request has arrived.
    receiving: EvictionQueue,
    /// Notified when a connection is closed or begins to linger.
    pub slot_freed: Notify,
}

impl ConnectionTable {
    /// Creates an empty table.
    pub fn new(max_open: usize, max_busy: usize, memory: MemoryLimit) -> Rc<Self> {
        Rc::new(ConnectionTable {
            max_open,
            max_busy: Cell::new(max_busy),
            memory,
            open: Cell::new(0),
            lingering: Cell::new(0),
            next_eviction_number: Cell::new(0),
            unused: EvictionQueue::default(),
            idle: EvictionQueue::default(),
            receiving: EvictionQueue::default(),
            slot_freed: Notify::new(),
        })
    }

    /// Changes how many connections may be busy. Those that are busy now stay so.
    pub fn set_max_busy(&self, max_busy: usize) {
        self.max_busy.set(max_busy);
    }

    /// Whether there is no connection, not even a lingering one.
    pub fn is_empty(&self) -> bool {
        self.open.get() + self.lingering.get() == 0
    }

    /// Whether more connections are open than are allowed beside the reserve.
    pub fn is_over_limit(&self) -> bool {
        self.open.get() > self.max_open
    }

    /// Whether the reserve is used up as well, so that no connection may be accepted.
    pub fn is_reserve_used_up(&self) -> bool {
        self.open.get() + self.lingering.get() >= self.max_open + RESERVED_CONNECTIONS
    }

    /// Whether a request must be rejected: memory is low or too many connections are busy, and no connection that is
    /// slow to send its request could be evicted instead. Evicting a slow one costs no client an admitted request.
    pub fn must_reject_request(&self) -> bool {
        let busy = self.open.get() - self.idle.borrow().len() - self.unused.borrow().len();
        let is_overloaded = busy > self.max_busy.get() || self.memory.is_low();
        is_overloaded && !evict_oldest(&self.receiving, Some(MIN_RECEIVING_BEFORE_EVICTION))
    }

    /// Adds an accepted connection, and evicts an idle one if it is one too many. Nothing is evicted in advance, which
    /// would close clients' connections for nothing.
    pub fn register(self: &Rc<Self>) -> ConnectionSlot {
        self.open.set(self.open.get() + 1);
        let is_excess = Cell::new(self.is_over_limit() && !self.evict_one_idle());
        ConnectionSlot { table: self.clone(), is_excess, is_lingering: false }
    }

    /// Tells one idle connection to close, and returns whether there was one. It is the oldest that never sent a
    /// request, if it has waited for [`MIN_UNUSED_BEFORE_EVICTION`], else the one that has been idle longest. Used
    /// connections come second because clients that open a connection for each concurrent request need theirs.
    pub fn evict_one_idle(&self) -> bool {
        evict_oldest(&self.unused, Some(MIN_UNUSED_BEFORE_EVICTION)) || evict_oldest(&self.idle, None)
    }
}

/// Connections that may be evicted, oldest first.
type EvictionQueue = RefCell<BTreeMap<u64, EvictionCandidate>>;

struct EvictionCandidate {
    /// When the connection entered the queue.
    since: Instant,
    /// Tells the connection's task to close it.
    evict: Rc<Notify>,
}

/// How many connections may be open beyond the limit; their descriptors come from those kept for the program's own
/// use. They serve health checks, reject requests while the table is full, and cover lingering connections.
const RESERVED_CONNECTIONS: usize = 16;
/// A connection that has sent a part of a request may be evicted after this time.
const MIN_RECEIVING_BEFORE_EVICTION: Duration = Duration::from_millis(500);
/// A connection that has sent nothing yet may be evicted after this time.
const MIN_UNUSED_BEFORE_EVICTION: Duration = Duration::from_millis(250);

/// Evicts the connection that has been in the queue longest. Returns false if there is none, or if it has been there
/// for less than `min_age`.
fn evict_oldest(queue: &EvictionQueue, min_age: Option<Duration>) -> bool {
    let mut queue = queue.borrow_mut();
    let Some(oldest) = queue.first_entry() else { return false };
    if min_age.is_some_and(|min_age| oldest.get().since.elapsed() < min_age) {
        return false;
    }
    oldest.remove().evict.notify_one();
    true
}

/// A connection's entry in the table; dropping it frees the slot.
pub struct ConnectionSlot {
    table: Rc<ConnectionTable>,
    /// The connection was accepted beyond the limit, and none could be evicted for it.
    is_excess: Cell<bool>,
    is_lingering: bool,
}

impl ConnectionSlot {
    /// Whether the connection was one too many when it was accepted and the table is still over its limit.
    pub fn is_excess(&self) -> bool {
        self.is_excess.set(self.is_excess.get() && self.table.is_over_limit());
        self.is_excess.get()
    }

    /// Counts the connection as lingering instead of open, so that another may be accepted.
    pub fn linger(mut self) -> ConnectionSlot {
        self.is_lingering = true;
        self.table.open.set(self.table.open.get() - 1);
        self.table.lingering.set(self.table.lingering.get() + 1);
        self.table.slot_freed.notify_one();
        self
    }

    /// Marks the connection as idle after a request, for as long as the guard lives.
    pub fn mark_idle(&self) -> EvictionGuard<'_> {
        self.make_evictable(&self.table.idle)
    }

    /// Marks the connection as idle before its first request, for as long as the guard lives.
    pub fn mark_unused(&self) -> EvictionGuard<'_> {
        self.make_evictable(&self.table.unused)
    }

    /// Marks the connection as receiving a request, for as long as the guard lives.
    pub fn mark_receiving(&self) -> EvictionGuard<'_> {
        self.make_evictable(&self.table.receiving)
    }

    fn make_evictable<'a>(&'a self, queue: &'a EvictionQueue) -> EvictionGuard<'a> {
        let number = self.table.next_eviction_number.get();
        self.table.next_eviction_number.set(number + 1);
        let evict = Rc::new(Notify::new());
        let candidate = EvictionCandidate { since: Instant::now(), evict: evict.clone() };
        queue.borrow_mut().insert(number, candidate);
        EvictionGuard { queue, number, evict }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let count = if self.is_lingering { &self.table.lingering } else { &self.table.open };
        count.set(count.get() - 1);
        self.table.slot_freed.notify_one();
    }
}

/// Keeps a connection in an eviction queue until it is dropped.
pub struct EvictionGuard<'a> {
    queue: &'a EvictionQueue,
    number: u64,
    evict: Rc<Notify>,
}

impl EvictionGuard<'_> {
    /// Returns when the connection is to be closed to make room for another.
    pub async fn evicted(&self) {
        self.evict.notified().await;
    }
}

impl Drop for EvictionGuard<'_> {
    fn drop(&mut self) {
        self.queue.borrow_mut().remove(&self.number);
    }
}
