//! What the tests share: servers and followers in one thread on loopback, and raw calls.

#![allow(dead_code, reason = "each test file uses a part")]

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

/// The machine may be busy: conditions are waited for so long.
pub const SOON: Duration = Duration::from_secs(20);

pub fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

pub async fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < SOON, "{what} soon");
        sleep(Duration::from_millis(5)).await;
    }
}

pub fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn upstream(name: &str) -> Key {
    Key::new(RecordKind::Upstream, name).unwrap()
}

pub fn set(name: &str, size: u64) -> NewChange {
    let value = RawValue::from_string(format!("{{\"size\":{size}}}")).unwrap();
    NewChange { key: upstream(name), value: Some(value) }
}

pub fn remove(name: &str) -> NewChange {
    NewChange { key: upstream(name), value: None }
}

pub fn records(count: u64) -> Vec<NewChange> {
    (0..count).map(|number| set(&format!("s-{number:05}"), number)).collect()
}

/// A server that runs in a task; dropping it closes all of its connections.
pub struct Running {
    pub address: SocketAddr,
    pub commit: Option<SocketAddr>,
    pub status: Option<Rc<FollowerStatus>>,
    task: JoinHandle<()>,
}

impl Running {
    pub fn start(options: ServerOptions) -> Running {
        let server = Server::bind(options).unwrap();
        let (address, commit) = (server.listen_address().unwrap(), server.commit_address().unwrap());
        let status = server.follower_status();
        Running { address, commit, status, task: spawn_local(server.run()) }
    }

    /// Returns once all of its sockets are closed.
    pub async fn stop(self) {
        self.task.abort();
        let _cancelled = self.task.await;
    }

    pub async fn commit(&self, changes: &[NewChange]) -> Message {
        let body = serde_json::json!({ "changes": changes.iter().map(in_json).collect::<Vec<_>>() });
        post(self.commit.unwrap(), "/control/commit", &body.to_string()).await
    }
}

fn in_json(change: &NewChange) -> serde_json::Value {
    let value =
        change.value.as_ref().map(|value| serde_json::from_str::<serde_json::Value>(value.get()).unwrap());
    serde_json::json!({ "key": change.key.as_str(), "value": value })
}

pub fn origin_options(epoch: u64, initial: Vec<NewChange>) -> ServerOptions {
    let role = Role::Origin { commit_address: Some(any_address()), initial_records: initial, epoch };
    ServerOptions::new(any_address(), role)
}

pub fn origin(epoch: u64, initial: Vec<NewChange>) -> Running {
    Running::start(origin_options(epoch, initial))
}

pub fn replica_options(follow: &[SocketAddr]) -> ServerOptions {
    let role = Role::Replica { servers: follow.to_vec(), max_hold: Duration::from_secs(1) };
    let options = ServerOptions::new(any_address(), role);
    ServerOptions { name: format!("replica-{}", NUMBER.fetch_add(1, Ordering::Relaxed)), ..options }
}

/// Numbers the replica servers of a test, which need names of their own.
static NUMBER: AtomicU64 = AtomicU64::new(0);

pub fn replica_server(follow: &[SocketAddr]) -> Running {
    Running::start(replica_options(follow))
}

/// A follower with the records that it was delivered.
pub struct Follower {
    pub status: Rc<FollowerStatus>,
    records: Rc<RefCell<BTreeMap<Key, String>>>,
    version: Rc<Cell<Version>>,
    tasks: [JoinHandle<()>; 2],
}

impl Follower {
    pub fn start(servers: &[SocketAddr], number: u64) -> Follower {
        Follower::with(FollowerConfig::new(servers.to_vec(), &format!("b{number}"), number))
    }

    pub fn with(following: FollowerConfig) -> Follower {
        let (deliver, mut delivered) = mpsc::unbounded_channel();
        let status = Rc::new(FollowerStatus::default());
        let (records, version) =
            (Rc::new(RefCell::new(BTreeMap::new())), Rc::new(Cell::new(Version::default())));
        let (held, at) = (records.clone(), version.clone());
        let consumer = spawn_local(async move {
            while let Some(UpdateDelivery { update, applied }) = delivered.recv().await {
                at.set(update.version);
                apply(&mut held.borrow_mut(), update);
                let _ended = applied.send(());
            }
        });
        let driver = spawn_local(follow(following, validate_json_shape, deliver, status.clone()));
        Follower { status, records, version, tasks: [consumer, driver] }
    }

    pub fn version(&self) -> Version {
        self.version.get()
    }

    pub fn value(&self, name: &str) -> Option<String> {
        self.records.borrow().get(&upstream(name)).cloned()
    }

    pub fn len(&self) -> usize {
        self.records.borrow().len()
    }

    pub fn records(&self) -> BTreeMap<Key, String> {
        self.records.borrow().clone()
    }

