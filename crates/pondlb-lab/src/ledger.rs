//! The events of a run as the emulated clients, upstreams and discovery record them, which the judge checks.
//!
//! All times are microseconds since the start of the run, by one clock.

#[cfg(test)]
mod tests;

use serde::Serialize;

/// One request as its client saw it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClientRequest {
    /// The request's id, unique in the run.
    pub id: String,
    /// Index of its class in the scenario.
    #[serde(rename = "scheme")]
    pub class: usize,
    /// The balancer to which it was sent last.
    pub balancer: u32,
    /// When it was due by the plan.
    #[serde(rename = "intended")]
    pub intended_us: u64,
    /// When its last byte was written; `None` if no connection was established.
    #[serde(rename = "sent")]
    pub sent_us: Option<u64>,
    /// When the last byte of the response arrived.
    #[serde(rename = "answered")]
    pub answered_us: Option<u64>,
    /// The status of the response; 0 without one.
    pub status: u16,
    /// The body of the response.
    pub body: String,
    /// How many responses arrived; more than one is a violation.
    #[serde(rename = "answers")]
    pub answer_count: u32,
    /// Whether the scenario killed its balancer while the request was open.
    #[serde(rename = "killed")]
    pub balancer_killed: bool,
}

/// One attempt as its upstream saw it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct UpstreamAttempt {
    /// The id of its request.
    pub id: String,
    /// Index of the upstream.
    pub upstream: usize,
    /// How many processes with other uids the upstream had before this one.
    #[serde(rename = "life")]
    pub incarnation: u32,
    /// The balancer that sent it, known by the address to which it connected.
    pub balancer: u32,
    /// When its first byte arrived.
    #[serde(rename = "first_byte")]
    pub first_byte_us: u64,
    /// When its last byte arrived.
    #[serde(rename = "last_byte")]
    pub last_byte_us: u64,
    /// Its work in microseconds of a standard core.
    #[serde(rename = "work")]
    pub work_us: u64,
    /// When work on it started; `None` if it was rejected or never reached a core.
    #[serde(rename = "began")]
    pub started_us: Option<u64>,
    /// When it was answered or its balancer closed the connection; `None` while it is outstanding.
    #[serde(rename = "ended")]
    pub ended_us: Option<u64>,
    /// The body of the response, if it was written whole.
    #[serde(rename = "answer")]
    pub answer_body: Option<String>,
}

/// Discovery has notified a balancer that an upstream is leaving.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DrainNotice {
    /// The balancer that was notified.
    pub balancer: u32,
    /// Index of the upstream that is leaving.
    pub upstream: usize,
    /// How many processes with other uids the upstream had before this one.
    #[serde(rename = "life")]
    pub incarnation: u32,
    /// When the list had been written.
    #[serde(rename = "at")]
    pub at_us: u64,
}

/// An upstream's process started, cold.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct UpstreamStart {
    /// Index of the upstream.
    pub upstream: usize,
    /// When it started.
    #[serde(rename = "at")]
    pub at_us: u64,
}

/// A balancer exited although nothing had asked it to.
#[derive(Clone, Debug, Serialize)]
pub struct BalancerCrash {
    /// The balancer.
    pub balancer: u32,
    /// When the exit was noticed.
    #[serde(rename = "at")]
    pub at_us: u64,
    /// Its exit status as text.
    pub status: String,
}

/// All events of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Ledgers {
    /// Requests of the clients.
    #[serde(rename = "asked")]
    pub requests: Vec<ClientRequest>,
    /// Attempts at the upstreams.
    #[serde(rename = "runs")]
    pub attempts: Vec<UpstreamAttempt>,
    /// First notices of drains, one for each balancer and upstream process.
    #[serde(rename = "told")]
    pub drain_notices: Vec<DrainNotice>,
    /// Starts of upstream processes during the run.
    #[serde(rename = "boots")]
    pub upstream_starts: Vec<UpstreamStart>,
    /// Unexpected exits of balancers.
    pub crashes: Vec<BalancerCrash>,
    /// The balancer that sent each load probe, one entry for each probe.
    #[serde(rename = "probes")]
    pub probe_senders: Vec<u32>,
    /// How late each planned send and each timer tick of the laboratory was, in microseconds.
    #[serde(rename = "late")]
    pub lateness_us: Vec<u64>,
    /// How often the laboratory itself had no file descriptor left.
    #[serde(rename = "short")]
    pub descriptor_shortages: u64,
}
