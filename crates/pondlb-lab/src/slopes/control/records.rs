//! Memory of control servers and the cost of a snapshot, against the number of records.

use std::io;

use super::deployment::Deployment;
use super::server_sample::ServerSample;
use super::{DEFAULT_FOLLOWERS, scaled_records};
use crate::balancers::Program;
use crate::scale::clock;
use crate::scale::records::RecordCounts;
use crate::scale::servers::UNBOUNDED_SNAPSHOT_PIECES_PER_SECOND;
use crate::slopes::bench::Bench;
use crate::slopes::series::Series;

/// The full number of records is divided by each of these, which gives about 5,500 to 88,100 records.
const RECORD_DIVISORS: [u32; 5] = [16, 8, 4, 2, 1];
/// What the sizes of all series count.
const ALONG: &str = "records";

/// The measurements at one number of records.
struct RecordsMeasurement {
    /// The replica server without followers.
    replica_alone: ServerSample,
    /// The origin without followers.
    origin: ServerSample,
    /// The replica server with all followers.
    replica_followed: ServerSample,
    /// Processor time of the replica server for the snapshot of the first follower.
    first_snapshot_processor_ms: f64,
    /// Elapsed time from the start of the first follower until it has its state.
    first_snapshot_ms: f64,
    /// Kilobytes that the first follower received.
    snapshot_kb: f64,
    /// Calls of the first follower.
    snapshot_calls: f64,
    /// Processor time of the replica server for the snapshot of each further follower.
    next_snapshot_processor_ms: f64,
}

/// Measures all series along the number of records.
///
/// # Errors
/// See [`super::measure`].
pub async fn measure(bench: &Bench, server: &Program) -> io::Result<Vec<Series>> {
    let followers = bench.scaled(DEFAULT_FOLLOWERS).max(2);
    let mut measured = Vec::new();
    for records in RECORD_DIVISORS.map(|divisor| scaled_records(bench, divisor)) {
        measured.push((records.total(), measure_records(server, records, followers).await?));
    }
    Ok(all_series(followers, &measured))
}

/// Measures one number of records: starts one follower alone and then the others. No record changes meanwhile.
async fn measure_records(
    server: &Program,
    records: RecordCounts,
    followers: usize,
) -> io::Result<RecordsMeasurement> {
    let mut deployment = Deployment::start(server, records, UNBOUNDED_SNAPSHOT_PIECES_PER_SECOND).await?;
    let (replica_alone, origin) = (deployment.replica_sample()?, deployment.origin_sample()?);
    let start_us = clock::now_us();
    deployment.grow_followers_to(1).await?;
    let with_one_follower = deployment.replica_sample()?;
    let first_state_us = deployment.followers.last_start_us().unwrap_or(start_us).saturating_sub(start_us);
    deployment.followers.request_counters().await?;
    let counters = deployment.followers.counters().await?;
    let before_next = deployment.replica_sample()?;
    deployment.grow_followers_to(followers).await?;
    let replica_followed = deployment.replica_sample()?;
    Ok(RecordsMeasurement {
        replica_alone,
        origin,
        replica_followed,
        first_snapshot_processor_ms: with_one_follower.processor_ms_since(&replica_alone),
        first_snapshot_ms: first_state_us as f64 / 1000.0,
        snapshot_kb: counters.received_bytes as f64 / 1000.0,
        snapshot_calls: counters.calls as f64,
        next_snapshot_processor_ms: replica_followed.processor_ms_since(&before_next)
            / (followers - 1) as f64,
    })
}

/// The series of all quantities.
fn all_series(followers: usize, measured: &[(usize, RecordsMeasurement)]) -> Vec<Series> {
    let column = |quantity: &str, unit, value: fn(&RecordsMeasurement) -> f64| {
        Series::from_measurements(quantity, unit, ALONG, measured, |measurement| Some(value(measurement)))
    };
    let memory_with_followers = |quantity: &str, value: fn(&RecordsMeasurement) -> f64| {
        column(&format!("{quantity}, replica server, {followers} followers"), "MB", value)
    };
    vec![
        column("resident memory, origin, no follower", "MB", |measurement| measurement.origin.resident_mb()),
        column("peak memory, origin, no follower", "MB", |measurement| measurement.origin.peak_mb()),
        column("resident memory, replica server, no follower", "MB", |measurement| {
            measurement.replica_alone.resident_mb()
        }),
        memory_with_followers("resident memory", |measurement| measurement.replica_followed.resident_mb()),
        memory_with_followers("peak memory", |measurement| measurement.replica_followed.peak_mb()),
        column("processor time of the first snapshot, replica server", "ms", |measurement| {
            measurement.first_snapshot_processor_ms
        }),
        column("processor time of each next snapshot, replica server", "ms", |measurement| {
            measurement.next_snapshot_processor_ms
        }),
        column("time until the first follower has its state", "ms", |measurement| {
            measurement.first_snapshot_ms
        }),
        column("bytes of one snapshot", "KB", |measurement| measurement.snapshot_kb),
        column("calls of one snapshot", "calls", |measurement| measurement.snapshot_calls),
    ]
}
