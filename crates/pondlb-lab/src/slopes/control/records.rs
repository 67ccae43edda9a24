//! Against the number of records: memory, and what a snapshot costs.

use std::io;

use super::deployment::Deployment;
use super::server_sample::ServerSample;
use super::{FOLLOWERS, scaled_records};
use crate::balancers::Program;
use crate::scale::clock;
use crate::scale::records::RecordCounts;
use crate::scale::servers::UNBOUNDED_SNAPSHOT_PIECES_PER_SECOND;
use crate::slopes::bench::Bench;
use crate::slopes::series::Series;

/// All records over each of these: some 5,500 to 88,100.
const DIVISORS: [u32; 5] = [16, 8, 4, 2, 1];
const ALONG: &str = "records";

/// Everything at one number of records.
struct At {
    /// Before there were followers.
    alone: ServerSample,
    origin: ServerSample,
    /// With all followers.
    followed: ServerSample,
    first_snapshot_processor_ms: f64,
    first_snapshot_ms: f64,
    snapshot_kb: f64,
    snapshot_calls: f64,
    next_snapshot_processor_ms: f64,
}

/// All series along the number of records.
///
/// # Errors
/// As of the dimension as a whole.
pub async fn measure(bench: &Bench, server: &Program) -> io::Result<Vec<Series>> {
    let followers = bench.scaled(FOLLOWERS).max(2);
    let mut measured = Vec::new();
    for records in DIVISORS.map(|divisor| scaled_records(bench, divisor)) {
        measured.push((records.total(), at(server, records, followers).await?));
    }
    Ok(all_series(followers, &measured))
}

/// Starts one follower by itself, and then the others. Nothing changes meanwhile.
async fn at(server: &Program, records: RecordCounts, followers: usize) -> io::Result<At> {
    let mut deployment = Deployment::start(server, records, UNBOUNDED_SNAPSHOT_PIECES_PER_SECOND).await?;
    let (alone, origin) = (deployment.replica_sample()?, deployment.origin_sample()?);
    let begun_us = clock::now_us();
    deployment.grow_followers(1).await?;
    let one = deployment.replica_sample()?;
    let first_us = deployment.followers.last_start_us().unwrap_or(begun_us).saturating_sub(begun_us);
    deployment.followers.ask_for_counters().await?;
    let counters = deployment.followers.counters().await?;
    let before_next = deployment.replica_sample()?;
    deployment.grow_followers(followers).await?;
    let followed = deployment.replica_sample()?;
    Ok(At {
        alone,
        origin,
        followed,
        first_snapshot_processor_ms: one.processor_ms_since(&alone),
        first_snapshot_ms: first_us as f64 / 1000.0,
        snapshot_kb: counters.received as f64 / 1000.0,
        snapshot_calls: counters.calls as f64,
        next_snapshot_processor_ms: followed.processor_ms_since(&before_next) / (followers - 1) as f64,
    })
}

fn all_series(followers: usize, measured: &[(usize, At)]) -> Vec<Series> {
    let column = |quantity: &str, unit, value: fn(&At) -> f64| {
        Series::column(quantity, unit, ALONG, measured, |at| Some(value(at)))
    };
    let followed = |quantity: &str, value: fn(&At) -> f64| {
        column(&format!("{quantity}, replica server, {followers} followers"), "MB", value)
    };
    vec![
        column("resident memory, origin, no follower", "MB", |at| at.origin.resident_mb()),
        column("peak memory, origin, no follower", "MB", |at| at.origin.peak_mb()),
        column("resident memory, replica server, no follower", "MB", |at| at.alone.resident_mb()),
        followed("resident memory", |at| at.followed.resident_mb()),
        followed("peak memory", |at| at.followed.peak_mb()),
        column("processor time of the first snapshot, replica server", "ms", |at| {
            at.first_snapshot_processor_ms
        }),
        column("processor time of each next snapshot, replica server", "ms", |at| {
            at.next_snapshot_processor_ms
        }),
        column("time until the first follower has its state", "ms", |at| at.first_snapshot_ms),
        column("bytes of one snapshot", "KB", |at| at.snapshot_kb),
        column("calls of one snapshot", "calls", |at| at.snapshot_calls),
    ]
}
