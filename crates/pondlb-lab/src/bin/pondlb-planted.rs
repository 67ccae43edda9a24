//! A test double: a balancer with a deliberate fault, named by its argument, which the judge has to find. With any
//! other argument, such as `honest`, it is a plain round robin in which the judge must find nothing.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use pondlb_lab::http::{HttpConnection, Message, format_response};
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

/// How often the list of upstreams is fetched.
const LIST_INTERVAL: Duration = Duration::from_millis(100);
/// `crashes`: the request at which the process exits, counted from 0.
const CRASH_REQUEST: usize = 20;
/// `parks`: how long a request is kept waiting before it is rejected.
const PARK_DURATION: Duration = Duration::from_millis(850);
/// `loses`: one request in this many is never answered.
const LOST_ONE_IN: usize = 10;
/// `posts-after`: how long after the response the request is sent to an upstream again.
const LATE_ATTEMPT_DELAY: Duration = Duration::from_millis(200);

/// An upstream of discovery's list.
#[derive(Clone, Copy)]
struct Target {
    address: SocketAddr,
    is_leaving: bool,
    /// When its process started, in milliseconds since the Unix epoch.
    started_ms: u64,
}

struct FaultyBalancer {
    fault: String,
    targets: RefCell<Vec<Target>>,
    /// The number of the next request.
    next_request: Cell<usize>,
    /// `swaps`: the body of the last response, which is sent in place of the next one.
    last_body: RefCell<String>,
}

fn main() -> ExitCode {
    let fault = std::env::args().nth(1).unwrap_or_default();
    let config = std::env::var("RELAY_CONFIG").ok().and_then(|path| std::fs::read_to_string(path).ok());
    let config = config.and_then(|text| serde_json::from_str::<Value>(&text).ok());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let (Some(config), Ok(runtime)) = (config, runtime) else { return ExitCode::FAILURE };
    match LocalSet::new().block_on(&runtime, serve(&config, fault)) {
        Some(()) => ExitCode::SUCCESS,
        None => ExitCode::FAILURE,
    }
}

async fn serve(config: &Value, fault: String) -> Option<()> {
    let listener = TcpListener::bind(config["listen"].as_str()?).await.ok()?;
    let discovery: SocketAddr = config["discovery"].as_str()?.parse().ok()?;
    let balancer = Rc::new(FaultyBalancer {
        fault,
        targets: RefCell::new(parse_targets(&config["known"])),
        next_request: Cell::new(0),
        last_body: RefCell::default(),
    });
    spawn_local(balancer.clone().follow_discovery(discovery));
    loop {
        let (stream, _) = listener.accept().await.ok()?;
        let balancer = balancer.clone();
        spawn_local(async move {
            let mut connection = HttpConnection::new(stream);
            while let Ok(Some(request)) = connection.read_request().await {
                let response = balancer.respond(&request).await;
                if connection.write(&response).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// The upstreams of discovery's list; malformed ones are left out.
fn parse_targets(list: &Value) -> Vec<Target> {
    let parse = |target: &Value| {
        Some(Target {
            address: target["endpoint"].as_str()?.parse().ok()?,
            is_leaving: target["state"] == "leaving",
            started_ms: target["boot_ms"].as_u64()?,
        })
    };
    list["targets"].as_array().into_iter().flatten().filter_map(parse).collect()
}

impl FaultyBalancer {
    /// Fetches the list periodically. Never returns.
    async fn follow_discovery(self: Rc<Self>, discovery: SocketAddr) {
        loop {
            sleep(LIST_INTERVAL).await;
            let Ok(stream) = TcpStream::connect(discovery).await else { continue };
            let mut connection = HttpConnection::new(stream);
            let written = connection.write("GET /catalog/members HTTP/1.1\r\nHost: d\r\n\r\n").await;
            if let (Ok(()), Ok(Some(list))) = (written, connection.read_response().await) {
                let targets = parse_targets(&serde_json::from_str(&list.body).unwrap_or_default());
                self.targets.replace(targets);
            }
        }
    }

    /// The response to a request, as the fault has it.
    async fn respond(&self, request: &Message) -> String {
        if request.path == "/_health" {
            return format_response(200, "", "");
        }
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        match &*self.fault {
            "crashes" if number == CRASH_REQUEST => std::process::exit(3),
            "parks" => {
                sleep(PARK_DURATION).await;
                return format_response(503, "", "");
            }
            "loses" if number % LOST_ONE_IN == LOST_ONE_IN - 1 => std::future::pending().await,
            _ => {}
        }
        let Some(address) = self.choose(number) else { return format_response(503, "", "") };
        let other = self.targets.borrow().iter().find(|target| target.address != address).copied();
        let other = other.map_or(address, |target| target.address);
        // The laboratory's clients send this body with every request that must not run twice.
        let is_order = request.body == "order";
        if !is_order && self.fault == "copies" {
            let request = request.clone();
            spawn_local(async move { send_attempt(other, &request).await });
        }
        if self.fault == "asks" && number == 0 {
            probe_load(address).await;
        }
        let mut body = send_attempt(address, request).await;
        if is_order && self.fault == "strays" {
            body = send_attempt(other, request).await;
        }
        if is_order && self.fault == "repeats" {
            body = send_attempt(address, request).await;
        }
        let Some(body) = body else { return format_response(if is_order { 502 } else { 503 }, "", "") };
        if is_order && self.fault == "declines-what-ran" {
            return format_response(503, "", "");
        }
        let response = format_response(200, "", &body);
        match &*self.fault {
            "answers-twice" => response.repeat(2),
            "swaps" => format_response(200, "", &self.last_body.replace(body)),
            "posts-after" => {
                let request = request.clone();
                spawn_local(async move {
                    sleep(LATE_ATTEMPT_DELAY).await;
                    send_attempt(address, &request).await
                });
                response
            }
            _ => response,
        }
    }

    /// The upstream for a request: round robin over those that are not leaving.
    fn choose(&self, number: usize) -> Option<SocketAddr> {
        let targets = self.targets.borrow();
        let uses_leaving = self.fault == "ignores-drains";
        let mut live: Vec<_> = targets.iter().filter(|target| !target.is_leaving || uses_leaving).collect();
        // Sends everything to the upstream that started last.
        if self.fault == "storms" {
            live.sort_by_key(|target| std::cmp::Reverse(target.started_ms));
            live.truncate(1);
        }
        live.get(number % live.len().max(1)).map(|target| target.address)
    }
}

/// Sends a request to an upstream; the body of the response if its status is 200.
async fn send_attempt(address: SocketAddr, request: &Message) -> Option<String> {
    let mut connection = HttpConnection::new(TcpStream::connect(address).await.ok()?);
    let header = |name| request.header(name).unwrap_or_default();
    let head = format!("Req-Id: {}\r\nReq-Cost: {}\r\n", header("Req-Id"), header("Req-Cost"));
    connection.write(&format!("POST /api HTTP/1.1\r\n{head}Content-Length: 0\r\n\r\n")).await.ok()?;
    let response = connection.read_response().await.ok()?;
    response.filter(|response| response.status == 200).map(|response| response.body)
}

/// Asks an upstream for its load.
async fn probe_load(address: SocketAddr) -> Option<Message> {
    let mut connection = HttpConnection::new(TcpStream::connect(address).await.ok()?);
    connection.write("GET /load HTTP/1.1\r\n\r\n").await.ok()?;
    connection.read_response().await.ok()?
}
