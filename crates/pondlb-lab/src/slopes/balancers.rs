//! Calls and traffic of balancers to discovery, against the number of balancers.

use std::io;

use super::bench::Bench;
use super::configuration::{ConfigurationSize, InitialList};
use super::series::Series;
use super::stubs::Traffic;

/// Numbers of balancers that watch the same discovery service.
const BALANCER_COUNTS: [usize; 5] = [1, 2, 4, 8, 16];
/// Number of upstreams in the list.
const LIST_LENGTH: usize = 200;
/// Rate of upstream changes while the traffic with changes is measured.
const CHANGES_PER_SECOND: f64 = 1.0;

/// The traffic between all balancers and discovery.
struct DiscoveryTraffic {
    /// While the list does not change.
    idle: Traffic,
    /// While single upstreams change.
    changing: Traffic,
}

/// Measures all series along the number of balancers.
///
/// # Errors
/// A balancer can't be started or exits on its own.
pub async fn measure(bench: &Bench) -> io::Result<Vec<Series>> {
    let mut measured = Vec::new();
    for balancers in BALANCER_COUNTS {
        measured.push((balancers, measure_count(bench, balancers).await?));
    }
    let seconds = bench.span.as_secs_f64();
    let column = |quantity: &str, unit, value: fn(&DiscoveryTraffic) -> f64| {
        Series::from_measurements(quantity, unit, "balancers", &measured, |measurement| {
            Some(value(measurement) / seconds)
        })
    };
    Ok(vec![
        column("calls without news", "calls/s", |measurement| measurement.idle.calls as f64),
        column("bytes to balancers without news", "KB/s", |measurement| {
            measurement.idle.sent_bytes as f64 / 1000.0
        }),
        column("bytes from balancers without news", "KB/s", |measurement| {
            measurement.idle.received_bytes as f64 / 1000.0
        }),
        column("calls with a change a second", "calls/s", |measurement| measurement.changing.calls as f64),
        column("bytes to balancers with a change a second", "KB/s", |measurement| {
            measurement.changing.sent_bytes as f64 / 1000.0
        }),
    ])
}

/// Measures the traffic of this many balancers.
async fn measure_count(bench: &Bench, balancers: usize) -> io::Result<DiscoveryTraffic> {
    let discovery = bench.start_discovery(LIST_LENGTH).await?;
    let mut running = Vec::new();
    for _ in 0..balancers {
        running.push(
            bench
                .start_balancer(
                    &discovery,
                    ConfigurationSize::of_upstreams(LIST_LENGTH),
                    InitialList::InConfiguration,
                )
                .await?,
        );
    }
    bench.settle().await;
    let idle = bench.measure_usage(&running[0], &discovery).await?.traffic;
    let changes = bench.push_changes_at_rate(&discovery, LIST_LENGTH, CHANGES_PER_SECOND);
    let changing = bench.measure_usage_during(&running[0], &discovery, changes).await?.traffic;
    for balancer in running {
        balancer.stop().await?;
    }
    Ok(DiscoveryTraffic { idle, changing })
}
