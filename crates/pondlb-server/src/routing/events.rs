//! Events that the transport reports to the router.

use std::fmt;

use pondlb::{Arrival, Load, Outcome, RequestId, TenthMillis, UpstreamId};
use pondlb_http::Message;
use tokio::sync::oneshot;

use crate::protocol::answer::Answer;
use crate::protocol::discovery::UpstreamList;

/// Identifies one exchange of a request and its answer on a client's connection. It is never used twice, other than
/// the [`RequestId`], which clients choose and can copy from each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExchangeId(pub u64);

/// Identifies an attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    pub exchange: ExchangeId,
    /// The id that the client gave the request.
    pub request: RequestId,
    /// The attempts of a request are numbered from 0 in the order in which they are sent.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{} {}", self.request, self.number)
    }
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptResult {
    pub outcome: Outcome,
    /// The answer for the client, if this result decides it.
    pub final_answer: Option<Answer>,
    /// The load that the upstream reported in its response.
    pub load: Load,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, final_answer: None, load: Load::default() }
    }
}

/// What connections and calls report to the router.
pub enum RouterEvent {
    /// A client has sent a request.
    RequestArrived {
        exchange: ExchangeId,
        arrival: Arrival,
        message: Message,
        answer_sender: oneshot::Sender<Answer>,
    },
    /// A client has closed its connection before it got the answer to its request.
    ClientDisconnected { exchange: ExchangeId, request: RequestId },
    /// An attempt has ended.
    AttemptEnded { attempt: AttemptId, result: AttemptResult },
    /// A probe of an upstream's load has ended.
    ProbeEnded { upstream: UpstreamId, outcome: Outcome, duration: TenthMillis, load: Load },
    /// Discovery has responded with a list.
    ListReceived(UpstreamList),
    /// Control servers have changed upstreams.
    UpstreamsChanged {
        upstreams: UpstreamList,
        /// Whether these are the last upstreams of a snapshot.
        completes_snapshot: bool,
        /// Notified once the changes are applied.
        applied_sender: oneshot::Sender<()>,
    },
    /// The list was up to date at that time, or no balancer could have been notified of a change by then.
    ListConfirmed { at: TenthMillis },
    /// Discovery refused a call, or its response was not a list.
    ListRefused,
    /// A call did not reach discovery, or its connection broke.
    DiscoveryUnreachable,
    /// A watch got no response before its timeout.
    WatchTimedOut,
}
