//! The connection of a follower to a control server.

use std::net::SocketAddr;
use std::time::Duration;

use pondlb_http::{Message, MessageReader, response_framing};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout};

use super::failure::RequestFailure;
use super::status::FollowerStatus;
use crate::coding;
use crate::http::encode_get_request;

/// The timeout of a TCP handshake. TCP would retransmit a lost SYN only after a second; the next server responds
/// sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// If a reused connection fails sooner than this after a request, the server had closed it before the request arrived.
const STALE_CONNECTION_WINDOW: Duration = Duration::from_millis(100);
/// The maximum number of characters of an error response that are logged.
const MAX_LOGGED_REASON_CHARS: usize = 200;

/// Sends requests to one server at a time over a persistent connection.
#[derive(Debug, Default)]
pub struct ServerConnection {
    /// The open connection and its server, while no request is in flight.
    idle: Option<(SocketAddr, TcpStream)>,
}

impl ServerConnection {
    /// Closes the connection.
    pub fn close(&mut self) {
        self.idle = None;
    }

    /// Sends a GET request and returns the decoded content of the response, which may have at most `max_content_bytes`.
    ///
    /// The idle connection is taken out for the exchange, so that it is closed if this future is dropped before its
    /// end.
    pub async fn get(
        &mut self,
        server: SocketAddr,
        target: &str,
        max_content_bytes: usize,
        status: &FollowerStatus,
    ) -> Result<Vec<u8>, RequestFailure> {
        let started = Instant::now();
        if let Some((_, stream)) = self.idle.take().filter(|(address, _)| *address == server) {
            match self.exchange(server, stream, target, max_content_bytes, status).await {
                // The server closed the idle connection without processing the request, which can be retried safely.
                Err(RequestFailure::Disconnected(_)) if started.elapsed() < STALE_CONNECTION_WINDOW => {}
                result => return result,
            }
        }
        let stream = connect(server).await?;
        self.exchange(server, stream, target, max_content_bytes, status).await
    }

    /// Sends a request over this stream and reads the response. The stream is kept as the idle connection if it can be
    /// reused.
    async fn exchange(
        &mut self,
        server: SocketAddr,
        mut stream: TcpStream,
        target: &str,
        max_content_bytes: usize,
        status: &FollowerStatus,
    ) -> Result<Vec<u8>, RequestFailure> {
        let request = encode_get_request(server, target);
        status.count_request(request.len());
        let io_failure = |action, error| RequestFailure::Disconnected(format!("{action} failed: {error}"));
        stream.write_all(&request).await.map_err(|error| io_failure("sending the request", error))?;
        let mut reader = MessageReader::with_max_body(response_framing, max_content_bytes);
        loop {
            let count = stream
                .read(reader.spare_capacity_mut())
                .await
                .map_err(|error| io_failure("reading the response", error))?;
            if count == 0 {
                return Err(RequestFailure::Disconnected("connection closed before the response".into()));
            }
            status.count_received_bytes(count);
            reader.mark_filled(count);
            let message = reader
                .next_message()
                .map_err(|error| RequestFailure::MalformedResponse(error.to_string()))?;
            if let Some(message) = message {
                // Surplus bytes must not be mistaken for the response to the next request.
                if reader.is_idle() && !message.head.list_contains("Connection", "close") {
                    self.idle = Some((server, stream));
                }
                return response_content(message, max_content_bytes);
            }
            // Other tasks have their turn even if the server sends without a pause.
            yield_now().await;
        }
    }
}

/// Opens a connection to a server.
async fn connect(server: SocketAddr) -> Result<TcpStream, RequestFailure> {
    let failure = |reason: String| RequestFailure::Disconnected(format!("can't connect: {reason}"));
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(server)).await {
        Err(_) => Err(failure(format!("no connection within {CONNECT_TIMEOUT:?}"))),
        Ok(Err(error)) => Err(failure(error.to_string())),
        Ok(Ok(stream)) => {
            // Without TCP_NODELAY requests are only slower.
            let _ = stream.set_nodelay(true);
            Ok(stream)
        }
    }
}

/// The decoded content of a response with status 200.
fn response_content(message: Message, max_bytes: usize) -> Result<Vec<u8>, RequestFailure> {
    let status =
        message.head.status().map_err(|error| RequestFailure::MalformedResponse(error.to_string()))?;
    if status == 200 {
        return Ok(coding::decode(&message.head, message.body, max_bytes)?);
    }
    let text = String::from_utf8_lossy(&message.body);
    Err(RequestFailure::ErrorStatus {
        status,
        reason: text.trim().chars().take(MAX_LOGGED_REASON_CHARS).collect(),
    })
}
