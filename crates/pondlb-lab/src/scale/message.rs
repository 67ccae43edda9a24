//! The messages that the laboratory and its hollow processes exchange: one line of JSON each.

use std::net::SocketAddr;

use pondlb_control::{Digest, Version};
use serde::{Deserialize, Serialize};

/// What a hollow process reads from a file at its start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Assignment {
    /// The numbers of the balancers that run in this process.
    pub balancers: Vec<u32>,
    /// The control servers of each region. A balancer belongs to the region `number % regions`.
    pub servers: Vec<Vec<SocketAddr>>,
    /// The seed of the random number generators.
    pub seed: u64,
    /// For how long a server may hold a call for changes that finds none, in milliseconds.
    pub hold_ms: u64,
    /// How many balancers of the process may take their first snapshot at the same time.
    pub starts_at_once: u32,
}

/// A command that a hollow process reads from its standard input. The process exits at the end of that input.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum HollowCommand {
    /// Restart the balancers whose number modulo [`RESTART_GROUPS`](super::hollow_process::RESTART_GROUPS) is this; they
    /// lose all of their state.
    Restart(u32),
    /// Report the byte counters of all balancers in a [`HollowReport::ServerLoads`] for the phase of this number.
    CountServerLoads(usize),
    /// Report the state of all balancers in a [`HollowReport::Final`].
    #[serde(rename = "Tell")]
    ReportFinalStates,
}

/// A message that a hollow process writes to its standard output.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum HollowReport {
    /// The versions that were put in force since the last report, in the order of time.
    InForce(Vec<InForce>),
    /// The byte counters of all balancers, read at the same moment.
    #[serde(rename = "Traffic")]
    ByteCounts(ByteCounts),
    /// The answer to [`HollowCommand::CountServerLoads`]: the phase of the command, and the counters.
    ServerLoads(usize, ByteCounts),
    /// A balancer received an update with a version or revision that does not increase.
    #[serde(rename = "Misorder")]
    OrderViolation {
        /// The number of the balancer.
        balancer: u32,
        /// The text of the [`OrderViolation`](super::consumer::OrderViolation).
        what: String,
    },
    /// The answer to [`HollowCommand::ReportFinalStates`].
    Final(Vec<FinalState>),
}

/// The moment at which a version was put in force at a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// The number of the balancer.
    #[serde(rename = "b")]
    pub balancer: u32,
    /// The revision of the version.
    #[serde(rename = "r")]
    pub revision: u64,
    /// The time of the monotonic clock, in microseconds.
    #[serde(rename = "t")]
    pub at_us: u64,
}

/// The byte counters of several balancers, read at the same moment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ByteCounts {
    /// When the counters were read, by the monotonic clock in microseconds.
    pub at_us: u64,
    /// One entry for each balancer.
    #[serde(rename = "bytes")]
    pub balancers: Vec<BalancerBytes>,
}

/// The bytes that one balancer has exchanged with control servers since its process started, over all of its restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalancerBytes {
    /// The number of the balancer.
    #[serde(rename = "b")]
    pub balancer: u32,
    /// Bytes received from control servers.
    #[serde(rename = "i")]
    pub received: u64,
    /// Bytes sent to control servers.
    #[serde(rename = "o")]
    pub sent: u64,
    /// The control server that the balancer calls at present.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub server: Option<SocketAddr>,
}

/// The state of a hollow balancer at the end of a run, with counters over all of its restarts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FinalState {
    /// The number of the balancer.
    pub balancer: u32,
    /// The version in force.
    pub version: Version,
    /// The digest of its records; `None` if no server's digest was compared at that version.
    pub digest: Option<Digest>,
    /// Answers of control servers that it rejected.
    pub rejections: u64,
    /// Repairs of single buckets of records that it ran.
    pub repairs: u64,
    /// Snapshots that it began to take.
    pub snapshots: u64,
    /// Calls that it made to control servers.
    pub calls: u64,
    /// Calls without a readable answer, for example because the server refused the call.
    pub failures: u64,
    /// Bytes received from control servers.
    pub received: u64,
    /// Bytes sent to control servers.
    pub sent: u64,
}

#[cfg(test)]
mod tests;
