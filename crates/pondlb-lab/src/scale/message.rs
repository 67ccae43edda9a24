//! What the run and its hollow processes tell each other: one line of JSON each.

use std::net::SocketAddr;

use pondlb_control::{Digest, Version};
use serde::{Deserialize, Serialize};

/// What a hollow process is given at its start, as a file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Assignment {
    /// Numbers of its balancers.
    pub balancers: Vec<u32>,
    /// Control servers of each region; a balancer is in the region of its number's remainder.
    pub servers: Vec<Vec<SocketAddr>>,
    /// Where chance starts from.
    pub seed: u64,
    /// For how long a server may hold a call.
    pub hold_ms: u64,
    /// How many balancers may take their first snapshot at the same time.
    pub starts_at_once: u32,
}

/// What the run tells a hollow process on its standard input; its end ends the process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Order {
    /// Those balancers whose number leaves this remainder by ten begin from nothing.
    Restart(u32),
    /// Tell the counters of all balancers, with [`Report::ServerLoads`], for the phase of that number.
    CountServerLoads(usize),
    /// Tell the state of all balancers, with [`Report::Final`].
    Tell,
}

/// What a hollow process tells on its standard output.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Report {
    /// What came in force since the last report, in the order of its times.
    InForce(Vec<InForce>),
    /// The counters of all balancers, read at the same moment.
    Traffic(Traffic),
    /// The answer to [`Order::CountServerLoads`].
    ServerLoads(usize, Traffic),
    /// A check of a balancer's consumer failed.
    Misorder {
        /// Which balancer.
        balancer: u32,
        /// What was wrong.
        what: String,
    },
    /// The answer to [`Order::Tell`].
    Final(Vec<FinalState>),
}

/// A version is in force at a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Which balancer.
    #[serde(rename = "b")]
    pub balancer: u32,
    /// Its version's revision.
    #[serde(rename = "r")]
    pub revision: u64,
    /// When, by the machine's clock.
    #[serde(rename = "t")]
    pub at_us: u64,
}

/// Bytes of all balancers of a process up to a moment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Traffic {
    /// When they were read.
    pub at_us: u64,
    /// One for each balancer.
    pub bytes: Vec<Bytes>,
}

/// Bytes of one balancer since its process started, over all of its restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bytes {
    /// Which balancer.
    #[serde(rename = "b")]
    pub balancer: u32,
    /// From control servers.
    #[serde(rename = "i")]
    pub received: u64,
    /// To control servers.
    #[serde(rename = "o")]
    pub sent: u64,
    /// The server that it calls now.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub server: Option<SocketAddr>,
}

/// A balancer's state and what it went through.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FinalState {
    /// Which balancer.
    pub balancer: u32,
    /// What is in force.
    pub version: Version,
    /// Digest of its records; none where no server's digest was compared at that version.
    pub digest: Option<Digest>,
    /// Answers that it did not take.
    pub rejections: u64,
    /// Repairs that it went through.
    pub repairs: u64,
    /// Whole snapshots that it began.
    pub snapshots: u64,
    /// Calls that it made.
    pub calls: u64,
    /// Calls that brought no answer that can be read, as where a server refused one.
    pub failures: u64,
    /// Bytes from control servers.
    pub received: u64,
    /// Bytes to control servers.
    pub sent: u64,
}
