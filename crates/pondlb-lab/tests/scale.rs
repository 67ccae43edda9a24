//! Plays a small scale run with real processes, and runs with planted faults, which the report must show.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use expect_test::expect;
use programs::program;
use serde_json::{Value, json};

mod programs;

const SMALL_SCENARIO: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../lab/two-years-small.toml");
/// The exit code of a run without failures and broken rules.
const EXIT_PASSED: i32 = 0;
/// The exit code of a run with a failure or a broken rule.
const EXIT_FAILED: i32 = 1;
/// The exit code for a scenario or an option that is not valid, and for a run that can't be started.
const EXIT_BAD_INPUT: i32 = 2;
/// The exit code of a run whose times are not valid, because the laboratory ran too late.
const EXIT_VOID: i32 = 3;
/// How often a void run is played in all; a busy machine makes a run void.
const MAX_ATTEMPTS: usize = 3;

fn run_lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pondlb-lab")).args(arguments).output().unwrap()
}

/// The paths of the programs that a run starts.
struct Programs {
    server: String,
    balancer: String,
}

fn programs() -> &'static Programs {
    static BUILT: OnceLock<Programs> = OnceLock::new();
    BUILT.get_or_init(|| Programs {
        server: program("pondlb-control-net", "pondlb-control-server"),
        balancer: program("pondlb-server", "pondlb-server"),
    })
}

/// The result of a run of the small scenario.
struct RunResult {
    exit_code: i32,
    report: Value,
    /// Standard output, followed by standard error.
    output: String,
}

/// The small scenario with a loopback address of its own. The control servers' ports are chosen before they are started; on
/// an address that others use too, a connection or server of another test could take one meanwhile.
fn small_scenario() -> String {
    static SCENARIO_COUNT: AtomicU8 = AtomicU8::new(0);
    let number = SCENARIO_COUNT.fetch_add(1, Ordering::Relaxed);
    let text = std::fs::read_to_string(SMALL_SCENARIO).unwrap();
    format!("listen = \"127.77.{number}.1\"\n{text}")
}

/// Plays the small scenario, again if the run is void because the machine is too busy. The report of a void run is valid
/// except for its times and broken rules.
fn play_small_scenario(folder: &Path, name: &str, arguments: &[&str]) -> RunResult {
    let report_file = folder.join(format!("{name}.json"));
    let report_path = report_file.to_str().unwrap();
    let Programs { server, balancer } = programs();
    let scenario = folder.join(format!("{name}.toml"));
    std::fs::write(&scenario, small_scenario()).unwrap();
    let scenario_path = scenario.to_str().unwrap();
    let mut command_line = vec!["scale", scenario_path, "--json", report_path, "--balancer", balancer];
    if !arguments.contains(&"--server") {
        command_line.extend(["--server", server]);
    }
    command_line.extend(arguments);
    let mut attempts = 0;
    loop {
        attempts += 1;
        let out = run_lab(&command_line);
        let output = String::from_utf8([out.stdout, out.stderr].concat()).unwrap();
        let exit_code = out.status.code().unwrap();
        if exit_code != EXIT_VOID || attempts == MAX_ATTEMPTS {
            let report =
                std::fs::read_to_string(&report_file).unwrap_or_else(|_| panic!("{exit_code}: {output}"));
            return RunResult { exit_code, report: serde_json::from_str(&report).unwrap(), output };
        }
    }
}

/// Asserts that all balancers and servers converged in all phases. This must hold on a machine of any speed. Broken rules
/// are checked only if the run is not void.
fn assert_converged(run: &RunResult) {
    let (report, output) = (&run.report, &run.output);
    assert_eq!(report["failures"], Value::Array(Vec::new()), "{output}");
    assert_eq!(report["end"]["balancers_same"], report["sizes"]["balancers"], "{output}");
    assert_eq!(report["end"]["servers_same"], report["sizes"]["control_servers"], "{output}");
    for kind in ["upstreams", "classes", "tenants", "limits"] {
        assert!(report["end"]["changes_by_kind"][kind].as_u64().unwrap() > 0, "{kind}: {output}");
    }
    let phases = report["phases"].as_array().unwrap();
    for phase in phases {
        assert_eq!(phase["in_force"]["never"], 0, "{output}");
        assert!(phase["changes"].as_u64().unwrap() > 0, "{output}");
        assert!(phase["traffic"]["asked"].as_u64().unwrap() > 0, "{output}");
    }
    assert_eq!(phases.len(), 8);
    assert!(run.exit_code == EXIT_PASSED || run.exit_code == EXIT_VOID, "{}: {output}", run.exit_code);
    if run.exit_code == EXIT_PASSED {
        assert_eq!(report["broken"], Value::Array(Vec::new()), "{output}");
    }
}

