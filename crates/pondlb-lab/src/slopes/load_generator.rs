//! An open-loop load generator: requests are sent at random times that do not depend on the responses, to each of
//! several targets in turn, such as a balancer and an upstream directly.

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

/// Seed of the random times between requests.
const ARRIVAL_SEED: u64 = 38;
/// The deadline that each request carries.
const REQUEST_DEADLINE: Duration = Duration::from_secs(1);
/// A request without a response by then counts as failed.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longer latencies are recorded as this one, in microseconds.
const MAX_RECORDED_LATENCY_US: u64 = 10_000_000;

/// A receiver of requests, either a balancer or an upstream, with the latencies of its responses.
pub struct LoadTarget {
    address: SocketAddr,
    /// The class that each request carries.
    class: String,
    idle_connections: RefCell<Vec<HttpConnection>>,
    /// Latencies of responses with status 200, in microseconds.
    latencies_us: RefCell<Histogram<u64>>,
    /// Requests without a response with status 200.
    failed: Cell<usize>,
}

/// Latencies of the responses of a target, from the moment when the request is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Latency {
    /// Number of requests answered with status 200.
    pub answered: u64,
    /// Number of requests that were not answered with status 200.
    pub failed: usize,
    /// Median latency, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// Longest latency, in milliseconds.
    pub max_ms: f64,
}

impl LoadTarget {
    /// A target at this address, for requests of this class.
    ///
    /// # Errors
    /// The histogram can't be created.
    pub fn new(address: SocketAddr, class: &str) -> io::Result<Rc<LoadTarget>> {
        let histogram =
            Histogram::new_with_bounds(1, MAX_RECORDED_LATENCY_US, 3).map_err(io::Error::other)?;
        Ok(Rc::new(LoadTarget {
            address,
            class: class.into(),
            idle_connections: RefCell::default(),
            latencies_us: RefCell::new(histogram),
            failed: Cell::new(0),
        }))
    }

    /// Discards all latencies and failures so far.
    pub fn reset(&self) {
        self.latencies_us.borrow_mut().reset();
        self.failed.set(0);
    }

    /// The latencies since the last reset.
    pub fn latency(&self) -> Latency {
        let latencies_us = self.latencies_us.borrow();
        let quantile_ms = |quantile| latencies_us.value_at_quantile(quantile) as f64 / 1000.0;
        Latency {
            answered: latencies_us.len(),
            failed: self.failed.get(),
            p50_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
            max_ms: latencies_us.max() as f64 / 1000.0,
        }
    }

    /// Number of idle connections that are kept for reuse.
    pub fn idle_connection_count(&self) -> usize {
        self.idle_connections.borrow().len()
    }

    /// Sends one request and records its latency or failure.
    async fn send_request(self: Rc<Self>, recorder: Rc<Recorder>, id: String) {
        let sent_us = recorder.now_us();
        match timeout(RESPONSE_TIMEOUT, self.exchange(&id)).await {
            Ok(Ok(200)) => {
                self.latencies_us.borrow_mut().saturating_record(recorder.now_us().saturating_sub(sent_us))
            }
            _ => self.failed.set(self.failed.get() + 1),
        }
    }

    /// Sends a request on an idle or new connection and returns the status of the response, 0 if the connection was
    /// closed without one.
    async fn exchange(&self, id: &str) -> io::Result<u16> {
        let idle_connection = self.take_idle_connection();
        let mut connection = match idle_connection {
            Some(connection) => connection,
            None => HttpConnection::new(TcpStream::connect(self.address).await?),
        };
        let (class, deadline) = (&self.class, REQUEST_DEADLINE.as_millis());
        connection.write(&format!(
            "GET /api HTTP/1.1\r\nHost: lab\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nReq-Deadline: {deadline}m\r\nReq-Cost: 1000\r\n\r\n"
        ))
        .await?;
        let status = connection.read_response().await?.map_or(0, |response| response.status);
        self.idle_connections.borrow_mut().push(connection);
        Ok(status)
    }

    /// Takes an idle connection. One with unread data is dropped, because that data would be taken for the response to
    /// the next request.
    fn take_idle_connection(&self) -> Option<HttpConnection> {
        let mut idle = self.idle_connections.borrow_mut();
        loop {
            let mut connection = idle.pop()?;
            if !connection.has_unread_data() {
                return Some(connection);
            }
        }
    }
}

/// A task that sends requests. Dropping it stops sending; requests under way are completed.
pub struct LoadGenerator(JoinHandle<()>);

impl LoadGenerator {
    /// Sends `rate` requests per second to each target until it is dropped. The name becomes part of the request ids
    /// and must be unique, because a balancer rejects an id that it already knows.
    pub fn start(
        recorder: Rc<Recorder>,
        targets: Vec<Rc<LoadTarget>>,
        rate: f64,
        name: String,
    ) -> LoadGenerator {
        LoadGenerator(spawn_local(async move {
            let mut random = WyRand::new_seed(ARRIVAL_SEED);
            let mut intended_us = recorder.now_us() as f64;
            for number in 0_u64.. {
                // Exponential gaps between the arrivals of a Poisson process over all targets together.
                let uniform = 1.0 - random.generate::<f64>();
                intended_us += -uniform.ln() * 1e6 / (rate * targets.len() as f64);
                sleep_until(recorder.instant_at(intended_us as u64)).await;
                recorder
                    .ledgers
                    .borrow_mut()
                    .lateness_us
                    .push(recorder.now_us().saturating_sub(intended_us as u64));
                let target = targets[(number % targets.len() as u64) as usize].clone();
                spawn_local(target.send_request(recorder.clone(), format!("{name}-{number}")));
            }
        }))
    }
}

impl Drop for LoadGenerator {
    fn drop(&mut self) {
        self.0.abort();
    }
}
