//! Memory of a balancer and the cost of one changed upstream and of a full list, against the number of upstreams.

use std::io;
use std::time::Duration;

use super::bench::Bench;
use super::configuration::{ConfigurationSize, InitialList};
use super::process_stats::MemoryUsage;
use super::series::Series;

/// Numbers of upstreams in the list.
const LIST_LENGTHS: [usize; 5] = [200, 1000, 4000, 8000, 24_000];
/// Rate at which single upstreams change.
const CHANGES_PER_SECOND: f64 = 20.0;
/// Number of full lists sent at each size.
const FULL_LISTS: u32 = 3;
/// How long a balancer may take to confirm a list.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(3);
/// The same limit as a multiple of the measuring span, which is the lower one in short runs.
const MAX_CONFIRMATION_SPANS: u32 = 3;

/// The measurements at one number of upstreams.
struct SizeMeasurement {
    /// After the start.
    memory: MemoryUsage,
    /// After the full lists, which raise the peak.
    memory_after_full_lists: MemoryUsage,
    /// Processor time of one changed upstream.
    change_processor_ms: f64,
    /// Processor time of one full list; none if the balancer did not confirm all of them in time.
    full_list_processor_ms: Option<f64>,
    /// Why there is no processor time of a full list.
    full_list_note: Option<String>,
    /// Size of the body with the full list, in kilobytes.
    full_list_kb: f64,
}

/// Measures all series along the number of upstreams.
///
/// # Errors
/// A balancer can't be started or exits on its own.
pub async fn measure(bench: &Bench) -> io::Result<Vec<Series>> {
    let mut measured = Vec::new();
    for size in LIST_LENGTHS.map(|size| bench.scaled(size)) {
        measured.push((size, measure_size(bench, size).await?));
    }
    let mb = |bytes: u64| Some(bytes as f64 / 1e6);
    let along = "upstreams";
    Ok(vec![
        Series::from_measurements("resident memory", "MB", along, &measured, |measurement| {
            mb(measurement.memory.resident_bytes)
        }),
        Series::from_measurements(
            "most resident memory after whole lists",
            "MB",
            along,
            &measured,
            |measurement| mb(measurement.memory_after_full_lists.peak_bytes),
        ),
        Series::from_measurements(
            "processor time of one changed upstream",
            "ms",
            along,
            &measured,
            |measurement| Some(measurement.change_processor_ms),
        ),
        Series::from_measurements_with_notes(
            "processor time of a whole list from discovery",
            "ms",
            along,
            &measured,
            |measurement| measurement.full_list_processor_ms,
            |measurement| measurement.full_list_note.clone(),
        ),
        Series::from_measurements("whole list on the wire", "KB", along, &measured, |measurement| {
            Some(measurement.full_list_kb)
        }),
    ])
}

/// Measures one balancer with this many upstreams.
async fn measure_size(bench: &Bench, size: usize) -> io::Result<SizeMeasurement> {
    let discovery = bench.start_discovery(size).await?;
    let balancer = bench
        .start_balancer(&discovery, ConfigurationSize::of_upstreams(size), InitialList::InConfiguration)
        .await?;
    bench.settle().await;
    let memory = balancer.process.memory()?;
    let idle = bench.measure_usage(&balancer, &discovery).await?;
    let changing = bench
        .measure_usage_during(
            &balancer,
            &discovery,
            bench.push_changes_at_rate(&discovery, size, CHANGES_PER_SECOND),
        )
        .await?;
    let changes_ms_per_second = changing.processor_ms_per_second() - idle.processor_ms_per_second();
    let timeout = CONFIRMATION_TIMEOUT.min(MAX_CONFIRMATION_SPANS * bench.span);
    let _is_last_change_confirmed = bench.wait_until_confirmed(&discovery, timeout).await;
    let (before, traffic) = (balancer.process.processor_time()?, discovery.traffic());
    let mut confirmed = 0;
    while confirmed < FULL_LISTS {
        discovery.push_full_list();
        if !bench.wait_until_confirmed(&discovery, timeout).await {
            break;
        }
        confirmed += 1;
    }
    let processor_time = balancer.process.processor_time()?.since(&before).on_cpu;
    let calls = discovery.traffic().since(&traffic).calls;
    let is_confirmed = confirmed == FULL_LISTS;
    let not_confirmed_note = || {
        let rate = calls as f64 / timeout.as_secs_f64();
        format!("not applied; requested again {rate:.1} times a second; {}", balancer.last_log_line())
    };
    let measured = SizeMeasurement {
        memory,
        memory_after_full_lists: balancer.process.memory()?,
        change_processor_ms: changes_ms_per_second / CHANGES_PER_SECOND,
        full_list_processor_ms: is_confirmed
            .then(|| processor_time.as_secs_f64() * 1000.0 / f64::from(FULL_LISTS)),
        full_list_note: (!is_confirmed).then(not_confirmed_note),
        full_list_kb: discovery.full_list().len() as f64 / 1000.0,
    };
    balancer.stop().await?;
    Ok(measured)
}
