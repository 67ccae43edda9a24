//! One connection to a control server: requests in, responses out, each within its time.

use std::rc::Rc;
use std::time::Duration;

use pondlb_http::{Head, Message, MessageError, MessageReader, request_framing};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::calls::{self, Pace};
use super::commit;
use super::request::Request;
use super::state::State;
use crate::coding::ContentCoding;
use crate::http::{Response, Status};

/// A request must be whole so long after the answer before it.
const REQUEST_WITHIN: Duration = Duration::from_secs(10);
/// An answer must be taken within this, or slow readers pin memory.
const ANSWER_WITHIN: Duration = Duration::from_secs(5);
/// The calls of followers have no body.
const MOST_CALL_BODY: usize = 0;
/// How long a connection that is turned away is read on: a close over unread bytes would reset it and take the
/// answer with it.
const LINGER: Duration = Duration::from_millis(200);

/// The connection and what has come on it.
struct Connection {
    stream: TcpStream,
    reader: MessageReader,
}

enum Incoming {
    Message(Message),
    Fault(MessageError),
    Over,
}

/// Serves a follower until its connection ends.
pub async fn serve_follower(state: Rc<State>, stream: TcpStream) {
    let mut connection = Connection::new(stream, MOST_CALL_BODY);
    let mut pace = Pace::default();
    loop {
        let response = match connection.next().await {
            Incoming::Over => return,
            Incoming::Fault(fault) => Response::to_fault(fault),
            Incoming::Message(message) => {
                let accepted = ContentCoding::accepted_by(&message.head);
                let answered = match Request::read(&message.head) {
                    Err(error) => Some(error.response()),
                    Ok(request) => tokio::select! {
                        biased;
                        () = connection.ended() => None,
                        response = calls::answer(&state, request, accepted, &mut pace) => Some(response),
                    },
                };
                let Some(response) = answered else { return };
                close_if_asked(response, &message.head)
            }
        };
        if !connection.answer(&response).await {
            return;
        }
    }
}

/// Serves one who commits changes, until the connection ends.
pub async fn serve_committer(state: Rc<State>, stream: TcpStream) {
    let mut connection = Connection::new(stream, state.options().max_commit_bytes());
    loop {
        let response = match connection.next().await {
            Incoming::Over => return,
            Incoming::Fault(fault) => Response::to_fault(fault),
            Incoming::Message(message) => close_if_asked(commit::answer(&state, &message), &message.head),
        };
        if !connection.answer(&response).await {
            return;
        }
    }
}

/// Turns one away for whom there is no place.
pub async fn turn_away(stream: TcpStream) {
    let response = Response::text(Status::Unavailable, "too many connections").and_close();
    let mut connection = Connection::new(stream, MOST_CALL_BODY);
    connection.answer(&response).await;
    if connection.stream.shutdown().await.is_ok() {
        let mut unread = [0; 1024];
        let drained = async { while matches!(connection.stream.read(&mut unread).await, Ok(1..)) {} };
        let _late = timeout(LINGER, drained).await;
    }
}

fn close_if_asked(response: Response, head: &Head) -> Response {
    if head.list_contains("Connection", "close") { response.and_close() } else { response }
}

impl Connection {
    fn new(stream: TcpStream, most_body: usize) -> Connection {
        let _unset = stream.set_nodelay(true);
        Connection { stream, reader: MessageReader::with_max_body(request_framing, most_body) }
    }

    async fn next(&mut self) -> Incoming {
        let incoming = async {
            loop {
                match self.reader.next_message() {
                    Ok(Some(message)) => return Incoming::Message(message),
                    Ok(None) => {}
                    Err(fault) => return Incoming::Fault(fault),
                }
                match self.stream.read(self.reader.spare_capacity_mut()).await {
                    Ok(count @ 1..) => self.reader.mark_filled(count),
                    _ => return Incoming::Over,
                }
            }
        };
        timeout(REQUEST_WITHIN, incoming).await.unwrap_or(Incoming::Over)
    }

    /// Returns when the other side ends the connection, or sends more ahead than is kept.
    async fn ended(&mut self) {
        while let Ok(count @ 1..) = self.stream.read(self.reader.spare_capacity_mut()).await {
            self.reader.mark_filled(count);
        }
    }

    /// False where the connection ends with the answer.
    async fn answer(&mut self, response: &Response) -> bool {
        let bytes = response.encode();
        let written = timeout(ANSWER_WITHIN, self.stream.write_all(&bytes)).await;
        matches!(written, Ok(Ok(()))) && !response.close
    }
}
