//! The little of HTTP/1.1 that the laboratory needs. Its parser is not the balancer's: with a shared one, a fault in
//! the parser would go unnoticed, as both ends would agree on it.

use std::io;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The longest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// The most header fields of a message.
const MAX_HEADERS: usize = 64;
/// How much is read to see whether anything has arrived.
const PEEK_BYTES: usize = 64;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The path of a request, with its query.
    pub path: String,
    /// The status of a response.
    pub status: u16,
    /// The header fields in their order, as name and value.
    pub headers: Vec<(String, String)>,
    /// The body; bytes that are not UTF-8 are replaced.
    pub body: String,
}

impl Message {
    /// The value of the first header field of this name, in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
}

/// An HTTP/1.1 connection, as client or as server.
pub struct HttpConnection {
    /// The connection itself.
    pub stream: TcpStream,
    /// How many bytes have been read since the connection was made.
    pub received_bytes: u64,
    /// Bytes that were read and do not belong to a message yet.
    buffer: Vec<u8>,
}

fn invalid_data(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

impl HttpConnection {
    /// Wraps a connected stream, and disables Nagle's algorithm on it.
    pub fn new(stream: TcpStream) -> Self {
        // Without TCP_NODELAY messages are only slower.
        let _ = stream.set_nodelay(true);
        HttpConnection { stream, received_bytes: 0, buffer: Vec::new() }
    }

    /// Whether bytes have arrived that belong to no message read so far. Does not wait.
    pub fn has_unread_data(&mut self) -> bool {
        let mut chunk = [0; PEEK_BYTES];
        if let Ok(count) = self.stream.try_read(&mut chunk) {
            self.buffer.extend_from_slice(&chunk[..count]);
            self.received_bytes += count as u64;
        }
        !self.buffer.is_empty()
    }

    /// Waits for the first byte of a message; `false` if the peer has closed the connection.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn wait_for_data(&mut self) -> io::Result<bool> {
        Ok(!self.buffer.is_empty() || self.fill_buffer().await?)
    }

    /// Writes a whole message.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes()).await
    }

    /// Reads a request; `None` if the peer closes the connection before its first byte.
    ///
    /// # Errors
    /// The connection failed or ended within the message, or the message is malformed or too long.
    pub async fn read_request(&mut self) -> io::Result<Option<Message>> {
        self.read_message(|bytes| {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Request::new(&mut headers);
            let parsed = head.parse(bytes).map_err(|e| invalid_data(&e.to_string()))?;
            let path = head.path.unwrap_or_default().to_string();
            Ok(parsed
                .is_complete()
                .then(|| (parsed.unwrap(), Message { path, ..message_with_headers(head.headers) })))
        })
        .await
    }

    /// Reads a response; `None` if the peer closes the connection before its first byte.
    ///
    /// # Errors
    /// The connection failed or ended within the message, or the message is malformed or too long.
    pub async fn read_response(&mut self) -> io::Result<Option<Message>> {
        self.read_message(|bytes| {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Response::new(&mut headers);
            let parsed = head.parse(bytes).map_err(|e| invalid_data(&e.to_string()))?;
            let status = head.code.unwrap_or_default();
            Ok(parsed
                .is_complete()
                .then(|| (parsed.unwrap(), Message { status, ..message_with_headers(head.headers) })))
        })
        .await
    }

    /// Reads a message whose head `parse` returns with its length, once it is complete.
    async fn read_message(
        &mut self,
        parse: impl Fn(&[u8]) -> io::Result<Option<(usize, Message)>>,
    ) -> io::Result<Option<Message>> {
        let (body_start, mut message) = loop {
            match parse(&self.buffer)? {
                Some(head) => break head,
                None if self.fill_buffer().await? => {}
                None if self.buffer.is_empty() => return Ok(None),
                None => return Err(io::ErrorKind::UnexpectedEof.into()),
            }
        };
        let length = message.header("Content-Length").map_or(Ok(0), str::parse::<usize>);
        let length = length.ok().filter(|length| *length < MAX_MESSAGE_BYTES);
        let end = body_start + length.ok_or_else(|| invalid_data("invalid or too large Content-Length"))?;
        while self.buffer.len() < end {
            if !self.fill_buffer().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = String::from_utf8_lossy(&self.buffer[body_start..end]).into_owned();
        self.buffer.drain(..end);
        Ok(Some(message))
    }

    /// Waits for more bytes; `false` if the peer has closed the connection.
    async fn fill_buffer(&mut self) -> io::Result<bool> {
        if self.buffer.len() >= MAX_MESSAGE_BYTES {
            return Err(invalid_data("the message is too long"));
        }
        let count = self.stream.read_buf(&mut self.buffer).await?;
        self.received_bytes += count as u64;
        Ok(count > 0)
    }
}

fn message_with_headers(headers: &[httparse::Header]) -> Message {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    Message {
        headers: headers.iter().map(|header| (header.name.to_string(), text(header.value))).collect(),
        ..Message::default()
    }
}

/// A response with these header lines, each of which ends with CRLF, and its `Content-Length`.
pub fn format_response(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} Said\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}
