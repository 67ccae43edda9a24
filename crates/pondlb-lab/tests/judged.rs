//! The whole path with real processes: planted balancers prove that the judge can fail.

use std::iter;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::thread;
use std::time::Duration;

use expect_test::expect;

fn lab(line: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pondlb-lab")).args(line).output().unwrap()
}

fn file(folder: &Path, name: &str, text: &str) -> String {
    let path = folder.join(name);
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().into()
}

const SCENARIO: &str = r#"
seed = 3
seconds = 2.5
balancers = 1
[rules]
drain_grace_ms = 300
warm_ms = 2000
fall_ms = 500
[[upstreams]]
count = 3
cores = 2
[[schemes]]
name = "browse"
effect = "repeatable"
sla_ms = 300
expiry_ms = 900
value = 1.0
rate = 80.0
work_ms = 4.0
[[schemes]]
name = "order"
effect = "once-only"
sla_ms = 300
expiry_ms = 900
value = 2.0
rate = 20.0
work_ms = 4.0
"#;

const DRAIN: &str = "[[faults]]\nat = 0.8\nkind = \"drain\"\nwhich = 1\n";
const SLOW: &str = "[[faults]]\nat = 0.5\nfor = 0.1\nkind = \"slow\"\nwhich = 0\nfactor = 25\n";
const RETURN: &str = "[[faults]]\nat = 0.4\nfor = 0.3\nkind = \"kill\"\nwhich = 0\n";

/// The rules that are found broken, each once.
fn found(folder: &Path, fault: &str, troubles: &str) -> String {
    let (from, to) = match fault {
        "storms" => ("work_ms = 4.0", "work_ms = 60.0"),
        "strays" => ("\"once-only\"", "\"referenced\""),
        "copies" => ("balancers = 1", "balancers = 1\nasking = [0]"),
        "parks" => ("balancers = 1", "balancers = 1\nleast_in_time = 0.5"),
        _ => ("", ""),
    };
    let scenario = SCENARIO.replace(from, to) + troubles;
    let scenario = file(folder, &format!("{fault}.toml"), &scenario);
    let planted = env!("CARGO_BIN_EXE_pondlb-planted");
    let play = || lab(&["run", &scenario, "--program", planted, "--argument", fault, "--json"]);
    // A void run (3) says nothing of the program, only that the machine was busy: it is played again.
    let run = iter::repeat_with(play).take(4).find(|run| run.status.code() != Some(3)).unwrap_or_else(play);
    let code = run.status.code();
    let text = String::from_utf8(run.stdout).unwrap();
    let Ok(result) = serde_json::from_str::<serde_json::Value>(&text) else {
        return format!("{fault}: {code:?} {}", String::from_utf8_lossy(&run.stderr));
    };
    let mut rules: Vec<_> =
        result["broken"].as_array().unwrap().iter().map(|b| b["rule"].to_string()).collect();
    rules.sort();
    rules.dedup();
    format!("{fault}: exit {}, {}\n", code.unwrap(), rules.join(" "))
}

