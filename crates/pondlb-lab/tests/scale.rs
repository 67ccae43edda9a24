//! The scale run at a small size with real processes, and planted faults that prove it able to fail.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::OnceLock;
use std::thread;
use std::time::{Duration, Instant};

use expect_test::expect;
use programs::program;
use serde_json::{Value, json};

mod programs;

const SMALL: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../lab/two-years-small.toml");
const HELD: i32 = 0;
const FAILED: i32 = 1;
const BAD_INPUT: i32 = 2;
const VOID: i32 = 3;
/// How often a run is played that the machine makes void.
const MOST_TRIES: usize = 3;

fn lab(line: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pondlb-lab")).args(line).output().unwrap()
}

/// The programs that a run starts.
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

struct Played {
    code: i32,
    report: Value,
    said: String,
}

/// Plays the small scenario. A void run says nothing of times and rules, only that the machine was busy: it is played
/// again, and what does not hang on time is in its report all the same.
fn played(folder: &Path, name: &str, arguments: &[&str]) -> Played {
    let json = folder.join(format!("{name}.json"));
    let json_text = json.to_str().unwrap();
    let Programs { server, balancer } = programs();
    let mut line = vec!["scale", SMALL, "--json", json_text, "--balancer", balancer];
    if !arguments.contains(&"--server") {
        line.extend(["--server", server]);
    }
    line.extend(arguments);
    let mut tries = 0;
    loop {
        tries += 1;
        let out = lab(&line);
        let said = String::from_utf8([out.stdout, out.stderr].concat()).unwrap();
        let code = out.status.code().unwrap();
        if code != VOID || tries == MOST_TRIES {
            let report = std::fs::read_to_string(&json).unwrap_or_else(|_| panic!("{code}: {said}"));
            return Played { code, report: serde_json::from_str(&report).unwrap(), said };
        }
    }
}

/// What holds in each sound run, however slow the machine.
fn assert_converged(played: &Played) {
    let (report, said) = (&played.report, &played.said);
    assert_eq!(report["failures"], Value::Array(Vec::new()), "{said}");
    assert_eq!(report["end"]["balancers_same"], report["sizes"]["balancers"], "{said}");
    assert_eq!(report["end"]["servers_same"], report["sizes"]["control_servers"], "{said}");
    for kind in ["upstreams", "classes", "tenants", "limits"] {
        assert!(report["end"]["changes_by_kind"][kind].as_u64().unwrap() > 0, "{kind}: {said}");
    }
    let phases = report["phases"].as_array().unwrap();
    for phase in phases {
        assert_eq!(phase["in_force"]["never"], 0, "{said}");
        assert!(phase["changes"].as_u64().unwrap() > 0, "{said}");
        assert!(phase["traffic"]["asked"].as_u64().unwrap() > 0, "{said}");
    }
    assert_eq!(phases.len(), 8);
    assert!(played.code == HELD || played.code == VOID, "{}: {said}", played.code);
    if played.code == HELD {
        assert_eq!(report["broken"], Value::Array(Vec::new()), "{said}");
    }
}

/// With two of four servers lost, the one that each region has left carries all balancers of the region.
fn assert_servers_left(played: &Played) {
    let (report, said) = (&played.report, &played.said);
    let phase = report["phases"]
        .as_array()
        .unwrap()
        .iter()
        .find(|phase| phase["name"] == "two servers killed")
        .unwrap();
    let loads = &phase["server_loads"];
    assert_eq!(loads["without_server"], 0, "{said}");
    assert_eq!(loads["share_bytes_per_second"], 4000.0 * 34.0 / 5.0, "{said}");
    let left = loads["servers"].as_array().unwrap();
    let told = left.iter().map(|load| (&load["name"], &load["region"], &load["followers"]));
    assert!(
        told.eq([(&json!("replica-0"), &json!(0), &json!(17)), (&json!("replica-3"), &json!(1), &json!(17))])
    );
    for load in left {
        let of_share = load["of_share"].as_f64().unwrap();
        assert!(of_share > 0.0 && of_share < 1.0, "{said}");
    }
}

