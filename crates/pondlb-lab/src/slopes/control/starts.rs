//! Against the followers that start at the same time: what one replica server gives of first snapshots, with the limit
//! that a server has where its options say nothing, and without one.

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

const AT_ONCE: [usize; 5] = [8, 32, 64, 128, 256];
/// As a control server has it where its options say nothing.
const DEFAULT_SNAPSHOT_PIECES: f64 = 1000.0;
const LIMITS: [(f64, &str); 2] =
    [(DEFAULT_SNAPSHOT_PIECES, "1000 pieces a second"), (UNBOUNDED_SNAPSHOT_PIECES_PER_SECOND, "no limit")];
/// Each change makes the server write anew what all callers had shared.
const BETWEEN_CHANGES: Duration = Duration::from_millis(500);
const STARTED_WITHIN: Duration = Duration::from_secs(90);
const POLL: Duration = Duration::from_millis(5);
const ALONG: &str = "followers that start at once";

/// Starts at one number of followers.
struct At {
    asked: usize,
    started: usize,
    /// Until the last had its first state in force; none where not all had it in time.
    seconds: Option<f64>,
    server_ms: f64,
    followers_ms: f64,
    counters: FollowerCounters,
}

/// All series along the followers that start at once.
///
/// # Errors
/// As of the dimension as a whole.
pub async fn measure(bench: &Bench, server: &Program) -> io::Result<Vec<Series>> {
    let mut series = Vec::new();
    for (limit, what) in LIMITS {
        let mut deployment = Deployment::start(server, scaled_records(bench, 1), limit).await?;
        let mut measured = Vec::new();
        for followers in AT_ONCE.map(|followers| bench.scaled(followers)) {
            measured.push((followers, at(bench, &mut deployment, followers).await?));
            deployment.end_followers()?;
            // The limit is full again after a second.
            bench.settle().await;
        }
        series.extend(all_series(what, &measured));
    }
    Ok(series)
}

async fn at(bench: &Bench, deployment: &mut Deployment, followers: usize) -> io::Result<At> {
    let before = deployment.replica_sample()?;
    let begun_us = clock::now_us();
    let starts_at_once = u32::try_from(followers).unwrap_or(u32::MAX);
    deployment.followers.add(followers, starts_at_once)?;
    wait_until_started(deployment).await?;
    let after = deployment.replica_sample()?;
    let started = deployment.followers.started();
    let last_us = deployment.followers.last_start_us().filter(|_| started == followers);
    let followers_ms = deployment.followers.processor()?.as_secs_f64() * 1000.0;
    deployment.followers.ask_for_counters().await?;
    let counters = deployment.followers.counters().await?;
    bench.note_serving(&after.scheduled.since(&before.scheduled));
    Ok(At {
        asked: followers,
        started,
        seconds: last_us.map(|last_us| last_us.saturating_sub(begun_us) as f64 / 1e6),
        server_ms: after.processor_ms_since(&before),
        followers_ms,
        counters,
    })
}

/// Makes changes until all followers have a first state, but not for longer than [`STARTED_WITHIN`].
async fn wait_until_started(deployment: &mut Deployment) -> io::Result<()> {
    let begun = Instant::now();
    let mut next_change = begun + BETWEEN_CHANGES;
    while deployment.followers.started() < deployment.followers.len() && begun.elapsed() < STARTED_WITHIN {
        deployment.check()?;
        if Instant::now() >= next_change {
            deployment.change().await?;
            next_change += BETWEEN_CHANGES;
        }
        sleep(POLL).await;
    }
    Ok(())
}

impl At {
    fn for_each_start(&self, value: f64) -> Option<f64> {
        (self.started > 0).then(|| value / self.started as f64)
    }

    fn seen(&self) -> String {
        let At { started, asked, counters, .. } = self;
        format!("{started} of {asked} started; {} of {} calls failed", counters.failures, counters.calls)
    }
}

fn all_series(limit: &str, measured: &[(usize, At)]) -> Vec<Series> {
    let column = |quantity: &str, unit, value: fn(&At) -> Option<f64>| {
        Series::noted(format!("{quantity}, {limit}"), unit, ALONG, measured, value, |at| Some(at.seen()))
    };
    vec![
        column("time until all have their state", "s", |at| at.seconds),
        column("starts a second", "starts/s", |at| Some(at.started as f64 / at.seconds?)).without_fit(),
        column("processor time of a start, replica server", "ms", |at| at.for_each_start(at.server_ms))
            .without_fit(),
        column("processor time of a start, follower", "ms", |at| at.for_each_start(at.followers_ms))
            .without_fit(),
        column("bytes of a start", "KB", |at| at.for_each_start(at.counters.received as f64 / 1000.0)),
        column("calls of a start that failed", "calls", |at| at.for_each_start(at.counters.failures as f64))
            .without_fit(),
    ]
}
