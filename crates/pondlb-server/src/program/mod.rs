//! The program from start to exit.

mod configuration;
mod line;
mod service;
mod setup;
#[cfg(test)]
mod tests;

use std::process::ExitCode;

use clap::Parser;
use line::{Command, Line};
use service::Service;
use setup::Setup;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// The configuration can't be used; a restart would change nothing.
const BAD_CONFIGURATION: u8 = 2;
/// The machine doesn't let the program serve.
const CANNOT_SERVE: u8 = 1;

pub fn main() -> ExitCode {
    match Line::parse().command {
        None | Some(Command::Serve) => serve(),
        Some(Command::Check { file }) => check(file),
        Some(Command::Explain { key }) => explain(key.as_deref()),
    }
}

fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn serve() -> ExitCode {
    let wanted = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(wanted).format_timestamp_millis().init();
    let setup = match Setup::read(environment) {
        Ok(setup) => setup,
        Err(faults) => {
            faults.iter().for_each(|fault| log::error!("configuration: {fault}"));
            return ExitCode::from(BAD_CONFIGURATION);
        }
    };
    let served = Builder::new_current_thread()
        .enable_all()
        .build()
        .and_then(|runtime| LocalSet::new().block_on(&runtime, async { Service::start(setup)?.run().await }));
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::from(CANNOT_SERVE)
        }
    }
}

fn check(file: Option<String>) -> ExitCode {
    let from = |name: &str| file.clone().filter(|_| name == "RELAY_CONFIG").or_else(|| environment(name));
    match Setup::read(from) {
        Ok(setup) => {
            let classes = setup.deployment.names.classes.join(", ");
            println!("{} would listen on {} and {}", setup.name, setup.listen, sources(&setup));
            println!("upstreams known: {}; schemes: {classes}", setup.known.targets.len());
            ExitCode::SUCCESS
        }
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            ExitCode::from(BAD_CONFIGURATION)
        }
    }
}

/// Where the lists of upstreams would come from.
fn sources(setup: &Setup) -> String {
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
    let keys = line::keys();
    let Some(key) = key else {
        keys.iter().for_each(|(name, _)| println!("{name}"));
        return ExitCode::SUCCESS;
    };
    let wanted = key.strip_prefix("settings.").unwrap_or(key);
    let is_meant = |name: &str| name == wanted || name.rsplit('.').next() == Some(wanted);
    let found: Vec<_> = keys.iter().filter(|(name, _)| is_meant(name)).collect();
    found.iter().for_each(|(name, meaning)| println!("{name}: {meaning}"));
    if found.is_empty() {
        eprintln!("{key}: no such key; `explain` by itself lists them");
        return ExitCode::from(BAD_CONFIGURATION);
    }
    ExitCode::SUCCESS
}
