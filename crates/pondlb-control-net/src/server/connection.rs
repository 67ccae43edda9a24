//! One connection to a control server. Reading a request and writing a response have timeouts.

use std::rc::Rc;
use std::time::Duration;

use pondlb_http::{Head, Message, MessageError, MessageReader, request_framing};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::timeout;

use super::commit;
use super::follower_requests::{self, UpdatePacing};
use super::request::Request;
use super::state::ServerState;
use crate::coding::ContentCoding;
use crate::http::{Response, StatusCode};

/// The maximum time from the previous response, or from the accept, to the end of a request.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum time to write a response. It bounds how long a slow reader occupies the memory of its response.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Requests of followers have no body.
const MAX_FOLLOWER_REQUEST_BODY_BYTES: usize = 0;
/// How long a refused connection is read before it is closed. A close with unread bytes would reset the connection,
/// and the client might lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);

/// A connection with its unprocessed input.
struct Connection {
    stream: TcpStream,
    reader: MessageReader,
}

/// The next event on the input of a connection.
enum Incoming {
    Request(Message),
    Malformed(MessageError),
    /// The peer has closed the connection, or the request has timed out.
    Closed,
}

/// Serves the requests of a follower until the connection is closed.
pub async fn serve_follower(state: Rc<ServerState>, stream: TcpStream) {
    let mut connection = Connection::new(stream, MAX_FOLLOWER_REQUEST_BODY_BYTES);
    let mut pacing = UpdatePacing::default();
    loop {
        let response = match connection.read_request().await {
            Incoming::Closed => return,
            Incoming::Malformed(error) => Response::for_message_error(error),
            Incoming::Request(message) => {
                let accepted_coding = ContentCoding::accepted_by(&message.head);
                let response = match Request::parse(&message.head) {
                    Err(error) => Some(error.response()),
                    Ok(request) => {
                        let handled =
                            follower_requests::handle_request(&state, request, accepted_coding, &mut pacing);
                        tokio::select! {
                            biased;
                            () = connection.closed_by_peer() => None,
                            response = handled => Some(response),
                        }
                    }
                };
                let Some(response) = response else { return };
                close_if_requested(response, &message.head)
            }
        };
        if !connection.write_response(&response).await {
            return;
        }
    }
}

/// Serves requests at the commit address until the connection is closed.
pub async fn serve_commit_client(state: Rc<ServerState>, stream: TcpStream) {
    let mut connection = Connection::new(stream, state.options().max_commit_bytes());
    loop {
        let response = match connection.read_request().await {
            Incoming::Closed => return,
            Incoming::Malformed(error) => Response::for_message_error(error),
            Incoming::Request(message) => {
                close_if_requested(commit::handle_request(&state, &message), &message.head)
            }
        };
        if !connection.write_response(&response).await {
            return;
        }
    }
}

/// Refuses a connection beyond the maximum number with an error response.
pub async fn refuse_connection(stream: TcpStream) {
    let response = Response::text(StatusCode::Unavailable, "too many connections").closing_connection();
    let mut connection = Connection::new(stream, MAX_FOLLOWER_REQUEST_BODY_BYTES);
    connection.write_response(&response).await;
    if connection.stream.shutdown().await.is_ok() {
        let mut unread = [0; 1024];
        let read_to_end = async {
            while matches!(connection.stream.read(&mut unread).await, Ok(1..)) {
                yield_now().await;
            }
        };
        let _ = timeout(LINGER_TIMEOUT, read_to_end).await;
    }
}

/// Marks a response as the last of its connection if the request asks for that.
fn close_if_requested(response: Response, head: &Head) -> Response {
    if head.list_contains("Connection", "close") { response.closing_connection() } else { response }
}

impl Connection {
    fn new(stream: TcpStream, max_body_bytes: usize) -> Connection {
        // Without TCP_NODELAY responses are only slower.
        let _ = stream.set_nodelay(true);
        Connection { stream, reader: MessageReader::with_max_body(request_framing, max_body_bytes) }
    }

    /// Reads until the next request is complete. Other connections have their turn after each read, even if this peer
    /// sends without a pause.
    async fn read_request(&mut self) -> Incoming {
        let incoming = async {
            loop {
                match self.reader.next_message() {
                    Ok(Some(message)) => return Incoming::Request(message),
                    Ok(None) => {}
                    Err(error) => return Incoming::Malformed(error),
                }
                match self.stream.read(self.reader.spare_capacity_mut()).await {
                    Ok(count @ 1..) => self.reader.mark_filled(count),
                    _ => return Incoming::Closed,
                }
                yield_now().await;
            }
        };
        timeout(REQUEST_READ_TIMEOUT, incoming).await.unwrap_or(Incoming::Closed)
    }

    /// Returns when the peer closes the connection, or when it pipelines more bytes than are buffered. Bytes that
    /// arrive before are kept for the next request.
    async fn closed_by_peer(&mut self) {
        while let Ok(count @ 1..) = self.stream.read(self.reader.spare_capacity_mut()).await {
            self.reader.mark_filled(count);
        }
    }

    /// Writes a response and returns whether the connection can be used for another request. Other connections have their
    /// turn before that, since the next request may be at hand already.
    async fn write_response(&mut self, response: &Response) -> bool {
        let bytes = response.encode();
        let result = timeout(RESPONSE_WRITE_TIMEOUT, self.stream.write_all(&bytes)).await;
        yield_now().await;
        matches!(result, Ok(Ok(()))) && !response.closes_connection
    }
}
