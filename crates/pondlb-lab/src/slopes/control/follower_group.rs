//! Followers of one server, in processes of hollow balancers: the real client driver without traffic.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::scale::hollow_processes::HollowProcesses;
use crate::scale::message::{Assignment, FinalState, HollowCommand, InForce};
use crate::slopes::probe::Process;

/// Followers that are added together are spread over so many processes, which share the machine with the server.
const PROCESSES: u32 = 4;
const HOLD_MS: u64 = 1000;
const SEED: u64 = 1;
const COUNTERS_WITHIN: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(10);

/// What the drivers of all followers have counted since their start.
#[derive(Clone, Copy, Debug, Default)]
pub struct FollowerCounters {
    /// Calls, repeated ones included.
    pub calls: u64,
    /// Calls without a usable answer, as those answered with 503.
    pub failures: u64,
    /// Bytes from the server.
    pub received: u64,
    /// Bytes to the server.
    pub sent: u64,
}

impl FollowerCounters {
    /// What has come since then.
    pub fn since(&self, earlier: &FollowerCounters) -> FollowerCounters {
        FollowerCounters {
            calls: self.calls.saturating_sub(earlier.calls),
            failures: self.failures.saturating_sub(earlier.failures),
            received: self.received.saturating_sub(earlier.received),
            sent: self.sent.saturating_sub(earlier.sent),
        }
    }
}

/// Followers of one server. They end with it.
pub struct FollowerGroup {
    server: SocketAddr,
    processes: HollowProcesses,
    count: u32,
}

impl FollowerGroup {
    /// No follower yet.
    ///
    /// # Errors
    /// The machine has no folder to give.
    pub fn new(server: SocketAddr) -> io::Result<FollowerGroup> {
        Ok(FollowerGroup { server, processes: HollowProcesses::without_processes()?, count: 0 })
    }

    /// The server that they follow.
    pub fn server(&self) -> SocketAddr {
        self.server
    }

    /// How many followers there are.
    pub fn len(&self) -> usize {
        self.count as usize
    }

    /// Adds followers, of which so many in each process take their first snapshot at the same time.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn add(&mut self, followers: usize, starts_at_once: u32) -> io::Result<()> {
        let first = self.count;
        let end = first + u32::try_from(followers).map_err(io::Error::other)?;
        let processes = PROCESSES.min(end - first);
        for process in 0..processes {
            let assignment = Assignment {
                balancers: (first + process..end).step_by(processes as usize).collect(),
                servers: vec![vec![self.server]],
                seed: SEED,
                hold_ms: HOLD_MS,
                starts_at_once,
            };
            self.processes.add(&assignment, &[])?;
        }
        self.count = end;
        Ok(())
    }

    /// How many have this revision or a later one in force.
    pub fn with_revision(&self, revision: u64) -> usize {
        self.processes.reports.borrow().count_at_revision(revision)
    }

    /// How many have a first state in force.
    pub fn started(&self) -> usize {
        self.processes.reports.borrow().in_force.len()
    }

    /// When the last of them had its first state in force, by the machine's clock in microseconds; none where none has.
    pub fn last_start_us(&self) -> Option<u64> {
        let reported = self.processes.reports.borrow();
        let first = |series: &Vec<InForce>| series.first().map(|first| first.at_us);
        reported.in_force.values().filter_map(first).max()
    }

    /// Processor time of the followers' processes so far.
    ///
    /// # Errors
    /// One has ended.
    pub fn processor(&self) -> io::Result<Duration> {
        self.processes.process_ids().into_iter().map(|id| Ok(Process(id).scheduled()?.ran)).sum()
    }

    /// Asks all followers for their counters as they are now. [`FollowerGroup::counters`] waits for the answers.
    ///
    /// # Errors
    /// A process has ended.
    pub async fn ask_for_counters(&mut self) -> io::Result<()> {
        self.processes.reports.borrow_mut().final_states.clear();
        self.processes.send_command(&HollowCommand::ReportFinalStates).await
    }

    /// The counters that were asked for last, summed.
    ///
    /// # Errors
    /// A process has ended, or gives no answer in time.
    pub async fn counters(&mut self) -> io::Result<FollowerCounters> {
        let until = Instant::now() + COUNTERS_WITHIN;
        while self.processes.reports.borrow().final_states.len() < self.len() {
            self.check()?;
            if Instant::now() >= until {
                return Err(io::Error::other(format!(
                    "followers told no counters within {COUNTERS_WITHIN:?}"
                )));
            }
            sleep(POLL).await;
        }
        let reported = self.processes.reports.borrow();
        let add = |sum: FollowerCounters, state: &FinalState| FollowerCounters {
            calls: sum.calls + state.calls,
            failures: sum.failures + state.failures,
            received: sum.received + state.received,
            sent: sum.sent + state.sent,
        };
        Ok(reported.final_states.values().fold(FollowerCounters::default(), add))
    }

    /// # Errors
    /// A process has ended, or a follower was handed changes in a wrong order.
    pub fn check(&mut self) -> io::Result<()> {
        if let Some(ended) = self.processes.unexpected_exits().into_iter().next() {
            return Err(io::Error::other(ended));
        }
        match self.processes.reports.borrow().order_violations.first() {
            Some(misorder) => Err(io::Error::other(misorder.clone())),
            None => Ok(()),
        }
    }
}
