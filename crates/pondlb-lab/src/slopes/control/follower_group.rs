//! Followers of one server, run as hollow balancers: the real control client without request traffic.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::scale::hollow_processes::HollowProcesses;
use crate::scale::message::{Assignment, FinalState, HollowCommand, InForce};
use crate::slopes::process_stats::Process;

/// Number of processes over which followers that are added together are spread. The processes share the machine with
/// the server.
const PROCESSES_PER_ADDITION: u32 = 4;
/// The longest time for which the server may hold a call without changes, in milliseconds.
const HOLD_MS: u64 = 1000;
/// Seed of the followers' random numbers.
const SEED: u64 = 1;
/// How long followers may take to report their counters.
const COUNTERS_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks of the reported counters.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Counters of the control clients of all followers since their start, summed.
#[derive(Clone, Copy, Debug, Default)]
pub struct FollowerCounters {
    /// Calls, including repeated ones.
    pub calls: u64,
    /// Calls without a usable response, such as those answered with 503.
    pub failures: u64,
    /// Bytes from the server.
    pub received_bytes: u64,
    /// Bytes to the server.
    pub sent_bytes: u64,
}

impl FollowerCounters {
    /// The difference to earlier counters.
    pub fn since(&self, earlier: &FollowerCounters) -> FollowerCounters {
        FollowerCounters {
            calls: self.calls.saturating_sub(earlier.calls),
            failures: self.failures.saturating_sub(earlier.failures),
            received_bytes: self.received_bytes.saturating_sub(earlier.received_bytes),
            sent_bytes: self.sent_bytes.saturating_sub(earlier.sent_bytes),
        }
    }
}

/// Followers of one server. Their processes end when it is dropped.
pub struct FollowerGroup {
    server: SocketAddr,
    processes: HollowProcesses,
    count: u32,
}

impl FollowerGroup {
    /// A group without followers.
    ///
    /// # Errors
    /// No temporary directory can be created.
    pub fn new(server: SocketAddr) -> io::Result<FollowerGroup> {
        Ok(FollowerGroup { server, processes: HollowProcesses::without_processes()?, count: 0 })
    }

    /// The server that the group follows.
    pub fn server(&self) -> SocketAddr {
        self.server
    }

    /// Number of followers.
    pub fn len(&self) -> usize {
        self.count as usize
    }

    /// Adds followers. In each process, at most `starts_at_once` of them fetch their first snapshot at the same time.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn add(&mut self, followers: usize, starts_at_once: u32) -> io::Result<()> {
        let first_number = self.count;
        let end_number = first_number + u32::try_from(followers).map_err(io::Error::other)?;
        let processes = PROCESSES_PER_ADDITION.min(end_number - first_number);
        for process in 0..processes {
            let assignment = Assignment {
                balancers: (first_number + process..end_number).step_by(processes as usize).collect(),
                servers: vec![vec![self.server]],
                seed: SEED,
                hold_ms: HOLD_MS,
                starts_at_once,
            };
            self.processes.add(&assignment, &[])?;
        }
        self.count = end_number;
        Ok(())
    }

    /// Number of followers that have applied this revision or a later one.
    pub fn count_at_revision(&self, revision: u64) -> usize {
        self.processes.reports.borrow().count_at_revision(revision)
    }

    /// Number of followers that have applied their first state.
    pub fn started_count(&self) -> usize {
        self.processes.reports.borrow().in_force.len()
    }

    /// When the last follower applied its first state, by the machine's clock in microseconds; none if no follower has.
    pub fn last_start_us(&self) -> Option<u64> {
        let reported = self.processes.reports.borrow();
        let first = |series: &Vec<InForce>| series.first().map(|first| first.at_us);
        reported.in_force.values().filter_map(first).max()
    }

    /// Processor time of the followers' processes so far.
    ///
    /// # Errors
    /// A process has ended.
    pub fn processor_time(&self) -> io::Result<Duration> {
        self.processes.process_ids().into_iter().map(|id| Ok(Process(id).processor_time()?.on_cpu)).sum()
    }

    /// Asks all followers for their current counters. [`FollowerGroup::counters`] waits for the replies.
    ///
    /// # Errors
    /// A process has ended.
    pub async fn request_counters(&mut self) -> io::Result<()> {
        self.processes.reports.borrow_mut().final_states.clear();
        self.processes.send_command(&HollowCommand::ReportFinalStates).await
    }

    /// Waits for the counters that were requested last, and returns their sum.
    ///
    /// # Errors
    /// A process has ended, or followers do not report their counters in time.
    pub async fn counters(&mut self) -> io::Result<FollowerCounters> {
        let deadline = Instant::now() + COUNTERS_TIMEOUT;
        while self.processes.reports.borrow().final_states.len() < self.len() {
            self.check_running()?;
            if Instant::now() >= deadline {
                return Err(io::Error::other(format!(
                    "followers reported no counters within {COUNTERS_TIMEOUT:?}"
                )));
            }
            sleep(POLL_INTERVAL).await;
        }
        let reported = self.processes.reports.borrow();
        let add = |sum: FollowerCounters, state: &FinalState| FollowerCounters {
            calls: sum.calls + state.calls,
            failures: sum.failures + state.failures,
            received_bytes: sum.received_bytes + state.received,
            sent_bytes: sum.sent_bytes + state.sent,
        };
        Ok(reported.final_states.values().fold(FollowerCounters::default(), add))
    }

    /// Checks that all processes run and that all changes have arrived in order.
    ///
    /// # Errors
    /// A process has ended, or a follower received changes in the wrong order.
    pub fn check_running(&mut self) -> io::Result<()> {
        if let Some(ended) = self.processes.unexpected_exits().into_iter().next() {
            return Err(io::Error::other(ended));
        }
        match self.processes.reports.borrow().order_violations.first() {
            Some(misorder) => Err(io::Error::other(misorder.clone())),
            None => Ok(()),
        }
    }
}
