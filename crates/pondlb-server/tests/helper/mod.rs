//! Starts the balancer program and its peers on loopback sockets: test upstreams, a test discovery server and clients.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, SockRef, Socket, Type};

/// How long a test waits for an event before it fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(5);

/// An HTTP request or answer.
#[derive(Clone, Debug)]
pub struct Message {
    /// When its first byte was read.
    pub received_at: Instant,
    /// The start line and the fields; lines end in LF.
    pub head: String,
    pub body: String,
}

impl Message {
    /// The status code of an answer.
    pub fn status(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }

    /// The value of the first field with this name.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (field_name, value) = line.split_once(':')?;
            field_name.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }
}

/// Reads one message, whose body has the length of its Content-Length field. `None` if the connection ends first.
pub fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut byte = [0];
    stream.read_exact(&mut byte).ok()?;
    let received_at = Instant::now();
    let mut head = byte.to_vec();
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap().replace('\r', "");
    let mut message = Message { received_at, head, body: String::new() };
    let length = message.field("Content-Length").map_or(0, |length| length.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    message.body = String::from_utf8(body).unwrap();
    Some(message)
}

/// What a test upstream does with each request that it has read in full.
#[derive(Clone, Copy)]
pub enum UpstreamBehavior {
    /// Writes these bytes and keeps the connection.
    Answer(&'static str),
    /// Writes these bytes and closes the connection after a delay in milliseconds.
    AnswerAndClose(&'static str, u64),
    /// Resets the connection without an answer.
    Reset,
    /// Never answers; keeps the connection until the peer closes it.
    Silent,
    /// Answers with the next text that the test sends to [`Upstream::answers`].
    AnswerOnDemand,
    /// Never answers load probes; writes these bytes for other requests.
    IgnoreLoadProbes(&'static str),
}

/// A response with the body "hello".
pub const HELLO_RESPONSE: &str = "HTTP/1.1 200 OK\r\nX-Answer: yes\r\nContent-Length: 5\r\n\r\nhello";

/// Answers with [`HELLO_RESPONSE`].
pub const ANSWER_HELLO: UpstreamBehavior = UpstreamBehavior::Answer(HELLO_RESPONSE);

/// What a test upstream sees on its connections.
#[derive(Debug)]
pub enum UpstreamEvent {
    Connected,
    Request(Message),
    /// The balancer closed a connection.
    Closed,
}

/// A test upstream, which serves each connection in a thread of its own.
pub struct Upstream {
    pub address: SocketAddr,
    /// What the upstream saw and no test has taken yet.
    pub events: Receiver<UpstreamEvent>,
    /// Takes the texts that an upstream with [`UpstreamBehavior::AnswerOnDemand`] answers with.
    pub answers: Sender<&'static str>,
}

impl Upstream {
    /// Starts an upstream that does the same with each request.
    pub fn start(behavior: UpstreamBehavior) -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (event_sender, events) = channel();
        let (answers, answer_receiver) = channel();
        let answer_receiver = Arc::new(Mutex::new(answer_receiver));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (event_sender, answer_receiver) = (event_sender.clone(), answer_receiver.clone());
                thread::spawn(move || {
                    Self::serve(stream.unwrap(), behavior, &event_sender, &answer_receiver)
                });
            }
        });
        Upstream { address, events, answers }
    }

    fn serve(
        mut stream: TcpStream,
        behavior: UpstreamBehavior,
        event_sender: &Sender<UpstreamEvent>,
        answer_receiver: &Mutex<Receiver<&'static str>>,
    ) {
        // The receiver is gone where the test has ended.
        let _ = event_sender.send(UpstreamEvent::Connected);
        while let Some(request) = read_message(&mut stream) {
            let is_load_probe = request.head.starts_with("GET /load ");
            let _ = event_sender.send(UpstreamEvent::Request(request));
            match behavior {
                UpstreamBehavior::IgnoreLoadProbes(_) if is_load_probe => {}
                UpstreamBehavior::IgnoreLoadProbes(text) | UpstreamBehavior::Answer(text) => {
                    let _ = stream.write_all(text.as_bytes());
                }
                UpstreamBehavior::AnswerAndClose(text, delay_ms) => {
                    let _ = stream.write_all(text.as_bytes());
                    thread::sleep(Duration::from_millis(delay_ms));
                    return;
                }
                UpstreamBehavior::Reset => {
                    let socket = SockRef::from(&stream);
                    return socket.set_linger(Some(Duration::ZERO)).unwrap();
                }
                UpstreamBehavior::Silent => {}
                UpstreamBehavior::AnswerOnDemand => {
                    let Ok(answer) = answer_receiver.lock().unwrap().recv() else { return };
                    let _ = stream.write_all(answer.as_bytes());
                }
            }
        }
        let _ = event_sender.send(UpstreamEvent::Closed);
    }

    /// Takes the next event; fails the test if there is none within [`WAIT_TIMEOUT`].
    pub fn next_event(&self) -> UpstreamEvent {
        self.events.recv_timeout(WAIT_TIMEOUT).expect("the upstream sees an event within the timeout")
    }

    /// Takes all events so far and returns the ids of their requests, or the head of a request without an id.
    pub fn take_request_ids(&self) -> Vec<String> {
        let requests = self.take_requests().into_iter();
        requests.map(|request| request.field("Req-Id").unwrap_or(&request.head).into()).collect()
    }

    /// Takes all events so far and returns their requests.
    pub fn take_requests(&self) -> Vec<Message> {
        let requests = self.events.try_iter().filter_map(|event| match event {
            UpstreamEvent::Request(request) => Some(request),
            _ => None,
        });
        requests.collect()
    }
}

