//! The input of a balancer ([`Event`]) and its output ([`Action`]).

use std::fmt;
use std::rc::Rc;

use crate::TenthMillis;

/// The id that a client gave its request.
pub type RequestId = Rc<str>;
/// The id of an upstream in discovery's list.
pub type UpstreamId = Rc<str>;

/// Something that the front end has observed.
#[derive(Clone, Debug)]
pub enum Event {
    /// A call to discovery has ended, with or without a list.
    ListUpdate(ListUpdate),
    /// The list was correct at time `at`: discovery confirmed it, or discovery was unreachable for all
    /// balancers then, so that no change can have been announced. A front end that never sends this event is
    /// trusted to deliver each change of the list in time.
    ListConfirmed { at: TenthMillis },
    /// Discovery has another address from now on.
    DiscoveryAddressChanged,
    /// A client has sent a request.
    RequestArrived(Arrival),
    /// An attempt has ended.
    AttemptEnded {
        request: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u32,
        upstream: UpstreamId,
        outcome: Outcome,
        /// The time from the [`Action::Attempt`] to the end of the attempt.
        duration: TenthMillis,
        /// Whether the request has its final answer, by this attempt or an earlier one.
        answered: bool,
        /// The load that the upstream reported with its answer.
        load: Load,
    },
    /// The client has disconnected; its request needs no answer any more.
    ClientDisconnected { request: RequestId },
    /// A probe of an upstream's load has ended.
    ProbeEnded { upstream: UpstreamId, outcome: Outcome, duration: TenthMillis, load: Load },
    /// A timer of [`Action::SetTimer`] has expired.
    TimerFired { token: String },
    /// Another balancer has sent a message.
    PeerMessage { peer: u32, message: Vec<u8> },
}

/// A request that a client has sent.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub request: RequestId,
    /// Index among [`BalancerConfig::classes`](crate::BalancerConfig::classes).
    pub class: u32,
    /// Index among [`BalancerConfig::tenants`](crate::BalancerConfig::tenants).
    pub tenant: u32,
    /// Requests with the same key need the same data, which an upstream may keep in memory between them.
    pub affinity_key: Option<u64>,
    /// The time left until the client's deadline.
    pub time_left: TenthMillis,
    /// The expected work, as processing time on a standard core.
    pub cost: Option<TenthMillis>,
    /// Whether the client has sent the request before.
    pub is_retry: bool,
    /// Whether the request changes stored data.
    pub is_write: bool,
}

/// The result of a call to discovery for the list of upstreams.
#[derive(Clone, Debug)]
pub enum ListUpdate {
    /// The entries that are new or have changed.
    Changes(Rc<[UpstreamEntry]>),
    /// All entries; an upstream that is missing is gone.
    Snapshot(Rc<[UpstreamEntry]>),
    /// All entries as this balancer stored them before its restart; they may be out of date.
    Restored(Rc<[UpstreamEntry]>),
    /// The call was refused, or its answer is not a valid list. The last list stays in force.
    Refused,
    /// Discovery could not be reached, or the connection broke. The last list stays in force. Such a call
    /// takes no processing time from the list service, unlike a refused one.
    Unreachable,
    /// A watch was not answered within its timeout. The last list stays in force.
    WatchTimedOut,
}

/// An upstream in discovery's list.
#[derive(Clone, Debug, Default)]
pub struct UpstreamEntry {
    pub upstream: UpstreamId,
    pub cell: u32,
    /// When its process started, where discovery knows it; the upstream is cold for some time from then on.
    pub started_at: Option<TenthMillis>,
    /// Speed as a multiple of a standard upstream's.
    pub capacity: f64,
    pub zone: u32,
    /// The kind of machine; upstreams of one kind are equally fast for equal capacity.
    pub kind: u32,
    pub stage: Stage,
}

/// The stage of an upstream's life. Logs contain the names of the variants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// It takes requests.
    Live,
    /// It still answers what was sent to it, but nothing new may be sent.
    Draining,
    /// It is not listed any more.
    #[default]
    Gone,
}

