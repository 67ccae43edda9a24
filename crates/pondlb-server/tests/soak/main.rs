//! A seeded soak test with real processes on loopback: balancers that are restarted, killed and reloaded, clients that
//! send requests on kept-alive connections until the balancer exits or gets SIGKILL at the earliest time, an upstream
//! that drains, and a discovery that leaves pending calls unanswered, refuses or resets calls or sends invalid lists.
//!
//! Runs seeds 1 to 8; `PONDLB_SOAK_SEEDS=1-50` selects others.

#[path = "../stale_list/crowd.rs"]
#[allow(dead_code)]
mod crowd;
#[path = "../stale_list/discovery.rs"]
#[allow(dead_code)]
mod discovery;
#[path = "../helper/mod.rs"]
#[allow(dead_code)]
mod helper;
mod ledger;
mod run;

use std::ops::RangeInclusive;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use run::Run;

/// One millisecond.
const MS: Duration = Duration::from_millis(1);
/// How many runs are in progress at a time. Each has a few processes, which wait most of the time.
const CONCURRENT_RUNS: usize = 4;
const DEFAULT_SEEDS: RangeInclusive<u64> = 1..=8;

/// The seeds to run.
fn seeds() -> RangeInclusive<u64> {
    let Ok(text) = std::env::var("PONDLB_SOAK_SEEDS") else { return DEFAULT_SEEDS };
    let (first, last) = text.split_once('-').expect("PONDLB_SOAK_SEEDS is FIRST-LAST");
    first.parse().expect("a number")..=last.parse().expect("a number")
}

#[test]
fn the_rules_hold_under_signals_drains_and_discovery_faults() {
    let (remaining_seeds, violations) = (Mutex::new(seeds()), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for _ in 0..CONCURRENT_RUNS {
            scope.spawn(|| {
                loop {
                    let Some(seed) = remaining_seeds.lock().unwrap().next() else { return };
                    let report = Run::new(seed).execute();
                    println!("seed {seed}: {report}");
                    violations.lock().unwrap().extend(
                        report.violations.iter().map(|violation| format!("seed {seed}: {violation}")),
                    );
                }
            });
        }
    });
    let violations = violations.into_inner().unwrap();
    assert!(violations.is_empty(), "{} broken:\n{}", violations.len(), violations.join("\n"));
}