/// An address that refuses connections. Its socket stays bound for as long as the process runs, so that the system
/// gives the address to no listener of another test.
pub fn refusing_address() -> SocketAddr {
    let (socket, address) = bound_socket();
    std::mem::forget(socket);
    address
}

/// A bound socket, whose address refuses connections until [`start_listening`] is called.
pub fn bound_socket() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}

/// Accepts the next connection; fails the test if there is none within [`WAIT_TIMEOUT`].
pub fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let start = Instant::now();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
                return stream;
            }
            Err(_) => assert!(start.elapsed() < WAIT_TIMEOUT, "a connection arrives within the timeout"),
        }
        thread::sleep(Duration::from_millis(1));
    }
}

/// Lets a bound socket accept connections from now on.
pub fn start_listening(socket: Socket) -> TcpListener {
    socket.listen(64).unwrap();
    socket.into()
}

/// A listener that neither accepts nor refuses connections, because its accept backlog is full. To a client it looks
/// like a machine that the network no longer reaches.
pub struct FullBacklogListener {
    pub address: SocketAddr,
    listener: Socket,
    /// Connections that fill the backlog.
    fillers: Vec<Socket>,
}

impl FullBacklogListener {
    /// Accepts connections from now on. A connection that a client began before is established when the client's system
    /// sends its next SYN, one second after the first.
    pub fn open(self) -> TcpListener {
        drop(self.fillers);
        let listener: TcpListener = self.listener.into();
        SockRef::from(&listener).listen(64).unwrap();
        listener
    }
}

/// Starts a [`FullBacklogListener`].
pub fn full_backlog_listener() -> FullBacklogListener {
    let new_socket = || Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let listener = new_socket();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap();
    let fillers: Vec<Socket> = (0..4).map(|_| new_socket()).collect();
    for filler in &fillers {
        filler.set_nonblocking(true).unwrap();
        // A nonblocking connect returns an error while it is in progress.
        let _ = filler.connect(&address);
    }
    FullBacklogListener { address: address.as_socket().unwrap(), listener, fillers }
}

/// A call that the test discovery server has received.
pub struct DiscoveryCall {
    pub request_line: String,
    pub received_at: Instant,
}

/// The state of a test discovery server.
#[derive(Default)]
pub struct DiscoveryState {
    /// The answer to the call that waits, or to the next one.
    pub next_answer: Option<String>,
    pub calls: Vec<DiscoveryCall>,
    /// When each call was answered.
    pub answered_at: Vec<Instant>,
}

/// A test discovery server that holds each call until the test provides its answer.
pub struct Discovery {
    pub address: SocketAddr,
    pub state: Arc<Mutex<DiscoveryState>>,
}

