//! The main loop: starts the parts of the program, and hands their events to the router until the shutdown is complete.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pondlb::{Balancer, ListSource, TenthMillis};
use pondlb_control::Change;
use pondlb_control_net::FollowerStatus;
use pondlb_terms::{ConfigError, ConnectionLimits, SettingChange};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

use super::live_settings::{LiveSettings, overload_retry_after};
use super::setup::{Setup, StartupSettings};
use crate::protocol::client::ClassIndexes;
use crate::protocol::control::setting_change;
use crate::protocol::discovery::UpstreamList;
use crate::routing::{Metrics, RequestIds, Router, RouterEvent, UpstreamDirectory};
use crate::transport::{
    Backoff, CallTimeouts, Clock, ConnectionTable, ControlFollower, DiscoveryCommand, Frontend, ListLimit,
    OutboundTransport, Phase, SettingsUpdate, UpstreamPool, accept_connections, follow_control_servers,
    follow_discovery, tenth_millis_to_duration,
};

/// When the steps of a graceful shutdown happen, each counted from the signal.
///
/// A planned restart kills the process some time after the signal: the longest deadline of a request, 3 s at most, and
/// another 0.7 s.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ShutdownTimeline {
    /// When the phase changes from [`Phase::Leaving`] to [`Phase::Closing`]. Until then everything is served: clients
    /// use their connections for as long as these stay open, and the other balancers may be restarting too.
    closing_after: Duration,
    /// When all requests must be answered. A request may have more time left than the process, and its answer would be
    /// lost with the kill.
    answers_due_after: TenthMillis,
    /// When the process exits even if a client is still sending a request.
    exit_after: Duration,
}

impl ShutdownTimeline {
    /// `max_deadline` is the longest deadline of a request; `None` if a class has none.
    pub(super) fn new(max_deadline: Option<TenthMillis>) -> Self {
        let max_deadline = max_deadline.map(|deadline| deadline.min(MAX_RESTART_DEADLINE));
        let killed_after = max_deadline.unwrap_or(MAX_RESTART_DEADLINE) + KILL_DELAY;
        let answers_due_after = killed_after - ANSWERS_DUE_BEFORE_KILL;
        // Leaves the last requests enough time for a quick answer.
        let serve_until =
            max_deadline.map_or(0, |_| answers_due_after.saturating_sub(MIN_TIME_FOR_LAST_REQUESTS));
        let closing_after = serve_until.max(MIN_LEAVING_TIME.min(answers_due_after));
        ShutdownTimeline {
            closing_after: tenth_millis_to_duration(closing_after),
            answers_due_after,
            exit_after: tenth_millis_to_duration(killed_after - EXIT_BEFORE_KILL),
        }
    }
}

/// The longest deadline that a planned restart waits for.
const MAX_RESTART_DEADLINE: TenthMillis = 30_000;
/// How long after the deadline a planned restart kills the process.
const KILL_DELAY: TenthMillis = 7000;
/// How long before the kill all requests must be answered.
const ANSWERS_DUE_BEFORE_KILL: TenthMillis = 4000;
/// How long before the kill the process exits.
const EXIT_BEFORE_KILL: TenthMillis = 2000;
/// How much time a request that arrives last has until its answer is due.
const MIN_TIME_FOR_LAST_REQUESTS: TenthMillis = 4000;
/// How long connections are accepted after the signal. Clients open new ones for up to 0.4 s after it.
const MIN_LEAVING_TIME: TenthMillis = 6000;
/// Limits on connections are enforced this much later than the settings say.
const CONNECTION_LIMIT_MARGIN: TenthMillis = 500;
/// The time in which a dead process is replaced. A list that was made for a start may be that old.
const PROCESS_RESTART_TIME: TenthMillis = 15_000;
/// How long before its deadline a request must be answered. This allows for delays of the main loop and of the network
/// to the client.
const DEADLINE_MARGIN: TenthMillis = 50;
/// How many events the router handles in one step.
const MAX_EVENTS_PER_STEP: usize = 256;
/// After this time a new process reports that it is ready even if discovery has not confirmed its list.
const MAX_UNCONFIRMED_START: Duration = Duration::from_secs(5);
/// How often the counters are logged while they change.
const METRICS_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// A snapshot from control servers may take the memory limit divided by this, beside the memory for requests.
const SNAPSHOT_MEMORY_DIVISOR: usize = 4;

