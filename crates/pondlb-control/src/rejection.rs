//! The reasons why a replica rejects a response.

use crate::{BUCKET_COUNT, Digest, Key, Version};

/// Why a replica rejects a response. Nothing of the response is applied; the previous state stays active.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The response does not answer the replica's current request.
    #[error("the response does not match the request")]
    UnexpectedResponse,
    /// The server itself has no state yet.
    #[error("the server has no state yet")]
    ServerWithoutState,
    /// The server's version has an older epoch than the replica's.
    #[error("received version {received} has an older epoch than {active}")]
    OlderEpoch {
        /// The server's version.
        received: Version,
        /// The replica's active or staged version.
        active: Version,
    },
    /// The server's version has an older revision of the same epoch.
    #[error("received version {received} is older than {active}")]
    OlderRevision {
        /// The server's version.
        received: Version,
        /// The replica's active or staged version.
        active: Version,
    },
    /// The changes start after another revision than the requested one.
    #[error("received changes since revision {received}, requested those since {requested}")]
    WrongBaseRevision {
        /// The revision after which the received changes start.
        received: u64,
        /// The revision of the request.
        requested: u64,
    },
    /// A revision is not greater than the previous one, or is outside the range that the response covers.
    #[error("{key}: revision {revision} is out of order or out of range")]
    InvalidRevision {
        /// The key of the record.
        key: Key,
        /// The revision of the change.
        revision: u64,
    },
    /// The response contains two changes of the same record.
    #[error("{0}: changed twice in one response")]
    DuplicateKey(Key),
    /// The response announces more changes but contains none.
    #[error("a page that is not the last contains no changes")]
    EmptyPage,
    /// The key of a record is not greater than the previous one.
    #[error("{0}: the keys are not in ascending order")]
    KeyOutOfOrder(Key),
    /// The key after which the next page starts is not that of the page's last record.
    #[error("{0}: the next page does not start after the last record of this page")]
    WrongNextKey(Key),
    /// A record of a snapshot or bucket has no value, or a value is the JSON `null`.
    #[error("{0}: the value is missing")]
    MissingValue(Key),
    /// A value exceeds [`Limits::max_value_bytes`](crate::Limits::max_value_bytes).
    #[error("{key}: a value of {bytes} bytes exceeds the limit of {max}")]
    ValueTooLong {
        /// The key of the record.
        key: Key,
        /// The length of the value in bytes.
        bytes: usize,
        /// The maximum length in bytes.
        max: usize,
    },
    /// The validator rejects a value or a removal.
    #[error("{key}: {reason}")]
    InvalidRecord {
        /// The key of the record.
        key: Key,
        /// The validator's reason.
        reason: String,
    },
    /// The state would exceed [`Limits::max_records`](crate::Limits::max_records).
    #[error("{records} records exceed the limit of {max}")]
    TooManyRecords {
        /// The number of records after the response.
        records: usize,
        /// The maximum number of records.
        max: usize,
    },
    /// A staged snapshot would exceed [`Limits::max_total_bytes`](crate::Limits::max_total_bytes).
    #[error("{bytes} bytes of keys and values exceed the limit of {max}")]
    TooManyBytes {
        /// Bytes of keys and values after the response.
        bytes: usize,
        /// The maximum number of bytes.
        max: usize,
    },
    /// The number of bucket digests differs from [`BUCKET_COUNT`].
    #[error("received the digests of {0} buckets instead of {BUCKET_COUNT}")]
    WrongBucketCount(usize),
    /// The records are those of another bucket than the requested one.
    #[error("received bucket {received}, requested {requested}")]
    WrongBucket {
        /// The number of the received bucket.
        received: usize,
        /// The number of the requested bucket.
        requested: usize,
    },
    /// A record does not belong to the bucket in which it was received.
    #[error("{key}: the record does not belong to bucket {bucket}")]
    RecordInWrongBucket {
        /// The key of the record.
        key: Key,
        /// The number of the received bucket.
        bucket: usize,
    },
    /// The received records do not have the digest that the server sent.
    #[error("the received records have digest {computed} instead of {expected}")]
    DigestMismatch {
        /// The digest that the server sent.
        expected: Digest,
        /// The digest of the received records.
        computed: Digest,
    },
    /// This number of consecutive repairs failed; the next request starts a snapshot.
    #[error("{0} consecutive repairs failed")]
    RepairsFailed(u32),
    /// This number of consecutive snapshots was interrupted by newer epochs or resets.
    #[error("{0} consecutive snapshots were interrupted")]
    SnapshotsInterrupted(u32),
}