/// Asserts the loads of the replica servers while two of four are killed: the remaining one of each region serves all
/// balancers of the region, and its load stays below its share.
fn assert_loads_of_remaining_servers(run: &RunResult) {
    let (report, output) = (&run.report, &run.output);
    let phase = report["phases"]
        .as_array()
        .unwrap()
        .iter()
        .find(|phase| phase["name"] == "two servers killed")
        .unwrap();
    let loads = &phase["server_loads"];
    assert_eq!(loads["without_server"], 0, "{output}");
    assert_eq!(loads["share_bytes_per_second"], 4000.0 * 34.0 / 5.0, "{output}");
    let servers = loads["servers"].as_array().unwrap();
    let followers = servers.iter().map(|load| (&load["name"], &load["region"], &load["followers"]));
    assert!(
        followers
            .eq([(&json!("replica-0"), &json!(0), &json!(17)), (&json!("replica-3"), &json!(1), &json!(17))])
    );
    for load in servers {
        let of_share = load["of_share"].as_f64().unwrap();
        assert!(of_share > 0.0 && of_share < 1.0, "{output}");
    }
}

#[test]
fn all_balancers_converge_through_every_event() {
    let folder = tempfile::tempdir().unwrap();
    let run = play_small_scenario(folder.path(), "sound", &[]);
    assert_converged(&run);
    // The release has restarted each hollow balancer, and each of them took a snapshot again.
    let snapshots = run.report["end"]["snapshots"].as_u64().unwrap();
    assert!(snapshots >= 2 * run.report["sizes"]["hollow_balancers"].as_u64().unwrap(), "{}", run.output);
    assert_all_real_balancers_restarted(&run);
    if run.exit_code == EXIT_PASSED {
        assert_loads_of_remaining_servers(&run);
    }
}

fn assert_all_real_balancers_restarted(run: &RunResult) {
    let phases = run.report["phases"].as_array().unwrap();
    let release = phases.iter().find(|phase| phase["kind"] == "release").unwrap();
    let restarts = release["restarts"].as_array().unwrap();
    assert!(restarts.iter().map(|restart| &restart["balancer"]).eq([0, 1, 2, 3]), "{}", run.output);
    for restart in restarts {
        assert!(restart["start_to_in_force_ms"].as_f64().unwrap() > 0.0, "{}", run.output);
    }
}

#[test]
fn a_change_that_a_server_drops_is_detected_and_repaired() {
    let folder = tempfile::tempdir().unwrap();
    let faulty_server = env!("CARGO_BIN_EXE_pondlb-planted-control");
    let run = play_small_scenario(
        folder.path(),
        "drops",
        &["--server", faulty_server, "--server-argument", "drops"],
    );
    assert_converged(&run);
    assert!(run.report["end"]["repairs"].as_u64().unwrap() > 0, "{}", run.output);
}

#[test]
fn changes_in_the_wrong_order_are_rejected_and_requested_again() {
    let folder = tempfile::tempdir().unwrap();
    let faulty_server = env!("CARGO_BIN_EXE_pondlb-planted-control");
    let run = play_small_scenario(
        folder.path(),
        "reorders",
        &["--server", faulty_server, "--server-argument", "reorders"],
    );
    assert_converged(&run);
    assert!(run.report["end"]["rejections"].as_u64().unwrap() > 0, "{}", run.output);
}

#[test]
fn a_balancer_that_stops_polling_fails_the_run() {
    let folder = tempfile::tempdir().unwrap();
    let run = play_small_scenario(
        folder.path(),
        "stops-polling",
        &["--hollow-argument=--planted=never-asks-again"],
    );
    assert_eq!(run.exit_code, EXIT_FAILED, "{}", run.output);
    let failures = run.report["failures"].to_string();
    // The first balancer in each of the two hollow processes.
    assert!(failures.contains("2 balancers never converged"), "{}", run.output);
    assert!(failures.contains("pairs of a change and a balancer never in force"), "{}", run.output);
}