#[test]
fn all_balancers_converge_through_every_event() {
    let folder = tempfile::tempdir().unwrap();
    let played = played(folder.path(), "sound", &[]);
    assert_converged(&played);
    // The release has restarted each hollow balancer, and each of them took a snapshot again.
    let snapshots = played.report["end"]["snapshots"].as_u64().unwrap();
    assert!(snapshots >= 2 * played.report["sizes"]["hollow_balancers"].as_u64().unwrap(), "{}", played.said);
    assert_all_real_balancers_restarted(&played);
    if played.code == HELD {
        assert_servers_left(&played);
    }
}

fn assert_all_real_balancers_restarted(played: &Played) {
    let phases = played.report["phases"].as_array().unwrap();
    let release = phases.iter().find(|phase| phase["kind"] == "release").unwrap();
    let restarts = release["restarts"].as_array().unwrap();
    assert!(restarts.iter().map(|restart| &restart["balancer"]).eq([0, 1, 2, 3]), "{}", played.said);
    for restart in restarts {
        assert!(restart["start_to_in_force_ms"].as_f64().unwrap() > 0.0, "{}", played.said);
    }
}

#[test]
fn a_dropped_change_is_noticed_and_repaired() {
    let folder = tempfile::tempdir().unwrap();
    let planted = env!("CARGO_BIN_EXE_pondlb-planted-control");
    let played = played(folder.path(), "drops", &["--server", planted, "--server-argument", "drops"]);
    assert_converged(&played);
    assert!(played.report["end"]["repairs"].as_u64().unwrap() > 0, "{}", played.said);
}

#[test]
fn changes_in_the_wrong_order_are_rejected_and_asked_again() {
    let folder = tempfile::tempdir().unwrap();
    let planted = env!("CARGO_BIN_EXE_pondlb-planted-control");
    let played = played(folder.path(), "reorders", &["--server", planted, "--server-argument", "reorders"]);
    assert_converged(&played);
    assert!(played.report["end"]["rejections"].as_u64().unwrap() > 0, "{}", played.said);
}

#[test]
fn a_balancer_that_never_asks_again_fails_the_run() {
    let folder = tempfile::tempdir().unwrap();
    let played = played(folder.path(), "mute", &["--hollow-argument=--planted=never-asks-again"]);
    assert_eq!(played.code, FAILED, "{}", played.said);
    let failures = played.report["failures"].to_string();
    // One in each of the two hollow processes.
    assert!(failures.contains("2 balancers never converged"), "{}", played.said);
    assert!(failures.contains("pairs of a change and a balancer never in force"), "{}", played.said);
}

/// The danger is a machine full of processes that nobody ends, stopped ones among them.
#[test]
fn a_laboratory_killed_outright_leaves_no_process_behind() {
    let folder = tempfile::tempdir().unwrap();
    let text = std::fs::read_to_string(SMALL).unwrap();
    // Stopped from the first phase on.
    let stop =
        "name = \"first\"\nkind = \"stop\"\nseconds = 60.0\nchanges_per_second = 1.0\nevent_seconds = 50.0\n";
    let (head, _) = text.split_once("[[phases]]").unwrap();
    let scenario = folder.path().join("stopped.toml");
    std::fs::write(&scenario, format!("{head}[[phases]]\n{stop}")).unwrap();
    let Programs { server, balancer } = programs();
    let line = ["scale", scenario.to_str().unwrap(), "--server", server, "--balancer", balancer];
    let mut run = Command::new(env!("CARGO_BIN_EXE_pondlb-lab")).args(line).spawn().unwrap();
    let expected = 5 + 4 + 2;
    assert!(comes(|| children_of(run.id()).len() == expected), "the processes never came up");
    let is_stopped = || children_of(run.id()).iter().any(|child| state_of(*child) == Some('T'));
    assert!(comes(is_stopped), "no process was stopped");
    let children = children_of(run.id());
    run.kill().unwrap();
    run.wait().unwrap();
    let lives = |child: &u32| state_of(*child).is_some_and(|state| state != 'Z');
    assert!(comes(|| !children.iter().any(lives)), "processes live on");
}

