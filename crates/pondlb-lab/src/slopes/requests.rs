//! Cost and latency of a balancer, against the rate of requests.

use std::io;

use super::bench::{Bench, LoadMeasurement};
use super::changes::latency_series;
use super::configuration::{ConfigurationSize, InitialList, class_name};
use super::series::Series;

/// Numbers of upstreams in the list at which the rate of requests is varied.
const LIST_LENGTHS: [usize; 2] = [200, 24_000];
/// Requests per second.
const REQUEST_RATES: [usize; 5] = [20, 50, 113, 200, 400];

/// Measures all series along the rate of requests.
///
/// # Errors
/// A balancer can't be started or exits on its own.
pub async fn measure(bench: &Bench) -> io::Result<Vec<Series>> {
    let mut series = Vec::new();
    for upstreams in LIST_LENGTHS.map(|list| bench.scaled(list)) {
        series.extend(measure_list_length(bench, upstreams).await?);
    }
    Ok(series)
}

/// Measures a balancer with a list of this length at each rate.
async fn measure_list_length(bench: &Bench, upstreams: usize) -> io::Result<Vec<Series>> {
    let mut measured = Vec::new();
    for rate in REQUEST_RATES {
        // Each rate gets a balancer process of its own, because the number of upstreams that a balancer uses follows
        // from its request rate.
        let discovery = bench.start_discovery(upstreams).await?;
        let balancer = bench
            .start_balancer(
                &discovery,
                ConfigurationSize::of_upstreams(upstreams),
                InitialList::InConfiguration,
            )
            .await?;
        bench.warm_up(&balancer, &class_name(0), rate as f64).await?;
        let under_load =
            bench.measure_under_load(&balancer, &discovery, &class_name(0), rate as f64, async {}).await?;
        balancer.stop().await?;
        measured.push((rate, under_load));
    }
    let along = "requests a second";
    let quantity_name = |quantity: &str| format!("{quantity}, {upstreams} upstreams");
    let per_second =
        |measurement: &LoadMeasurement, value: u64| value as f64 / measurement.usage.span.as_secs_f64();
    let mut series = vec![
        Series::from_measurements(quantity_name("processor time"), "ms/s", along, &measured, |measurement| {
            Some(measurement.usage.processor_ms_per_second())
        }),
        Series::from_measurements(
            quantity_name("connections to upstreams"),
            "connections",
            along,
            &measured,
            |measurement| Some(measurement.upstream_connections as f64),
        ),
        Series::from_measurements(
            quantity_name("descriptors"),
            "descriptors",
            along,
            &measured,
            |measurement| Some(measurement.descriptors as f64),
        ),
        Series::from_measurements(
            quantity_name("calls to discovery"),
            "calls/s",
            along,
            &measured,
            |measurement| Some(per_second(measurement, measurement.usage.traffic.calls)),
        ),
    ];
    series.extend(latency_series(&quantity_name, along, &measured));
    Ok(series)
}