/// A laboratory that is killed with SIGKILL can't end its processes itself, among them suspended ones; without another
/// mechanism they would stay on the machine.
#[test]
fn a_killed_laboratory_leaves_no_process_running() {
    let folder = tempfile::tempdir().unwrap();
    let text = small_scenario();
    // A single phase that suspends a hollow process at its start.
    let stop_phase =
        "name = \"first\"\nkind = \"stop\"\nseconds = 60.0\nchanges_per_second = 1.0\nevent_seconds = 50.0\n";
    let (head, _) = text.split_once("[[phases]]").unwrap();
    let scenario = folder.path().join("stopped.toml");
    std::fs::write(&scenario, format!("{head}[[phases]]\n{stop_phase}")).unwrap();
    let Programs { server, balancer } = programs();
    let arguments = ["scale", scenario.to_str().unwrap(), "--server", server, "--balancer", balancer];
    let mut laboratory = Command::new(env!("CARGO_BIN_EXE_pondlb-lab")).args(arguments).spawn().unwrap();
    let (control_servers, real_balancers, hollow_processes) = (5, 4, 2);
    let expected = control_servers + real_balancers + hollow_processes;
    assert!(
        becomes_true(|| children_of(laboratory.id()).len() == expected),
        "the laboratory did not start {expected} processes"
    );
    let any_is_stopped = || children_of(laboratory.id()).iter().any(|child| state_of(*child) == Some('T'));
    assert!(becomes_true(any_is_stopped), "no process was suspended");
    let children = children_of(laboratory.id());
    laboratory.kill().unwrap();
    laboratory.wait().unwrap();
    let is_running = |child: &u32| state_of(*child).is_some_and(|state| state != 'Z');
    assert!(becomes_true(|| !children.iter().any(is_running)), "some processes are still running");
}

/// Whether the condition becomes true within half a minute.
fn becomes_true(condition: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + Duration::from_secs(30);
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// The process ids of all children of a process.
fn children_of(parent: u32) -> Vec<u32> {
    let entries = std::fs::read_dir("/proc").unwrap().flatten();
    let ids = entries.filter_map(|entry| entry.file_name().to_str()?.parse().ok());
    ids.filter(|id| stat_of(*id).is_some_and(|stat| stat.parent == parent)).collect()
}

/// The state of a process as `/proc/PID/stat` gives it: `T` if it is suspended, `Z` if it has ended; `None` if it is gone.
fn state_of(process: u32) -> Option<char> {
    stat_of(process).map(|stat| stat.state)
}

/// Fields of `/proc/PID/stat`.
struct ProcessStat {
    state: char,
    parent: u32,
}

fn stat_of(process: u32) -> Option<ProcessStat> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let (_, after_name) = stat.rsplit_once(") ")?;
    let mut fields = after_name.split(' ');
    let state = fields.next()?.chars().next()?;
    let parent = fields.next()?.parse().ok()?;
    Some(ProcessStat { state, parent })
}

/// Only the small scenario is played in tests; the larger ones take too long. So that they stay valid, this test parses all
/// of them.
#[test]
fn every_scenario_file_of_the_scale_run_is_valid() {
    let folder = Path::new(SMALL_SCENARIO).parent().unwrap();
    let files = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let is_scale_scenario =
        |path: &PathBuf| path.file_name().unwrap().to_str().unwrap().starts_with("two-years");
    let files: Vec<PathBuf> = files.filter(is_scale_scenario).collect();
    assert_eq!(files.len(), 4);
    for file in files {
        // A small share, because the memory of the machine may be too small for the whole scenario. The run fails at the
        // missing program, which is started only after the scenario was accepted.
        let arguments = ["scale", file.to_str().unwrap(), "--share", "0.05", "--server", "/nowhere"];
        let out = run_lab(&arguments);
        let said = String::from_utf8(out.stderr).unwrap();
        assert_eq!(out.status.code(), Some(EXIT_BAD_INPUT));
        assert!(said.contains("origin ended before it served") && said.contains("/nowhere"), "{said}");
    }
}

