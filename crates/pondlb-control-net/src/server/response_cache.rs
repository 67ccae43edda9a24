//! A cache of encoded responses, which are shared by all followers that send the same request.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use pondlb_control::{Key, Version};

use crate::coding::ContentCoding;

/// The maximum number of cached responses: enough for the pages of a large snapshot and for the changes since some
/// hundred versions.
pub const MAX_CACHED_RESPONSES: usize = 512;
/// The maximum total length of the cached bodies. A longer body is not cached.
pub const MAX_CACHED_BYTES: usize = 8 << 20;

/// Identifies the content of a response among all responses for the same state of the records.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ResponseContent {
    /// The changes since a version, with the staleness of the server.
    Changes { from: Version, stale_ms: u64 },
    /// A page of a snapshot: the records after a key, or the first ones.
    Snapshot { after: Option<Key> },
    /// The digests of all buckets.
    Digests,
    /// The records of one bucket.
    Bucket(usize),
}

/// The key of a cached response.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ResponseKey {
    pub content: ResponseContent,
    /// The content coding that the client accepts.
    pub accepted_coding: ContentCoding,
}

/// The encoded body of a response.
#[derive(Clone, Debug)]
pub struct EncodedResponse {
    pub body: Rc<[u8]>,
    pub coding: ContentCoding,
    /// Whether the response contains changes.
    pub has_changes: bool,
    /// Whether more changes are available after these.
    pub has_more: bool,
}

/// A bounded cache of responses for one version. The oldest responses are evicted first.
#[derive(Debug, Default)]
pub struct ResponseCache {
    version: Version,
    responses: HashMap<ResponseKey, EncodedResponse>,
    /// The keys of all cached responses, the oldest first.
    insertion_order: VecDeque<ResponseKey>,
    /// The total length of the cached bodies.
    body_bytes: usize,
}

impl ResponseCache {
    /// The cached response with this key, if it is of this version.
    pub fn get(&self, version: Version, key: &ResponseKey) -> Option<EncodedResponse> {
        self.responses.get(key).filter(|_| self.version == version).cloned()
    }

    /// Caches a response of this version. Responses of another version are removed.
    pub fn insert(&mut self, version: Version, key: ResponseKey, response: EncodedResponse) {
        if self.version != version {
            self.clear();
            self.version = version;
        }
        if response.body.len() > MAX_CACHED_BYTES {
            return;
        }
        self.evict_for(response.body.len());
        self.body_bytes += response.body.len();
        match self.responses.insert(key.clone(), response) {
            Some(replaced) => self.body_bytes -= replaced.body.len(),
            None => self.insertion_order.push_back(key),
        }
    }

    /// Removes all responses. This is necessary after each change of the records, since a repair changes them without a
    /// new version.
    pub fn clear(&mut self) {
        self.responses.clear();
        self.insertion_order.clear();
        self.body_bytes = 0;
    }

    /// Evicts the oldest responses until another one with a body of this length fits.
    fn evict_for(&mut self, bytes: usize) {
        while self.responses.len() >= MAX_CACHED_RESPONSES || self.body_bytes + bytes > MAX_CACHED_BYTES {
            let Some(oldest) = self.insertion_order.pop_front() else { return };
            let removed = self.responses.remove(&oldest);
            self.body_bytes -= removed.map_or(0, |removed| removed.body.len());
        }
    }

    /// The number of cached responses and the total length of their bodies.
    #[cfg(test)]
    pub fn size(&self) -> (usize, usize) {
        (self.responses.len(), self.body_bytes)
    }
}
