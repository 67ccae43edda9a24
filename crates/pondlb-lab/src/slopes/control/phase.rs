//! Both servers and all followers over a span with a steady rate of changes.

use std::io;
use std::time::Duration;

use tokio::time::Instant;

use super::deployment::Deployment;
use super::follower_group::FollowerCounters;
use super::server_sample::ServerSample;
use crate::slopes::bench::Bench;
use crate::slopes::series::Series;

/// Changes go on for so long before anything is counted.
const LEAD_IN: Duration = Duration::from_secs(1);
const REACHED_WITHIN: Duration = Duration::from_secs(10);

/// What was used in a span.
pub struct Phase {
    seconds: f64,
    replica_ms: f64,
    origin_ms: f64,
    replica: ServerSample,
    origin: ServerSample,
    counters: FollowerCounters,
    followers: usize,
    /// How many have all changes in force in the end.
    reached: usize,
}

/// Makes so many changes a second for the span of a measurement, and then waits until all followers have them.
///
/// # Errors
/// A process has ended, or the origin refuses a change.
pub async fn measure(bench: &Bench, deployment: &mut Deployment, per_second: usize) -> io::Result<Phase> {
    deployment.change_for(LEAD_IN.min(bench.span), per_second).await?;
    let (begun, replica_before, origin_before) =
        (Instant::now(), deployment.replica_sample()?, deployment.origin_sample()?);
    deployment.followers.ask_for_counters().await?;
    deployment.change_for(bench.span, per_second).await?;
    // Their answers have come while changes were made.
    let counters_before = deployment.followers.counters().await?;
    let (ended, replica, origin) =
        (Instant::now(), deployment.replica_sample()?, deployment.origin_sample()?);
    deployment.followers.ask_for_counters().await?;
    let counters = deployment.followers.counters().await?.since(&counters_before);
    let reached = deployment.wait_until_reached(REACHED_WITHIN).await?;
    bench.note_serving(&replica.scheduled.since(&replica_before.scheduled));
    Ok(Phase {
        seconds: (ended - begun).as_secs_f64(),
        replica_ms: replica.processor_ms_since(&replica_before),
        origin_ms: origin.processor_ms_since(&origin_before),
        replica,
        origin,
        counters,
        followers: deployment.followers.len(),
        reached,
    })
}

/// All quantities of phases along something; `what` tells the rest of the circumstances.
pub fn all_series(along: &'static str, what: &str, measured: &[(usize, Phase)]) -> Vec<Series> {
    let column = |quantity: &str, unit, value: fn(&Phase) -> f64| {
        Series::column(format!("{quantity}, {what}"), unit, along, measured, |phase| Some(value(phase)))
    };
    vec![
        column("processor time, replica server", "ms/s", |phase| phase.replica_ms / phase.seconds),
        column("processor time, origin", "ms/s", |phase| phase.origin_ms / phase.seconds),
        column("resident memory, replica server", "MB", |phase| phase.replica.resident_mb()),
        column("peak memory, replica server", "MB", |phase| phase.replica.peak_mb()),
        column("resident memory, origin", "MB", |phase| phase.origin.resident_mb()),
        column("descriptors, replica server", "descriptors", |phase| phase.replica.descriptors as f64),
        column("calls of all followers", "calls/s", |phase| phase.counters.calls as f64 / phase.seconds),
        column("bytes to all followers", "KB/s", |phase| {
            phase.counters.received as f64 / 1000.0 / phase.seconds
        }),
        column("bytes from all followers", "KB/s", |phase| {
            phase.counters.sent as f64 / 1000.0 / phase.seconds
        }),
        column("bytes to each follower", "B/s", |phase| {
            phase.counters.received as f64 / phase.seconds / phase.followers as f64
        }),
        column("followers with all changes", "followers", |phase| phase.reached as f64).without_fit(),
        column("calls that failed", "calls", |phase| phase.counters.failures as f64).without_fit(),
    ]
}
