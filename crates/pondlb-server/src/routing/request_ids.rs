//! The ids of earlier requests, so that a copy of an id is not served.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, RandomState};

use pondlb::{RequestId, TenthMillis};

/// How long an id is remembered at least after the end of its request, and after each copy of it (60 s).
const ID_RETENTION: TenthMillis = 600_000;
/// How many ids are remembered of requests that had no effect or that may be repeated.
const MAX_REPEATABLE_IDS: usize = 8192;

/// Whether a request may run again under the same id.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Repeatability {
    /// A repeat does no harm: the request never ran, or it is idempotent.
    Harmless,
    /// A repeat could have the request's effect a second time.
    Harmful,
}

/// Remembers the ids of requests that have ended. Clients use a new id for each request, so one that arrives again was
/// copied.
///
/// Ids whose repeat would be harmful are never forgotten before their time. If there is no room for more of them, no
/// further requests of that kind may be accepted. Of the others, the oldest are forgotten for new ones.
pub struct RequestIds {
    hasher: RandomState,
    harmful: IdTable,
    max_harmful: usize,
    harmless: IdTable,
}

impl RequestIds {
    /// Memory that an id takes at most, in bytes: its entries in a hash table and in a queue, each half empty.
    pub const BYTES_PER_ID: usize = 64;

    /// Remembers up to `max_harmful` ids whose repeat would be harmful.
    pub fn new(max_harmful: usize) -> Self {
        RequestIds {
            hasher: RandomState::new(),
            harmful: IdTable::default(),
            max_harmful,
            harmless: IdTable::default(),
        }
    }

    /// Whether this is the id of an earlier request. If so, it is remembered for longer.
    pub fn is_copy(&mut self, now: TenthMillis, id: &RequestId) -> bool {
        let hash = self.hash(id);
        self.harmful.prolong(now, hash) || self.harmless.prolong(now, hash)
    }

    /// Whether there is room for the id of one more request whose repeat would be harmful, beside those of
    /// `open_requests` requests that have not ended.
    pub fn has_room(&mut self, now: TenthMillis, open_requests: usize) -> bool {
        self.harmful.remove_expired(now);
        self.harmful.len() + open_requests < self.max_harmful
    }

    /// Remembers the id of a request that has ended.
    pub fn insert(&mut self, now: TenthMillis, id: &RequestId, repeatability: Repeatability) {
        let hash = self.hash(id);
        match repeatability {
            Repeatability::Harmful => self.harmful.insert(now, hash),
            Repeatability::Harmless => {
                if self.harmless.len() >= MAX_REPEATABLE_IDS {
                    self.harmless.remove_oldest();
                }
                self.harmless.insert(now, hash);
            }
        }
    }

    /// Ids are remembered by their hashes, which are shorter. Two ids with the same hash would make the second one a
    /// copy, which is as unlikely as a random number of 64 bits that comes twice. The hash is keyed at random, so that
    /// clients can't choose such ids.
    fn hash(&self, id: &RequestId) -> IdHash {
        IdHash(self.hasher.hash_one(id))
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct IdHash(u64);

/// Ids with the time at which each was last used.
#[derive(Default)]
struct IdTable {
    last_used: HashMap<IdHash, TenthMillis>,
    /// Each id once, with the time at which it was added to the queue or had been used last by then. An id that was used
    /// again meanwhile is added again when its turn comes, so that it may stay for longer than the retention.
    queue: VecDeque<(TenthMillis, IdHash)>,
}

impl IdTable {
    fn len(&self) -> usize {
        self.queue.len()
    }

    fn insert(&mut self, now: TenthMillis, id: IdHash) {
        self.remove_expired(now);
        if self.last_used.insert(id, now).is_none() {
            self.queue.push_back((now, id));
        }
    }

    /// Remembers an id for longer. Returns false if it is unknown.
    fn prolong(&mut self, now: TenthMillis, id: IdHash) -> bool {
        self.remove_expired(now);
        let Some(last_used) = self.last_used.get_mut(&id) else { return false };
        *last_used = now;
        true
    }

    /// Removes the ids whose retention is over.
    fn remove_expired(&mut self, now: TenthMillis) {
        while let Some((queued_at, id)) = self.queue.front().copied() {
            if queued_at + ID_RETENTION > now {
                return;
            }
            self.queue.pop_front();
            match self.last_used.get(&id) {
                Some(&last_used) if last_used > queued_at => self.queue.push_back((last_used, id)),
                _ => drop(self.last_used.remove(&id)),
            }
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, id)) = self.queue.pop_front() {
            self.last_used.remove(&id);
        }
    }
}
