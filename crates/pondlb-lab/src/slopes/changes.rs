//! Cost of changes of the list for a balancer under load, against the rate of changes of single upstreams and against
//! the number of upstreams changed in one message.

use std::io;
use std::time::Duration;

use tokio::time::sleep;

use super::bench::{Bench, LoadMeasurement};
use super::configuration::{ConfigurationSize, InitialList, class_name};
use super::load_generator::Latency;
use super::process_stats::ProcessorTime;
use super::series::Series;

/// Numbers of upstreams in the list at which the rate of changes is varied.
const LIST_LENGTHS: [usize; 2] = [200, 24_000];
/// Changes of single upstreams per second.
const CHANGE_RATES: [usize; 5] = [2, 5, 10, 20, 40];
/// Upstreams changed in one message.
const ENTRIES_PER_MESSAGE: [usize; 5] = [100, 400, 1200, 2400, 4800];
/// Number of upstreams in the list for messages with many changes.
const MESSAGE_LIST_LENGTH: usize = 24_000;
/// Mean request rate of one of 1,500 balancers at a peak of 170,000 requests per second.
const REQUESTS_PER_SECOND: f64 = 113.0;
/// Time between two messages with many changes.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(1000);

/// A balancer under load with messages of one size.
struct MessageMeasurement {
    /// Processor time of one message beyond that of the load.
    processor_ms: f64,
    under_load: LoadMeasurement,
}

/// Measures all series along the rate of changes and the size of messages.
///
/// # Errors
/// A balancer can't be started or exits on its own.
pub async fn measure(bench: &Bench) -> io::Result<Vec<Series>> {
    let mut series = Vec::new();
    for upstreams in LIST_LENGTHS.map(|list| bench.scaled(list)) {
        series.extend(measure_single_changes(bench, upstreams).await?);
    }
    series.extend(measure_message_sizes(bench).await?);
    Ok(series)
}

/// Measures a balancer at each rate of changes of single upstreams.
async fn measure_single_changes(bench: &Bench, upstreams: usize) -> io::Result<Vec<Series>> {
    let discovery = bench.start_discovery(upstreams).await?;
    let balancer = bench
        .start_balancer(&discovery, ConfigurationSize::of_upstreams(upstreams), InitialList::InConfiguration)
        .await?;
    bench.warm_up(&balancer, &class_name(0), REQUESTS_PER_SECOND).await?;
    let mut measured = Vec::new();
    for rate in CHANGE_RATES {
        let changes = bench.push_changes_at_rate(&discovery, upstreams, rate as f64);
        let under_load = bench
            .measure_under_load(&balancer, &discovery, &class_name(0), REQUESTS_PER_SECOND, changes)
            .await?;
        measured.push((rate, under_load));
    }
    balancer.stop().await?;
    let along = "changes a second";
    let quantity_name = |quantity: &str| format!("{quantity}, {upstreams} upstreams");
    let processor_time = Series::from_measurements(
        quantity_name("processor time with 113 requests a second"),
        "ms/s",
        along,
        &measured,
        |measurement| Some(measurement.usage.processor_ms_per_second()),
    );
    let bytes = Series::from_measurements(
        quantity_name("bytes from discovery"),
        "KB/s",
        along,
        &measured,
        |measurement| {
            Some(measurement.usage.traffic.sent_bytes as f64 / 1000.0 / measurement.usage.span.as_secs_f64())
        },
    );
    Ok([vec![processor_time, bytes], latency_series(&quantity_name, along, &measured)].concat())
}

/// Measures a balancer with one message per second, at each number of changed upstreams in a message.
async fn measure_message_sizes(bench: &Bench) -> io::Result<Vec<Series>> {
    let upstreams = bench.scaled(MESSAGE_LIST_LENGTH);
    let discovery = bench.start_discovery(upstreams).await?;
    let balancer = bench
        .start_balancer(&discovery, ConfigurationSize::of_upstreams(upstreams), InitialList::InConfiguration)
        .await?;
    bench.warm_up(&balancer, &class_name(0), REQUESTS_PER_SECOND).await?;
    let mut measured = Vec::new();
    for entries in ENTRIES_PER_MESSAGE.map(|entries| bench.scaled(entries)) {
        let class = class_name(0);
        let quiet =
            bench.measure_under_load(&balancer, &discovery, &class, REQUESTS_PER_SECOND, async {}).await?;
        let messages = (bench.span.as_secs_f64() / MESSAGE_INTERVAL.as_secs_f64()).ceil().max(1.0);
        let changes = async {
            for _ in 0..messages as u32 {
                discovery.push_changes(0..entries);
                sleep(MESSAGE_INTERVAL.min(bench.span)).await;
            }
        };
        let under_load =
            bench.measure_under_load(&balancer, &discovery, &class, REQUESTS_PER_SECOND, changes).await?;
        let quiet_ms = quiet.usage.processor_ms_per_second() * under_load.usage.span.as_secs_f64();
        let message_ms = (under_load.usage.processor_time.on_cpu_ms() - quiet_ms) / messages;
        measured.push((entries, MessageMeasurement { processor_ms: message_ms, under_load }));
    }
    balancer.stop().await?;
    let along = "entries changed at once";
    let message = Series::from_measurements(
        format!("processor time of one message, {upstreams} upstreams"),
        "ms",
        along,
        &measured,
        |measurement| Some(measurement.processor_ms),
    );
    let under_load: Vec<(usize, LoadMeasurement)> =
        measured.into_iter().map(|(size, measurement)| (size, measurement.under_load)).collect();
    let quantity_name = |quantity: &str| format!("{quantity}, once a second, {upstreams} upstreams");
    Ok([vec![message], latency_series(&quantity_name, along, &under_load)].concat())
}

/// Series of the latencies through the balancer and directly from an upstream in the same span.
pub(super) fn latency_series(
    quantity_name: &dyn Fn(&str) -> String,
    along: &'static str,
    measured: &[(usize, LoadMeasurement)],
) -> Vec<Series> {
    let column = |quantity: &str, value: fn(&LoadMeasurement) -> f64| {
        Series::from_measurements_with_notes(
            quantity_name(quantity),
            "ms",
            along,
            measured,
            |measurement| (measurement.balancer_latency.answered > 0).then(|| value(measurement)),
            |measurement| {
                Some(latency_note(&measurement.balancer_latency, &measurement.usage.processor_time))
            },
        )
        .without_fit()
    };
    vec![
        column("p50 through the balancer", |measurement| measurement.balancer_latency.p50_ms),
        column("p50 direct", |measurement| measurement.direct_latency.p50_ms),
        column("p99 through the balancer", |measurement| measurement.balancer_latency.p99_ms),
        column("p99 direct", |measurement| measurement.direct_latency.p99_ms),
        column("added p99", |measurement| {
            measurement.balancer_latency.p99_ms - measurement.direct_latency.p99_ms
        }),
        column("most through the balancer", |measurement| measurement.balancer_latency.max_ms),
        column("most direct", |measurement| measurement.direct_latency.max_ms),
    ]
}

/// The note beside a latency: the numbers of answered and failed requests, and how long the balancer waited for a
/// processor relative to the time that it ran on one.
pub fn latency_note(latency: &Latency, processor_time: &ProcessorTime) -> String {
    let Latency { answered, failed, .. } = latency;
    let waited_percent =
        100.0 * processor_time.run_queue_wait.as_secs_f64() / processor_time.on_cpu.as_secs_f64();
    format!(
        "{answered} answered, {failed} failed; waited for a processor for {waited_percent:.0} % of the time on one"
    )
}
