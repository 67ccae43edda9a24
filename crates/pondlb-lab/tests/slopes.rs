//! Tests of `pondlb-lab slopes`: the fit of the line, the statistics of a process, the discovery stub, and small runs
//! from the command line.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use pondlb_lab::http::HttpConnection;
use pondlb_lab::slopes::fit::Line;
use pondlb_lab::slopes::process_stats::{MemoryUsage, Process, ProcessorTime, parse_schedstat, parse_status};
use pondlb_lab::slopes::series::{Point, Series};
use pondlb_lab::slopes::stubs::DiscoveryStub;
use pondlb_lab::slopes::upstream_list::UpstreamList;
use pondlb_lab::slopes::{Dimension, DimensionResult};
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use programs::program;
use slopes_support::{VOID, series, sizes, slopes, values};

mod programs;
mod slopes_support;

#[test]
fn line_fits_exact_points_and_averages_scattered_ones() {
    let exact = Line::fit(&[(0.0, 3.0), (10.0, 5.0), (20.0, 7.0)]).unwrap();
    assert!((exact.intercept - 3.0).abs() < 1e-9 && (exact.slope - 0.2).abs() < 1e-9);
    assert!(exact.residual < 1e-9);
    assert!((exact.value_at(100.0) - 23.0).abs() < 1e-9);
    // Two points at each size, one above and one below the same line by 1: the line is the same, with a residual of 1.
    let between = Line::fit(&[(0.0, 4.0), (0.0, 2.0), (10.0, 6.0), (10.0, 4.0)]).unwrap();
    assert!((between.intercept - 3.0).abs() < 1e-9 && (between.slope - 0.2).abs() < 1e-9);
    assert!((between.residual - 1.0).abs() < 1e-9);
}

#[test]
fn no_line_is_fitted_to_points_of_a_single_size() {
    assert_eq!(Line::fit(&[]), None);
    assert_eq!(Line::fit(&[(1.0, 2.0)]), None);
    assert_eq!(Line::fit(&[(1.0, 2.0), (1.0, 3.0)]), None);
}

fn point(size: f64, value: Option<f64>) -> Point {
    Point { size, value, note: None }
}

#[test]
fn largest_point_is_compared_with_the_line_through_the_others() {
    let points = [(1.0, Some(1.0)), (2.0, Some(2.0)), (3.0, None), (4.0, Some(4.0)), (10.0, Some(15.0))];
    let points = points.map(|(size, value)| point(size, value));
    let series = Series::new("memory", "MB", "upstreams", points.to_vec());
    let beyond = series.beyond.unwrap();
    assert_eq!((series.points.len(), beyond.point.size), (4, 10.0));
    assert!((beyond.predicted.unwrap() - 10.0).abs() < 1e-9);
    assert!((beyond.ratio.unwrap() - 1.5).abs() < 1e-9);
}

#[test]
fn point_without_a_value_or_with_a_prediction_of_zero_has_no_ratio() {
    let points = vec![point(1.0, Some(0.0)), point(2.0, Some(0.0)), point(3.0, None)];
    let beyond = Series::new("calls", "calls/s", "balancers", points).beyond.unwrap();
    assert_eq!((beyond.predicted, beyond.ratio), (Some(0.0), None));
    let points = vec![point(1.0, Some(0.0)), point(2.0, Some(0.0)), point(3.0, Some(1.0))];
    // A measured value divided by a prediction of 0 is not finite.
    assert_eq!(Series::new("calls", "calls/s", "balancers", points).beyond.unwrap().ratio, None);
}

