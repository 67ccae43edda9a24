//! The control protocol on sockets: what follows control servers, and the control server itself.
//!
//! [`follow`] keeps a replica up to date from a list of control servers and delivers each verified update to its
//! consumer. [`Server`] is the origin, or a replica server that follows the origin by the same driver and serves the
//! same calls. One thread, one task for each connection, no locks. docs/control.md describes the protocol.

mod client;
mod coding;
mod http;
mod options;
mod server;
mod validation;

pub use client::{FollowerConfig, FollowerCounters, FollowerStatus, UpdateDelivery, follow};
pub use options::{OptionsError, Role, ServerOptions};
pub use server::{Server, serve};
pub use validation::{ValidateRecord, validate_json_shape, validate_record};