impl Discovery {
    pub fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(DiscoveryState::default()));
        let shared_state = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (state, mut stream) = (shared_state.clone(), stream.unwrap());
                thread::spawn(move || {
                    while let Some(call) = read_message(&mut stream) {
                        let request_line = call.head.lines().next().unwrap_or_default().to_string();
                        let call = DiscoveryCall { request_line, received_at: Instant::now() };
                        state.lock().unwrap().calls.push(call);
                        let answer = loop {
                            if let Some(answer) = state.lock().unwrap().next_answer.take() {
                                break answer;
                            }
                            thread::sleep(Duration::from_millis(5));
                        };
                        if stream.write_all(answer.as_bytes()).is_err() {
                            return;
                        }
                        state.lock().unwrap().answered_at.push(Instant::now());
                    }
                });
            }
        });
        Discovery { address, state }
    }

    /// Answers the call that waits, or the next one, with these bytes. Returns once a call has taken them.
    pub fn answer_call(&self, bytes: &str) {
        self.state.lock().unwrap().next_answer = Some(bytes.into());
        wait_until("discovery is called", || self.state.lock().unwrap().next_answer.is_none());
    }

    /// Answers the call that waits, or the next one, with a list of upstreams.
    pub fn answer_with_list(&self, list: &str) {
        self.answer_call(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()));
    }
}

/// Polls a condition until it holds; fails the test after [`WAIT_TIMEOUT`].
pub fn wait_until(condition: &str, is_met: impl Fn() -> bool) {
    let start = Instant::now();
    while !is_met() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting until {condition}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A list in discovery's format. The upstreams are named by their ports and are all in the same state. A list that is
/// not full holds only changes.
pub fn upstream_list(version: u64, is_full: bool, state: &str, addresses: &[SocketAddr]) -> String {
    let mut targets = String::new();
    for (n, address) in addresses.iter().enumerate() {
        let comma = if n > 0 { "," } else { "" };
        write!(
            targets,
            r#"{comma}{{"uid":"u{}","endpoint":"{address}","az":"a","model":"m1","pod_group":0,
            "state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#,
            address.port()
        )
        .unwrap();
    }
    format!(r#"{{"rev":{version},"all":{is_full},"targets":[{targets}]}}"#)
}

/// A full list of many upstreams, each given by its number and address.
pub fn long_upstream_list(version: u64, upstreams: impl Iterator<Item = (usize, SocketAddr)>) -> String {
    let targets = upstreams.map(|(n, address)| {
        format!(
            r#"{{"uid":"s{n}","endpoint":"{address}","az":"a","model":"m1","state":"active","capacity_hint":1}}"#
        )
    });
    let targets: Vec<String> = targets.collect();
    format!(r#"{{"rev":{version},"all":true,"targets":[{}]}}"#, targets.join(","))
}

/// How the program is started.
pub struct BalancerOptions {
    /// The upstreams of the configuration's known list, which is used until a newer list arrives.
    pub known: Vec<SocketAddr>,
    /// The address of the discovery server.
    pub discovery: SocketAddr,
    /// The setting `limits.memory_mb`.
    pub memory_mb: u64,
    /// The setting `limits.sockets`, which bounds the connections.
    pub sockets: u64,
    /// The setting `ConnIdleNs`, in milliseconds: how long a connection to an upstream may stay idle.
    pub conn_idle_ms: u64,
    /// The process's limit of open file descriptors.
    pub max_descriptors: u64,
    /// The setting `Discovery`: how the simulator delivers lists.
    pub discovery_mode: &'static str,
    /// The addresses of control servers to follow in place of discovery.
    pub control_servers: Option<Vec<String>>,
}

impl BalancerOptions {
    /// The defaults, with these upstreams in the known list and a discovery server that cannot be reached.
    pub fn new(upstreams: &[&Upstream]) -> BalancerOptions {
        let known = upstreams.iter().map(|upstream| upstream.address).collect();
        BalancerOptions {
            known,
            discovery: refusing_address(),
            memory_mb: 192,
            sockets: 1024,
            conn_idle_ms: 15_000,
            max_descriptors: 1024,
            discovery_mode: "ask",
            control_servers: None,
        }
    }

    /// The text of the configuration file.
    pub fn configuration(&self) -> String {
        let sources = match &self.control_servers {
            Some(servers) => format!(r#""control":{{"servers":{servers:?},"hold_ms":300}}"#),
            None => format!(r#""discovery":"{}""#, self.discovery),
        };
        let BalancerOptions { memory_mb, sockets, conn_idle_ms, discovery_mode, .. } = self;
        let known = upstream_list(0, true, "active", &self.known);
        let class = |name: &str, effect: &str| {
            format!(
                r#"{{"Name":"{name}","Effect":"{effect}","SlaTimeNs":1500000000,"ExpiryNs":2000000000,
            "Value":1.0}}"#
            )
        };
        format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0",{sources},"seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{known},"settings":{{
            "Balancers":1,"SelfIndex":0,"Discovery":"{discovery_mode}","ExcessValue":0.1,"MyZone":0,"Zones":["a"],
            "MachineTypes":["m1"],"Reporting":{{"Fields":["lat_ms","rif"]}},
            "Limits":{{"Cancelling":true,"ConnIdleNs":{conn_idle_ms}000000,"DialTimeoutNs":250000000,"MaxOpen":20000,
            "MaxPostings":3,"MaxRetryAfterNs":2000000000,"RetryAfter":true,"SecondCopies":true}},
            "Rules":{{"ColdShare":0.3,"DrainGraceNs":500000000,"FallMultiple":4.0,"FallNs":2000000000,
            "MustAskInNs":10000000000,"WarmWithinNs":8900000000}},
            "Schemes":[{},{}]}}}}"#,
            class("browse", "idempotent"),
            class("order", "at_most_once")
        )
    }

    /// Starts the program with [`BalancerOptions::configuration`].
    pub fn start(&self) -> Balancer {
        self.start_with(&self.configuration())
    }

    /// Starts the program with another configuration and waits until it listens.
    pub fn start_with(&self, configuration: &str) -> Balancer {
        let file = write_configuration(configuration);
        let (mut child, log) = launch(&file, self.max_descriptors);
        let mut log_lines = BufReader::new(log).lines();
        let address = loop {
            let line = log_lines.next().expect("the program logs the address that it listens on").unwrap();
            if let Some((_, rest)) = line.split_once("listens on ") {
                break rest.split(": ").next().unwrap().parse().unwrap();
            }
        };
        let log_reader =
            thread::spawn(move || log_lines.map_while(Result::ok).collect::<Vec<_>>().join("\n"));
        assert!(child.try_wait().unwrap().is_none());
        Balancer { child, file, address, log_reader: Some(log_reader) }
    }
}

