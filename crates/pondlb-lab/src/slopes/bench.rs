//! Runs balancers between stubs of discovery and upstreams, and measures what they use over a span of time.

use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use tempfile::TempDir;
use tokio::time::{Instant, sleep};

use super::balancer_process::BalancerProcess;
use super::configuration::{ConfigurationSize, InitialList, balancer_configuration};
use super::load_generator::{Latency, LoadGenerator, LoadTarget};
use super::pacer::Pacer;
use super::process_stats::ProcessorTime;
use super::stubs::{DiscoveryStub, Traffic, UpstreamStubs};
use super::upstream_list::UpstreamList;
use crate::balancers::Program;
use crate::fleet::Recorder;
use crate::judge;

/// Number of addresses that all listed upstreams share.
const UPSTREAM_ADDRESSES: usize = 16;
/// Time between two checks whether a balancer has confirmed a version of the list.
const CONFIRMATION_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time for the number of upstreams in use to settle under a new load. A balancer uses as many upstreams as it has
/// requests within some seconds, counted with decay; this is more than twice the half-life of that count.
const SUBSET_GROWTH_TIME: Duration = Duration::from_secs(15);
/// Time for the connections of a new load to be opened.
const CONNECTION_WARM_UP_TIME: Duration = Duration::from_secs(2);
/// Time after the start of a balancer before its idle usage is measured, a little longer than a call to discovery is
/// held without changes.
const SETTLE_TIME: Duration = Duration::from_millis(1500);

/// Measured times are void if the programs waited for a processor for longer than this share of the time that they ran
/// on one.
const MAX_WAIT_SHARE: f64 = 0.5;

/// The environment that all measurements of a run share.
pub struct Bench {
    /// The balancer program.
    pub program: Program,
    /// Holds the configuration files and logs of the balancers.
    folder: TempDir,
    /// The clock of the load generators, and a record of how late the laboratory's own timers fired.
    pub recorder: Rc<Recorder>,
    /// Stubs for all listed upstreams.
    pub upstreams: UpstreamStubs,
    /// How long one point is measured.
    pub span: Duration,
    /// Factor by which sizes are scaled down.
    share: f64,
    /// Number of balancers started so far, the number of the next one.
    started_balancers: Cell<u32>,
    /// Number of loads started so far, the number of the next one.
    started_loads: Cell<u32>,
    /// Processor time of all measured programs under load, since the last call of `take_void_reason`.
    serving_time: Cell<ProcessorTime>,
}

/// What a balancer used over a span of time.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Length of the span.
    pub span: Duration,
    /// Processor time of the balancer.
    pub processor_time: ProcessorTime,
    /// Calls of all balancers to discovery, and their bytes.
    pub traffic: Traffic,
}

impl Usage {
    /// Processor time, in milliseconds per second.
    pub fn processor_ms_per_second(&self) -> f64 {
        self.processor_time.on_cpu_ms() / self.span.as_secs_f64()
    }
}

/// Usage and latencies of a balancer under load.
#[derive(Clone, Copy, Debug)]
pub struct LoadMeasurement {
    /// What the balancer used.
    pub usage: Usage,
    /// Latencies of responses through the balancer.
    pub balancer_latency: Latency,
    /// Latencies of responses from an upstream directly, in the same span.
    pub direct_latency: Latency,
    /// Open connections of the upstreams at the end, without those of the direct load.
    pub upstream_connections: usize,
    /// Open file descriptors of the balancer at the end.
    pub descriptors: usize,
}

impl Bench {
    /// Starts the stubs of the upstreams. No balancer runs yet.
    ///
    /// # Errors
    /// No port can be bound, or no temporary directory can be created.
    pub async fn open(program: Program, span: Duration, share: f64) -> io::Result<Bench> {
        Ok(Bench {
            program,
            folder: tempfile::tempdir()?,
            recorder: Recorder::new(),
            upstreams: UpstreamStubs::start(UPSTREAM_ADDRESSES).await?,
            span,
            share,
            started_balancers: Cell::new(0),
            started_loads: Cell::new(0),
            serving_time: Cell::default(),
        })
    }

    /// Why the times measured since the last call are not meaningful; none if they are.
    pub fn take_void_reason(&self) -> Option<String> {
        let ProcessorTime { on_cpu, run_queue_wait } = self.serving_time.take();
        let busy = || {
            let (ran, waited) = (on_cpu.as_millis(), run_queue_wait.as_millis());
            format!("while they served, programs ran for {ran} ms and waited for a processor for {waited} ms")
        };
        let late = judge::void_reason(&self.recorder.ledgers.take());
        late.or_else(|| (run_queue_wait.as_secs_f64() > MAX_WAIT_SHARE * on_cpu.as_secs_f64()).then(busy))
    }

    /// A size multiplied by the share that was asked for, at least 1.
    pub fn scaled(&self, size: usize) -> usize {
        ((size as f64 * self.share).round() as usize).max(1)
    }

