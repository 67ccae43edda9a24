//! One balancer between stand-ins, started as a real process, and what it spends over a while.

use std::cell::Cell;
use std::fs::{File, read_link};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::process::Child;
use tokio::time::{Instant, sleep, timeout};

use super::listing::Listing;
use super::load::{Latency, Load, Way};
use super::probe::{Process, Scheduled};
use super::stand_in::{Discovery, Traffic, Upstreams};
use crate::balancers::{Program, is_ready};
use crate::fleet::Book;
use crate::holding::held;
use crate::judge;

const NS: u64 = 1_000_000;
/// Addresses that all listed upstreams share.
const ADDRESSES: usize = 16;
/// Of the size of two years.
const BALANCERS: u32 = 1500;
/// What a balancer may use for control at that size; it is told so.
const MEMORY_MB: u64 = 256;
const READY_WITHIN: Duration = Duration::from_secs(10);
const READY_STEP: Duration = Duration::from_millis(5);
const HEALTH_WITHIN: Duration = Duration::from_secs(2);
/// A balancer uses as many upstreams as it has requests in some seconds; this is twice their half-life and more.
const CIRCLE_GROWS: Duration = Duration::from_secs(15);
/// Until the connections of a new load are up.
const WARM_UP: Duration = Duration::from_secs(2);
/// A little longer than a call to discovery waits for news.
const SETTLE: Duration = Duration::from_millis(1500);

/// Times say nothing of a balancer that waited for a processor for more than this part of the time that it ran.
const MOST_WAITED: f64 = 0.5;

/// Where a balancer has its first list from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum First {
    /// Its configuration holds the list.
    Known,
    /// Discovery tells it.
    Asked,
}

/// The size of what one balancer is given.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Entries in the list.
    pub upstreams: usize,
    /// Classes of requests.
    pub classes: usize,
    /// Tenants.
    pub tenants: usize,
}

impl Size {
    /// So many upstreams, one class, no tenants.
    pub fn of_upstreams(upstreams: usize) -> Size {
        Size { upstreams, classes: 1, tenants: 0 }
    }
}

/// What all measurements of one call share.
pub struct Bench {
    program: Program,
    folder: TempDir,
    /// The clock, and how late the laboratory was by it.
    pub book: Rc<Book>,
    /// Stand-ins for all upstreams that are listed.
    pub upstreams: Upstreams,
    /// How long one point is measured.
    pub span: Duration,
    share: f64,
    started: Cell<u32>,
    loads: Cell<u32>,
    /// What all balancers were given while they served.
    serving: Cell<Scheduled>,
}

/// A balancer and its discovery.
pub struct Running {
    /// The balancer.
    pub process: Process,
    /// Where clients reach it.
    pub address: SocketAddr,
    /// What it costs to get ready; none where it never did.
    pub start: Option<Start>,
    /// Bytes of its configuration.
    pub file_bytes: usize,
    log: PathBuf,
    /// Dropping it ends the balancer.
    child: Child,
}

