//! A scale run: starts all processes, plays the timeline with the traffic, waits for convergence and collects the data for
//! the report.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use pondlb_control::RecordKind;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

use super::clock;
use super::hollow_processes::HollowProcesses;
use super::measure::{ByteLedger, Commit, WINDOW_SECONDS};
use super::message::HollowCommand;
use super::real_balancers::{
    self, RealBalancers, RealRestart, balanced_traffic, direct_traffic, drain_notices, split_ledgers,
};
use super::records::Records;
use super::report::{ChangesByKind, Report};
use super::scenario::Scenario;
use super::server_loads::ServerLoadReading;
use super::servers::{ControlServers, FinalServerState, Follower};
use super::summary::{RunData, summarize};
use super::timeline::{self, Action, Step};
use super::usage::{Role, UsageSample};
use crate::balancers::Program;
use crate::fleet::{Fleet, Recorder};
use crate::ledger::BalancerCrash;
use crate::load::{self, Endpoint, Failover};

/// The delay from the moment when all processes are ready to the start of the first phase, in microseconds.
const START_DELAY_US: u64 = 200_000;
const FIRST_STATE_TIMEOUT: Duration = Duration::from_secs(150);
const FINAL_STATES_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The programs that a run starts.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The program of control servers.
    pub server: Program,
    /// The program of real balancers.
    pub balancer: Program,
    /// Additional arguments for hollow processes, which run the laboratory's own program.
    pub hollow_arguments: Vec<String>,
}

/// Plays the scenario and returns its report. All processes that it starts are killed before it returns.
///
/// # Errors
/// A process can't be started, not all balancers have the initial state in time, or an event can't be carried out. All other
/// failures are part of the report.
pub async fn run_scenario(programs: &Programs, scenario: Scenario) -> io::Result<Report> {
    let mut run = Run::start(programs, scenario).await?;
    let start_duration = run.wait_for_first_state().await?;
    run.play_phases().await?;
    let restarts = run.finish_rolling_restarts().await;
    let convergence_duration = run.wait_for_convergence().await;
    run.finish(start_duration, convergence_duration, &restarts).await
}

/// A scale run whose processes have been started.
struct Run {
    scenario: Scenario,
    /// Records the ledgers of the traffic, with its own clock in microseconds.
    recorder: Rc<Recorder>,
    /// The start of the recorder's clock, by the monotonic clock in microseconds.
    recorder_start_us: u64,
    /// The emulated upstreams. They end when this is dropped.
    fleet: Fleet,
    /// The timeline; taken when the phases are played.
    steps: Vec<Step>,
    control_servers: ControlServers,
    hollow_processes: HollowProcesses,
    real_balancers: Rc<RealBalancers>,
    /// The tasks of rolling restarts of real balancers.
    rolling_restarts: Vec<JoinHandle<Vec<io::Result<RealRestart>>>>,
    /// The byte counters of real balancers over time.
    real_balancer_bytes: Rc<RefCell<ByteLedger>>,
    /// Reads the byte counters of real balancers once in each measurement window.
    byte_reading_task: JoinHandle<()>,
    /// The start of the first phase, by the recorder's clock in microseconds.
    phases_start_recorder_us: u64,
    /// The revision of the initial state.
    first_revision: u64,
    /// All commits that the origin accepted, in the order of their revisions.
    commits: Vec<Commit>,
    changes_by_kind: ChangesByKind,
    /// The drains of served upstreams that were committed.
    served_drains: Vec<ServedDrain>,
    /// The usage of all processes at the start of each phase and at the end of the last.
    usage_samples: Vec<UsageSample>,
    /// Readings of the byte counters of real balancers while replica servers are killed.
    real_server_load_readings: Vec<ServerLoadReading>,
    /// The largest delay of a step after its time in the timeline, in microseconds.
    latest_step_us: u64,
    /// What went wrong so far, for the report.
    failures: Vec<String>,
    /// The ids of the requests that go directly to upstreams.
    direct_ids: HashSet<String>,
}