    /// Starts a discovery stub with a list of this many upstreams.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start_discovery(&self, upstreams: usize) -> io::Result<DiscoveryStub> {
        DiscoveryStub::start(UpstreamList::new(self.upstreams.addresses.clone(), upstreams)).await
    }

    /// Starts a balancer and waits until it is ready.
    ///
    /// # Errors
    /// The process can't be started or exits on its own.
    pub async fn start_balancer(
        &self,
        discovery: &DiscoveryStub,
        size: ConfigurationSize,
        initial_list: InitialList,
    ) -> io::Result<BalancerProcess> {
        let configuration =
            |number, listen| balancer_configuration(number, listen, discovery, size, initial_list);
        self.start_program(&self.program, configuration).await
    }

    /// Starts a program with the configuration that the function returns for its number and address, and waits until it
    /// is ready.
    ///
    /// # Errors
    /// The process can't be started or exits on its own.
    pub async fn start_program(
        &self,
        program: &Program,
        configuration: impl FnOnce(u32, SocketAddr) -> String,
    ) -> io::Result<BalancerProcess> {
        let number = self.started_balancers.replace(self.started_balancers.get() + 1);
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        BalancerProcess::start(program, self.folder.path(), number, address, &configuration(number, address))
            .await
    }

    /// Adds the processor time of a measured program under load to the check of [`Bench::take_void_reason`].
    pub fn record_serving_time(&self, processor_time: &ProcessorTime) {
        self.serving_time.set(self.serving_time.get().plus(processor_time));
    }

    /// Measures what a balancer uses over the measuring span, with the traffic of all balancers to discovery.
    ///
    /// # Errors
    /// The balancer has ended.
    pub async fn measure_usage(
        &self,
        balancer: &BalancerProcess,
        discovery: &DiscoveryStub,
    ) -> io::Result<Usage> {
        self.measure_usage_during(balancer, discovery, async {}).await
    }

    /// Like [`Bench::measure_usage`], while `activity` runs. The span lasts until `activity` has ended, and at least
    /// for the measuring span.
    ///
    /// # Errors
    /// The balancer has ended.
    pub async fn measure_usage_during(
        &self,
        balancer: &BalancerProcess,
        discovery: &DiscoveryStub,
        activity: impl Future<Output = ()>,
    ) -> io::Result<Usage> {
        let (start, before) = (Instant::now(), balancer.process.processor_time()?);
        let traffic = discovery.traffic();
        tokio::join!(sleep(self.span), activity);
        let processor_time = balancer.process.processor_time()?.since(&before);
        Ok(Usage { span: start.elapsed(), processor_time, traffic: discovery.traffic().since(&traffic) })
    }

    /// Waits until the work that follows the start of a balancer is done.
    pub async fn settle(&self) {
        sleep(SETTLE_TIME.min(self.span)).await;
    }

    /// Sends `rate` requests per second to each target until the generator is dropped.
    pub fn start_load(&self, targets: Vec<Rc<LoadTarget>>, rate: f64) -> LoadGenerator {
        let number = self.started_loads.replace(self.started_loads.get() + 1);
        LoadGenerator::start(self.recorder.clone(), targets, rate, format!("load-{number}"))
    }

    /// Waits until the number of upstreams that a balancer uses under the current load has settled.
    pub async fn wait_for_subset_growth(&self) {
        sleep(SUBSET_GROWTH_TIME.min(3 * self.span)).await;
    }

    /// Sends requests until the number of upstreams that the balancer uses at this rate has settled.
    ///
    /// # Errors
    /// The histogram can't be created.
    pub async fn warm_up(&self, balancer: &BalancerProcess, class: &str, rate: f64) -> io::Result<()> {
        let load = self.start_load(vec![LoadTarget::new(balancer.address, class)?], rate);
        self.wait_for_subset_growth().await;
        drop(load);
        Ok(())
    }

    /// Measures a balancer while `activity` runs, under `rate` requests per second through the balancer and as many
    /// directly to an upstream.
    ///
    /// # Errors
    /// The balancer has ended.
    pub async fn measure_under_load(
        &self,
        balancer: &BalancerProcess,
        discovery: &DiscoveryStub,
        class: &str,
        rate: f64,
        activity: impl Future<Output = ()>,
    ) -> io::Result<LoadMeasurement> {
        let balancer_target = LoadTarget::new(balancer.address, class)?;
        let direct_target = LoadTarget::new(self.upstreams.addresses[0], class)?;
        let load = self.start_load(vec![balancer_target.clone(), direct_target.clone()], rate);
        sleep(CONNECTION_WARM_UP_TIME.min(self.span)).await;
        balancer_target.reset();
        direct_target.reset();
        let usage = self.measure_usage_during(balancer, discovery, activity).await?;
        self.record_serving_time(&usage.processor_time);
        let upstream_connections =
            self.upstreams.open_connections().saturating_sub(direct_target.idle_connection_count());
        let descriptors = balancer.process.descriptors()?;
        drop(load);
        Ok(LoadMeasurement {
            usage,
            balancer_latency: balancer_target.latency(),
            direct_latency: direct_target.latency(),
            upstream_connections,
            descriptors,
        })
    }

    /// Toggles one entry after the other for the measuring span, `rate` times a second and at least once.
    pub async fn push_changes_at_rate(&self, discovery: &DiscoveryStub, upstreams: usize, rate: f64) {
        let mut pacer = Pacer::at_rate(rate, self.span);
        while let Some(number) = pacer.next_tick().await {
            // Each entry is toggled twice in a row; otherwise all of them would end up leaving.
            let entry = number as usize / 2 % upstreams;
            discovery.push_changes(entry..entry + 1);
        }
    }

    /// Waits until a caller has confirmed the current version of discovery's list, and returns whether that happened
    /// within the timeout.
    pub async fn wait_until_confirmed(&self, discovery: &DiscoveryStub, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while discovery.confirmed_version() < discovery.version() && Instant::now() < deadline {
            sleep(CONFIRMATION_POLL_INTERVAL).await;
        }
        discovery.confirmed_version() >= discovery.version()
    }
}
