//! The control protocol on sockets: what follows control servers, and the control server itself.
//!
//! [`follow`] keeps a replica up to date from a list of control servers and delivers each verified update to its
//! consumer. [`Server`] is the origin, or a replica server that follows the origin by the same driver and serves the
//! same calls. One thread, one task for each connection, no locks. docs/control.md describes the protocol.

mod check;
mod client;
mod coding;
mod http;
mod options;
mod server;

pub use check::{CheckRecord, check_record, check_shape};
pub use client::{Counters, Delivered, Following, Status, follow};
pub use options::{OptionsFault, Role, ServerOptions};
pub use server::{Server, serve};
