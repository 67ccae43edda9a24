//! A hollow process. It runs many hollow balancers: each follows the control servers with the client of a real balancer,
//! but keeps only versions and revisions of records and serves no traffic. So one machine can hold thousands of followers.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io;
use std::os::fd::AsFd;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use clap::ValueEnum;
use pondlb_control::{KeyInterner, Limits};
use pondlb_control_net::{FollowerConfig, FollowerStatus, UpdateDelivery, follow};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::pipe::{Receiver, Sender};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use super::clock;
use super::consumer::{Consumer, KeyIndices};
use super::measure::WINDOW_SECONDS;
use super::message::{
    Assignment, BalancerBytes, ByteCounts, FinalState, HollowCommand, HollowReport, InForce,
};

/// The interval between two reports to the laboratory.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// How much later than the hold time of a call an answer may come before the server counts as silent.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(300);
/// The number of updates that a balancer applies before its planted fault takes effect.
const UPDATES_BEFORE_FAULT: u64 = 3;
/// The number of groups in which hollow balancers are restarted; the group of a balancer is its number modulo this.
pub const RESTART_GROUPS: u32 = 10;

/// A deliberate fault, with which tests show that a run detects failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum PlantedFault {
    /// The first balancer of the process makes no more calls after some updates.
    NeverAsksAgain,
}

/// Runs the hollow balancers of the [`Assignment`] in this file until standard input ends.
///
/// # Errors
/// The assignment or a command can't be read, or standard output is closed.
pub async fn run_assignment(file: &Path, fault: Option<PlantedFault>) -> io::Result<()> {
    let assignment: Assignment = serde_json::from_slice(&std::fs::read(file)?)?;
    let commands = Receiver::from_file(File::from(io::stdin().as_fd().try_clone_to_owned()?))?;
    let reports = Sender::from_file(File::from(io::stdout().as_fd().try_clone_to_owned()?))?;
    let process = Rc::new(HollowProcess::new(assignment, fault));
    process.balancers.iter().for_each(|balancer| process.clone().start_balancer(balancer));
    tokio::select! {
        ended = process.run_commands(commands) => ended,
        ended = process.write_reports(reports) => ended,
    }
}

/// The state of this hollow process.
struct HollowProcess {
    assignment: Assignment,
    fault: Option<PlantedFault>,
    /// The keys of records, shared by the control clients of all balancers.
    key_interner: KeyInterner,
    key_indices: KeyIndices,
    balancers: Vec<Rc<HollowBalancer>>,
    /// Permits for balancers that take their first snapshot.
    snapshot_permits: std::sync::Arc<Semaphore>,
    /// Reports for the next write to the laboratory.
    pending_reports: RefCell<Vec<HollowReport>>,
    /// Versions that came in force since the last write.
    pending_in_force: RefCell<Vec<InForce>>,
}

/// A hollow balancer: its consumer, the status of its control client and its task.
struct HollowBalancer {
    number: u32,
    consumer: RefCell<Consumer>,
    /// The status of the control client since the last restart.
    status: RefCell<Rc<FollowerStatus>>,
    /// The sum of the counters of all control clients before the last restart.
    counters_before_restart: Cell<Counters>,
    /// The number of updates that were applied.
    updates: Cell<u64>,
    task: RefCell<Option<JoinHandle<()>>>,
}

/// The counters of a balancer's control client.
#[derive(Clone, Copy, Debug, Default)]
struct Counters {
    received: u64,
    sent: u64,
    rejections: u64,
    repairs: u64,
    snapshots: u64,
    calls: u64,
    failures: u64,
}

impl Counters {
    fn from_status(status: &FollowerStatus) -> Counters {
        let counters = status.counters();
        Counters {
            received: counters.bytes_received,
            sent: counters.bytes_sent,
            rejections: counters.rejected_responses,
            repairs: counters.repairs_started,
            snapshots: counters.snapshots_started,
            calls: counters.requests_sent,
            failures: counters.failed_requests,
        }
    }

