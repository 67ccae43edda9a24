//! The requests and responses of the control protocol, and their JSON representation.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::value::RawValue;

use crate::{Key, percent_encoding};

/// Identifies a state of all records by the origin's epoch and the last change that the state includes.
///
/// The state of a newer epoch replaces that of an older one completely; within an epoch a higher revision is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The epoch of the origin that numbered the changes; 0 means that there is no state yet.
    pub epoch: u64,
    /// The revision of the last change that the state includes.
    pub revision: u64,
}

impl fmt::Display for Version {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}.{}", self.epoch, self.revision)
    }
}

/// A digest of a set of records: the wrapping sum of their hashes, so it does not depend on their order.
///
/// States with equal digests are taken to have the same records. On the wire a digest is a string of 16 hexadecimal
/// digits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digest(pub u64);

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Digest, D::Error> {
        let text = String::deserialize(deserializer)?;
        // `from_str_radix` alone would also accept a sign.
        let is_digest = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let parsed = u64::from_str_radix(&text, 16).ok().filter(|_| is_digest);
        parsed.map(Digest).ok_or_else(|| serde::de::Error::custom("a digest has 16 hexadecimal digits"))
    }
}

/// The state of a record from a revision on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Change {
    /// The revision that set or removed the record.
    pub revision: u64,
    /// The key of the record.
    pub key: Key,
    /// The new value; `None` if the record is removed.
    pub value: Option<Box<RawValue>>,
}

/// The response to [`ReplicaRequest::Changes`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangesResponse {
    /// The version of the state after these changes.
    #[serde(flatten)]
    pub version: Version,
    /// The revision after which the changes start: that of the request.
    #[serde(rename = "from")]
    pub from_revision: u64,
    /// The follower has to read a snapshot: its version has another epoch, or is older than the server's change log.
    #[serde(default)]
    pub reset: bool,
    /// More changes are available; the next request returns them without waiting.
    #[serde(default, rename = "more")]
    pub has_more: bool,
    /// The digest of all records at this version; `None` while more changes are available, after a reset, and while the
    /// server itself has received only a part of the changes.
    pub digest: Option<Digest>,
    /// The time in milliseconds since the server last heard from the origin; 0 at the origin itself.
    #[serde(default)]
    pub stale_ms: u64,
    /// The last change of each record, in ascending order of revision.
    pub changes: Vec<Change>,
}

/// A page of the complete state, in response to [`ReplicaRequest::Snapshot`].
///
/// The pages of a snapshot may be of different revisions. A follower that has read all of them therefore requests the
/// changes since the first page, and only then compares digests.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SnapshotResponse {
    /// The server's version when the page was read.
    #[serde(flatten)]
    pub version: Version,
    /// The records, in ascending order of their keys.
    pub records: Vec<Change>,
    /// The last key of the page, after which the next page starts; `None` in the last page.
    #[serde(rename = "next")]
    pub next_after: Option<Key>,
}

/// The digests of all buckets, in response to [`ReplicaRequest::Digests`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DigestsResponse {
    /// The server's version when the digests were read.
    #[serde(flatten)]
    pub version: Version,
    /// One digest per bucket, in the order of the buckets.
    pub buckets: Vec<Digest>,
}

/// All records of one bucket, in response to [`ReplicaRequest::Bucket`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BucketResponse {
    /// The server's version when the records were read.
    #[serde(flatten)]
    pub version: Version,
    /// The number of the bucket.
    pub bucket: usize,
    /// The records, in ascending order of their keys.
    pub records: Vec<Change>,
}

/// A change to be committed by the origin, which has no revision yet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NewChange {
    /// The key of the record.
    pub key: Key,
    /// The new value; `None` removes the record.
    pub value: Option<Box<RawValue>>,
}

/// The body of `POST /control/commit`. The changes are committed all or not at all.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CommitRequest {
    /// The changes, in the order in which they receive their revisions.
    pub changes: Vec<NewChange>,
}

/// The response to a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitResponse {
    /// The version of the state after the commit.
    #[serde(flatten)]
    pub version: Version,
}

/// Whether a server may delay its response until there are new changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LongPoll {
    /// The server responds immediately.
    No,
    /// The server may hold the request for up to this time.
    UpTo(Duration),
}

/// A request of a replica to a control server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaRequest {
    /// Requests the changes since a version.
    Changes {
        /// The version of the replica.
        from: Version,
        /// The digest of the replica's active records.
        digest: Digest,
        /// Whether the server may wait for new changes.
        hold: LongPoll,
    },
    /// Requests a page of the complete state: the records after a key, or the first page.
    Snapshot {
        /// The last key of the previous page; `None` requests the first page.
        after: Option<Key>,
    },
    /// Requests the digests of all buckets.
    Digests,
    /// Requests the records of the bucket with this number.
    Bucket(usize),
}

impl ReplicaRequest {
    /// The HTTP request target: path and query, with keys and names percent-encoded. The server shows `follower_name`
    /// in its table of followers.
    pub fn target(&self, follower_name: &str) -> String {
        let name = percent_encoding::encode(follower_name);
        match self {
            ReplicaRequest::Changes { from: Version { epoch, revision }, digest, hold } => {
                let hold_ms = match hold {
                    LongPoll::No => 0,
                    LongPoll::UpTo(max_hold) => max_hold.as_millis(),
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
