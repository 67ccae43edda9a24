//! A test double: a control server with a fault on purpose, which its followers have to notice and repair. The real
//! server stands behind it, and it changes some of that one's answers on their way.

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

/// One in so many of the answers that could be spoilt is.
const SPOILT_ONE_IN: u64 = 3;
const CHANGES_PATH: &str = "/control/changes?";

#[derive(Parser)]
struct Arguments {
    fault: Fault,
    /// The options file of the real server
    options: PathBuf,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Fault {
    /// A change is missing from an answer.
    Drops,
    /// Changes come in the wrong order.
    Reorders,
}

struct Spoiler {
    fault: Fault,
    server: SocketAddr,
    /// How many answers could have been spoilt so far.
    chances: Cell<u64>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let played = runtime.and_then(|runtime| LocalSet::new().block_on(&runtime, play(&arguments)));
    match played {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn play(arguments: &Arguments) -> io::Result<()> {
    let mut options = ServerOptions::from_file(&arguments.options).map_err(|faults| {
        io::Error::other(faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
    })?;
    let listener = TcpListener::bind(options.listen_address).await?;
    let free = TcpListener::bind((options.listen_address.ip(), 0)).await?;
    options.listen_address = free.local_addr()?;
    drop(free);
    let (fault, server) = (arguments.fault, options.listen_address);
    let spoiler = Rc::new(Spoiler { fault, server, chances: Cell::new(0) });
    tokio::select! {
        served = serve(options) => served,
        accepted = accept(listener, spoiler) => accepted,
    }
}

async fn accept(listener: TcpListener, spoiler: Rc<Spoiler>) -> io::Result<()> {
    loop {
        let (follower, _) = listener.accept().await?;
        let spoiler = spoiler.clone();
        spawn_local(async move {
            // A connection that fails is closed, and its follower comes again.
            let _closed = spoiler.forward(follower).await;
        });
    }
}

impl Spoiler {
    async fn forward(&self, follower: TcpStream) -> io::Result<()> {
        let mut server = HttpConnection::new(TcpStream::connect(self.server).await?);
        let mut follower = HttpConnection::new(follower);
        while let Some(request) = follower.read_request().await? {
            server.write(&format!("GET {} HTTP/1.1\r\nHost: planted\r\n\r\n", request.path)).await?;
            let Some(message) = server.read_response().await? else { return Ok(()) };
            let body = self.body(&request, &message);
            follower.write(&format_response(message.status, "", &body)).await?;
        }
        Ok(())
    }

    fn body(&self, request: &Message, message: &Message) -> String {
        let is_changes = request.path.starts_with(CHANGES_PATH) && message.status == 200;
        let spoilt = is_changes.then(|| self.spoilt(&message.body)).flatten();
        spoilt.unwrap_or_else(|| message.body.clone())
    }

    /// The answer with the fault; none where it has no room for it or is not due.
    fn spoilt(&self, body: &str) -> Option<String> {
        let mut answer: ChangesResponse = serde_json::from_str(body).ok()?;
        let least = match self.fault {
            Fault::Drops => 1,
            Fault::Reorders => 2,
        };
        if answer.changes.len() < least {
            return None;
        }
        let chance = self.chances.get();
        self.chances.set(chance + 1);
        if !chance.is_multiple_of(SPOILT_ONE_IN) {
            return None;
        }
        match self.fault {
            Fault::Drops => drop(answer.changes.remove(0)),
            Fault::Reorders => answer.changes.reverse(),
        }
        serde_json::to_string(&answer).ok()
    }
}
