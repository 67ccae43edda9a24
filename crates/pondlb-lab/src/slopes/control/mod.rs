//! What a replica server and its origin need, against followers, records, changes a second and starts at once: an
//! origin, one replica server behind it, and followers of the replica server in processes of their own.

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

/// Upstreams, classes and tenants of two years.
const ALL_RECORDS: RecordCounts = RecordCounts { upstreams: 24_000, classes: 1100, tenants: 63_000 };
/// Followers where nothing else is measured along.
const FOLLOWERS: usize = 50;

/// All series of control servers.
///
/// # Errors
/// A server or a process of followers can't be started or ends by itself, the origin refuses a change, or followers
/// have no first state in time.
pub async fn measure(bench: &Bench, options: &Options) -> io::Result<Vec<Series>> {
    let server = &options.control_server;
    let mut series = followers::measure(bench, server).await?;
    series.extend(records::measure(bench, server).await?);
    series.extend(changes::measure(bench, server).await?);
    series.extend(starts::measure(bench, server).await?);
    Ok(series)
}

/// All records over a divisor, as the asked share of it is played.
fn scaled_records(bench: &Bench, divisor: u32) -> RecordCounts {
    let scaled = |count: u32| u32::try_from(bench.scaled((count / divisor) as usize)).unwrap_or(u32::MAX);
    RecordCounts {
        upstreams: scaled(ALL_RECORDS.upstreams),
        classes: scaled(ALL_RECORDS.classes),
        tenants: scaled(ALL_RECORDS.tenants),
    }
}
