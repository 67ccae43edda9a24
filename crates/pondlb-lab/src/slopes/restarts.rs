//! Cost of the start of a balancer, against the number of upstreams in the list.

use std::io;

use super::bench::Bench;
use super::configuration::{ConfigurationSize, InitialList};
use super::series::Series;

/// Numbers of upstreams in the list.
const LIST_LENGTHS: [usize; 5] = [200, 1000, 4000, 8000, 24_000];
/// Starts at each size, of which the median is reported.
const STARTS_PER_SIZE: usize = 3;

/// The measurements of one start.
#[derive(Clone)]
struct StartMeasurement {
    /// Elapsed time until the balancer was ready; none if it was not ready in time.
    ready_ms: Option<f64>,
    /// Processor time until the balancer was ready; none if it was not ready in time.
    processor_ms: Option<f64>,
    /// Kilobytes sent by discovery.
    discovery_kb: f64,
    /// Why the balancer was not ready in time.
    note: Option<String>,
}

/// Measures all series of starts, with the first list from discovery and from the configuration.
///
/// # Errors
/// A balancer can't be started or exits on its own.
pub async fn measure(bench: &Bench) -> io::Result<Vec<Series>> {
    let mut series = Vec::new();
    for (initial_list, list_source) in [
        (InitialList::FromDiscovery, "list from discovery"),
        (InitialList::InConfiguration, "list in the configuration"),
    ] {
        let mut measured = Vec::new();
        for size in LIST_LENGTHS.map(|size| bench.scaled(size)) {
            measured.push((size, measure_median_start(bench, size, initial_list).await?));
        }
        let column = |quantity: &str, unit, value: fn(&StartMeasurement) -> Option<f64>| {
            let quantity = format!("{quantity}, {list_source}");
            Series::from_measurements_with_notes(
                quantity,
                unit,
                "upstreams",
                &measured,
                value,
                |measurement| measurement.note.clone(),
            )
        };
        series.push(column("time until ready", "ms", |measurement| measurement.ready_ms));
        series.push(column("processor time until ready", "ms", |measurement| measurement.processor_ms));
        series.push(column("bytes from discovery until ready", "KB", |measurement| {
            Some(measurement.discovery_kb)
        }));
    }
    Ok(series)
}

/// Measures several starts and returns the one with the median processor time, or the first one that was not ready in
/// time.
async fn measure_median_start(
    bench: &Bench,
    size: usize,
    initial_list: InitialList,
) -> io::Result<StartMeasurement> {
    let mut starts = Vec::new();
    for _ in 0..STARTS_PER_SIZE {
        let start = measure_start(bench, size, initial_list).await?;
        if start.processor_ms.is_none() {
            return Ok(start);
        }
        starts.push(start);
    }
    let processor_ms = |start: &StartMeasurement| start.processor_ms.unwrap_or_default();
    starts.sort_by(|a, b| processor_ms(a).total_cmp(&processor_ms(b)));
    Ok(starts.swap_remove(STARTS_PER_SIZE / 2))
}

/// Measures one start.
async fn measure_start(
    bench: &Bench,
    size: usize,
    initial_list: InitialList,
) -> io::Result<StartMeasurement> {
    let discovery = bench.start_discovery(size).await?;
    let balancer =
        bench.start_balancer(&discovery, ConfigurationSize::of_upstreams(size), initial_list).await?;
    let traffic = discovery.traffic();
    let not_ready_note = || {
        let last_line = balancer.last_log_line();
        format!("not ready within 10 s, after {} calls; {last_line}", traffic.calls)
    };
    let note = balancer.start_cost.is_none().then(not_ready_note);
    let start = balancer.start_cost;
    let measured = StartMeasurement {
        ready_ms: start.map(|start| start.elapsed.as_secs_f64() * 1000.0),
        processor_ms: start.map(|start| start.processor_time.as_secs_f64() * 1000.0),
        discovery_kb: traffic.sent_bytes as f64 / 1000.0,
        note,
    };
    balancer.stop().await?;
    Ok(measured)
}
