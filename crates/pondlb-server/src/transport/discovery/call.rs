//! One call to discovery and its response.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::Instant;

use super::error::CallError;
use crate::protocol::discovery::{ChangesQuery, ListError, ListReader, UpstreamList, encode_list_request};
use crate::transport::stream::{ReadTurn, read_into, write_all};

/// Asks for what has changed since a version, instead of the whole list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChangesSince {
    pub version: u64,
    /// How long discovery may wait until there are changes.
    pub hold: Duration,
}

/// A call: for the changes since a version, or for the whole list where `since` is `None`.
#[derive(Debug)]
pub struct Call {
    /// Numbers the calls in the log.
    pub number: u64,
    pub address: SocketAddr,
    pub since: Option<ChangesSince>,
    pub called_at: Instant,
    /// The longest list that is accepted, in bytes as sent.
    pub max_list_bytes: usize,
    /// How long the call may wait in discovery's queue; see [`super::CallTimeouts::queue_margin`].
    pub queue_margin: Duration,
}

/// A list, and the connection on which it came if that can be used for another call.
pub struct ReceivedList {
    pub list: UpstreamList,
    pub connection: Option<TcpStream>,
}

impl Call {
    /// How long discovery may wait until there are changes.
    pub fn hold(&self) -> Duration {
        self.since.map(|since| since.hold).unwrap_or_default()
    }

    fn encode(&self) -> Vec<u8> {
        let query = |since: ChangesSince| ChangesQuery {
            from_version: since.version,
            hold_ms: since.hold.as_millis(),
        };
        encode_list_request(self.address, self.since.map(query))
    }

    /// Classifies an error in the response.
    fn response_error(&self, error: ListError) -> CallError {
        match error {
            // Discovery rejects calls from a full queue sooner than this.
            ListError::Status(reason) if self.called_at.elapsed() > self.queue_margin * 2 / 3 => {
                CallError::Unavailable(reason)
            }
            ListError::Status(reason) | ListError::Invalid(reason) => CallError::Rejected(reason),
            ListError::TooLong { size_bytes, limit_bytes } => {
                CallError::ListTooLong { size_bytes, limit_bytes }
            }
        }
    }
}

/// Opens a connection to discovery.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, CallError> {
    TcpStream::connect(address).await.map_err(|error| CallError::from_connect_error(&error))
}

/// Sends a call on a connection and reads the response. The connection belongs to the exchange, so that cancelling it
/// closes the connection.
pub async fn exchange(call: Rc<Call>, connection: TcpStream) -> Result<ReceivedList, CallError> {
    let written = write_all(&connection, &call.encode()).await;
    written.map_err(|error| CallError::from_io_error("the call", &error))?;
    let (mut reader, mut turn) = (ListReader::new(call.max_list_bytes), ReadTurn::default());
    loop {
        let read = read_into(&connection, reader.message_reader()).await;
        let count = read.map_err(|error| CallError::from_io_error("the response", &error))?;
        reader.count_received_bytes(count);
        let is_closed = count == 0;
        if is_closed && reader.is_idle() {
            return Err(CallError::ConnectionBroken("connection closed without a response".into()));
        }
        match reader.next_response(is_closed).map_err(|error| call.response_error(error))? {
            Some(response) => {
                let connection = response.keep_alive.then_some(connection);
                return Ok(ReceivedList { list: response.list, connection });
            }
            None if is_closed => {
                return Err(CallError::Rejected("connection closed within the response".into()));
            }
            None => turn.next_read().await,
        }
    }
}
