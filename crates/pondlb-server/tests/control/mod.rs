//! The program with control servers in place of discovery.

use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use pondlb_control::CommitRequest;
use pondlb_control_net::{Role, Server, ServerOptions};
use tokio::runtime::Builder;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

use crate::helper::*;

/// A control server in a thread of its own; dropping it closes all of its connections.
struct ControlServer {
    address: SocketAddr,
    commit: Option<SocketAddr>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl ControlServer {
    fn start(listen: SocketAddr, role: impl FnOnce() -> Role + Send + 'static) -> ControlServer {
        ControlServer::start_with(move || ServerOptions::new(listen, role()))
    }

    fn start_with(options: impl FnOnce() -> ServerOptions + Send + 'static) -> ControlServer {
        let (tell, told) = channel();
        let (stop, stopped) = oneshot::channel::<()>();
        let serve = move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            LocalSet::new().block_on(&runtime, async {
                let server = Server::bind(options()).unwrap();
                tell.send((server.listen_address().unwrap(), server.commit_address().unwrap())).unwrap();
                tokio::select! {
                    () = server.run() => {}
                    _ = stopped => {}
                }
            });
        };
        let thread = thread::spawn(serve);
        let (address, commit) = told.recv_timeout(SOON).unwrap();
        ControlServer { address, commit, stop: Some(stop), thread: Some(thread) }
    }

    fn origin() -> ControlServer {
        ControlServer::origin_at(any_address(), 7, &[])
    }

    fn origin_at(listen: SocketAddr, epoch: u64, initial: &[String]) -> ControlServer {
        let initial = format!(r#"{{"changes":[{}]}}"#, initial.join(","));
        let role = move || {
            let CommitRequest { changes } = serde_json::from_str(&initial).unwrap();
            Role::Origin { commit_address: Some(any_address()), initial_records: changes, epoch }
        };
        ControlServer::start(listen, role)
    }

    /// An origin whose answers have so many bytes of changes, or a single change.
    fn origin_in_pieces_of(piece_bytes: usize) -> ControlServer {
        ControlServer::start_with(move || {
            let role =
                Role::Origin { commit_address: Some(any_address()), initial_records: Vec::new(), epoch: 7 };
            ServerOptions { max_changes_bytes: piece_bytes, ..ServerOptions::new(any_address(), role) }
        })
    }

    fn replica(origin: &ControlServer) -> ControlServer {
        let follow = vec![origin.address];
        ControlServer::start(any_address(), move || Role::Replica {
            servers: follow,
            max_hold: Duration::from_millis(300),
        })
    }

    /// Who has called lately, as the server says.
    fn followers(&self) -> Vec<serde_json::Value> {
        let mut client = Client(std::net::TcpStream::connect(self.address).unwrap());
        client.0.set_read_timeout(Some(SOON)).unwrap();
        client.send("GET /control/followers HTTP/1.1\r\nHost: c\r\n\r\n");
        let answer = client.read().expect("an answer");
        let mut table: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
        serde_json::from_value(table["followers"].take()).unwrap()
    }

    /// Commits changes; the answer's status.
    fn commit(&self, changes: &[String]) -> String {
        let body = format!(r#"{{"changes":[{}]}}"#, changes.join(","));
        let mut client = Client(std::net::TcpStream::connect(self.commit.unwrap()).unwrap());
        client.0.set_read_timeout(Some(SOON)).unwrap();
        let length = body.len();
        client.send(&format!(
            "POST /control/commit HTTP/1.1\r\nHost: c\r\nContent-Length: {length}\r\n\r\n{body}"
        ));
        client.read().expect("an answer").status().into()
    }
}

impl Drop for ControlServer {
    fn drop(&mut self) {
        drop(self.stop.take());
        drop(self.thread.take().map(thread::JoinHandle::join));
    }
}

fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A change that lists an upstream, named by its port as in [`upstream_list`].
fn listed(address: SocketAddr) -> String {
    let port = address.port();
    format!(
        r#"{{"key":"upstream/u{port}","value":{{"uid":"u{port}","endpoint":"{address}","az":"a","model":"m1",
        "pod_group":0,"state":"active","capacity_hint":1.0}}}}"#
    )
}

