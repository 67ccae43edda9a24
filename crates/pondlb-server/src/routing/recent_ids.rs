//! The ids of recent requests, so that an id is not used twice within a short time.

use std::collections::{HashSet, VecDeque};

use pondlb::{RequestId, TenthMillis};

/// How long an id is kept (5 s).
const ID_RETENTION: TenthMillis = 50_000;
const MAX_RECENT_IDS: usize = 8192;

/// The ids of the requests of the last [`ID_RETENTION`], of which the newest [`MAX_RECENT_IDS`] are kept. Clients use a
/// new id for each request, so a recent one that arrives again was copied from another client.
#[derive(Default)]
pub struct RecentRequestIds {
    ids: HashSet<RequestId>,
    /// The same ids, the oldest first.
    by_arrival: VecDeque<(TenthMillis, RequestId)>,
}

impl RecentRequestIds {
    /// Adds an id. Returns false if it is there already, which doesn't prolong its retention.
    pub fn insert(&mut self, now: TenthMillis, id: &RequestId) -> bool {
        self.remove_expired(now);
        let is_new = self.ids.insert(id.clone());
        if is_new {
            self.by_arrival.push_back((now, id.clone()));
        }
        is_new
    }

    /// Removes the ids whose retention is over, and the oldest one if there is no room for another.
    fn remove_expired(&mut self, now: TenthMillis) {
        let is_expired = |(at, _): &(TenthMillis, RequestId)| at + ID_RETENTION <= now;
        while self.by_arrival.front().is_some_and(is_expired) || self.by_arrival.len() >= MAX_RECENT_IDS {
            if let Some((_, id)) = self.by_arrival.pop_front() {
                self.ids.remove(&id);
            }
        }
    }
}
