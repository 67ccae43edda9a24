//! The connection to a control server.

use std::net::SocketAddr;
use std::time::Duration;

use pondlb_http::{Message, MessageReader, response_framing};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::failure::Failure;
use super::status::FollowerStatus;
use crate::coding;
use crate::http::get;

/// A lost handshake would be repeated only after a second, and the next server answers sooner.
const CONNECT_WITHIN: Duration = Duration::from_millis(300);
/// A kept connection that breaks sooner than this was closed before the call came.
const CLOSED_BEFORE: Duration = Duration::from_millis(100);
/// How much of a refusal's text goes into the log.
const MOST_REASON: usize = 200;

/// Calls servers over a connection that is kept between calls.
#[derive(Debug, Default)]
pub struct Link {
    kept: Option<(SocketAddr, TcpStream)>,
}

impl Link {
    /// Closes the connection.
    pub fn close(&mut self) {
        self.kept = None;
    }

    /// Calls a server; the content of its answer, which may have so many bytes. The connection is taken, so that a call
    /// that is given up closes it.
    pub async fn call(
        &mut self,
        server: SocketAddr,
        target: &str,
        most_content: usize,
        status: &FollowerStatus,
    ) -> Result<Vec<u8>, Failure> {
        let called = Instant::now();
        if let Some((_, stream)) = self.kept.take().filter(|(address, _)| *address == server) {
            match self.converse(server, stream, target, most_content, status).await {
                // Closed as the call came: nobody has refused it, and it may be made again.
                Err(Failure::Unreached(_)) if called.elapsed() < CLOSED_BEFORE => {}
                done => return done,
            }
        }
        let stream = connect(server).await?;
        self.converse(server, stream, target, most_content, status).await
    }

    async fn converse(
        &mut self,
        server: SocketAddr,
        mut stream: TcpStream,
        target: &str,
        most_content: usize,
        status: &FollowerStatus,
    ) -> Result<Vec<u8>, Failure> {
        let request = get(server, target);
        status.note_call(request.len());
        let broken = |what, error| Failure::Unreached(format!("the {what} breaks: {error}"));
        stream.write_all(&request).await.map_err(|error| broken("call", error))?;
        let mut reader = MessageReader::with_max_body(response_framing, most_content);
        loop {
            let count =
                stream.read(reader.spare_capacity_mut()).await.map_err(|error| broken("answer", error))?;
            if count == 0 {
                return Err(Failure::Unreached("the connection ends before the answer".into()));
            }
            status.note_received(count);
            reader.mark_filled(count);
            let read = reader.next_message().map_err(|fault| Failure::Unreadable(fault.to_string()))?;
            if let Some(message) = read {
                // More than was asked for must not pass for the next call's answer.
                if reader.is_idle() && !message.head.list_contains("Connection", "close") {
                    self.kept = Some((server, stream));
                }
                return content_of(message, most_content);
            }
        }
    }
}

async fn connect(server: SocketAddr) -> Result<TcpStream, Failure> {
    let unreached = |reason: String| Failure::Unreached(format!("can't be reached: {reason}"));
    match timeout(CONNECT_WITHIN, TcpStream::connect(server)).await {
        Err(_) => Err(unreached(format!("no connection within {CONNECT_WITHIN:?}"))),
        Ok(Err(error)) => Err(unreached(error.to_string())),
        Ok(Ok(stream)) => {
            let _unset = stream.set_nodelay(true);
            Ok(stream)
        }
    }
}

fn content_of(message: Message, most_bytes: usize) -> Result<Vec<u8>, Failure> {
    let status = message.head.status().map_err(|fault| Failure::Unreadable(fault.to_string()))?;
    if status == 200 {
        return Ok(coding::decode(&message.head, message.body, most_bytes)?);
    }
    let text = String::from_utf8_lossy(&message.body);
    Err(Failure::Refused { status, reason: text.trim().chars().take(MOST_REASON).collect() })
}
