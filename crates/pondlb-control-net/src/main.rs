//! A control server: the origin of the records, or a replica server that follows it.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use pondlb_control_net::{ServerOptions, serve};
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

/// The options file can't be used; a restart would change nothing.
const EXIT_INVALID_OPTIONS: u8 = 2;
/// The machine doesn't let the program serve.
const EXIT_CANNOT_SERVE: u8 = 1;

/// The keys of the options file, as `--help` tells them.
const OPTIONS_HELP: &str = "\
Keys of the options file:
  listen                      address for followers; required
  commit                      origin: address at which changes are committed; no commits without it
  initial                     origin: file of the first records, in the form of a commit, relative to the options file
  epoch                       origin: number of its epoch, greater than any before [the time of the start]
  follow                      replica server: addresses of the control servers that it follows
  hold_ms                     replica server: how long those may wait for news, 10 to 60000 [1000]
  name                        letters, digits, '-', '_', '.'; own name towards those [control-PORT]
  number                      replica server: own number among them; spreads them over those that they follow [0]
  gather_ms                   least time between two answers with news to one follower, 0 to 10000 [200]
  piece_bytes                 most bytes of changes in one answer, 1024 to 1048576 [16384]
  followers                   most connections of followers, 1 to 100000 [2000]
  memory_mb                   what the process may use: half of it for records, an eighth for a commit [256]
  snapshot_pieces_per_second  pieces of 64 KiB of snapshots that are given in a second, 1 to 1000000 [1000]

An origin has commit or initial, a replica server has follow.";

/// A control server of pondlb: distributes upstreams, classes, tenants and limits to balancers.
///
/// Exit codes: 0 ended by SIGTERM or SIGINT, 1 cannot serve, 2 faulty options file.
#[derive(Parser)]
#[command(version, after_help = OPTIONS_HELP)]
struct Arguments {
    /// The options file, in TOML. An origin has `commit` (address for changes) or `initial` (file of the first
    /// records), a replica server has `follow` (addresses of control servers); both have `listen`
    #[arg(value_name = "FILE.toml")]
    options_file: PathBuf,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let level = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(level).format_timestamp_millis().init();
    let options = match ServerOptions::from_file(&arguments.options_file) {
        Ok(options) => options,
        Err(faults) => {
            faults.iter().for_each(|fault| log::error!("{fault}"));
            return ExitCode::from(EXIT_INVALID_OPTIONS);
        }
    };
    let served = Builder::new_current_thread()
        .enable_all()
        .build()
        .and_then(|runtime| LocalSet::new().block_on(&runtime, serve_until_signal(options)));
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::from(EXIT_CANNOT_SERVE)
        }
    }
}

async fn serve_until_signal(options: ServerOptions) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        served = serve(options) => served,
        _ = terminate.recv() => Ok(()),
        _ = interrupt.recv() => Ok(()),
    }
}
