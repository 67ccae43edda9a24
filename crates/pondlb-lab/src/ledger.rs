//! What clients, upstreams and discovery write down while a run goes on; all times in microseconds from its
//! start, by one clock.

use serde::Serialize;

/// One request, as its client saw it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Asked {
    pub id: String,
    #[serde(rename = "scheme")]
    pub class: usize,
    pub balancer: u32,
    pub intended: u64,
    /// When its last byte was written; none where no connection came up.
    pub sent: Option<u64>,
    /// The last byte of the answer.
    pub answered: Option<u64>,
    pub status: u16,
    pub body: String,
    /// More answers came than one was asked for.
    pub answers: u32,
    /// Its balancer was killed by the scenario while it was open.
    pub killed: bool,
}

/// One attempt, as its upstream saw it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Run {
    pub id: String,
    pub upstream: usize,
    /// How many of its processes there had been before under other uids.
    pub life: u32,
    pub balancer: u32,
    pub first_byte: u64,
    pub last_byte: u64,
    pub work: u64,
    /// When work on it began; none where it was turned away or never got that far.
    pub began: Option<u64>,
    /// When it was answered, or its balancer closed its connection: it is out no longer.
    pub ended: Option<u64>,
    /// The body of the answer, where one was written whole.
    pub answer: Option<String>,
}

/// Discovery has written to a balancer that an upstream leaves.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Told {
    pub balancer: u32,
    pub upstream: usize,
    pub life: u32,
    pub at: u64,
}

/// An upstream's process started, cold.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Boot {
    pub upstream: usize,
    pub at: u64,
}

/// A balancer ended by itself.
#[derive(Clone, Debug, Serialize)]
pub struct Crash {
    pub balancer: u32,
    pub at: u64,
    pub status: String,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Ledgers {
    pub asked: Vec<Asked>,
    pub runs: Vec<Run>,
    pub told: Vec<Told>,
    pub boots: Vec<Boot>,
    pub crashes: Vec<Crash>,
    /// Which balancer asked an upstream for its load, each time.
    pub probes: Vec<u32>,
    /// How late each of the load's own sends was, or the clock's own ticks.
    pub late: Vec<u64>,
    /// How often the laboratory itself had no descriptor left.
    pub short: u64,
}
