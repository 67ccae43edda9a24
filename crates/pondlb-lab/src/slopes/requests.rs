//! Against the rate of requests.

use std::io;

use super::bench::{Bench, Served};
use super::changes::latency;
use super::configuration::{First, Size, class_name};
use super::series::Series;

const LISTS: [usize; 2] = [200, 24_000];
const RATES: [usize; 5] = [20, 50, 113, 200, 400];

/// All series along the rate of requests.
///
/// # Errors
/// A balancer can't be started, or ends by itself.
pub async fn measure(bench: &Bench) -> io::Result<Vec<Series>> {
    let mut series = Vec::new();
    for upstreams in LISTS.map(|list| bench.scaled(list)) {
        series.extend(before(bench, upstreams).await?);
    }
    Ok(series)
}

async fn before(bench: &Bench, upstreams: usize) -> io::Result<Vec<Series>> {
    let mut measured = Vec::new();
    for rate in RATES {
        // Each has a process of its own, since how many upstreams it uses follows its rate.
        let discovery = bench.discovery(upstreams).await?;
        let running = bench.start(&discovery, Size::of_upstreams(upstreams), First::Known).await?;
        bench.warm_up(&running, &class_name(0), rate as f64).await?;
        let served = bench.serve(&running, &discovery, &class_name(0), rate as f64, async {}).await?;
        running.end().await?;
        measured.push((rate, served));
    }
    let along = "requests a second";
    let what = |quantity: &str| format!("{quantity}, {upstreams} upstreams");
    let per_second = |at: &Served, value: u64| value as f64 / at.spent.span.as_secs_f64();
    let mut series = vec![
        Series::column(what("processor time"), "ms/s", along, &measured, |at| {
            Some(at.spent.processor_ms_per_second())
        }),
        Series::column(what("connections to upstreams"), "connections", along, &measured, |at| {
            Some(at.connections as f64)
        }),
        Series::column(what("descriptors"), "descriptors", along, &measured, |at| {
            Some(at.descriptors as f64)
        }),
        Series::column(what("calls to discovery"), "calls/s", along, &measured, |at| {
            Some(per_second(at, at.spent.traffic.calls))
        }),
    ];
    series.extend(latency(&what, along, &measured));
    Ok(series)
}
