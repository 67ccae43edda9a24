//! Shared test helpers: servers and followers in one thread on loopback, and clients that send raw requests.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use pondlb_control::{Key, NewChange, RecordKind, Update, Version};
use pondlb_control_net::{
    FollowerConfig, FollowerStatus, Role, Server, ServerOptions, UpdateDelivery, follow, validate_json_shape,
};
use pondlb_http::{Message, MessageReader, request_framing, response_framing};
use serde_json::value::RawValue;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

/// How long a test waits for a condition. It is long because the machine may be busy.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a test in a current-thread runtime with local tasks.
pub fn run_test(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Waits until a condition holds, and fails after [`CONDITION_TIMEOUT`].
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < CONDITION_TIMEOUT, "timed out waiting for {what}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// A loopback address with a port that the system chooses.
pub fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// The key of an upstream.
pub fn upstream_key(name: &str) -> Key {
    Key::new(RecordKind::Upstream, name).unwrap()
}

/// A change that sets an upstream to a JSON object with this size.
pub fn set_upstream(name: &str, size: u64) -> NewChange {
    let value = RawValue::from_string(format!("{{\"size\":{size}}}")).unwrap();
    NewChange { key: upstream_key(name), value: Some(value) }
}

/// A change that removes an upstream.
pub fn remove_upstream(name: &str) -> NewChange {
    NewChange { key: upstream_key(name), value: None }
}

/// Changes that set the upstreams `s-00000`, `s-00001` and so on.
pub fn upstreams(count: u64) -> Vec<NewChange> {
    (0..count).map(|number| set_upstream(&format!("s-{number:05}"), number)).collect()
}

/// A control server that runs in a task until it is stopped or the test ends.
pub struct TestServer {
    pub address: SocketAddr,
    pub commit_address: Option<SocketAddr>,
    /// The status of a replica server as a follower.
    pub follower_status: Option<Rc<FollowerStatus>>,
    task: JoinHandle<()>,
}

impl TestServer {
    pub fn start(options: ServerOptions) -> TestServer {
        let server = Server::bind(options).unwrap();
        let (address, commit_address) = (server.listen_address().unwrap(), server.commit_address().unwrap());
        let follower_status = server.follower_status();
        TestServer { address, commit_address, follower_status, task: spawn_local(server.run()) }
    }

    /// Stops the server and returns when all of its sockets are closed.
    pub async fn stop(self) {
        self.task.abort();
        // The result of a cancelled task is an error.
        let _ = self.task.await;
    }

    /// Sends a commit and returns the response.
    pub async fn commit(&self, changes: &[NewChange]) -> Message {
        let body = serde_json::json!({ "changes": changes.iter().map(change_to_json).collect::<Vec<_>>() });
        post(self.commit_address.unwrap(), "/control/commit", &body.to_string()).await
    }
}

fn change_to_json(change: &NewChange) -> serde_json::Value {
    let value =
        change.value.as_ref().map(|value| serde_json::from_str::<serde_json::Value>(value.get()).unwrap());
    serde_json::json!({ "key": change.key.as_str(), "value": value })
}

pub fn origin_options(epoch: u64, initial_records: Vec<NewChange>) -> ServerOptions {
    let role = Role::Origin { commit_address: Some(any_address()), initial_records, epoch };
    ServerOptions::new(any_address(), role)
}

pub fn start_origin(epoch: u64, initial_records: Vec<NewChange>) -> TestServer {
    TestServer::start(origin_options(epoch, initial_records))
}

pub fn replica_options(servers: &[SocketAddr]) -> ServerOptions {
    let role = Role::Replica { servers: servers.to_vec(), max_hold: Duration::from_secs(1) };
    let options = ServerOptions::new(any_address(), role);
    ServerOptions {
        name: format!("replica-{}", NEXT_REPLICA_SERVER_NUMBER.fetch_add(1, Ordering::Relaxed)),
        ..options
    }
}

/// Numbers the replica servers of a test, which need unique names.
static NEXT_REPLICA_SERVER_NUMBER: AtomicU64 = AtomicU64::new(0);

pub fn start_replica_server(servers: &[SocketAddr]) -> TestServer {
    TestServer::start(replica_options(servers))
}

/// A follower that applies its updates to a map of records.
pub struct Follower {
    pub status: Rc<FollowerStatus>,
    records: Rc<RefCell<BTreeMap<Key, String>>>,
    version: Rc<Cell<Version>>,
    tasks: [JoinHandle<()>; 2],
}

impl Follower {
    pub fn start(servers: &[SocketAddr], number: u64) -> Follower {
        Follower::start_with(FollowerConfig::new(servers.to_vec(), &format!("b{number}"), number))
    }

    pub fn start_with(config: FollowerConfig) -> Follower {
        let (sender, mut deliveries) = mpsc::unbounded_channel();
        let status = Rc::new(FollowerStatus::default());
        let (records, version) =
            (Rc::new(RefCell::new(BTreeMap::new())), Rc::new(Cell::new(Version::default())));
        let (applied_records, applied_version) = (records.clone(), version.clone());
        let consumer = spawn_local(async move {
            while let Some(UpdateDelivery { update, applied }) = deliveries.recv().await {
                applied_version.set(update.version);
                apply(&mut applied_records.borrow_mut(), update);
                let _ = applied.send(());
            }
        });
        let driver = spawn_local(follow(config, validate_json_shape, sender, status.clone()));
        Follower { status, records, version, tasks: [consumer, driver] }
    }

    pub fn version(&self) -> Version {
        self.version.get()
    }

    /// The value of an upstream as JSON.
    pub fn value(&self, name: &str) -> Option<String> {
        self.records.borrow().get(&upstream_key(name)).cloned()
    }

    pub fn len(&self) -> usize {
        self.records.borrow().len()
    }

    pub fn records(&self) -> BTreeMap<Key, String> {
        self.records.borrow().clone()
    }

    /// Whether the upstream has the value that [`set_upstream`] gives it.
    pub fn has_upstream(&self, name: &str, size: u64) -> bool {
        self.value(name).as_deref() == Some(&format!("{{\"size\":{size}}}"))
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

fn apply(records: &mut BTreeMap<Key, String>, update: Update) {
    for change in update.changes {
        match change.value {
            Some(value) => drop(records.insert(change.key, value.get().to_string())),
            None => drop(records.remove(&change.key)),
        }
    }
}

/// A client connection over which a test sends requests of its own.
pub struct RawClient {
    pub stream: TcpStream,
    reader: MessageReader,
}

impl RawClient {
    pub async fn connect(address: SocketAddr) -> RawClient {
        RawClient::from_stream(TcpStream::connect(address).await.unwrap())
    }

    pub fn from_stream(stream: TcpStream) -> RawClient {
        RawClient { stream, reader: MessageReader::with_max_body(response_framing, 64 << 20) }
    }

    pub async fn get(&mut self, target: &str) -> Option<Message> {
        self.get_with_fields(target, "").await
    }

    /// Sends a request with additional header fields, each ending in CR LF, and reads the response.
    pub async fn get_with_fields(&mut self, target: &str, fields: &str) -> Option<Message> {
        let request = format!("GET {target} HTTP/1.1\r\nHost: c\r\n{fields}\r\n");
        self.stream.write_all(request.as_bytes()).await.ok()?;
        self.read_response().await
    }

    /// The next response; `None` if the connection is closed first.
    pub async fn read_response(&mut self) -> Option<Message> {
        next_message(&mut self.stream, &mut self.reader).await
    }
}

async fn next_message(stream: &mut TcpStream, reader: &mut MessageReader) -> Option<Message> {
    loop {
        if let Some(message) = reader.next_message().unwrap() {
            return Some(message);
        }
        match stream.read(reader.spare_capacity_mut()).await {
            Ok(count @ 1..) => reader.mark_filled(count),
            _ => return None,
        }
    }
}

/// Sends a GET request over a new connection.
pub async fn get(address: SocketAddr, target: &str) -> Message {
    RawClient::connect(address).await.get(target).await.expect("a response")
}

/// Sends a POST request over a new connection.
pub async fn post(address: SocketAddr, target: &str, body: &str) -> Message {
    let mut client = RawClient::connect(address).await;
    let head = format!("POST {target} HTTP/1.1\r\nHost: c\r\nContent-Length: {}\r\n\r\n", body.len());
    // If the request is too long, the server may respond and close before all of it is written.
    let _ = client.stream.write_all((head + body).as_bytes()).await;
    client.read_response().await.expect("a response")
}

pub fn status_code(message: &Message) -> u16 {
    message.head.status().unwrap()
}

pub fn json_body(message: &Message) -> serde_json::Value {
    serde_json::from_slice(&message.body).unwrap()
}

pub fn text_body(message: &Message) -> String {
    String::from_utf8_lossy(&message.body).trim().to_string()
}

/// The response of a scripted server.
pub struct ScriptedResponse {
    /// Additional header fields, each ending in CR LF.
    pub fields: String,
    pub body: Vec<u8>,
}

/// Starts a server that responds to each target with the body that the script returns; for `None` it never responds.
pub fn start_scripted_server(script: impl Fn(&str) -> Option<String> + 'static) -> SocketAddr {
    start_scripted_byte_server(move |target| {
        script(target).map(|body| ScriptedResponse { fields: String::new(), body: body.into_bytes() })
    })
}

/// Like [`start_scripted_server`], but the script also returns header fields, and the body may be any bytes.
pub fn start_scripted_byte_server(script: impl Fn(&str) -> Option<ScriptedResponse> + 'static) -> SocketAddr {
    let listener = std::net::TcpListener::bind(any_address()).unwrap();
    listener.set_nonblocking(true).unwrap();
    let listener = TcpListener::from_std(listener).unwrap();
    let address = listener.local_addr().unwrap();
    let script = Rc::new(script);
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve_script(stream, script.clone()));
        }
    });
    address
}

