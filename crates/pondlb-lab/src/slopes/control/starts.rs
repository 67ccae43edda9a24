//! Cost and duration of the first snapshots of a replica server, against the number of followers that start at the same
//! time, with the default limit on snapshots and without a limit.

use std::io;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::deployment::Deployment;
use super::follower_group::FollowerCounters;
use super::scaled_records;
use crate::balancers::Program;
use crate::scale::clock;
use crate::scale::servers::UNBOUNDED_SNAPSHOT_PIECES_PER_SECOND;
use crate::slopes::bench::Bench;
use crate::slopes::series::Series;

/// Followers that start at the same time.
const CONCURRENT_STARTS: [usize; 5] = [8, 32, 64, 128, 256];
/// The limit of a control server whose options set none.
const DEFAULT_SNAPSHOT_PIECES_PER_SECOND: f64 = 1000.0;
/// The limits under which starts are measured.
const SNAPSHOT_LIMITS: [SnapshotLimit; 2] = [
    SnapshotLimit { pieces_per_second: DEFAULT_SNAPSHOT_PIECES_PER_SECOND, name: "1000 pieces a second" },
    SnapshotLimit { pieces_per_second: UNBOUNDED_SNAPSHOT_PIECES_PER_SECOND, name: "no limit" },
];
/// Time between two changes. Each change makes the server rebuild the responses that its callers share.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// How long the followers may take to receive their first state.
const START_TIMEOUT: Duration = Duration::from_secs(90);
/// Time between two checks of the started followers.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// What the sizes of all series count.
const ALONG: &str = "followers that start at once";

/// A limit on the snapshot pieces that a server sends.
struct SnapshotLimit {
    pieces_per_second: f64,
    /// The name in the report.
    name: &'static str,
}

/// The measurements at one number of followers.
struct StartsMeasurement {
    /// Number of followers to start.
    followers: usize,
    /// Number of followers that had their first state in time.
    started: usize,
    /// Time until the last follower had its first state, in seconds; none if not all had it in time.
    seconds: Option<f64>,
    /// Processor time of the replica server.
    server_processor_ms: f64,
    /// Processor time of all followers' processes.
    followers_processor_ms: f64,
    /// Calls and bytes of all followers.
    counters: FollowerCounters,
}

/// Measures all series along the number of followers that start at the same time.
///
/// # Errors
/// See [`super::measure`].
pub async fn measure(bench: &Bench, server: &Program) -> io::Result<Vec<Series>> {
    let mut series = Vec::new();
    for limit in SNAPSHOT_LIMITS {
        let mut deployment =
            Deployment::start(server, scaled_records(bench, 1), limit.pieces_per_second).await?;
        let mut measured = Vec::new();
        for followers in CONCURRENT_STARTS.map(|followers| bench.scaled(followers)) {
            measured.push((followers, measure_starts(bench, &mut deployment, followers).await?));
            deployment.end_followers()?;
            // The server's allowance of snapshot pieces is full again after a second.
            bench.settle().await;
        }
        series.extend(all_series(limit.name, &measured));
    }
    Ok(series)
}

/// Starts this many followers at the same time and measures their starts.
async fn measure_starts(
    bench: &Bench,
    deployment: &mut Deployment,
    followers: usize,
) -> io::Result<StartsMeasurement> {
    let before = deployment.replica_sample()?;
    let start_us = clock::now_us();
    let starts_at_once = u32::try_from(followers).unwrap_or(u32::MAX);
    deployment.followers.add(followers, starts_at_once)?;
    wait_until_started(deployment).await?;
    let after = deployment.replica_sample()?;
    let started = deployment.followers.started_count();
    let last_us = deployment.followers.last_start_us().filter(|_| started == followers);
    let followers_ms = deployment.followers.processor_time()?.as_secs_f64() * 1000.0;
    deployment.followers.request_counters().await?;
    let counters = deployment.followers.counters().await?;
    bench.record_serving_time(&after.processor_time.since(&before.processor_time));
    Ok(StartsMeasurement {
        followers,
        started,
        seconds: last_us.map(|last_us| last_us.saturating_sub(start_us) as f64 / 1e6),
        server_processor_ms: after.processor_ms_since(&before),
        followers_processor_ms: followers_ms,
        counters,
    })
}

/// Makes changes until all followers have their first state or [`START_TIMEOUT`] has passed.
async fn wait_until_started(deployment: &mut Deployment) -> io::Result<()> {
    let start = Instant::now();
    let mut next_change = start + CHANGE_INTERVAL;
    while deployment.followers.started_count() < deployment.followers.len() && start.elapsed() < START_TIMEOUT
    {
        deployment.check_running()?;
        if Instant::now() >= next_change {
            deployment.commit_change().await?;
            next_change += CHANGE_INTERVAL;
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

impl StartsMeasurement {
    /// A total divided by the number of started followers; none if no follower has started.
    fn per_start(&self, value: f64) -> Option<f64> {
        (self.started > 0).then(|| value / self.started as f64)
    }

    /// The note beside each value: started followers and failed calls.
    fn start_note(&self) -> String {
        let StartsMeasurement { started, followers, counters, .. } = self;
        format!("{started} of {followers} started; {} of {} calls failed", counters.failures, counters.calls)
    }
}

/// The series of all quantities under one limit.
fn all_series(limit_name: &str, measured: &[(usize, StartsMeasurement)]) -> Vec<Series> {
    let column = |quantity: &str, unit, value: fn(&StartsMeasurement) -> Option<f64>| {
        Series::from_measurements_with_notes(
            format!("{quantity}, {limit_name}"),
            unit,
            ALONG,
            measured,
            value,
            |measurement| Some(measurement.start_note()),
        )
    };
    vec![
        column("time until all have their state", "s", |measurement| measurement.seconds),
        column("starts a second", "starts/s", |measurement| {
            Some(measurement.started as f64 / measurement.seconds?)
        })
        .without_fit(),
        column("processor time of a start, replica server", "ms", |measurement| {
            measurement.per_start(measurement.server_processor_ms)
        })
        .without_fit(),
        column("processor time of a start, follower", "ms", |measurement| {
            measurement.per_start(measurement.followers_processor_ms)
        })
        .without_fit(),
        column("bytes of a start", "KB", |measurement| {
            measurement.per_start(measurement.counters.received_bytes as f64 / 1000.0)
        }),
        column("calls of a start that failed", "calls", |measurement| {
            measurement.per_start(measurement.counters.failures as f64)
        })
        .without_fit(),
    ]
}
