//! Encoded answers that are shared by all callers who ask for the same.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use pondlb_control::{Key, Version};

use crate::coding::ContentCoding;

/// The most answers that are kept: the pieces of a large snapshot, and changes from some hundred versions.
pub const MOST_ANSWERS: usize = 512;
/// The most bytes of their bodies; a longer one is not kept.
pub const MOST_BYTES: usize = 8 << 20;

/// What an answer tells, as long as the records are the same.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Content {
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
pub struct AnswerKey {
    pub content: Content,
    /// What the caller accepts.
    pub accepted: ContentCoding,
}

/// An answer as it goes out.
#[derive(Clone, Debug)]
pub struct EncodedAnswer {
    pub body: Rc<[u8]>,
    pub coding: ContentCoding,
    /// It brings changes.
    pub has_changes: bool,
    /// More changes follow.
    pub more: bool,
}

/// Answers of one version, a bounded number of them. The oldest make room for others.
#[derive(Debug, Default)]
pub struct AnswerCache {
    version: Version,
    answers: HashMap<AnswerKey, EncodedAnswer>,
    /// In the order in which they came.
    order: VecDeque<AnswerKey>,
    bytes: usize,
}

impl AnswerCache {
    /// The answer that was kept under this key and is still of this version.
    pub fn get(&self, version: Version, key: &AnswerKey) -> Option<EncodedAnswer> {
        self.answers.get(key).filter(|_| self.version == version).cloned()
    }

    /// Keeps an answer of this version.
    pub fn insert(&mut self, version: Version, key: AnswerKey, answer: EncodedAnswer) {
        if self.version != version {
            self.clear();
            self.version = version;
        }
        if answer.body.len() > MOST_BYTES {
            return;
        }
        self.make_room(answer.body.len());
        self.bytes += answer.body.len();
        match self.answers.insert(key.clone(), answer) {
            Some(replaced) => self.bytes -= replaced.body.len(),
            None => self.order.push_back(key),
        }
    }

    /// Forgets all answers. Needed with every change of the records: a repair changes them within one version.
    pub fn clear(&mut self) {
        self.answers.clear();
        self.order.clear();
        self.bytes = 0;
    }

    fn make_room(&mut self, bytes: usize) {
        while self.answers.len() >= MOST_ANSWERS || self.bytes + bytes > MOST_BYTES {
            let Some(oldest) = self.order.pop_front() else { return };
            let removed = self.answers.remove(&oldest);
            self.bytes -= removed.map_or(0, |removed| removed.body.len());
        }
    }

    /// How many answers are kept, and the bytes of their bodies.
    #[cfg(test)]
    pub fn size(&self) -> (usize, usize) {
        (self.answers.len(), self.bytes)
    }
}