/// Writes a configuration to a new file.
pub fn write_configuration(configuration: &str) -> PathBuf {
    static NEXT_FILE_NUMBER: Mutex<u32> = Mutex::new(0);
    let number = {
        let mut next = NEXT_FILE_NUMBER.lock().unwrap();
        *next += 1;
        *next
    };
    let name = format!("pondlb-test-{}-{number}.json", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, configuration).unwrap();
    path
}

/// Starts the program with a limit of open file descriptors. Returns the process and a reader of its log.
pub fn launch(file: &Path, max_descriptors: u64) -> (Child, impl Read + Send + use<>) {
    let program = env!("CARGO_BIN_EXE_pondlb-server");
    let mut child = Command::new("/bin/sh")
        .args(["-c", &format!("ulimit -n {max_descriptors}; exec {program}")])
        .env_clear()
        .env("RELAY_CONFIG", file)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let log = child.stderr.take().unwrap();
    (child, log)
}

/// A running balancer process, which is killed when this is dropped.
pub struct Balancer {
    child: Child,
    /// The configuration file.
    file: PathBuf,
    pub address: SocketAddr,
    /// Collects the log that is written after the start.
    log_reader: Option<thread::JoinHandle<String>>,
}

impl Balancer {
    /// Opens a client connection.
    pub fn connect(&self) -> Client {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Client { stream }
    }

    /// Sends one request on a new connection and returns its answer.
    pub fn request(&self, id: &str, class: &str) -> Message {
        self.connect().request(id, class)
    }

    /// The status code of the health check.
    pub fn health_status(&self) -> String {
        let mut client = self.connect();
        client.send("GET /_health HTTP/1.1\r\nHost: b\r\n\r\n");
        client.read().expect("the health check is answered").status().into()
    }

    /// Replaces the configuration file and sends SIGHUP, at which the program reloads it.
    pub fn reconfigure(&self, configuration: &str) {
        std::fs::write(&self.file, configuration).unwrap();
        self.signal("HUP");
    }

    /// Sends a signal, given by its name without SIG.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        let status = Command::new("/bin/sh").args(["-c", &kill]).status().unwrap();
        assert!(status.success());
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits until the process exits. Returns its exit status and all that it logged after it began to listen.
    pub fn wait_for_exit(mut self) -> (ExitStatus, String) {
        let status = self.child.wait().unwrap();
        (status, self.log_reader.take().unwrap().join().unwrap())
    }

    /// Sends SIGTERM; the program has to exit with success, and its log has to contain all these texts.
    pub fn terminate_and_expect_log(self, expected: &[&str]) {
        self.signal("TERM");
        let (status, log) = self.wait_for_exit();
        assert!(status.success());
        expected.iter().for_each(|text| assert!(log.contains(text), "{text}: {log}"));
    }

