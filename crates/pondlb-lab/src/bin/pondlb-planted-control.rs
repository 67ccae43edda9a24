//! A test double: a control server with a deliberate fault, which its followers have to notice and repair. It is a proxy
//! that alters some of the responses of the real server behind it.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use clap::{Parser, ValueEnum};
use pondlb_control::ChangesResponse;
use pondlb_control_net::{ServerOptions, serve};
use pondlb_lab::http::{HttpConnection, Message, format_response};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

/// Of the responses that could be altered, one in this many is.
const ALTERED_ONE_IN: u64 = 3;
const CHANGES_PATH: &str = "/control/changes?";

#[derive(Parser)]
struct Arguments {
    /// What is wrong with some responses
    fault: Fault,
    /// The options file of the real server
    options: PathBuf,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Fault {
    /// A change is missing from a response.
    Drops,
    /// The changes of a response are in reverse order.
    Reorders,
}

struct FaultyProxy {
    fault: Fault,
    /// Where the real server listens.
    server: SocketAddr,
    /// How many responses could have been altered so far.
    alterable_count: Cell<u64>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = runtime.and_then(|runtime| LocalSet::new().block_on(&runtime, run(&arguments)));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the real server on a free port and the proxy on the port of its options.
async fn run(arguments: &Arguments) -> io::Result<()> {
    let mut options = ServerOptions::from_file(&arguments.options).map_err(|errors| {
        io::Error::other(errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
    })?;
    let listener = TcpListener::bind(options.listen_address).await?;
    let free_port = TcpListener::bind((options.listen_address.ip(), 0)).await?;
    options.listen_address = free_port.local_addr()?;
    drop(free_port);
    let (fault, server) = (arguments.fault, options.listen_address);
    let proxy = Rc::new(FaultyProxy { fault, server, alterable_count: Cell::new(0) });
    tokio::select! {
        served = serve(options) => served,
        accepted = accept(listener, proxy) => accepted,
    }
}

async fn accept(listener: TcpListener, proxy: Rc<FaultyProxy>) -> io::Result<()> {
    loop {
        let (follower, _) = listener.accept().await?;
        let proxy = proxy.clone();
        spawn_local(async move {
            // A connection that fails is closed, and its follower reconnects.
            let _ = proxy.forward(follower).await;
        });
    }
}

impl FaultyProxy {
    /// Passes a follower's requests on to the real server, and its responses back.
    async fn forward(&self, follower: TcpStream) -> io::Result<()> {
        let mut server = HttpConnection::new(TcpStream::connect(self.server).await?);
        let mut follower = HttpConnection::new(follower);
        while let Some(request) = follower.read_request().await? {
            server.write(&format!("GET {} HTTP/1.1\r\nHost: planted\r\n\r\n", request.path)).await?;
            let Some(response) = server.read_response().await? else { return Ok(()) };
            let body = self.response_body(&request, &response);
            follower.write(&format_response(response.status, "", &body)).await?;
        }
        Ok(())
    }

    fn response_body(&self, request: &Message, response: &Message) -> String {
        let has_changes = request.path.starts_with(CHANGES_PATH) && response.status == 200;
        let altered = has_changes.then(|| self.alter(&response.body)).flatten();
        altered.unwrap_or_else(|| response.body.clone())
    }

    /// The body with the fault; `None` if it holds too few changes for the fault, or if it is not its turn.
    fn alter(&self, body: &str) -> Option<String> {
        let mut response: ChangesResponse = serde_json::from_str(body).ok()?;
        let min_changes = match self.fault {
            Fault::Drops => 1,
            Fault::Reorders => 2,
        };
        if response.changes.len() < min_changes {
            return None;
        }
        let count = self.alterable_count.get();
        self.alterable_count.set(count + 1);
        if !count.is_multiple_of(ALTERED_ONE_IN) {
            return None;
        }
        match self.fault {
            Fault::Drops => drop(response.changes.remove(0)),
            Fault::Reorders => response.changes.reverse(),
        }
        serde_json::to_string(&response).ok()
    }
}
