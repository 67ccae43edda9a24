//! One balancer between stand-ins, and what it spends over a while.

use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use tempfile::TempDir;
use tokio::time::{Instant, sleep};

use super::configuration::{First, Size, configuration};
use super::listing::Listing;
use super::load::{Latency, Load, Way};
use super::pace::Pace;
use super::probe::Scheduled;
use super::running::Running;
use super::stand_in::{Discovery, Traffic, Upstreams};
use crate::balancers::Program;
use crate::fleet::Recorder;
use crate::judge;

/// Addresses that all listed upstreams share.
const ADDRESSES: usize = 16;
const HEARD_STEP: Duration = Duration::from_millis(5);
/// A balancer uses as many upstreams as it has requests in some seconds; this is twice their half-life and more.
const SUBSET_GROWS: Duration = Duration::from_secs(15);
/// Until the connections of a new load are up.
const WARM_UP: Duration = Duration::from_secs(2);
/// A little longer than a call to discovery waits for news.
const SETTLE: Duration = Duration::from_millis(1500);

/// Times say nothing of a program that waited for a processor for more than this part of the time that it ran.
const MOST_WAITED: f64 = 0.5;

/// What all measurements of one call share.
pub struct Bench {
    /// The balancer.
    pub program: Program,
    folder: TempDir,
    /// The clock, and how late the laboratory was by it.
    pub book: Rc<Recorder>,
    /// Stand-ins for all upstreams that are listed.
    pub upstreams: Upstreams,
    /// How long one point is measured.
    pub span: Duration,
    share: f64,
    started: Cell<u32>,
    loads: Cell<u32>,
    /// What all measured programs were given while they served.
    serving: Cell<Scheduled>,
}

/// What was spent over a while.
#[derive(Clone, Copy, Debug)]
pub struct Spent {
    /// How long it was.
    pub span: Duration,
    /// The balancer's processor time.
    pub scheduled: Scheduled,
    /// Calls to discovery and their bytes.
    pub traffic: Traffic,
}

impl Spent {
    /// Processor time in milliseconds for each second.
    pub fn processor_ms_per_second(&self) -> f64 {
        self.scheduled.ran_ms() / self.span.as_secs_f64()
    }
}

/// What was seen of a balancer under load.
#[derive(Clone, Copy, Debug)]
pub struct Served {
    /// What it spent.
    pub spent: Spent,
    /// Through the balancer.
    pub through: Latency,
    /// Straight to an upstream, in the same while.
    pub direct: Latency,
    /// Connections that the upstreams held at the end, the direct ones left out.
    pub connections: usize,
    /// Descriptors that the balancer had open.
    pub descriptors: usize,
}

impl Bench {
    /// Stand-ins listen; no balancer runs yet.
    ///
    /// # Errors
    /// The machine has no port or folder to give.
    pub async fn open(program: Program, span: Duration, share: f64) -> io::Result<Bench> {
        Ok(Bench {
            program,
            folder: tempfile::tempdir()?,
            book: Recorder::new(),
            upstreams: Upstreams::start(ADDRESSES).await?,
            span,
            share,
            started: Cell::new(0),
            loads: Cell::new(0),
            serving: Cell::default(),
        })
    }

    /// Why the times measured since the last call say nothing, if they do not.
    pub fn void(&self) -> Option<String> {
        let Scheduled { ran, waited } = self.serving.take();
        let busy = || {
            let (ran, waited) = (ran.as_millis(), waited.as_millis());
            format!("while they served, programs ran for {ran} ms and waited for a processor for {waited} ms")
        };
        let late = judge::void_reason(&self.book.ledgers.take());
        late.or_else(|| (waited.as_secs_f64() > MOST_WAITED * ran.as_secs_f64()).then(busy))
    }

    /// A size as it is played: the asked share of it.
    pub fn scaled(&self, size: usize) -> usize {
        ((size as f64 * self.share).round() as usize).max(1)
    }

    /// Discovery with a list of so many upstreams.
    ///
    /// # Errors
    /// No port is free.
    pub async fn discovery(&self, upstreams: usize) -> io::Result<Discovery> {
        Discovery::start(Listing::new(self.upstreams.addresses.clone(), upstreams)).await
    }

    /// Starts a balancer and waits until it is ready.
    ///
    /// # Errors
    /// It can't be started, or ends by itself.
    pub async fn start(&self, discovery: &Discovery, size: Size, first: First) -> io::Result<Running> {
        let text = |number, listen| configuration(number, listen, discovery, size, first);
        self.start_program(&self.program, text).await
    }

