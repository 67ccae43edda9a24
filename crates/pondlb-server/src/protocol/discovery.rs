//! Discovery's lists: the calls that ask for them, and the answers.

use std::collections::HashSet;
use std::net::SocketAddr;

use pondlb_http::{BodyFraming, Head, MAX_HEAD_BYTES, MessageError, MessageReader, body_framing};
use pondlb_terms::Target;
use serde::Deserialize;

/// A list as discovery gives it: all upstreams, or those that changed.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct UpstreamList {
    #[serde(rename = "rev")]
    pub version: u64,
    #[serde(rename = "all")]
    pub is_snapshot: bool,
    pub targets: Vec<Target>,
    /// Names of upstreams that are gone, from control servers only.
    #[serde(skip)]
    pub removed: Vec<String>,
}

impl UpstreamList {
    pub fn decode(json: &[u8]) -> Result<UpstreamList, String> {
        let mut reader = serde_json::Deserializer::from_slice(json);
        let list: UpstreamList = serde_path_to_error::deserialize(&mut reader).map_err(|e| e.to_string())?;
        reader.end().map_err(|e| e.to_string())?;
        match list.targets.iter().position(|target| !target.has_size()) {
            Some(at) => Err(format!("targets[{at}].capacity_hint is no size")),
            None => Ok(list),
        }
    }
}

impl UpstreamList {
    fn named_twice(&self) -> Option<&str> {
        let mut named = HashSet::with_capacity(self.targets.len());
        self.targets.iter().map(|target| &*target.upstream).find(|name| !named.insert(*name))
    }
}

/// Asks discovery for the changes since a version of its list (long poll).
#[derive(Clone, Copy, Debug)]
pub struct ChangesQuery {
    pub from_version: u64,
    /// How long discovery may hold the request while there are no changes, in milliseconds.
    pub hold_ms: u128,
}

/// Encodes a request for the whole list, or for the changes to it if there is a query.
pub fn encode_list_request(host: SocketAddr, changes: Option<ChangesQuery>) -> Vec<u8> {
    let query = changes
        .map(|ChangesQuery { from_version, hold_ms }| format!("?from={from_version}&hold_ms={hold_ms}"))
        .unwrap_or_default();
    format!("GET /catalog/members{query} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

pub struct ListReader {
    reader: MessageReader,
    /// The length of the longest list that is taken, in bytes as they are sent.
    max_list_bytes: usize,
    received: usize,
}

/// Why an answer is no list, as the log is told.
#[derive(Debug)]
pub enum ListError {
    /// Discovery says that it gives none.
    Status(String),
    Invalid(String),
    /// The list is longer than the limit; `size` is what is announced, else what has come by then.
    TooLong {
        size_bytes: usize,
        limit_bytes: usize,
    },
}

/// An answer that could be read, and whether the connection may carry another call.
pub struct ListResponse {
    pub list: UpstreamList,
    pub keep_alive: bool,
}

impl ListReader {
    pub fn new(longest_list: usize) -> Self {
        let framing = |head: &_| body_framing(head, BodyFraming::UntilClose);
        // The reader would refuse a list that is too long without saying how long it is.
        let reader = MessageReader::with_max_body(framing, usize::MAX);
        ListReader { reader, max_list_bytes: longest_list, received: 0 }
    }

    /// Where what is read goes.
    pub fn message_reader(&mut self) -> &mut MessageReader {
        &mut self.reader
    }

    /// So many bytes have come into the input.
    pub fn count_received_bytes(&mut self, count: usize) {
        self.received = self.received.saturating_add(count);
    }

    /// Whether nothing of an answer has come yet.
    pub fn is_idle(&self) -> bool {
        self.reader.is_idle()
    }

    pub fn next_list(&mut self, closed: bool) -> Result<Option<ListResponse>, ListError> {
        let message = self
            .reader
            .next_message()
            .map_err(|fault: MessageError| ListError::Invalid(fault.to_string()))?;
        if message.is_none() {
            self.check_length()?;
        }
        let message = if closed { message.or_else(|| self.reader.finish()) } else { message };
        let Some(message) = message else { return Ok(None) };
        if !is_list(&message.head) {
            return Err(ListError::Status(format!("discovery answers {:?}", message.head.start_line)));
        }
        let keep = !closed && self.reader.is_idle() && !message.head.list_contains("Connection", "close");
        let list = UpstreamList::decode(&message.body).map_err(ListError::Invalid)?;
        // Which of the two is true nobody can say. Among changes the later one is.
        match list.named_twice().filter(|_| list.is_snapshot) {
            Some(upstream) => Err(ListError::Invalid(format!("{upstream} is listed twice"))),
            None => Ok(Some(ListResponse { list, keep_alive: keep })),
        }
    }

    /// Whether the answer that is coming may still be taken.
    fn check_length(&mut self) -> Result<(), ListError> {
        let (received, limit) = (self.received, self.max_list_bytes);
        let Some(head) = self.reader.pending_head_mut() else { return Ok(()) };
        let announced = head.single_value("Content-Length").ok().flatten();
        let size = match announced {
            Some(length) => length.parse().unwrap_or(usize::MAX),
            None => received.saturating_sub(MAX_HEAD_BYTES),
        };
        if size <= limit {
            return Ok(());
        }
        match is_list(head) {
            true => Err(ListError::TooLong { size_bytes: size, limit_bytes: limit }),
            false => Err(ListError::Invalid(MessageError::BodyTooLong.to_string())),
        }
    }
}

/// Whether the body of this answer is a list.
fn is_list(head: &Head) -> bool {
    head.start_line.split(' ').nth(1) == Some("200")
}
