//! Why nothing of an answer is taken.

use crate::{Digest, Key, Version};

/// Why a replica takes nothing of an answer. What it held stays in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The answer is not of the kind that was asked for.
    #[error("the answer does not belong to the call that was made")]
    UnexpectedResponse,
    /// The server itself holds no state yet.
    #[error("the server holds no state yet")]
    ServerWithoutState,
    /// The server is at an older epoch.
    #[error("version {received} is of an older epoch than {active}")]
    OlderEpoch {
        /// The server's version.
        received: Version,
        /// The caller's version.
        active: Version,
    },
    /// The server is at an older revision of the same epoch.
    #[error("version {received} is older than {active}")]
    OlderRevision {
        /// The server's version.
        received: Version,
        /// The caller's version.
        active: Version,
    },
    /// The changes follow on another revision than the caller's.
    #[error("changes since {received}, asked for those since {requested}")]
    WrongBaseRevision {
        /// What the changes follow on.
        received: u64,
        /// What was asked for.
        requested: u64,
    },
    /// A revision does not ascend, or lies outside of what the answer covers.
    #[error("{key}: revision {revision} is out of order or out of range")]
    InvalidRevision {
        /// Which record.
        key: Key,
        /// Its revision.
        revision: u64,
    },
    /// Two changes of one record.
    #[error("{0}: changed twice in one answer")]
    DuplicateKey(Key),
    /// More changes are promised, and this answer brings none.
    #[error("a piece without changes")]
    EmptyPage,
    /// A record's key is not above the one before.
    #[error("{0}: not in ascending order")]
    KeyOutOfOrder(Key),
    /// The key to go on from is not that of the last record.
    #[error("{0}: not the last record of the piece")]
    WrongNextKey(Key),
    /// A record has no value where it must have one.
    #[error("{0}: no value")]
    MissingValue(Key),
    /// A value is longer than is taken.
    #[error("{key}: {bytes} bytes of value are more than {max}")]
    ValueTooLong {
        /// Whose value.
        key: Key,
        /// Its length.
        bytes: usize,
        /// How long it may be.
        max: usize,
    },
    /// The checker does not allow a value.
    #[error("{key}: {reason}")]
    InvalidRecord {
        /// Which record.
        key: Key,
        /// What the checker said.
        reason: String,
    },
    /// There would be more records than are taken.
    #[error("{records} records are more than {max}")]
    TooManyRecords {
        /// How many there would be.
        records: usize,
        /// How many are taken.
        max: usize,
    },
    /// A snapshot has more bytes of keys and values than are taken.
    #[error("{bytes} bytes of keys and values are more than {max}")]
    TooManyBytes {
        /// How many there would be.
        bytes: usize,
        /// How many are taken.
        max: usize,
    },
    /// The number of bucket digests is wrong.
    #[error("digests of {0} buckets")]
    WrongBucketCount(usize),
    /// Records of another bucket than was asked for.
    #[error("bucket {received}, asked for {requested}")]
    WrongBucket {
        /// Which bucket came.
        received: usize,
        /// Which one was asked for.
        requested: usize,
    },
    /// A record does not belong to the bucket that it came with.
    #[error("{key}: not of bucket {bucket}")]
    RecordInWrongBucket {
        /// Which record.
        key: Key,
        /// Which bucket it came with.
        bucket: usize,
    },
    /// What came does not have the digest that the server told.
    #[error("digest {computed} of what came, {expected} was told")]
    DigestMismatch {
        /// What the server told.
        expected: Digest,
        /// What the records have.
        computed: Digest,
    },
    /// Repairs kept failing; the next call begins a snapshot.
    #[error("{0} repairs failed")]
    RepairsFailed(u32),
    /// Snapshots kept being interrupted by newer epochs or resets.
    #[error("{0} snapshots were interrupted")]
    SnapshotsInterrupted(u32),
}
