//! Compares two balancers under the same load and the same changes, against the number of upstreams: `before` watches
//! discovery, `after` follows a control server.

mod pair;
mod phase;
mod report;

use std::io;

use super::Options;
use super::balancer_process::BalancerProcess;
use super::bench::Bench;
use super::series::Series;
use pair::{BalancerPair, Changes};
use phase::Phase;

/// Numbers of upstreams in the list.
const LIST_LENGTHS: [usize; 5] = [200, 1000, 4000, 8000, 24_000];
/// Changes of single upstreams per second.
const CHANGE_RATES: [usize; 2] = [5, 20];
/// Mean request rate of one of 1,500 balancers at a peak of 170,000 requests per second.
const REQUESTS_PER_SECOND: f64 = 113.0;

/// The measurements at one number of upstreams.
struct SizeMeasurement {
    /// Resident memory at the end, in megabytes.
    before_memory_mb: f64,
    /// Resident memory at the end, in megabytes.
    after_memory_mb: f64,
    /// Without changes.
    quiet: Phase,
    /// With changes of single upstreams, at each of `CHANGE_RATES`.
    single_changes: Vec<Phase>,
    /// With all upstreams of a zone changed in one message.
    zone_changes: Phase,
}

/// Measures all series along the number of upstreams.
///
/// # Errors
/// A program can't be started or exits on its own, or the origin rejects a change.
pub async fn measure(bench: &Bench, options: &Options) -> io::Result<Vec<Series>> {
    let mut measured = Vec::new();
    for size in LIST_LENGTHS.map(|size| bench.scaled(size)) {
        measured.push((size, measure_size(bench, options, size).await?));
    }
    Ok(report::all_series(&measured))
}

/// Measures both balancers with this many upstreams in all phases.
async fn measure_size(bench: &Bench, options: &Options, upstreams: usize) -> io::Result<SizeMeasurement> {
    let mut pair = BalancerPair::start(bench, options, upstreams).await?;
    let _load = bench.start_load(pair.load_targets(), REQUESTS_PER_SECOND);
    bench.wait_for_subset_growth().await;
    let quiet = pair.measure_phase(bench, Changes::None).await?;
    let mut single_changes = Vec::new();
    for rate in CHANGE_RATES {
        single_changes.push(pair.measure_phase(bench, Changes::Single { rate }).await?);
    }
    let zone_changes = pair.measure_phase(bench, Changes::Zone).await?;
    let resident_mb = |balancer: &BalancerProcess| {
        Ok::<_, io::Error>(balancer.process.memory()?.resident_bytes as f64 / 1e6)
    };
    let (before_memory_mb, after_memory_mb) = (resident_mb(&pair.before)?, resident_mb(&pair.after)?);
    pair.before.stop().await?;
    pair.after.stop().await?;
    Ok(SizeMeasurement { before_memory_mb, after_memory_mb, quiet, single_changes, zone_changes })
}
