//! As little of HTTP/1.1 as the stand-ins need, read by a parser that is not the balancer's: both sides would
//! else agree on a fault of its own.

use std::io;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MOST: usize = 256 * 1024;

/// A request or an answer as it came.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The path of a request.
    pub path: String,
    /// The status of an answer.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
}

/// One connection, and what has come on it beyond the last message.
pub struct HttpConnection {
    pub stream: TcpStream,
    /// Bytes that have come, since the connection was made.
    pub received_bytes: u64,
    bytes: Vec<u8>,
}

fn bad(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

impl HttpConnection {
    pub fn new(stream: TcpStream) -> Self {
        let _unset = stream.set_nodelay(true);
        HttpConnection { stream, received_bytes: 0, bytes: Vec::new() }
    }

    /// More has come than was asked for.
    pub fn has_unread_data(&mut self) -> bool {
        let mut some = [0; 64];
        if let Ok(count) = self.stream.try_read(&mut some) {
            self.bytes.extend_from_slice(&some[..count]);
            self.received_bytes += count as u64;
        }
        !self.bytes.is_empty()
    }

    /// Until a first byte has come; false when the other side has ended.
    pub async fn wait_for_data(&mut self) -> io::Result<bool> {
        Ok(!self.bytes.is_empty() || self.fill().await?)
    }

    pub async fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes()).await
    }

    pub async fn read_request(&mut self) -> io::Result<Option<Message>> {
        self.message(|bytes| {
            let mut fields = [httparse::EMPTY_HEADER; 64];
            let mut head = httparse::Request::new(&mut fields);
            let status = head.parse(bytes).map_err(|e| bad(&e.to_string()))?;
            let path = head.path.unwrap_or_default().to_string();
            Ok(status.is_complete().then(|| (status.unwrap(), Message { path, ..of_fields(head.headers) })))
        })
        .await
    }

    pub async fn read_response(&mut self) -> io::Result<Option<Message>> {
        self.message(|bytes| {
            let mut fields = [httparse::EMPTY_HEADER; 64];
            let mut head = httparse::Response::new(&mut fields);
            let parsed = head.parse(bytes).map_err(|e| bad(&e.to_string()))?;
            let status = head.code.unwrap_or_default();
            Ok(parsed.is_complete().then(|| (parsed.unwrap(), Message { status, ..of_fields(head.headers) })))
        })
        .await
    }

    /// None when the other side ends before a byte of it.
    async fn message(
        &mut self,
        parse: impl Fn(&[u8]) -> io::Result<Option<(usize, Message)>>,
    ) -> io::Result<Option<Message>> {
        let (start, mut message) = loop {
            match parse(&self.bytes)? {
                Some(head) => break head,
                None if self.fill().await? => {}
                None if self.bytes.is_empty() => return Ok(None),
                None => return Err(io::ErrorKind::UnexpectedEof.into()),
            }
        };
        let length = message.header("Content-Length").map_or(Ok(0), str::parse::<usize>);
        let end = start + length.ok().filter(|l| *l < MOST).ok_or_else(|| bad("a bad length"))?;
        while self.bytes.len() < end {
            if !self.fill().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = String::from_utf8_lossy(&self.bytes[start..end]).into_owned();
        self.bytes.drain(..end);
        Ok(Some(message))
    }

    async fn fill(&mut self) -> io::Result<bool> {
        if self.bytes.len() >= MOST {
            return Err(bad("a message without an end"));
        }
        let count = self.stream.read_buf(&mut self.bytes).await?;
        self.received_bytes += count as u64;
        Ok(count > 0)
    }
}

fn of_fields(fields: &[httparse::Header]) -> Message {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    Message {
        headers: fields.iter().map(|f| (f.name.to_string(), text(f.value))).collect(),
        ..Message::default()
    }
}

/// An answer with its length.
pub fn format_response(status: u16, fields: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} Said\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}
