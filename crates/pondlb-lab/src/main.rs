//! The laboratory's command line. Exit codes: 0 the rules held, 1 a rule was broken or a balancer crashed,
//! 2 bad input or nothing that could be played, 3 the run is void.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use pondlb_lab::balancers::Program;
use pondlb_lab::child_process::exec_killed_with_parent;
use pondlb_lab::compare::{Pair, a_is_first, differences, table, value_in_time};
use pondlb_lab::ledger::Ledgers;
use pondlb_lab::report;
use pondlb_lab::run::{Report, play};
use pondlb_lab::scale::hollow::{self, PlantedFault};
use pondlb_lab::scale::process::machine_memory;
use pondlb_lab::scale::report::Verdict;
use pondlb_lab::scale::run::{Programs, play as play_scale};
use pondlb_lab::scale::scenario::Scenario as ScaleScenario;
use pondlb_lab::scenario::Scenario;
use pondlb_lab::slopes::{self, Dimension};
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
        /// A file for what clients, upstreams and discovery noted, as JSON
        #[arg(long)]
        ledgers: Option<PathBuf>,
        /// A file for the report, with plots
        #[arg(long)]
        html: Option<PathBuf>,
    },
    /// Plays a scenario to two builds in turns and says what can be said of the difference
    Compare {
        scenario: PathBuf,
        /// One balancer's program
        #[arg(long)]
        a: PathBuf,
        /// The other's
        #[arg(long)]
        b: PathBuf,
        /// Seeds, from the scenario's own on; each is played to both
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u32).range(1..=100))]
        rounds: u32,
        /// The result as JSON in place of a table
        #[arg(long)]
        json: bool,
        /// A file for the report of the first seed, both sides
        #[arg(long)]
        html: Option<PathBuf>,
    },
    /// Measures what one balancer or control server needs against one dimension of its size at a time
    Slopes {
        /// All but `distribution` and `control` where none is named
        dimension: Vec<Dimension>,
        /// The balancer's program
        #[arg(long, default_value = "target/release/pondlb-server")]
        program: PathBuf,
        /// An argument for it
        #[arg(long)]
        argument: Vec<String>,
        /// The balancer that `distribution` sets before discovery; the same program where nothing is said
        #[arg(long)]
        before: Option<PathBuf>,
        /// The control server of `distribution` and `control`; the one beside the lab's own program where nothing is said
        #[arg(long)]
        server: Option<PathBuf>,
        /// A file for the result as JSON, beside the table
        #[arg(long)]
        json: Option<PathBuf>,
        /// How long each point is measured
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
        /// Plays this part of all sizes
        #[arg(long, default_value_t = 1.0)]
        share: f64,
    },
    /// Plays a fleet of many balancers that follow control servers, most of them without traffic
    Scale(ScaleLine),
    /// Many balancers that follow control servers, in one process
    #[command(hide = true)]
    Hollow {
        assignment: PathBuf,
        /// A fault on purpose
        #[arg(long)]
        planted: Option<PlantedFault>,
    },
    /// Becomes a program that ends with the process that started it
    #[command(hide = true)]
    Hold {
        parent: u32,
        program: PathBuf,
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<String>,
    },
    /// Says what is wrong with a scenario, or what it would send
    Check {
        scenario: PathBuf,
        /// Every arrival, one line of JSON each
        #[arg(long)]
        plan: bool,
    },
}

