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
    pub whole: bool,
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
        match list.targets.iter().position(|target| !target.has_valid_capacity()) {
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

/// Asks for the whole list, or for what is newer than a version, for which discovery may wait so long.
pub fn write_call(host: SocketAddr, newer: Option<(u64, u128)>) -> Vec<u8> {
    let query = newer.map(|(from, hold_ms)| format!("?from={from}&hold_ms={hold_ms}")).unwrap_or_default();
    format!("GET /catalog/members{query} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

pub struct DiscoverySide {
    reader: MessageReader,
    /// The length of the longest list that is taken, in bytes as they are sent.
    longest_list: usize,
    received: usize,
}

/// Why an answer is no list, as the log is told.
#[derive(Debug)]
pub enum NoList {
    /// Discovery says that it gives none.
    Status(String),
    Faulty(String),
    /// The list is longer than the limit; `size` is what is announced, else what has come by then.
    TooLong {
        size: usize,
        limit: usize,
    },
}

/// An answer that could be read, and whether the connection may carry another call.
pub struct Listed {
    pub list: UpstreamList,
    pub keep: bool,
}

impl DiscoverySide {
    pub fn new(longest_list: usize) -> Self {
        let framing = |head: &_| body_framing(head, BodyFraming::UntilClose);
        // The reader would refuse a list that is too long without saying how long it is.
        let reader = MessageReader::with_max_body(framing, usize::MAX);
        DiscoverySide { reader, longest_list, received: 0 }
    }

    /// Where what is read goes.
    pub fn input(&mut self) -> &mut MessageReader {
        &mut self.reader
    }

    /// So many bytes have come into the input.
    pub fn count_received(&mut self, count: usize) {
        self.received = self.received.saturating_add(count);
    }

    /// Whether nothing of an answer has come yet.
    pub fn is_idle(&self) -> bool {
        self.reader.is_idle()
    }

    pub fn next(&mut self, closed: bool) -> Result<Option<Listed>, NoList> {
        let message =
            self.reader.next_message().map_err(|fault: MessageError| NoList::Faulty(fault.to_string()))?;
        if message.is_none() {
            self.check_length()?;
        }
        let message = if closed { message.or_else(|| self.reader.finish()) } else { message };
        let Some(message) = message else { return Ok(None) };
        if !is_list(&message.head) {
            return Err(NoList::Status(format!("discovery answers {:?}", message.head.start_line)));
        }
        let keep = !closed && self.reader.is_idle() && !message.head.list_contains("Connection", "close");
        let list = UpstreamList::decode(&message.body).map_err(NoList::Faulty)?;
        // Which of the two is true nobody can say. Among changes the later one is.
        match list.named_twice().filter(|_| list.whole) {
            Some(upstream) => Err(NoList::Faulty(format!("{upstream} is listed twice"))),
            None => Ok(Some(Listed { list, keep })),
        }
    }

    /// Whether the answer that is coming may still be taken.
    fn check_length(&mut self) -> Result<(), NoList> {
        let (received, limit) = (self.received, self.longest_list);
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
            true => Err(NoList::TooLong { size, limit }),
            false => Err(NoList::Faulty(MessageError::BodyTooLong.to_string())),
        }
    }
}

/// Whether the body of this answer is a list.
fn is_list(head: &Head) -> bool {
    head.start_line.split(' ').nth(1) == Some("200")
}
