//! The laboratory's command line. Exit codes: 0 if the rules held, 1 if a rule was broken or a balancer crashed, 2 if
//! the input is invalid or the scenario could not be played, 3 if the run is void.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use pondlb_lab::balancers::Program;
use pondlb_lab::child_process::exec_killed_with_parent;
use pondlb_lab::compare::{Pair, a_is_first, differences, table, value_in_time};
use pondlb_lab::ledger::Ledgers;
use pondlb_lab::report;
use pondlb_lab::run::{Report, play};
use pondlb_lab::scale::hollow_process::{self, PlantedFault};
use pondlb_lab::scale::process::machine_memory_bytes;
use pondlb_lab::scale::report::Verdict;
use pondlb_lab::scale::run::{Programs, run_scenario as play_scale};
use pondlb_lab::scale::scenario::Scenario as ScaleScenario;
use pondlb_lab::scenario::Scenario;
use pondlb_lab::slopes::{self, Dimension};
use tokio::runtime::Builder;
use tokio::task::LocalSet;

#[derive(Parser)]
#[command(version, about = "An emulated fleet, a load and a judge for pondlb, on loopback")]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a scenario to real balancers and checks the rules
    Run {
        scenario: PathBuf,
        /// The balancer's executable
        #[arg(long, default_value = "target/release/pondlb-server")]
        program: PathBuf,
        /// An argument for the balancer; may be repeated
        #[arg(long)]
        argument: Vec<String>,
        /// The seed, in place of the scenario's
        #[arg(long)]
        seed: Option<u64>,
        /// Prints the result as JSON instead of a table
        #[arg(long)]
        json: bool,
        /// Writes what clients, upstreams and discovery recorded to this file, as JSON
        #[arg(long)]
        ledgers: Option<PathBuf>,
        /// Writes the report with plots to this file, as HTML
        #[arg(long)]
        html: Option<PathBuf>,
    },
    /// Plays a scenario to two builds alternately and prints which differences are significant
    Compare {
        scenario: PathBuf,
        /// The first balancer's executable
        #[arg(long)]
        a: PathBuf,
        /// The second balancer's executable
        #[arg(long)]
        b: PathBuf,
        /// How many seeds are played to both, counted up from the scenario's
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u32).range(1..=100))]
        rounds: u32,
        /// Prints the result as JSON instead of a table
        #[arg(long)]
        json: bool,
        /// Writes the reports of both balancers for the first seed to this file, as HTML
        #[arg(long)]
        html: Option<PathBuf>,
    },
    /// Measures how the resource use of one balancer or control server grows with one dimension of its size at a time
    Slopes {
        /// What to measure; all but `distribution` and `control` if none is named
        dimension: Vec<Dimension>,
        /// The balancer's executable
        #[arg(long, default_value = "target/release/pondlb-server")]
        program: PathBuf,
        /// An argument for the balancer; may be repeated
        #[arg(long)]
        argument: Vec<String>,
        /// The balancer that `distribution` measures with discovery, for comparison; the same executable by default
        #[arg(long)]
        before: Option<PathBuf>,
        /// The control server of `distribution` and `control`; by default the one in the directory of this executable
        #[arg(long)]
        server: Option<PathBuf>,
        /// Writes the result to this file as JSON, besides the table
        #[arg(long)]
        json: Option<PathBuf>,
        /// How many seconds each point is measured
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
        /// The share of all sizes that is played
        #[arg(long, default_value_t = 1.0)]
        share: f64,
    },
    /// Plays a fleet of many balancers that follow control servers, most of them without traffic
    Scale(ScaleArguments),
    /// Runs many balancers without traffic that follow control servers, in one process
    #[command(hide = true)]
    Hollow {
        assignment: PathBuf,
        /// A fault that the process has on purpose
        #[arg(long)]
        planted: Option<PlantedFault>,
    },
    /// Replaces itself by a program that is killed when the parent process ends
    #[command(hide = true)]
    Hold {
        parent: u32,
        program: PathBuf,
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<String>,
    },
    /// Prints what is wrong with a scenario, or what it would send
    Check {
        scenario: PathBuf,
        /// Prints each planned request as a line of JSON
        #[arg(long)]
        plan: bool,
    },
}

