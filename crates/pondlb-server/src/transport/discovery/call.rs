//! One call to discovery and its response.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::error::CallError;
use crate::protocol::discovery::{ChangesQuery, ListError, ListReader, UpstreamList, encode_list_request};
use crate::transport::stream::{ReceiveState, read_into, receive_state, write_all};

/// How long connecting may take. The kernel repeats a lost handshake only after a second; giving up sooner reaches a
/// discovery agent that has restarted without that delay.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// When a kept connection breaks within this time after the call, discovery closed it before the call arrived.
const CLOSED_BEFORE_CALL: Duration = Duration::from_millis(100);

/// Asks for what has changed since a version, instead of the whole list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChangesSince {
    pub version: u64,
    /// How long discovery may wait until there are changes.
    pub hold: Duration,
}

/// The address of discovery, and the connection that is kept for the next call.
pub struct DiscoveryConnection {
    pub address: SocketAddr,
    kept: Option<TcpStream>,
    /// The longest list that is accepted, in bytes as sent.
    max_list_bytes: usize,
    /// How long a call may wait in discovery's queue; see [`super::CallTimeouts::queue_margin`].
    queue_margin: Duration,
}

impl DiscoveryConnection {
    /// Creates the client's end without connecting.
    pub fn new(address: SocketAddr, max_list_bytes: usize, queue_margin: Duration) -> Self {
        DiscoveryConnection { address, kept: None, max_list_bytes, queue_margin }
    }

    /// Closes the kept connection.
    pub fn close(&mut self) {
        self.kept = None;
    }

    /// Makes one call: for the changes since a version, or for the whole list where `since` is `None`. The connection
    /// belongs to the call while it lasts, so that cancelling the call closes it.
    pub async fn call(&mut self, since: Option<ChangesSince>) -> Result<UpstreamList, CallError> {
        let called_at = Instant::now();
        let request = encode_list_request(
            self.address,
            since.map(|since| ChangesQuery { from_version: since.version, hold_ms: since.hold.as_millis() }),
        );
        let is_open = |kept: &TcpStream| receive_state(kept) == ReceiveState::Empty;
        if let Some(kept) = self.kept.take().filter(is_open) {
            match self.call_on(kept, &request).await {
                // Discovery closed the connection just as the call was sent. This is not a rejection, and calls have
                // no effect, so the call is repeated on a new connection.
                Err(CallError::ConnectionBroken(_)) if called_at.elapsed() < CLOSED_BEFORE_CALL => {}
                result => return result,
            }
        }
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
            Ok(stream) => stream.map_err(|error| CallError::from_connect_error(&error))?,
            Err(_) => return Err(CallError::ConnectTimedOut),
        };
        self.call_on(stream, &request).await
    }

    /// Sends a call on a connection and reads the response. Keeps the connection for the next call if it can be reused.
    async fn call_on(&mut self, stream: TcpStream, request: &[u8]) -> Result<UpstreamList, CallError> {
        let called_at = Instant::now();
        let written = write_all(&stream, request).await;
        written.map_err(|error| CallError::from_io_error("the call", &error))?;
        let mut reader = ListReader::new(self.max_list_bytes);
        loop {
            let read = read_into(&stream, reader.message_reader()).await;
            let count = read.map_err(|error| CallError::from_io_error("the response", &error))?;
            reader.count_received_bytes(count);
            let is_closed = count == 0;
            if is_closed && reader.is_idle() {
                return Err(CallError::ConnectionBroken("connection closed without a response".into()));
            }
            match reader.next_response(is_closed).map_err(|error| self.response_error(error, called_at))? {
                Some(response) => {
                    self.kept = response.keep_alive.then_some(stream);
                    return Ok(response.list);
                }
                None if is_closed => {
                    return Err(CallError::Rejected("connection closed within the response".into()));
                }
                None => {}
            }
        }
    }

    /// Classifies an error in the response to the call made at `called_at`.
    fn response_error(&self, error: ListError, called_at: Instant) -> CallError {
        match error {
            // Discovery rejects calls from a full queue sooner than this.
            ListError::Status(reason) if called_at.elapsed() > self.queue_margin * 2 / 3 => {
                CallError::Unavailable(reason)
            }
            ListError::Status(reason) | ListError::Invalid(reason) => CallError::Rejected(reason),
            ListError::TooLong { size_bytes, limit_bytes } => {
                CallError::ListTooLong { size_bytes, limit_bytes }
            }
        }
    }
}
