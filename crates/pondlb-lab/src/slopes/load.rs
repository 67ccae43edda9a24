//! An open load: requests leave at moments drawn ahead, whatever becomes of the answers, in turns through the
//! balancer and straight to an upstream.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hdrhistogram::Histogram;
use nanorand::{Rng, WyRand};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep_until, timeout};

use crate::fleet::Recorder;
use crate::http::HttpConnection;

const SEED: u64 = 38;
const DEADLINE: Duration = Duration::from_secs(1);
const LONGEST: Duration = Duration::from_secs(2);
const LONGEST_US: u64 = 10_000_000;

/// One way to an upstream.
pub struct Way {
    address: SocketAddr,
    class: String,
    idle: RefCell<Vec<HttpConnection>>,
    took: RefCell<Histogram<u64>>,
    failed: Cell<usize>,
}

/// What a way's answers took, in milliseconds from the moment when a request left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Latency {
    /// Requests answered.
    pub answered: u64,
    /// Requests that got no answer of 200.
    pub failed: usize,
    /// The median.
    pub p50: f64,
    /// 99 in 100 took no longer.
    pub p99: f64,
    /// The longest.
    pub most: f64,
}

impl Way {
    /// To this address, with requests of this class.
    ///
    /// # Errors
    /// No histogram can be made.
    pub fn new(address: SocketAddr, class: &str) -> io::Result<Rc<Way>> {
        let took = Histogram::new_with_bounds(1, LONGEST_US, 3).map_err(io::Error::other)?;
        let (idle, took, failed) = (RefCell::default(), RefCell::new(took), Cell::new(0));
        Ok(Rc::new(Way { address, class: class.into(), idle, took, failed }))
    }

    /// Forgets what was measured.
    pub fn reset(&self) {
        self.took.borrow_mut().reset();
        self.failed.set(0);
    }

    /// What was measured since.
    pub fn latency(&self) -> Latency {
        let took = self.took.borrow();
        let at = |quantile| took.value_at_quantile(quantile) as f64 / 1000.0;
        let (p50, p99, most) = (at(0.5), at(0.99), took.max() as f64 / 1000.0);
        Latency { answered: took.len(), failed: self.failed.get(), p50, p99, most }
    }

    /// Connections that stand idle.
    pub fn connections(&self) -> usize {
        self.idle.borrow().len()
    }

    async fn ask(self: Rc<Self>, book: Rc<Recorder>, id: String) {
        let sent = book.now_us();
        match timeout(LONGEST, self.exchange(&id)).await {
            Ok(Ok(200)) => self.took.borrow_mut().saturating_record(book.now_us().saturating_sub(sent)),
            _ => self.failed.set(self.failed.get() + 1),
        }
    }

    async fn exchange(&self, id: &str) -> io::Result<u16> {
        let kept = self.kept();
        let mut wire = match kept {
            Some(wire) => wire,
            None => HttpConnection::new(TcpStream::connect(self.address).await?),
        };
        let (class, deadline) = (&self.class, DEADLINE.as_millis());
        wire.write(&format!(
            "GET /api HTTP/1.1\r\nHost: lab\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nReq-Deadline: {deadline}m\r\nReq-Cost: 1000\r\n\r\n"
        ))
        .await?;
        let status = wire.read_response().await?.map_or(0, |answer| answer.status);
        self.idle.borrow_mut().push(wire);
        Ok(status)
    }

    fn kept(&self) -> Option<HttpConnection> {
        let mut idle = self.idle.borrow_mut();
        loop {
            let mut wire = idle.pop()?;
            if !wire.has_unread_data() {
                return Some(wire);
            }
        }
    }
}

/// Requests under way; dropping it sends no more.
pub struct Load(JoinHandle<()>);

impl Load {
    /// Sends so many a second on each of the ways until it is dropped. No other load may have its name: a balancer refuses
    /// an id that it knows.
    pub fn start(book: Rc<Recorder>, ways: Vec<Rc<Way>>, rate: f64, name: String) -> Load {
        Load(spawn_local(async move {
            let mut chance = WyRand::new_seed(SEED);
            let mut intended = book.now_us() as f64;
            for number in 0_u64.. {
                // Gaps between independent arrivals on all ways together.
                let drawn = 1.0 - chance.generate::<f64>();
                intended += -drawn.ln() * 1e6 / (rate * ways.len() as f64);
                sleep_until(book.instant_at(intended as u64)).await;
                book.ledgers.borrow_mut().lateness_us.push(book.now_us().saturating_sub(intended as u64));
                let way = ways[(number % ways.len() as u64) as usize].clone();
                spawn_local(way.ask(book.clone(), format!("{name}-{number}")));
            }
        }))
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.0.abort();
    }
}
