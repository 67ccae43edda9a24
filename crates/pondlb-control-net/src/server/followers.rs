//! Who follows this server.

use std::collections::BTreeMap;
use std::time::Duration;

use pondlb_control::Version;
use serde::Serialize;
use tokio::time::Instant;

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
    /// The digest that it sent was right.
    pub in_sync: bool,
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
    in_sync: bool,
    seen: Instant,
}

impl FollowerTable {
    /// An empty table for so many followers.
    pub fn new(most: usize) -> FollowerTable {
        FollowerTable { most, rows: BTreeMap::new() }
    }

    /// A call of a follower has come. A new one is not noted where the table is full of others.
    pub fn note(&mut self, name: &str, version: Version, in_sync: bool, now: Instant) {
        let row = Row { version, in_sync, seen: now };
        if let Some(known) = self.rows.get_mut(name) {
            *known = row;
            return;
        }
        if self.rows.len() >= self.most {
            self.forget(now);
        }
        if self.rows.len() < self.most {
            self.rows.insert(name.to_string(), row);
        }
    }

    /// All that have called lately.
    pub fn list(&mut self, now: Instant) -> Vec<Follower> {
        self.forget(now);
        let follower = |(name, row): (&String, &Row)| Follower {
            name: name.clone(),
            version: row.version,
            in_sync: row.in_sync,
            seen_ms: u64::try_from(now.duration_since(row.seen).as_millis()).unwrap_or(u64::MAX),
        };
        self.rows.iter().map(follower).collect()
    }

    fn forget(&mut self, now: Instant) {
        self.rows.retain(|_, row| now.duration_since(row.seen) < FORGOTTEN_AFTER);
    }
}
