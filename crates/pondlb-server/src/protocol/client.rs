//! The side that clients speak to: bytes to requests, answers to bytes.

use std::collections::HashMap;

use pondlb::{Arrival, TenthMillis, ns_to_tenth_millis_ceil, ns_to_tenth_millis_floor};
use pondlb_http::{Message, MessageError, MessageReader, request_framing};

use super::answer::Answer;

pub struct RequestReader {
    reader: MessageReader,
}

/// The numbers of the classes that requests may name.
pub type ClassIndexes = HashMap<String, u32>;

/// What a client wants.
#[derive(Debug)]
pub enum RequestKind {
    HealthCheck,
    Forward { arrival: Arrival, message: Message },
}

#[derive(Debug)]
pub struct ClientRequest {
    pub kind: RequestKind,
    /// The client will send nothing more on this connection.
    pub is_last: bool,
}

impl ClientRequest {
    pub fn is_health_check(&self) -> bool {
        matches!(self.kind, RequestKind::HealthCheck)
    }
}

pub const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

const HEALTH: &str = "/_health";
const METHODS: [&str; 5] = ["GET", "POST", "PUT", "PATCH", "DELETE"];
/// Ids are echoed and kept; a longer one is no id.
const MOST_ID: usize = 128;
/// No wait or cost is longer, so that sums of times can't overflow.
const MOST_NS: u64 = 3_600_000_000_000;

impl RequestReader {
    pub fn new() -> Self {
        RequestReader { reader: MessageReader::new(request_framing) }
    }

    /// Where what is read goes.
    pub fn message_reader(&mut self) -> &mut MessageReader {
        &mut self.reader
    }

    pub fn is_idle(&self) -> bool {
        self.reader.is_idle()
    }

    /// Whether the client waits for [`CONTINUE_RESPONSE`] before it sends a body; true once a request.
    pub fn take_expect_continue(&mut self) -> bool {
        self.reader.pending_head_mut().is_some_and(|head| {
            let asked = head.list_contains("Expect", "100-continue");
            head.fields.retain(|(name, _)| !(asked && name.eq_ignore_ascii_case("Expect")));
            asked
        })
    }

    /// The next request, which must be of one of these classes.
    pub fn next_request(&mut self, classes: &ClassIndexes) -> Result<Option<ClientRequest>, MessageError> {
        self.reader.next_message()?.map(|message| asked(message, classes)).transpose()
    }
}

fn asked(message: Message, classes: &ClassIndexes) -> Result<ClientRequest, MessageError> {
    let head = &message.head;
    let mut parts = head.start_line.split(' ');
    let (Some(method), Some(target), Some(version), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(MessageError::Malformed("the first line is no request"));
    };
    if version != "HTTP/1.1" && version != "HTTP/1.0" {
        return Err(MessageError::Malformed("the version is not HTTP/1.1"));
    }
    if !METHODS.contains(&method) {
        return Err(MessageError::MethodNotAllowed);
    }
    if !target.starts_with('/') {
        return Err(MessageError::Malformed("the target is no path"));
    }
    if head.single_value("Host")?.is_none() {
        return Err(MessageError::Malformed("no Host"));
    }
    let last = version == "HTTP/1.0" || head.list_contains("Connection", "close");
    if method == "GET" && target.split('?').next() == Some(HEALTH) {
        return Ok(ClientRequest { kind: RequestKind::HealthCheck, is_last: last });
    }
    let id = head.single_value("Req-Id")?.ok_or(MessageError::Malformed("no Req-Id"))?;
    if id.is_empty() || id.len() > MOST_ID || !id.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(MessageError::Malformed("Req-Id is no id"));
    }
    let kind = head.single_value("Req-Kind")?.ok_or(MessageError::Malformed("no Req-Kind"))?;
    let class = *classes.get(kind).ok_or(MessageError::Malformed("Req-Kind is unknown"))?;
    let left = head.single_value("Req-Deadline")?.ok_or(MessageError::Malformed("no Req-Deadline"))?;
    let left = span_ns(left).ok_or(MessageError::Malformed("Req-Deadline is no time"))?;
    let cost = match head.single_value("Req-Cost")? {
        None => None,
        Some(cost) => Some(decimal_ns(cost, 1000).ok_or(MessageError::Malformed("Req-Cost is no number"))?),
    };
    let arrival = Arrival {
        request: id.into(),
        class,
        tenant: 0,
        affinity_key: None,
        time_left: ns_to_tenth_millis_floor(left),
        cost: cost.map(ns_to_tenth_millis_ceil),
        is_retry: head.single_value("Req-Retry")? == Some("1"),
        is_write: method != "GET",
    };
    Ok(ClientRequest { kind: RequestKind::Forward { arrival, message }, is_last: last })
}

