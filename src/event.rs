use std::fmt;
use std::rc::Rc;

use crate::Tenths;

pub type RequestId = Rc<str>;
pub type UpstreamId = Rc<str>;

#[derive(Clone, Debug)]
pub enum Event {
    Listed(Listing),
    Arrived(Arrival),
    Ended {
        request: RequestId,
        attempt: u32,
        upstream: UpstreamId,
        outcome: Outcome,
        took: Tenths,
        /// The request has had its final answer, by this outcome or earlier.
        answered: bool,
        load: Load,
    },
    /// The client has left; nothing is owed any more.
    Left {
        request: RequestId,
    },
    Probed {
        upstream: UpstreamId,
        outcome: Outcome,
        took: Tenths,
        load: Load,
    },
    Woke {
        token: String,
    },
    Heard {
        peer: u32,
        note: Vec<u8>,
    },
}

#[derive(Clone, Debug)]
pub struct Arrival {
    pub request: RequestId,
    pub class: u32,
    pub tenant: u32,
    pub key: Option<u64>,
    pub left: Tenths,
    /// The expected work, in time of a standard core.
    pub cost: Option<Tenths>,
    pub repeat: bool,
    pub write: bool,
}

#[derive(Clone, Debug)]
pub enum Listing {
    Changes(Rc<[Entry]>),
    Whole(Rc<[Entry]>),
    /// The list as this balancer last held it before its start; it may be old.
    Remembered(Rc<[Entry]>),
    /// An ask was turned away, or what came is no list; the last list stays in force.
    Lost,
    /// Nobody answered an ask, or its connection broke; as above. That takes up nobody's time there.
    Unreached,
    /// A watch was not answered though its wait is over; as above.
    Silent,
}

#[derive(Clone, Debug, Default)]
pub struct Entry {
    pub upstream: UpstreamId,
    pub cell: u32,
    pub started: Option<Tenths>,
    pub size: f64,
    pub zone: u32,
    /// Upstreams of one kind are machines alike.
    pub kind: u32,
    pub stage: Stage,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    Live,
    Draining,
    #[default]
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Error,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    /// What came is no answer; the upstream lives and may have run the request.
    Spoilt,
    Cancelled,
    Moot,
}

impl Outcome {
    /// Whether the attempt is known never to have run.
    pub const fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// What an upstream says of itself; late and noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub held: Option<f64>,
    /// How many of these wait for their turn.
    pub waiting: Option<f64>,
    /// Its recent time of service, waiting left out.
    pub service: Option<Tenths>,
}

impl Load {
    /// What can't be true is left out: nothing is to be steered by it.
    pub fn told(held: Option<f64>, waiting: Option<f64>, service_ms: Option<f64>) -> Self {
        let sane = |value: &f64| (0.0..=MOST_TOLD).contains(value);
        let held = held.filter(sane);
        let waiting = waiting.filter(sane).filter(|waiting| held.is_none_or(|held| *waiting <= held));
        Load { held, waiting, service: service_ms.filter(sane).map(|ms| (ms * 10.0).round() as Tenths) }
    }
}

/// More than this nobody holds.
const MOST_TOLD: f64 = 1e6;

/// As it goes on in a line of the log, empty where nothing was said.
impl fmt::Display for Load {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        self.held.map_or(Ok(()), |held| write!(to, ", it holds {held}"))?;
        self.waiting.map_or(Ok(()), |waiting| write!(to, ", {waiting} wait"))?;
        self.service.map_or(Ok(()), |service| write!(to, ", it takes {service}"))
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Not to be begun after `begin_by`, whatever it waits for by then.
    Attempt {
        request: RequestId,
        upstream: UpstreamId,
        timeout: Option<Tenths>,
        begin_by: Option<Tenths>,
    },
    Probe {
        upstream: UpstreamId,
    },
    Tell {
        peer: Option<u32>,
        note: Vec<u8>,
    },
    Watch {
        on: bool,
    },
    Refetch,
    Cancel {
        request: RequestId,
        attempt: u32,
    },
    Fail {
        request: RequestId,
    },
    Reject {
        request: RequestId,
        cool_down: Option<Tenths>,
    },
    CloseIdle {
        upstream: UpstreamId,
    },
    Log {
        text: String,
    },
    Wake {
        token: &'static str,
        after: Tenths,
    },
}
