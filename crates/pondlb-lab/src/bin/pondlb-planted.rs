//! A test double: a balancer with a fault on purpose, named by its argument, that the judge has to find.
//! Without a fault (`honest`) it is a plain round robin, at which nothing may be found.

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

struct Planted {
    fault: String,
    targets: RefCell<Vec<(SocketAddr, bool, u64)>>,
    next: Cell<usize>,
    last: RefCell<String>,
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
    let first = RefCell::new(targets(&config["known"]));
    let planted = Rc::new(Planted { fault, targets: first, next: Cell::new(0), last: RefCell::default() });
    let follower = planted.clone();
    spawn_local(async move {
        loop {
            sleep(Duration::from_millis(100)).await;
            let Ok(stream) = TcpStream::connect(discovery).await else { continue };
            let mut wire = HttpConnection::new(stream);
            let asked = wire.write("GET /catalog/members HTTP/1.1\r\nHost: d\r\n\r\n").await;
            if let (Ok(()), Ok(Some(list))) = (asked, wire.read_response().await) {
                follower.targets.replace(targets(&serde_json::from_str(&list.body).unwrap_or_default()));
            }
        }
    });
    loop {
        let (stream, _) = listener.accept().await.ok()?;
        let planted = planted.clone();
        spawn_local(async move {
            let mut wire = HttpConnection::new(stream);
            while let Ok(Some(request)) = wire.read_request().await {
                let text = planted.answered(&request).await;
                if wire.write(&text).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Address, whether it leaves, when it started.
fn targets(list: &Value) -> Vec<(SocketAddr, bool, u64)> {
    let entry = |t: &Value| {
        Some((t["endpoint"].as_str()?.parse().ok()?, t["state"] == "leaving", t["boot_ms"].as_u64()?))
    };
    list["targets"].as_array().into_iter().flatten().filter_map(entry).collect()
}

impl Planted {
    async fn answered(&self, request: &Message) -> String {
        if request.path == "/_health" {
            return format_response(200, "", "");
        }
        let number = self.next.get();
        self.next.set(number + 1);
        match &*self.fault {
            "crashes" if number == 20 => std::process::exit(3),
            "parks" => {
                sleep(Duration::from_millis(850)).await;
                return format_response(503, "", "");
            }
            "loses" if number % 10 == 9 => std::future::pending().await,
            _ => {}
        }
        let at = {
            let targets = self.targets.borrow();
            let leaving = self.fault == "ignores-drains";
            let mut live: Vec<_> = targets.iter().filter(|t| !t.1 || leaving).collect();
            // All that comes goes to whoever has just started.
            if self.fault == "storms" {
                live.sort_by_key(|t| std::cmp::Reverse(t.2));
                live.truncate(1);
            }
            live.get(number % live.len().max(1)).map(|t| t.0)
        };
        let Some(at) = at else { return format_response(503, "", "") };
        let other = self.targets.borrow().iter().find(|t| t.0 != at).map_or(at, |t| t.0);
        let is_order = request.body == "order";
        if !is_order && self.fault == "copies" {
            let request = request.clone();
            spawn_local(async move { post(other, &request).await });
        }
        if self.fault == "asks" && number == 0 {
            get_load(at).await;
        }
        let mut body = post(at, request).await;
        if is_order && self.fault == "strays" {
            body = post(other, request).await;
        }
        if is_order && self.fault == "repeats" {
            body = post(at, request).await;
        }
        let Some(body) = body else { return format_response(if is_order { 502 } else { 503 }, "", "") };
        if is_order && self.fault == "declines-what-ran" {
            return format_response(503, "", "");
        }
        let text = format_response(200, "", &body);
        match &*self.fault {
            "answers-twice" => text.repeat(2),
            "swaps" => format_response(200, "", &self.last.replace(body)),
            "posts-after" => {
                let request = request.clone();
                spawn_local(async move {
                    sleep(Duration::from_millis(200)).await;
                    post(at, &request).await
                });
                text
            }
            _ => text,
        }
    }
}

async fn post(at: SocketAddr, request: &Message) -> Option<String> {
    let mut wire = HttpConnection::new(TcpStream::connect(at).await.ok()?);
    let field = |name| request.header(name).unwrap_or_default();
    let head = format!("Req-Id: {}\r\nReq-Cost: {}\r\n", field("Req-Id"), field("Req-Cost"));
    wire.write(&format!("POST /api HTTP/1.1\r\n{head}Content-Length: 0\r\n\r\n")).await.ok()?;
    wire.read_response().await.ok()?.filter(|answer| answer.status == 200).map(|answer| answer.body)
}

async fn get_load(at: SocketAddr) -> Option<Message> {
    let mut wire = HttpConnection::new(TcpStream::connect(at).await.ok()?);
    wire.write("GET /load HTTP/1.1\r\n\r\n").await.ok()?;
    wire.read_response().await.ok()?
}