/// A committed drain of a served upstream.
struct ServedDrain {
    /// The number of the upstream.
    upstream: u32,
    /// The last revision of the commit.
    revision: u64,
}

impl Run {
    async fn start(programs: &Programs, scenario: Scenario) -> io::Result<Run> {
        let recorder = Recorder::new();
        let recorder_start_us = clock::now_us() - recorder.now_us();
        let traffic = balanced_traffic(&scenario);
        let fleet = Fleet::start(
            recorder.clone(),
            traffic.upstream_specs(),
            &traffic.rules,
            scenario.real_balancers,
        )?;
        let records = Records::new(&scenario, &fleet);
        let steps = timeline::build_timeline(&scenario, &records);
        let servers =
            ControlServers::start(&programs.server, &scenario.layout(), records.initial_changes()).await?;
        let first_revision = servers.state(0).await?.version.revision;
        let replica_addresses = servers.replica_addresses_by_region();
        // Real balancers start before the hollow ones, whose many first snapshots make the machine busy.
        let real_balancers =
            RealBalancers::start(&programs.balancer, &scenario, &fleet, &replica_addresses).await?;
        let hollow = HollowProcesses::start(&scenario, &replica_addresses, &programs.hollow_arguments)?;
        let real_bytes = Rc::new(RefCell::new(ByteLedger::default()));
        let tap_logs = real_balancers.tap_logs.clone();
        let byte_ledger = real_bytes.clone();
        let real_bytes_task = spawn_local(async move {
            loop {
                byte_ledger.borrow_mut().record(&real_balancers::read_byte_counts(&tap_logs));
                let window_us = WINDOW_SECONDS * 1_000_000;
                sleep(Duration::from_micros(window_us - clock::now_us() % window_us)).await;
            }
        });
        Ok(Run {
            scenario,
            recorder,
            recorder_start_us,
            fleet,
            steps,
            control_servers: servers,
            hollow_processes: hollow,
            real_balancers: Rc::new(real_balancers),
            rolling_restarts: Vec::new(),
            real_balancer_bytes: real_bytes,
            byte_reading_task: real_bytes_task,
            phases_start_recorder_us: 0,
            first_revision,
            commits: Vec::new(),
            changes_by_kind: ChangesByKind::default(),
            served_drains: Vec::new(),
            usage_samples: Vec::new(),
            real_server_load_readings: Vec::new(),
            latest_step_us: 0,
            failures: Vec::new(),
            direct_ids: HashSet::new(),
        })
    }

    /// The number of balancers, real and hollow, that have this revision or a later one in force.
    fn count_at_revision(&self, revision: u64) -> usize {
        self.hollow_processes.reports.borrow().count_at_revision(revision)
            + self.real_balancers.count_at_revision(revision)
    }

