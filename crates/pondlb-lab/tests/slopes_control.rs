//! Test of `pondlb-lab slopes control`: a small run from the command line. It has a test binary of its own so that
//! other runs do not compete with it for processor time.

use serde_json::Value;

use programs::program;
use slopes_support::{VOID, series, sizes, slopes, values};

mod programs;
mod slopes_support;

/// Numbers of records of a run with a share of 0.04: a sixteenth, an eighth, a quarter, a half and all of 88,100
/// records, each divided by 25. Each kind of record is rounded separately.
const SMALL_RECORDS: [f64; 5] = [220.0, 440.0, 881.0, 1762.0, 3524.0];

#[test]
fn control_measures_every_point_and_followers_apply_all_changes() {
    let folder = tempfile::tempdir().unwrap();
    let json = folder.path().join("control.json");
    let server = program("pondlb-control-net", "pondlb-control-server");
    let mut line = vec!["control", "--server", &server, "--seconds", "0.2", "--share", "0.04"];
    // This dimension does not start the balancer program, so a missing one is no error.
    line.extend(["--program", "no/such/balancer", "--json", json.to_str().unwrap()]);
    let run = slopes(&line);
    // A void run, whose measured times are not meaningful, is accepted: this test does not check times.
    let said = String::from_utf8_lossy(&run.stderr);
    assert!(matches!(run.status.code(), Some(0 | VOID)), "{:?} {said}", run.status);
    let results: Vec<Value> = serde_json::from_str(&std::fs::read_to_string(json).unwrap()).unwrap();
    assert_eq!((results.len(), &results[0]["dimension"]), (1, &"control".into()));
    let control = &results[0];
    for one in control["series"].as_array().unwrap() {
        let expected = match one["along"].as_str().unwrap() {
            "followers" => [1.0, 2.0, 4.0, 8.0, 16.0],
            "records" => SMALL_RECORDS,
            "changes a second" => [2.0, 5.0, 10.0, 20.0, 50.0],
            "followers that start at once" => [1.0, 1.0, 3.0, 5.0, 10.0],
            along => panic!("{along}"),
        };
        assert_eq!(sizes(one), expected);
        assert_eq!(values(one).len(), 5);
    }
    assert_followers_plausible(control);
    assert_snapshots_plausible(control);
    assert_starts_plausible(control);
}

fn assert_followers_plausible(control: &Value) {
    let along_followers =
        |quantity: &str| values(series(control, &format!("{quantity}, 2 changes a second")));
    let along_changes = |quantity: &str| values(series(control, &format!("{quantity}, 2 followers")));
    assert_eq!(along_followers("followers with all changes"), [1.0, 2.0, 4.0, 8.0, 16.0]);
    assert_eq!(along_changes("followers with all changes"), [2.0; 5]);
    for of_phase in [&along_followers as &dyn Fn(&str) -> Vec<f64>, &along_changes] {
        for quantity in ["calls of all followers", "bytes from all followers", "processor time, origin"] {
            assert!(of_phase(quantity).iter().all(|value| *value > 0.0), "{quantity}");
        }
        // Even the shortest response without changes has headers and a version.
        let (calls, kilobytes) = (of_phase("calls of all followers"), of_phase("bytes to all followers"));
        let bytes_per_call =
            calls.iter().zip(&kilobytes).map(|(calls, kilobytes)| kilobytes * 1000.0 / calls);
        assert!(bytes_per_call.clone().all(|bytes| bytes > 50.0), "{calls:?} {kilobytes:?}");
        let peak = of_phase("peak memory, replica server");
        let resident = of_phase("resident memory, replica server");
        assert!(resident.iter().zip(&peak).all(|(resident, peak)| *resident > 0.0 && peak >= resident));
    }
    // Each follower has one connection.
    let descriptors = along_followers("descriptors, replica server");
    assert!(descriptors[4] > 16.0 && descriptors.is_sorted(), "{descriptors:?}");
}

fn assert_snapshots_plausible(control: &Value) {
    let along_records = |quantity: &str| values(series(control, quantity));
    let bytes = along_records("bytes of one snapshot");
    let calls = along_records("calls of one snapshot");
    assert!(bytes.is_sorted() && calls.is_sorted(), "{bytes:?} {calls:?}");
    for (records, kilobytes) in SMALL_RECORDS.iter().zip(&bytes) {
        // Compressed records, with the headers of some responses. An uncompressed record has 100 bytes or more.
        let bytes_per_record = kilobytes * 1000.0 / records;
        assert!((2.0..100.0).contains(&bytes_per_record), "{bytes_per_record}");
    }
    let first = along_records("processor time of the first snapshot, replica server");
    assert!(first.iter().all(|milliseconds| *milliseconds > 0.0), "{first:?}");
}

fn assert_starts_plausible(control: &Value) {
    for limit in ["1000 pieces a second", "no limit"] {
        let time = series(control, &format!("time until all have their state, {limit}"));
        let points = time["points"].as_array().unwrap().iter().chain([&time["beyond"]["point"]]);
        for point in points {
            let (size, note) = (point["size"].as_f64().unwrap(), point["note"].as_str().unwrap());
            assert!(note.starts_with(&format!("{size} of {size} started")), "{note}");
        }
        // Each start transfers at least a full snapshot.
        let snapshot = values(series(control, "bytes of one snapshot"))[4];
        let start = values(series(control, &format!("bytes of a start, {limit}")));
        assert!(start.iter().all(|kilobytes| *kilobytes > 0.9 * snapshot), "{start:?} {snapshot}");
    }
}
