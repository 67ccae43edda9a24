//! Which client connections there are, and which of them may be closed when there is no room for more.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::memory::Memory;

/// The client connections: how many there are, and which stand idle, without a byte of a request. The others
/// are busy.
pub struct ConnectionTable {
    most: usize,
    most_busy: Cell<usize>,
    memory: Memory,
    open: Cell<usize>,
    /// Those that have been told that they end, and are only read on for a moment.
    lingering: Cell<usize>,
    next: Cell<u64>,
    /// Idle ones that never asked for anything, and those that did.
    fresh: EvictionQueue,
    idle: EvictionQueue,
    /// Those that have sent a part of a request.
    slow: EvictionQueue,
    pub changed: Notify,
}

impl ConnectionTable {
    pub fn new(most: usize, most_busy: usize, memory: Memory) -> Rc<Self> {
        Rc::new(ConnectionTable {
            most,
            most_busy: Cell::new(most_busy),
            memory,
            open: Cell::new(0),
            lingering: Cell::new(0),
            next: Cell::new(0),
            fresh: EvictionQueue::default(),
            idle: EvictionQueue::default(),
            slow: EvictionQueue::default(),
            changed: Notify::new(),
        })
    }

    /// How many may be busy from now on; those that are stay.
    pub fn set_most_busy(&self, most_busy: usize) {
        self.most_busy.set(most_busy);
    }

    pub fn is_empty(&self) -> bool {
        self.open.get() + self.lingering.get() == 0
    }

    pub fn is_over(&self) -> bool {
        self.open.get() > self.most
    }

    /// With its reserve, so that not even another can be taken.
    pub fn is_full(&self) -> bool {
        self.open.get() + self.lingering.get() >= self.most + RESERVE
    }

    /// Memory is short, or more are busy than may be. One that is slow with its request makes room for
    /// another's: it has been taken from nobody yet.
    pub fn turns_away(&self) -> bool {
        let busy = self.open.get() - self.idle.borrow().len() - self.fresh.borrow().len();
        (busy > self.most_busy.get() || self.memory.is_short()) && !evict_first(&self.slow, Some(SLOW))
    }

    /// Room is made only for one that has come: closing idle ones ahead would cost clients theirs for nothing.
    pub fn enter(self: &Rc<Self>) -> Place {
        self.open.set(self.open.get() + 1);
        let excess = Cell::new(self.is_over() && !self.evict_one_idle());
        Place { table: self.clone(), excess, lingers: false }
    }

    /// Tells one to close: of those that said nothing for a while, else of those that stand idle, the one
    /// that does so longest. Clients with a connection for each of their requests need theirs.
    pub fn evict_one_idle(&self) -> bool {
        evict_first(&self.fresh, Some(SILENT)) || evict_first(&self.idle, None)
    }
}

/// Connections that may be evicted, in the order in which they came to be so, with what tells each.
type EvictionQueue = RefCell<BTreeMap<u64, (Instant, Rc<Notify>)>>;

/// Taken beyond the most, of the descriptors that are kept for the program's own use: for who asks whether it is ready,
/// to turn others away, and while those that were told to close are read on.
const RESERVE: usize = 16;
const SLOW: Duration = Duration::from_millis(500);
const SILENT: Duration = Duration::from_millis(250);

/// False when there is none, or none that has stood there for so long.
fn evict_first(queue: &EvictionQueue, after: Option<Duration>) -> bool {
    let mut queue = queue.borrow_mut();
    let Some(first) = queue.first_entry() else { return false };
    if after.is_some_and(|after| first.get().0.elapsed() < after) {
        return false;
    }
    first.remove().1.notify_one();
    true
}

/// One connection's place; leaving it makes room for another.
pub struct Place {
    table: Rc<ConnectionTable>,
    /// It came when there was no room, and none could be made.
    excess: Cell<bool>,
    lingers: bool,
}

impl Place {
    /// Whether there is no room for its requests, still.
    pub fn is_excess(&self) -> bool {
        self.excess.set(self.excess.get() && self.table.is_over());
        self.excess.get()
    }

    /// Its connection has been told that it ends; another may come.
    pub fn linger(mut self) -> Place {
        self.lingers = true;
        self.table.open.set(self.table.open.get() - 1);
        self.table.lingering.set(self.table.lingering.get() + 1);
        self.table.changed.notify_one();
        self
    }

    pub fn idle(&self) -> EvictionGuard<'_> {
        self.make_evictable(&self.table.idle)
    }

    pub fn fresh(&self) -> EvictionGuard<'_> {
        self.make_evictable(&self.table.fresh)
    }

    pub fn slow(&self) -> EvictionGuard<'_> {
        self.make_evictable(&self.table.slow)
    }

    fn make_evictable<'a>(&'a self, queue: &'a EvictionQueue) -> EvictionGuard<'a> {
        let number = self.table.next.get();
        self.table.next.set(number + 1);
        let close = Rc::new(Notify::new());
        queue.borrow_mut().insert(number, (Instant::now(), close.clone()));
        EvictionGuard { queue, number, close }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let count = if self.lingers { &self.table.lingering } else { &self.table.open };
        count.set(count.get() - 1);
        self.table.changed.notify_one();
    }
}

/// Keeps a connection in an eviction queue until it is dropped.
pub struct EvictionGuard<'a> {
    queue: &'a EvictionQueue,
    number: u64,
    close: Rc<Notify>,
}

impl EvictionGuard<'_> {
    /// Returns when the connection is to be closed for another.
    pub async fn evicted(&self) {
        self.close.notified().await;
    }
}

impl Drop for EvictionGuard<'_> {
    fn drop(&mut self) {
        self.queue.borrow_mut().remove(&self.number);
    }
}
