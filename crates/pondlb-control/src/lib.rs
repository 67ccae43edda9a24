//! Incremental distribution of upstream lists and configuration from control servers to balancers.
//!
//! The state is a set of records. A control server holds them in a store that numbers every change; a balancer holds
//! a replica that asks for the changes since its version and compares digests. Nothing here does I/O or reads a clock.
//! docs/control.md describes the protocol.

mod change_log;
mod commit;
mod digest;
mod held;
mod json;
mod key;
mod limits;
mod message;
mod names;
mod pending;
mod percent;
mod record_hashes;
mod rejection;
mod repair;
mod replica;
mod rotation;
mod snapshot;
mod store;
mod update;

pub use commit::CommitError;
pub use digest::BUCKETS;
pub use key::{Key, KeyError, Kind, LONGEST_NAME};
pub use limits::Limits;
pub use message::{
    BucketAnswer, Call, Change, ChangesAnswer, Commit, Committed, Digest, DigestsAnswer, Hold, NewChange,
    SnapshotAnswer, Version,
};
pub use names::Names;
pub use pending::PendingAnswer;
pub use rejection::Rejection;
pub use replica::{Answer, Check, Progress, Replica};
pub use rotation::Rotation;
pub use store::Store;
pub use update::Update;
