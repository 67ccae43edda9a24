//! The table of the followers that use this server.

use std::collections::BTreeMap;
use std::time::Duration;

use pondlb_control::Version;
use serde::Serialize;
use tokio::time::Instant;

use super::request::Caller;

/// A follower is removed from the table when its last request is this old.
const FOLLOWER_EXPIRY: Duration = Duration::from_secs(60);

/// The response to `GET /control/followers`.
#[derive(Debug, Serialize)]
pub struct FollowersResponse {
    /// The server's own version.
    pub version: Version,
    /// The followers with a recent request, sorted by name.
    pub followers: Vec<FollowerState>,
}

/// One follower in the response.
#[derive(Debug, Serialize)]
pub struct FollowerState {
    /// The name in its requests.
    pub name: String,
    /// Its active version, as reported by its last request.
    pub version: Version,
    /// Whether it had the server's version and digest when it sent the request, and has applied all records.
    pub in_sync: bool,
    /// The number of records that it could not apply, because its settings as a whole don't allow them.
    #[serde(rename = "refused")]
    pub unapplied_records: u64,
    /// The time since its last request, in milliseconds.
    #[serde(rename = "seen_ms")]
    pub last_request_age_ms: u64,
}

/// A bounded table of the followers with a recent request.
#[derive(Debug)]
pub struct FollowerTable {
    capacity: usize,
    entries: BTreeMap<String, FollowerEntry>,
}

/// What the last request of a follower reported.
#[derive(Debug)]
struct FollowerEntry {
    version: Version,
    /// Whether the version and the digest were those of the server.
    has_current_records: bool,
    unapplied_records: u64,
    last_request_at: Instant,
}

impl FollowerTable {
    /// An empty table for at most `capacity` followers.
    pub fn new(capacity: usize) -> FollowerTable {
        FollowerTable { capacity, entries: BTreeMap::new() }
    }

    /// Records a request of a follower. A new follower is ignored while the table is full.
    pub fn record_request(
        &mut self,
        Caller { name, unapplied_records }: &Caller,
        version: Version,
        has_current_records: bool,
        now: Instant,
    ) {
        let entry = FollowerEntry {
            version,
            has_current_records,
            unapplied_records: *unapplied_records,
            last_request_at: now,
        };
        if let Some(known) = self.entries.get_mut(name.as_str()) {
            *known = entry;
            return;
        }
        if self.entries.len() >= self.capacity {
            self.remove_expired(now);
        }
        if self.entries.len() < self.capacity {
            self.entries.insert(name.clone(), entry);
        }
    }

    /// All followers with a recent request.
    pub fn list(&mut self, now: Instant) -> Vec<FollowerState> {
        self.remove_expired(now);
        let state = |(name, entry): (&String, &FollowerEntry)| {
            let last_request_age = now.duration_since(entry.last_request_at);
            FollowerState {
                name: name.clone(),
                version: entry.version,
                in_sync: entry.has_current_records && entry.unapplied_records == 0,
                unapplied_records: entry.unapplied_records,
                last_request_age_ms: u64::try_from(last_request_age.as_millis()).unwrap_or(u64::MAX),
            }
        };
        self.entries.iter().map(state).collect()
    }

    fn remove_expired(&mut self, now: Instant) {
        self.entries.retain(|_, entry| now.duration_since(entry.last_request_at) < FOLLOWER_EXPIRY);
    }
}
