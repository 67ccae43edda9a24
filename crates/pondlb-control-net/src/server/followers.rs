//! Who follows this server.

use std::collections::BTreeMap;
use std::time::Duration;

use pondlb_control::Version;
use serde::Serialize;
use tokio::time::Instant;

use super::request::Caller;

/// A follower that has not called for so long is forgotten.
const FOLLOWER_EXPIRY: Duration = Duration::from_secs(60);

/// The answer to `GET /control/followers`.
#[derive(Debug, Serialize)]
pub struct FollowersResponse {
    /// The server's own version.
    pub version: Version,
    /// Those that called lately, in the order of their names.
    pub followers: Vec<FollowerState>,
}

/// One follower in the answer.
#[derive(Debug, Serialize)]
pub struct FollowerState {
    /// As it calls itself.
    pub name: String,
    /// What it has in force, as its last call told.
    pub version: Version,
    /// The digest that it sent was right, and all records are in force.
    pub in_sync: bool,
    /// How many records it could not put in force: its settings as a whole do not allow them.
    pub unapplied_records: u64,
    /// How long ago its last call came.
    pub seen_ms: u64,
}

/// The followers that called lately, a bounded number of them.
#[derive(Debug)]
pub struct FollowerTable {
    capacity: usize,
    entries: BTreeMap<String, FollowerEntry>,
}

#[derive(Debug)]
struct FollowerEntry {
    version: Version,
    has_current_records: bool,
    refused: u64,
    last_request_at: Instant,
}

impl FollowerTable {
    /// An empty table for so many followers.
    pub fn new(most: usize) -> FollowerTable {
        FollowerTable { capacity: most, entries: BTreeMap::new() }
    }

    /// A call of a follower has come. A new one is not noted where the table is full of others.
    pub fn record_request(
        &mut self,
        Caller { name, unapplied_records: refused }: &Caller,
        version: Version,
        has_all: bool,
        now: Instant,
    ) {
        let row =
            FollowerEntry { version, has_current_records: has_all, refused: *refused, last_request_at: now };
        if let Some(known) = self.entries.get_mut(name.as_str()) {
            *known = row;
            return;
        }
        if self.entries.len() >= self.capacity {
            self.remove_expired(now);
        }
        if self.entries.len() < self.capacity {
            self.entries.insert(name.clone(), row);
        }
    }

    /// All that have called lately.
    pub fn list(&mut self, now: Instant) -> Vec<FollowerState> {
        self.remove_expired(now);
        let follower = |(name, row): (&String, &FollowerEntry)| FollowerState {
            name: name.clone(),
            version: row.version,
            in_sync: row.has_current_records && row.refused == 0,
            unapplied_records: row.refused,
            seen_ms: u64::try_from(now.duration_since(row.last_request_at).as_millis()).unwrap_or(u64::MAX),
        };
        self.entries.iter().map(follower).collect()
    }

    fn remove_expired(&mut self, now: Instant) {
        self.entries.retain(|_, row| now.duration_since(row.last_request_at) < FOLLOWER_EXPIRY);
    }
}
