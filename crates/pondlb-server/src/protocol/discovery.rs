//! Discovery's lists: the calls that ask for them, and the answers.

use std::collections::HashSet;
use std::net::SocketAddr;

use pondlb::Stage;
use pondlb_http::{Fault, Framing, Reader, framing};
use serde::{Deserialize, Deserializer};

/// A list as discovery gives it: all upstreams, or those that changed.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Roster {
    #[serde(rename = "rev")]
    pub version: u64,
    #[serde(rename = "all")]
    pub whole: bool,
    pub targets: Vec<Target>,
    /// Names of upstreams that are gone, from control servers only.
    #[serde(skip)]
    pub removed: Vec<String>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    #[serde(rename = "uid")]
    pub upstream: String,
    #[serde(rename = "endpoint")]
    pub address: SocketAddr,
    #[serde(rename = "az")]
    pub zone: String,
    #[serde(rename = "model")]
    pub kind: String,
    #[serde(rename = "pod_group", default)]
    pub cell: u32,
    #[serde(rename = "state", deserialize_with = "stage")]
    pub stage: Stage,
    #[serde(rename = "capacity_hint")]
    pub size: f64,
    /// Unix time in milliseconds; 0 for long ago.
    #[serde(rename = "boot_ms", default)]
    pub started: u64,
}

impl Target {
    /// Whether its size is a number that can be one.
    pub fn has_size(&self) -> bool {
        self.size.is_finite() && self.size >= 0.0
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Active,
    Leaving,
    Left,
}

fn stage<'de, D: Deserializer<'de>>(state: D) -> Result<Stage, D::Error> {
    Ok(match State::deserialize(state)? {
        State::Active => Stage::Live,
        State::Leaving => Stage::Draining,
        State::Left => Stage::Gone,
    })
}

impl Roster {
    pub fn decode(json: &[u8]) -> Result<Roster, String> {
        let mut reader = serde_json::Deserializer::from_slice(json);
        let roster: Roster = serde_path_to_error::deserialize(&mut reader).map_err(|e| e.to_string())?;
        reader.end().map_err(|e| e.to_string())?;
        match roster.targets.iter().position(|target| !target.has_size()) {
            Some(at) => Err(format!("targets[{at}].capacity_hint is no size")),
            None => Ok(roster),
        }
    }
}

impl Roster {
    fn named_twice(&self) -> Option<&str> {
        let mut named = HashSet::with_capacity(self.targets.len());
        self.targets.iter().map(|target| &*target.upstream).find(|name| !named.insert(*name))
    }
}

/// Lists are longer than other messages; a fleet of a thousand takes a quarter of this, or with the longest
/// names and indented two thirds.
const MOST_LIST: usize = 1024 * 1024;

/// Asks for the whole list, or for what is newer than a version, for which discovery may wait so long.
pub fn write_call(host: SocketAddr, newer: Option<(u64, u128)>) -> Vec<u8> {
    let query = newer.map(|(from, hold_ms)| format!("?from={from}&hold_ms={hold_ms}")).unwrap_or_default();
    format!("GET /catalog/members{query} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

pub struct DiscoverySide {
    reader: Reader,
}

/// Why an answer is no list, as the log is told.
#[derive(Debug)]
pub enum NoList {
    /// Discovery says that it gives none.
    Status(String),
    Faulty(String),
}

/// An answer that could be read, and whether the connection may carry another call.
pub struct Listed {
    pub roster: Roster,
    pub keep: bool,
}

impl DiscoverySide {
    pub fn new() -> Self {
        let framing = |head: &_| framing(head, Framing::UntilClose);
        DiscoverySide { reader: Reader::with_most(framing, MOST_LIST) }
    }

    /// Where what is read goes.
    pub fn input(&mut self) -> &mut Reader {
        &mut self.reader
    }

    /// Whether nothing of an answer has come yet.
    pub fn is_idle(&self) -> bool {
        self.reader.is_idle()
    }

    pub fn next(&mut self, closed: bool) -> Result<Option<Listed>, NoList> {
        let message = self.reader.next_message().map_err(|fault: Fault| NoList::Faulty(fault.to_string()))?;
        let message = if closed { message.or_else(|| self.reader.end()) } else { message };
        let Some(message) = message else { return Ok(None) };
        if message.head.first.split(' ').nth(1) != Some("200") {
            return Err(NoList::Status(format!("discovery answers {:?}", message.head.first)));
        }
        let keep = !closed && self.reader.is_idle() && !message.head.lists("Connection", "close");
        let roster = Roster::decode(&message.body).map_err(NoList::Faulty)?;
        // Which of the two is true nobody can say. Among changes the later one is.
        match roster.named_twice().filter(|_| roster.whole) {
            Some(upstream) => Err(NoList::Faulty(format!("{upstream} is listed twice"))),
            None => Ok(Some(Listed { roster, keep })),
        }
    }
}