#[test]
fn each_planted_fault_is_found_and_named() {
    let folder = &tempfile::tempdir().unwrap();
    let faults = [
        ("honest", DRAIN),
        ("answers-twice", ""),
        ("swaps", ""),
        ("loses", ""),
        ("posts-after", ""),
        ("repeats", ""),
        ("declines-what-ran", ""),
        ("ignores-drains", DRAIN),
        ("storms", RETURN),
        ("parks", ""),
        ("crashes", ""),
        ("strays", "[[upstreams]]\ngroup = 1\n"),
        ("copies", SLOW),
        ("asks", ""),
    ];
    // Side by side, or they would take half a minute.
    let trace: String = thread::scope(|scope| {
        let played =
            faults.map(|(fault, troubles)| scope.spawn(move || found(folder.path(), fault, troubles)));
        played.into_iter().map(|run| run.join().unwrap()).collect()
    });
    expect![[r#"
        honest: exit 0, 
        answers-twice: exit 1, "1 one answer"
        swaps: exit 1, "1 one answer"
        loses: exit 1, "1 one answer"
        posts-after: exit 1, "1 one answer" "2 one effect"
        repeats: exit 1, "2 one effect"
        declines-what-ran: exit 1, "2 one effect"
        ignores-drains: exit 1, "3 drains"
        storms: exit 1, "1 one answer" "4 cold upstreams"
        parks: exit 1, "parked" "starved"
        crashes: exit 1, "crash"
        strays: exit 1, "2 one effect"
        copies: exit 1, "2 one effect"
        asks: exit 1, "asked"
    "#]]
    .assert_eq(&trace);
    assert!(comes(|| faults.iter().all(|(fault, _)| planted(fault) == 0)), "a balancer lives on");
}

/// The danger is a verdict on a request that was sent to a balancer while it was being killed.
#[test]
fn what_a_kill_takes_with_it_is_held_against_nobody() {
    let folder = &tempfile::tempdir().unwrap();
    let kill =
        |n: u32| format!("[[faults]]\nat = {:.1}\nkind = \"kill-balancer\"\nwhich = 0\n", 0.2 * f64::from(n));
    let kills: String = (1..=10).map(kill).collect();
    let crowd = "[[schemes]]\nname = \"crowd\"\neffect = \"repeatable\"\nsla_ms = 300\nexpiry_ms = 900\nvalue = 1.0\n\
        rate = 1500.0\nwork_ms = 0.5\n";
    expect!["honest: exit 0, \n"].assert_eq(&found(folder.path(), "honest", &format!("{crowd}{kills}")));
}

/// The danger is a machine full of balancers that nobody ends.
#[test]
fn a_laboratory_killed_outright_leaves_no_balancer_behind() {
    let folder = tempfile::tempdir().unwrap();
    let scenario = file(folder.path(), "s.toml", &SCENARIO.replace("seconds = 2.5", "seconds = 60.0"));
    let line =
        ["run", &scenario, "--program", env!("CARGO_BIN_EXE_pondlb-planted"), "--argument", "left-behind"];
    let mut run = Command::new(env!("CARGO_BIN_EXE_pondlb-lab")).args(line).spawn().unwrap();
    assert!(comes(|| planted("left-behind") == 1), "the balancer never came up");
    run.kill().unwrap();
    run.wait().unwrap();
    assert!(comes(|| planted("left-behind") == 0), "the balancer lives on");
}

/// Whether it is so within five seconds.
fn comes(so: impl Fn() -> bool) -> bool {
    (0..100).any(|_| {
        thread::sleep(Duration::from_millis(50));
        so()
    })
}

/// How many planted balancers run with that argument.
fn planted(argument: &str) -> usize {
    let lines = std::fs::read_dir("/proc")
        .unwrap()
        .flatten()
        .filter_map(|entry| std::fs::read_to_string(entry.path().join("cmdline")).ok());
    let path = env!("CARGO_BIN_EXE_pondlb-planted");
    lines.filter(|line| *line == format!("{path}\0{argument}\0")).count()
}

#[test]
fn what_cannot_be_played_is_told_in_a_line() {
    let folder = tempfile::tempdir().unwrap();
    let good = file(folder.path(), "good.toml", SCENARIO);
    let empty = file(
        folder.path(),
        "empty.toml",
        "seed = 1\nseconds = 1.0\nbalancers = 1\nupstreams = []\nschemes = []",
    );
    let unknown = file(folder.path(), "unknown.toml", &SCENARIO.replace("cores", "hearts"));
    let missing: PathBuf = folder.path().join("missing.toml");
    let mut trace = String::new();
    for line in [
        vec!["check", &good],
        vec!["check", missing.to_str().unwrap()],
        vec!["check", &empty],
        vec!["check", &unknown],
        vec!["run", &good, "--program", "/nowhere"],
        vec!["run", &good, "--program", "/bin/false"],
    ] {
        let out = lab(&line);
        let said = String::from_utf8([out.stdout, out.stderr].concat()).unwrap();
        let said = said.replace(folder.path().to_str().unwrap(), "");
        trace += &format!("{}: {}\n", out.status.code().unwrap(), said.trim());
    }
    expect![[r#"
        0: 249 txns in 2.5 s to 1 balancers and 3 upstreams
        2: /missing.toml: No such file or directory (os error 2)
        2: /empty.toml: upstreams: at least one is required
        /empty.toml: schemes: at least one is required
        2: /unknown.toml: TOML parse error at line 11, column 1
           |
        11 | hearts = 2
           | ^^^^^^
        unknown field `hearts`, expected one of `count`, `zone`, `group`, `cores`, `speed`, `waiting`, `connections`, `handshake_ms`
        2: balancer 0 ended before it served, exit status: 2: /nowhere: No such file or directory (os error 2)
        2: balancer 0 ended before it served, exit status: 1:
    "#]]
    .assert_eq(&trace);
}
