//! Measures what a replica server and its origin use, against the number of followers, records, changes per second and
//! concurrent starts. An origin feeds one replica server, which is followed by hollow balancers in processes of their
//! own.

mod changes;
mod deployment;
mod follower_group;
mod followers;
mod phase;
mod records;
mod server_sample;
mod starts;

use std::io;

use super::Options;
use super::bench::Bench;
use super::series::Series;
use crate::scale::records::RecordCounts;

/// The number of records in the fleet size that is planned for in two years.
const FULL_RECORD_COUNTS: RecordCounts = RecordCounts { upstreams: 24_000, classes: 1100, tenants: 63_000 };
/// Number of followers where another dimension is varied.
const DEFAULT_FOLLOWERS: usize = 50;

/// Measures all series of control servers.
///
/// # Errors
/// A server or a process of followers can't be started or exits on its own, the origin rejects a change, or followers
/// do not receive their first state in time.
pub async fn measure(bench: &Bench, options: &Options) -> io::Result<Vec<Series>> {
    let server = &options.control_server;
    let mut series = followers::measure(bench, server).await?;
    series.extend(records::measure(bench, server).await?);
    series.extend(changes::measure(bench, server).await?);
    series.extend(starts::measure(bench, server).await?);
    Ok(series)
}

/// The full number of records divided by `divisor` and scaled by the share of the run, for each kind of record.
fn scaled_records(bench: &Bench, divisor: u32) -> RecordCounts {
    let scaled = |count: u32| u32::try_from(bench.scaled((count / divisor) as usize)).unwrap_or(u32::MAX);
    RecordCounts {
        upstreams: scaled(FULL_RECORD_COUNTS.upstreams),
        classes: scaled(FULL_RECORD_COUNTS.classes),
        tenants: scaled(FULL_RECORD_COUNTS.tenants),
    }
}
