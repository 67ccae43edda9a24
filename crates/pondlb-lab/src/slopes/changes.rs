//! Against the rate of changes of single entries, and against the entries changed in one message.

use std::io;
use std::time::Duration;

use tokio::time::sleep;

use super::bench::{Bench, Served};
use super::configuration::{First, Size, class_name};
use super::load::Latency;
use super::probe::Scheduled;
use super::series::Series;

const LISTS: [usize; 2] = [200, 24_000];
const RATES: [usize; 5] = [2, 5, 10, 20, 40];
const AT_ONCE: [usize; 5] = [100, 400, 1200, 2400, 4800];
const LISTED: usize = 24_000;
/// The mean of a balancer at the peak: 170,000 by 1,500.
const REQUESTS_PER_SECOND: f64 = 113.0;
const BETWEEN: Duration = Duration::from_millis(1000);

/// All series along changes.
///
/// # Errors
/// A balancer can't be started, or ends by itself.
pub async fn measure(bench: &Bench) -> io::Result<Vec<Series>> {
    let mut series = Vec::new();
    for upstreams in LISTS.map(|list| bench.scaled(list)) {
        series.extend(single(bench, upstreams).await?);
    }
    series.extend(at_once(bench).await?);
    Ok(series)
}

async fn single(bench: &Bench, upstreams: usize) -> io::Result<Vec<Series>> {
    let discovery = bench.discovery(upstreams).await?;
    let running = bench.start(&discovery, Size::of_upstreams(upstreams), First::Known).await?;
    bench.warm_up(&running, &class_name(0), REQUESTS_PER_SECOND).await?;
    let mut measured = Vec::new();
    for rate in RATES {
        let changes = bench.change(&discovery, upstreams, rate as f64);
        let served = bench.serve(&running, &discovery, &class_name(0), REQUESTS_PER_SECOND, changes).await?;
        measured.push((rate, served));
    }
    running.end().await?;
    let along = "changes a second";
    let what = |quantity: &str| format!("{quantity}, {upstreams} upstreams");
    let processor =
        Series::column(what("processor time with 113 requests a second"), "ms/s", along, &measured, |at| {
            Some(at.spent.processor_ms_per_second())
        });
    let bytes = Series::column(what("bytes from discovery"), "KB/s", along, &measured, |at| {
        Some(at.spent.traffic.sent as f64 / 1000.0 / at.spent.span.as_secs_f64())
    });
    Ok([vec![processor, bytes], latency(&what, along, &measured)].concat())
}

/// Entries of one message, one message a second.
async fn at_once(bench: &Bench) -> io::Result<Vec<Series>> {
    let upstreams = bench.scaled(LISTED);
    let discovery = bench.discovery(upstreams).await?;
    let running = bench.start(&discovery, Size::of_upstreams(upstreams), First::Known).await?;
    bench.warm_up(&running, &class_name(0), REQUESTS_PER_SECOND).await?;
    let mut measured = Vec::new();
    for entries in AT_ONCE.map(|entries| bench.scaled(entries)) {
        let class = class_name(0);
        let quiet = bench.serve(&running, &discovery, &class, REQUESTS_PER_SECOND, async {}).await?;
        let messages = (bench.span.as_secs_f64() / BETWEEN.as_secs_f64()).ceil().max(1.0);
        let changes = async {
            for _ in 0..messages as u32 {
                discovery.push_changes(0..entries);
                sleep(BETWEEN.min(bench.span)).await;
            }
        };
        let served = bench.serve(&running, &discovery, &class, REQUESTS_PER_SECOND, changes).await?;
        let quiet_ms = quiet.spent.processor_ms_per_second() * served.spent.span.as_secs_f64();
        let message_ms = (served.spent.scheduled.ran_ms() - quiet_ms) / messages;
        measured.push((entries, (message_ms, served)));
    }
    running.end().await?;
    let along = "entries changed at once";
    let message = Series::column(
        format!("processor time of one message, {upstreams} upstreams"),
        "ms",
        along,
        &measured,
        |at| Some(at.0),
    );
    let served: Vec<(usize, Served)> =
        measured.into_iter().map(|(size, (_, served))| (size, served)).collect();
    let what = |quantity: &str| format!("{quantity}, once a second, {upstreams} upstreams");
    Ok([vec![message], latency(&what, along, &served)].concat())
}

/// Times of answers through the balancer, beside the direct way in the same while.
pub(super) fn latency(
    what: &dyn Fn(&str) -> String,
    along: &'static str,
    measured: &[(usize, Served)],
) -> Vec<Series> {
    let column = |quantity: &str, value: fn(&Served) -> f64| {
        Series::noted(
            what(quantity),
            "ms",
            along,
            measured,
            |at| (at.through.answered > 0).then(|| value(at)),
            |at| Some(seen(&at.through, &at.spent.scheduled)),
        )
        .without_fit()
    };
    vec![
        column("p50 through the balancer", |at| at.through.p50),
        column("p50 direct", |at| at.direct.p50),
        column("p99 through the balancer", |at| at.through.p99),
        column("p99 direct", |at| at.direct.p99),
        column("added p99", |at| at.through.p99 - at.direct.p99),
        column("most through the balancer", |at| at.through.most),
        column("most direct", |at| at.direct.most),
    ]
}

/// What stands beside a latency: answers, and the part of the time that the balancer waited for a processor.
pub fn seen(through: &Latency, scheduled: &Scheduled) -> String {
    let Latency { answered, failed, .. } = through;
    let Scheduled { ran, waited } = scheduled;
    let part = 100.0 * waited.as_secs_f64() / ran.as_secs_f64();
    format!("{answered} answered, {failed} failed; waited for a processor for {part:.0} % of the time on one")
}
