//! A scale run from its start to its report.

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
use super::message::{ByteCounts, HollowCommand};
use super::real::{
    RealBalancers, RealRestart, balanced_traffic, direct_traffic, drain_notices, split_ledgers,
};
use super::records::Records;
use super::report::{ChangesByKind, Report};
use super::scenario::Scenario;
use super::servers::{ControlServers, Follower, ServerState};
use super::summary::{RunData, summarize};
use super::timeline::{self, Action, Step};
use super::usage::{Role, Sample};
use crate::balancers::Program;
use crate::fleet::{Book, Fleet};
use crate::ledger::Crash;
use crate::load::{self, Door, Failover};

/// Between the moment when all is ready and the first step.
const START_DELAY_US: u64 = 200_000;
const FIRST_STATE_TIMEOUT: Duration = Duration::from_secs(150);
const FINAL_STATES_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// What is started.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The control server.
    pub server: Program,
    /// The real balancer.
    pub balancer: Program,
    /// Arguments for hollow processes.
    pub hollow_arguments: Vec<String>,
}

/// Plays the scenario. All that is started ends with it.
///
/// # Errors
/// Where it could not be played at all.
pub async fn run_scenario(programs: &Programs, scenario: Scenario) -> io::Result<Report> {
    let mut run = Run::start(programs, scenario).await?;
    let started = run.wait_for_first_state().await?;
    run.play_phases().await?;
    let restarts = run.finish_rolling_restarts().await;
    let settled = run.wait_for_convergence().await;
    run.finish(started, settled, &restarts).await
}

struct Run {
    scenario: Scenario,
    book: Rc<Book>,
    /// The machine's clock at the start of the book's.
    book_start_us: u64,
    /// Kept up for as long as the run lasts.
    fleet: Fleet,
    steps: Vec<Step>,
    servers: ControlServers,
    hollow: HollowProcesses,
    real: Rc<RealBalancers>,
    /// Restarts of real balancers that go on, with their phase.
    rolling_restarts: Vec<(usize, JoinHandle<Vec<io::Result<RealRestart>>>)>,
    real_bytes: Rc<RefCell<ByteLedger>>,
    real_bytes_task: JoinHandle<()>,
    /// The start of the first phase, by the book's clock.
    phases_start_book_us: u64,
    first_revision: u64,
    commits: Vec<Commit>,
    changes_by_kind: ChangesByKind,
    /// Revisions of drains of served upstreams.
    served_drains: Vec<(u32, u64)>,
    usage_samples: Vec<Sample>,
    /// Readings of real balancers' counters, with the phase that asked for them.
    real_server_load_readings: Vec<(usize, ByteCounts)>,
    latest_step_us: u64,
    failures: Vec<String>,
    direct_ids: HashSet<String>,
}

