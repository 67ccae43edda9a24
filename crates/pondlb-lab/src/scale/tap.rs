//! A proxy between a real balancer and a control server that reads what the balancer says is in force.

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
/// The longest request that a balancer sends.
const MOST_REQUEST_BYTES: usize = 8 * 1024;
const END_OF_REQUEST: &[u8] = b"\r\n\r\n";
/// The digest of no records.
const NOTHING_IN_FORCE: &str = "0000000000000000";
const CHANGES_CALL: &str = "GET /control/changes?";

/// What a balancer tells with a call for changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedState {
    /// When the call was read.
    pub at_us: u64,
    /// What is in force.
    pub version: Version,
    /// The digest of what it holds, in its text.
    pub digest: String,
}

/// What one balancer told and moved, over all of its connections.
#[derive(Debug, Default)]
pub struct TapLog {
    /// Each state, when it was told first after another one.
    pub states: RefCell<Vec<ReportedState>>,
    /// The version of the last call. What leads to the digest before is in force without being `told`.
    pub last_call_version: Cell<Option<Version>>,
    /// The server of the last call.
    pub last_server: Cell<Option<SocketAddr>>,
    /// How often the balancer was started again.
    restart_count: Cell<u32>,
    /// Where its present life begins in `told`.
    current_run_start: Cell<usize>,
    /// It told an older version than before in the same life.
    pub has_regressed: Cell<bool>,
    /// Bytes from control servers to the balancer.
    pub bytes_received: Cell<u64>,
    /// Bytes from the balancer to control servers.
    pub bytes_sent: Cell<u64>,
}

impl TapLog {
    /// The balancer has ended, and the one that is started in its place has nothing in force.
    pub fn start_new_run(&self) {
        self.restart_count.set(self.restart_count.get() + 1);
        self.current_run_start.set(self.states.borrow().len());
    }

    /// What the balancer has in force since its last start.
    pub fn in_force(&self) -> Option<ReportedState> {
        self.states.borrow().get(self.current_run_start.get()..)?.last().cloned()
    }

    /// Notes what was told on a connection of that life.
    fn record_call(&self, life: u32, told: ReportedState) {
        if life != self.restart_count.get() {
            return;
        }
        self.last_call_version.set(Some(told.version));
        let before = self.in_force();
        // While a snapshot is taken the version is the snapshot's, but the digest is that of what is in force.
        let in_force = before.as_ref().map_or(NOTHING_IN_FORCE, |before| &before.digest);
        if told.digest != in_force {
            if before.is_some_and(|before| told.version < before.version) {
                self.has_regressed.set(true);
            }
            self.states.borrow_mut().push(told);
        }
    }
}

/// A tap before one server, for as long as it is kept.
pub struct Tap {
    /// Where it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Tap {
    /// Listens on a free port, and forwards to the server what it reads.
    ///
    /// # Errors
    /// Where no port can be listened on.
    pub async fn start(listen: IpAddr, server: SocketAddr, heard: Rc<TapLog>) -> io::Result<Tap> {
        let listener = TcpListener::bind((listen, 0)).await?;
        let address = listener.local_addr()?;
        let task = spawn_local(async move {
            while let Ok((balancer, _)) = listener.accept().await {
                let heard = heard.clone();
                spawn_local(async move {
                    // A connection that fails is closed on both sides, which is all that there is to tell.
                    let _closed = forward(balancer, server, &heard).await;
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

async fn forward(balancer: TcpStream, server: SocketAddr, heard: &TapLog) -> io::Result<()> {
    let server = TcpStream::connect(server).await?;
    heard.last_server.set(server.peer_addr().ok());
    balancer.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (balancer_read, balancer_write) = balancer.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::select! {
        ended = requests(balancer_read, server_write, heard) => ended,
        ended = answers(server_read, balancer_write, heard) => ended,
    }
}

async fn requests(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, heard: &TapLog) -> io::Result<()> {
    let (mut buffer, mut pending) = (vec![0; BUFFER_BYTES], Vec::new());
    let life = heard.restart_count.get();
    loop {
        let count = from.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        let at_us = clock::now_us();
        heard.bytes_sent.set(heard.bytes_sent.get() + count as u64);
        pending.extend_from_slice(&buffer[..count]);
        while let Some(head) = next_request(&mut pending) {
            if let Some(told) = parse_changes_call(&head, at_us) {
                heard.record_call(life, told);
            }
        }
        pending.truncate(MOST_REQUEST_BYTES);
        to.write_all(&buffer[..count]).await?;
    }
}

async fn answers(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, heard: &TapLog) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        heard.bytes_received.set(heard.bytes_received.get() + count as u64);
        to.write_all(&buffer[..count]).await?;
    }
}

/// The calls have no bodies: a request ends with its head.
fn next_request(pending: &mut Vec<u8>) -> Option<String> {
    let end = pending.windows(END_OF_REQUEST.len()).position(|window| window == END_OF_REQUEST)?;
    let head: Vec<u8> = pending.drain(..end + END_OF_REQUEST.len()).collect();
    Some(String::from_utf8_lossy(&head).into_owned())
}

fn parse_changes_call(head: &str, at_us: u64) -> Option<ReportedState> {
    let query = head.strip_prefix(CHANGES_CALL)?.split(' ').next()?;
    let value = |name: &str| {
        query
            .split('&')
            .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
            .map(|pair| pair.1)
    };
    let version = Version { epoch: value("epoch")?.parse().ok()?, revision: value("from")?.parse().ok()? };
    Some(ReportedState { at_us, version, digest: value("digest")?.into() })
}

#[cfg(test)]
mod tests;
