//! The program from its start to its exit: command line, configuration and main loop.

mod command_line;
mod live_settings;
mod service;
mod setup;
#[cfg(test)]
mod tests;

use std::process::ExitCode;

use clap::Parser;
use command_line::{Command, CommandLine};
use service::Service;
use setup::Setup;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Exit status for an invalid configuration or key. A restart would fail in the same way.
const EXIT_BAD_CONFIGURATION: u8 = 2;
/// Exit status for a failure of the system, such as an address that is in use.
const EXIT_CANNOT_SERVE: u8 = 1;

/// Parses the command line and runs its command.
pub fn main() -> ExitCode {
    match CommandLine::parse().command {
        None | Some(Command::Serve) => serve(),
        Some(Command::Check { file }) => check(file),
        Some(Command::Explain { key }) => explain(key.as_deref()),
    }
}

/// The value of an environment variable, if it is set and valid Unicode.
fn env_var(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn serve() -> ExitCode {
    let filter = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(filter).format_timestamp_millis().init();
    let setup = match Setup::read(env_var) {
        Ok(setup) => setup,
        Err(faults) => {
            faults.iter().for_each(|fault| log::error!("configuration: {fault}"));
            return ExitCode::from(EXIT_BAD_CONFIGURATION);
        }
    };
    let result = Builder::new_current_thread()
        .enable_all()
        .build()
        .and_then(|runtime| LocalSet::new().block_on(&runtime, async { Service::start(setup)?.run().await }));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::from(EXIT_CANNOT_SERVE)
        }
    }
}

fn check(file: Option<String>) -> ExitCode {
    let lookup = |name: &str| file.clone().filter(|_| name == "RELAY_CONFIG").or_else(|| env_var(name));
    match Setup::read(lookup) {
        Ok(setup) => {
            let classes = setup.deployment.names.classes.join(", ");
            println!("{} would listen on {} and {}", setup.name, setup.listen, list_source(&setup));
            println!("upstreams known: {}; schemes: {classes}", setup.initial_list.targets.len());
            ExitCode::SUCCESS
        }
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            ExitCode::from(EXIT_BAD_CONFIGURATION)
        }
    }
}

/// Describes where the list of upstreams would come from.
fn list_source(setup: &Setup) -> String {
    match (&setup.control, setup.discovery) {
        (Some(control), _) => {
            let servers: Vec<String> = control.servers.iter().map(ToString::to_string).collect();
            format!("follow {}", servers.join(", "))
        }
        (None, Some(discovery)) => format!("ask {discovery}"),
        (None, None) => "ask nobody".into(),
    }
}

fn explain(key: Option<&str>) -> ExitCode {
    let keys = command_line::keys();
    let Some(key) = key else {
        keys.iter().for_each(|(name, _)| println!("{name}"));
        return ExitCode::SUCCESS;
    };
    let wanted = key.strip_prefix("settings.").unwrap_or(key);
    let is_match = |name: &str| name == wanted || name.rsplit('.').next() == Some(wanted);
    let found: Vec<_> = keys.iter().filter(|(name, _)| is_match(name)).collect();
    found.iter().for_each(|(name, meaning)| println!("{name}: {meaning}"));
    if found.is_empty() {
        eprintln!("{key}: no such key; `explain` by itself lists them");
        return ExitCode::from(EXIT_BAD_CONFIGURATION);
    }
    ExitCode::SUCCESS
}
