//! Minimal in-process stubs of the discovery service and of upstreams, for the measurement of a balancer.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout;

use super::upstream_list::{UpstreamList, list_body};
use crate::http::{HttpConnection, format_response};

/// The version of the list that a balancer is given with its configuration.
pub const INITIAL_VERSION: u64 = 1;
/// The longest time for which a call is held, in milliseconds.
const MAX_HOLD_MS: u64 = 60_000;

/// Calls and bytes of payload, without the overhead of TCP/IP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of answered calls.
    pub calls: u64,
    /// Bytes from the balancers.
    pub received_bytes: u64,
    /// Bytes to the balancers.
    pub sent_bytes: u64,
}

impl Traffic {
    /// The traffic since an earlier reading.
    pub fn since(&self, before: &Traffic) -> Traffic {
        Traffic {
            calls: self.calls - before.calls,
            received_bytes: self.received_bytes - before.received_bytes,
            sent_bytes: self.sent_bytes - before.sent_bytes,
        }
    }
}

/// An update of the list, as it is sent to the balancers.
enum ListUpdate {
    /// Only the changed entries, as JSON objects separated by commas.
    Entries(String),
    /// The whole list.
    FullList,
}

/// The state that all connections of a discovery stub share.
struct DiscoveryState {
    upstream_list: RefCell<UpstreamList>,
    /// A version and the response with the full list at that version, formatted once for all callers.
    cached_response: RefCell<Option<(u64, Rc<str>)>>,
    /// The current version of the list.
    version: Cell<u64>,
    /// The update of each version, from `INITIAL_VERSION + 1` on.
    updates: RefCell<Vec<ListUpdate>>,
    /// Wakes the held calls when there is a new version.
    changed: Notify,
    /// Traffic of all connections so far.
    traffic: Cell<Traffic>,
    /// The newest version that any caller has confirmed by asking for changes after it.
    confirmed_version: Cell<u64>,
}

/// A stub of the discovery service. It answers a first call with the full list, and holds later calls until there are
/// changes, which it then sends alone.
pub struct DiscoveryStub {
    /// The address on which it listens.
    pub address: SocketAddr,
    state: Rc<DiscoveryState>,
    task: JoinHandle<()>,
}

impl DiscoveryStub {
    /// Starts listening on the loopback interface.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start(upstream_list: UpstreamList) -> io::Result<DiscoveryStub> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Rc::new(DiscoveryState {
            upstream_list: RefCell::new(upstream_list),
            cached_response: RefCell::default(),
            version: Cell::new(INITIAL_VERSION),
            updates: RefCell::default(),
            changed: Notify::new(),
            traffic: Cell::default(),
            confirmed_version: Cell::new(0),
        });
        let serving = state.clone();
        let task = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = serving.clone();
                spawn_local(async move { state.serve(HttpConnection::new(stream)).await });
            }
        });
        Ok(DiscoveryStub { address, state, task })
    }

    /// The body with the full list at the current version, which may also be put in a balancer's configuration.
    pub fn full_list(&self) -> String {
        self.state.upstream_list.borrow().full_list_body(self.state.version.get())
    }

    /// The numbers of all entries in a zone.
    pub fn zone_members(&self, zone: usize) -> Vec<usize> {
        self.state.upstream_list.borrow().zone_members(zone)
    }

    /// The current state of an entry, as a JSON object.
    pub fn entry_json(&self, number: usize) -> String {
        self.state.upstream_list.borrow().entries_json([number])
    }

    /// Toggles the state of these entries and sends them alone, in one message.
    pub fn push_changes(&self, numbers: impl IntoIterator<Item = usize> + Clone) {
        let mut upstream_list = self.state.upstream_list.borrow_mut();
        numbers.clone().into_iter().for_each(|number| upstream_list.toggle(number));
        let entries = upstream_list.entries_json(numbers);
        drop(upstream_list);
        self.state.push(ListUpdate::Entries(entries));
    }

    /// Sends the full list again, under a new version.
    pub fn push_full_list(&self) {
        self.state.push(ListUpdate::FullList);
    }

    /// The current version of the list.
    pub fn version(&self) -> u64 {
        self.state.version.get()
    }

    /// The newest version that any caller has confirmed by asking for changes after it.
    pub fn confirmed_version(&self) -> u64 {
        self.state.confirmed_version.get()
    }

    /// Traffic of all connections so far.
    pub fn traffic(&self) -> Traffic {
        self.state.traffic.get()
    }
}

