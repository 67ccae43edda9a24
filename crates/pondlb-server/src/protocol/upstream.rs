//! Encodes attempts and probes for upstreams, and decodes their responses.

use std::net::SocketAddr;

use pondlb::{Load, Outcome, TenthMillis};
use pondlb_http::{Head, Message, MessageError, MessageReader, response_framing};

use super::answer::Answer;

/// Fields of a client's request that each attempt replaces.
const REWRITTEN_FIELDS: [&str; 4] = ["Content-Length", "Req-Id", "Req-Deadline", "Expect"];
/// Responses may be longer than requests; upstreams have given some of 400 KB. A longer one than this is refused, since
/// it might never end.
const MAX_RESPONSE_BODY_BYTES: usize = 1024 * 1024;
/// Space for the head of an attempt, which is seldom longer.
const TYPICAL_HEAD_BYTES: usize = 512;

/// Encodes an attempt for a request with this id, whose response is awaited for `wait`. The id is sent even if the
/// client's `Connection` field names `Req-Id`: without it upstreams couldn't recognize a repeated request.
pub fn encode_attempt(id: &str, message: &Message, wait: TenthMillis) -> Vec<u8> {
    let mut out = Vec::with_capacity(TYPICAL_HEAD_BYTES + message.body.len());
    let start_line = &message.head.start_line;
    let method_and_target =
        start_line.rsplit_once(' ').map_or("", |(method_and_target, _)| method_and_target);
    out.extend_from_slice(method_and_target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    message.head.append_end_to_end_fields(&REWRITTEN_FIELDS, &mut out);
    let deadline_us = wait * 100;
    out.extend_from_slice(format!("Req-Id: {id}\r\nReq-Deadline: {deadline_us}u\r\n").as_bytes());
    if !message.body.is_empty() || !start_line.starts_with("GET ") {
        out.extend_from_slice(format!("Content-Length: {}\r\n", message.body.len()).as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&message.body);
    out
}

/// Encodes a probe, which asks an upstream for its load. It has no `Req-Id`, since it belongs to no client's request.
pub fn encode_probe(path: &str, address: SocketAddr) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n").into_bytes()
}

/// Reads the response to the one request that is open on a connection.
pub struct ResponseReader {
    reader: MessageReader,
}

/// What a response means for the attempt or probe that it ends.
#[derive(Debug)]
pub struct UpstreamResponse {
    pub outcome: Outcome,
    /// The answer for the client, if this response decides it.
    pub final_answer: Option<Answer>,
    /// The load that the upstream reports.
    pub load: Load,
    /// Whether the connection can be used for another request.
    pub keep_alive: bool,
}

impl ResponseReader {
    /// Creates a reader for the response to one request.
    pub fn new() -> Self {
        ResponseReader { reader: MessageReader::with_max_body(response_framing, MAX_RESPONSE_BODY_BYTES) }
    }

    /// The reader to which received bytes are added.
    pub fn message_reader(&mut self) -> &mut MessageReader {
        &mut self.reader
    }

    /// Whether a part of a response has been received.
    pub fn has_partial_response(&self) -> bool {
        !self.reader.is_idle()
    }

    /// Returns the response once it is complete. `closed` says that the upstream has closed its side of the connection.
    pub fn next_response(&mut self, closed: bool) -> Result<Option<UpstreamResponse>, MessageError> {
        loop {
            let message = match self.reader.next_message()? {
                None if closed => self.reader.finish(),
                message => message,
            };
            let Some(message) = message else { return Ok(None) };
            let status = message.head.status()?;
            if status == 101 {
                return Err(MessageError::Malformed("the protocol is switched without a request to do so"));
            }
            // Other 1xx responses are interim; the final one follows.
            if status >= 200 {
                // Surplus bytes must not be taken for the response to the connection's next request.
                let is_reusable = !closed && self.reader.is_idle();
                return Ok(Some(interpret(message, status, is_reusable)));
            }
        }
    }
}

/// Interprets a final response on a connection that can be reused as far as its state is concerned.
fn interpret(message: Message, status: u16, is_reusable: bool) -> UpstreamResponse {
    let head = &message.head;
    let is_rejected = head.single_value("Srv-Declined") == Ok(Some("1"));
    let outcome = match status {
        200 => Outcome::Ok,
        503 | 504 if is_rejected => Outcome::Full,
        // These depend on the moment or on the upstream. Any other 4xx is the client's fault: another upstream would
        // respond the same, and it doesn't count against this one.
        408 | 409 | 425 | 429 => Outcome::Error,
        400..=499 => Outcome::Moot,
        _ => Outcome::Error,
    };
    let keep_alive =
        is_reusable && !head.list_contains("Connection", "close") && head.start_line.starts_with("HTTP/1.1");
    let load = reported_load(head);
    let final_answer = match outcome {
        Outcome::Ok => Some(Answer::Served(message)),
        Outcome::Moot => Some(Answer::ClientError),
        _ => None,
    };
    UpstreamResponse { outcome, final_answer, load, keep_alive }
}

/// The load in the `Srv-Load` field. It is only a hint, so values that can't be parsed are left out.
fn reported_load(head: &Head) -> Load {
    let Ok(Some(report)) = head.single_value("Srv-Load") else { return Load::default() };
    let value = |name: &str| {
        let text = report.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))?;
        text.parse::<f64>().ok()
    };
    Load::from_report(value("rif"), value("q"), value("lat_ms"))
}
