//! What connections report to the router (`RouterEvent`), and the attempts it sends (`OutgoingAttempt`).

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use pondlb::{Arrival, Load, Outcome, RequestId, TenthMillis, UpstreamId};
use pondlb_http::Message;
use tokio::sync::oneshot;

use crate::protocol::answer::Answer;
use crate::protocol::discovery::UpstreamList;

/// Identifies an attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    pub request: RequestId,
    /// The attempts of a request are numbered from 0 in the order in which they are sent.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{} {}", self.request, self.number)
    }
}

/// An attempt to be carried out.
#[derive(Debug)]
pub struct OutgoingAttempt {
    pub id: AttemptId,
    pub upstream: UpstreamId,
    pub address: SocketAddr,
    pub message: Rc<Message>,
    /// When the balancer stops waiting for it.
    pub deadline: TenthMillis,
    /// Written later than this it would be met as new, though an earlier one may have run.
    pub send_by: Option<TenthMillis>,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptResult {
    pub outcome: Outcome,
    /// What the client is to get, where this is final.
    pub final_answer: Option<Answer>,
    pub load: Load,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, final_answer: None, load: Load::default() }
    }
}

/// What connections and timers let the exchange know.
pub enum RouterEvent {
    RequestArrived {
        arrival: Arrival,
        message: Message,
        answer_sender: oneshot::Sender<Answer>,
    },
    ClientDisconnected {
        request: RequestId,
    },
    AttemptEnded {
        attempt: AttemptId,
        result: AttemptResult,
    },
    ProbeEnded {
        upstream: UpstreamId,
        outcome: Outcome,
        duration: TenthMillis,
        load: Load,
    },
    ListReceived(UpstreamList),
    /// Control servers have changed upstreams.
    UpstreamsChanged {
        upstreams: UpstreamList,
        /// The first whole state is in force with it.
        completes_snapshot: bool,
        /// To be told once they are in force.
        applied_sender: oneshot::Sender<()>,
    },
    /// The list was right at that time, or nobody could reach discovery then.
    ListConfirmed {
        at: TenthMillis,
    },
    /// Discovery turned a call away, or what came is no list.
    ListRefused,
    /// Nobody answered a call to discovery, or its connection broke.
    DiscoveryUnreachable,
    /// A watch was not answered though its wait is over.
    WatchTimedOut,
}
