//! Encodes requests for discovery's list of upstreams, and decodes the lists.

use std::collections::HashSet;
use std::net::SocketAddr;

use pondlb_http::{BodyFraming, Head, MAX_HEAD_BYTES, MessageError, MessageReader, body_framing};
use pondlb_terms::Target;
use serde::Deserialize;

/// A list of upstreams: a snapshot of all, or only those that have changed.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct UpstreamList {
    /// Number of the list's version, which grows with each change.
    #[serde(rename = "rev")]
    pub version: u64,
    /// Whether all upstreams are listed; otherwise only changed ones are.
    #[serde(rename = "all")]
    pub is_snapshot: bool,
    /// The listed upstreams.
    pub targets: Vec<Target>,
    /// Names of upstreams that are removed. Only control servers list them.
    #[serde(skip)]
    pub removed: Vec<String>,
}

impl UpstreamList {
    /// Decodes a list from JSON. The error says which key is wrong.
    pub fn decode(json: &[u8]) -> Result<UpstreamList, String> {
        let mut reader = serde_json::Deserializer::from_slice(json);
        let list: UpstreamList = serde_path_to_error::deserialize(&mut reader).map_err(|e| e.to_string())?;
        reader.end().map_err(|e| e.to_string())?;
        match list.targets.iter().position(|target| !target.has_valid_capacity()) {
            Some(index) => {
                Err(format!("targets[{index}].capacity_hint is not a finite, non-negative number"))
            }
            None => Ok(list),
        }
    }

    /// The first upstream that is listed a second time.
    fn first_duplicate(&self) -> Option<&str> {
        let mut names = HashSet::with_capacity(self.targets.len());
        self.targets.iter().map(|target| &*target.upstream).find(|name| !names.insert(*name))
    }
}

/// Asks for the changes since a version of the list (long poll).
#[derive(Clone, Copy, Debug)]
pub struct ChangesQuery {
    pub from_version: u64,
    /// How long discovery may hold the request while there are no changes, in milliseconds.
    pub hold_ms: u128,
}

/// Encodes a request for the whole list, or for its changes if a query for them is given.
pub fn encode_list_request(host: SocketAddr, changes: Option<ChangesQuery>) -> Vec<u8> {
    let query = changes
        .map(|ChangesQuery { from_version, hold_ms }| format!("?from={from_version}&hold_ms={hold_ms}"))
        .unwrap_or_default();
    format!("GET /catalog/members{query} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

/// Reads discovery's response to a request.
pub struct ListReader {
    reader: MessageReader,
    /// The longest list that is accepted, in encoded bytes.
    max_list_bytes: usize,
    received_bytes: usize,
}

/// Why a response holds no list; the texts are for the log.
#[derive(Debug)]
pub enum ListError {
    /// Discovery responded with another status than 200.
    Status(String),
    /// The response or its list is malformed.
    Invalid(String),
    /// The list is longer than the limit.
    TooLong {
        /// The announced length, or else how much had been received when the limit was exceeded.
        size_bytes: usize,
        limit_bytes: usize,
    },
}

/// A response with a list.
pub struct ListResponse {
    pub list: UpstreamList,
    /// Whether the connection can be used for another request.
    pub keep_alive: bool,
}

impl ListReader {
    /// Creates a reader for one response, with a list of up to `max_list_bytes` encoded bytes.
    pub fn new(max_list_bytes: usize) -> Self {
        let framing = |head: &_| body_framing(head, BodyFraming::UntilClose);
        // The length is checked here, because the message reader's error would not say how long the list is.
        let reader = MessageReader::with_max_body(framing, usize::MAX);
        ListReader { reader, max_list_bytes, received_bytes: 0 }
    }

    /// The reader to which received bytes are added. They must be counted with
    /// [`count_received_bytes`](Self::count_received_bytes) too.
    pub fn message_reader(&mut self) -> &mut MessageReader {
        &mut self.reader
    }

    /// Counts bytes that were added to the message reader.
    pub fn count_received_bytes(&mut self, count: usize) {
        self.received_bytes = self.received_bytes.saturating_add(count);
    }

    /// Whether no part of a response has been received.
    pub fn is_idle(&self) -> bool {
        self.reader.is_idle()
    }

    /// Returns the response once it is complete. `closed` says that discovery has closed its side of the connection.
    pub fn next_list(&mut self, closed: bool) -> Result<Option<ListResponse>, ListError> {
        let message = self.reader.next_message().map_err(|error| ListError::Invalid(error.to_string()))?;
        if message.is_none() {
            self.check_length()?;
        }
        let message = if closed { message.or_else(|| self.reader.finish()) } else { message };
        let Some(message) = message else { return Ok(None) };
        if !is_ok(&message.head) {
            return Err(ListError::Status(format!("unexpected status line {:?}", message.head.start_line)));
        }
        let keep_alive =
            !closed && self.reader.is_idle() && !message.head.list_contains("Connection", "close");
        let list = UpstreamList::decode(&message.body).map_err(ListError::Invalid)?;
        // Of two entries in a snapshot nothing tells which one is valid; among changes it is the later one.
        match list.first_duplicate().filter(|_| list.is_snapshot) {
            Some(upstream) => Err(ListError::Invalid(format!("{upstream} is listed twice"))),
            None => Ok(Some(ListResponse { list, keep_alive })),
        }
    }

    /// Checks the length of the response whose body is incomplete against the limit.
    fn check_length(&mut self) -> Result<(), ListError> {
        let (received_bytes, limit_bytes) = (self.received_bytes, self.max_list_bytes);
        let Some(head) = self.reader.pending_head_mut() else { return Ok(()) };
        let announced = head.single_value("Content-Length").ok().flatten();
        let size_bytes = match announced {
            Some(length) => length.parse().unwrap_or(usize::MAX),
            // The head has been counted too.
            None => received_bytes.saturating_sub(MAX_HEAD_BYTES),
        };
        if size_bytes <= limit_bytes {
            return Ok(());
        }
        match is_ok(head) {
            true => Err(ListError::TooLong { size_bytes, limit_bytes }),
            false => Err(ListError::Invalid(MessageError::BodyTooLong.to_string())),
        }
    }
}

/// Whether the status is 200, so that the body is a list.
fn is_ok(head: &Head) -> bool {
    head.start_line.split(' ').nth(1) == Some("200")
}