impl Run {
    async fn start(programs: &Programs, scenario: Scenario) -> io::Result<Run> {
        let book = Book::open();
        let book_start_us = clock::now_us() - book.now();
        let traffic = balanced_traffic(&scenario);
        let fleet = Fleet::start(book.clone(), traffic.fleet(), &traffic.rules, scenario.real_balancers)?;
        let records = Records::new(&scenario, &fleet);
        let steps = timeline::build_timeline(&scenario, &records);
        let servers =
            ControlServers::start(&programs.server, &scenario.layout(), records.initial_changes()).await?;
        let first_revision = servers.state(0).await?.version.revision;
        let by_region = servers.replica_addresses_by_region();
        // Before the others: the snapshots of many make the machine busy.
        let real = RealBalancers::start(&programs.balancer, &scenario, &fleet, &by_region).await?;
        let hollow = HollowProcesses::start(&scenario, &by_region, &programs.hollow_arguments)?;
        let real_bytes = Rc::new(RefCell::new(ByteLedger::default()));
        let heard = real.tap_logs.clone();
        let ledger = real_bytes.clone();
        let real_bytes_task = spawn_local(async move {
            loop {
                ledger.borrow_mut().record(&super::real::read_byte_counts(&heard));
                let window_us = WINDOW_SECONDS * 1_000_000;
                sleep(Duration::from_micros(window_us - clock::now_us() % window_us)).await;
            }
        });
        Ok(Run {
            scenario,
            book,
            book_start_us,
            fleet,
            steps,
            servers,
            hollow,
            real: Rc::new(real),
            rolling_restarts: Vec::new(),
            real_bytes,
            real_bytes_task,
            phases_start_book_us: 0,
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

    fn count_at_revision(&self, revision: u64) -> usize {
        self.hollow.reports.borrow().count_at_revision(revision) + self.real.count_at_revision(revision)
    }

    async fn wait_for_first_state(&mut self) -> io::Result<Duration> {
        let began = Instant::now();
        let all = self.scenario.balancers as usize;
        loop {
            let ready = self.count_at_revision(self.first_revision);
            if ready == all {
                return Ok(began.elapsed());
            }
            if let Some(ended) =
                self.hollow.unexpected_exits().into_iter().chain(self.servers.unexpected_exits()).next()
            {
                return Err(io::Error::other(ended));
            }
            if began.elapsed() > FIRST_STATE_TIMEOUT {
                let told =
                    format!("{ready} of {all} balancers had the first state within {FIRST_STATE_TIMEOUT:?}");
                return Err(io::Error::other(told));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Plays the time line while the traffic goes both ways.
    async fn play_phases(&mut self) -> io::Result<()> {
        self.phases_start_book_us = self.book.now() + START_DELAY_US;
        let (book, from) = (self.book.clone(), self.phases_start_book_us);
        let through = Rc::new(balanced_traffic(&self.scenario));
        let beside = Rc::new(direct_traffic(&self.scenario));
        let doors: Vec<_> = self.real.balancers.addresses.iter().map(|address| Door::new(*address)).collect();
        let straight: Vec<_> =
            self.fleet.upstreams.iter().map(|upstream| Door::new(upstream.address_of(0))).collect();
        let direct_plan = beside.plan();
        self.direct_ids = direct_plan.iter().map(|planned| planned.id.clone()).collect();
        let balanced = load::follow(&through, through.plan(), &doors, Failover::NextBalancer, &book, from);
        let direct = load::follow(&beside, direct_plan, &straight, Failover::Never, &book, from);
        let (played, (), ()) = tokio::join!(self.play_steps(), balanced, direct);
        played
    }

    async fn play_steps(&mut self) -> io::Result<()> {
        let mut steps = std::mem::take(&mut self.steps).into_iter().peekable();
        let bounds = timeline::phase_bounds_us(&self.scenario.phases);
        for (phase, (start_us, end_us)) in bounds.into_iter().enumerate() {
            sleep_until(self.book.instant(self.phases_start_book_us + start_us)).await;
            eprintln!("{}", self.scenario.phases[phase].name);
            self.sample_usage();
            while let Some(step) = steps.next_if(|step| step.phase == phase) {
                let at_us = self.phases_start_book_us + step.at_us;
                sleep_until(self.book.instant(at_us)).await;
                self.latest_step_us = self.latest_step_us.max(self.book.now().saturating_sub(at_us));
                self.execute(step).await?;
            }
            sleep_until(self.book.instant(self.phases_start_book_us + end_us)).await;
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
                self.served_drains.extend(self.commits.last().map(|commit| (upstream, commit.last_revision)));
            }
            Action::RestartHollowGroup(group) => {
                self.hollow.send_command(&HollowCommand::Restart(group)).await?
            }
            Action::RollingRestart { interval_us } => self.start_rolling_restart(step.phase, interval_us),
            Action::KillReplicaServers(replicas) => self.servers.kill(&replicas).await?,
            Action::RestartReplicaServers(replicas) => self.servers.restart_killed(&replicas)?,
            Action::CountServerLoads => self.read_server_loads(step.phase).await?,
            Action::PartitionRegions => self.servers.partition_regions(),
            Action::HealPartition => self.servers.heal_partition(),
            Action::PauseHollowProcess(process) => self.hollow.pause(process)?,
            Action::ResumeHollowProcess(process) => self.hollow.resume(process)?,
        }
        Ok(())
    }

    fn start_rolling_restart(&mut self, phase: usize, interval_us: u64) {
        let first = Instant::now();
        let turn = |number| first + Duration::from_micros(interval_us * u64::from(number));
        let turns = (0..self.scenario.real_balancers).map(turn).collect();
        let real = self.real.clone();
        self.rolling_restarts.push((phase, spawn_local(async move { real.rolling_restart(turns).await })));
    }

    /// Waits for the restarts that go on; by their phase.
    async fn finish_rolling_restarts(&mut self) -> Vec<(usize, RealRestart)> {
        let mut restarts = Vec::new();
        for (phase, release) in std::mem::take(&mut self.rolling_restarts) {
            for restart in release.await.unwrap_or_default() {
                match restart {
                    Ok(restart) => restarts.push((phase, restart)),
                    Err(error) => self.failures.push(format!("release: {error}")),
                }
            }
        }
        restarts
    }

    /// Reads the counters of real balancers, and asks hollow processes for theirs.
    async fn read_server_loads(&mut self, phase: usize) -> io::Result<()> {
        self.real_server_load_readings.push((phase, super::real::read_byte_counts(&self.real.tap_logs)));
        self.hollow.send_command(&HollowCommand::CountServerLoads(phase)).await
    }

    async fn commit(&mut self, phase: usize, changes: Vec<pondlb_control::NewChange>) {
        let (at_us, count) = (clock::now_us(), changes.len() as u64);
        let kinds: Vec<RecordKind> = changes.iter().map(|change| change.key.kind()).collect();
        match self.servers.commit(changes).await {
            Ok(version) => {
                let last = version.revision;
                kinds.into_iter().for_each(|kind| self.changes_by_kind.count(kind));
                self.commits.push(Commit {
                    phase,
                    requested_at_us: at_us,
                    first_revision: last + 1 - count.min(last),
                    last_revision: last,
                });
            }
            Err(error) => self.failures.push(format!("a commit of {count} changes failed: {error}")),
        }
    }

    fn sample_usage(&mut self) {
        let servers = self.servers.process_ids().into_iter().enumerate();
        let servers =
            servers.map(|(number, id)| (if number == 0 { Role::Origin } else { Role::ReplicaServer }, id));
        let real = self.real.balancers.processes().into_iter().map(|id| (Role::RealBalancer, id));
        let hollow = self.hollow.process_ids().into_iter().map(|id| (Role::HollowProcess, id));
        let own = std::iter::once((Role::Laboratory, std::process::id()));
        self.usage_samples.push(Sample::take(clock::now_us(), servers.chain(real).chain(hollow).chain(own)));
    }

    /// Notes which processes have ended by themselves, each once.
    fn record_unexpected_exits(&mut self) {
        for ended in self.servers.unexpected_exits().into_iter().chain(self.hollow.unexpected_exits()) {
            if !self.failures.contains(&ended) {
                self.failures.push(ended);
            }
        }
        let mut ledgers = self.book.ledgers.borrow_mut();
        for (balancer, status) in self.real.balancers.ended() {
            let balancer = balancer as u32;
            if ledgers.crashes.iter().all(|crash| crash.balancer != balancer) {
                ledgers.crashes.push(Crash { balancer, at: self.book.now(), status });
            }
        }
    }

    fn last_revision(&self) -> u64 {
        self.commits.last().map_or(self.first_revision, |commit| commit.last_revision)
    }

    /// Waits until all balancers and control servers have the last version, or the time for that is over.
    async fn wait_for_convergence(&mut self) -> Duration {
        let began = Instant::now();
        let within = Duration::from_secs_f64(self.scenario.settle_seconds);
        let (last, all) = (self.last_revision(), self.scenario.balancers as usize);
        while began.elapsed() < within {
            if self.count_at_revision(last) == all && self.all_servers_have(last).await {
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        began.elapsed()
    }

    async fn all_servers_have(&self, revision: u64) -> bool {
        for number in 0..self.servers.len() {
            let state = self.servers.state(number).await;
            if !state.is_ok_and(|state| state.version.revision >= revision) {
                return false;
            }
        }
        true
    }

    async fn finish(
        mut self,
        started: Duration,
        settled: Duration,
        real_restarts: &[(usize, RealRestart)],
    ) -> io::Result<Report> {
        self.record_unexpected_exits();
        let server_states = self.server_states().await;
        let followers = self.followers().await;
        if let Err(error) = self.hollow.send_command(&HollowCommand::ReportFinalStates).await {
            self.failures.push(format!("a hollow process can't be asked for its state: {error}"));
        }
        self.wait_for_final_states().await;
        self.failures.extend(self.real.records_not_applied());
        self.real_bytes_task.abort();
        self.real_bytes.borrow_mut().record(&super::real::read_byte_counts(&self.real.tap_logs));
        let real_series = self.real.in_force_series();
        let mut ways = split_ledgers(self.book.ledgers.take(), &self.direct_ids);
        for (upstream, revision) in &self.served_drains {
            let to_book = |at_us: u64| at_us.saturating_sub(self.book_start_us);
            ways.balanced.told.extend(drain_notices(&real_series, *upstream, *revision, to_book));
        }
        let processes = self.servers.len()
            + self.scenario.hollow_process_count() as usize
            + self.scenario.real_balancers as usize
            + 1;
        let reported = self.hollow.reports.take();
        let replica_servers = self.servers.replica_servers();
        let evidence = RunData {
            scenario: &self.scenario,
            traffic: &balanced_traffic(&self.scenario),
            processes,
            commits: &self.commits,
            changes_by_kind: self.changes_by_kind,
            first_revision: self.first_revision,
            phases_start_us: self.phases_start_book_us + self.book_start_us,
            phases_start_book_us: self.phases_start_book_us,
            end_us: clock::now_us(),
            start_duration: started,
            convergence_duration: settled,
            latest_step_us: self.latest_step_us,
            failures: self.failures,
            usage_samples: &self.usage_samples,
            real_server_load_readings: &self.real_server_load_readings,
            replica_servers: &replica_servers,
            hollow_reports: &reported,
            real_series: &real_series,
            real_restarts,
            tap_logs: &self.real.tap_logs,
            real_bytes: &self.real_bytes.borrow(),
            traffic_ledgers: &ways,
            server_states: &server_states,
            followers: &followers,
        };
        Ok(summarize(evidence))
    }

    async fn server_states(&self) -> Vec<(String, Option<ServerState>)> {
        let mut states = Vec::new();
        for number in 0..self.servers.len() {
            states.push((self.servers.name(number).into(), self.servers.state(number).await.ok()));
        }
        states
    }

    /// The followers of all servers by name, each as the server says that has the newest of it.
    async fn followers(&self) -> BTreeMap<String, Follower> {
        let mut all: BTreeMap<String, Follower> = BTreeMap::new();
        for number in 0..self.servers.len() {
            for follower in self.servers.followers(number).await.unwrap_or_default() {
                let known = all.get(&follower.name);
                if known.is_none_or(|known| known.version <= follower.version) {
                    all.insert(follower.name.clone(), follower);
                }
            }
        }
        all
    }

    async fn wait_for_final_states(&self) {
        let began = Instant::now();
        let hollow = self.scenario.hollow_balancer_count() as usize;
        while began.elapsed() < FINAL_STATES_TIMEOUT
            && self.hollow.reports.borrow().final_states.len() < hollow
        {
            sleep(POLL_INTERVAL).await;
        }
    }
}
