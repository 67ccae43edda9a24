//! Against the length of the list: memory, one changed entry, the whole list anew.

use std::io;
use std::time::Duration;

use super::bench::Bench;
use super::configuration::{First, Size};
use super::probe::Memory;
use super::series::Series;

const SIZES: [usize; 5] = [200, 1000, 4000, 8000, 24_000];
const CHANGES_PER_SECOND: f64 = 20.0;
const WHOLE_LISTS: u32 = 3;
/// How long a list may take to be taken; in short runs so many spans.
const TAKEN_WITHIN: Duration = Duration::from_secs(3);
const TAKEN_WITHIN_SPANS: u32 = 3;

struct At {
    memory: Memory,
    memory_after: Memory,
    change_ms: f64,
    whole_ms: Option<f64>,
    whole_note: Option<String>,
    whole_kb: f64,
}

/// All series along the number of upstreams.
///
/// # Errors
/// A balancer can't be started, or ends by itself.
pub async fn measure(bench: &Bench) -> io::Result<Vec<Series>> {
    let mut measured = Vec::new();
    for size in SIZES.map(|size| bench.scaled(size)) {
        measured.push((size, at(bench, size).await?));
    }
    let mb = |bytes: u64| Some(bytes as f64 / 1e6);
    let along = "upstreams";
    Ok(vec![
        Series::column("resident memory", "MB", along, &measured, |at| mb(at.memory.resident)),
        Series::column("most resident memory after whole lists", "MB", along, &measured, |at| {
            mb(at.memory_after.peak)
        }),
        Series::column("processor time of one changed upstream", "ms", along, &measured, |at| {
            Some(at.change_ms)
        }),
        Series::noted(
            "processor time of a whole list from discovery",
            "ms",
            along,
            &measured,
            |at| at.whole_ms,
            |at| at.whole_note.clone(),
        ),
        Series::column("whole list on the wire", "KB", along, &measured, |at| Some(at.whole_kb)),
    ])
}

async fn at(bench: &Bench, size: usize) -> io::Result<At> {
    let discovery = bench.discovery(size).await?;
    let running = bench.start(&discovery, Size::of_upstreams(size), First::Known).await?;
    bench.settle().await;
    let memory = running.process.memory()?;
    let idle = bench.spend(&running, &discovery).await?;
    let changing =
        bench.spend_beside(&running, &discovery, bench.change(&discovery, size, CHANGES_PER_SECOND)).await?;
    let over_idle = changing.processor_ms_per_second() - idle.processor_ms_per_second();
    let within = TAKEN_WITHIN.min(TAKEN_WITHIN_SPANS * bench.span);
    let _last_change = bench.is_heard(&discovery, within).await;
    let (before, traffic) = (running.process.scheduled()?, discovery.traffic());
    let mut taken = 0;
    while taken < WHOLE_LISTS {
        discovery.push_whole();
        if !bench.is_heard(&discovery, within).await {
            break;
        }
        taken += 1;
    }
    let processor = running.process.scheduled()?.since(&before).ran;
    let calls = discovery.traffic().since(&traffic).calls;
    let is_taken = taken == WHOLE_LISTS;
    let refused = || {
        let rate = calls as f64 / within.as_secs_f64();
        format!("not taken; asked for again {rate:.1} times a second; {}", running.last_line())
    };
    let measured = At {
        memory,
        memory_after: running.process.memory()?,
        change_ms: over_idle / CHANGES_PER_SECOND,
        whole_ms: is_taken.then(|| processor.as_secs_f64() * 1000.0 / f64::from(WHOLE_LISTS)),
        whole_note: (!is_taken).then(refused),
        whole_kb: discovery.known().len() as f64 / 1000.0,
    };
    running.end().await?;
    Ok(measured)
}
