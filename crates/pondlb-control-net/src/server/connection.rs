//! One connection to a control server: requests in, responses out, each within its time.

use std::rc::Rc;
use std::time::Duration;

use pondlb_http::{Head, Message, MessageError, MessageReader, request_framing};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::commit;
use super::follower_requests::{self, UpdatePacing};
use super::request::Request;
use super::state::ServerState;
use crate::coding::ContentCoding;
use crate::http::{Response, StatusCode};

/// A request must be whole so long after the answer before it.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// An answer must be taken within this, or slow readers pin memory.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// The calls of followers have no body.
const MAX_FOLLOWER_REQUEST_BODY_BYTES: usize = 0;
/// How long a connection that is turned away is read on: a close over unread bytes would reset it and take the
/// answer with it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);

/// The connection and what has come on it.
struct Connection {
    stream: TcpStream,
    reader: MessageReader,
}

enum Incoming {
    Request(Message),
    Malformed(MessageError),
    Closed,
}

/// Serves a follower until its connection ends.
pub async fn serve_follower(state: Rc<ServerState>, stream: TcpStream) {
    let mut connection = Connection::new(stream, MAX_FOLLOWER_REQUEST_BODY_BYTES);
    let mut pace = UpdatePacing::default();
    loop {
        let response = match connection.read_request().await {
            Incoming::Closed => return,
            Incoming::Malformed(fault) => Response::for_message_error(fault),
            Incoming::Request(message) => {
                let accepted = ContentCoding::accepted_by(&message.head);
                let answered = match Request::parse(&message.head) {
                    Err(error) => Some(error.response()),
                    Ok(request) => tokio::select! {
                        biased;
                        () = connection.closed_by_peer() => None,
                        response = follower_requests::handle_request(&state, request, accepted, &mut pace) => Some(response),
                    },
                };
                let Some(response) = answered else { return };
                close_if_requested(response, &message.head)
            }
        };
        if !connection.write_response(&response).await {
            return;
        }
    }
}

/// Serves one who commits changes, until the connection ends.
pub async fn serve_commit_client(state: Rc<ServerState>, stream: TcpStream) {
    let mut connection = Connection::new(stream, state.options().max_commit_bytes());
    loop {
        let response = match connection.read_request().await {
            Incoming::Closed => return,
            Incoming::Malformed(fault) => Response::for_message_error(fault),
            Incoming::Request(message) => {
                close_if_requested(commit::handle_request(&state, &message), &message.head)
            }
        };
        if !connection.write_response(&response).await {
            return;
        }
    }
}

/// Turns one away for whom there is no place.
pub async fn refuse_connection(stream: TcpStream) {
    let response = Response::text(StatusCode::Unavailable, "too many connections").closing_connection();
    let mut connection = Connection::new(stream, MAX_FOLLOWER_REQUEST_BODY_BYTES);
    connection.write_response(&response).await;
    if connection.stream.shutdown().await.is_ok() {
        let mut unread = [0; 1024];
        let drained = async { while matches!(connection.stream.read(&mut unread).await, Ok(1..)) {} };
        let _late = timeout(LINGER_TIMEOUT, drained).await;
    }
}

fn close_if_requested(response: Response, head: &Head) -> Response {
    if head.list_contains("Connection", "close") { response.closing_connection() } else { response }
}

impl Connection {
    fn new(stream: TcpStream, most_body: usize) -> Connection {
        let _unset = stream.set_nodelay(true);
        Connection { stream, reader: MessageReader::with_max_body(request_framing, most_body) }
    }

    async fn read_request(&mut self) -> Incoming {
        let incoming = async {
            loop {
                match self.reader.next_message() {
                    Ok(Some(message)) => return Incoming::Request(message),
                    Ok(None) => {}
                    Err(fault) => return Incoming::Malformed(fault),
                }
                match self.stream.read(self.reader.spare_capacity_mut()).await {
                    Ok(count @ 1..) => self.reader.mark_filled(count),
                    _ => return Incoming::Closed,
                }
            }
        };
        timeout(REQUEST_READ_TIMEOUT, incoming).await.unwrap_or(Incoming::Closed)
    }

    /// Returns when the other side ends the connection, or sends more ahead than is kept.
    async fn closed_by_peer(&mut self) {
        while let Ok(count @ 1..) = self.stream.read(self.reader.spare_capacity_mut()).await {
            self.reader.mark_filled(count);
        }
    }

    /// False where the connection ends with the answer.
    async fn write_response(&mut self, response: &Response) -> bool {
        let bytes = response.encode();
        let written = timeout(RESPONSE_WRITE_TIMEOUT, self.stream.write_all(&bytes)).await;
        matches!(written, Ok(Ok(()))) && !response.closes_connection
    }
}