#[test]
fn all_errors_of_a_scenario_are_reported_before_any_process_starts() {
    let folder = tempfile::tempdir().unwrap();
    let text = std::fs::read_to_string(SMALL_SCENARIO).unwrap();
    let mut messages = String::new();
    for (from, to) in [
        ("balancers = 34", "balancers = 0"),
        ("upstreams = 480", "upstreams = 0\nlisten = \"10.0.0.1\""),
        ("tenants = 1260", "tenants = 0\ngather_ms = 0"),
        ("seed = 17", "sead = 17"),
        (
            "starts_at_once = 3\nupstreams = 480",
            "starts_at_once = 1000\nfollowers_each = 1\nupstreams = 400000",
        ),
        ("rate_each = 25.0", "rate_each = nan"),
        ("zone = 9", "zone = 10"),
        ("kind = \"steady\"", "kind = \"often\""),
        ("event_seconds = 1.5", "event_seconds = 15.0"),
        ("servers = [1]", "servers = []"),
        ("servers = [1]", "servers = [4, 1, 1]"),
        ("servers = [1]", "servers = [3, 2, 1, 0]"),
        ("servers = [1]", "servers = [-1]"),
        ("servers = [1]", "server = 1"),
    ] {
        let scenario = folder.path().join("s.toml");
        std::fs::write(&scenario, text.replacen(from, to, 1)).unwrap();
        let out = run_lab(&["scale", scenario.to_str().unwrap(), "--server", "/nowhere"]);
        assert_eq!(out.status.code(), Some(EXIT_BAD_INPUT));
        let said = String::from_utf8(out.stderr).unwrap().replace(folder.path().to_str().unwrap(), "");
        let shown = said.lines().filter(|line| !line.contains('|') && !line.is_empty());
        // The memory in this message differs between machines.
        let shown = shown
            .map(|line| line.split_once(" MB by estimate").map_or(line, |_| "/s.toml: balancers: too many"));
        messages += &(shown.collect::<Vec<_>>().join("; ") + "\n");
    }
    let out = run_lab(&["scale", SMALL_SCENARIO, "--share", "0"]);
    messages += String::from_utf8(out.stderr).unwrap().split_once(".toml: ").unwrap().1;
    expect![[r#"
        /s.toml: balancers: 0: must be 1 to 3000; /s.toml: balancers: 0: must be at least real_balancers + 2
        /s.toml: upstreams: 0: must be 1 to 500000; /s.toml: listen: 10.0.0.1: must be a loopback address; /s.toml: upstreams: 0: must be at least served_upstreams plus two for each zone; /s.toml: phases[1].rack_upstreams: 10: must be at least 1 and less than upstreams
        /s.toml: tenants: 0: must be 1 to 500000; /s.toml: gather_ms: 0: must be 1 to 10000
        /s.toml: TOML parse error at line 2, column 1; unknown field `sead`, expected one of `seed`, `balancers`, `real_balancers`, `followers_each`, `starts_at_once`, `upstreams`, `classes`, `tenants`, `regions`, `zones_per_region`, `replica_servers`, `listen`, `gather_ms`, `hold_ms`, `settle_seconds`, `traffic`, `phases`
        /s.toml: balancers: too many
        /s.toml: traffic.rate_each: NaN: must be 0.1 to 1000
        /s.toml: phases[2].zone: 10: must be less than the number of zones (10)
        /s.toml: TOML parse error at line 19, column 8; unknown variant `often`, expected one of `steady`, `rack`, `zone`, `release`, `kill-server`, `partition`, `stop`
        /s.toml: phases[2].event_seconds: 15: must be above 0 and less than seconds
        /s.toml: phases[3].servers: must have at least one entry
        /s.toml: phases[3].servers: 4: must be less than replica_servers (4); /s.toml: phases[3].servers: 1: listed twice
        /s.toml: phases[3].servers: lists all 4 replica servers: at least one must keep running
        /s.toml: TOML parse error at line 43, column 12; invalid value: integer `-1`, expected u32
        /s.toml: TOML parse error at line 43, column 1; unknown field `server`, expected one of `name`, `kind`, `seconds`, `changes_per_second`, `event_seconds`, `rack_upstreams`, `zone`, `servers`, `process`, `tenths`
        --share: 0: must be above 0 and at most 1
    "#]].assert_eq(&messages);
}