#[test]
fn proc_files_with_processor_time_and_memory_are_parsed() {
    let (on_cpu, run_queue_wait) = (Duration::from_nanos(45_595_251), Duration::from_nanos(4_451_743));
    assert_eq!(parse_schedstat("45595251 4451743 117\n"), Some(ProcessorTime { on_cpu, run_queue_wait }));
    assert_eq!(parse_schedstat("45595251 4451743\n"), None);
    assert_eq!(parse_schedstat("45595251\n"), None);
    assert_eq!(parse_schedstat("-1 0 0\n"), None);
    assert_eq!(parse_schedstat(""), None);
    let status = "Name:\tx\nVmPeak:\t    9000 kB\nVmHWM:\t    2048 kB\nVmRSS:\t    1024 kB\nThreads:\t1\n";
    assert_eq!(parse_status(status), Some(MemoryUsage { resident_bytes: 1 << 20, peak_bytes: 2 << 20 }));
    assert_eq!(parse_status("VmHWM:\t 2048 kB\n"), None);
    assert_eq!(parse_status("VmRSS:\t 1024 MB\nVmHWM:\t 2048 kB\n"), None);
}

#[test]
fn statistics_of_the_own_process_can_be_read() {
    let own = Process(std::process::id());
    let memory = own.memory().unwrap();
    assert!(memory.resident_bytes > 0 && memory.peak_bytes >= memory.resident_bytes);
    assert!(own.descriptors().unwrap() >= 3);
    assert!(own.processor_time().unwrap().on_cpu > Duration::ZERO);
    assert!(Process(u32::MAX).memory().is_err());
    assert!(Process(u32::MAX).processor_time().is_err());
}

/// A thread that ends after the threads were listed and before its statistics are read must not fail the whole reading.
/// This happens in processes with a thread pool.
#[test]
fn statistics_of_a_process_whose_threads_end_can_be_read() {
    let own = Process(std::process::id());
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let start_short_threads = || {
            while !stop.load(Ordering::Relaxed) {
                thread::spawn(thread::yield_now).join().unwrap();
            }
        };
        (0..4).for_each(|_| drop(scope.spawn(start_short_threads)));
        let readings: Vec<_> = (0..5_000).map(|_| own.processor_time()).collect();
        stop.store(true, Ordering::Relaxed);
        for reading in readings {
            assert!(reading.unwrap().on_cpu > Duration::ZERO);
        }
    });
}

/// The response of discovery to one call, as JSON.
async fn call(discovery: &DiscoveryStub, query: &str) -> Value {
    let mut connection = HttpConnection::new(TcpStream::connect(discovery.address).await.unwrap());
    connection.write(&format!("GET /catalog/members{query} HTTP/1.1\r\nHost: d\r\n\r\n")).await.unwrap();
    serde_json::from_str(&connection.read_response().await.unwrap().unwrap().body).unwrap()
}

#[test]
fn discovery_stub_sends_a_changed_entry_alone_and_full_lists() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listing = UpstreamList::new(vec!["127.0.0.1:9".parse().unwrap()], 5);
        let discovery = DiscoveryStub::start(listing).await.unwrap();
        let whole = call(&discovery, "").await;
        assert_eq!((&whole["rev"], &whole["all"]), (&1.into(), &true.into()));
        assert_eq!(whole["targets"].as_array().unwrap().len(), 5);
        let nothing = call(&discovery, "?from=1&hold_ms=10").await;
        assert_eq!((&nothing["rev"], &nothing["all"]), (&1.into(), &false.into()));
        assert!(nothing["targets"].as_array().unwrap().is_empty());

        discovery.push_changes(3..4);
        let changed = call(&discovery, "?from=1&hold_ms=10").await;
        assert_eq!((&changed["rev"], &changed["all"]), (&2.into(), &false.into()));
        let targets = changed["targets"].as_array().unwrap();
        assert_eq!(
            (targets.len(), &targets[0]["uid"], &targets[0]["state"]),
            (1, &"u00003".into(), &"leaving".into())
        );

        discovery.push_full_list();
        let anew = call(&discovery, "?from=2&hold_ms=10").await;
        assert_eq!((&anew["rev"], &anew["all"]), (&3.into(), &true.into()));
        assert_eq!(anew["targets"][3]["state"], "leaving");
        assert_eq!(
            (discovery.version(), discovery.confirmed_version(), discovery.traffic().calls),
            (3, 2, 4)
        );
    });
}

