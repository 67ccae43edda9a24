//! Usage of control servers, against the number of followers.

use std::io;

use super::deployment::Deployment;
use super::{phase, scaled_records};
use crate::balancers::Program;
use crate::scale::servers::UNBOUNDED_SNAPSHOT_PIECES_PER_SECOND;
use crate::slopes::bench::Bench;
use crate::slopes::series::Series;

/// Numbers of followers of the replica server.
const FOLLOWER_COUNTS: [usize; 5] = [25, 50, 100, 200, 400];
/// Rate of changes during each measurement.
const CHANGES_PER_SECOND: usize = 2;

/// Measures all series along the number of followers. At each size, followers are added to those of the previous one.
///
/// # Errors
/// See [`super::measure`].
pub async fn measure(bench: &Bench, server: &Program) -> io::Result<Vec<Series>> {
    let records = scaled_records(bench, 1);
    let mut deployment = Deployment::start(server, records, UNBOUNDED_SNAPSHOT_PIECES_PER_SECOND).await?;
    let mut measured = Vec::new();
    for followers in FOLLOWER_COUNTS.map(|followers| bench.scaled(followers)) {
        deployment.grow_followers_to(followers).await?;
        bench.settle().await;
        measured.push((followers, phase::measure(bench, &mut deployment, CHANGES_PER_SECOND).await?));
    }
    Ok(phase::all_series("followers", &format!("{CHANGES_PER_SECOND} changes a second"), &measured))
}
