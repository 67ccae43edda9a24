//! A control server: the origin of the records, or a replica server that follows it.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use pondlb_control_net::{ServerOptions, serve};
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

/// The exit code if the options file is invalid, so that a restart would not help.
const EXIT_INVALID_OPTIONS: u8 = 2;
/// The exit code if the program can't serve, for example because an address is in use.
const EXIT_CANNOT_SERVE: u8 = 1;

/// The description of the options file in the output of `--help`.
const OPTIONS_HELP: &str = "\
Keys of the options file:
  listen                      address for followers; required
  commit                      origin: address for commits; without it there are none
  initial                     origin: file with the initial records, in the format of a commit; relative to this file
  epoch                       origin: its epoch, greater than that of any earlier origin [the time of the start]
  follow                      replica server: addresses of the control servers that it follows
  hold_ms                     replica server: how long they may hold a request without changes, 10 to 60000 [1000]
  name                        name in the log and in requests: letters, digits, '-', '_', '.' [control-PORT]
  number                      replica server: its number; divides replica servers among those they follow [0]
  gather_ms                   minimum time between two responses with changes to a follower, 0 to 10000 [200]
  piece_bytes                 maximum bytes of changes in one response, 1024 to 1048576 [16384]
  followers                   maximum number of connections of followers, 1 to 100000 [2000]
  memory_mb                   memory limit in MiB: half of it for records, an eighth for a commit, 16 to 1048576 [256]
  snapshot_pieces_per_second  maximum rate of snapshot pages of up to 64 KiB, 1 to 1000000 [1000]

An origin has commit or initial, a replica server has follow.";

/// A control server of pondlb: distributes upstreams, classes, tenants and limits to balancers.
///
/// Exit codes: 0 after SIGTERM or SIGINT, 1 if it cannot serve, 2 if the options file is invalid.
#[derive(Parser)]
#[command(version, after_help = OPTIONS_HELP)]
struct Arguments {
    /// The options file, in TOML. An origin has `commit` (address for commits) or `initial` (file with the initial
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
        Err(errors) => {
            errors.iter().for_each(|error| log::error!("{error}"));
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

/// Serves until SIGTERM or SIGINT.
async fn serve_until_signal(options: ServerOptions) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        served = serve(options) => served,
        _ = terminate.recv() => Ok(()),
        _ = interrupt.recv() => Ok(()),
    }
}