#[test]
fn dimensions_have_the_headings_of_the_printed_tables() {
    let headings = [
        (Dimension::Upstreams, "Upstreams"),
        (Dimension::Changes, "Changes"),
        (Dimension::Classes, "Classes"),
        (Dimension::Tenants, "Tenants"),
        (Dimension::Requests, "Requests"),
        (Dimension::Restarts, "Restarts"),
        (Dimension::Balancers, "Balancers"),
        (Dimension::Distribution, "Distribution"),
        (Dimension::Control, "Control"),
    ];
    for (dimension, heading) in headings {
        let result = DimensionResult { dimension, void: None, series: Vec::new() };
        assert_eq!(result.table(), format!("== {heading}\n"));
    }
}

/// The results of a small run with a test double in place of the balancer, which keeps the list that it receives.
fn small_run(folder: &Path, dimensions: &[&str]) -> Vec<Value> {
    let json = folder.join("slopes.json");
    let planted = env!("CARGO_BIN_EXE_pondlb-planted");
    let mut line = dimensions.to_vec();
    line.extend(["--program", planted, "--argument", "honest", "--seconds", "0.2", "--share", "0.02"]);
    line.extend(["--json", json.to_str().unwrap()]);
    let run = slopes(&line);
    // A void run, whose measured times are not meaningful, is accepted: this test does not check times.
    let said = String::from_utf8_lossy(&run.stderr);
    assert!(matches!(run.status.code(), Some(0 | VOID)), "{:?} {said}", run.status);
    serde_json::from_str(&std::fs::read_to_string(json).unwrap()).unwrap()
}

#[test]
fn small_run_measures_every_point_at_every_size() {
    let folder = tempfile::tempdir().unwrap();
    let results = small_run(folder.path(), &["upstreams", "tenants"]);
    let named: Vec<&Value> = results.iter().map(|result| &result["dimension"]).collect();
    assert_eq!(named, ["upstreams", "tenants"]);
    let memory = series(&results[0], "resident memory");
    assert_eq!(sizes(memory), [4.0, 20.0, 80.0, 160.0, 480.0]);
    assert!(values(memory).iter().all(|value| *value > 0.0));
    let wire = values(series(&results[0], "whole list on the wire"));
    // All entries have the same length, so the line through four sizes predicts the fifth.
    assert!(wire.is_sorted() && wire[4] > 20.0 * wire[0]);
    let ratio = series(&results[0], "whole list on the wire")["beyond"]["ratio"].as_f64().unwrap();
    assert!((0.95..1.05).contains(&ratio), "{ratio}");
    for quantity in ["resident memory", "processor time until ready", "configuration file"] {
        let tenants = series(&results[1], quantity);
        assert_eq!(sizes(tenants), [20.0, 160.0, 480.0, 800.0, 1260.0]);
        assert!(values(tenants).iter().all(|value| *value > 0.0), "{quantity}");
    }
    let file = values(series(&results[1], "configuration file"));
    assert!(file.is_sorted() && file[4] > file[0]);
}

#[test]
fn longer_list_needs_more_memory() {
    let folder = tempfile::tempdir().unwrap();
    let results = small_run(folder.path(), &["upstreams"]);
    let values = values(series(&results[0], "resident memory"));
    // From 4 to 480 entries: the test double keeps them as JSON, which needs more than half a kilobyte each.
    assert!(values[4] > values[0], "{values:?}");
}

