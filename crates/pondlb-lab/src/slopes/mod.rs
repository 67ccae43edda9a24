//! Measures how the processor time, memory, network traffic and start-up time of one balancer or control server grow
//! with one dimension of its size at a time. Each quantity is measured at several sizes; a line is fitted through all
//! but the largest, and the largest is compared with the value that the line predicts. The capacity figures of
//! docs/CAPACITY.md are computed from the slopes of these lines.

mod balancer_process;
mod balancers;
mod bench;
mod changes;
mod classes_and_tenants;
mod configuration;
mod control;
mod distribution;
pub mod fit;
mod load_generator;
mod pacer;
pub mod process_stats;
mod requests;
mod restarts;
pub mod series;
pub mod stubs;
pub mod upstream_list;
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

/// The dimension of the size that a group of series varies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Dimension {
    /// Number of upstreams in the list
    Upstreams,
    /// Upstream changes per second, and upstreams changed in one message
    Changes,
    /// Number of request classes in the settings
    Classes,
    /// Number of tenants in the settings
    Tenants,
    /// Requests per second
    Requests,
    /// Balancer starts, against the number of upstreams in the list
    Restarts,
    /// Number of balancers that watch one discovery service
    Balancers,
    /// A balancer that watches discovery beside one that follows a control server, against the number of upstreams;
    /// only measured when named
    Distribution,
    /// Control servers, against followers, records, changes per second and concurrent starts; only measured when named
    Control,
}

/// The dimensions that are measured when none is named: all that need only the balancer program.
const DEFAULT_DIMENSIONS: [Dimension; 7] = [
    Dimension::Upstreams,
    Dimension::Changes,
    Dimension::Classes,
    Dimension::Tenants,
    Dimension::Requests,
    Dimension::Restarts,
    Dimension::Balancers,
];

/// The options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The balancer program.
    pub program: Program,
    /// The balancer program that watches discovery in `Dimension::Distribution`.
    pub before: Program,
    /// The control server program of `Dimension::Distribution` and `Dimension::Control`.
    pub control_server: Program,
    /// The dimensions to measure, in this order; if empty, all that need only the balancer program.
    pub dimensions: Vec<Dimension>,
    /// How long each point is measured, in seconds.
    pub seconds: f64,
    /// Factor by which sizes are scaled down, above 0 up to 1.
    pub share: f64,
}

/// The result of one dimension.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DimensionResult {
    /// The dimension that was varied.
    pub dimension: Dimension,
    /// Why the measured times are not meaningful; none if they are.
    pub void: Option<String>,
    /// One series for each measured quantity.
    pub series: Vec<Series>,
}

/// Accepted values of `--seconds`, the measuring time of one point.
const MEASUREMENT_SECONDS_RANGE: std::ops::RangeInclusive<f64> = 0.1..=60.0;
/// Accepted values of `--share`.
const SHARE_RANGE: std::ops::RangeInclusive<f64> = 0.001..=1.0;

impl Options {
    /// Checks that the options are within their ranges.
    ///
    /// # Errors
    /// The name and value of the option that is out of range, and the accepted range.
    pub fn check(&self) -> Result<(), String> {
        if !MEASUREMENT_SECONDS_RANGE.contains(&self.seconds) {
            return Err(format!("--seconds {}: 0.1 to 60 are accepted", self.seconds));
        }
        if !SHARE_RANGE.contains(&self.share) {
            return Err(format!("--share {}: 0.001 to 1 are accepted", self.share));
        }
        Ok(())
    }

    /// The named dimensions, or the default ones if none is named.
    fn dimensions(&self) -> &[Dimension] {
        if self.dimensions.is_empty() { &DEFAULT_DIMENSIONS } else { &self.dimensions }
    }

    /// The programs that the measurement of a dimension starts.
    fn programs(&self, dimension: Dimension) -> Vec<&Program> {
        match dimension {
            Dimension::Distribution => vec![&self.program, &self.before, &self.control_server],
            Dimension::Control => vec![&self.control_server],
            _ => vec![&self.program],
        }
    }
}

/// Measures one dimension after the other. `done` is called with each result as soon as it is complete.
///
/// # Errors
/// A program is missing, can't be started or exits on its own.
pub async fn measure(
    options: &Options,
    mut done: impl FnMut(&DimensionResult),
) -> io::Result<Vec<DimensionResult>> {
    let span = Duration::from_secs_f64(options.seconds);
    for dimension in options.dimensions() {
        options.programs(*dimension).into_iter().try_for_each(check_program_exists)?;
    }
    let bench = Bench::open(options.program.clone(), span, options.share).await?;
    let lateness_task = spawn_local(record_timer_lateness(bench.recorder.clone()));
    let mut results = Vec::new();
    for dimension in options.dimensions() {
        let series = measure_dimension(&bench, options, *dimension).await?;
        let void = bench.take_void_reason();
        let result = DimensionResult { dimension: *dimension, void, series };
        done(&result);
        results.push(result);
    }
    lateness_task.abort();
    Ok(results)
}

/// Checks that the file of a program exists, so that a wrong path is reported before anything starts.
fn check_program_exists(program: &Program) -> io::Result<()> {
    let with_path =
        |error: io::Error| io::Error::new(error.kind(), format!("{}: {error}", program.path.display()));
    std::fs::metadata(&program.path).map(|_| ()).map_err(with_path)
}

/// Measures all series of one dimension.
async fn measure_dimension(
    bench: &Bench,
    options: &Options,
    dimension: Dimension,
) -> io::Result<Vec<Series>> {
    match dimension {
        Dimension::Upstreams => upstreams::measure(bench).await,
        Dimension::Changes => changes::measure(bench).await,
        Dimension::Classes => classes_and_tenants::measure_classes(bench).await,
        Dimension::Tenants => classes_and_tenants::measure_tenants(bench).await,
        Dimension::Requests => requests::measure(bench).await,
        Dimension::Restarts => restarts::measure(bench).await,
        Dimension::Balancers => balancers::measure(bench).await,
        Dimension::Distribution => distribution::measure(bench, options).await,
        Dimension::Control => control::measure(bench, options).await,
    }
}

impl Dimension {
    /// The heading of the dimension's table.
    pub fn heading(self) -> &'static str {
        match self {
            Dimension::Upstreams => "Upstreams",
            Dimension::Changes => "Changes",
            Dimension::Classes => "Classes",
            Dimension::Tenants => "Tenants",
            Dimension::Requests => "Requests",
            Dimension::Restarts => "Restarts",
            Dimension::Balancers => "Balancers",
            Dimension::Distribution => "Distribution",
            Dimension::Control => "Control",
        }
    }
}

impl DimensionResult {
    /// The result as a table of text.
    pub fn table(&self) -> String {
        let tables: String = self.series.iter().map(|series| series.table() + "\n").collect();
        let void = self.void.as_ref().map_or_else(String::new, |why| format!("void: {why}\n"));
        format!("== {}\n{tables}{void}", self.dimension.heading())
    }
}
