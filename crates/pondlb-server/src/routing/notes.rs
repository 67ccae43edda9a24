//! What connections tell the exchange (`Note`), and what it tells them to send (`Order`).

use std::net::SocketAddr;
use std::rc::Rc;

use pondlb::{Arrival, Load, Outcome, RequestId, TenthMillis, UpstreamId};
use pondlb_http::Message;
use tokio::sync::oneshot;

use crate::protocol::answer::Answer;
use crate::protocol::discovery::UpstreamList;

/// The attempts of a request are numbered as they leave.
pub type AttemptId = (RequestId, u32);

/// An attempt to be carried out.
#[derive(Debug)]
pub struct Order {
    pub id: AttemptId,
    pub upstream: UpstreamId,
    pub address: SocketAddr,
    pub message: Rc<Message>,
    /// When the balancer stops waiting for it.
    pub until: TenthMillis,
    /// Written later than this it would be met as new, though an earlier one may have run.
    pub begin_by: Option<TenthMillis>,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct End {
    pub outcome: Outcome,
    /// What the client is to get, where this is final.
    pub reply: Option<Answer>,
    pub load: Load,
}

impl From<Outcome> for End {
    fn from(outcome: Outcome) -> Self {
        End { outcome, reply: None, load: Load::default() }
    }
}

/// What connections and timers let the exchange know.
pub enum Note {
    Arrived {
        arrival: Arrival,
        message: Message,
        answer: oneshot::Sender<Answer>,
    },
    Left {
        request: RequestId,
    },
    Ended {
        attempt: AttemptId,
        end: End,
    },
    Probed {
        upstream: UpstreamId,
        outcome: Outcome,
        took: TenthMillis,
        load: Load,
    },
    Listed(UpstreamList),
    /// Control servers have changed upstreams.
    Changed {
        upstreams: UpstreamList,
        /// The first whole state is in force with it.
        completes: bool,
        /// To be told once they are in force.
        applied: oneshot::Sender<()>,
    },
    /// The list was right at that time, or nobody could reach discovery then.
    ListCurrent {
        at: TenthMillis,
    },
    /// Discovery turned a call away, or what came is no list.
    ListLost,
    /// Nobody answered a call to discovery, or its connection broke.
    ListUnreached,
    /// A watch was not answered though its wait is over.
    WatchSilent,
}
