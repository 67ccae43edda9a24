//! The laboratory's command line. Exit codes: 0 the rules held, 1 a rule was broken or a balancer crashed,
//! 2 bad input or nothing that could be played, 3 the run is void.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use pondlb_lab::balancers::Program;
use pondlb_lab::run::{Report, play};
use pondlb_lab::scenario::Scenario;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

#[derive(Parser)]
#[command(version, about = "An emulated fleet, a load and a judge for pondlb, on loopback")]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a scenario to real balancers and judges the rules
    Run {
        scenario: PathBuf,
        /// The balancer's program
        #[arg(long, default_value = "target/release/pondlb-server")]
        program: PathBuf,
        /// An argument for it
        #[arg(long)]
        argument: Vec<String>,
        /// In place of the scenario's own
        #[arg(long)]
        seed: Option<u64>,
        /// The result as JSON in place of a table
        #[arg(long)]
        json: bool,
        /// A folder for both sides' ledgers
        #[arg(long)]
        ledgers: Option<PathBuf>,
    },
    /// Says what is wrong with a scenario, or what it would send
    Check {
        scenario: PathBuf,
        /// Every arrival, one line of JSON each
        #[arg(long)]
        plan: bool,
    },
}

const BROKEN: u8 = 1;
const BAD_INPUT: u8 = 2;
const VOID: u8 = 3;

fn main() -> ExitCode {
    match told(Line::parse().command) {
        Ok(code) => code.into(),
        Err(faults) => {
            eprintln!("{faults}");
            BAD_INPUT.into()
        }
    }
}

fn told(command: Command) -> Result<u8, String> {
    match command {
        Command::Check { scenario, plan } => {
            let scenario = read(&scenario)?;
            let arrivals = scenario.plan();
            if plan {
                for planned in &arrivals {
                    println!("{}", serde_json::to_string(planned).map_err(|e| e.to_string())?);
                }
            } else {
                let (txns, upstreams) = (arrivals.len(), scenario.fleet().len());
                println!(
                    "{txns} txns in {} s to {} balancers and {upstreams} upstreams",
                    scenario.seconds, scenario.balancers
                );
            }
            Ok(0)
        }
        Command::Run { scenario, program, argument, seed, json, ledgers } => {
            let mut scenario = read(&scenario)?;
            let program = Program { path: program, arguments: argument };
            scenario.seed = seed.unwrap_or(scenario.seed);
            let runtime = Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
            let (report, kept) = LocalSet::new()
                .block_on(&runtime, async {
                    tokio::select! {
                        played = play(program, scenario) => played,
                        _ = tokio::signal::ctrl_c() => Err(std::io::Error::other("interrupted")),
                    }
                })
                .map_err(|e| e.to_string())?;
            if let Some(folder) = ledgers {
                let text = serde_json::to_string(&kept).map_err(|e| e.to_string())?;
                let written = std::fs::create_dir_all(&folder)
                    .and_then(|()| std::fs::write(folder.join("ledgers.json"), text));
                written.map_err(|e| format!("{}: {e}", folder.display()))?;
            }
            if json {
                println!("{}", serde_json::to_string(&report).map_err(|e| e.to_string())?);
            } else {
                print!("{}", report.table());
            }
            Ok(code(&report))
        }
    }
}

/// A rule that is seen to be broken is broken on a slow machine too, but for times; so void comes first.
fn code(report: &Report) -> u8 {
    match (&report.void, report.broken.is_empty()) {
        (Some(_), _) => VOID,
        (None, false) => BROKEN,
        (None, true) => 0,
    }
}

fn read(path: &Path) -> Result<Scenario, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Scenario::read(&text).map_err(|faults| {
        faults.iter().map(|fault| format!("{}: {fault}", path.display())).collect::<Vec<_>>().join("\n")
    })
}
