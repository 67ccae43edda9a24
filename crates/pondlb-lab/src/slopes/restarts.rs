//! What a start costs, against the length of the list.

use std::io;

use super::bench::Bench;
use super::configuration::{First, Size};
use super::series::Series;

const SIZES: [usize; 5] = [200, 1000, 4000, 8000, 24_000];
const STARTS: usize = 3;

#[derive(Clone)]
struct At {
    ready_ms: Option<f64>,
    processor_ms: Option<f64>,
    kb: f64,
    note: Option<String>,
}

/// All series of starts.
///
/// # Errors
/// A balancer can't be started, or ends by itself.
pub async fn measure(bench: &Bench) -> io::Result<Vec<Series>> {
    let mut series = Vec::new();
    for (first, from) in [(First::Asked, "list from discovery"), (First::Known, "list in the configuration")]
    {
        let mut measured = Vec::new();
        for size in SIZES.map(|size| bench.scaled(size)) {
            measured.push((size, median_of_starts(bench, size, first).await?));
        }
        let column = |quantity: &str, unit, value: fn(&At) -> Option<f64>| {
            let quantity = format!("{quantity}, {from}");
            Series::noted(quantity, unit, "upstreams", &measured, value, |at| at.note.clone())
        };
        series.push(column("time until ready", "ms", |at| at.ready_ms));
        series.push(column("processor time until ready", "ms", |at| at.processor_ms));
        series.push(column("bytes from discovery until ready", "KB", |at| Some(at.kb)));
    }
    Ok(series)
}

/// The start with the median processor time.
async fn median_of_starts(bench: &Bench, size: usize, first: First) -> io::Result<At> {
    let mut starts = Vec::new();
    for _ in 0..STARTS {
        let start = at(bench, size, first).await?;
        if start.processor_ms.is_none() {
            return Ok(start);
        }
        starts.push(start);
    }
    let key = |start: &At| start.processor_ms.unwrap_or_default();
    starts.sort_by(|a, b| key(a).total_cmp(&key(b)));
    Ok(starts.swap_remove(STARTS / 2))
}

async fn at(bench: &Bench, size: usize, first: First) -> io::Result<At> {
    let discovery = bench.discovery(size).await?;
    let running = bench.start(&discovery, Size::of_upstreams(size), first).await?;
    let traffic = discovery.traffic();
    let never_ready = || {
        let line = running.last_line();
        format!("not ready within 10 s, after {} calls; {line}", traffic.calls)
    };
    let note = running.start.is_none().then(never_ready);
    let start = running.start;
    let measured = At {
        ready_ms: start.map(|start| start.took.as_secs_f64() * 1000.0),
        processor_ms: start.map(|start| start.processor.as_secs_f64() * 1000.0),
        kb: traffic.sent as f64 / 1000.0,
        note,
    };
    running.end().await?;
    Ok(measured)
}
