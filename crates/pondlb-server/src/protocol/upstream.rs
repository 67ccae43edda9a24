//! The side that speaks to upstreams: an attempt to bytes, bytes to its outcome.

use std::net::SocketAddr;

use pondlb::{Load, Outcome, TenthMillis};
use pondlb_http::{Head, Message, MessageError, MessageReader, response_framing};

use super::MAX_RESPONSE_BODY_BYTES;
use super::answer::Answer;

/// Fields that are written anew for each attempt.
const REWRITTEN: [&str; 4] = ["Content-Length", "Req-Id", "Req-Deadline", "Expect"];

/// The id goes with it whatever the client's `Connection` says: without it nobody could tell a repeat.
pub fn encode_attempt(id: &str, message: &Message, wait: TenthMillis) -> Vec<u8> {
    let mut out = Vec::with_capacity(512 + message.body.len());
    out.extend_from_slice(message.head.start_line.rsplit_once(' ').map_or("", |(line, _)| line).as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    message.head.append_end_to_end_fields(&REWRITTEN, &mut out);
    out.extend_from_slice(format!("Req-Id: {id}\r\nReq-Deadline: {}u\r\n", wait * 100).as_bytes());
    if !message.body.is_empty() || !message.head.start_line.starts_with("GET ") {
        out.extend_from_slice(format!("Content-Length: {}\r\n", message.body.len()).as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&message.body);
    out
}

/// Asks an upstream for its load. No client's request stands behind it, so it has no id.
pub fn encode_probe(path: &str, address: SocketAddr) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n").into_bytes()
}

/// Reads the one answer that is due on a connection.
pub struct ResponseReader {
    reader: MessageReader,
}

#[derive(Debug)]
pub struct UpstreamResponse {
    pub outcome: Outcome,
    /// What the client is to get, where this is final.
    pub final_answer: Option<Answer>,
    pub load: Load,
    /// The connection may carry another attempt.
    pub keep_alive: bool,
}

impl ResponseReader {
    pub fn new() -> Self {
        ResponseReader { reader: MessageReader::with_max_body(response_framing, MAX_RESPONSE_BODY_BYTES) }
    }

    /// Where what is read goes.
    pub fn message_reader(&mut self) -> &mut MessageReader {
        &mut self.reader
    }

    /// Whether a part of an answer has come.
    pub fn has_partial_response(&self) -> bool {
        !self.reader.is_idle()
    }

    /// The whole answer, once it has come; `closed` when the upstream has ended its side.
    pub fn next_response(&mut self, closed: bool) -> Result<Option<UpstreamResponse>, MessageError> {
        loop {
            let message = match self.reader.next_message()? {
                None if closed => self.reader.finish(),
                message => message,
            };
            let Some(message) = message else { return Ok(None) };
            let status = message.head.status()?;
            if status == 101 {
                return Err(MessageError::Malformed("a switch of protocols that nobody asked for"));
            }
            // What is said ahead of the answer is nobody's answer.
            if status >= 200 {
                // More than was asked for must not pass for the next request's answer.
                let whole = !closed && self.reader.is_idle();
                return Ok(Some(answered(message, status, whole)));
            }
        }
    }
}

fn answered(message: Message, status: u16, clean: bool) -> UpstreamResponse {
    let head = &message.head;
    let rejected = head.single_value("Srv-Declined") == Ok(Some("1"));
    let outcome = match status {
        200 => Outcome::Ok,
        503 | 504 if rejected => Outcome::Full,
        // These speak of the moment or of the upstream; any other 4xx is the client's own fault. The next
        // upstream would say the same, and none is the worse for it.
        408 | 409 | 425 | 429 => Outcome::Error,
        400..=499 => Outcome::Moot,
        _ => Outcome::Error,
    };
    let keep = clean && !head.list_contains("Connection", "close") && head.start_line.starts_with("HTTP/1.1");
    let load = load(head);
    let reply = match outcome {
        Outcome::Ok => Some(Answer::Served(message)),
        Outcome::Moot => Some(Answer::ClientError),
        _ => None,
    };
    UpstreamResponse { outcome, final_answer: reply, load, keep_alive: keep }
}

/// A report is a hint: what can't be read of it is left out.
fn load(head: &Head) -> Load {
    let Ok(Some(report)) = head.single_value("Srv-Load") else { return Load::default() };
    let value = |name: &str| {
        let text = report.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))?;
        text.parse::<f64>().ok()
    };
    Load::from_report(value("rif"), value("q"), value("lat_ms"))
}