/// The running program: its phase, and the loop that hands all events to the router.
pub struct Service {
    phase: watch::Sender<Phase>,
    clock: Clock,
    router: Router<OutboundTransport>,
    router_rx: mpsc::UnboundedReceiver<RouterEvent>,
    /// Changes of settings from control servers; closed if none are followed.
    settings_rx: mpsc::UnboundedReceiver<SettingsUpdate>,
    /// Records from control servers that are not valid together with the current settings.
    refused_changes: Vec<Change>,
    control_status: Rc<FollowerStatus>,
    connections: Rc<ConnectionTable>,
    live_settings: LiveSettings,
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    /// What the program was started with; the address of discovery is the current one.
    startup_settings: StartupSettings,
    discovery_tx: mpsc::UnboundedSender<DiscoveryCommand>,
    started_at: Instant,
    /// When the signal to shut down arrived.
    shutdown_began_at: Option<Instant>,
    shutdown: ShutdownTimeline,
    last_metrics: LoggedMetrics,
}

/// The counters as they were logged last, and when that was checked.
struct LoggedMetrics {
    metrics: Metrics,
    at: Instant,
}

impl Service {
    /// Starts all parts of the program.
    ///
    /// # Errors
    /// If signals can't be handled or the address can't be listened on.
    pub fn start(setup: Setup) -> io::Result<Service> {
        let (terminate, interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        let hangup = signal(SignalKind::hangup())?;
        let startup_settings = setup.startup_settings();
        let listener = bind(setup.listen)
            .map_err(|error| io::Error::new(error.kind(), format!("listen: {}: {error}", setup.listen)))?;
        let address = listener.local_addr()?;
        let (mut balancer_config, connection_limits) =
            (setup.deployment.balancer_config, setup.deployment.connection_limits);
        let own_index = balancer_config.own_index;
        // Control servers push the list. Discovery pushes it only in the simulator.
        balancer_config.list_source = match balancer_config.list_source {
            _ if setup.control.is_some() => ListSource::Pushed,
            ListSource::Pushed => ListSource::LocalAgent,
            list_source => list_source,
        };
        let clock = Clock::start();
        let (phase, phase_rx) = watch::channel(Phase::Starting);
        let (router_tx, router_rx) = mpsc::unbounded_channel();
        let (discovery_tx, discovery_rx) = mpsc::unbounded_channel();
        let (settings_tx, settings_rx) = mpsc::unbounded_channel();
        let pool = UpstreamPool::new(
            setup.budget.upstream_connections,
            tenth_millis_to_duration(connection_limits.upstream_idle_timeout / 2),
            tenth_millis_to_duration(connect_timeout(&connection_limits)),
        );
        spawn_local(pool.clone().run_sweeper());
        let memory = setup.budget.memory;
        let connections = ConnectionTable::new(
            setup.budget.client_connections,
            connection_limits.max_open_requests as usize,
            memory,
        );
        let frontend = Rc::new(Frontend {
            connections: connections.clone(),
            classes: RefCell::new(class_indexes(&setup.deployment.names.classes)),
            overload_retry_after: Cell::new(overload_retry_after(balancer_config.max_retry_after)),
            router_tx: router_tx.clone(),
            phase: phase_rx,
            exchange_count: Cell::new(0),
        });
        spawn_local(accept_connections(listener, frontend.clone()));
        let live_settings = LiveSettings { settings: setup.settings, frontend, pool: pool.clone() };
        let directory = UpstreamDirectory::new(setup.deployment.names, clock.unix_epoch());
        let balancer = Balancer::new(balancer_config, setup.seed);
        if let Some(discovery) = setup.discovery {
            let limit =
                ListLimit { max_bytes: setup.budget.max_list_bytes, backoff: Backoff::new(setup.seed) };
            spawn_local(follow_discovery(
                discovery,
                setup.initial_list.version,
                CallTimeouts::new(),
                limit,
                clock,
                discovery_rx,
                router_tx.clone(),
            ));
        }
        let control_status = Rc::new(FollowerStatus::default());
        if let Some(control) = setup.control.clone() {
            let targets = &setup.initial_list.targets;
            let initial_upstreams = targets.iter().map(|target| target.upstream.clone()).collect();
            let follower = ControlFollower {
                name: setup.name.clone(),
                number: own_index.into(),
                seed: setup.seed,
                max_snapshot_bytes: memory.max_bytes / SNAPSHOT_MEMORY_DIVISOR,
                settings_tx,
                status: control_status.clone(),
                initial_upstreams,
            };
            spawn_local(follow_control_servers(control, follower, router_tx.clone()));
        }
        let transport = OutboundTransport {
            pool,
            clock,
            memory,
            router_tx,
            discovery_tx: discovery_tx.clone(),
            probe: setup.probe,
        };
        let request_ids = RequestIds::new(setup.budget.max_request_ids);
        let mut router = Router::new(balancer, directory, transport, request_ids, DEADLINE_MARGIN);
        if setup.control.is_some() {
            router.await_first_snapshot();
        }
        let confirmed_at =
            setup.control.is_none().then(|| initial_list_confirmed_at(&setup.initial_list, clock.now()));
        router.restore_list(clock.now(), setup.initial_list, confirmed_at);
        log::info!("{} listens on {address}: {}", setup.name, setup.budget);
        Ok(Service {
            phase,
            clock,
            router,
            router_rx,
            settings_rx,
            refused_changes: Vec::new(),
            control_status,
            connections,
            live_settings,
            terminate,
            interrupt,
            hangup,
            startup_settings,
            discovery_tx,
            started_at: Instant::now(),
            shutdown_began_at: None,
            shutdown: ShutdownTimeline::new(connection_limits.max_deadline),
            last_metrics: LoggedMetrics { metrics: Metrics::default(), at: Instant::now() },
        })
    }

    /// Runs the main loop until a shutdown is complete.
    pub async fn run(mut self) -> io::Result<()> {
        let mut events = Vec::with_capacity(MAX_EVENTS_PER_STEP);
        while !self.is_over() {
            self.update_phase();
            let router_wakeup = self.router.next_wakeup().map(|at| self.clock.instant_of(at));
            let shutdown_wakeup = self.next_shutdown_step().filter(|at| *at > Instant::now());
            let next_wakeup = router_wakeup.into_iter().chain(shutdown_wakeup).min();
            let is_running = self.shutdown_began_at.is_none();
            tokio::select! {
                biased;
                _ = self.terminate.recv(), if is_running => self.begin_shutdown(),
                _ = self.interrupt.recv(), if is_running => self.begin_shutdown(),
                _ = self.hangup.recv() => self.reload_configuration(),
                Some(update) = self.settings_rx.recv() => self.apply_settings_update(update),
                _ = self.router_rx.recv_many(&mut events, MAX_EVENTS_PER_STEP) => {}
                () = self.connections.slot_freed.notified(), if self.is(Phase::Closing) => {}
                () = sleep_until(next_wakeup.unwrap_or_else(Instant::now)), if next_wakeup.is_some() => {}
            }
            self.router.handle_events(self.clock.now(), events.drain(..));
            if self.last_metrics.at.elapsed() >= METRICS_LOG_INTERVAL {
                self.log_metrics();
            }
        }
        self.log_metrics();
        log::info!("shutdown complete: no answers are due");
        Ok(())
    }

    /// When the shutdown enters its next step; `None` before a shutdown.
    fn next_shutdown_step(&self) -> Option<Instant> {
        let ShutdownTimeline { closing_after, exit_after, .. } = self.shutdown;
        let step_after = if self.is(Phase::Closing) { exit_after } else { closing_after };
        self.shutdown_began_at.map(|began_at| began_at + step_after)
    }

    /// Logs the counters if they have changed since they were logged last.
    fn log_metrics(&mut self) {
        let metrics = self.router.metrics();
        if *metrics != self.last_metrics.metrics {
            log::info!("metrics: {metrics}");
        }
        self.last_metrics = LoggedMetrics { metrics: metrics.clone(), at: Instant::now() };
    }

    /// Reads the configuration again and applies what can change while requests are open: the address of discovery and
    /// most of the settings. An invalid file must not end a program that serves, so it changes nothing.
    fn reload_configuration(&mut self) {
        let setup = match Setup::read(|name| std::env::var(name).ok()) {
            Ok(setup) => setup,
            Err(faults) => {
                let faults = faults.join("; ");
                return log::error!("configuration: {faults}; the previous configuration stays in force");
            }
        };
        let new = setup.startup_settings();
        for key in new.keys_changed_since(&self.startup_settings) {
            log::warn!("configuration: {key}: the change takes a restart");
        }
        self.handle_received_events();
        let (now, file) = (self.clock.now(), &setup.settings);
        if let Err(fault) = self.live_settings.apply_file(now, file, &mut self.router) {
            return log::error!("configuration: settings: {fault}; the previous settings stay in force");
        }
        self.update_shutdown_timeline();
        self.retry_refused_changes();
        match new.discovery {
            Some(discovery) => log::info!("configuration read anew: discovery is at {discovery}"),
            None => log::info!("configuration read anew: control servers are followed"),
        }
        // A change from control servers to discovery or back takes a restart; the loop above has logged that.
        if let (Some(new_address), Some(old_address)) = (new.discovery, self.startup_settings.discovery)
            && new_address != old_address
        {
            self.router.discovery_address_changed(self.clock.now());
            // The receiver is gone where the discovery client has ended.
            let _ = self.discovery_tx.send(DiscoveryCommand::ChangeAddress(new_address));
            self.startup_settings.discovery = Some(new_address);
        }
    }

    /// Applies changes of the settings by records: all of them or none.
    fn change_settings(&mut self, changes: &[SettingChange]) -> Result<(), ConfigError> {
        self.handle_received_events();
        self.live_settings.apply_records(self.clock.now(), changes, &mut self.router)?;
        self.update_shutdown_timeline();
        Ok(())
    }

    /// Applies the records of an update together. If they are not valid together, applies each one that is valid by
    /// itself.
    fn apply_settings_update(&mut self, SettingsUpdate { changes, applied_sender }: SettingsUpdate) {
        self.refused_changes.retain(|refused| changes.iter().all(|change| change.key != refused.key));
        let settings: Vec<SettingChange> = changes.iter().map(setting_change).collect();
        if let Err(fault) = self.change_settings(&settings) {
            log::error!("control: settings: {fault}; applying the {} changes one by one", changes.len());
            for (change, setting) in changes.iter().zip(&settings) {
                if let Err(fault) = self.change_settings(std::slice::from_ref(setting)) {
                    log::error!("control: {}: {fault}; it stays as it was", change.key);
                    self.refused_changes.push(change.clone());
                }
            }
        }
        self.retry_refused_changes();
        // The receiver is gone where the control client has ended.
        let _ = applied_sender.send(());
    }

    /// Applies refused records that have become valid with the current settings, and reports the number of the others
    /// to the control servers.
    fn retry_refused_changes(&mut self) {
        for change in std::mem::take(&mut self.refused_changes) {
            match self.change_settings(&[setting_change(&change)]) {
                Ok(()) => log::info!("control: {}: refused before, in force now", change.key),
                Err(_) => self.refused_changes.push(change),
            }
        }
        self.control_status.set_unapplied_records(self.refused_changes.len() as u64);
    }

    /// Hands the events received so far to the router. They must not be handled after a change of the settings: their
    /// requests carry class indexes from before it, which the change may give to other classes.
    fn handle_received_events(&mut self) {
        let mut received = Vec::new();
        while let Ok(event) = self.router_rx.try_recv() {
            received.push(event);
        }
        self.router.handle_events(self.clock.now(), received);
    }

    /// Adapts the timeline of a later shutdown to the settings. The timeline of a shutdown under way does not change.
    fn update_shutdown_timeline(&mut self) {
        if self.shutdown_began_at.is_none() {
            self.shutdown = ShutdownTimeline::new(self.live_settings.connection_limits().max_deadline);
        }
    }

    fn begin_shutdown(&mut self) {
        self.shutdown_began_at = Some(Instant::now());
        self.router.set_shutdown_deadline(self.clock.now() + self.shutdown.answers_due_after);
    }

    fn is(&self, phase: Phase) -> bool {
        *self.phase.borrow() == phase
    }

    /// Whether the program may report that it is ready. While nothing may be sent to the upstreams because their list
    /// is not confirmed, clients are better served by other balancers, but not for longer than
    /// [`MAX_UNCONFIRMED_START`]. A program that has been ready stays so.
    fn may_serve(&self) -> bool {
        let is_waiting_over = self.started_at.elapsed() >= MAX_UNCONFIRMED_START;
        !self.router.is_list_stale() || is_waiting_over || self.is(Phase::Serving)
    }

    fn update_phase(&mut self) {
        let phase = match self.shutdown_began_at {
            Some(began_at) if began_at.elapsed() >= self.shutdown.closing_after => Phase::Closing,
            Some(_) => Phase::Leaving,
            None if self.router.has_upstreams() && self.may_serve() => Phase::Serving,
            None => Phase::Starting,
        };
        self.phase.send_if_modified(|current| {
            let is_changed = *current != phase;
            if is_changed {
                log::info!("{phase:?}");
            }
            *current = phase;
            is_changed
        });
    }

    /// Whether the shutdown is complete: all requests are answered, and the connections are closed or out of time.
    fn is_over(&self) -> bool {
        let is_out_of_time =
            self.shutdown_began_at.is_some_and(|began_at| began_at.elapsed() >= self.shutdown.exit_after);
        let is_idle = self.connections.is_empty() || is_out_of_time;
        self.is(Phase::Closing) && self.router.unanswered_count() == 0 && is_idle
    }
}

/// How long opening a connection to an upstream may take. An attempt that is still connecting when its upstream
/// begins to drain must reach it within half of the drain grace. If the grace is 0, half of
/// [`CONNECTION_LIMIT_MARGIN`] is left.
pub(super) fn connect_timeout(limits: &ConnectionLimits) -> TenthMillis {
    limits.connect_timeout.min((limits.drain_grace + CONNECTION_LIMIT_MARGIN) / 2)
}

/// How many connections the kernel queues until they are accepted. Hundreds may arrive at once, and a client whose
/// connection does not fit into the queue repeats its handshake only after a second.
const LISTEN_BACKLOG: u32 = 1024;

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// The time up to which the initial list is known to be current. A list of version 0 was made for this start. Any other
/// comes from the process before this one, to which discovery may not have answered for long.
fn initial_list_confirmed_at(list: &UpstreamList, now: TenthMillis) -> TenthMillis {
    if list.version == 0 { now - PROCESS_RESTART_TIME } else { 0 }
}

/// Maps the names of classes, which requests carry, to their indexes. If a name occurs twice, the first one counts.
fn class_indexes(names: &[String]) -> ClassIndexes {
    let mut classes = ClassIndexes::new();
    for (index, name) in (0..).zip(names) {
        classes.entry(name.clone()).or_insert(index);
    }
    classes
}
