//! The laboratory's side of the hollow processes: it starts them, sends them commands and collects their reports.

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
use super::message::{Assignment, FinalState, HollowCommand, HollowReport, InForce};
use super::scenario::Scenario;
use super::server_loads::ServerLoadReading;
use crate::child_process::command_killed_with_parent;

/// The sub-command of the laboratory's program that runs a hollow process.
pub const HOLLOW_SUBCOMMAND: &str = "hollow";

/// The reports of all hollow processes so far.
#[derive(Default)]
pub struct HollowReports {
    /// The versions that came in force at each balancer, in the order of time.
    pub in_force: BTreeMap<u32, Vec<InForce>>,
    /// The byte counters of the balancers over time.
    pub bytes: ByteLedger,
    /// Readings of byte counters for [`ServerLoads`](super::server_loads::ServerLoads).
    pub server_load_readings: Vec<ServerLoadReading>,
    /// Updates with a version or revision that did not increase.
    pub order_violations: Vec<String>,
    /// The final state of each balancer.
    pub final_states: BTreeMap<u32, FinalState>,
    /// The number of lines that are no valid report.
    pub unreadable_lines: u64,
}

impl HollowReports {
    fn record(&mut self, report: HollowReport) {
        match report {
            HollowReport::InForce(reports) => {
                for report in reports {
                    self.in_force.entry(report.balancer).or_default().push(report);
                }
            }
            HollowReport::ByteCounts(counts) => self.bytes.record(&counts),
            HollowReport::ServerLoads(phase, counts) => {
                self.server_load_readings.push(ServerLoadReading { phase, counts });
            }
            HollowReport::OrderViolation { balancer, what } => {
                self.order_violations.push(format!("hollow balancer {balancer}: {what}"));
            }
            HollowReport::Final(states) => {
                self.final_states.extend(states.into_iter().map(|state| (state.balancer, state)));
            }
        }
    }

    /// The number of balancers that have this revision or a later one in force.
    pub fn count_at_revision(&self, revision: u64) -> usize {
        let has_revision =
            |series: &&Vec<InForce>| series.last().is_some_and(|last| last.revision >= revision);
        self.in_force.values().filter(has_revision).count()
    }
}

struct ChildProcess {
    child: Child,
    /// The pipe for commands.
    commands: ChildStdin,
    /// The task that reads the reports.
    reader: JoinHandle<()>,
}

/// The hollow processes of a run. They are killed when this is dropped.
pub struct HollowProcesses {
    /// Holds an assignment and a log file for each process.
    folder: TempDir,
    processes: Vec<ChildProcess>,
    /// What the processes have reported so far.
    pub reports: Rc<RefCell<HollowReports>>,
}

impl HollowProcesses {
    /// Starts all hollow processes of a scenario, with the control servers of each region. Each process gets `arguments`
    /// after the path of its assignment.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn start(
        scenario: &Scenario,
        servers: &[Vec<SocketAddr>],
        arguments: &[String],
    ) -> io::Result<HollowProcesses> {
        let mut hollow = HollowProcesses::without_processes()?;
        let process_count = scenario.hollow_process_count();
        let balancers_per_process = scenario.hollow_balancer_count().div_ceil(process_count);
        for process in 0..process_count {
            let is_in_process =
                |balancer: &u32| (balancer - scenario.real_balancers) / balancers_per_process == process;
            let assignment = Assignment {
                balancers: (scenario.real_balancers..scenario.balancers).filter(is_in_process).collect(),
                servers: servers.to_vec(),
                seed: scenario.seed,
                hold_ms: scenario.hold_ms,
                starts_at_once: scenario.starts_at_once,
            };
            hollow.add(&assignment, arguments)?;
        }
        Ok(hollow)
    }

    /// Creates the collection without any process; [`HollowProcesses::add`] starts one.
    ///
    /// # Errors
    /// No temporary folder can be created.
    pub fn without_processes() -> io::Result<HollowProcesses> {
        Ok(HollowProcesses { folder: tempfile::tempdir()?, processes: Vec::new(), reports: Rc::default() })
    }

    /// Starts one more process. It gets `arguments` after the path of its assignment.
    ///
    /// # Errors
    /// The process can't be started.
    pub fn add(&mut self, assignment: &Assignment, arguments: &[String]) -> io::Result<()> {
        let process = self.spawn(self.processes.len(), assignment, arguments)?;
        self.processes.push(process);
        Ok(())
    }

    fn spawn(
        &self,
        number: usize,
        assignment: &Assignment,
        arguments: &[String],
    ) -> io::Result<ChildProcess> {
        let file: PathBuf = self.folder.path().join(format!("{number}.json"));
        std::fs::write(&file, serde_json::to_vec(assignment)?)?;
        let log = File::create(self.folder.path().join(format!("{number}.log")))?;
        let mut child = command_killed_with_parent(&std::env::current_exe()?)?
            .arg(HOLLOW_SUBCOMMAND)
            .arg(file)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()?;
        let commands = child.stdin.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let stdout = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let reader = spawn_local(read_reports(stdout, self.reports.clone()));
        Ok(ChildProcess { child, commands, reader })
    }

    /// Sends a command to all processes.
    ///
    /// # Errors
    /// A process has ended.
    pub async fn send_command(&mut self, command: &HollowCommand) -> io::Result<()> {
        let line = serde_json::to_string(command)? + "\n";
        for process in &mut self.processes {
            process.commands.write_all(line.as_bytes()).await?;
        }
        Ok(())
    }

    /// Suspends a process with SIGSTOP.
    ///
    /// # Errors
    /// There is no such process, or it has ended.
    pub fn pause(&self, number: u32) -> io::Result<()> {
        self.signal(number, Signal::STOP)
    }

    /// Resumes a suspended process with SIGCONT.
    ///
    /// # Errors
    /// There is no such process, or it has ended.
    pub fn resume(&self, number: u32) -> io::Result<()> {
        self.signal(number, Signal::CONT)
    }

    fn signal(&self, number: u32, signal: Signal) -> io::Result<()> {
        let id = self.processes.get(number as usize).and_then(|process| process.child.id());
        let id = id.and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
        kill_process(id.ok_or(io::ErrorKind::NotFound)?, signal)?;
        Ok(())
    }

    /// The process ids of those that run.
    pub fn process_ids(&self) -> Vec<u32> {
        self.processes.iter().filter_map(|process| process.child.id()).collect()
    }

    /// A message for each process that has exited without being killed by the run, with the last line of its log.
    pub fn unexpected_exits(&mut self) -> Vec<String> {
        let folder = self.folder.path();
        let exit_message = |(number, process): (usize, &mut ChildProcess)| {
            let status = process.child.try_wait().ok()??;
            let log = std::fs::read_to_string(folder.join(format!("{number}.log"))).unwrap_or_default();
            let last_line = log.lines().last().unwrap_or_default();
            Some(format!("hollow process {number} exited unexpectedly, {status}: {last_line}"))
        };
        self.processes.iter_mut().enumerate().filter_map(exit_message).collect()
    }
}

impl Drop for HollowProcesses {
    fn drop(&mut self) {
        self.processes.iter().for_each(|process| process.reader.abort());
    }
}

async fn read_reports(stdout: ChildStdout, reports: Rc<RefCell<HollowReports>>) {
    let mut lines = BufReader::new(stdout).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        match serde_json::from_str(&line) {
            Ok(report) => reports.borrow_mut().record(report),
            Err(_) => reports.borrow_mut().unreadable_lines += 1,
        }
    }
}
