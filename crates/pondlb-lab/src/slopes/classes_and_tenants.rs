//! Memory, start-up and cost of a request of a balancer, against the number of classes and of tenants in its settings.

use std::io;

use super::bench::Bench;
use super::configuration::{ConfigurationSize, InitialList, class_name};
use super::series::Series;

const CLASS_COUNTS: [usize; 5] = [1, 200, 400, 800, 1100];
const TENANT_COUNTS: [usize; 5] = [1000, 8000, 24_000, 40_000, 63_000];
/// Number of upstreams in the list.
const LIST_LENGTH: usize = 200;
/// Mean request rate of one of 1,500 balancers at a peak of 170,000 requests per second.
const REQUESTS_PER_SECOND: f64 = 113.0;

/// The measurements at one number of classes or tenants.
struct SizeMeasurement {
    /// Resident memory, in megabytes.
    memory_mb: f64,
    /// Processor time until the balancer was ready; none if it was not ready in time.
    start_processor_ms: Option<f64>,
    /// Elapsed time until the balancer was ready; none if it was not ready in time.
    start_ms: Option<f64>,
    /// Size of the configuration file, in kilobytes.
    configuration_kb: f64,
    /// Processor time of one request beyond that of the idle balancer.
    request_processor_ms: f64,
}

/// Measures all series along the number of classes.
///
/// # Errors
/// A balancer can't be started or exits on its own.
pub async fn measure_classes(bench: &Bench) -> io::Result<Vec<Series>> {
    let mut measured = Vec::new();
    for classes in CLASS_COUNTS.map(|classes| bench.scaled(classes)) {
        measured.push((
            classes,
            measure_size(bench, ConfigurationSize { upstreams: LIST_LENGTH, classes, tenants: 0 }).await?,
        ));
    }
    Ok(all_series("classes", &measured))
}

/// Measures all series along the number of tenants.
///
/// # Errors
/// A balancer can't be started or exits on its own.
pub async fn measure_tenants(bench: &Bench) -> io::Result<Vec<Series>> {
    let mut measured = Vec::new();
    for tenants in TENANT_COUNTS.map(|tenants| bench.scaled(tenants)) {
        measured.push((
            tenants,
            measure_size(bench, ConfigurationSize { upstreams: LIST_LENGTH, classes: 1, tenants }).await?,
        ));
    }
    Ok(all_series("tenants", &measured))
}

/// Measures one balancer with settings of this size.
async fn measure_size(bench: &Bench, size: ConfigurationSize) -> io::Result<SizeMeasurement> {
    let discovery = bench.start_discovery(size.upstreams).await?;
    let balancer = bench.start_balancer(&discovery, size, InitialList::InConfiguration).await?;
    bench.settle().await;
    let memory = balancer.process.memory()?;
    let idle = bench.measure_usage(&balancer, &discovery).await?;
    // The last class is the worst case for a linear search through the classes.
    let class = class_name(size.classes - 1);
    let under_load =
        bench.measure_under_load(&balancer, &discovery, &class, REQUESTS_PER_SECOND, async {}).await?;
    let requests_ms_per_second = under_load.usage.processor_ms_per_second() - idle.processor_ms_per_second();
    let answered_per_second =
        under_load.balancer_latency.answered as f64 / under_load.usage.span.as_secs_f64();
    let start = balancer.start_cost;
    let measured = SizeMeasurement {
        memory_mb: memory.resident_bytes as f64 / 1e6,
        start_processor_ms: start.map(|start| start.processor_time.as_secs_f64() * 1000.0),
        start_ms: start.map(|start| start.elapsed.as_secs_f64() * 1000.0),
        configuration_kb: balancer.configuration_bytes as f64 / 1000.0,
        request_processor_ms: requests_ms_per_second / answered_per_second.max(1.0),
    };
    balancer.stop().await?;
    Ok(measured)
}

/// The series of all quantities along the number of classes or tenants.
fn all_series(along: &'static str, measured: &[(usize, SizeMeasurement)]) -> Vec<Series> {
    vec![
        Series::from_measurements("resident memory", "MB", along, measured, |measurement| {
            Some(measurement.memory_mb)
        }),
        Series::from_measurements("processor time until ready", "ms", along, measured, |measurement| {
            measurement.start_processor_ms
        }),
        Series::from_measurements("time until ready", "ms", along, measured, |measurement| {
            measurement.start_ms
        }),
        Series::from_measurements("configuration file", "KB", along, measured, |measurement| {
            Some(measurement.configuration_kb)
        }),
        Series::from_measurements("processor time of a request", "ms", along, measured, |measurement| {
            Some(measurement.request_processor_ms)
        }),
    ]
}
