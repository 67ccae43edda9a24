//! The control protocol over TCP: the client that follows control servers, and the control server itself.
//!
//! [`follow`] keeps a replica up to date from a list of control servers and delivers each verified update to its
//! consumer. [`Server`] is the origin of the records, or a replica server, which follows other control servers with
//! [`follow`] and serves the same requests. A server runs in one thread with one task per connection and without locks.
//!
//! docs/control.md describes the protocol.

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
