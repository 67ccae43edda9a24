//! What one balancer or control server needs of state, messages, processor time and memory, measured against one
//! dimension of its size at a time: points, the line through them, and one point beyond. docs/CAPACITY.md is worked out
//! from these slopes.

mod bench;
mod callers;
mod changes;
mod configuration;
mod control;
mod distribution;
pub mod fit;
pub mod listing;
mod load;
mod pace;
pub mod probe;
mod requests;
mod restarts;
mod running;
pub mod series;
mod settings;
pub mod stand_in;
mod upstreams;

use std::io;
use std::time::Duration;

use clap::ValueEnum;
use serde::Serialize;
use tokio::task::spawn_local;

use crate::balancers::Program;
use crate::load::record_timer_lateness;
use bench::Bench;
use series::Series;

/// What a series goes along.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Dimension {
    /// Length of the list
    Upstreams,
    /// Changes a second, and entries changed at once
    Changes,
    /// Classes in the settings
    Classes,
    /// Tenants in the settings
    Tenants,
    /// Requests a second
    Requests,
    /// Starts, against the length of the list
    Restarts,
    /// Balancers that follow one discovery
    Balancers,
    /// Discovery's watch beside control servers, against the length of the list; only where it is named
    Distribution,
    /// Control servers, against followers, records, changes a second and starts; only where it is named
    Control,
}

/// What is measured where nothing is named: all that needs a balancer alone.
const ALONE: [Dimension; 7] = [
    Dimension::Upstreams,
    Dimension::Changes,
    Dimension::Classes,
    Dimension::Tenants,
    Dimension::Requests,
    Dimension::Restarts,
    Dimension::Balancers,
];

/// What is measured, and how.
#[derive(Clone, Debug)]
pub struct Options {
    /// The balancer.
    pub program: Program,
    /// The balancer that `Dimension::Distribution` sets before discovery.
    pub before: Program,
    /// The control server of `Dimension::Distribution` and `Dimension::Control`.
    pub control_server: Program,
    /// All that needs a balancer alone where none is named.
    pub dimensions: Vec<Dimension>,
    /// How long each point is measured.
    pub seconds: f64,
    /// All sizes times this.
    pub share: f64,
}

/// What was measured along one dimension.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Measured {
    /// Which.
    pub dimension: Dimension,
    /// Why its times say nothing, if they do not.
    pub void: Option<String>,
    /// Each quantity.
    pub series: Vec<Series>,
}

/// The shortest and longest time for one point.
const SECONDS: std::ops::RangeInclusive<f64> = 0.1..=60.0;
const SHARES: std::ops::RangeInclusive<f64> = 0.001..=1.0;

impl Options {
    /// What of it can't be used, in plain words.
    ///
    /// # Errors
    /// The name of the option at fault, with what is accepted.
    pub fn check(&self) -> Result<(), String> {
        if !SECONDS.contains(&self.seconds) {
            return Err(format!("--seconds {}: 0.1 to 60 are accepted", self.seconds));
        }
        if !SHARES.contains(&self.share) {
            return Err(format!("--share {}: 0.001 to 1 are accepted", self.share));
        }
        Ok(())
    }

    /// What is measured.
    fn dimensions(&self) -> &[Dimension] {
        if self.dimensions.is_empty() { &ALONE } else { &self.dimensions }
    }

    /// The programs that a dimension starts.
    fn programs(&self, dimension: Dimension) -> Vec<&Program> {
        match dimension {
            Dimension::Distribution => vec![&self.program, &self.before, &self.control_server],
            Dimension::Control => vec![&self.control_server],
            _ => vec![&self.program],
        }
    }
}

/// Measures one dimension after the other, and tells of each as it is done.
///
/// # Errors
/// A program is missing, can't be started, or ends by itself.
pub async fn measure(options: &Options, mut done: impl FnMut(&Measured)) -> io::Result<Vec<Measured>> {
    let span = Duration::from_secs_f64(options.seconds);
    for dimension in options.dimensions() {
        options.programs(*dimension).into_iter().try_for_each(is_there)?;
    }
    let bench = Bench::open(options.program.clone(), span, options.share).await?;
    let ticks = spawn_local(record_timer_lateness(bench.book.clone()));
    let mut results = Vec::new();
    for dimension in options.dimensions() {
        let series = along(&bench, options, *dimension).await?;
        let void = bench.void();
        let measured = Measured { dimension: *dimension, void, series };
        done(&measured);
        results.push(measured);
    }
    ticks.abort();
    Ok(results)
}

fn is_there(program: &Program) -> io::Result<()> {
    let named =
        |fault: io::Error| io::Error::new(fault.kind(), format!("{}: {fault}", program.path.display()));
    std::fs::metadata(&program.path).map(|_| ()).map_err(named)
}

async fn along(bench: &Bench, options: &Options, dimension: Dimension) -> io::Result<Vec<Series>> {
    match dimension {
        Dimension::Upstreams => upstreams::measure(bench).await,
        Dimension::Changes => changes::measure(bench).await,
        Dimension::Classes => settings::classes(bench).await,
        Dimension::Tenants => settings::tenants(bench).await,
        Dimension::Requests => requests::measure(bench).await,
        Dimension::Restarts => restarts::measure(bench).await,
        Dimension::Balancers => callers::measure(bench).await,
        Dimension::Distribution => distribution::measure(bench, options).await,
        Dimension::Control => control::measure(bench, options).await,
    }
}

impl Measured {
    /// As people read it.
    pub fn table(&self) -> String {
        let tables: String = self.series.iter().map(|series| series.table() + "\n").collect();
        let void = self.void.as_ref().map_or_else(String::new, |why| format!("void: {why}\n"));
        format!("== {:?}\n{tables}{void}", self.dimension)
    }
}
