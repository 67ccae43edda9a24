//! What the router needs of the transport.

use std::net::SocketAddr;
use std::rc::Rc;

use pondlb::{TenthMillis, UpstreamId};
use pondlb_http::Message;

use super::AttemptId;

/// Carries out the balancer's actions on connections. Each method only starts the work; results come back as
/// [`RouterEvent`](super::RouterEvent)s.
pub trait Transport {
    /// Kept while an attempt is open. Dropping it aborts the attempt and closes its connection.
    type Handle: AttemptHandle;

    /// Starts an attempt; `RouterEvent::AttemptEnded` reports its result.
    fn send_attempt(&mut self, attempt: OutgoingAttempt) -> Self::Handle;
    /// Asks an upstream for its load; `RouterEvent::ProbeEnded` reports the result.
    fn probe(&mut self, upstream: UpstreamId, address: SocketAddr);
    /// Starts or stops watching discovery's list of upstreams.
    fn watch_list(&mut self, enabled: bool);
    /// Asks discovery for the whole list once.
    fn fetch_list(&mut self);
    /// Closes the idle connections to an upstream.
    fn close_idle_connections(&mut self, upstream: &str);
}

/// An open attempt, as the transport sees it.
pub trait AttemptHandle {
    /// Whether the last byte of the attempt has been written. From then on it may run; before, it can still be withdrawn.
    fn is_written(&self) -> bool;
}

/// An attempt to be sent to an upstream.
#[derive(Debug)]
pub struct OutgoingAttempt {
    pub id: AttemptId,
    pub upstream: UpstreamId,
    pub address: SocketAddr,
    /// The client's request.
    pub message: Rc<Message>,
    /// When the balancer stops waiting for the answer.
    pub deadline: TenthMillis,
    /// The attempt must not be written at this time or later: upstreams may have forgotten the key of an earlier
    /// attempt that ran, and would run the request again.
    pub send_by: Option<TenthMillis>,
}
