//! A list of upstreams as discovery tells it.

use std::fmt::Write;
use std::net::SocketAddr;

/// Which of two states an entry is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Serves.
    Active,
    /// Gets nothing new.
    Leaving,
}

/// Zones in each of two regions.
const ZONES: usize = 10;
/// Upstreams that know each other's requests.
const GROUP: usize = 22;

/// Entries of so many upstreams, which share a few addresses.
pub struct Listing {
    endpoints: Vec<SocketAddr>,
    states: Vec<State>,
}

impl Listing {
    /// All are active.
    pub fn new(endpoints: Vec<SocketAddr>, upstreams: usize) -> Listing {
        Listing { endpoints, states: vec![State::Active; upstreams] }
    }

    /// How many entries.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// The names of the zones that entries have.
    pub fn zones() -> Vec<String> {
        (0..ZONES).map(|zone| format!("z{zone}")).collect()
    }

    /// The other state for this one.
    pub fn toggle(&mut self, number: usize) {
        let Some(state) = self.states.get_mut(number) else { return };
        *state = if *state == State::Active { State::Leaving } else { State::Active };
    }

    /// The body that tells all entries.
    pub fn whole(&self, version: u64) -> String {
        body(version, true, &self.entries(0..self.len()))
    }

    /// The numbers of all entries in a zone.
    pub fn zone_members(&self, zone: usize) -> Vec<usize> {
        (zone..self.len()).step_by(ZONES).collect()
    }

    /// The name of an entry.
    pub fn name(number: usize) -> String {
        format!("u{number:05}")
    }

    /// Some entries, as a list of JSON objects without its brackets.
    pub fn entries(&self, numbers: impl IntoIterator<Item = usize>) -> String {
        let mut text = String::new();
        for number in numbers {
            let (Some(state), Some(endpoint)) =
                (self.states.get(number), self.endpoints.get(number % self.endpoints.len().max(1)))
            else {
                continue;
            };
            let comma = if text.is_empty() { "" } else { "," };
            let state = if *state == State::Active { "active" } else { "leaving" };
            let (zone, group) = (number % ZONES, number / GROUP);
            // Writing to a text does not fail.
            let _written = write!(
                text,
                r#"{comma}{{"uid":"u{number:05}","endpoint":"{endpoint}","az":"z{zone}","pod_group":{group},"model":"m","state":"{state}","capacity_hint":4}}"#
            );
        }
        text
    }
}

/// An answer's body of entries that are written already.
pub fn body(version: u64, whole: bool, entries: &str) -> String {
    format!(r#"{{"rev":{version},"all":{whole},"targets":[{entries}]}}"#)
}
