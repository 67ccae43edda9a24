//! The calls of the control protocol and their answers, as JSON carries them.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::value::RawValue;

use crate::{Key, percent_encoding};

/// A state of all records: the epoch of the origin that numbered its changes, and the last change that it holds.
/// A newer epoch replaces an older one as a whole; within an epoch a higher revision is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Number of the origin's epoch; 0 stands for no state at all.
    pub epoch: u64,
    /// Number of the last change in it.
    pub revision: u64,
}

impl fmt::Display for Version {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "{}.{}", self.epoch, self.revision)
    }
}

/// A digest of records that does not depend on their order: two states with equal digests hold the same records.
/// Sixteen hexadecimal digits on the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digest(pub u64);

impl fmt::Display for Digest {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "{:016x}", self.0)
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Digest, D::Error> {
        let text = String::deserialize(from)?;
        let is_digest = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let read = u64::from_str_radix(&text, 16).ok().filter(|_| is_digest);
        read.map(Digest).ok_or_else(|| serde::de::Error::custom("a digest has 16 hexadecimal digits"))
    }
}

/// A record as it is from a revision on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Change {
    /// The change that set or removed it.
    pub revision: u64,
    /// Which record.
    pub key: Key,
    /// Its value; none where it is removed.
    pub value: Option<Box<RawValue>>,
}

/// The answer to [`ReplicaRequest::Changes`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangesResponse {
    /// The version that holds with these changes.
    #[serde(flatten)]
    pub version: Version,
    /// The revision that they follow on; the caller's own.
    #[serde(rename = "from")]
    pub from_revision: u64,
    /// The caller's version is of another epoch, or too old to be followed on: it has to take a snapshot.
    #[serde(default)]
    pub reset: bool,
    /// More changes follow; the next call brings them at once.
    #[serde(default, rename = "more")]
    pub has_more: bool,
    /// Digest of all records at this version; none while more follows.
    pub digest: Option<Digest>,
    /// For how many milliseconds the server has not heard from the origin; 0 at the origin itself.
    #[serde(default)]
    pub stale_ms: u64,
    /// In ascending order of revision, the last change of each record only.
    pub changes: Vec<Change>,
}

/// A piece of the whole state. Pieces may be of different revisions: a caller that has them all follows the changes
/// since the first piece, and only then compares digests.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SnapshotResponse {
    /// The version at which the piece was read.
    #[serde(flatten)]
    pub version: Version,
    /// In ascending order of their keys.
    pub records: Vec<Change>,
    /// The last key of the piece, for the next call; none where this is the last piece.
    #[serde(rename = "next")]
    pub next_after: Option<Key>,
}

/// The digests of all buckets.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DigestsResponse {
    /// The version at which they hold.
    #[serde(flatten)]
    pub version: Version,
    /// In the order of the buckets.
    pub buckets: Vec<Digest>,
}

/// All records of one bucket.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BucketResponse {
    /// The version at which they hold.
    #[serde(flatten)]
    pub version: Version,
    /// Which bucket.
    pub bucket: usize,
    /// In ascending order of their keys.
    pub records: Vec<Change>,
}

/// A change that the origin is asked to commit.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NewChange {
    /// Which record.
    pub key: Key,
    /// Its value from then on; none to remove it.
    pub value: Option<Box<RawValue>>,
}

/// The body of `POST /control/commit`: taken all or nothing.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CommitRequest {
    /// In the order in which they are numbered.
    pub changes: Vec<NewChange>,
}

/// The answer to a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitResponse {
    /// The version that holds with it.
    #[serde(flatten)]
    pub version: Version,
}

/// Whether a server may wait for news before it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LongPoll {
    /// It answers at once.
    No,
    /// It may wait so long.
    UpTo(Duration),
}

/// What a replica asks of a control server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaRequest {
    /// What is newer than a version.
    Changes {
        /// The caller's version.
        from: Version,
        /// The digest of what the caller holds.
        digest: Digest,
        /// Whether the server may wait for news.
        hold: LongPoll,
    },
    /// A piece of the whole state: the records behind a key, or the first ones.
    Snapshot {
        /// The last key of the piece before.
        after: Option<Key>,
    },
    /// The digests of all buckets.
    Digests,
    /// The records of one bucket.
    Bucket(usize),
}

impl ReplicaRequest {
    /// The target of the request: path and query, keys and names percent-encoded. `name` is the caller's, for the server's table of followers.
    pub fn target(&self, follower_name: &str) -> String {
        let name = percent_encoding::encode(follower_name);
        match self {
            ReplicaRequest::Changes { from: Version { epoch, revision }, digest, hold } => {
                let hold_ms = match hold {
                    LongPoll::No => 0,
                    LongPoll::UpTo(hold) => hold.as_millis(),
                };
                format!(
                    "/control/changes?name={name}&epoch={epoch}&from={revision}&digest={digest}&hold_ms={hold_ms}"
                )
            }
            ReplicaRequest::Snapshot { after: None } => "/control/snapshot".into(),
            ReplicaRequest::Snapshot { after: Some(after) } => {
                format!("/control/snapshot?after={}", percent_encoding::encode(after.as_str()))
            }
            ReplicaRequest::Digests => "/control/digests".into(),
            ReplicaRequest::Bucket(bucket) => format!("/control/bucket?bucket={bucket}"),
        }
    }
}