/// Arguments of the `scale` sub-command.
#[derive(Args)]
struct ScaleArguments {
    scenario: PathBuf,
    /// The share of the balancers and records that is played, above 0 and up to 1
    #[arg(long, default_value_t = 1.0)]
    share: f64,
    /// Writes the result to this file as JSON, besides the table
    #[arg(long)]
    json: Option<PathBuf>,
    /// The control server's executable; by default the one in the directory of this executable
    #[arg(long)]
    server: Option<PathBuf>,
    /// An argument for the control server, before its options file; may be repeated
    #[arg(long)]
    server_argument: Vec<String>,
    /// The real balancer's executable; by default the one in the directory of this executable
    #[arg(long)]
    balancer: Option<PathBuf>,
    /// An argument for hollow processes; may be repeated
    #[arg(long, hide = true, allow_hyphen_values = true)]
    hollow_argument: Vec<String>,
}

const EXIT_RULES_HELD: u8 = 0;
const EXIT_RULES_BROKEN: u8 = 1;
const EXIT_INVALID_INPUT: u8 = 2;
const EXIT_VOID: u8 = 3;

fn main() -> ExitCode {
    match execute(CommandLine::parse().command) {
        Ok(code) => code.into(),
        Err(error) => {
            eprintln!("{error}");
            EXIT_INVALID_INPUT.into()
        }
    }
}

/// Executes a command and returns its exit code.
fn execute(command: Command) -> Result<u8, String> {
    match command {
        Command::Hold { parent, program, arguments } => {
            Err(exec_killed_with_parent(parent, &program, &arguments).to_string())
        }
        Command::Scale(arguments) => scale(arguments),
        Command::Hollow { assignment, planted } => {
            run_to_end(hollow_process::run_assignment(&assignment, planted)).map(|()| EXIT_RULES_HELD)
        }
        Command::Check { scenario, plan } => check(&read_scenario(&scenario)?, plan),
        Command::Slopes { dimension, program, argument, before, server, json, seconds, share } => {
            let program = Program { path: program, arguments: argument };
            let before =
                before.map_or_else(|| program.clone(), |path| Program { path, arguments: Vec::new() });
            let path = server.map_or_else(|| path_beside("pondlb-control-server"), Ok)?;
            let control_server = Program { path, arguments: Vec::new() };
            let options =
                slopes::Options { program, before, control_server, dimensions: dimension, seconds, share };
            slopes(&options, json.as_deref())
        }
        Command::Run { scenario, program, argument, seed, json, ledgers, html } => {
            let mut scenario = read_scenario(&scenario)?;
            scenario.seed = seed.unwrap_or(scenario.seed);
            let program = Program { path: program, arguments: argument };
            let (report, recorded) = play_run(&program, scenario.clone())?;
            if let Some(path) = ledgers {
                write_file(&path, &serde_json::to_string(&recorded).map_err(|e| e.to_string())?)?;
            }
            if let Some(path) = html {
                let name = program.path.display().to_string();
                write_file(&path, &report::html(&scenario, &[(name, &report)])?)?;
            }
            if json {
                println!("{}", serde_json::to_string(&report).map_err(|e| e.to_string())?);
            } else {
                print!("{}", report.table());
            }
            Ok(exit_code(&[&report]))
        }
        Command::Compare { scenario, a, b, rounds, json, html } => {
            let scenario = read_scenario(&scenario)?;
            let program = |path: &PathBuf| Program { path: path.clone(), arguments: Vec::new() };
            let pairs = play_pairs(&scenario, &program(&a), &program(&b), rounds)?;
            let differences = differences(&scenario, &pairs);
            if json {
                println!("{}", serde_json::to_string(&differences).map_err(|e| e.to_string())?);
            } else {
                print!("{}", table(&differences, &pairs));
            }
            if let (Some(path), Some(pair)) = (html, pairs.first()) {
                let reports =
                    [(format!("a: {}", a.display()), &pair.a), (format!("b: {}", b.display()), &pair.b)];
                write_file(&path, &report::html(&scenario, &reports)?)?;
            }
            let valid: Vec<&Report> = pairs
                .iter()
                .flat_map(|pair| [&pair.a, &pair.b])
                .filter(|report| report.void.is_none())
                .collect();
            Ok(if valid.is_empty() { EXIT_VOID } else { exit_code(&valid) })
        }
    }
}

/// Prints the plan of a scenario, or a summary of it.
fn check(scenario: &Scenario, prints_plan: bool) -> Result<u8, String> {
    let plan = scenario.plan();
    if prints_plan {
        for planned in &plan {
            println!("{}", serde_json::to_string(planned).map_err(|e| e.to_string())?);
        }
    } else {
        let (requests, upstreams) = (plan.len(), scenario.upstream_specs().len());
        println!(
            "{requests} txns in {} s to {} balancers and {upstreams} upstreams",
            scenario.seconds, scenario.balancers
        );
    }
    Ok(EXIT_RULES_HELD)
}

