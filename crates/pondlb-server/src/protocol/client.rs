//! Decodes clients' requests and encodes the responses to them.

use std::collections::HashMap;

use pondlb::{Arrival, TenthMillis, ns_to_tenth_millis_ceil, ns_to_tenth_millis_floor};
use pondlb_http::{Head, Message, MessageError, MessageReader, request_framing};

use super::answer::Answer;

/// Reads the requests on a client's connection.
pub struct RequestReader {
    reader: MessageReader,
}

/// The indexes of the classes that requests may name.
pub type ClassIndexes = HashMap<String, u32>;

/// What a client asks for.
#[derive(Debug)]
pub enum RequestKind {
    /// Asks whether this balancer is ready to serve.
    HealthCheck,
    /// To be forwarded to an upstream.
    Forward { arrival: Arrival, message: Message },
}

/// A request as a client has sent it.
#[derive(Debug)]
pub struct ClientRequest {
    pub kind: RequestKind,
    /// Whether the client sends nothing more on this connection.
    pub is_last: bool,
}

impl ClientRequest {
    /// Whether the client only asks whether this balancer is ready to serve.
    pub fn is_health_check(&self) -> bool {
        matches!(self.kind, RequestKind::HealthCheck)
    }
}

/// Tells a client that has sent `Expect: 100-continue` to send the body.
pub const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

const HEALTH_PATH: &str = "/_health";
const ALLOWED_METHODS: [&str; 5] = ["GET", "POST", "PUT", "PATCH", "DELETE"];
/// Ids are forwarded to upstreams and kept, so their length is bounded.
const MAX_ID_BYTES: usize = 128;
/// The longest deadline or cost (1 h), so that sums of times can't overflow.
const MAX_DURATION_NS: u64 = 3_600_000_000_000;

impl RequestReader {
    /// Creates a reader for the requests on one connection.
    pub fn new() -> Self {
        RequestReader { reader: MessageReader::new(request_framing) }
    }

    /// The reader to which received bytes are added.
    pub fn message_reader(&mut self) -> &mut MessageReader {
        &mut self.reader
    }

    /// Whether no part of a further request has been received. Empty lines ahead of a request are no part of it.
    pub fn is_idle(&self) -> bool {
        !self.reader.has_begun_message()
    }

    /// Whether the client waits for [`CONTINUE_RESPONSE`] before it sends the body. Returns true once for a request,
    /// since it removes the `Expect` field.
    pub fn take_expect_continue(&mut self) -> bool {
        self.reader.pending_head_mut().is_some_and(|head| {
            let expects_continue = head.list_contains("Expect", "100-continue");
            head.fields.retain(|(name, _)| !(expects_continue && name.eq_ignore_ascii_case("Expect")));
            expects_continue
        })
    }

    /// Returns the next request once it is complete. It must name one of these classes.
    pub fn next_request(&mut self, classes: &ClassIndexes) -> Result<Option<ClientRequest>, MessageError> {
        self.reader.next_message()?.map(|message| parse_request(message, classes)).transpose()
    }
}

fn parse_request(message: Message, classes: &ClassIndexes) -> Result<ClientRequest, MessageError> {
    let head = &message.head;
    let RequestLine { method, target, version } = parse_request_line(head)?;
    if head.single_value("Host")?.is_none() {
        return Err(MessageError::Malformed("no Host"));
    }
    let is_last = version == "HTTP/1.0" || head.list_contains("Connection", "close");
    if method == "GET" && target.split('?').next() == Some(HEALTH_PATH) {
        return Ok(ClientRequest { kind: RequestKind::HealthCheck, is_last });
    }
    let arrival = parse_arrival(head, method, classes)?;
    Ok(ClientRequest { kind: RequestKind::Forward { arrival, message }, is_last })
}

struct RequestLine<'a> {
    method: &'a str,
    target: &'a str,
    version: &'a str,
}

fn parse_request_line(head: &Head) -> Result<RequestLine<'_>, MessageError> {
    let mut parts = head.start_line.split(' ');
    let (Some(method), Some(target), Some(version), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(MessageError::Malformed("the first line is no request"));
    };
    if version != "HTTP/1.1" && version != "HTTP/1.0" {
        return Err(MessageError::Malformed("the version is not HTTP/1.1"));
    }
    if !ALLOWED_METHODS.contains(&method) {
        return Err(MessageError::MethodNotAllowed);
    }
    if !target.starts_with('/') {
        return Err(MessageError::Malformed("the target is no path"));
    }
    Ok(RequestLine { method, target, version })
}