/// What a balancer spent until it was ready.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// From its start on.
    pub took: Duration,
    /// On a processor.
    pub processor: Duration,
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
        self.scheduled.ran.as_secs_f64() * 1000.0 / self.span.as_secs_f64()
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
    /// The program is missing, or the machine has no port or folder to give.
    pub async fn open(program: Program, span: Duration, share: f64) -> io::Result<Bench> {
        let is_there = std::fs::metadata(&program.path);
        is_there.map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", program.path.display())))?;
        Ok(Bench {
            program,
            folder: tempfile::tempdir()?,
            book: Book::open(),
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
            format!(
                "while they served, balancers ran for {ran} ms and waited for a processor for {waited} ms"
            )
        };
        let late = judge::void(&self.book.ledgers.take());
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
        let number = self.started.replace(self.started.get() + 1);
        let file = |ending: &str| self.folder.path().join(format!("{number}.{ending}"));
        let (config, log) = (file("json"), file("log"));
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let text = configuration(number, address, discovery, size, first);
        std::fs::write(&config, &text)?;
        let begun = Instant::now();
        let child = self.spawn(&config, File::create(&log)?)?;
        let process = Process(child.id().ok_or_else(|| io::Error::other("the balancer ended at once"))?);
        let before = process.once_it_is_the_program().await;
        let mut running = Running { process, address, start: None, file_bytes: text.len(), log, child };
        running.wait_until_ready(begun, before).await?;
        Ok(running)
    }

    fn spawn(&self, config: &Path, log: File) -> io::Result<Child> {
        held(&self.program.path)?
            .args(&self.program.arguments)
            .env("RELAY_CONFIG", config)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
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

    fn load(&self, ways: Vec<Rc<Way>>, rate: f64) -> Load {
        let number = self.loads.replace(self.loads.get() + 1);
        Load::start(self.book.clone(), ways, rate, format!("load-{number}"))
    }

    /// Sends requests until the balancer uses as many upstreams as it will at this rate.
    ///
    /// # Errors
    /// No histogram can be made.
    pub async fn warm_up(&self, running: &Running, class: &str, rate: f64) -> io::Result<()> {
        let load = self.load(vec![Way::new(running.address, class)?], rate);
        sleep(CIRCLE_GROWS.min(3 * self.span)).await;
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
        self.serving.set(self.serving.get().and(&spent.scheduled));
        let connections = self.upstreams.open().saturating_sub(direct.connections());
        let descriptors = running.process.descriptors()?;
        drop(load);
        Ok(Served { spent, through: through.latency(), direct: direct.latency(), connections, descriptors })
    }

    /// Toggles one entry after another, so many a second, for the span of a measurement.
    pub async fn change(&self, discovery: &Discovery, upstreams: usize, rate: f64) {
        let count = (rate * self.span.as_secs_f64()).round() as usize;
        let begun = Instant::now();
        for number in 0..count {
            tokio::time::sleep_until(begun + Duration::from_secs_f64(number as f64 / rate)).await;
            // Each is toggled twice, or all would be leaving in the end.
            let entry = number / 2 % upstreams;
            discovery.push_changes(entry..entry + 1);
        }
    }

    /// Whether a caller of discovery says within so long that it has the newest list.
    pub async fn is_heard(&self, discovery: &Discovery, within: Duration) -> bool {
        let until = Instant::now() + within;
        while discovery.heard() < discovery.version() && Instant::now() < until {
            sleep(READY_STEP).await;
        }
        discovery.heard() >= discovery.version()
    }
}

impl Process {
    /// What it was given before it became the balancer: the laboratory's own program starts it. Nothing where it has ended.
    async fn once_it_is_the_program(self) -> Scheduled {
        let Ok(own) = std::env::current_exe() else { return Scheduled::default() };
        while read_link(format!("/proc/{}/exe", self.0)).is_ok_and(|program| program == own) {
            sleep(Duration::from_millis(1)).await;
        }
        self.scheduled().unwrap_or_default()
    }
}

impl Running {
    async fn wait_until_ready(&mut self, begun: Instant, before: Scheduled) -> io::Result<()> {
        while begun.elapsed() < READY_WITHIN {
            if let Some(status) = self.child.try_wait()? {
                let log = std::fs::read_to_string(&self.log).unwrap_or_default();
                let said = log.lines().last().unwrap_or_default();
                return Err(io::Error::other(format!(
                    "the balancer ended before it served, {status}: {said}"
                )));
            }
            if matches!(timeout(HEALTH_WITHIN, is_ready(self.address)).await, Ok(Ok(true))) {
                let processor = self.process.scheduled()?.since(&before).ran;
                self.start = Some(Start { took: begun.elapsed(), processor });
                return Ok(());
            }
            sleep(READY_STEP).await;
        }
        Ok(())
    }

    /// What the log says in its last line.
    pub fn last_line(&self) -> String {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().last().unwrap_or_default().to_string()
    }

    /// Ends the balancer and waits for it.
    ///
    /// # Errors
    /// Its end can't be waited for.
    pub async fn end(mut self) -> io::Result<()> {
        self.child.kill().await
    }
}

/// What a balancer is told, in the platform's form.
fn configuration(number: u32, listen: SocketAddr, discovery: &Discovery, size: Size, first: First) -> String {
    let limits = json!({ "Cancelling": true, "ConnIdleNs": 15_000 * NS, "DialTimeoutNs": 250 * NS,
        "MaxOpen": 20_000, "MaxPostings": 3, "MaxRetryAfterNs": 2000 * NS, "RetryAfter": true,
        "SecondCopies": true, "Probing": false });
    let rules = json!({ "ColdShare": 0.3, "DrainGraceNs": 500 * NS, "FallMultiple": 4.0, "FallNs": 2000 * NS,
        "MustAskInNs": 10_000 * NS, "WarmWithinNs": 5000 * NS });
    let class = |number: usize| {
        json!({ "Name": class_name(number), "Effect": "idempotent", "Value": 1.0, "SlaTimeNs": 500 * NS,
            "ExpiryNs": 1000 * NS })
    };
    let tenant = |number: usize| json!({ "Name": format!("t{number:05}"), "QuotaRps": 2.5 });
    let classes: Vec<Value> = (0..size.classes).map(class).collect();
    let tenants: Vec<Value> = (0..size.tenants).map(tenant).collect();
    let settings = json!({ "Balancers": BALANCERS, "SelfIndex": number % BALANCERS, "MyZone": 0,
        "Zones": Listing::zones(), "MachineTypes": ["m"], "Discovery": "push", "ExcessValue": 1.0,
        "Reporting": { "Fields": ["rif", "q"] }, "Limits": limits, "Rules": rules, "Schemes": classes,
        "Realms": tenants });
    let mut text = json!({ "name": format!("slopes-{number}"), "listen": listen.to_string(),
        "discovery": discovery.address.to_string(), "seed": format!("{:x}", number + 1),
        "limits": { "memory_mb": MEMORY_MB }, "settings": settings })
    .to_string();
    if first == First::Known {
        // As it is, since a list of this length would else be read only to be written again.
        text.truncate(text.len() - 1);
        text += &format!(r#","known":{}}}"#, discovery.known());
    }
    text
}

/// The name of a class.
pub fn class_name(number: usize) -> String {
    format!("c{number:04}")
}