fn removed(address: SocketAddr) -> String {
    format!(r#"{{"key":"upstream/u{}","value":null}}"#, address.port())
}

fn followed(servers: &[&ControlServer], known: &[&Upstream]) -> Plan {
    let mut plan = Plan::with(known);
    plan.control = Some(servers.iter().map(|server| server.address.to_string()).collect());
    plan
}

#[test]
fn a_balancer_follows_control_servers_and_serves_on_without_them() {
    let (one, two) = (Upstream::start(HELLO), Upstream::start(HELLO));
    let origin = ControlServer::origin();
    let replica = ControlServer::replica(&origin);
    let balancer = followed(&[&replica, &origin], &[]).start();
    assert_eq!(balancer.health(), "503");
    assert_eq!(origin.commit(&[listed(one.address)]), "200");
    wait_until("it is ready", || balancer.health() == "200");
    assert_eq!(balancer.ask("a1", "order").status(), "200");
    assert_eq!(one.requests().len(), 1);
    assert_eq!(origin.commit(&[listed(two.address), removed(one.address)]), "200");
    let number = Cell::new(0);
    wait_until("the other one is asked", || {
        number.set(number.get() + 1);
        assert_eq!(balancer.ask(&format!("b{}", number.get()), "order").status(), "200");
        !two.requests().is_empty()
    });
    let _earlier = one.requests();
    drop((replica, origin));
    for number in 0..10 {
        assert_eq!(balancer.ask(&format!("c{number}"), "order").status(), "200");
    }
    assert_eq!((balancer.health(), one.requests().len()), ("200".into(), 0));
    balancer.ends_having_said(&["control: version 7.", "is in force"]);
}

#[test]
fn a_list_of_many_upstreams_comes_in_slices_and_drops_what_was_remembered() {
    let (one, remembered) = (Upstream::start(HELLO), Upstream::start(HELLO));
    let origin = ControlServer::origin();
    let nobody = nobody();
    let draining = (0..500).map(|number| {
        listed(nobody)
            .replace(&format!("u{}", nobody.port()), &format!("d{number}"))
            .replace("active", "leaving")
    });
    let changes: Vec<String> = draining.chain([listed(one.address)]).collect();
    assert_eq!(origin.commit(&changes), "200");
    let balancer = followed(&[&origin], &[&remembered]).start();
    wait_until("it is ready", || balancer.health() == "200");
    for number in 0..10 {
        assert_eq!(balancer.ask(&format!("a{number}"), "order").status(), "200");
    }
    let expected: Vec<String> = (0..10).map(|number| format!("a{number}")).collect();
    assert_eq!((one.asked(), remembered.asked()), (expected, Vec::new()));
}

/// The danger is a list with one bad entry that ends what was good before.
#[test]
fn a_record_that_is_no_upstream_is_not_taken_and_changes_nothing() {
    let one = Upstream::start(HELLO);
    let origin = ControlServer::origin();
    assert_eq!(origin.commit(&[listed(one.address)]), "200");
    let balancer = followed(&[&origin], &[]).start();
    wait_until("it is ready", || balancer.health() == "200");
    let foreign = listed(one.address).replace("\"uid\":\"u", "\"uid\":\"x");
    assert_eq!(origin.commit(&[removed(one.address), foreign.clone()]), "200");
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(balancer.ask("a1", "order").status(), "200");
    assert_eq!(origin.commit(&[listed(one.address)]), "200");
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(balancer.ask("a2", "order").status(), "200");
    balancer.ends_having_said(&["the response is rejected: upstream/u", "must equal the record's name"]);
}

#[test]
fn faulty_control_keys_are_told() {
    for (keys, fault) in [
        (r#""control":{"servers":[]}"#, "control.servers: one address or more is accepted"),
        (r#""control":{"servers":["x"]}"#, "control.servers[0]: invalid socket address syntax"),
        (
            r#""control":{"servers":["127.0.0.1:1"],"hold_ms":1}"#,
            "control.hold_ms: 1: 10 to 60000 are accepted",
        ),
    ] {
        let plan = Plan::with(&[]);
        let given = format!(r#""discovery":"{}""#, plan.discovery);
        let file = place(&plan.configuration().replace(&given, keys));
        let (mut child, mut log) = launch(&file, 1024);
        let mut told = String::new();
        std::io::Read::read_to_string(&mut log, &mut told).unwrap();
        assert_eq!(child.wait().unwrap().code(), Some(2), "{keys}: {told}");
        assert!(told.contains(fault), "{told}");
    }
}

#[test]
fn a_stale_state_is_told_once_and_again_when_it_is_fresh() {
    let one = Upstream::start(HELLO);
    let origin = ControlServer::origin();
    assert_eq!(origin.commit(&[listed(one.address)]), "200");
    let replica = ControlServer::replica(&origin);
    let balancer = followed(&[&replica, &origin], &[]).start();
    wait_until("it is ready", || balancer.health() == "200");
    // The replica server serves on and tells how stale it is; nothing else is left to ask.
    let address = origin.address;
    drop(origin);
    std::thread::sleep(Duration::from_secs(13));
    assert_eq!(balancer.ask("a1", "order").status(), "200");
    let two = Upstream::start(HELLO);
    let _back = ControlServer::origin_at(address, 8, &[listed(two.address)]);
    let number = Cell::new(0);
    wait_until("the new epoch is in force", || {
        number.set(number.get() + 1);
        assert_eq!(balancer.ask(&format!("b{}", number.get()), "order").status(), "200");
        !two.requests().is_empty()
    });
    std::thread::sleep(Duration::from_secs(2));
    balancer.signal("TERM");
    let (status, log) = balancer.ended();
    assert!(status.success());
    assert_eq!(log.matches("is stale: not confirmed as current for").count(), 1, "{log}");
    assert_eq!(log.matches("no longer stale at version 8.").count(), 1, "{log}");
    assert!(log.matches("control: ").count() < 20, "{log}");
}

/// The danger is a class that is served at one balancer and unknown at the next.
#[test]
fn classes_tenants_and_limits_are_put_in_force_while_it_serves() {
    let one = Upstream::start(HELLO);
    let origin = ControlServer::origin();
    assert_eq!(origin.commit(&[listed(one.address)]), "200");
    let balancer = followed(&[&origin], &[]).start();
    wait_until("it is ready", || balancer.health() == "200");
    assert_eq!(balancer.ask("a1", "query").status(), "400");
    let class = |name: &str| {
        format!(
            r#"{{"key":"class/{name}","value":{{"Name":"{name}","Effect":"idempotent","SlaTimeNs":1500000000,
            "ExpiryNs":2000000000,"Value":1.0}}}}"#
        )
    };
    let tenant = r#"{"key":"tenant/t1","value":{"QuotaRps":5.0}}"#.to_string();
    let limit = r#"{"key":"limit/Limits.MaxOpen","value":1000}"#.to_string();
    assert_eq!(origin.commit(&[class("query"), tenant, limit]), "200");
    let number = Cell::new(0);
    let status = |class: &str| {
        number.set(number.get() + 1);
        balancer.ask(&format!("b{}", number.get()), class).status().to_string()
    };
    wait_until("the new class is served", || status("query") == "200");
    // The file's classes give way to another.
    let gone = |name: &str| format!(r#"{{"key":"class/{name}","value":null}}"#);
    assert_eq!(origin.commit(&[gone("browse"), gone("order"), gone("query"), class("write")]), "200");
    wait_until("the last class is served", || status("write") == "200");
    assert_eq!(status("query"), "400");
    assert_eq!(origin.commit(&[gone("write"), class("read")]), "200");
    wait_until("another class is served", || status("read") == "200");
    // Without any class nothing could be served: the origin takes nothing of such a commit.
    assert_eq!(origin.commit(&[listed(one.address), gone("read")]), "400");
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!((status("read"), status("write")), ("200".into(), "400".into()));
    assert_eq!(origin.followers()[0]["in_sync"], true);
    balancer.ends_having_said(&["settings put in force"]);
}

fn class_record(name: &str) -> String {
    format!(
        r#"{{"key":"class/{name}","value":{{"Name":"{name}","Effect":"idempotent","SlaTimeNs":1500000000,
        "ExpiryNs":2000000000,"Value":1.0}}}}"#
    )
}

