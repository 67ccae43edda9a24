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
use super::hollows::HollowProcesses;
use super::measure::{ByteLedger, Committed, WINDOW_SECONDS};
use super::message::{Order, Traffic};
use super::real::{RealBalancers, RealRestart, direct, drains_told, take_apart, through_balancers};
use super::records::Records;
use super::report::{ChangesByKind, Report};
use super::scenario::Scenario;
use super::servers::{ControlServers, Follower, ServerState};
use super::summary::{Evidence, summarize};
use super::timeline::{self, Action, Step};
use super::usage::{Role, Sample};
use crate::balancers::Program;
use crate::fleet::{Fleet, Recorder};
use crate::ledger::BalancerCrash;
use crate::load::{self, Endpoint, Failover};

/// Between the moment when all is ready and the first step.
const LEAD_US: u64 = 200_000;
const START_WITHIN: Duration = Duration::from_secs(150);
const FINAL_STATES_WITHIN: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_millis(100);

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
pub async fn play(programs: &Programs, scenario: Scenario) -> io::Result<Report> {
    let mut run = Run::start(programs, scenario).await?;
    let started = run.wait_for_first_state().await?;
    run.play_phases().await?;
    let restarts = run.finish_releases().await;
    let settled = run.settle().await;
    run.finish(started, settled, &restarts).await
}

struct Run {
    scenario: Scenario,
    book: Rc<Recorder>,
    /// The machine's clock at the start of the book's.
    book_start_us: u64,
    /// Kept up for as long as the run lasts.
    fleet: Fleet,
    steps: Vec<Step>,
    servers: ControlServers,
    hollow: HollowProcesses,
    real: Rc<RealBalancers>,
    /// Restarts of real balancers that go on, with their phase.
    releases: Vec<(usize, JoinHandle<Vec<io::Result<RealRestart>>>)>,
    real_bytes: Rc<RefCell<ByteLedger>>,
    real_bytes_task: JoinHandle<()>,
    /// The start of the first phase, by the book's clock.
    from_book_us: u64,
    first_revision: u64,
    commits: Vec<Committed>,
    changes_by_kind: ChangesByKind,
    /// Revisions of drains of served upstreams.
    drains: Vec<(u32, u64)>,
    samples: Vec<Sample>,
    /// Readings of real balancers' counters, with the phase that asked for them.
    real_loads: Vec<(usize, Traffic)>,
    latest_step_us: u64,
    failures: Vec<String>,
    direct_ids: HashSet<String>,
}