    /// The process's peak resident memory, in KiB.
    pub fn peak_resident_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.split_whitespace().next().unwrap().parse().unwrap()
    }

    /// The processor time that the process has used, in clock ticks of the system.
    pub fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }
}

/// Measures elapsed time without the time that the balancer or the test was ready to run and waited for a processor, so
/// that bounds on it also hold on a busy machine. On an idle machine it measures the plain elapsed time.
pub struct Stopwatch<'a> {
    balancer: &'a Balancer,
    start: Instant,
    processor_wait_at_start: Duration,
}

impl Stopwatch<'_> {
    pub fn start(balancer: &Balancer) -> Stopwatch<'_> {
        Stopwatch { balancer, start: Instant::now(), processor_wait_at_start: Self::processor_wait(balancer) }
    }

    /// The time since the start, without waits for a processor.
    pub fn elapsed(&self) -> Duration {
        let elapsed = self.start.elapsed();
        elapsed.saturating_sub(Self::processor_wait(self.balancer) - self.processor_wait_at_start)
    }

    /// How long the balancer, which has one thread, and this thread have waited for a processor since they were
    /// started.
    fn processor_wait(balancer: &Balancer) -> Duration {
        run_queue_wait(&balancer.child.id().to_string()) + run_queue_wait("thread-self")
    }
}

/// The time that a process has waited on a run queue: the second number of its `schedstat`, or zero where the kernel
/// keeps no such statistics.
fn run_queue_wait(process: &str) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{process}/schedstat")).unwrap_or_default();
    let nanoseconds = stat.split_whitespace().nth(1).map_or(0, |number| number.parse().unwrap());
    Duration::from_nanos(nanoseconds)
}

impl Drop for Balancer {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Whether the peer has closed this connection, on which nothing must be unread.
pub fn is_closed_by_peer(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let is_closed = matches!(stream.peek(&mut [0]), Ok(0));
    stream.set_nonblocking(false).unwrap();
    is_closed
}

/// Waits until the peer closes this connection, on which bytes may be unread. Returns the last instant at which the
/// connection was seen open, which precedes the close however late the test notices it.
pub fn wait_for_close(stream: &TcpStream) -> Instant {
    let clone = stream.try_clone().unwrap();
    clone.set_nonblocking(true).unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let last_seen_open = runtime.block_on(async {
        let watched = tokio::net::TcpStream::from_std(clone).unwrap();
        let start = Instant::now();
        let mut last_seen_open = start;
        loop {
            let checked_at = Instant::now();
            // Unread bytes would complete an interest in reading at once; with this interest only the close is
            // reported.
            let readiness =
                tokio::time::timeout(CLOSE_POLL_INTERVAL, watched.ready(tokio::io::Interest::PRIORITY)).await;
            if readiness.is_ok_and(|ready| ready.unwrap().is_read_closed()) {
                return last_seen_open;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "the peer closes the connection within the timeout");
            last_seen_open = checked_at;
        }
    });
    stream.set_nonblocking(false).unwrap();
    last_seen_open
}

/// How often [`wait_for_close`] checks that the connection is still open.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A client connection to a balancer or a control server.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// Reads the next answer. `None` if the connection ends before it is complete.
    pub fn read(&mut self) -> Option<Message> {
        read_message(&mut self.stream)
    }

    /// The text of a request whose deadline is `deadline_ms` milliseconds away.
    pub fn request_text(id: &str, class: &str, deadline_ms: u64) -> String {
        format!(
            "POST /api?x=1 HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\n\
             Req-Deadline: {deadline_ms}m\r\nContent-Length: 4\r\n\r\nwork"
        )
    }

    /// Sends a request with a deadline of two seconds and returns its answer.
    pub fn request(&mut self, id: &str, class: &str) -> Message {
        self.send(&Client::request_text(id, class, 2000));
        self.read().expect("an answer")
    }

    /// Sends a request with this deadline. Returns false if the connection ends before its answer.
    pub fn try_request(&mut self, id: &str, deadline_ms: u64) -> bool {
        self.stream.write_all(Client::request_text(id, "order", deadline_ms).as_bytes()).is_ok()
            && self.read().is_some()
    }

    /// Whether neither an answer nor the end of the connection has arrived so far.
    pub fn has_received_nothing(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).unwrap();
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Whether the balancer closes this connection within [`WAIT_TIMEOUT`], with no further byte.
    pub fn closes_within_timeout(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0))
    }
}
