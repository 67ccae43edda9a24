//! A client's connection: reads requests, hands them to the router and writes the answers.

use std::cell::{Cell, RefCell};
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;

use pondlb::{RequestId, TenthMillis};
use pondlb_http::MessageError;
use pondlb_terms::ClassIndex;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::yield_now;
use tokio::time::{timeout, timeout_at};

use super::connection_table::{ConnectionSlot, ConnectionTable};
use super::phase::Phase;
use super::request_wait::{Awaited, RequestWait};
use super::stream::{ReadTurn, ReceiveState, read_available, read_into, receive_state, write_all};
use crate::protocol::answer::Answer;
use crate::protocol::client::{
    CONTINUE_RESPONSE, ClassIndexes, ClientRequest, RequestKind, RequestReader, encode_answer,
    encode_error_response, encode_health_response, encode_timeout_response,
};
use crate::routing::{ExchangeId, RouterEvent};

/// The client must have accepted an answer within this time, or slow clients would pin memory.
const ANSWER_WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection is read after its write side was shut down. Closing it over unread bytes would reset it, and
/// the client could lose the last answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// How much is read at most from a lingering connection. Reading all of a huge rejected body would take processor time
/// from other connections.
const MAX_LINGER_BYTES: usize = 512 * 1024;

/// What all client connections share.
pub struct Frontend {
    pub connections: Rc<ConnectionTable>,
    /// The classes that requests may name.
    pub classes: RefCell<ClassIndexes>,
    /// The wait advised to clients whose requests are rejected for overload before they reach the router; none is
    /// advised where it is `None`.
    pub overload_retry_after: Cell<Option<TenthMillis>>,
    /// Where requests, and the disconnects of clients, are sent.
    pub router_tx: mpsc::UnboundedSender<RouterEvent>,
    pub phase: watch::Receiver<Phase>,
    /// The exchanges that were begun so far on all connections.
    pub exchange_count: Cell<u64>,
}

/// What comes next on a connection.
enum NextStep {
    /// A complete request has arrived.
    Serve(ClientRequest),
    /// The input is not a valid request.
    RejectMalformed(MessageError),
    /// The request did not arrive in time.
    RejectSlow,
    /// There is no room or no memory for the request.
    RejectOverload,
    /// The balancer closes the connection, on which no answer is due.
    CloseIdle,
    /// The client has disconnected.
    Disconnected,
}

impl NextStep {
    /// What comes next when a wait for a request is over and none is complete.
    fn after_wait(wait: &RequestWait) -> NextStep {
        match wait.awaited() {
            Awaited::Begin => NextStep::CloseIdle,
            Awaited::Rest => NextStep::RejectSlow,
        }
    }
}

/// An answer as it is written to the client.
struct EncodedAnswer {
    bytes: Vec<u8>,
    /// Whether the connection ends with it.
    is_last: bool,
}

impl Frontend {
    /// Adds and removes classes and changes their indexes. A class without an index is removed. Requests that are read
    /// from now on may name the classes that are left.
    pub fn change_classes(&self, changes: Vec<ClassIndex>) {
        let mut classes = self.classes.borrow_mut();
        for ClassIndex { name, index } in changes {
            match index {
                Some(index) => classes.insert(name, index),
                None => classes.remove(&name),
            };
        }
    }