    /// Waits until all balancers have the initial state in force, and returns how long that took.
    async fn wait_for_first_state(&mut self) -> io::Result<Duration> {
        let began = Instant::now();
        let all = self.scenario.balancers as usize;
        loop {
            let ready = self.count_at_revision(self.first_revision);
            if ready == all {
                return Ok(began.elapsed());
            }
            if let Some(exit_message) = self
                .hollow_processes
                .unexpected_exits()
                .into_iter()
                .chain(self.control_servers.unexpected_exits())
                .next()
            {
                return Err(io::Error::other(exit_message));
            }
            if began.elapsed() > FIRST_STATE_TIMEOUT {
                let message = format!(
                    "{ready} of {all} balancers had the initial state within {FIRST_STATE_TIMEOUT:?}"
                );
                return Err(io::Error::other(message));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Plays the timeline while traffic goes through the real balancers and directly to the upstreams.
    async fn play_phases(&mut self) -> io::Result<()> {
        self.phases_start_recorder_us = self.recorder.now_us() + START_DELAY_US;
        let (recorder, start_us) = (self.recorder.clone(), self.phases_start_recorder_us);
        let balanced_scenario = Rc::new(balanced_traffic(&self.scenario));
        let direct_scenario = Rc::new(direct_traffic(&self.scenario));
        let balancer_targets: Vec<_> =
            self.real_balancers.balancers.addresses.iter().map(|address| Endpoint::new(*address)).collect();
        let upstream_targets: Vec<_> =
            self.fleet.upstreams.iter().map(|upstream| Endpoint::new(upstream.address_for(0))).collect();
        let direct_plan = direct_scenario.plan();
        self.direct_ids = direct_plan.iter().map(|planned| planned.id.clone()).collect();
        let balanced_plan = balanced_scenario.plan();
        let balanced_load = load::send_planned(
            &balanced_scenario,
            balanced_plan,
            &balancer_targets,
            Failover::NextBalancer,
            &recorder,
            start_us,
        );
        let direct_load = load::send_planned(
            &direct_scenario,
            direct_plan,
            &upstream_targets,
            Failover::Never,
            &recorder,
            start_us,
        );
        let (result, (), ()) = tokio::join!(self.play_steps(), balanced_load, direct_load);
        result
    }

    /// Executes the steps of each phase at their times.
    async fn play_steps(&mut self) -> io::Result<()> {
        let mut steps = std::mem::take(&mut self.steps).into_iter().peekable();
        let bounds = timeline::phase_bounds_us(&self.scenario.phases);
        for (phase, (start_us, end_us)) in bounds.into_iter().enumerate() {
            sleep_until(self.recorder.instant_at(self.phases_start_recorder_us + start_us)).await;
            eprintln!("{}", self.scenario.phases[phase].name);
            self.sample_usage();
            while let Some(step) = steps.next_if(|step| step.phase == phase) {
                let at_us = self.phases_start_recorder_us + step.at_us;
                sleep_until(self.recorder.instant_at(at_us)).await;
                self.latest_step_us = self.latest_step_us.max(self.recorder.now_us().saturating_sub(at_us));
                self.execute(step).await?;
            }
            sleep_until(self.recorder.instant_at(self.phases_start_recorder_us + end_us)).await;
            self.record_unexpected_exits();
        }
        self.sample_usage();
        Ok(())
    }

    async fn execute(&mut self, step: Step) -> io::Result<()> {
        match step.action {
            Action::Commit(changes) => self.commit(step.phase, changes).await,
            Action::Drain { upstream, changes } => {
                self.commit(step.phase, changes).await;
                let drain = |commit: &Commit| ServedDrain { upstream, revision: commit.last_revision };
                self.served_drains.extend(self.commits.last().map(drain));
            }
            Action::RestartHollowGroup(group) => {
                self.hollow_processes.send_command(&HollowCommand::Restart(group)).await?
            }
            Action::RollingRestart { interval_us } => self.start_rolling_restart(step.phase, interval_us),
            Action::KillReplicaServers(replicas) => self.control_servers.kill(&replicas).await?,
            Action::RestartReplicaServers(replicas) => self.control_servers.restart_killed(&replicas)?,
            Action::CountServerLoads => self.read_server_loads(step.phase).await?,
            Action::PartitionRegions => self.control_servers.partition_regions(),
            Action::HealPartition => self.control_servers.heal_partition(),
            Action::PauseHollowProcess(process) => self.hollow_processes.pause(process)?,
            Action::ResumeHollowProcess(process) => self.hollow_processes.resume(process)?,
        }
        Ok(())
    }

    /// Starts a task that restarts the real balancers one after the other, beginning now.
    fn start_rolling_restart(&mut self, phase: usize, interval_us: u64) {
        let first = Instant::now();
        let start_time = |number| first + Duration::from_micros(interval_us * u64::from(number));
        let start_times = (0..self.scenario.real_balancers).map(start_time).collect();
        let real = self.real_balancers.clone();
        let task = spawn_local(async move { real.rolling_restart(phase, start_times).await });
        self.rolling_restarts.push(task);
    }

    /// Waits for the end of all rolling restarts, and returns the restarts that succeeded.
    async fn finish_rolling_restarts(&mut self) -> Vec<RealRestart> {
        let mut restarts = Vec::new();
        for rolling_restart in std::mem::take(&mut self.rolling_restarts) {
            for restart in rolling_restart.await.unwrap_or_default() {
                match restart {
                    Ok(restart) => restarts.push(restart),
                    Err(error) => self.failures.push(format!("release: {error}")),
                }
            }
        }
        restarts
    }

    /// Reads the byte counters of the real balancers, and asks the hollow processes for theirs.
    async fn read_server_loads(&mut self, phase: usize) -> io::Result<()> {
        let counts = real_balancers::read_byte_counts(&self.real_balancers.tap_logs);
        self.real_server_load_readings.push(ServerLoadReading { phase, counts });
        self.hollow_processes.send_command(&HollowCommand::CountServerLoads(phase)).await
    }

    /// Commits changes at the origin. A failure goes to the report.
    async fn commit(&mut self, phase: usize, changes: Vec<pondlb_control::NewChange>) {
        let (requested_at_us, count) = (clock::now_us(), changes.len() as u64);
        let kinds: Vec<RecordKind> = changes.iter().map(|change| change.key.kind()).collect();
        match self.control_servers.commit(changes).await {
            Ok(version) => {
                let last_revision = version.revision;
                kinds.into_iter().for_each(|kind| self.changes_by_kind.count(kind));
                self.commits.push(Commit {
                    phase,
                    requested_at_us,
                    first_revision: last_revision + 1 - count.min(last_revision),
                    last_revision,
                });
            }
            Err(error) => self.failures.push(format!("a commit of {count} changes failed: {error}")),
        }
    }

    /// Reads processor time and memory of all processes.
    fn sample_usage(&mut self) {
        let servers = self.control_servers.process_ids().into_iter().enumerate();
        let servers =
            servers.map(|(number, id)| (if number == 0 { Role::Origin } else { Role::ReplicaServer }, id));
        let real = self.real_balancers.balancers.process_ids().into_iter().map(|id| (Role::RealBalancer, id));
        let hollow = self.hollow_processes.process_ids().into_iter().map(|id| (Role::HollowProcess, id));
        let own = std::iter::once((Role::Laboratory, std::process::id()));
        self.usage_samples
            .push(UsageSample::take(clock::now_us(), servers.chain(real).chain(hollow).chain(own)));
    }

    /// Records each process that has exited unexpectedly, once: control servers and hollow processes as failures, real
    /// balancers as crashes in the ledgers.
    fn record_unexpected_exits(&mut self) {
        for exit_message in self
            .control_servers
            .unexpected_exits()
            .into_iter()
            .chain(self.hollow_processes.unexpected_exits())
        {
            if !self.failures.contains(&exit_message) {
                self.failures.push(exit_message);
            }
        }
        let mut ledgers = self.recorder.ledgers.borrow_mut();
        for (balancer, status) in self.real_balancers.balancers.unexpected_exits() {
            let balancer = balancer as u32;
            if ledgers.crashes.iter().all(|crash| crash.balancer != balancer) {
                ledgers.crashes.push(BalancerCrash { balancer, at_us: self.recorder.now_us(), status });
            }
        }
    }

    /// The last revision that was committed.
    fn last_revision(&self) -> u64 {
        self.commits.last().map_or(self.first_revision, |commit| commit.last_revision)
    }

    /// Waits until all balancers and control servers have the last revision, at most for the scenario's settle time. Returns
    /// how long it waited.
    async fn wait_for_convergence(&mut self) -> Duration {
        let began = Instant::now();
        let settle_time = Duration::from_secs_f64(self.scenario.settle_seconds);
        let (last_revision, all) = (self.last_revision(), self.scenario.balancers as usize);
        while began.elapsed() < settle_time {
            if self.count_at_revision(last_revision) == all && self.all_servers_have(last_revision).await {
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        began.elapsed()
    }

    async fn all_servers_have(&self, revision: u64) -> bool {
        for number in 0..self.control_servers.len() {
            let state = self.control_servers.state(number).await;
            if !state.is_ok_and(|state| state.version.revision >= revision) {
                return false;
            }
        }
        true
    }

    /// Collects the final states and makes the report.
    async fn finish(
        mut self,
        start_duration: Duration,
        convergence_duration: Duration,
        real_restarts: &[RealRestart],
    ) -> io::Result<Report> {
        self.record_unexpected_exits();
        let server_states = self.server_states().await;
        let followers = self.followers().await;
        if let Err(error) = self.hollow_processes.send_command(&HollowCommand::ReportFinalStates).await {
            self.failures.push(format!("can't request the final states of hollow balancers: {error}"));
        }
        self.wait_for_final_states().await;
        self.failures.extend(self.real_balancers.records_not_applied());
        self.byte_reading_task.abort();
        self.real_balancer_bytes
            .borrow_mut()
            .record(&real_balancers::read_byte_counts(&self.real_balancers.tap_logs));
        let real_series = self.real_balancers.in_force_series();
        let mut traffic_ledgers = split_ledgers(self.recorder.ledgers.take(), &self.direct_ids);
        for ServedDrain { upstream, revision } in &self.served_drains {
            let to_recorder_us = |at_us: u64| at_us.saturating_sub(self.recorder_start_us);
            let notices = drain_notices(&real_series, *upstream, *revision, to_recorder_us);
            traffic_ledgers.balanced.drain_notices.extend(notices);
        }
        let process_count = self.control_servers.len()
            + self.scenario.hollow_process_count() as usize
            + self.scenario.real_balancers as usize
            + 1;
        let hollow_reports = self.hollow_processes.reports.take();
        let replica_servers = self.control_servers.replica_servers();
        let run_data = RunData {
            scenario: &self.scenario,
            traffic: &balanced_traffic(&self.scenario),
            process_count,
            commits: &self.commits,
            changes_by_kind: self.changes_by_kind,
            first_revision: self.first_revision,
            phases_start_us: self.phases_start_recorder_us + self.recorder_start_us,
            phases_start_recorder_us: self.phases_start_recorder_us,
            end_us: clock::now_us(),
            start_duration,
            convergence_duration,
            latest_step_us: self.latest_step_us,
            failures: self.failures,
            usage_samples: &self.usage_samples,
            real_server_load_readings: &self.real_server_load_readings,
            replica_servers: &replica_servers,
            hollow_reports: &hollow_reports,
            real_in_force: &real_series,
            real_restarts,
            tap_logs: &self.real_balancers.tap_logs,
            real_balancer_bytes: &self.real_balancer_bytes.borrow(),
            traffic_ledgers: &traffic_ledgers,
            server_states: &server_states,
            followers: &followers,
        };
        Ok(summarize(run_data))
    }

    /// Asks all control servers for their states, the origin first.
    async fn server_states(&self) -> Vec<FinalServerState> {
        let mut states = Vec::new();
        for number in 0..self.control_servers.len() {
            let state = self.control_servers.state(number).await.ok();
            states.push(FinalServerState { name: self.control_servers.name(number).into(), state });
        }
        states
    }

    /// The followers of all servers, by name. If several servers list a follower, the entry with the newest version counts.
    async fn followers(&self) -> BTreeMap<String, Follower> {
        let mut all: BTreeMap<String, Follower> = BTreeMap::new();
        for number in 0..self.control_servers.len() {
            for follower in self.control_servers.followers(number).await.unwrap_or_default() {
                let known = all.get(&follower.name);
                if known.is_none_or(|known| known.version <= follower.version) {
                    all.insert(follower.name.clone(), follower);
                }
            }
        }
        all
    }

    /// Waits until all hollow balancers have reported their final state, at most for [`FINAL_STATES_TIMEOUT`].
    async fn wait_for_final_states(&self) {
        let began = Instant::now();
        let hollow = self.scenario.hollow_balancer_count() as usize;
        while began.elapsed() < FINAL_STATES_TIMEOUT
            && self.hollow_processes.reports.borrow().final_states.len() < hollow
        {
            sleep(POLL_INTERVAL).await;
        }
    }
}
