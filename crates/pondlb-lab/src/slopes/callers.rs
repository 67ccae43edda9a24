//! What balancers ask of discovery, against their number.

use std::io;

use super::bench::Bench;
use super::configuration::{First, Size};
use super::series::Series;
use super::stand_in::Traffic;

const BALANCERS: [usize; 5] = [1, 2, 4, 8, 16];
const UPSTREAMS: usize = 200;
const CHANGES_PER_SECOND: f64 = 1.0;

struct At {
    idle: Traffic,
    changing: Traffic,
}

/// All series along the number of balancers.
///
/// # Errors
/// A balancer can't be started, or ends by itself.
pub async fn measure(bench: &Bench) -> io::Result<Vec<Series>> {
    let mut measured = Vec::new();
    for balancers in BALANCERS {
        measured.push((balancers, at(bench, balancers).await?));
    }
    let seconds = bench.span.as_secs_f64();
    let column = |quantity: &str, unit, value: fn(&At) -> f64| {
        Series::column(quantity, unit, "balancers", &measured, |at| Some(value(at) / seconds))
    };
    Ok(vec![
        column("calls without news", "calls/s", |at| at.idle.calls as f64),
        column("bytes to balancers without news", "KB/s", |at| at.idle.sent as f64 / 1000.0),
        column("bytes from balancers without news", "KB/s", |at| at.idle.received as f64 / 1000.0),
        column("calls with a change a second", "calls/s", |at| at.changing.calls as f64),
        column("bytes to balancers with a change a second", "KB/s", |at| at.changing.sent as f64 / 1000.0),
    ])
}

async fn at(bench: &Bench, balancers: usize) -> io::Result<At> {
    let discovery = bench.discovery(UPSTREAMS).await?;
    let mut running = Vec::new();
    for _ in 0..balancers {
        running.push(bench.start(&discovery, Size::of_upstreams(UPSTREAMS), First::Known).await?);
    }
    bench.settle().await;
    let idle = bench.spend(&running[0], &discovery).await?.traffic;
    let changes = bench.change(&discovery, UPSTREAMS, CHANGES_PER_SECOND);
    let changing = bench.spend_beside(&running[0], &discovery, changes).await?.traffic;
    for balancer in running {
        balancer.end().await?;
    }
    Ok(At { idle, changing })
}
