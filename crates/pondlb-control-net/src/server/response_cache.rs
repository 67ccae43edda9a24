//! Encoded answers that are shared by all callers who ask for the same.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use pondlb_control::{Key, Version};

use crate::coding::ContentCoding;

/// The most answers that are kept: the pieces of a large snapshot, and changes from some hundred versions.
pub const MAX_CACHED_RESPONSES: usize = 512;
/// The most bytes of their bodies; a longer one is not kept.
pub const MAX_CACHED_BYTES: usize = 8 << 20;

/// What an answer tells, as long as the records are the same.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ResponseContent {
    /// What is newer than a version, from a server that has not heard from the origin for so long.
    Changes { from: Version, stale_ms: u64 },
    /// The records behind a key, or the first ones.
    Snapshot { after: Option<Key> },
    /// The digests of all buckets.
    Digests,
    /// The records of one bucket.
    Bucket(usize),
}

/// Tells answers from each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ResponseKey {
    pub content: ResponseContent,
    /// What the caller accepts.
    pub accepted_coding: ContentCoding,
}

/// An answer as it goes out.
#[derive(Clone, Debug)]
pub struct EncodedResponse {
    pub body: Rc<[u8]>,
    pub coding: ContentCoding,
    /// It brings changes.
    pub has_changes: bool,
    /// More changes follow.
    pub has_more: bool,
}

/// Answers of one version, a bounded number of them. The oldest make room for others.
#[derive(Debug, Default)]
pub struct ResponseCache {
    version: Version,
    responses: HashMap<ResponseKey, EncodedResponse>,
    /// In the order in which they came.
    insertion_order: VecDeque<ResponseKey>,
    body_bytes: usize,
}

impl ResponseCache {
    /// The answer that was kept under this key and is still of this version.
    pub fn get(&self, version: Version, key: &ResponseKey) -> Option<EncodedResponse> {
        self.responses.get(key).filter(|_| self.version == version).cloned()
    }

    /// Keeps an answer of this version.
    pub fn insert(&mut self, version: Version, key: ResponseKey, answer: EncodedResponse) {
        if self.version != version {
            self.clear();
            self.version = version;
        }
        if answer.body.len() > MAX_CACHED_BYTES {
            return;
        }
        self.evict_for(answer.body.len());
        self.body_bytes += answer.body.len();
        match self.responses.insert(key.clone(), answer) {
            Some(replaced) => self.body_bytes -= replaced.body.len(),
            None => self.insertion_order.push_back(key),
        }
    }

    /// Forgets all answers. Needed with every change of the records: a repair changes them within one version.
    pub fn clear(&mut self) {
        self.responses.clear();
        self.insertion_order.clear();
        self.body_bytes = 0;
    }

    fn evict_for(&mut self, bytes: usize) {
        while self.responses.len() >= MAX_CACHED_RESPONSES || self.body_bytes + bytes > MAX_CACHED_BYTES {
            let Some(oldest) = self.insertion_order.pop_front() else { return };
            let removed = self.responses.remove(&oldest);
            self.body_bytes -= removed.map_or(0, |removed| removed.body.len());
        }
    }

    /// How many answers are kept, and the bytes of their bodies.
    #[cfg(test)]
    pub fn size(&self) -> (usize, usize) {
        (self.responses.len(), self.body_bytes)
    }
}