/// Parses the `Req-...` fields.
fn parse_arrival(head: &Head, method: &str, classes: &ClassIndexes) -> Result<Arrival, MessageError> {
    let id = head.single_value("Req-Id")?.ok_or(MessageError::Malformed("no Req-Id"))?;
    if id.is_empty() || id.len() > MAX_ID_BYTES || !id.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(MessageError::Malformed("Req-Id is no id"));
    }
    let class_name = head.single_value("Req-Kind")?.ok_or(MessageError::Malformed("no Req-Kind"))?;
    let class = *classes.get(class_name).ok_or(MessageError::Malformed("Req-Kind is unknown"))?;
    let deadline = head.single_value("Req-Deadline")?.ok_or(MessageError::Malformed("no Req-Deadline"))?;
    let time_left_ns =
        parse_duration_ns(deadline).ok_or(MessageError::Malformed("Req-Deadline is no time"))?;
    let cost_ns = match head.single_value("Req-Cost")? {
        None => None,
        Some(cost) => {
            Some(parse_decimal_ns(cost, NS_PER_US).ok_or(MessageError::Malformed("Req-Cost is no number"))?)
        }
    };
    Ok(Arrival {
        request: id.into(),
        class,
        tenant: 0,
        affinity_key: None,
        time_left: ns_to_tenth_millis_floor(time_left_ns),
        cost: cost_ns.map(ns_to_tenth_millis_ceil),
        is_retry: head.single_value("Req-Retry")? == Some("1"),
        is_write: method != "GET",
    })
}

const NS_PER_US: u64 = 1000;
const NS_PER_MS: u64 = 1_000_000;

/// Parses a duration in milliseconds or microseconds, such as `480m` or `1500u`, to nanoseconds.
fn parse_duration_ns(text: &str) -> Option<u64> {
    match text.strip_suffix('m') {
        Some(number) => parse_decimal_ns(number, NS_PER_MS),
        None => parse_decimal_ns(text.strip_suffix('u')?, NS_PER_US),
    }
}

/// Parses a decimal number of units of `unit_ns` nanoseconds to nanoseconds, rounded down. None if it is longer than
/// [`MAX_DURATION_NS`].
fn parse_decimal_ns(text: &str, unit_ns: u64) -> Option<u64> {
    let (integer, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let are_digits = integer.bytes().chain(fraction.bytes()).all(|b| b.is_ascii_digit());
    if !are_digits || fraction.is_empty() {
        return None;
    }
    let mut ns = integer.parse::<u64>().ok()?.checked_mul(unit_ns)?;
    let mut digit_ns = unit_ns;
    for digit in fraction.bytes() {
        digit_ns /= 10;
        ns = ns.checked_add(u64::from(digit - b'0') * digit_ns)?;
    }
    (ns <= MAX_DURATION_NS).then_some(ns)
}

/// Fields of an upstream's response that are meant for the balancer, or that it replaces.
const STRIPPED_FIELDS: [&str; 3] = ["Content-Length", "Srv-Load", "Srv-Declined"];

/// Encodes the response for an answer. With `close` it tells the client that the connection ends with it.
pub fn encode_answer(answer: &Answer, close: bool) -> Vec<u8> {
    match answer {
        Answer::Served(Message { head, body }) => {
            let mut out = b"HTTP/1.1 200 OK\r\n".to_vec();
            head.append_end_to_end_fields(&STRIPPED_FIELDS, &mut out);
            append_length_and_body(&mut out, body, close);
            out
        }
        Answer::Rejected { retry_after } => {
            let field = retry_after.map(|delay| format!("Retry-After: {}\r\n", format_seconds(delay)));
            encode_text("503 Service Unavailable", &field.unwrap_or_default(), "declined", close)
        }
        Answer::Failed => encode_text("502 Bad Gateway", "", "reversed", close),
        Answer::ClientError => encode_text("400 Bad Request", "", "no upstream takes this request", close),
        Answer::DuplicateId => encode_text("409 Conflict", "", "this Req-Id is taken", true),
    }
}

/// Encodes the response to a health check.
pub fn encode_health_response(is_ready: bool, close: bool) -> Vec<u8> {
    let (status, text) =
        if is_ready { ("200 OK", "ready") } else { ("503 Service Unavailable", "not ready to serve") };
    encode_text(status, "", text, close)
}

/// Encodes the response to a malformed request. The connection ends with it, since the start of the next request is
/// unknown.
pub fn encode_error_response(error: MessageError) -> Vec<u8> {
    let status = match error {
        MessageError::Malformed(_) => "400 Bad Request",
        MessageError::HeadTooLong => "431 Request Header Fields Too Large",
        MessageError::BodyTooLong => "413 Content Too Large",
        MessageError::MethodNotAllowed => "405 Method Not Allowed",
    };
    let allow = if error == MessageError::MethodNotAllowed {
        format!("Allow: {}\r\n", ALLOWED_METHODS.join(", "))
    } else {
        String::new()
    };
    encode_text(status, &allow, &error.to_string(), true)
}

/// Encodes the response to a request that was not received in time. The connection ends with it.
pub fn encode_timeout_response() -> Vec<u8> {
    encode_text("408 Request Timeout", "", "the request took too long to come", true)
}

/// Encodes a response with a text of the balancer's own. `fields` are field lines with their line ends.
fn encode_text(status: &str, fields: &str, text: &str, close: bool) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status}\r\nContent-Type: text/plain\r\n{fields}").into_bytes();
    append_length_and_body(&mut out, text.as_bytes(), close);
    out
}

fn append_length_and_body(out: &mut Vec<u8>, body: &[u8], close: bool) {
    let close = if close { "Connection: close\r\n" } else { "" };
    out.extend_from_slice(format!("Content-Length: {}\r\n{close}\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
}

/// A duration in seconds, with four decimals.
fn format_seconds(duration: TenthMillis) -> String {
    format!("{}.{:04}", duration / 10_000, duration % 10_000)
}