/// Plays each seed to both balancers.
fn play_pairs(scenario: &Scenario, a: &Program, b: &Program, rounds: u32) -> Result<Vec<Pair>, String> {
    let mut pairs = Vec::new();
    for round in 0..rounds {
        let mut scenario = scenario.clone();
        scenario.seed = scenario.seed.wrapping_add(u64::from(round));
        let play = |program| play_run(program, scenario.clone()).map(|(report, _)| report);
        let pair = if a_is_first(round as usize) {
            let a = play(a)?;
            Pair { a, b: play(b)? }
        } else {
            let b = play(b)?;
            Pair { a: play(a)?, b }
        };
        eprintln!(
            "seed {}: value in time {:.3} and {:.3}",
            scenario.seed,
            value_in_time(&scenario, &pair.a),
            value_in_time(&scenario, &pair.b)
        );
        pairs.push(pair);
    }
    Ok(pairs)
}

/// Measures the dimensions and prints the table of each once it is measured.
fn slopes(options: &slopes::Options, json: Option<&Path>) -> Result<u8, String> {
    options.check()?;
    // A path that can't be written is reported before the measurements.
    if let Some(path) = json {
        write_file(path, "")?;
    }
    let measured = run_to_end(slopes::measure(options, |measured| println!("{}", measured.table())))?;
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&measured).map_err(|e| e.to_string())?;
        write_file(path, &(text + "\n"))?;
    }
    Ok(if measured.iter().any(|series| series.void.is_some()) { EXIT_VOID } else { EXIT_RULES_HELD })
}

/// Plays a scale scenario, and reports it as a table and as JSON.
fn scale(arguments: ScaleArguments) -> Result<u8, String> {
    let with_path = |error: &dyn std::fmt::Display| format!("{}: {error}", arguments.scenario.display());
    let text = std::fs::read_to_string(&arguments.scenario).map_err(|e| with_path(&e))?;
    let scenario = ScaleScenario::parse(&text, arguments.share, machine_memory_bytes())
        .map_err(|errors| errors.iter().map(|error| with_path(error)).collect::<Vec<_>>().join("\n"))?;
    let programs = Programs {
        server: Program {
            path: arguments.server.map_or_else(|| path_beside("pondlb-control-server"), Ok)?,
            arguments: arguments.server_argument,
        },
        balancer: Program {
            path: arguments.balancer.map_or_else(|| path_beside("pondlb-server"), Ok)?,
            arguments: Vec::new(),
        },
        hollow_arguments: arguments.hollow_argument,
    };
    let report = run_to_end(play_scale(&programs, scenario))?;
    if let Some(path) = arguments.json {
        let json = serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?;
        write_file(&path, &(json + "\n"))?;
    }
    print!("{report}");
    Ok(match report.verdict() {
        Verdict::Held => EXIT_RULES_HELD,
        Verdict::Failed => EXIT_RULES_BROKEN,
        Verdict::Void => EXIT_VOID,
    })
}

/// The path of an executable in the directory of this one.
fn path_beside(name: &str) -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    Ok(own.with_file_name(name))
}

fn play_run(program: &Program, scenario: Scenario) -> Result<(Report, Ledgers), String> {
    run_to_end(play(program, scenario))
}

/// Runs a future on a single-threaded runtime until it completes or the process is interrupted.
fn run_to_end<T>(work: impl Future<Output = std::io::Result<T>>) -> Result<T, String> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let work = async {
        tokio::select! {
            done = work => done,
            _ = tokio::signal::ctrl_c() => Err(std::io::Error::other("interrupted")),
        }
    };
    LocalSet::new().block_on(&runtime, work).map_err(|e| e.to_string())
}

fn write_file(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// The exit code for these reports. A void run comes first: on a machine that is too slow, violations of time limits may
/// not be the balancers' fault.
fn exit_code(reports: &[&Report]) -> u8 {
    if reports.iter().any(|report| report.void.is_some()) {
        EXIT_VOID
    } else if reports.iter().any(|report| !report.violations.is_empty()) {
        EXIT_RULES_BROKEN
    } else {
        EXIT_RULES_HELD
    }
}

fn read_scenario(path: &Path) -> Result<Scenario, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Scenario::parse(&text).map_err(|errors| {
        errors.iter().map(|error| format!("{}: {error}", path.display())).collect::<Vec<_>>().join("\n")
    })
}