/// `480m` or `1500u`, in nanoseconds.
fn span_ns(text: &str) -> Option<u64> {
    match text.strip_suffix('m') {
        Some(number) => decimal_ns(number, 1_000_000),
        None => decimal_ns(text.strip_suffix('u')?, 1000),
    }
}

/// A decimal number of a unit of so many nanoseconds; parts of a nanosecond are dropped.
fn decimal_ns(text: &str, unit: u64) -> Option<u64> {
    let (whole, part) = text.split_once('.').unwrap_or((text, "0"));
    if !whole.bytes().chain(part.bytes()).all(|b| b.is_ascii_digit()) || part.is_empty() {
        return None;
    }
    let mut ns = whole.parse::<u64>().ok()?.checked_mul(unit)?;
    let mut place = unit;
    for digit in part.bytes() {
        place /= 10;
        ns = ns.checked_add(u64::from(digit - b'0') * place)?;
    }
    (ns <= MOST_NS).then_some(ns)
}

/// Fields of an upstream's answer that were meant for the balancer, or that it writes anew.
const NOT_PASSED: [&str; 3] = ["Content-Length", "Srv-Load", "Srv-Declined"];

pub fn encode_answer(answer: &Answer, last: bool) -> Vec<u8> {
    match answer {
        Answer::Served(Message { head, body }) => {
            let mut out = b"HTTP/1.1 200 OK\r\n".to_vec();
            head.append_end_to_end_fields(&NOT_PASSED, &mut out);
            write_end(&mut out, body, last);
            out
        }
        Answer::Rejected { retry_after: cool_down } => {
            let advice = cool_down.map(|span| format!("Retry-After: {}\r\n", seconds(span)));
            plain("503 Service Unavailable", &advice.unwrap_or_default(), "declined", last)
        }
        Answer::Failed => plain("502 Bad Gateway", "", "reversed", last),
        Answer::ClientError => plain("400 Bad Request", "", "no upstream takes this request", last),
        Answer::DuplicateId => plain("409 Conflict", "", "this Req-Id is taken", true),
    }
}

pub fn encode_health_response(ready: bool, last: bool) -> Vec<u8> {
    let (status, text) =
        if ready { ("200 OK", "ready") } else { ("503 Service Unavailable", "not ready to serve") };
    plain(status, "", text, last)
}

/// The answer to what is no request; the connection ends with it, since nobody knows where the next begins.
pub fn encode_error_response(fault: MessageError) -> Vec<u8> {
    let status = match fault {
        MessageError::Malformed(_) => "400 Bad Request",
        MessageError::HeadTooLong => "431 Request Header Fields Too Large",
        MessageError::BodyTooLong => "413 Content Too Large",
        MessageError::MethodNotAllowed => "405 Method Not Allowed",
    };
    let allow = if fault == MessageError::MethodNotAllowed {
        format!("Allow: {}\r\n", METHODS.join(", "))
    } else {
        String::new()
    };
    plain(status, &allow, &fault.to_string(), true)
}

pub fn encode_timeout_response() -> Vec<u8> {
    plain("408 Request Timeout", "", "the request took too long to come", true)
}

fn plain(status: &str, fields: &str, text: &str, last: bool) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status}\r\nContent-Type: text/plain\r\n{fields}").into_bytes();
    write_end(&mut out, text.as_bytes(), last);
    out
}

fn write_end(out: &mut Vec<u8>, body: &[u8], last: bool) {
    let close = if last { "Connection: close\r\n" } else { "" };
    out.extend_from_slice(format!("Content-Length: {}\r\n{close}\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
}

fn seconds(span: TenthMillis) -> String {
    format!("{}.{:04}", span / 10_000, span % 10_000)
}
