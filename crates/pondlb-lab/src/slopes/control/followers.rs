//! Against the number of followers.

use std::io;

use super::deployment::Deployment;
use super::{phase, scaled_records};
use crate::balancers::Program;
use crate::scale::servers::UNBOUNDED_SNAPSHOT_PIECES_PER_SECOND;
use crate::slopes::bench::Bench;
use crate::slopes::series::Series;

const FOLLOWERS: [usize; 5] = [25, 50, 100, 200, 400];
const CHANGES_PER_SECOND: usize = 2;

/// All series along the number of followers, which are added to those of the size before.
///
/// # Errors
/// As of the dimension as a whole.
pub async fn measure(bench: &Bench, server: &Program) -> io::Result<Vec<Series>> {
    let records = scaled_records(bench, 1);
    let mut deployment = Deployment::start(server, records, UNBOUNDED_SNAPSHOT_PIECES_PER_SECOND).await?;
    let mut measured = Vec::new();
    for followers in FOLLOWERS.map(|followers| bench.scaled(followers)) {
        deployment.grow_followers(followers).await?;
        bench.settle().await;
        measured.push((followers, phase::measure(bench, &mut deployment, CHANGES_PER_SECOND).await?));
    }
    Ok(phase::all_series("followers", &format!("{CHANGES_PER_SECOND} changes a second"), &measured))
}
