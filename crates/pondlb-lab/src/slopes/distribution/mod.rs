//! Two balancers side by side under the same traffic and the same changes, against the length of the list: one has its
//! list from discovery by its watch, the other follows a control server.

mod pair;
mod phase;
mod report;

use std::io;

use super::Options;
use super::bench::Bench;
use super::running::Running;
use super::series::Series;
use pair::{Changes, Pair};
use phase::Phase;

const SIZES: [usize; 5] = [200, 1000, 4000, 8000, 24_000];
const RATES: [usize; 2] = [5, 20];
/// The mean of a balancer at the peak: 170,000 by 1,500.
const REQUESTS_PER_SECOND: f64 = 113.0;

/// Everything at one length of the list.
struct At {
    before_memory_mb: f64,
    after_memory_mb: f64,
    quiet: Phase,
    /// At each of `RATES`.
    single: Vec<Phase>,
    zone: Phase,
}

/// All series along the number of upstreams.
///
/// # Errors
/// A program can't be started, or ends by itself, or the origin refuses a change.
pub async fn measure(bench: &Bench, options: &Options) -> io::Result<Vec<Series>> {
    let mut measured = Vec::new();
    for size in SIZES.map(|size| bench.scaled(size)) {
        measured.push((size, at(bench, options, size).await?));
    }
    Ok(report::all_series(&measured))
}

async fn at(bench: &Bench, options: &Options, upstreams: usize) -> io::Result<At> {
    let mut pair = Pair::start(bench, options, upstreams).await?;
    let _load = bench.load(pair.ways(), REQUESTS_PER_SECOND);
    bench.grow().await;
    let quiet = pair.phase(bench, Changes::None).await?;
    let mut single = Vec::new();
    for rate in RATES {
        single.push(pair.phase(bench, Changes::Single { rate }).await?);
    }
    let zone = pair.phase(bench, Changes::Zone).await?;
    let resident = |running: &Running| Ok::<_, io::Error>(running.process.memory()?.resident as f64 / 1e6);
    let (before_memory_mb, after_memory_mb) = (resident(&pair.before)?, resident(&pair.after)?);
    pair.before.end().await?;
    pair.after.end().await?;
    Ok(At { before_memory_mb, after_memory_mb, quiet, single, zone })
}
