//! Measures both servers and all followers over a span with a steady rate of changes.

use std::io;
use std::time::Duration;

use tokio::time::Instant;

use super::deployment::Deployment;
use super::follower_group::FollowerCounters;
use super::server_sample::ServerSample;
use crate::slopes::bench::Bench;
use crate::slopes::series::Series;

/// How long changes are made before the measurement begins.
const CHANGE_WARM_UP_TIME: Duration = Duration::from_secs(1);
/// How long followers may take to apply the last change.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// What both servers and all followers used over a span.
pub struct PhaseMeasurement {
    /// Length of the span, in seconds.
    seconds: f64,
    /// Processor time of the replica server, in milliseconds.
    replica_processor_ms: f64,
    /// Processor time of the origin, in milliseconds.
    origin_processor_ms: f64,
    /// The replica server at the end.
    replica: ServerSample,
    /// The origin at the end.
    origin: ServerSample,
    /// Calls and bytes of all followers.
    counters: FollowerCounters,
    /// Number of followers.
    followers: usize,
    /// Number of followers that have applied all changes.
    followers_up_to_date: usize,
}

/// Makes `per_second` changes a second for the measuring span, and then waits until all followers have applied them.
///
/// # Errors
/// A process has ended, or the origin rejects a change.
pub async fn measure(
    bench: &Bench,
    deployment: &mut Deployment,
    per_second: usize,
) -> io::Result<PhaseMeasurement> {
    deployment.commit_changes_for(CHANGE_WARM_UP_TIME.min(bench.span), per_second).await?;
    let (start, replica_before, origin_before) =
        (Instant::now(), deployment.replica_sample()?, deployment.origin_sample()?);
    deployment.followers.request_counters().await?;
    deployment.commit_changes_for(bench.span, per_second).await?;
    // The followers have answered while the changes were made.
    let counters_before = deployment.followers.counters().await?;
    let (end, replica, origin) = (Instant::now(), deployment.replica_sample()?, deployment.origin_sample()?);
    deployment.followers.request_counters().await?;
    let counters = deployment.followers.counters().await?.since(&counters_before);
    let followers_up_to_date = deployment.wait_until_converged(CONVERGENCE_TIMEOUT).await?;
    bench.record_serving_time(&replica.processor_time.since(&replica_before.processor_time));
    Ok(PhaseMeasurement {
        seconds: (end - start).as_secs_f64(),
        replica_processor_ms: replica.processor_ms_since(&replica_before),
        origin_processor_ms: origin.processor_ms_since(&origin_before),
        replica,
        origin,
        counters,
        followers: deployment.followers.len(),
        followers_up_to_date,
    })
}

/// The series of all quantities along one dimension. `circumstances` ends the name of each quantity.
pub fn all_series(
    along: &'static str,
    circumstances: &str,
    measured: &[(usize, PhaseMeasurement)],
) -> Vec<Series> {
    let column = |quantity: &str, unit, value: fn(&PhaseMeasurement) -> f64| {
        Series::from_measurements(format!("{quantity}, {circumstances}"), unit, along, measured, |phase| {
            Some(value(phase))
        })
    };
    vec![
        column("processor time, replica server", "ms/s", |phase| phase.replica_processor_ms / phase.seconds),
        column("processor time, origin", "ms/s", |phase| phase.origin_processor_ms / phase.seconds),
        column("resident memory, replica server", "MB", |phase| phase.replica.resident_mb()),
        column("peak memory, replica server", "MB", |phase| phase.replica.peak_mb()),
        column("resident memory, origin", "MB", |phase| phase.origin.resident_mb()),
        column("descriptors, replica server", "descriptors", |phase| phase.replica.descriptors as f64),
        column("calls of all followers", "calls/s", |phase| phase.counters.calls as f64 / phase.seconds),
        column("bytes to all followers", "KB/s", |phase| {
            phase.counters.received_bytes as f64 / 1000.0 / phase.seconds
        }),
        column("bytes from all followers", "KB/s", |phase| {
            phase.counters.sent_bytes as f64 / 1000.0 / phase.seconds
        }),
        column("bytes to each follower", "B/s", |phase| {
            phase.counters.received_bytes as f64 / phase.seconds / phase.followers as f64
        }),
        column("followers with all changes", "followers", |phase| phase.followers_up_to_date as f64)
            .without_fit(),
        column("calls that failed", "calls", |phase| phase.counters.failures as f64).without_fit(),
    ]
}
