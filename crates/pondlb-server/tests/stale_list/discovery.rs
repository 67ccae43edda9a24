//! A test discovery server that injects faults: it refuses, resets or never answers calls, or sends invalid lists.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, SockRef, Socket, Type};

use crate::MS;
use crate::crowd::{CallQueue, Crowd, MAX_QUEUE_WAIT};
use crate::helper::*;

/// How a call fails that has waited for too long, in a queue or for a discovery that is down.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// It is answered with 503.
    Status503,
    /// Its connection is reset.
    Reset,
}

/// What happens to calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// They are answered according to the protocol.
    Answers,
    /// They are answered with 503 at once, as by a discovery with too many waiting calls.
    Refuses,
    /// They are reset once they have been read.
    Resets,
    /// They are answered with a list that names an upstream twice.
    SendsInvalidLists,
    /// They are read and never answered.
    Hangs,
    /// They fail after [`MAX_QUEUE_WAIT`], as by a discovery that answers only others, or by a proxy whose discovery
    /// servers are all down.
    FailsLate(Ending),
    /// They fail after this time.
    FailsAfter(Duration, Ending),
    /// They wait for this time before they are worked on, and are answered then.
    AnswersAfter(Duration),
    /// First calls wait for their turn in the queue of [`FaultyDiscovery::admit_crowd`], and fail if they wait for too
    /// long. A watch goes on without a queue.
    Queues(Ending),
}

/// An upstream in the list.
#[derive(Clone, Copy)]
struct ListedUpstream {
    address: SocketAddr,
    /// "active" or "leaving".
    state: &'static str,
}

/// The state of a [`FaultyDiscovery`].
pub struct State {
    pub mode: Mode,
    /// The version of the list.
    version: u64,
    upstreams: Vec<ListedUpstream>,
    /// How often the open connections were silenced. A connection is silent if the count has changed since it was
    /// opened.
    silence_count: u32,
    /// How many calls have been received.
    pub call_count: u64,
    /// How many calls have waited in the queue for too long.
    pub late_failures: u64,
    queue: Option<Arc<CallQueue>>,
    /// Whether the listener is to be closed at the next connection.
    is_stopped: bool,
}

/// A test discovery server that injects faults. It serves each connection in a thread of its own.
pub struct FaultyDiscovery {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl FaultyDiscovery {
    /// Lists these upstreams as active, under a version newer than that of a process's known list.
    pub fn start(upstreams: &[&Upstream]) -> FaultyDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let listed = |upstream: &&Upstream| ListedUpstream { address: upstream.address, state: "active" };
        let upstreams = upstreams.iter().map(listed).collect();
        let state = State {
            mode: Mode::Answers,
            version: 2,
            upstreams,
            silence_count: 0,
            call_count: 0,
            late_failures: 0,
            queue: None,
            is_stopped: false,
        };
        let state = Arc::new(Mutex::new(state));
        let shared_state = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let state = shared_state.clone();
                if state.lock().unwrap().is_stopped {
                    return;
                }
                thread::spawn(move || serve(stream, &state));
            }
        });
        FaultyDiscovery { address, state }
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Stops answering calls on the connections that are open now, including the calls that wait.
    pub fn silence_open_connections(&self) {
        self.state().silence_count += 1;
    }

    /// Sets what happens to calls from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.state().mode = mode;
    }

    /// Lets other balancers call, and first calls wait for their turn from now on.
    pub fn admit_crowd(&self, crowd: Crowd, ending: Ending) {
        let mut state = self.state();
        state.queue = Some(CallQueue::start(crowd));
        state.mode = Mode::Queues(ending);
    }

    /// Refuses connections from now on, as a machine on which no discovery server runs. Open connections are closed at
    /// their next call. The returned socket keeps the address from being given to another listener.
    pub fn stop(&self) -> Socket {
        self.state().is_stopped = true;
        // Wakes the thread that accepts connections.
        drop(TcpStream::connect(self.address).unwrap());
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_reuse_address(true).unwrap();
        wait_until("the listener is closed", || socket.bind(&self.address.into()).is_ok());
        socket
    }

    /// Lists an upstream as draining. Returns when the change was made.
    pub fn drain(&self, upstream: SocketAddr) -> Instant {
        let mut state = self.state();
        state.version += 1;
        let draining = state.upstreams.iter_mut().filter(|listed| listed.address == upstream);
        draining.for_each(|listed| listed.state = "leaving");
        Instant::now()
    }

    /// Waits until the first call has been answered and a watch call is pending.
    pub fn wait_for_watch(&self) {
        wait_until("a watch call is pending", || self.state().call_count >= 2);
    }
}