impl Drop for DiscoveryStub {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl DiscoveryState {
    /// Adds an update under the next version and wakes the held calls.
    fn push(&self, update: ListUpdate) {
        self.updates.borrow_mut().push(update);
        self.version.set(self.version.get() + 1);
        self.changed.notify_waiters();
    }

    /// Answers the calls of one connection until it is closed.
    async fn serve(&self, mut connection: HttpConnection) {
        let mut counted_bytes = 0;
        while let Ok(Some(request)) = connection.read_request().await {
            let from = query_parameter(&request.path, "from");
            let hold_ms = query_parameter(&request.path, "hold_ms").unwrap_or_default().min(MAX_HOLD_MS);
            if let Some(from) = from {
                self.confirmed_version.set(self.confirmed_version.get().max(from));
                let new_version = async {
                    while self.version.get() <= from {
                        self.changed.notified().await;
                    }
                };
                let _ = timeout(Duration::from_millis(hold_ms), new_version).await;
            }
            let response = self.response_since(from);
            let mut traffic = self.traffic.get();
            traffic.calls += 1;
            traffic.received_bytes += connection.received_bytes - counted_bytes;
            traffic.sent_bytes += response.len() as u64;
            counted_bytes = connection.received_bytes;
            self.traffic.set(traffic);
            if connection.write(&response).await.is_err() {
                return;
            }
        }
    }

    /// The response to a call for the changes after version `from`: the full list if no version is given or if one of
    /// the updates is a full list, else the changed entries.
    fn response_since(&self, from: Option<u64>) -> Rc<str> {
        let version = self.version.get();
        let Some(from) = from.filter(|from| *from >= INITIAL_VERSION) else {
            return self.full_list_response(version);
        };
        let mut changed_entries = String::new();
        for update in self.updates.borrow().iter().skip((from - INITIAL_VERSION) as usize) {
            let ListUpdate::Entries(entries) = update else { return self.full_list_response(version) };
            let comma = if changed_entries.is_empty() { "" } else { "," };
            changed_entries = format!("{changed_entries}{comma}{entries}");
        }
        format_response(200, "", &list_body(version, false, &changed_entries)).into()
    }

    /// The response with the full list at a version.
    fn full_list_response(&self, version: u64) -> Rc<str> {
        let mut cached = self.cached_response.borrow_mut();
        match &*cached {
            Some((cached_version, response)) if *cached_version == version => response.clone(),
            _ => {
                let response: Rc<str> =
                    format_response(200, "", &self.upstream_list.borrow().full_list_body(version)).into();
                *cached = Some((version, response.clone()));
                response
            }
        }
    }
}

/// The value of a numeric query parameter.
fn query_parameter(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

/// Stubs of upstreams that answer immediately. All upstreams of a list share their few addresses.
pub struct UpstreamStubs {
    /// The addresses on which they listen.
    pub addresses: Vec<SocketAddr>,
    open_connections: Rc<Cell<usize>>,
    tasks: Vec<JoinHandle<()>>,
}

impl UpstreamStubs {
    /// Starts listening on `count` addresses of the loopback interface.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start(count: usize) -> io::Result<UpstreamStubs> {
        let mut upstreams =
            UpstreamStubs { addresses: Vec::new(), open_connections: Rc::default(), tasks: Vec::new() };
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            upstreams.addresses.push(listener.local_addr()?);
            let open_connections = upstreams.open_connections.clone();
            upstreams.tasks.push(spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    spawn_local(answer_requests(stream, open_connections.clone()));
                }
            }));
        }
        Ok(upstreams)
    }

    /// Number of connections that are open at present.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }
}

impl Drop for UpstreamStubs {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Answers all requests of one connection, which counts as open until then.
async fn answer_requests(stream: TcpStream, open_connections: Rc<Cell<usize>>) {
    open_connections.set(open_connections.get() + 1);
    let mut connection = HttpConnection::new(stream);
    while let Ok(Some(_)) = connection.read_request().await {
        if connection.write(&format_response(200, "Srv-Load: rif=0,q=0\r\n", "done")).await.is_err() {
            break;
        }
    }
    open_connections.set(open_connections.get() - 1);
}
