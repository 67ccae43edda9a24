//! Against the rate of changes.

use std::io;

use super::deployment::Deployment;
use super::{FOLLOWERS, phase, scaled_records};
use crate::balancers::Program;
use crate::scale::servers::UNBOUNDED_SNAPSHOT_PIECES_PER_SECOND;
use crate::slopes::bench::Bench;
use crate::slopes::series::Series;

const RATES: [usize; 5] = [2, 5, 10, 20, 50];

/// All series along the changes a second.
///
/// # Errors
/// As of the dimension as a whole.
pub async fn measure(bench: &Bench, server: &Program) -> io::Result<Vec<Series>> {
    let records = scaled_records(bench, 1);
    let followers = bench.scaled(FOLLOWERS);
    let mut deployment = Deployment::start(server, records, UNBOUNDED_SNAPSHOT_PIECES_PER_SECOND).await?;
    deployment.grow_followers(followers).await?;
    bench.settle().await;
    let mut measured = Vec::new();
    for rate in RATES {
        measured.push((rate, phase::measure(bench, &mut deployment, rate).await?));
    }
    Ok(phase::all_series("changes a second", &format!("{followers} followers"), &measured))
}
