//! Incremental distribution of upstream lists and configuration from control servers to balancers.
//!
//! The distributed state is a set of records. A control server keeps them in a [`Store`] that numbers every change.
//! A balancer keeps a [`Replica`], which requests the changes since its version and compares digests with the server.
//! This crate does no I/O and reads no clock: the caller sends the requests, passes in the responses and waits.
//!
//! docs/control.md describes the protocol.

mod active_state;
mod change_log;
mod commit;
mod digest;
mod json;
mod key;
mod key_interner;
mod limits;
mod message;
mod pending_response;
mod percent_encoding;
mod record_hashes;
mod rejection;
mod repair;
mod replica;
mod rotation;
mod snapshot;
mod store;
mod update;

pub use commit::CommitError;
pub use digest::BUCKET_COUNT;
pub use key::{Key, KeyError, MAX_NAME_BYTES, RecordKind};
pub use key_interner::KeyInterner;
pub use limits::Limits;
pub use message::{
    BucketResponse, Change, ChangesResponse, CommitRequest, CommitResponse, Digest, DigestsResponse,
    LongPoll, NewChange, ReplicaRequest, SnapshotResponse, Version,
};
pub use pending_response::PendingResponse;
pub use rejection::Rejection;
pub use replica::{Progress, RecordValidator, Replica, ReplicaResponse};
pub use rotation::Rotation;
pub use store::Store;
pub use update::Update;