    fn plus(self, other: Counters) -> Counters {
        Counters {
            received: self.received + other.received,
            sent: self.sent + other.sent,
            rejections: self.rejections + other.rejections,
            repairs: self.repairs + other.repairs,
            snapshots: self.snapshots + other.snapshots,
            calls: self.calls + other.calls,
            failures: self.failures + other.failures,
        }
    }
}

impl HollowBalancer {
    fn new(number: u32, key_indices: KeyIndices) -> HollowBalancer {
        HollowBalancer {
            number,
            consumer: RefCell::new(Consumer::new(key_indices)),
            status: RefCell::default(),
            counters_before_restart: Cell::default(),
            updates: Cell::new(0),
            task: RefCell::default(),
        }
    }

    fn counters(&self) -> Counters {
        self.counters_before_restart.get().plus(Counters::from_status(&self.status.borrow()))
    }

    /// Stops following and drops all state except the counters.
    fn stop(&self, key_indices: KeyIndices) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        self.counters_before_restart.set(self.counters());
        self.status.replace(Rc::default());
        self.consumer.replace(Consumer::new(key_indices));
    }

    fn byte_counts(&self) -> BalancerBytes {
        let Counters { received, sent, .. } = self.counters();
        BalancerBytes { balancer: self.number, received, sent, server: self.status.borrow().current_server() }
    }

    fn final_state(&self) -> FinalState {
        let Counters { received, sent, rejections, repairs, snapshots, calls, failures } = self.counters();
        let consumer = self.consumer.borrow();
        FinalState {
            balancer: self.number,
            version: consumer.version(),
            digest: consumer.digest(),
            rejections,
            repairs,
            snapshots,
            calls,
            failures,
            received,
            sent,
        }
    }
}

impl HollowProcess {
    fn new(assignment: Assignment, fault: Option<PlantedFault>) -> HollowProcess {
        let key_indices = KeyIndices::default();
        let new = |number: &u32| Rc::new(HollowBalancer::new(*number, key_indices.clone()));
        HollowProcess {
            balancers: assignment.balancers.iter().map(new).collect(),
            snapshot_permits: std::sync::Arc::new(Semaphore::new(assignment.starts_at_once as usize)),
            assignment,
            fault,
            key_interner: KeyInterner::default(),
            key_indices,
            pending_reports: RefCell::default(),
            pending_in_force: RefCell::default(),
        }
    }

    fn start_balancer(self: Rc<Self>, balancer: &Rc<HollowBalancer>) {
        let task = spawn_local(self.run_balancer(balancer.clone()));
        balancer.task.replace(Some(task));
    }

    /// Waits for a permit to take the first snapshot, and follows the control servers from then on.
    async fn run_balancer(self: Rc<Self>, balancer: Rc<HollowBalancer>) {
        let Ok(permit) = self.snapshot_permits.clone().acquire_owned().await else { return };
        let (deliver, updates) = mpsc::unbounded_channel();
        let status = Rc::new(FollowerStatus::default());
        balancer.status.replace(status.clone());
        let follower = follow(self.follower_options(balancer.number), |_, _| Ok(()), deliver, status);
        tokio::join!(follower, self.apply_updates(&balancer, updates, permit));
    }

    /// The options of the control client of a balancer.
    fn follower_options(&self, number: u32) -> FollowerConfig {
        let regions = self.assignment.servers.len().max(1);
        let servers = self.assignment.servers.get(number as usize % regions);
        // Followers are spread over servers by their number, so they are numbered within each region.
        let number_in_region = u64::from(number) / regions as u64;
        FollowerConfig {
            servers: servers.cloned().unwrap_or_default(),
            name: format!("hollow-{number}"),
            follower_number: number_in_region,
            seed: self.assignment.seed ^ u64::from(number),
            max_hold: Duration::from_millis(self.assignment.hold_ms),
            response_grace: MAX_ANSWER_DELAY,
            limits: Limits::default(),
            key_interner: self.key_interner.clone(),
        }
    }