async fn serve_script(mut stream: TcpStream, script: Rc<impl Fn(&str) -> Option<ScriptedResponse>>) {
    let mut reader = MessageReader::new(request_framing);
    while let Some(request) = next_message(&mut stream, &mut reader).await {
        let target = request.head.start_line.split(' ').nth(1).unwrap_or_default();
        let Some(ScriptedResponse { fields, body }) = script(target) else { continue };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{fields}\r\n", body.len());
        if stream.write_all(&[head.as_bytes(), &body].concat()).await.is_err() {
            return;
        }
    }
}

/// A TCP proxy between followers and a server that counts the bytes in both directions.
pub struct CountingProxy {
    pub address: SocketAddr,
    to_server: Rc<Cell<u64>>,
    to_follower: Rc<Cell<u64>>,
}

impl CountingProxy {
    pub fn start(server: SocketAddr) -> CountingProxy {
        let listener = std::net::TcpListener::bind(any_address()).unwrap();
        listener.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(listener).unwrap();
        let address = listener.local_addr().unwrap();
        let (to_server, to_follower) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        let (sent, received) = (to_server.clone(), to_follower.clone());
        spawn_local(async move {
            while let Ok((follower, _)) = listener.accept().await {
                let (follower_reads, follower_writes) = follower.into_split();
                let (server_reads, server_writes) = TcpStream::connect(server).await.unwrap().into_split();
                spawn_local(forward(follower_reads, server_writes, sent.clone()));
                spawn_local(forward(server_reads, follower_writes, received.clone()));
            }
        });
        CountingProxy { address, to_server, to_follower }
    }

    /// The bytes that were sent to the server, and those that it sent.
    pub fn transferred_bytes(&self) -> (u64, u64) {
        (self.to_server.get(), self.to_follower.get())
    }
}

/// Copies bytes until either side is closed, and counts them.
async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, byte_count: Rc<Cell<u64>>) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        byte_count.set(byte_count.get() + count as u64);
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// The value of a query parameter of a target.
pub fn query_parameter<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query
        .split('&')
        .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
        .map(|(_, value)| value)
}
