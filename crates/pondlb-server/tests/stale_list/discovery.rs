//! A test discovery server that injects faults: it refuses, resets or never answers calls, or sends invalid lists.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use socket2::SockRef;

use crate::MS;
use crate::helper::*;

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
    /// They are answered with 503 after two seconds, as by a proxy whose discovery servers are all down.
    Down,
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
        let state = State { mode: Mode::Answers, version: 2, upstreams, silence_count: 0, call_count: 0 };
        let state = Arc::new(Mutex::new(state));
        let shared_state = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let state = shared_state.clone();
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

fn serve(mut stream: TcpStream, state: &Mutex<State>) {
    let silence_count_at_open = state.lock().unwrap().silence_count;
    while let Some(call) = read_message(&mut stream) {
        let mode = {
            let mut state = state.lock().unwrap();
            state.call_count += 1;
            state.mode
        };
        let answer = match mode {
            Mode::Answers => match wait_for_change(&call, silence_count_at_open, state) {
                Some(answer) => answer,
                None => return hang(&mut stream),
            },
            Mode::Refuses => REFUSED.into(),
            Mode::Resets => return SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap(),
            Mode::SendsInvalidLists => invalid_list(&state.lock().unwrap()),
            Mode::Hangs => return hang(&mut stream),
            Mode::Down => {
                thread::sleep(2000 * MS);
                REFUSED.into()
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
