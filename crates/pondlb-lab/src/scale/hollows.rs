//! The hollow processes of a run, as the run sees them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;

use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, ChildStdin, ChildStdout};
use tokio::task::{JoinHandle, spawn_local};

use super::measure::ByteLedger;
use super::message::{Assignment, FinalState, InForce, Order, Report, Traffic};
use super::scenario::Scenario;
use crate::child_process::command_killed_with_parent;

/// The sub-command that is a hollow process.
pub const HOLLOW: &str = "hollow";

/// What all hollow processes have reported.
#[derive(Default)]
pub struct Reported {
    /// For each balancer, what came in force there in the order of its times.
    pub in_force: BTreeMap<u32, Vec<InForce>>,
    /// Bytes by time.
    pub bytes: ByteLedger,
    /// Readings of counters that were asked for, with the phase that asked for them.
    pub server_loads: Vec<(usize, Traffic)>,
    /// Failed checks of the order of versions and revisions.
    pub misorders: Vec<String>,
    /// The states at the end, by balancer.
    pub finals: BTreeMap<u32, FinalState>,
    /// Lines that could not be read.
    pub unreadable: u64,
}

impl Reported {
    fn take(&mut self, report: Report) {
        match report {
            Report::InForce(news) => {
                for one in news {
                    self.in_force.entry(one.balancer).or_default().push(one);
                }
            }
            Report::Traffic(traffic) => self.bytes.note(&traffic),
            Report::ServerLoads(phase, traffic) => self.server_loads.push((phase, traffic)),
            Report::Misorder { balancer, what } => {
                self.misorders.push(format!("hollow balancer {balancer}: {what}"));
            }
            Report::Final(states) => {
                self.finals.extend(states.into_iter().map(|state| (state.balancer, state)));
            }
        }
    }

    /// How many balancers have this revision or a later one in force.
    pub fn with_revision(&self, revision: u64) -> usize {
        let latest = |series: &&Vec<InForce>| series.last().is_some_and(|last| last.revision >= revision);
        self.in_force.values().filter(latest).count()
    }
}

struct Process {
    child: Child,
    orders: ChildStdin,
    reader: JoinHandle<()>,
}

/// All hollow processes. They end with it.
pub struct HollowProcesses {
    folder: TempDir,
    processes: Vec<Process>,
    /// What they have reported so far.
    pub reported: Rc<RefCell<Reported>>,
}

impl HollowProcesses {
    /// Starts them; `arguments` are given to each beside its assignment.
    ///
    /// # Errors
    /// Where one can't be started.
    pub fn start(
        scenario: &Scenario,
        servers: &[Vec<SocketAddr>],
        arguments: &[String],
    ) -> io::Result<HollowProcesses> {
        let mut hollow = HollowProcesses::none()?;
        let processes = scenario.hollow_processes();
        let each = scenario.hollow_balancers().div_ceil(processes);
        for number in 0..processes {
            let mine = |balancer: &u32| (balancer - scenario.real_balancers) / each == number;
            let assignment = Assignment {
                balancers: (scenario.real_balancers..scenario.balancers).filter(mine).collect(),
                servers: servers.to_vec(),
                seed: scenario.seed,
                hold_ms: scenario.hold_ms,
                starts_at_once: scenario.starts_at_once,
            };
            hollow.add(&assignment, arguments)?;
        }
        Ok(hollow)
    }

    /// None yet.
    ///
    /// # Errors
    /// Where the machine has no folder to give.
    pub fn none() -> io::Result<HollowProcesses> {
        Ok(HollowProcesses { folder: tempfile::tempdir()?, processes: Vec::new(), reported: Rc::default() })
    }

    /// Starts one more; `arguments` are given to it beside its assignment.
    ///
    /// # Errors
    /// Where it can't be started.
    pub fn add(&mut self, assignment: &Assignment, arguments: &[String]) -> io::Result<()> {
        let process = self.spawn(self.processes.len(), assignment, arguments)?;
        self.processes.push(process);
        Ok(())
    }

    fn spawn(&self, number: usize, assignment: &Assignment, arguments: &[String]) -> io::Result<Process> {
        let file: PathBuf = self.folder.path().join(format!("{number}.json"));
        std::fs::write(&file, serde_json::to_vec(assignment)?)?;
        let log = File::create(self.folder.path().join(format!("{number}.log")))?;
        let mut child = command_killed_with_parent(&std::env::current_exe()?)?
            .arg(HOLLOW)
            .arg(file)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()?;
        let orders = child.stdin.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let reports = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let reader = spawn_local(read(reports, self.reported.clone()));
        Ok(Process { child, orders, reader })
    }

    /// Tells all processes the same.
    ///
    /// # Errors
    /// Where one has ended.
    pub async fn order(&mut self, order: &Order) -> io::Result<()> {
        let line = serde_json::to_string(order)? + "\n";
        for process in &mut self.processes {
            process.orders.write_all(line.as_bytes()).await?;
        }
        Ok(())
    }

    /// Stops a process as it stands.
    ///
    /// # Errors
    /// Where it has ended.
    pub fn stop(&self, number: u32) -> io::Result<()> {
        self.signal(number, Signal::STOP)
    }

    /// Lets a stopped process go on.
    ///
    /// # Errors
    /// Where it has ended.
    pub fn continue_again(&self, number: u32) -> io::Result<()> {
        self.signal(number, Signal::CONT)
    }

    fn signal(&self, number: u32, signal: Signal) -> io::Result<()> {
        let id = self.processes.get(number as usize).and_then(|process| process.child.id());
        let id = id.and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
        kill_process(id.ok_or(io::ErrorKind::NotFound)?, signal)?;
        Ok(())
    }

    /// Their process ids.
    pub fn processes(&self) -> Vec<u32> {
        self.processes.iter().filter_map(|process| process.child.id()).collect()
    }

    /// Which have ended by themselves, with the last line that they logged.
    pub fn ended(&mut self) -> Vec<String> {
        let folder = self.folder.path();
        let ended = |(number, process): (usize, &mut Process)| {
            let status = process.child.try_wait().ok()??;
            let log = std::fs::read_to_string(folder.join(format!("{number}.log"))).unwrap_or_default();
            let said = log.lines().last().unwrap_or_default();
            Some(format!("hollow process {number} ended by itself, {status}: {said}"))
        };
        self.processes.iter_mut().enumerate().filter_map(ended).collect()
    }
}

impl Drop for HollowProcesses {
    fn drop(&mut self) {
        self.processes.iter().for_each(|process| process.reader.abort());
    }
}

async fn read(reports: ChildStdout, reported: Rc<RefCell<Reported>>) {
    let mut lines = BufReader::new(reports).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        match serde_json::from_str(&line) {
            Ok(report) => reported.borrow_mut().take(report),
            Err(_) => reported.borrow_mut().unreadable += 1,
        }
    }
}