#[derive(Args)]
struct ScaleLine {
    scenario: PathBuf,
    /// The part of the balancers and records that is played, above 0 to 1
    #[arg(long, default_value_t = 1.0)]
    share: f64,
    /// A file for the result as JSON, beside the table
    #[arg(long)]
    json: Option<PathBuf>,
    /// The control server's program; beside the laboratory's own where nothing is said
    #[arg(long)]
    server: Option<PathBuf>,
    /// An argument for it, before its options file
    #[arg(long)]
    server_argument: Vec<String>,
    /// The real balancer's program; beside the laboratory's own where nothing is said
    #[arg(long)]
    balancer: Option<PathBuf>,
    /// An argument for hollow processes
    #[arg(long, hide = true, allow_hyphen_values = true)]
    hollow_argument: Vec<String>,
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
        Command::Hold { parent, program, arguments } => {
            Err(exec_killed_with_parent(parent, &program, &arguments).to_string())
        }
        Command::Scale(line) => scale(line),
        Command::Hollow { assignment, planted } => in_runtime(hollow::play(&assignment, planted)).map(|()| 0),
        Command::Check { scenario, plan } => {
            let scenario = read(&scenario)?;
            let arrivals = scenario.plan();
            if plan {
                for planned in &arrivals {
                    println!("{}", serde_json::to_string(planned).map_err(|e| e.to_string())?);
                }
            } else {
                let (requests, upstreams) = (arrivals.len(), scenario.upstream_specs().len());
                println!(
                    "{requests} txns in {} s to {} balancers and {upstreams} upstreams",
                    scenario.seconds, scenario.balancers
                );
            }
            Ok(0)
        }
        Command::Slopes { dimension, program, argument, before, server, json, seconds, share } => {
            let program = Program { path: program, arguments: argument };
            let before =
                before.map_or_else(|| program.clone(), |path| Program { path, arguments: Vec::new() });
            let path = server.map_or_else(|| beside("pondlb-control-server"), Ok)?;
            let control_server = Program { path, arguments: Vec::new() };
            let options =
                slopes::Options { program, before, control_server, dimensions: dimension, seconds, share };
            slopes(&options, json.as_deref())
        }
        Command::Run { scenario, program, argument, seed, json, ledgers, html } => {
            let mut scenario = read(&scenario)?;
            scenario.seed = seed.unwrap_or(scenario.seed);
            let program = Program { path: program, arguments: argument };
            let (report, kept) = played(&program, scenario.clone())?;
            if let Some(path) = ledgers {
                written(&path, &serde_json::to_string(&kept).map_err(|e| e.to_string())?)?;
            }
            if let Some(path) = html {
                written(&path, &report::html(&scenario, &[(program.path.display().to_string(), &report)])?)?;
            }
            if json {
                println!("{}", serde_json::to_string(&report).map_err(|e| e.to_string())?);
            } else {
                print!("{}", report.table());
            }
            Ok(code(&[&report]))
        }
        Command::Compare { scenario, a, b, rounds, json, html } => {
            let scenario = read(&scenario)?;
            let program = |path: &PathBuf| Program { path: path.clone(), arguments: Vec::new() };
            let (first, second) = (program(&a), program(&b));
            let mut pairs = Vec::new();
            for round in 0..rounds {
                let mut scenario = scenario.clone();
                scenario.seed = scenario.seed.wrapping_add(u64::from(round));
                let play = |program| played(program, scenario.clone()).map(|(report, _)| report);
                let (a, b) = if a_is_first(round as usize) {
                    let a = play(&first)?;
                    (a, play(&second)?)
                } else {
                    let b = play(&second)?;
                    (play(&first)?, b)
                };
                eprintln!(
                    "seed {}: value in time {:.3} and {:.3}",
                    scenario.seed,
                    value_in_time(&scenario, &a),
                    value_in_time(&scenario, &b)
                );
                pairs.push(Pair { a, b });
            }
            let found = differences(&scenario, &pairs);
            if json {
                println!("{}", serde_json::to_string(&found).map_err(|e| e.to_string())?);
            } else {
                print!("{}", table(&found, &pairs));
            }
            if let (Some(path), Some(pair)) = (html, pairs.first()) {
                let sides =
                    [(format!("a: {}", a.display()), &pair.a), (format!("b: {}", b.display()), &pair.b)];
                written(&path, &report::html(&scenario, &sides)?)?;
            }
            let sound: Vec<&Report> =
                pairs.iter().flat_map(|p| [&p.a, &p.b]).filter(|r| r.void.is_none()).collect();
            Ok(if sound.is_empty() { VOID } else { code(&sound) })
        }
    }
}

/// Prints each dimension as it is done.
fn slopes(options: &slopes::Options, json: Option<&Path>) -> Result<u8, String> {
    options.check()?;
    if let Some(path) = json {
        written(path, "")?;
    }
    let measured = in_runtime(slopes::measure(options, |measured| println!("{}", measured.table())))?;
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&measured).map_err(|e| e.to_string())?;
        written(path, &(text + "\n"))?;
    }
    Ok(if measured.iter().any(|one| one.void.is_some()) { VOID } else { 0 })
}

/// Plays a scale run, and tells it as a table and as JSON.
fn scale(line: ScaleLine) -> Result<u8, String> {
    let named = |fault: &dyn std::fmt::Display| format!("{}: {fault}", line.scenario.display());
    let text = std::fs::read_to_string(&line.scenario).map_err(|e| named(&e))?;
    let scenario = ScaleScenario::read(&text, line.share, machine_memory())
        .map_err(|faults| faults.iter().map(|fault| named(fault)).collect::<Vec<_>>().join("\n"))?;
    let programs = Programs {
        server: Program {
            path: line.server.map_or_else(|| beside("pondlb-control-server"), Ok)?,
            arguments: line.server_argument,
        },
        balancer: Program {
            path: line.balancer.map_or_else(|| beside("pondlb-server"), Ok)?,
            arguments: Vec::new(),
        },
        hollow_arguments: line.hollow_argument,
    };
    let report = in_runtime(play_scale(&programs, scenario))?;
    if let Some(path) = line.json {
        let json = serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?;
        written(&path, &(json + "\n"))?;
    }
    print!("{report}");
    Ok(match report.verdict() {
        Verdict::Held => 0,
        Verdict::Failed => BROKEN,
        Verdict::Void => VOID,
    })
}

/// A program in the folder of this one.
fn beside(name: &str) -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    Ok(own.with_file_name(name))
}

fn played(program: &Program, scenario: Scenario) -> Result<(Report, Ledgers), String> {
    in_runtime(play(program, scenario))
}

/// Runs to its end, or until it is interrupted.
fn in_runtime<T>(work: impl Future<Output = std::io::Result<T>>) -> Result<T, String> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let work = async {
        tokio::select! {
            done = work => done,
            _ = tokio::signal::ctrl_c() => Err(std::io::Error::other("interrupted")),
        }
    };
    LocalSet::new().block_on(&runtime, work).map_err(|e| e.to_string())
}

fn written(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// A rule that is seen to be broken is broken on a slow machine too, but for times; so void comes first.
fn code(reports: &[&Report]) -> u8 {
    if reports.iter().any(|report| report.void.is_some()) {
        VOID
    } else if reports.iter().any(|report| !report.broken.is_empty()) {
        BROKEN
    } else {
        0
    }
}

fn read(path: &Path) -> Result<Scenario, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Scenario::parse(&text).map_err(|faults| {
        faults.iter().map(|fault| format!("{}: {fault}", path.display())).collect::<Vec<_>>().join("\n")
    })
}
