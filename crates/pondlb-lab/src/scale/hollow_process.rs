//! A hollow process: many balancers that follow control servers as real ones do, and serve no traffic.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io;
use std::os::fd::AsFd;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use clap::ValueEnum;
use pondlb_control::{KeyInterner, Limits};
use pondlb_control_net::{Delivered, Following, Status, follow};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::pipe::{Receiver, Sender};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use super::clock;
use super::consumer::{Consumer, KeyNumbers};
use super::measure::WINDOW_SECONDS;
use super::message::{
    Assignment, BalancerBytes, ByteCounts, FinalState, HollowCommand, HollowReport, InForce,
};

/// How often news is reported.
const REPORT_EVERY: Duration = Duration::from_millis(250);
/// After how long a server that has not answered a held call is given up, beyond what it may hold it.
const LATE: Duration = Duration::from_millis(300);
/// How many updates a balancer takes before its planted fault.
const UPDATES_BEFORE_FAULT: u64 = 3;
pub const RESTART_GROUPS: u32 = 10;

/// A fault on purpose, which proves that a run can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum PlantedFault {
    /// The first balancer of the process never asks again after some updates.
    NeverAsksAgain,
}

/// Plays the assignment in that file until standard input ends.
///
/// # Errors
/// Where the assignment can't be read, or nobody reads the reports any more.
pub async fn run_assignment(file: &Path, fault: Option<PlantedFault>) -> io::Result<()> {
    let assignment: Assignment = serde_json::from_slice(&std::fs::read(file)?)?;
    let orders = Receiver::from_file(File::from(io::stdin().as_fd().try_clone_to_owned()?))?;
    let reports = Sender::from_file(File::from(io::stdout().as_fd().try_clone_to_owned()?))?;
    let process = Rc::new(Process::new(assignment, fault));
    process.balancers.iter().for_each(|balancer| process.clone().start(balancer));
    tokio::select! {
        ended = process.obey(orders) => ended,
        ended = process.report_regularly(reports) => ended,
    }
}

struct Process {
    assignment: Assignment,
    fault: Option<PlantedFault>,
    names: KeyInterner,
    keys: KeyNumbers,
    balancers: Vec<Rc<Balancer>>,
    /// Those that take their first snapshot.
    starting: std::sync::Arc<Semaphore>,
    news: RefCell<Vec<HollowReport>>,
    in_force: RefCell<Vec<InForce>>,
}

struct Balancer {
    number: u32,
    consumer: RefCell<Consumer>,
    status: RefCell<Rc<Status>>,
    /// Counters of its lives before the last restart.
    earlier: Cell<Counts>,
    updates: Cell<u64>,
    task: RefCell<Option<JoinHandle<()>>>,
}

/// What a balancer's driver counts.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    received: u64,
    sent: u64,
    rejections: u64,
    repairs: u64,
    snapshots: u64,
    calls: u64,
    failures: u64,
}

impl Counts {
    fn of(status: &Status) -> Counts {
        let counters = status.counters();
        Counts {
            received: counters.bytes_received,
            sent: counters.bytes_sent,
            rejections: counters.rejections,
            repairs: counters.repairs,
            snapshots: counters.snapshots,
            calls: counters.calls,
            failures: counters.failures,
        }
    }