/// A watch goes on if its next call comes within this time after the last answer.
const WATCH_CALL_WITHIN: Duration = Duration::from_millis(200);

fn serve(mut stream: TcpStream, state: &Mutex<State>) {
    let silence_count_at_open = state.lock().unwrap().silence_count;
    let mut answered_at = None;
    while let Some(call) = read_message(&mut stream) {
        let (mode, queue) = {
            let mut state = state.lock().unwrap();
            if state.is_stopped {
                return;
            }
            state.call_count += 1;
            (state.mode, state.queue.clone())
        };
        let continues_watch = answered_at.is_some_and(|at: Instant| at.elapsed() < WATCH_CALL_WITHIN);
        let failure = match mode {
            Mode::FailsLate(ending) => {
                thread::sleep(MAX_QUEUE_WAIT);
                Some(ending)
            }
            Mode::FailsAfter(wait, ending) => {
                thread::sleep(wait);
                Some(ending)
            }
            Mode::AnswersAfter(wait) => {
                thread::sleep(wait);
                None
            }
            Mode::Queues(ending) if !continues_watch => {
                let is_failed = queue.is_some_and(|queue| !queue.wait_for_turn());
                state.lock().unwrap().late_failures += u64::from(is_failed);
                is_failed.then_some(ending)
            }
            _ => None,
        };
        let answer = match (failure, mode) {
            (Some(Ending::Reset), _) | (None, Mode::Resets) => {
                return SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
            (Some(Ending::Status503), _) | (None, Mode::Refuses) => REFUSED.into(),
            (None, Mode::SendsInvalidLists) => invalid_list(&state.lock().unwrap()),
            (None, Mode::Hangs) => return hang(&mut stream),
            (None, _) => {
                let Some(answer) = wait_for_change(&call, silence_count_at_open, state) else {
                    return hang(&mut stream);
                };
                answered_at = Some(Instant::now());
                answer
            }
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

const REFUSED: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// Reads calls without answering them until the peer closes the connection.
fn hang(stream: &mut TcpStream) {
    while read_message(stream).is_some() {}
    let _ = stream.shutdown(Shutdown::Both);
}

/// The answer to a call: at once if the list has changed since the call's version, else when its hold time has passed.
/// `None` if its connection was silenced meanwhile.
fn wait_for_change(call: &Message, silence_count_at_open: u32, state: &Mutex<State>) -> Option<String> {
    let known_version = parameter(call, "from=").unwrap_or_default();
    let hold_until = Instant::now() + parameter(call, "hold_ms=").unwrap_or_default() as u32 * MS;
    loop {
        {
            let state = state.lock().unwrap();
            if state.silence_count != silence_count_at_open {
                return None;
            }
            let has_changed = state.version > known_version;
            if has_changed || Instant::now() >= hold_until {
                return Some(list_of(&state, has_changed));
            }
        }
        thread::sleep(5 * MS);
    }
}

/// The number that follows a parameter's name in the path of a call.
fn parameter(call: &Message, name: &str) -> Option<u64> {
    let line = call.head.lines().next()?;
    let (_, rest) = line.split_once(name)?;
    rest.split(['&', ' ']).next()?.parse().ok()
}

/// An answer with the full list, or with an empty list of changes.
fn list_of(state: &State, is_full: bool) -> String {
    let targets: Vec<String> = match is_full {
        true => state.upstreams.iter().map(target).collect(),
        false => Vec::new(),
    };
    list_answer(state.version, is_full, &targets)
}

/// An answer with a list that names the first upstream twice.
fn invalid_list(state: &State) -> String {
    let targets: Vec<String> = [state.upstreams[0]; 2].iter().map(target).collect();
    list_answer(state.version, true, &targets)
}

/// An upstream in discovery's format.
fn target(upstream: &ListedUpstream) -> String {
    let ListedUpstream { address, state } = upstream;
    format!(
        r#"{{"uid":"u{}","endpoint":"{address}","az":"a","model":"m1","pod_group":0,"state":"{state}",
        "capacity_hint":1.0,"boot_ms":0}}"#,
        address.port()
    )
}

fn list_answer(version: u64, is_full: bool, targets: &[String]) -> String {
    let body = format!(r#"{{"rev":{version},"all":{is_full},"targets":[{}]}}"#, targets.join(","));
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
