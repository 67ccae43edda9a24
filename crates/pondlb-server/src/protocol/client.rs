//! The side that clients speak to: bytes to requests, answers to bytes.

use std::collections::HashMap;

use pondlb::{Arrival, TenthMillis, ns_to_tenth_millis_ceil, ns_to_tenth_millis_floor};
use pondlb_http::{Fault, Message, Reader, request_framing};

use super::answer::Answer;

pub struct ClientSide {
    reader: Reader,
}

/// The numbers of the classes that requests may name.
pub type Classes = HashMap<String, u32>;

/// What a client wants.
#[derive(Debug)]
pub enum Wish {
    Health,
    Request { arrival: Arrival, message: Message },
}

#[derive(Debug)]
pub struct Asked {
    pub wish: Wish,
    /// The client will send nothing more on this connection.
    pub last: bool,
}

impl Asked {
    pub fn is_health(&self) -> bool {
        matches!(self.wish, Wish::Health)
    }
}

pub const LEAVE_TO_SEND: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

const HEALTH: &str = "/_health";
const METHODS: [&str; 5] = ["GET", "POST", "PUT", "PATCH", "DELETE"];
/// Ids are echoed and kept; a longer one is no id.
const MOST_ID: usize = 128;
/// No wait or cost is longer, so that sums of times can't overflow.
const MOST_NS: u64 = 3_600_000_000_000;

impl ClientSide {
    pub fn new() -> Self {
        ClientSide { reader: Reader::new(request_framing) }
    }

    /// Where what is read goes.
    pub fn input(&mut self) -> &mut Reader {
        &mut self.reader
    }

    pub fn is_idle(&self) -> bool {
        self.reader.is_idle()
    }

    /// Whether the client waits for [`LEAVE_TO_SEND`] before it sends a body; true once a request.
    pub fn wants_leave_to_send(&mut self) -> bool {
        self.reader.head().is_some_and(|head| {
            let asked = head.lists("Expect", "100-continue");
            head.fields.retain(|(name, _)| !(asked && name.eq_ignore_ascii_case("Expect")));
            asked
        })
    }

    /// The next request, which must be of one of these classes.
    pub fn next(&mut self, classes: &Classes) -> Result<Option<Asked>, Fault> {
        self.reader.next_message()?.map(|message| asked(message, classes)).transpose()
    }
}

fn asked(message: Message, classes: &Classes) -> Result<Asked, Fault> {
    let head = &message.head;
    let mut parts = head.first.split(' ');
    let (Some(method), Some(target), Some(version), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(Fault::Malformed("the first line is no request"));
    };
    if version != "HTTP/1.1" && version != "HTTP/1.0" {
        return Err(Fault::Malformed("the version is not HTTP/1.1"));
    }
    if !METHODS.contains(&method) {
        return Err(Fault::Method);
    }
    if !target.starts_with('/') {
        return Err(Fault::Malformed("the target is no path"));
    }
    if head.one("Host")?.is_none() {
        return Err(Fault::Malformed("no Host"));
    }
    let last = version == "HTTP/1.0" || head.lists("Connection", "close");
    if method == "GET" && target.split('?').next() == Some(HEALTH) {
        return Ok(Asked { wish: Wish::Health, last });
    }
    let id = head.one("Req-Id")?.ok_or(Fault::Malformed("no Req-Id"))?;
    if id.is_empty() || id.len() > MOST_ID || !id.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(Fault::Malformed("Req-Id is no id"));
    }
    let kind = head.one("Req-Kind")?.ok_or(Fault::Malformed("no Req-Kind"))?;
    let class = *classes.get(kind).ok_or(Fault::Malformed("Req-Kind is unknown"))?;
    let left = head.one("Req-Deadline")?.ok_or(Fault::Malformed("no Req-Deadline"))?;
    let left = span_ns(left).ok_or(Fault::Malformed("Req-Deadline is no time"))?;
    let cost = match head.one("Req-Cost")? {
        None => None,
        Some(cost) => Some(decimal_ns(cost, 1000).ok_or(Fault::Malformed("Req-Cost is no number"))?),
    };
    let arrival = Arrival {
        request: id.into(),
        class,
        tenant: 0,
        affinity_key: None,
        time_left: ns_to_tenth_millis_floor(left),
        cost: cost.map(ns_to_tenth_millis_ceil),
        is_retry: head.one("Req-Retry")? == Some("1"),
        is_write: method != "GET",
    };
    Ok(Asked { wish: Wish::Request { arrival, message }, last })
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

pub fn write_answer(answer: &Answer, last: bool) -> Vec<u8> {
    match answer {
        Answer::Served(Message { head, body }) => {
            let mut out = b"HTTP/1.1 200 OK\r\n".to_vec();
            head.pass_on(&NOT_PASSED, &mut out);
            write_end(&mut out, body, last);
            out
        }
        Answer::Rejected { cool_down } => {
            let advice = cool_down.map(|span| format!("Retry-After: {}\r\n", seconds(span)));
            plain("503 Service Unavailable", &advice.unwrap_or_default(), "declined", last)
        }
        Answer::Failed => plain("502 Bad Gateway", "", "reversed", last),
        Answer::Unfit => plain("400 Bad Request", "", "no upstream takes this request", last),
        Answer::Duplicate => plain("409 Conflict", "", "this Req-Id is taken", true),
    }
}

pub fn write_health(ready: bool, last: bool) -> Vec<u8> {
    let (status, text) =
        if ready { ("200 OK", "ready") } else { ("503 Service Unavailable", "not ready to serve") };
    plain(status, "", text, last)
}

/// The answer to what is no request; the connection ends with it, since nobody knows where the next begins.
pub fn write_fault(fault: Fault) -> Vec<u8> {
    let status = match fault {
        Fault::Malformed(_) => "400 Bad Request",
        Fault::HeadTooLong => "431 Request Header Fields Too Large",
        Fault::BodyTooLong => "413 Content Too Large",
        Fault::Method => "405 Method Not Allowed",
    };
    let allow =
        if fault == Fault::Method { format!("Allow: {}\r\n", METHODS.join(", ")) } else { String::new() };
    plain(status, &allow, &fault.to_string(), true)
}

pub fn write_too_slow() -> Vec<u8> {
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