/// How an attempt or a probe ended. Logs and metrics contain the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The upstream answered with success.
    Ok,
    /// The upstream answered with an error.
    Error,
    /// The upstream's queue is full; it did not run the request.
    Full,
    /// No answer came within the attempt's timeout.
    TimedOut,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection was closed before an answer came.
    Reset,
    /// The answer was malformed. The upstream is alive and may have run the request.
    Spoilt,
    /// The balancer cancelled the attempt.
    Cancelled,
    /// The attempt or probe was never sent: it could not leave in time, or the upstream's address is unknown.
    Moot,
}

impl Outcome {
    /// Whether the upstream has certainly not run the request.
    pub const fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// The load that an upstream reports of itself. Reports are late and noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// The requests that it has not answered yet, queued ones included.
    pub in_flight: Option<f64>,
    /// The requests that wait in its queue.
    pub queued: Option<f64>,
    /// The mean time of its recent requests, without their time in the queue.
    pub service_time: Option<TenthMillis>,
}

impl Load {
    /// The load from the values of a report. Implausible values are dropped, so that no decision relies on
    /// them: those that are negative, not a number or too high, and a queue that is longer than the requests
    /// in flight.
    pub fn from_report(in_flight: Option<f64>, queued: Option<f64>, service_time_ms: Option<f64>) -> Self {
        let is_plausible = |value: &f64| (0.0..=MAX_PLAUSIBLE_REPORT).contains(value);
        let in_flight = in_flight.filter(is_plausible);
        let queued = queued
            .filter(is_plausible)
            .filter(|queued| in_flight.is_none_or(|in_flight| *queued <= in_flight));
        let service_time = service_time_ms.filter(is_plausible).map(|ms| (ms * 10.0).round() as TenthMillis);
        Load { in_flight, queued, service_time }
    }
}

/// The highest plausible value of a report, for numbers of requests and for milliseconds.
const MAX_PLAUSIBLE_REPORT: f64 = 1e6;

/// Continues a line of the log; empty where nothing was reported.
impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.in_flight.map_or(Ok(()), |in_flight| write!(f, ", {in_flight} in flight"))?;
        self.queued.map_or(Ok(()), |queued| write!(f, ", {queued} queued"))?;
        self.service_time.map_or(Ok(()), |time| write!(f, ", service time {time}"))
    }
}

/// Why a request is rejected or failed. Logs and metrics contain the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GiveUpReason {
    /// No upstream is listed as live.
    NoUpstream,
    /// The list has not been confirmed for so long that an upstream may have been draining for longer than
    /// its grace.
    StaleList,
    /// The time in which upstreams recognize a repeat of the request is over.
    WindowOver,
    /// The expected work takes longer than the time left.
    TooLong,
    /// Too little time is left for an answer.
    NoTimeLeft,
    /// More requests wait than can be served in time, and this one has the lowest value.
    Overload,
    /// The upstream chosen for it reports a queue too long to answer in time.
    ForeseenLate,
    /// Its attempts have failed, and it may not be sent again.
    AttemptsFailed,
}

/// Something that the front end has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the upstream.
    Attempt {
        request: RequestId,
        upstream: UpstreamId,
        /// End the attempt with [`Outcome::TimedOut`] after this duration.
        timeout: Option<TenthMillis>,
        /// Don't start writing the attempt at this time or later, whatever has delayed it until then.
        start_before: Option<TenthMillis>,
    },
    /// Ask an upstream for its load.
    Probe { upstream: UpstreamId },
    /// Send a message to one balancer, or to all others where none is named.
    SendToPeer { peer: Option<u32>, message: Vec<u8> },
    /// Ask discovery for the list and for its changes from then on, or stop watching.
    WatchList { enabled: bool },
    /// Ask discovery once for the whole list.
    FetchList,
    /// Cancel an attempt that has no outcome yet.
    Cancel { request: RequestId, attempt: u32 },
    /// Answer the client that the request failed, though it may have run.
    Fail { request: RequestId, reason: GiveUpReason },
    /// Answer the client that the request has had no effect.
    Reject {
        request: RequestId,
        /// The advice to the client how long to wait before a retry.
        retry_after: Option<TenthMillis>,
        reason: GiveUpReason,
    },
    /// Close the idle connections to an upstream.
    CloseIdleConnections { upstream: UpstreamId },
    /// Write a line to the log.
    Log { text: String },
    /// Call the balancer again after this duration, with or without events.
    SetTimer { token: &'static str, after: TenthMillis },
}
