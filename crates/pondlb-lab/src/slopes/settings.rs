//! Against the numbers of classes and tenants in the settings.

use std::io;

use super::bench::Bench;
use super::configuration::{First, Size, class_name};
use super::series::Series;

const CLASSES: [usize; 5] = [1, 200, 400, 800, 1100];
const TENANTS: [usize; 5] = [1000, 8000, 24_000, 40_000, 63_000];
const UPSTREAMS: usize = 200;
const REQUESTS_PER_SECOND: f64 = 113.0;

struct At {
    memory_mb: f64,
    start_processor_ms: Option<f64>,
    start_ms: Option<f64>,
    file_kb: f64,
    request_ms: f64,
}

/// All series along the number of classes.
///
/// # Errors
/// A balancer can't be started, or ends by itself.
pub async fn classes(bench: &Bench) -> io::Result<Vec<Series>> {
    let mut measured = Vec::new();
    for classes in CLASSES.map(|classes| bench.scaled(classes)) {
        measured.push((classes, at(bench, Size { upstreams: UPSTREAMS, classes, tenants: 0 }).await?));
    }
    Ok(series("classes", &measured))
}

/// All series along the number of tenants.
///
/// # Errors
/// A balancer can't be started, or ends by itself.
pub async fn tenants(bench: &Bench) -> io::Result<Vec<Series>> {
    let mut measured = Vec::new();
    for tenants in TENANTS.map(|tenants| bench.scaled(tenants)) {
        measured.push((tenants, at(bench, Size { upstreams: UPSTREAMS, classes: 1, tenants }).await?));
    }
    Ok(series("tenants", &measured))
}

async fn at(bench: &Bench, size: Size) -> io::Result<At> {
    let discovery = bench.discovery(size.upstreams).await?;
    let running = bench.start(&discovery, size, First::Known).await?;
    bench.settle().await;
    let memory = running.process.memory()?;
    let idle = bench.spend(&running, &discovery).await?;
    // The last class is the one that a search in their order finds last.
    let class = class_name(size.classes - 1);
    let served = bench.serve(&running, &discovery, &class, REQUESTS_PER_SECOND, async {}).await?;
    let requests = served.spent.processor_ms_per_second() - idle.processor_ms_per_second();
    let answered = served.through.answered as f64 / served.spent.span.as_secs_f64();
    let start = running.start;
    let measured = At {
        memory_mb: memory.resident as f64 / 1e6,
        start_processor_ms: start.map(|start| start.processor.as_secs_f64() * 1000.0),
        start_ms: start.map(|start| start.took.as_secs_f64() * 1000.0),
        file_kb: running.file_bytes as f64 / 1000.0,
        request_ms: requests / answered.max(1.0),
    };
    running.end().await?;
    Ok(measured)
}

fn series(along: &'static str, measured: &[(usize, At)]) -> Vec<Series> {
    vec![
        Series::column("resident memory", "MB", along, measured, |at| Some(at.memory_mb)),
        Series::column("processor time until ready", "ms", along, measured, |at| at.start_processor_ms),
        Series::column("time until ready", "ms", along, measured, |at| at.start_ms),
        Series::column("configuration file", "KB", along, measured, |at| Some(at.file_kb)),
        Series::column("processor time of a request", "ms", along, measured, |at| Some(at.request_ms)),
    ]
}
