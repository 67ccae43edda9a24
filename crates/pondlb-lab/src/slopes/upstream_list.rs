//! A generated list of upstreams, in the JSON form of the discovery protocol.

use std::fmt::Write;
use std::net::SocketAddr;

/// The state of an upstream in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The upstream accepts requests.
    Active,
    /// The upstream is draining and gets no new requests.
    Leaving,
}

/// Number of zones in the list. Each of two regions has as many.
const ZONE_COUNT: usize = 10;
/// Number of upstreams in a pod group, which recognize requests that another one of the group has received.
const UPSTREAMS_PER_GROUP: usize = 22;

/// A list of upstreams, which share a few addresses.
pub struct UpstreamList {
    /// Addresses that the entries use in turn.
    endpoints: Vec<SocketAddr>,
    /// The state of each entry.
    states: Vec<State>,
}

impl UpstreamList {
    /// A list of this many upstreams, all of them active.
    pub fn new(endpoints: Vec<SocketAddr>, upstreams: usize) -> UpstreamList {
        UpstreamList { endpoints, states: vec![State::Active; upstreams] }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether the list has no entries.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// The names of all zones.
    pub fn zone_names() -> Vec<String> {
        (0..ZONE_COUNT).map(|zone| format!("z{zone}")).collect()
    }

    /// Switches an entry from active to leaving or back. Numbers beyond the list are ignored.
    pub fn toggle(&mut self, number: usize) {
        let Some(state) = self.states.get_mut(number) else { return };
        *state = if *state == State::Active { State::Leaving } else { State::Active };
    }

    /// The body of a response with all entries.
    pub fn full_list_body(&self, version: u64) -> String {
        list_body(version, true, &self.entries_json(0..self.len()))
    }

    /// The numbers of all entries in a zone.
    pub fn zone_members(&self, zone: usize) -> Vec<usize> {
        (zone..self.len()).step_by(ZONE_COUNT).collect()
    }

    /// The name of an entry.
    pub fn entry_name(number: usize) -> String {
        format!("u{number:05}")
    }

    /// These entries as JSON objects separated by commas, without brackets.
    pub fn entries_json(&self, numbers: impl IntoIterator<Item = usize>) -> String {
        let mut text = String::new();
        for number in numbers {
            let (Some(state), Some(endpoint)) =
                (self.states.get(number), self.endpoints.get(number % self.endpoints.len().max(1)))
            else {
                continue;
            };
            let comma = if text.is_empty() { "" } else { "," };
            let state = if *state == State::Active { "active" } else { "leaving" };
            let (zone, group) = (number % ZONE_COUNT, number / UPSTREAMS_PER_GROUP);
            // Writing to a `String` does not fail.
            let _written = write!(
                text,
                r#"{comma}{{"uid":"u{number:05}","endpoint":"{endpoint}","az":"z{zone}","pod_group":{group},"model":"m","state":"{state}","capacity_hint":4}}"#
            );
        }
        text
    }
}

/// The body of a discovery response. `full` says whether the entries are the whole list or only the changed ones;
/// `entries` are JSON objects separated by commas.
pub fn list_body(version: u64, full: bool, entries: &str) -> String {
    format!(r#"{{"rev":{version},"all":{full},"targets":[{entries}]}}"#)
}