fn class_removal(name: &str) -> String {
    format!(r#"{{"key":"class/{name}","value":null}}"#)
}

/// Waits until requests may name the last of these classes alone.
fn wait_for_last_class(balancer: &Balancer, before: &[&str], last: &str) {
    let number = Cell::new(0);
    let status = |class: &str| {
        number.set(number.get() + 1);
        balancer.ask(&format!("{last}{}", number.get()), class).status().to_string()
    };
    wait_until("the classes are as they should be", || {
        status(last) == "200" && before.iter().all(|class| status(class) == "400")
    });
}

/// The danger is a class that stays for ever, since its removal came in a piece before the one that brings another.
#[test]
fn a_class_that_takes_the_place_of_the_last_may_come_a_piece_later() {
    let one = Upstream::start(HELLO);
    let origin = ControlServer::origin_in_pieces_of(1);
    assert_eq!(origin.commit(&[listed(one.address)]), "200");
    let balancer = followed(&[&origin], &[]).start();
    wait_until("it is ready", || balancer.health() == "200");
    let changes = [class_removal("browse"), class_removal("order"), class_record("read")];
    assert_eq!(origin.commit(&changes), "200");
    wait_for_last_class(&balancer, &["browse", "order"], "read");
    assert_eq!(origin.commit(&[class_removal("read"), class_record("write")]), "200");
    wait_for_last_class(&balancer, &["browse", "order", "read"], "write");
    wait_until("the server is told that all is in force", || origin.followers()[0]["in_sync"] == true);
    balancer.ends_having_said(&["it stays as it was", "refused before, in force now"]);
}

/// The danger is a balancer that has other settings than its version and digest say, and nobody sees it.
#[test]
fn a_record_that_the_settings_do_not_allow_is_told_to_the_server_and_put_in_force_once_they_do() {
    let one = Upstream::start(HELLO);
    let origin = ControlServer::origin();
    let changes = [class_removal("browse"), class_removal("order"), class_record("read")];
    assert_eq!(origin.commit(&[listed(one.address)]), "200");
    let balancer = followed(&[&origin], &[]).start();
    wait_until("it is ready", || balancer.health() == "200");
    assert_eq!(origin.commit(&changes), "200");
    wait_for_last_class(&balancer, &["browse", "order"], "read");
    // A new epoch has no class at all, and the file's have been removed.
    let address = origin.address;
    drop(origin);
    let origin = ControlServer::origin_at(address, 8, &[listed(one.address)]);
    let follower = |origin: &ControlServer| origin.followers().first().cloned().unwrap_or_default();
    wait_until("the server is told", || follower(&origin)["refused"] == 1);
    let told = follower(&origin);
    assert_eq!((&told["version"]["epoch"], &told["in_sync"]), (&8.into(), &false.into()));
    assert_eq!(balancer.ask("r1", "read").status(), "200");
    // Other records are put in force meanwhile.
    assert_eq!(origin.commit(&[r#"{"key":"limit/Limits.MaxOpen","value":1000}"#.into()]), "200");
    wait_until("it goes on", || follower(&origin)["version"]["revision"] == 2);
    assert_eq!(follower(&origin)["refused"], 1);
    assert_eq!(origin.commit(&[class_record("write")]), "200");
    wait_for_last_class(&balancer, &["browse", "order", "read"], "write");
    wait_until("the server is told that all is in force", || follower(&origin)["in_sync"] == true);
    assert_eq!(follower(&origin)["refused"], 0);
    balancer.ends_having_said(&["class/read: Schemes is empty; it stays as it was"]);
}