/// Whether it is so within half a minute.
fn comes(so: impl Fn() -> bool) -> bool {
    let until = Instant::now() + Duration::from_secs(30);
    while Instant::now() < until {
        if so() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

fn children_of(parent: u32) -> Vec<u32> {
    let entries = std::fs::read_dir("/proc").unwrap().flatten();
    let ids = entries.filter_map(|entry| entry.file_name().to_str()?.parse().ok());
    ids.filter(|id| stat_of(*id).is_some_and(|stat| stat.1 == parent)).collect()
}

fn state_of(process: u32) -> Option<char> {
    stat_of(process).map(|stat| stat.0)
}

/// State and parent.
fn stat_of(process: u32) -> Option<(char, u32)> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let (_, behind_name) = stat.rsplit_once(") ")?;
    let mut fields = behind_name.split(' ');
    Some((fields.next()?.chars().next()?, fields.next()?.parse().ok()?))
}

/// The larger ones are too long to play with every change.
#[test]
fn every_scenario_of_the_scale_run_can_be_read() {
    let folder = Path::new(SMALL).parent().unwrap();
    let files = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let is_of_scale = |path: &PathBuf| path.file_name().unwrap().to_str().unwrap().starts_with("two-years");
    let files: Vec<PathBuf> = files.filter(is_of_scale).collect();
    assert_eq!(files.len(), 4);
    for file in files {
        // What the machine's memory allows is not the question.
        let line = ["scale", file.to_str().unwrap(), "--share", "0.05", "--server", "/nowhere"];
        let out = lab(&line);
        let said = String::from_utf8(out.stderr).unwrap();
        assert_eq!(out.status.code(), Some(BAD_INPUT));
        assert!(said.contains("origin ended before it served") && said.contains("/nowhere"), "{said}");
    }
}

#[test]
fn every_fault_of_a_scenario_is_told_before_anything_starts() {
    let folder = tempfile::tempdir().unwrap();
    let text = std::fs::read_to_string(SMALL).unwrap();
    let mut trace = String::new();
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
        let out = lab(&["scale", scenario.to_str().unwrap(), "--server", "/nowhere"]);
        assert_eq!(out.status.code(), Some(BAD_INPUT));
        let said = String::from_utf8(out.stderr).unwrap().replace(folder.path().to_str().unwrap(), "");
        let shown = said.lines().filter(|line| !line.contains('|') && !line.is_empty());
        // What the machine has differs from one to the next.
        let shown = shown
            .map(|line| line.split_once(" MB by estimate").map_or(line, |_| "/s.toml: balancers: too many"));
        trace += &(shown.collect::<Vec<_>>().join("; ") + "\n");
    }
    let out = lab(&["scale", SMALL, "--share", "0"]);
    trace += String::from_utf8(out.stderr).unwrap().split_once(".toml: ").unwrap().1;
    expect![[r#"
        /s.toml: balancers: 0: 1 to 3000; /s.toml: balancers: 0: two more than real_balancers at least
        /s.toml: upstreams: 0: 1 to 500000; /s.toml: listen: 10.0.0.1: no loopback address; /s.toml: upstreams: 0: the served ones and two for each zone at least; /s.toml: phases[1].rack_upstreams: 10: 1 at least, less than upstreams
        /s.toml: tenants: 0: 1 to 500000; /s.toml: gather_ms: 0: 1 to 10000
        /s.toml: TOML parse error at line 2, column 1; unknown field `sead`, expected one of `seed`, `balancers`, `real_balancers`, `followers_each`, `starts_at_once`, `upstreams`, `classes`, `tenants`, `regions`, `zones_per_region`, `replica_servers`, `listen`, `gather_ms`, `hold_ms`, `settle_seconds`, `traffic`, `phases`
        /s.toml: balancers: too many
        /s.toml: traffic.rate_each: NaN: 0.1 to 1000
        /s.toml: phases[2].zone: 10: there are 10
        /s.toml: TOML parse error at line 19, column 8; unknown variant `often`, expected one of `steady`, `rack`, `zone`, `release`, `kill-server`, `partition`, `stop`
        /s.toml: phases[2].event_seconds: 15: above 0, less than seconds
        /s.toml: phases[3].servers: there is none
        /s.toml: phases[3].servers: 4: there are 4; /s.toml: phases[3].servers: 1: named twice
        /s.toml: phases[3].servers: all 4 of them: one is left at least
        /s.toml: TOML parse error at line 43, column 12; invalid value: integer `-1`, expected u32
        /s.toml: TOML parse error at line 43, column 1; unknown field `server`, expected one of `name`, `kind`, `seconds`, `changes_per_second`, `event_seconds`, `rack_upstreams`, `zone`, `servers`, `process`, `tenths`
        --share: 0: above 0, 1 at most
    "#]].assert_eq(&trace);
}