#[test]
fn distribution_measures_both_balancers_which_confirm_all_changes() {
    let folder = tempfile::tempdir().unwrap();
    let json = folder.path().join("distribution.json");
    let balancer = program("pondlb-server", "pondlb-server");
    let server = program("pondlb-control-net", "pondlb-control-server");
    let run = slopes(&[
        "distribution",
        "--program",
        &balancer,
        "--before",
        &balancer,
        "--server",
        &server,
        "--seconds",
        "0.6",
        "--share",
        "0.05",
        "--json",
        json.to_str().unwrap(),
    ]);
    // A void run, whose measured times are not meaningful, is accepted: this test does not check times.
    let said = String::from_utf8_lossy(&run.stderr);
    assert!(matches!(run.status.code(), Some(0 | VOID)), "{:?} {said}", run.status);
    let results: Vec<Value> = serde_json::from_str(&std::fs::read_to_string(json).unwrap()).unwrap();
    assert_eq!((results.len(), &results[0]["dimension"]), (1, &"distribution".into()));
    for one in results[0]["series"].as_array().unwrap() {
        assert_eq!(sizes(one), [10.0, 50.0, 200.0, 400.0, 1200.0]);
        assert_eq!(values(one).len(), 5);
    }
    for side in ["before", "after"] {
        let seen = |what: &str| values(series(&results[0], &format!("changes seen, {what}, {side}")));
        assert_eq!(seen("5 changes a second"), [3.0; 5]);
        assert_eq!(seen("20 changes a second"), [12.0; 5]);
        assert_eq!(seen("a zone at once"), [2.0; 5]);
        assert!(values(series(&results[0], &format!("resident memory, {side}"))).iter().all(|mb| *mb > 0.0));
        for what in ["quiet", "5 changes a second", "20 changes a second", "a zone at once"] {
            let latency = series(&results[0], &format!("added p99, {what}, {side}"));
            let points = latency["points"].as_array().unwrap().iter().chain([&latency["beyond"]["point"]]);
            for point in points {
                let note = point["note"].as_str().unwrap();
                assert!(
                    !note.starts_with("0 answered") && note.contains(" 0 failed"),
                    "{what}, {side}: {note}"
                );
            }
        }
    }
    for what in ["5 changes a second", "20 changes a second", "a zone at once"] {
        series(&results[0], &format!("processor time a change, {what}, origin"));
    }
}

#[test]
fn invalid_options_exit_with_2_before_anything_starts() {
    let planted = env!("CARGO_BIN_EXE_pondlb-planted");
    let cases: [(&[&str], &str); 10] = [
        (&["control", "--server", "no/such/server"], "no/such/server"),
        (&["distribution", "--program", planted, "--before", "no/such/before"], "no/such/before"),
        (&["distribution", "--program", planted, "--server", "no/such/server"], "no/such/server"),
        (&["upstreems"], "upstreems"),
        (&["--seconds", "0"], "--seconds 0: 0.1 to 60 are accepted"),
        (&["--seconds", "nan"], "--seconds NaN: 0.1 to 60 are accepted"),
        (&["--share", "2"], "--share 2: 0.001 to 1 are accepted"),
        (&["--share", "0"], "--share 0: 0.001 to 1 are accepted"),
        (&["--program", "no/such/program"], "no/such/program"),
        (&["--program", planted, "--json", "no/such/folder/x.json"], "no/such/folder/x.json"),
    ];
    for (line, told) in cases {
        let run = slopes(line);
        assert_eq!(run.status.code(), Some(2), "{line:?}");
        let said = String::from_utf8(run.stderr).unwrap();
        assert!(said.contains(told), "{line:?}: {said}");
        assert!(run.stdout.is_empty(), "{line:?}");
    }
}

#[test]
fn program_that_exits_immediately_is_reported_with_exit_code_2() {
    let run = slopes(&["upstreams", "--program", "/bin/false", "--seconds", "0.2", "--share", "0.001"]);
    assert_eq!(run.status.code(), Some(2));
    let said = String::from_utf8(run.stderr).unwrap();
    assert!(said.contains("the balancer ended"), "{said}");
    let run = slopes(&["control", "--server", "/bin/false", "--seconds", "0.2", "--share", "0.001"]);
    assert_eq!(run.status.code(), Some(2));
    let said = String::from_utf8(run.stderr).unwrap();
    assert!(said.contains("origin ended before it served"), "{said}");
}