    /// Starts a program with the configuration for its number and address, and waits until it is ready.
    ///
    /// # Errors
    /// It can't be started, or ends by itself.
    pub async fn start_program(
        &self,
        program: &Program,
        configuration: impl FnOnce(u32, SocketAddr) -> String,
    ) -> io::Result<Running> {
        let number = self.started.replace(self.started.get() + 1);
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        Running::start(program, self.folder.path(), number, address, &configuration(number, address)).await
    }

    /// Counts what a measured program was given while it served.
    pub fn note_serving(&self, scheduled: &Scheduled) {
        self.serving.set(self.serving.get().and(scheduled));
    }

    /// What a balancer spends in the span of a measurement, and in so long before it nothing is counted.
    ///
    /// # Errors
    /// The balancer has ended.
    pub async fn spend(&self, running: &Running, discovery: &Discovery) -> io::Result<Spent> {
        self.spend_beside(running, discovery, async {}).await
    }

    /// As [`Bench::spend`], while something else goes on that may end sooner or later.
    ///
    /// # Errors
    /// The balancer has ended.
    pub async fn spend_beside(
        &self,
        running: &Running,
        discovery: &Discovery,
        other: impl Future<Output = ()>,
    ) -> io::Result<Spent> {
        let (begun, before) = (Instant::now(), running.process.scheduled()?);
        let traffic = discovery.traffic();
        tokio::join!(sleep(self.span), other);
        let scheduled = running.process.scheduled()?.since(&before);
        Ok(Spent { span: begun.elapsed(), scheduled, traffic: discovery.traffic().since(&traffic) })
    }

    /// Nothing to do until what came with the start is over.
    pub async fn settle(&self) {
        sleep(SETTLE.min(self.span)).await;
    }

    /// Sends so many requests a second on each of the ways until it is dropped.
    pub fn load(&self, ways: Vec<Rc<Way>>, rate: f64) -> Load {
        let number = self.loads.replace(self.loads.get() + 1);
        Load::start(self.book.clone(), ways, rate, format!("load-{number}"))
    }

    /// Waits until a balancer under load uses as many upstreams as it will.
    pub async fn grow(&self) {
        sleep(SUBSET_GROWS.min(3 * self.span)).await;
    }

    /// Sends requests until the balancer uses as many upstreams as it will at this rate.
    ///
    /// # Errors
    /// No histogram can be made.
    pub async fn warm_up(&self, running: &Running, class: &str, rate: f64) -> io::Result<()> {
        let load = self.load(vec![Way::new(running.address, class)?], rate);
        self.grow().await;
        drop(load);
        Ok(())
    }

    /// Sends so many requests a second through the balancer and as many straight to an upstream, while something else
    /// goes on.
    ///
    /// # Errors
    /// The balancer has ended.
    pub async fn serve(
        &self,
        running: &Running,
        discovery: &Discovery,
        class: &str,
        rate: f64,
        other: impl Future<Output = ()>,
    ) -> io::Result<Served> {
        let through = Way::new(running.address, class)?;
        let direct = Way::new(self.upstreams.addresses[0], class)?;
        let load = self.load(vec![through.clone(), direct.clone()], rate);
        sleep(WARM_UP.min(self.span)).await;
        through.reset();
        direct.reset();
        let spent = self.spend_beside(running, discovery, other).await?;
        self.note_serving(&spent.scheduled);
        let connections = self.upstreams.open().saturating_sub(direct.connections());
        let descriptors = running.process.descriptors()?;
        drop(load);
        Ok(Served { spent, through: through.latency(), direct: direct.latency(), connections, descriptors })
    }

    /// Toggles one entry after another, so many a second and one at least, for the span of a measurement.
    pub async fn change(&self, discovery: &Discovery, upstreams: usize, rate: f64) {
        let mut pace = Pace::at_rate(rate, self.span);
        while let Some(number) = pace.next().await {
            // Each is toggled twice, or all would be leaving in the end.
            let entry = number as usize / 2 % upstreams;
            discovery.push_changes(entry..entry + 1);
        }
    }

    /// Whether a caller of discovery says within so long that it has the newest list.
    pub async fn is_heard(&self, discovery: &Discovery, within: Duration) -> bool {
        let until = Instant::now() + within;
        while discovery.heard() < discovery.version() && Instant::now() < until {
            sleep(HEARD_STEP).await;
        }
        discovery.heard() >= discovery.version()
    }
}
