use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::memory::Memory;

/// The client connections: how many there are, and which stand idle, without a byte of a request. The others
/// are busy.
pub struct Crowd {
    most: usize,
    most_busy: usize,
    memory: Memory,
    open: Cell<usize>,
    next: Cell<u64>,
    /// Idle ones that never asked for anything, and those that did.
    fresh: Row,
    idle: Row,
    /// Those that have sent a part of a request.
    slow: Row,
    pub changed: Notify,
}

impl Crowd {
    pub fn new(most: usize, most_busy: usize, memory: Memory) -> Rc<Self> {
        Rc::new(Crowd {
            most,
            most_busy,
            memory,
            open: Cell::new(0),
            next: Cell::new(0),
            fresh: Row::default(),
            idle: Row::default(),
            slow: Row::default(),
            changed: Notify::new(),
        })
    }

    pub fn open(&self) -> usize {
        self.open.get()
    }

    pub fn is_full(&self) -> bool {
        self.open.get() >= self.most
    }

    /// Memory is short, or more are busy than may be. One that is slow with its request makes room for
    /// another's: it has been taken from nobody yet.
    pub fn turns_away(&self) -> bool {
        let busy = self.open.get() - self.idle.borrow().len() - self.fresh.borrow().len();
        (busy > self.most_busy || self.memory.is_short()) && !close_first(&self.slow, Some(SLOW))
    }

    pub fn enter(self: &Rc<Self>) -> Place {
        self.open.set(self.open.get() + 1);
        Place { crowd: self.clone() }
    }

    /// Tells one to close: of those that said nothing for a while, else of those that stand idle, the one
    /// that does so longest. Clients with a connection for each of their requests need theirs.
    pub fn close_one_idle(&self) {
        let _told = close_first(&self.fresh, Some(SILENT)) || close_first(&self.idle, None);
    }
}

/// Connections that may be closed, in the order in which they came to be so, with what tells each.
type Row = RefCell<BTreeMap<u64, (Instant, Rc<Notify>)>>;

const SLOW: Duration = Duration::from_millis(500);
const SILENT: Duration = Duration::from_millis(250);

/// False when there is none, or none that has stood there for so long.
fn close_first(row: &Row, after: Option<Duration>) -> bool {
    let mut row = row.borrow_mut();
    let Some(first) = row.first_entry() else { return false };
    if after.is_some_and(|after| first.get().0.elapsed() < after) {
        return false;
    }
    first.remove().1.notify_one();
    true
}

/// One connection's place; leaving it makes room for another.
pub struct Place {
    crowd: Rc<Crowd>,
}

impl Place {
    pub fn idle(&self) -> Standing<'_> {
        self.stand(&self.crowd.idle)
    }

    pub fn fresh(&self) -> Standing<'_> {
        self.stand(&self.crowd.fresh)
    }

    pub fn slow(&self) -> Standing<'_> {
        self.stand(&self.crowd.slow)
    }

    fn stand<'a>(&'a self, row: &'a Row) -> Standing<'a> {
        let number = self.crowd.next.get();
        self.crowd.next.set(number + 1);
        let close = Rc::new(Notify::new());
        row.borrow_mut().insert(number, (Instant::now(), close.clone()));
        Standing { row, number, close }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.crowd.open.set(self.crowd.open.get() - 1);
        self.crowd.changed.notify_one();
    }
}

/// Stands in a row until it is dropped.
pub struct Standing<'a> {
    row: &'a Row,
    number: u64,
    close: Rc<Notify>,
}

impl Standing<'_> {
    pub async fn told_to_close(&self) {
        self.close.notified().await;
    }
}

impl Drop for Standing<'_> {
    fn drop(&mut self) {
        self.row.borrow_mut().remove(&self.number);
    }
}
