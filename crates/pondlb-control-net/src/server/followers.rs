//! Who follows this server.

use std::collections::BTreeMap;
use std::time::Duration;

use pondlb_control::Version;
use serde::Serialize;
use tokio::time::Instant;

use super::request::Caller;

/// A follower that has not called for so long is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// The answer to `GET /control/followers`.
#[derive(Debug, Serialize)]
pub struct FollowersAnswer {
    /// The server's own version.
    pub version: Version,
    /// Those that called lately, in the order of their names.
    pub followers: Vec<Follower>,
}

/// One follower in the answer.
#[derive(Debug, Serialize)]
pub struct Follower {
    /// As it calls itself.
    pub name: String,
    /// What it has in force, as its last call told.
    pub version: Version,
    /// The digest that it sent was right, and all records are in force.
    pub in_sync: bool,
    /// How many records it could not put in force: its settings as a whole do not allow them.
    pub refused: u64,
    /// How long ago its last call came.
    pub seen_ms: u64,
}

/// The followers that called lately, a bounded number of them.
#[derive(Debug)]
pub struct FollowerTable {
    most: usize,
    rows: BTreeMap<String, Row>,
}

#[derive(Debug)]
struct Row {
    version: Version,
    has_all: bool,
    refused: u64,
    seen: Instant,
}

impl FollowerTable {
    /// An empty table for so many followers.
    pub fn new(most: usize) -> FollowerTable {
        FollowerTable { most, rows: BTreeMap::new() }
    }

    /// A call of a follower has come. A new one is not noted where the table is full of others.
    pub fn note(&mut self, Caller { name, refused }: &Caller, version: Version, has_all: bool, now: Instant) {
        let row = Row { version, has_all, refused: *refused, seen: now };
        if let Some(known) = self.rows.get_mut(name.as_str()) {
            *known = row;
            return;
        }
        if self.rows.len() >= self.most {
            self.forget(now);
        }
        if self.rows.len() < self.most {
            self.rows.insert(name.clone(), row);
        }
    }

    /// All that have called lately.
    pub fn list(&mut self, now: Instant) -> Vec<Follower> {
        self.forget(now);
        let follower = |(name, row): (&String, &Row)| Follower {
            name: name.clone(),
            version: row.version,
            in_sync: row.has_all && row.refused == 0,
            refused: row.refused,
            seen_ms: u64::try_from(now.duration_since(row.seen).as_millis()).unwrap_or(u64::MAX),
        };
        self.rows.iter().map(follower).collect()
    }

    fn forget(&mut self, now: Instant) {
        self.rows.retain(|_, row| now.duration_since(row.seen) < FORGOTTEN_AFTER);
    }
}
