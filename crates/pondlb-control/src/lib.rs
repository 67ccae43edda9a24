//! Incremental distribution of upstream lists and configuration from control servers to balancers.
//!
//! The state is a set of records. A control server holds them in a store that numbers every change; a balancer holds
//! a replica that asks for the changes since its version and compares digests. Nothing here does I/O or reads a clock.
//! docs/control.md describes the protocol.

mod key;
mod message;

pub use key::{Key, KeyError, Kind, LONGEST_NAME};
pub use message::{
    BucketAnswer, Call, Change, ChangesAnswer, Commit, Committed, Digest, DigestsAnswer, Hold, NewChange,
    SnapshotAnswer, Version,
};
