//! Usage of control servers, against the rate of changes.

use std::io;

use super::deployment::Deployment;
use super::{DEFAULT_FOLLOWERS, phase, scaled_records};
use crate::balancers::Program;
use crate::scale::servers::UNBOUNDED_SNAPSHOT_PIECES_PER_SECOND;
use crate::slopes::bench::Bench;
use crate::slopes::series::Series;

/// Changes per second.
const CHANGE_RATES: [usize; 5] = [2, 5, 10, 20, 50];

/// Measures all series along the rate of changes.
///
/// # Errors
/// See [`super::measure`].
pub async fn measure(bench: &Bench, server: &Program) -> io::Result<Vec<Series>> {
    let records = scaled_records(bench, 1);
    let followers = bench.scaled(DEFAULT_FOLLOWERS);
    let mut deployment = Deployment::start(server, records, UNBOUNDED_SNAPSHOT_PIECES_PER_SECOND).await?;
    deployment.grow_followers_to(followers).await?;
    bench.settle().await;
    let mut measured = Vec::new();
    for rate in CHANGE_RATES {
        measured.push((rate, phase::measure(bench, &mut deployment, rate).await?));
    }
    Ok(phase::all_series("changes a second", &format!("{followers} followers"), &measured))
}
