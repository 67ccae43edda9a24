//! A proxy between a real balancer and a control server. It reads from the balancer's calls which version is in force
//! there, and counts the bytes.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use pondlb_control::Version;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, spawn_local};

use super::clock;

const BUFFER_BYTES: usize = 16 * 1024;
/// The length of the longest request that a balancer sends, in bytes.
const MAX_REQUEST_BYTES: usize = 8 * 1024;
const END_OF_REQUEST: &[u8] = b"\r\n\r\n";
/// The digest of an empty set of records, as a call gives it.
const DIGEST_OF_NO_RECORDS: &str = "0000000000000000";
/// The beginning of a call for changes, up to the parameters.
const CHANGES_CALL_PREFIX: &str = "GET /control/changes?";

/// The state that a balancer gives in a call for changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedState {
    /// When the call was read, by the monotonic clock in microseconds.
    pub at_us: u64,
    /// The version of the balancer. While it takes a snapshot this is already the version of the snapshot.
    pub version: Version,
    /// The digest of the records in force, as hexadecimal text.
    pub digest: String,
}

/// The states that one balancer gave in its calls, and the bytes that it exchanged, over all of its connections.
#[derive(Debug, Default)]
pub struct TapLog {
    /// The states in the order of time. A call with the same digest as the call before adds none.
    pub states: RefCell<Vec<ReportedState>>,
    /// The version of the last call. It may be newer than the last entry of `states`: a version with the same digest as
    /// the one before adds no entry.
    pub last_call_version: Cell<Option<Version>>,
    /// The control server of the newest connection.
    pub last_server: Cell<Option<SocketAddr>>,
    /// The number of restarts of the balancer.
    restart_count: Cell<u32>,
    /// The index in `states` of the first state after the last restart.
    current_run_start: Cell<usize>,
    /// Whether the balancer went back to an older version without a restart.
    pub has_regressed: Cell<bool>,
    /// Bytes from control servers to the balancer.
    pub bytes_received: Cell<u64>,
    /// Bytes from the balancer to control servers.
    pub bytes_sent: Cell<u64>,
}

impl TapLog {
    /// Notes that the balancer has ended: the process that is started in its place has nothing in force. Calls on older
    /// connections are ignored from now on.
    pub fn start_new_run(&self) {
        self.restart_count.set(self.restart_count.get() + 1);
        self.current_run_start.set(self.states.borrow().len());
    }

    /// The state in force at the balancer; `None` if it has none since its last start.
    pub fn in_force(&self) -> Option<ReportedState> {
        self.states.borrow().get(self.current_run_start.get()..)?.last().cloned()
    }

    /// Records a call on a connection that was made after this number of restarts.
    fn record_call(&self, restart_count: u32, state: ReportedState) {
        if restart_count != self.restart_count.get() {
            return;
        }
        self.last_call_version.set(Some(state.version));
        let before = self.in_force();
        // While a balancer takes a snapshot, its calls give the version of the snapshot but still the digest of the
        // records in force. So only a new digest shows that a version came in force.
        let digest_in_force = before.as_ref().map_or(DIGEST_OF_NO_RECORDS, |before| &before.digest);
        if state.digest != digest_in_force {
            if before.is_some_and(|before| state.version < before.version) {
                self.has_regressed.set(true);
            }
            self.states.borrow_mut().push(state);
        }
    }
}

/// A recording proxy in front of one control server. It stops accepting connections when this is dropped.
pub struct Tap {
    /// The address that it listens on.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Tap {
    /// Listens on a free port, forwards connections to the server and records their traffic in `log`.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start(listen: IpAddr, server: SocketAddr, log: Rc<TapLog>) -> io::Result<Tap> {
        let listener = TcpListener::bind((listen, 0)).await?;
        let address = listener.local_addr()?;
        let task = spawn_local(async move {
            while let Ok((balancer, _)) = listener.accept().await {
                let log = log.clone();
                spawn_local(async move {
                    // An error closes the connection on both sides, which each side notices by itself.
                    let _ = forward(balancer, server, &log).await;
                });
            }
        });
        Ok(Tap { address, task })
    }
}

impl Drop for Tap {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(balancer: TcpStream, server: SocketAddr, log: &TapLog) -> io::Result<()> {
    let server = TcpStream::connect(server).await?;
    log.last_server.set(server.peer_addr().ok());
    balancer.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (balancer_read, balancer_write) = balancer.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::select! {
        ended = forward_requests(balancer_read, server_write, log) => ended,
        ended = forward_answers(server_read, balancer_write, log) => ended,
    }
}

async fn forward_requests(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, log: &TapLog) -> io::Result<()> {
    let (mut buffer, mut pending) = (vec![0; BUFFER_BYTES], Vec::new());
    let restart_count = log.restart_count.get();
    loop {
        let count = from.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        let at_us = clock::now_us();
        log.bytes_sent.set(log.bytes_sent.get() + count as u64);
        pending.extend_from_slice(&buffer[..count]);
        while let Some(head) = next_request(&mut pending) {
            if let Some(state) = parse_changes_call(&head, at_us) {
                log.record_call(restart_count, state);
            }
        }
        pending.truncate(MAX_REQUEST_BYTES);
        to.write_all(&buffer[..count]).await?;
    }
}

async fn forward_answers(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, log: &TapLog) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        log.bytes_received.set(log.bytes_received.get() + count as u64);
        to.write_all(&buffer[..count]).await?;
    }
}

/// Removes the first whole request from `pending`. Calls have no body, so a request ends with its head.
fn next_request(pending: &mut Vec<u8>) -> Option<String> {
    let end = pending.windows(END_OF_REQUEST.len()).position(|window| window == END_OF_REQUEST)?;
    let head: Vec<u8> = pending.drain(..end + END_OF_REQUEST.len()).collect();
    Some(String::from_utf8_lossy(&head).into_owned())
}

/// The state in a call for changes; `None` for any other request.
fn parse_changes_call(head: &str, at_us: u64) -> Option<ReportedState> {
    let query = head.strip_prefix(CHANGES_CALL_PREFIX)?.split(' ').next()?;
    let value = |name: &str| {
        query
            .split('&')
            .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
            .map(|(_, value)| value)
    };
    let version = Version { epoch: value("epoch")?.parse().ok()?, revision: value("from")?.parse().ok()? };
    Some(ReportedState { at_us, version, digest: value("digest")?.into() })
}

#[cfg(test)]
mod tests;
