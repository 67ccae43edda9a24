//! Connections to upstreams, kept for the next attempt.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pondlb::UpstreamId;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout_at};

use super::stream::{Waiting, waiting};

/// The connections to upstreams: at most so many, and those that stand idle for the next attempt.
pub struct Pool {
    most: usize,
    open: Cell<usize>,
    idle: RefCell<HashMap<UpstreamId, VecDeque<Kept>>>,
    /// Idle ones are retired after this, well before their upstream closes them: an attempt written to one
    /// that is being closed may or may not have run.
    retire: Cell<Duration>,
    connect_within: Cell<Duration>,
}

pub struct Link {
    pub stream: TcpStream,
    address: SocketAddr,
    _place: Place,
}

struct Kept {
    link: Link,
    since: Instant,
}

/// Why there is no connection; nothing has been written in any case.
#[derive(Debug)]
pub enum NoLink {
    Budget,
    Failed,
    TimedOut,
}

/// How long a connection rests after an answer. An upstream that answers twice does so some milliseconds apart; what
/// comes while it rests ends it.
const REST: Duration = Duration::from_millis(10);
const SWEEP: Duration = Duration::from_millis(250);

impl Pool {
    pub fn new(most: usize, retire: Duration, connect_within: Duration) -> Rc<Self> {
        let (open, idle) = (Cell::new(0), RefCell::default());
        let (retire, connect_within) = (Cell::new(retire), Cell::new(connect_within));
        Rc::new(Pool { most, open, idle, retire, connect_within })
    }

    /// For connections that are kept or made from now on, and for those that stand idle.
    pub fn set_limits(&self, retire: Duration, connect_within: Duration) {
        self.retire.set(retire);
        self.connect_within.set(connect_within);
    }

    /// A connection that nothing is under way on: one kept, if it still stands, or a new one.
    pub async fn take(
        self: &Rc<Self>,
        upstream: &UpstreamId,
        address: SocketAddr,
        until: Instant,
    ) -> Result<Link, NoLink> {
        while let Some(kept) = self.take_kept(upstream) {
            if kept.link.address == address
                && kept.since.elapsed() < self.retire.get()
                && waiting(&kept.link.stream) == Waiting::Nothing
            {
                return Ok(kept.link);
            }
        }
        if self.open.get() >= self.most {
            self.close_longest_idle();
        }
        if self.open.get() >= self.most {
            return Err(NoLink::Budget);
        }
        let place = Place::enter(self);
        let until = until.min(Instant::now() + self.connect_within.get());
        match timeout_at(until, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                let _unset = stream.set_nodelay(true);
                Ok(Link { stream, address, _place: place })
            }
            Ok(Err(_)) => Err(NoLink::Failed),
            Err(_) => Err(NoLink::TimedOut),
        }
    }

    /// For the next attempt to the upstream.
    pub fn keep(self: &Rc<Self>, upstream: UpstreamId, link: Link) {
        let kept = Kept { link, since: Instant::now() };
        self.idle.borrow_mut().entry(upstream).or_default().push_back(kept);
    }

    pub fn close_idle(&self, upstream: &str) {
        let closed = self.idle.borrow_mut().remove(upstream);
        drop(closed);
    }

    /// The one used last is taken first, so that the others fall idle long enough to be retired; but not so soon that
    /// more of its last answer may still come and pass for the next.
    fn take_kept(&self, upstream: &UpstreamId) -> Option<Kept> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(upstream)?;
        let rested = kept.iter().rposition(|kept| kept.since.elapsed() >= REST)?;
        kept.remove(rested)
    }

    fn close_longest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let longest = idle.values_mut().filter(|kept| !kept.is_empty()).min_by_key(|kept| kept[0].since);
        let closed = longest.and_then(VecDeque::pop_front);
        drop(idle);
        drop(closed);
    }

    /// Closes in time what nobody takes.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            sleep(SWEEP).await;
            let mut idle = self.idle.borrow_mut();
            for kept in idle.values_mut() {
                kept.retain(|k| {
                    k.since.elapsed() + SWEEP < self.retire.get()
                        && waiting(&k.link.stream) == Waiting::Nothing
                });
            }
            idle.retain(|_, kept| !kept.is_empty());
        }
    }
}

/// A place in the budget, from before the connection is made until it is closed.
struct Place(Rc<Pool>);

impl Place {
    fn enter(pool: &Rc<Pool>) -> Self {
        pool.open.set(pool.open.get() + 1);
        Place(pool.clone())
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}