    /// Serves the requests of one connection until it ends.
    pub async fn serve(self: Rc<Self>, stream: TcpStream, slot: ConnectionSlot) {
        // Without TCP_NODELAY answers are only slower.
        let _ = stream.set_nodelay(true);
        let mut reader = RequestReader::new();
        let mut is_used = false;
        loop {
            let step = self.next_step(&stream, &mut reader, &slot, is_used).await;
            let EncodedAnswer { bytes, is_last } = match step {
                NextStep::Serve(request) => match self.serve_request(&stream, &mut reader, request).await {
                    Some(answer) => answer,
                    None => return,
                },
                NextStep::RejectMalformed(error) => {
                    log::debug!("rejected a malformed request: {error}");
                    EncodedAnswer { bytes: encode_error_response(error), is_last: true }
                }
                NextStep::RejectSlow => EncodedAnswer { bytes: encode_timeout_response(), is_last: true },
                NextStep::RejectOverload => {
                    let answer = Answer::Rejected { retry_after: self.overload_retry_after.get() };
                    EncodedAnswer { bytes: encode_answer(&answer, true), is_last: true }
                }
                NextStep::CloseIdle if is_used => return close_gracefully(&stream, slot).await,
                // There is no earlier answer that the client could lose, and others may wait for this place.
                NextStep::CloseIdle => return,
                NextStep::Disconnected => return,
            };
            is_used = true;
            let written = timeout(ANSWER_WRITE_TIMEOUT, write_all(&stream, &bytes)).await;
            if !matches!(written, Ok(Ok(()))) {
                return;
            }
            if is_last {
                // What was received of a rejected request takes up memory that others need.
                drop(reader);
                return close_gracefully(&stream, slot).await;
            }
            // Other connections have their turn before the next request of this client, which may be at hand already.
            yield_now().await;
        }
    }

    /// Reads from the connection until a request is complete or something else ends the wait. `is_used` says whether
    /// a request has been served on the connection before.
    async fn next_step(
        &self,
        stream: &TcpStream,
        reader: &mut RequestReader,
        slot: &ConnectionSlot,
        is_used: bool,
    ) -> NextStep {
        let mut phase = self.phase.clone();
        let mut wait: Option<RequestWait> = None;
        let mut turn = ReadTurn::default();
        loop {
            if let Some(step) = self.step_after_input(reader, slot, &mut wait) {
                return step;
            }
            let wait = wait.get_or_insert_with(|| match reader.is_idle() {
                true => RequestWait::for_begin(slot, is_used),
                false => RequestWait::for_rest(slot),
            });
            if wait.is_over() {
                return NextStep::after_wait(wait);
            }
            if reader.take_expect_continue() {
                let written = timeout_at(wait.deadline(), write_all(stream, CONTINUE_RESPONSE)).await;
                if !matches!(written, Ok(Ok(()))) {
                    return NextStep::Disconnected;
                }
            }
            turn.next_read().await;
            if let Some(step) = read_request_bytes(stream, reader, wait, &mut phase).await {
                return step;
            }
        }
    }

    /// What comes next after the input so far; `None` if more has to be read. From the first byte of a request on, the
    /// connection counts as busy: a wait for that byte ends.
    fn step_after_input(
        &self,
        reader: &mut RequestReader,
        slot: &ConnectionSlot,
        wait: &mut Option<RequestWait>,
    ) -> Option<NextStep> {
        let request = match reader.next_request(&self.classes.borrow()) {
            Ok(request) => request,
            Err(error) => return Some(NextStep::RejectMalformed(error)),
        };
        if request.is_none() && reader.is_idle() {
            return None;
        }
        wait.take_if(|wait| wait.awaited() == Awaited::Begin);
        // Health checks are answered by connections beyond the limit too.
        let is_excess = !request.as_ref().is_some_and(ClientRequest::is_health_check) && slot.is_excess();
        // A request is rejected before its body is read: the bodies of hundreds of requests at once would not fit into
        // memory.
        if is_excess || self.connections.must_reject_request() {
            return Some(NextStep::RejectOverload);
        }
        request.map(NextStep::Serve)
    }