    fn plus(self, other: Counts) -> Counts {
        Counts {
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

impl Balancer {
    fn new(number: u32, keys: KeyNumbers) -> Balancer {
        Balancer {
            number,
            consumer: RefCell::new(Consumer::new(keys)),
            status: RefCell::default(),
            earlier: Cell::default(),
            updates: Cell::new(0),
            task: RefCell::default(),
        }
    }

    fn counts(&self) -> Counts {
        self.earlier.get().plus(Counts::of(&self.status.borrow()))
    }

    /// Ends it, with all that it held.
    fn end(&self, keys: KeyNumbers) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        self.earlier.set(self.counts());
        self.status.replace(Rc::default());
        self.consumer.replace(Consumer::new(keys));
    }

    fn bytes(&self) -> BalancerBytes {
        let Counts { received, sent, .. } = self.counts();
        BalancerBytes { balancer: self.number, received, sent, server: self.status.borrow().server() }
    }

    fn state(&self) -> FinalState {
        let Counts { received, sent, rejections, repairs, snapshots, calls, failures } = self.counts();
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

impl Process {
    fn new(assignment: Assignment, fault: Option<PlantedFault>) -> Process {
        let keys = KeyNumbers::default();
        let new = |number: &u32| Rc::new(Balancer::new(*number, keys.clone()));
        Process {
            balancers: assignment.balancers.iter().map(new).collect(),
            starting: std::sync::Arc::new(Semaphore::new(assignment.starts_at_once as usize)),
            assignment,
            fault,
            names: KeyInterner::default(),
            keys,
            news: RefCell::default(),
            in_force: RefCell::default(),
        }
    }

    fn start(self: Rc<Self>, balancer: &Rc<Balancer>) {
        let task = spawn_local(self.run(balancer.clone()));
        balancer.task.replace(Some(task));
    }

    /// Takes its turn for a first snapshot, and follows from then on.
    async fn run(self: Rc<Self>, balancer: Rc<Balancer>) {
        let Ok(turn) = self.starting.clone().acquire_owned().await else { return };
        let (deliver, updates) = mpsc::unbounded_channel();
        let status = Rc::new(Status::default());
        balancer.status.replace(status.clone());
        let follower = follow(self.following(balancer.number), |_, _| Ok(()), deliver, status);
        tokio::join!(follower, self.consume(&balancer, updates, turn));
    }

    fn following(&self, number: u32) -> Following {
        let regions = self.assignment.servers.len().max(1);
        let servers = self.assignment.servers.get(number as usize % regions);
        // Those of one region have numbers of their own, so that its servers get equally many.
        let number_in_region = u64::from(number) / regions as u64;
        Following {
            servers: servers.cloned().unwrap_or_default(),
            name: format!("hollow-{number}"),
            number: number_in_region,
            seed: self.assignment.seed ^ u64::from(number),
            hold: Duration::from_millis(self.assignment.hold_ms),
            late: LATE,
            limits: Limits::default(),
            names: self.names.clone(),
        }
    }

    async fn consume(
        &self,
        balancer: &Balancer,
        mut updates: mpsc::UnboundedReceiver<Delivered>,
        turn: OwnedSemaphorePermit,
    ) {
        let mut turn = Some(turn);
        while let Some(Delivered { update, in_force }) = updates.recv().await {
            if self.is_mute(balancer) {
                // The next call leaves only once this update is in force.
                std::future::pending::<()>().await;
            }
            if let Err(misorder) = balancer.consumer.borrow_mut().take(&update) {
                let report =
                    HollowReport::OrderViolation { balancer: balancer.number, what: misorder.to_string() };
                self.news.borrow_mut().push(report);
            }
            let news = InForce {
                balancer: balancer.number,
                revision: update.version.revision,
                at_us: clock::now_us(),
            };
            self.in_force.borrow_mut().push(news);
            balancer.updates.set(balancer.updates.get() + 1);
            // The driver that does not wait for it has ended.
            let _told = in_force.send(());
            drop(turn.take());
        }
    }

    fn is_mute(&self, balancer: &Balancer) -> bool {
        let is_first = self.balancers.first().is_some_and(|first| first.number == balancer.number);
        let is_due = balancer.updates.get() >= UPDATES_BEFORE_FAULT;
        self.fault == Some(PlantedFault::NeverAsksAgain) && is_first && is_due
    }

    async fn obey(self: &Rc<Self>, orders: Receiver) -> io::Result<()> {
        let mut lines = BufReader::new(orders).lines();
        while let Some(line) = lines.next_line().await? {
            match serde_json::from_str(&line)? {
                HollowCommand::Restart(group) => self.restart(group),
                HollowCommand::CountServerLoads(phase) => {
                    let report = HollowReport::ServerLoads(phase, self.traffic());
                    self.news.borrow_mut().push(report);
                }
                HollowCommand::ReportFinalStates => {
                    self.report_bytes();
                    let states = self.balancers.iter().map(|balancer| balancer.state()).collect();
                    self.news.borrow_mut().push(HollowReport::Final(states));
                }
            }
        }
        Ok(())
    }

    fn restart(self: &Rc<Self>, group: u32) {
        for balancer in self.balancers.iter().filter(|balancer| balancer.number % RESTART_GROUPS == group) {
            balancer.end(self.keys.clone());
            self.clone().start(balancer);
        }
    }

    fn report_bytes(&self) {
        self.news.borrow_mut().push(HollowReport::ByteCounts(self.traffic()));
    }

    fn traffic(&self) -> ByteCounts {
        let bytes = self.balancers.iter().map(|balancer| balancer.bytes()).collect();
        ByteCounts { at_us: clock::now_us(), balancers: bytes }
    }

    async fn report_regularly(&self, mut reports: Sender) -> io::Result<()> {
        let mut window = 0;
        loop {
            sleep(REPORT_EVERY).await;
            let present = clock::now_us() / (WINDOW_SECONDS * 1_000_000);
            if std::mem::replace(&mut window, present) != present {
                self.report_bytes();
            }
            let in_force = self.in_force.take();
            let mut news = self.news.take();
            // Before the rest: final states are read once all that came in force is known.
            news.insert(0, HollowReport::InForce(in_force));
            reports.write_all(&lines(&news)?).await?;
        }
    }
}

fn lines(reports: &[HollowReport]) -> io::Result<Vec<u8>> {
    let mut text = Vec::new();
    for report in reports {
        serde_json::to_writer(&mut text, report)?;
        text.push(b'\n');
    }
    Ok(text)
}