impl Run {
    async fn start(programs: &Programs, scenario: Scenario) -> io::Result<Run> {
        let book = Recorder::new();
        let book_start_us = clock::now_us() - book.now_us();
        let traffic = through_balancers(&scenario);
        let fleet =
            Fleet::start(book.clone(), traffic.upstream_specs(), &traffic.rules, scenario.real_balancers)?;
        let records = Records::new(&scenario, &fleet);
        let steps = timeline::steps(&scenario, &records);
        let servers = ControlServers::start(&programs.server, &scenario.layout(), records.initial()).await?;
        let first_revision = servers.state(0).await?.version.revision;
        let by_region = servers.by_region();
        // Before the others: the snapshots of many make the machine busy.
        let real = RealBalancers::start(&programs.balancer, &scenario, &fleet, &by_region).await?;
        let hollow = HollowProcesses::start(&scenario, &by_region, &programs.hollow_arguments)?;
        let real_bytes = Rc::new(RefCell::new(ByteLedger::default()));
        let heard = real.heard.clone();
        let ledger = real_bytes.clone();
        let real_bytes_task = spawn_local(async move {
            loop {
                ledger.borrow_mut().note(&super::real::traffic(&heard));
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
            releases: Vec::new(),
            real_bytes,
            real_bytes_task,
            from_book_us: 0,
            first_revision,
            commits: Vec::new(),
            changes_by_kind: ChangesByKind::default(),
            drains: Vec::new(),
            samples: Vec::new(),
            real_loads: Vec::new(),
            latest_step_us: 0,
            failures: Vec::new(),
            direct_ids: HashSet::new(),
        })
    }

    fn with_revision(&self, revision: u64) -> usize {
        self.hollow.reported.borrow().with_revision(revision) + self.real.with_revision(revision)
    }

    async fn wait_for_first_state(&mut self) -> io::Result<Duration> {
        let began = Instant::now();
        let all = self.scenario.balancers as usize;
        loop {
            let ready = self.with_revision(self.first_revision);
            if ready == all {
                return Ok(began.elapsed());
            }
            if let Some(ended) = self.hollow.ended().into_iter().chain(self.servers.ended()).next() {
                return Err(io::Error::other(ended));
            }
            if began.elapsed() > START_WITHIN {
                let told = format!("{ready} of {all} balancers had the first state within {START_WITHIN:?}");
                return Err(io::Error::other(told));
            }
            sleep(POLL).await;
        }
    }

    /// Plays the time line while the traffic goes both ways.
    async fn play_phases(&mut self) -> io::Result<()> {
        self.from_book_us = self.book.now_us() + LEAD_US;
        let (book, from) = (self.book.clone(), self.from_book_us);
        let through = Rc::new(through_balancers(&self.scenario));
        let beside = Rc::new(direct(&self.scenario));
        let doors: Vec<_> =
            self.real.balancers.addresses.iter().map(|address| Endpoint::new(*address)).collect();
        let straight: Vec<_> =
            self.fleet.upstreams.iter().map(|upstream| Endpoint::new(upstream.address_for(0))).collect();
        let direct_plan = beside.plan();
        self.direct_ids = direct_plan.iter().map(|planned| planned.id.clone()).collect();
        let balanced =
            load::send_planned(&through, through.plan(), &doors, Failover::NextBalancer, &book, from);
        let direct = load::send_planned(&beside, direct_plan, &straight, Failover::Never, &book, from);
        let (played, (), ()) = tokio::join!(self.play_steps(), balanced, direct);
        played
    }

    async fn play_steps(&mut self) -> io::Result<()> {
        let mut steps = std::mem::take(&mut self.steps).into_iter().peekable();
        let bounds = timeline::bounds(&self.scenario.phases);
        for (phase, (start_us, end_us)) in bounds.into_iter().enumerate() {
            sleep_until(self.book.instant_at(self.from_book_us + start_us)).await;
            eprintln!("{}", self.scenario.phases[phase].name);
            self.sample();
            while let Some(step) = steps.next_if(|step| step.phase == phase) {
                let at_us = self.from_book_us + step.at_us;
                sleep_until(self.book.instant_at(at_us)).await;
                self.latest_step_us = self.latest_step_us.max(self.book.now_us().saturating_sub(at_us));
                self.act(step).await?;
            }
            sleep_until(self.book.instant_at(self.from_book_us + end_us)).await;
            self.note_ended();
        }
        self.sample();
        Ok(())
    }

    async fn act(&mut self, step: Step) -> io::Result<()> {
        match step.action {
            Action::Commit(changes) => self.commit(step.phase, changes).await,
            Action::Drain(upstream, changes) => {
                self.commit(step.phase, changes).await;
                self.drains.extend(self.commits.last().map(|commit| (upstream, commit.last)));
            }
            Action::Restart(group) => self.hollow.order(&Order::Restart(group)).await?,
            Action::Release(interval_us) => self.release(step.phase, interval_us),
            Action::KillServers(replicas) => self.servers.kill(&replicas).await?,
            Action::StartServers(replicas) => self.servers.start_again(&replicas)?,
            Action::CountServerLoads => self.count_server_loads(step.phase).await?,
            Action::Cut => self.servers.cut(),
            Action::Join => self.servers.join(),
            Action::Stop(process) => self.hollow.stop(process)?,
            Action::Continue(process) => self.hollow.continue_again(process)?,
        }
        Ok(())
    }

    fn release(&mut self, phase: usize, interval_us: u64) {
        let first = Instant::now();
        let turn = |number| first + Duration::from_micros(interval_us * u64::from(number));
        let turns = (0..self.scenario.real_balancers).map(turn).collect();
        let real = self.real.clone();
        self.releases.push((phase, spawn_local(async move { real.release(turns).await })));
    }

    /// Waits for the restarts that go on; by their phase.
    async fn finish_releases(&mut self) -> Vec<(usize, RealRestart)> {
        let mut restarts = Vec::new();
        for (phase, release) in std::mem::take(&mut self.releases) {
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
    async fn count_server_loads(&mut self, phase: usize) -> io::Result<()> {
        self.real_loads.push((phase, super::real::traffic(&self.real.heard)));
        self.hollow.order(&Order::CountServerLoads(phase)).await
    }

    async fn commit(&mut self, phase: usize, changes: Vec<pondlb_control::NewChange>) {
        let (at_us, count) = (clock::now_us(), changes.len() as u64);
        let kinds: Vec<RecordKind> = changes.iter().map(|change| change.key.kind()).collect();
        match self.servers.commit(changes).await {
            Ok(version) => {
                let last = version.revision;
                kinds.into_iter().for_each(|kind| self.changes_by_kind.count(kind));
                self.commits.push(Committed { phase, at_us, first: last + 1 - count.min(last), last });
            }
            Err(error) => self.failures.push(format!("a commit of {count} changes failed: {error}")),
        }
    }

    fn sample(&mut self) {
        let servers = self.servers.processes().into_iter().enumerate();
        let servers =
            servers.map(|(number, id)| (if number == 0 { Role::Origin } else { Role::ReplicaServer }, id));
        let real = self.real.balancers.process_ids().into_iter().map(|id| (Role::RealBalancer, id));
        let hollow = self.hollow.processes().into_iter().map(|id| (Role::HollowProcess, id));
        let own = std::iter::once((Role::Laboratory, std::process::id()));
        self.samples.push(Sample::take(clock::now_us(), servers.chain(real).chain(hollow).chain(own)));
    }

    /// Notes which processes have ended by themselves, each once.
    fn note_ended(&mut self) {
        for ended in self.servers.ended().into_iter().chain(self.hollow.ended()) {
            if !self.failures.contains(&ended) {
                self.failures.push(ended);
            }
        }
        let mut ledgers = self.book.ledgers.borrow_mut();
        for (balancer, status) in self.real.balancers.unexpected_exits() {
            let balancer = balancer as u32;
            if ledgers.crashes.iter().all(|crash| crash.balancer != balancer) {
                ledgers.crashes.push(BalancerCrash { balancer, at_us: self.book.now_us(), status });
            }
        }
    }

    fn last_revision(&self) -> u64 {
        self.commits.last().map_or(self.first_revision, |commit| commit.last)
    }

    /// Waits until all balancers and control servers have the last version, or the time for that is over.
    async fn settle(&mut self) -> Duration {
        let began = Instant::now();
        let within = Duration::from_secs_f64(self.scenario.settle_seconds);
        let (last, all) = (self.last_revision(), self.scenario.balancers as usize);
        while began.elapsed() < within {
            if self.with_revision(last) == all && self.all_servers_have(last).await {
                break;
            }
            sleep(POLL).await;
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
        self.note_ended();
        let server_states = self.server_states().await;
        let followers = self.followers().await;
        if let Err(error) = self.hollow.order(&Order::Tell).await {
            self.failures.push(format!("a hollow process can't be asked for its state: {error}"));
        }
        self.wait_for_final_states().await;
        self.failures.extend(self.real.refusals());
        self.real_bytes_task.abort();
        self.real_bytes.borrow_mut().note(&super::real::traffic(&self.real.heard));
        let real_series = self.real.in_force();
        let mut ways = take_apart(self.book.ledgers.take(), &self.direct_ids);
        for (upstream, revision) in &self.drains {
            let to_book = |at_us: u64| at_us.saturating_sub(self.book_start_us);
            ways.balanced.drain_notices.extend(drains_told(&real_series, *upstream, *revision, to_book));
        }
        let processes = self.servers.len()
            + self.scenario.hollow_processes() as usize
            + self.scenario.real_balancers as usize
            + 1;
        let reported = self.hollow.reported.take();
        let replica_servers = self.servers.replica_servers();
        let evidence = Evidence {
            scenario: &self.scenario,
            traffic: &through_balancers(&self.scenario),
            processes,
            commits: &self.commits,
            changes_by_kind: self.changes_by_kind,
            first_revision: self.first_revision,
            from_us: self.from_book_us + self.book_start_us,
            from_book_us: self.from_book_us,
            end_us: clock::now_us(),
            started,
            settled,
            latest_step_us: self.latest_step_us,
            failures: self.failures,
            samples: &self.samples,
            real_loads: &self.real_loads,
            replica_servers: &replica_servers,
            reported: &reported,
            real_series: &real_series,
            real_restarts,
            real_heard: &self.real.heard,
            real_bytes: &self.real_bytes.borrow(),
            ways: &ways,
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
        let hollow = self.scenario.hollow_balancers() as usize;
        while began.elapsed() < FINAL_STATES_WITHIN && self.hollow.reported.borrow().finals.len() < hollow {
            sleep(POLL).await;
        }
    }
}
