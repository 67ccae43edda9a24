//! The program pondlb-control-server: its options file and its exit codes.

use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

use expect_test::expect;

/// Writes a file to the temporary directory of the tests.
fn options_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn program() -> Command {
    let mut program = Command::new(env!("CARGO_BIN_EXE_pondlb-control-server"));
    program.env_remove("RUST_LOG");
    program
}

/// Runs the program with this options file until it ends.
fn run(name: &str, text: &str) -> Output {
    program().arg(options_file(name, text)).output().unwrap()
}

/// The messages of the log, without times and directories.
fn log_messages(output: &Output) -> String {
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    let directory = format!("{}/", env!("CARGO_TARGET_TMPDIR"));
    let messages = text.lines().filter_map(|line| line.split_once("] ").map(|(_, message)| message));
    messages.map(|message| message.replace(&directory, "") + "\n").collect()
}

#[test]
fn all_errors_of_an_options_file_are_reported() {
    let output = run(
        "faulty.toml",
        "name = \"a b\"\nlisten = \"nowhere\"\nfollow = []\ncommit = \"127.0.0.1:0\"\ngather_ms = -1\n\
         piece_bytes = 5\nfollowers = 0\nmemory_mb = \"many\"\nother = 1\n",
    );
    assert_eq!(output.status.code(), Some(2));
    expect![[r#"
        faulty.toml: other: no such key; accepted are name, number, listen, commit, initial, epoch, follow, hold_ms, gather_ms, piece_bytes, followers, memory_mb, snapshot_pieces_per_second
        faulty.toml: listen: invalid socket address syntax
        faulty.toml: commit: is accepted only for an origin, not together with follow
        faulty.toml: follow: one address or more is accepted
        faulty.toml: name: "a b": 1 to 64 letters, digits, '-', '_' or '.' are accepted
        faulty.toml: gather_ms: invalid value: integer `-1`, expected u64
        faulty.toml: piece_bytes: 5: 1024 to 1048576 is accepted
        faulty.toml: followers: 0: 1 to 100000 is accepted
        faulty.toml: memory_mb: invalid type: string "many", expected usize
    "#]].assert_eq(&log_messages(&output));
    let output = run("empty.toml", "");
    assert_eq!(output.status.code(), Some(2));
    expect![[r#"
        empty.toml: listen: is required
        empty.toml: follow: either follow, or commit or initial is required
    "#]]
    .assert_eq(&log_messages(&output));
    let output = run("no-toml.toml", "listen");
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn initial_records_are_validated() {
    let output = run("no-initial.toml", "listen = \"127.0.0.1:0\"\ninitial = \"missing.json\"\nepoch = 0\n");
    assert_eq!(output.status.code(), Some(2));
    expect![[r#"
        no-initial.toml: epoch: 0: 1 or more is accepted
        no-initial.toml: initial: missing.json: No such file or directory (os error 2)
    "#]]
    .assert_eq(&log_messages(&output));
    options_file("bad.json", r#"{"changes":[{"key":"upstream/a","value":3}]}"#);
    let output = run("bad-initial.toml", "listen = \"127.0.0.1:0\"\ninitial = \"bad.json\"\n");
    assert_eq!(output.status.code(), Some(2));
    expect![[r#"
        bad-initial.toml: initial: upstream/a: a JSON object is accepted
    "#]]
    .assert_eq(&log_messages(&output));
}

/// A record that balancers reject would keep them from applying any later change.
#[test]
fn origin_rejects_records_that_balancers_cannot_apply() {
    let valid =
        r#"{"uid":"a","endpoint":"127.0.0.1:1","az":"z","model":"m","state":"active","capacity_hint":1}"#;
    let mut messages = String::new();
    for (key, value) in [
        ("upstream/a", "{}".to_string()),
        ("upstream/b", valid.to_string()),
        ("upstream/a", valid.replace("hint\":1", "hint\":-1")),
        ("upstream/a", valid.replace("active", "asleep")),
        ("class/a", "{}".into()),
        ("tenant/a", r#"{"QuotaRps":-1}"#.into()),
        ("limit/Limits.MaxOpen", "\"many\"".into()),
        ("limit/Nothing", "1".into()),
    ] {
        let records = format!(
            r#"{{"changes":[{{"key":"upstream/a","value":{valid}}},{{"key":"{key}","value":{value}}}]}}"#
        );
        options_file("strict.json", &records);
        let output = run("strict.toml", "listen = \"127.0.0.1:0\"\ninitial = \"strict.json\"\n");
        assert_eq!(output.status.code(), Some(2));
        messages += &log_messages(&output);
    }
    expect![[r#"
        strict.toml: initial: upstream/a: missing field `uid` at line 1 column 2
        strict.toml: initial: upstream/b: uid: "a": must equal the record's name
        strict.toml: initial: upstream/a: capacity_hint is no size
        strict.toml: initial: upstream/a: state: unknown variant `asleep`, expected one of `active`, `leaving`, `left` at line 1 column 73
        strict.toml: initial: class/a: class/a: missing field `SlaTimeNs` at line 1 column 2
        strict.toml: initial: tenant/a: tenant/a.QuotaRps: -1: 0 to 179769313486231570000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000 are accepted
        strict.toml: initial: limit/Limits.MaxOpen: Limits.MaxOpen: invalid type: string "many", expected u32
        strict.toml: initial: limit/Nothing: Nothing: the change takes a restart
    "#]].assert_eq(&messages);
}

#[test]
fn address_in_use_exits_with_1() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap();
    let output = run("taken.toml", &format!("listen = \"{address}\"\ncommit = \"127.0.0.1:0\"\n"));
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn sigterm_exits_with_0() {
    let file = options_file("good.toml", "listen = \"127.0.0.1:0\"\ncommit = \"127.0.0.1:0\"\n");
    let mut child = program().arg(file).stderr(Stdio::piped()).spawn().unwrap();
    let mut line = String::new();
    BufReader::new(child.stderr.take().unwrap()).read_line(&mut line).unwrap();
    assert!(line.contains("listens on 127.0.0.1:"), "{line}");
    assert!(Command::new("kill").arg(child.id().to_string()).status().unwrap().success());
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

#[test]
fn help_lists_all_keys_of_the_options_file() {
    let output = program().arg("--help").output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success() && text.contains("FILE.toml"), "{text}");
    let messages = log_messages(&run("unknown.toml", "unknown = 1\n"));
    let keys =
        messages.lines().find_map(|line| line.split_once("accepted are ").map(|(_, keys)| keys)).unwrap();
    for key in keys.split(", ") {
        assert!(text.contains(&format!("\n  {key} ")), "{key}: {text}");
    }
}