    /// Returns the answer to a request; `None` when the client has disconnected.
    async fn serve_request(
        &self,
        stream: &TcpStream,
        reader: &mut RequestReader,
        request: ClientRequest,
    ) -> Option<EncodedAnswer> {
        let has_discarded_input = Cell::new(false);
        let is_last =
            || request.is_last || has_discarded_input.get() || *self.phase.borrow() >= Phase::Closing;
        let (arrival, message) = match request.kind {
            RequestKind::HealthCheck => {
                let is_ready = *self.phase.borrow() == Phase::Serving;
                let is_last = is_last();
                return Some(EncodedAnswer { bytes: encode_health_response(is_ready, is_last), is_last });
            }
            RequestKind::Forward { arrival, message } => (arrival, message),
        };
        let (exchange, request_id) = (self.begin_exchange(), arrival.request.clone());
        let (answer_sender, mut answer_receiver) = oneshot::channel();
        self.router_tx
            .send(RouterEvent::RequestArrived { exchange, arrival, message, answer_sender })
            .ok()?;
        tokio::select! {
            biased;
            answer = &mut answer_receiver => {
                let answer = answer.ok()?;
                let is_last = is_last() || answer == Answer::DuplicateId;
                Some(EncodedAnswer { bytes: encode_answer(&answer, is_last), is_last })
            }
            () = wait_for_disconnect(stream, reader, &has_discarded_input) => {
                self.report_disconnect(exchange, request_id);
                None
            }
        }
    }

    fn begin_exchange(&self) -> ExchangeId {
        let number = self.exchange_count.get();
        self.exchange_count.set(number + 1);
        ExchangeId(number)
    }

    fn report_disconnect(&self, exchange: ExchangeId, request: RequestId) {
        // The router outlives every connection but at the very end, when no answer is due any more.
        let _ = self.router_tx.send(RouterEvent::ClientDisconnected { exchange, request });
    }
}

/// Reads more of a request while it is awaited. Returns what comes next if nothing was read.
async fn read_request_bytes(
    stream: &TcpStream,
    reader: &mut RequestReader,
    wait: &mut RequestWait<'_>,
    phase: &mut watch::Receiver<Phase>,
) -> Option<NextStep> {
    let read = tokio::select! {
        biased;
        read = read_into(stream, reader.message_reader()) => read,
        () = wait.run_to_end(phase) => match receive_state(stream) {
            // What has arrived meanwhile is read: a client would have to send a whole request again otherwise.
            ReceiveState::HasData => read_into(stream, reader.message_reader()).await,
            ReceiveState::Empty => return Some(NextStep::after_wait(wait)),
            ReceiveState::Closed => return Some(NextStep::Disconnected),
        }
    };
    (!matches!(read, Ok(1..))).then_some(NextStep::Disconnected)
}

/// Returns when the client closes its side of the connection. Requests that it pipelines meanwhile are kept as far as
/// the read buffer reaches. Beyond that, input is read and discarded, since a close is seen only after everything sent
/// before it; then no pipelined request is served.
async fn wait_for_disconnect(
    stream: &TcpStream,
    reader: &mut RequestReader,
    has_discarded_input: &Cell<bool>,
) {
    while !reader.message_reader().spare_capacity_mut().is_empty() {
        if !matches!(read_into(stream, reader.message_reader()).await, Ok(1..)) {
            return;
        }
        yield_now().await;
    }
    has_discarded_input.set(true);
    discard_input(stream, usize::MAX).await;
}

/// Reads and discards input. Returns true when the peer has closed its side, and false after `max_bytes`.
async fn discard_input(stream: &TcpStream, max_bytes: usize) -> bool {
    let (mut buffer, mut remaining) = (vec![0; 16 * 1024], max_bytes);
    while let Ok(count @ 1..) = read_available(stream, &mut buffer).await {
        remaining = remaining.saturating_sub(count);
        if remaining == 0 {
            return false;
        }
        yield_now().await;
    }
    true
}

/// Shuts down the write side and reads for a moment what the client sent before it noticed. Closing the connection over
/// unread bytes would reset it, and the client could lose an answer that it has not read yet. Nothing read here is
/// served.
async fn close_gracefully(stream: &TcpStream, slot: ConnectionSlot) {
    let _slot = slot.linger();
    if SockRef::from(stream).shutdown(Shutdown::Write).is_err() {
        return;
    }
    let _ = timeout(LINGER_TIMEOUT, discard_input(stream, MAX_LINGER_BYTES)).await;
}
