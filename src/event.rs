//! What a front end tells a balancer (`Event`) and what the balancer has it do (`Action`).

use std::fmt;
use std::rc::Rc;

use crate::TenthMillis;

/// The id that a client gave its request.
pub type RequestId = Rc<str>;
/// The id of an upstream in discovery's list.
pub type UpstreamId = Rc<str>;

/// What has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Discovery has answered, or failed to.
    ListUpdate(ListUpdate),
    /// The list was right at that time, by discovery's word, or nobody could reach discovery then. A front end that never
    /// says so is trusted to bring each change in time.
    ListConfirmed { at: TenthMillis },
    /// Discovery is at another address from now on.
    DiscoveryAddressChanged,
    /// A client has sent a request.
    RequestArrived(Arrival),
    /// An attempt has ended, numbered within its request from 0.
    AttemptEnded {
        request: RequestId,
        attempt: u32,
        upstream: UpstreamId,
        outcome: Outcome,
        duration: TenthMillis,
        /// The request has had its final answer, by this outcome or earlier.
        answered: bool,
        load: Load,
    },
    /// The client has left; nothing is owed any more.
    ClientDisconnected { request: RequestId },
    /// An upstream was asked for its load.
    ProbeEnded { upstream: UpstreamId, outcome: Outcome, duration: TenthMillis, load: Load },
    /// The time of an `Action::Wake` has come.
    TimerFired { token: String },
    /// A peer's note.
    PeerMessage { peer: u32, message: Vec<u8> },
}

/// A request that has arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub request: RequestId,
    /// Index among the classes of the terms.
    pub class: u32,
    /// Index among the tenants of the terms.
    pub tenant: u32,
    /// What an upstream may keep warm between requests that have it in common.
    pub affinity_key: Option<u64>,
    /// The time to its deadline.
    pub time_left: TenthMillis,
    /// The expected work, in time of a standard core.
    pub cost: Option<TenthMillis>,
    /// The client has sent it before.
    pub is_retry: bool,
    pub is_write: bool,
}

/// What came of asking discovery for the list of upstreams.
#[derive(Clone, Debug)]
pub enum ListUpdate {
    /// Entries that are new or other than before.
    Changes(Rc<[UpstreamEntry]>),
    /// All entries.
    Snapshot(Rc<[UpstreamEntry]>),
    /// The list as this balancer last held it before its start; it may be old.
    Restored(Rc<[UpstreamEntry]>),
    /// An ask was turned away, or what came is no list; the last list stays in force.
    Refused,
    /// Nobody answered an ask, or its connection broke; as above. That takes up nobody's time there.
    Unreachable,
    /// A watch was not answered though its wait is over; as above.
    WatchTimedOut,
}

/// An upstream as the list has it.
#[derive(Clone, Debug, Default)]
pub struct UpstreamEntry {
    pub upstream: UpstreamId,
    pub cell: u32,
    pub started_at: Option<TenthMillis>,
    pub capacity: f64,
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

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
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
    pub in_flight: Option<f64>,
    /// How many of these wait for their turn.
    pub queued: Option<f64>,
    /// Its recent time of service, waiting left out.
    pub service_time: Option<TenthMillis>,
}

impl Load {
    /// What can't be true is left out: nothing is to be steered by it.
    pub fn from_report(held: Option<f64>, waiting: Option<f64>, service_ms: Option<f64>) -> Self {
        let sane = |value: &f64| (0.0..=MAX_PLAUSIBLE_REPORT).contains(value);
        let held = held.filter(sane);
        let waiting = waiting.filter(sane).filter(|waiting| held.is_none_or(|held| *waiting <= held));
        Load {
            in_flight: held,
            queued: waiting,
            service_time: service_ms.filter(sane).map(|ms| (ms * 10.0).round() as TenthMillis),
        }
    }
}

/// More than this nobody holds.
const MAX_PLAUSIBLE_REPORT: f64 = 1e6;

/// As it goes on in a line of the log, empty where nothing was said.
impl fmt::Display for Load {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        self.in_flight.map_or(Ok(()), |held| write!(to, ", it holds {held}"))?;
        self.queued.map_or(Ok(()), |waiting| write!(to, ", {waiting} wait"))?;
        self.service_time.map_or(Ok(()), |service| write!(to, ", it takes {service}"))
    }
}

/// Why a request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GiveUpReason {
    /// No upstream is listed as live.
    NoUpstream,
    /// The list has not been confirmed for so long that an upstream may have been draining for longer than the grace.
    StaleList,
    /// The time in which it may be repeated is over.
    WindowOver,
    /// Its work would take longer than it has time.
    TooLong,
    /// Too little time is left for an answer.
    NoTimeLeft,
    /// More is held than will be served in time, and it is worth least.
    Overload,
    /// The upstream that would get it has told of too long a queue.
    ForeseenLate,
    /// Its attempts have failed, and it may not be sent again.
    AttemptsFailed,
}

/// What a front end is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the upstream, but not after `begin_by`, whatever it waits for by then; give the attempt up
    /// after `timeout`.
    Attempt {
        request: RequestId,
        upstream: UpstreamId,
        timeout: Option<TenthMillis>,
        send_by: Option<TenthMillis>,
    },
    /// Ask an upstream for its load.
    Probe { upstream: UpstreamId },
    /// Send a note to one peer or to all.
    SendToPeer { peer: Option<u32>, message: Vec<u8> },
    /// Ask discovery for the list, and for its changes from then on.
    WatchList { enabled: bool },
    /// Ask discovery for the whole list.
    FetchList,
    /// Give up an attempt that is out.
    Cancel { request: RequestId, attempt: u32 },
    /// Answer that the request came to nothing, though it may have run.
    Fail { request: RequestId, reason: GiveUpReason },
    /// Answer that the request has had no effect, and when the client may come again.
    Reject { request: RequestId, retry_after: Option<TenthMillis>, reason: GiveUpReason },
    /// Close the idle connections to an upstream.
    CloseIdleConnections { upstream: UpstreamId },
    /// Write a line to the log.
    Log { text: String },
    /// Call again after that time, with or without events.
    SetTimer { token: &'static str, after: TenthMillis },
}