    /// Applies updates and acknowledges them to the control client. The permit is released after the first update.
    async fn apply_updates(
        &self,
        balancer: &HollowBalancer,
        mut updates: mpsc::UnboundedReceiver<UpdateDelivery>,
        first_snapshot_permit: OwnedSemaphorePermit,
    ) {
        let mut first_snapshot_permit = Some(first_snapshot_permit);
        while let Some(UpdateDelivery { update, applied }) = updates.recv().await {
            if self.has_stopped_polling(balancer) {
                // The control client makes its next call only after this update is acknowledged, which never happens.
                std::future::pending::<()>().await;
            }
            if let Err(violation) = balancer.consumer.borrow_mut().apply(&update) {
                let report =
                    HollowReport::OrderViolation { balancer: balancer.number, what: violation.to_string() };
                self.pending_reports.borrow_mut().push(report);
            }
            let in_force_report = InForce {
                balancer: balancer.number,
                revision: update.version.revision,
                at_us: clock::now_us(),
            };
            self.pending_in_force.borrow_mut().push(in_force_report);
            balancer.updates.set(balancer.updates.get() + 1);
            // Fails only if the control client has ended.
            let _acknowledged = applied.send(());
            drop(first_snapshot_permit.take());
        }
    }

    /// Whether [`PlantedFault::NeverAsksAgain`] takes effect at this balancer now.
    fn has_stopped_polling(&self, balancer: &HollowBalancer) -> bool {
        let is_first = self.balancers.first().is_some_and(|first| first.number == balancer.number);
        let is_due = balancer.updates.get() >= UPDATES_BEFORE_FAULT;
        self.fault == Some(PlantedFault::NeverAsksAgain) && is_first && is_due
    }

    /// Reads and executes commands until the input ends.
    async fn run_commands(self: &Rc<Self>, commands: Receiver) -> io::Result<()> {
        let mut lines = BufReader::new(commands).lines();
        while let Some(line) = lines.next_line().await? {
            match serde_json::from_str(&line)? {
                HollowCommand::Restart(group) => self.restart_group(group),
                HollowCommand::CountServerLoads(phase) => {
                    let report = HollowReport::ServerLoads(phase, self.read_byte_counts());
                    self.pending_reports.borrow_mut().push(report);
                }
                HollowCommand::ReportFinalStates => {
                    self.queue_byte_report();
                    let states = self.balancers.iter().map(|balancer| balancer.final_state()).collect();
                    self.pending_reports.borrow_mut().push(HollowReport::Final(states));
                }
            }
        }
        Ok(())
    }

    /// Restarts all balancers of a group without keeping any state.
    fn restart_group(self: &Rc<Self>, group: u32) {
        for balancer in self.balancers.iter().filter(|balancer| balancer.number % RESTART_GROUPS == group) {
            balancer.stop(self.key_indices.clone());
            self.clone().start_balancer(balancer);
        }
    }

    fn queue_byte_report(&self) {
        self.pending_reports.borrow_mut().push(HollowReport::ByteCounts(self.read_byte_counts()));
    }

    fn read_byte_counts(&self) -> ByteCounts {
        let balancers = self.balancers.iter().map(|balancer| balancer.byte_counts()).collect();
        ByteCounts { at_us: clock::now_us(), balancers }
    }

    /// Writes the pending reports at each interval, with all byte counters once in each measurement window.
    async fn write_reports(&self, mut reports: Sender) -> io::Result<()> {
        let mut last_window = 0;
        loop {
            sleep(REPORT_INTERVAL).await;
            let window = clock::now_us() / (WINDOW_SECONDS * 1_000_000);
            if std::mem::replace(&mut last_window, window) != window {
                self.queue_byte_report();
            }
            let in_force = self.pending_in_force.take();
            let mut pending = self.pending_reports.take();
            // This report goes first, because the laboratory expects to know all versions in force when it gets the
            // final states.
            pending.insert(0, HollowReport::InForce(in_force));
            reports.write_all(&json_lines(&pending)?).await?;
        }
    }
}

fn json_lines(reports: &[HollowReport]) -> io::Result<Vec<u8>> {
    let mut text = Vec::new();
    for report in reports {
        serde_json::to_writer(&mut text, report)?;
        text.push(b'\n');
    }
    Ok(text)
}