    pub fn holds(&self, name: &str, size: u64) -> bool {
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

/// A connection of a caller that speaks for itself.
pub struct Raw {
    pub stream: TcpStream,
    reader: MessageReader,
}

impl Raw {
    pub async fn connect(address: SocketAddr) -> Raw {
        Raw::over(TcpStream::connect(address).await.unwrap())
    }

    pub fn over(stream: TcpStream) -> Raw {
        Raw { stream, reader: MessageReader::with_max_body(response_framing, 64 << 20) }
    }

    pub async fn get(&mut self, target: &str) -> Option<Message> {
        self.get_with(target, "").await
    }

    /// The answer to a call with further header fields, each with its line's end.
    pub async fn get_with(&mut self, target: &str, fields: &str) -> Option<Message> {
        let request = format!("GET {target} HTTP/1.1\r\nHost: c\r\n{fields}\r\n");
        self.stream.write_all(request.as_bytes()).await.ok()?;
        self.answer().await
    }

    /// The next answer; none where the connection ends first.
    pub async fn answer(&mut self) -> Option<Message> {
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

pub async fn get(address: SocketAddr, target: &str) -> Message {
    Raw::connect(address).await.get(target).await.expect("an answer")
}

pub async fn post(address: SocketAddr, target: &str, body: &str) -> Message {
    let mut raw = Raw::connect(address).await;
    let head = format!("POST {target} HTTP/1.1\r\nHost: c\r\nContent-Length: {}\r\n\r\n", body.len());
    // One that is refused for its length may be answered before all of it is written.
    let _refused = raw.stream.write_all((head + body).as_bytes()).await;
    raw.answer().await.expect("an answer")
}

pub fn status(message: &Message) -> u16 {
    message.head.status().unwrap()
}

pub fn json(message: &Message) -> serde_json::Value {
    serde_json::from_slice(&message.body).unwrap()
}

pub fn text(message: &Message) -> String {
    String::from_utf8_lossy(&message.body).trim().to_string()
}

/// What a scripted server answers.
pub struct ScriptedAnswer {
    /// Further header fields, each with its line's end.
    pub fields: String,
    pub body: Vec<u8>,
}

/// A server that answers each target as a script says; none is no answer at all.
pub fn scripted(script: impl Fn(&str) -> Option<String> + 'static) -> SocketAddr {
    scripted_bytes(move |target| {
        script(target).map(|body| ScriptedAnswer { fields: String::new(), body: body.into_bytes() })
    })
}

/// The same with header fields and bodies of bytes.
pub fn scripted_bytes(script: impl Fn(&str) -> Option<ScriptedAnswer> + 'static) -> SocketAddr {
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

async fn serve_script(mut stream: TcpStream, script: Rc<impl Fn(&str) -> Option<ScriptedAnswer>>) {
    let mut reader = MessageReader::new(request_framing);
    while let Some(request) = next_message(&mut stream, &mut reader).await {
        let target = request.head.start_line.split(' ').nth(1).unwrap_or_default();
        let Some(ScriptedAnswer { fields, body }) = script(target) else { continue };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{fields}\r\n", body.len());
        if stream.write_all(&[head.as_bytes(), &body].concat()).await.is_err() {
            return;
        }
    }
}

/// Hands bytes on between followers and a server, and counts them.
pub struct Relay {
    pub address: SocketAddr,
    to_server: Rc<Cell<u64>>,
    to_follower: Rc<Cell<u64>>,
}

impl Relay {
    pub fn start(server: SocketAddr) -> Relay {
        let listener = std::net::TcpListener::bind(any_address()).unwrap();
        listener.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(listener).unwrap();
        let address = listener.local_addr().unwrap();
        let (to_server, to_follower) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        let (up, down) = (to_server.clone(), to_follower.clone());
        spawn_local(async move {
            while let Ok((follower, _)) = listener.accept().await {
                let (follower_reads, follower_writes) = follower.into_split();
                let (server_reads, server_writes) = TcpStream::connect(server).await.unwrap().into_split();
                spawn_local(hand_on(follower_reads, server_writes, up.clone()));
                spawn_local(hand_on(server_reads, follower_writes, down.clone()));
            }
        });
        Relay { address, to_server, to_follower }
    }

    /// What went to the server, and what came from it.
    pub fn bytes(&self) -> (u64, u64) {
        (self.to_server.get(), self.to_follower.get())
    }
}

async fn hand_on(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, bytes: Rc<Cell<u64>>) {
    let mut room = vec![0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut room).await {
        bytes.set(bytes.get() + count as u64);
        if to.write_all(&room[..count]).await.is_err() {
            return;
        }
    }
}

/// A parameter of a target.
pub fn parameter<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query
        .split('&')
        .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
        .map(|(_, value)| value)
}
