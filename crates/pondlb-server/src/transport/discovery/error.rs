//! Why calls to discovery fail, and how often the log says so.

use std::fmt;
use std::io::{Error, ErrorKind};
use std::time::Duration;

use tokio::time::Instant;

use crate::routing::RouterEvent;

/// While calls keep failing for the same reason, it is logged as a warning once in this time.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// Why a call to discovery brought no list.
#[derive(Clone, Debug, PartialEq)]
pub enum CallError {
    /// No complete response came within the call's timeout.
    TimedOut,
    /// The connection was not established in time.
    ConnectTimedOut,
    /// Discovery can't be reached: nothing listens at its address, or the network has no route to it.
    Unreachable(String),
    /// An error status came only after a long wait: a proxy did not reach discovery, or discovery has more calls in its
    /// queue than it answers in time. The call does not show which, so other balancers may be answered meanwhile.
    Unavailable(String),
    /// The connection broke, or this machine could not open one.
    ConnectionBroken(String),
    /// Discovery rejected the call, or responded with something that is not a valid list.
    Rejected(String),
    /// The list is longer than the limit.
    ListTooLong { size_bytes: usize, limit_bytes: usize },
}

impl CallError {
    /// Classifies an error of opening a connection.
    pub fn from_connect_error(error: &Error) -> CallError {
        let text = format!("can't be reached: {error}");
        match error.kind() {
            ErrorKind::TimedOut => CallError::ConnectTimedOut,
            ErrorKind::ConnectionRefused | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable => {
                CallError::Unreachable(text)
            }
            // This machine is out of descriptors, ports or memory; other balancers may still reach discovery.
            _ => CallError::ConnectionBroken(text),
        }
    }

    /// An error on an open connection; `what` was being sent or read.
    pub fn from_io_error(what: &str, error: &Error) -> CallError {
        CallError::ConnectionBroken(format!("connection failed during {what}: {error}"))
    }

    /// The event that reports the failure to the router.
    pub fn to_router_event(&self) -> RouterEvent {
        match self {
            CallError::TimedOut => RouterEvent::WatchTimedOut,
            CallError::ConnectTimedOut
            | CallError::Unreachable(_)
            | CallError::Unavailable(_)
            | CallError::ConnectionBroken(_) => RouterEvent::DiscoveryUnreachable,
            CallError::Rejected(_) | CallError::ListTooLong { .. } => RouterEvent::ListRefused,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::TimedOut => write!(f, "the call timed out"),
            CallError::ConnectTimedOut => write!(f, "the connection timed out"),
            CallError::Unreachable(reason)
            | CallError::Unavailable(reason)
            | CallError::ConnectionBroken(reason)
            | CallError::Rejected(reason) => write!(f, "{reason}"),
            CallError::ListTooLong { size_bytes, limit_bytes } => {
                write!(
                    f,
                    "a list of {size_bytes} bytes is refused; limits.memory_mb allows for {limit_bytes}"
                )
            }
        }
    }
}

/// Logs errors of calls. A repeated error is a warning only once in [`REPEAT_INTERVAL`].
#[derive(Default)]
pub struct ErrorLog {
    /// The last error logged as a warning, and when.
    last_warning: Option<(CallError, Instant)>,
}

impl ErrorLog {
    /// Logs an error.
    pub fn log(&mut self, error: &CallError) {
        if self
            .last_warning
            .as_ref()
            .is_some_and(|(last, at)| last == error && at.elapsed() < REPEAT_INTERVAL)
        {
            return log::debug!("discovery: again: {error}");
        }
        log::warn!("discovery: {error}");
        self.last_warning = Some((error.clone(), Instant::now()));
    }

    /// Makes the next error a warning whatever it is; called after a success.
    pub fn reset(&mut self) {
        self.last_warning = None;
    }
}
