//! Tests of the program with control servers in place of discovery.

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

/// A control server in a thread of its own. Dropping it stops the server and closes all of its connections.
struct ControlServer {
    address: SocketAddr,
    /// Where an origin accepts commits.
    commit_address: Option<SocketAddr>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl ControlServer {
    fn start(listen: SocketAddr, role: impl FnOnce() -> Role + Send + 'static) -> ControlServer {
        ControlServer::start_with(move || ServerOptions::new(listen, role()))
    }

    fn start_with(options: impl FnOnce() -> ServerOptions + Send + 'static) -> ControlServer {
        let (address_sender, address_receiver) = channel();
        let (stop, stopped) = oneshot::channel::<()>();
        let serve = move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            LocalSet::new().block_on(&runtime, async {
                let server = Server::bind(options()).unwrap();
                address_sender
                    .send((server.listen_address().unwrap(), server.commit_address().unwrap()))
                    .unwrap();
                tokio::select! {
                    () = server.run() => {}
                    _ = stopped => {}
                }
            });
        };
        let thread = thread::spawn(serve);
        let (address, commit_address) = address_receiver.recv_timeout(WAIT_TIMEOUT).unwrap();
        ControlServer { address, commit_address, stop: Some(stop), thread: Some(thread) }
    }

    /// Starts an empty origin of epoch 7.
    fn origin() -> ControlServer {
        ControlServer::origin_at(any_address(), 7, &[])
    }

    /// Starts an origin at this address, with the records of these changes.
    fn origin_at(listen: SocketAddr, epoch: u64, initial: &[String]) -> ControlServer {
        let initial = format!(r#"{{"changes":[{}]}}"#, initial.join(","));
        let role = move || {
            let CommitRequest { changes } = serde_json::from_str(&initial).unwrap();
            Role::Origin { commit_address: Some(any_address()), initial_records: changes, epoch }
        };
        ControlServer::start(listen, role)
    }

    /// Starts an origin whose answers hold at most `piece_bytes` bytes of changes, or a single change.
    fn origin_with_piece_bytes(piece_bytes: usize) -> ControlServer {
        ControlServer::start_with(move || {
            let role =
                Role::Origin { commit_address: Some(any_address()), initial_records: Vec::new(), epoch: 7 };
            ServerOptions { max_changes_bytes: piece_bytes, ..ServerOptions::new(any_address(), role) }
        })
    }

    /// Starts a replica server that follows this origin.
    fn replica(origin: &ControlServer) -> ControlServer {
        let follow = vec![origin.address];
        ControlServer::start(any_address(), move || Role::Replica {
            servers: follow,
            max_hold: Duration::from_millis(300),
        })
    }

    /// The followers that have called recently, as the server reports them.
    fn followers(&self) -> Vec<serde_json::Value> {
        let mut client = Client { stream: std::net::TcpStream::connect(self.address).unwrap() };
        client.stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        client.send("GET /control/followers HTTP/1.1\r\nHost: c\r\n\r\n");
        let answer = client.read().expect("an answer");
        let mut table: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
        serde_json::from_value(table["followers"].take()).unwrap()
    }

    /// Commits changes and returns the status code of the answer.
    fn commit(&self, changes: &[String]) -> String {
        let body = format!(r#"{{"changes":[{}]}}"#, changes.join(","));
        let mut client =
            Client { stream: std::net::TcpStream::connect(self.commit_address.unwrap()).unwrap() };
        client.stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
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

/// A change that adds or replaces an upstream's record. The upstream is named by its port as in [`upstream_list`].
fn upstream_record(address: SocketAddr) -> String {
    let port = address.port();
    format!(
        r#"{{"key":"upstream/u{port}","value":{{"uid":"u{port}","endpoint":"{address}","az":"a","model":"m1",
        "pod_group":0,"state":"active","capacity_hint":1.0}}}}"#
    )
}

/// A change that removes an upstream's record.
fn upstream_removal(address: SocketAddr) -> String {
    format!(r#"{{"key":"upstream/u{}","value":null}}"#, address.port())
}

/// Options of a balancer that follows these control servers.
fn options_following(servers: &[&ControlServer], known: &[&Upstream]) -> BalancerOptions {
    let mut options = BalancerOptions::new(known);
    options.control_servers = Some(servers.iter().map(|server| server.address.to_string()).collect());
    options
}

#[test]
fn a_balancer_follows_control_servers_and_keeps_serving_without_them() {
    let (first, second) = (Upstream::start(ANSWER_HELLO), Upstream::start(ANSWER_HELLO));
    let origin = ControlServer::origin();
    let replica = ControlServer::replica(&origin);
    let balancer = options_following(&[&replica, &origin], &[]).start();
    assert_eq!(balancer.health_status(), "503");
    assert_eq!(origin.commit(&[upstream_record(first.address)]), "200");
    wait_until("the balancer is ready", || balancer.health_status() == "200");
    assert_eq!(balancer.request("a1", "order").status(), "200");
    assert_eq!(first.take_requests().len(), 1);
    assert_eq!(origin.commit(&[upstream_record(second.address), upstream_removal(first.address)]), "200");
    let number = Cell::new(0);
    wait_until("requests go to the other upstream", || {
        number.set(number.get() + 1);
        assert_eq!(balancer.request(&format!("b{}", number.get()), "order").status(), "200");
        !second.take_requests().is_empty()
    });
    let _requests_before = first.take_requests();
    drop((replica, origin));
    for number in 0..10 {
        assert_eq!(balancer.request(&format!("c{number}"), "order").status(), "200");
    }
    assert_eq!((balancer.health_status(), first.take_requests().len()), ("200".into(), 0));
    balancer.terminate_and_expect_log(&["control: version 7.", "is in force"]);
}

#[test]
fn a_large_list_applied_in_steps_replaces_the_known_list() {
    let (upstream, known) = (Upstream::start(ANSWER_HELLO), Upstream::start(ANSWER_HELLO));
    let origin = ControlServer::origin();
    let unreachable = refusing_address();
    let draining = (0..500).map(|number| {
        upstream_record(unreachable)
            .replace(&format!("u{}", unreachable.port()), &format!("d{number}"))
            .replace("active", "leaving")
    });
    let changes: Vec<String> = draining.chain([upstream_record(upstream.address)]).collect();
    assert_eq!(origin.commit(&changes), "200");
    let balancer = options_following(&[&origin], &[&known]).start();
    wait_until("the balancer is ready", || balancer.health_status() == "200");
    for number in 0..10 {
        assert_eq!(balancer.request(&format!("a{number}"), "order").status(), "200");
    }
    let expected: Vec<String> = (0..10).map(|number| format!("a{number}")).collect();
    assert_eq!((upstream.take_request_ids(), known.take_request_ids()), (expected, Vec::new()));
}

/// A change that adds an upstream's record in this pod.
fn upstream_record_in_pod(address: SocketAddr, pod: u32) -> String {
    upstream_record(address).replace("\"pod_group\":0", &format!("\"pod_group\":{pod}"))
}

/// Guards against the incident described in docs/incidents/removed-upstream-group.md: an upstream is taken off the list and
/// resets the connection of a keyed request that it has begun. Another pod does not recognize the request's key and would
/// run it a second time.
#[test]
fn a_keyed_request_whose_upstream_was_removed_is_retried_in_the_same_pod() {
    let first = Upstream::start(UpstreamBehavior::AnswerOnDemand);
    let (same_pod, other_pod) = (Upstream::start(ANSWER_HELLO), Upstream::start(ANSWER_HELLO));
    let origin = ControlServer::origin();
    assert_eq!(origin.commit(&[upstream_record_in_pod(first.address, 1)]), "200");
    let options = options_following(&[&origin], &[]);
    let keyed = r#""Schemes":[{"Name":"amend","Effect":"deduplicated","DedupScope":"cell","KeyTtlNs":1500000000,
        "SlaTimeNs":1500000000,"ExpiryNs":2000000000,"Value":1.0},"#;
    let balancer = options.start_with(&options.configuration().replace("\"Schemes\":[", keyed));
    wait_until("the balancer is ready", || balancer.health_status() == "200");
    let mut client = balancer.connect();
    client.send(&Client::request_text("a1", "amend", 1900));
    while !matches!(first.next_event(), UpstreamEvent::Request(_)) {}
    let changes = [
        upstream_removal(first.address),
        upstream_record_in_pod(same_pod.address, 1),
        upstream_record_in_pod(other_pod.address, 0),
    ];
    assert_eq!(origin.commit(&changes), "200");
    wait_until("the changes are in force", || origin.followers()[0]["version"]["revision"] == 4);
    // Without a sender of answers the upstream closes its connections.
    drop(first.answers);
    assert_eq!(client.read().expect("an answer").status(), "200");
    assert_eq!(other_pod.take_request_ids(), Vec::<String>::new());
    assert_eq!(same_pod.take_request_ids(), ["a1"]);
}

/// Guards against a balancer that applies the valid part of an answer with one invalid record, here the removal of its
/// only upstream.
#[test]
fn an_answer_with_an_invalid_upstream_record_is_rejected_as_a_whole() {
    let upstream = Upstream::start(ANSWER_HELLO);
    let origin = ControlServer::origin();
    assert_eq!(origin.commit(&[upstream_record(upstream.address)]), "200");
    let balancer = options_following(&[&origin], &[]).start();
    wait_until("the balancer is ready", || balancer.health_status() == "200");
    let mismatched = upstream_record(upstream.address).replace("\"uid\":\"u", "\"uid\":\"x");
    assert_eq!(origin.commit(&[upstream_removal(upstream.address), mismatched.clone()]), "200");
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(balancer.request("a1", "order").status(), "200");
    assert_eq!(origin.commit(&[upstream_record(upstream.address)]), "200");
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(balancer.request("a2", "order").status(), "200");
    balancer
        .terminate_and_expect_log(&["the response is rejected: upstream/u", "must equal the record's name"]);
}

#[test]
fn invalid_control_settings_are_reported() {
    for (settings, error) in [
        (r#""control":{"servers":[]}"#, "control.servers: one address or more is accepted"),
        (r#""control":{"servers":["x"]}"#, "control.servers[0]: invalid socket address syntax"),
        (
            r#""control":{"servers":["127.0.0.1:1"],"hold_ms":1}"#,
            "control.hold_ms: 1: 10 to 60000 are accepted",
        ),
    ] {
        let options = BalancerOptions::new(&[]);
        let discovery = format!(r#""discovery":"{}""#, options.discovery);
        let file = write_configuration(&options.configuration().replace(&discovery, settings));
        let (mut child, mut log) = launch(&file, 1024);
        let mut log_text = String::new();
        std::io::Read::read_to_string(&mut log, &mut log_text).unwrap();
        assert_eq!(child.wait().unwrap().code(), Some(2), "{settings}: {log_text}");
        assert!(log_text.contains(error), "{log_text}");
    }
}

#[test]
fn a_stale_state_and_its_recovery_are_each_logged_once() {
    let first = Upstream::start(ANSWER_HELLO);
    let origin = ControlServer::origin();
    assert_eq!(origin.commit(&[upstream_record(first.address)]), "200");
    let replica = ControlServer::replica(&origin);
    let balancer = options_following(&[&replica, &origin], &[]).start();
    wait_until("the balancer is ready", || balancer.health_status() == "200");
    // Only the replica server is left. It goes on serving and reports how stale its state is.
    let address = origin.address;
    drop(origin);
    std::thread::sleep(Duration::from_secs(13));
    assert_eq!(balancer.request("a1", "order").status(), "200");
    let second = Upstream::start(ANSWER_HELLO);
    let _new_origin = ControlServer::origin_at(address, 8, &[upstream_record(second.address)]);
    let number = Cell::new(0);
    wait_until("the new epoch is in force", || {
        number.set(number.get() + 1);
        assert_eq!(balancer.request(&format!("b{}", number.get()), "order").status(), "200");
        !second.take_requests().is_empty()
    });
    std::thread::sleep(Duration::from_secs(2));
    balancer.signal("TERM");
    let (status, log) = balancer.wait_for_exit();
    assert!(status.success());
    assert_eq!(log.matches("is stale: not confirmed as current for").count(), 1, "{log}");
    assert_eq!(log.matches("no longer stale at version 8.").count(), 1, "{log}");
    assert!(log.matches("control: ").count() < 20, "{log}");
}

/// Guards against a class that one balancer serves and another does not know.
#[test]
fn classes_tenants_and_limits_are_applied_while_serving() {
    let upstream = Upstream::start(ANSWER_HELLO);
    let origin = ControlServer::origin();
    assert_eq!(origin.commit(&[upstream_record(upstream.address)]), "200");
    let balancer = options_following(&[&origin], &[]).start();
    wait_until("the balancer is ready", || balancer.health_status() == "200");
    assert_eq!(balancer.request("a1", "query").status(), "400");
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
        balancer.request(&format!("b{}", number.get()), class).status().to_string()
    };
    wait_until("the new class is served", || status("query") == "200");
    // The classes of the file are replaced by another.
    let removal = |name: &str| format!(r#"{{"key":"class/{name}","value":null}}"#);
    assert_eq!(
        origin.commit(&[removal("browse"), removal("order"), removal("query"), class("write")]),
        "200"
    );
    wait_until("the last class is served", || status("write") == "200");
    assert_eq!(status("query"), "400");
    assert_eq!(origin.commit(&[removal("write"), class("read")]), "200");
    wait_until("another class is served", || status("read") == "200");
    // Without any class nothing could be served: the origin rejects such a commit as a whole.
    assert_eq!(origin.commit(&[upstream_record(upstream.address), removal("read")]), "400");
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!((status("read"), status("write")), ("200".into(), "400".into()));
    assert_eq!(origin.followers()[0]["in_sync"], true);
    balancer.terminate_and_expect_log(&["settings put in force"]);
}

/// A change that adds an idempotent class.
fn class_record(name: &str) -> String {
    format!(
        r#"{{"key":"class/{name}","value":{{"Name":"{name}","Effect":"idempotent","SlaTimeNs":1500000000,
        "ExpiryNs":2000000000,"Value":1.0}}}}"#
    )
}

/// A change that removes a class.
fn class_removal(name: &str) -> String {
    format!(r#"{{"key":"class/{name}","value":null}}"#)
}

/// Waits until requests may name the class `last` and none of the classes `before`.
fn wait_for_last_class(balancer: &Balancer, before: &[&str], last: &str) {
    let number = Cell::new(0);
    let status = |class: &str| {
        number.set(number.get() + 1);
        balancer.request(&format!("{last}{}", number.get()), class).status().to_string()
    };
    wait_until("only the last class is known", || {
        status(last) == "200" && before.iter().all(|class| status(class) == "400")
    });
}

/// Guards against a class that is never removed, because its removal arrives in an answer before the one that brings
/// its replacement, when it is still the only class.
#[test]
fn the_replacement_of_the_last_class_may_arrive_in_a_later_answer() {
    let upstream = Upstream::start(ANSWER_HELLO);
    let origin = ControlServer::origin_with_piece_bytes(1);
    assert_eq!(origin.commit(&[upstream_record(upstream.address)]), "200");
    let balancer = options_following(&[&origin], &[]).start();
    wait_until("the balancer is ready", || balancer.health_status() == "200");
    let changes = [class_removal("browse"), class_removal("order"), class_record("read")];
    assert_eq!(origin.commit(&changes), "200");
    wait_for_last_class(&balancer, &["browse", "order"], "read");
    assert_eq!(origin.commit(&[class_removal("read"), class_record("write")]), "200");
    wait_for_last_class(&balancer, &["browse", "order", "read"], "write");
    wait_until("the server reports the follower in sync", || origin.followers()[0]["in_sync"] == true);
    balancer.terminate_and_expect_log(&["it stays as it was", "refused before, in force now"]);
}

/// Guards against a balancer whose settings differ from what its version and digest say, unnoticed by operators.
#[test]
fn a_record_that_the_settings_refuse_is_reported_and_applied_once_they_allow_it() {
    let upstream = Upstream::start(ANSWER_HELLO);
    let origin = ControlServer::origin();
    let changes = [class_removal("browse"), class_removal("order"), class_record("read")];
    assert_eq!(origin.commit(&[upstream_record(upstream.address)]), "200");
    let balancer = options_following(&[&origin], &[]).start();
    wait_until("the balancer is ready", || balancer.health_status() == "200");
    assert_eq!(origin.commit(&changes), "200");
    wait_for_last_class(&balancer, &["browse", "order"], "read");
    // The new epoch has no class, and the classes of the file were removed before.
    let address = origin.address;
    drop(origin);
    let origin = ControlServer::origin_at(address, 8, &[upstream_record(upstream.address)]);
    let follower = |origin: &ControlServer| origin.followers().first().cloned().unwrap_or_default();
    wait_until("the refusal is reported", || follower(&origin)["refused"] == 1);
    let reported = follower(&origin);
    assert_eq!((&reported["version"]["epoch"], &reported["in_sync"]), (&8.into(), &false.into()));
    assert_eq!(balancer.request("r1", "read").status(), "200");
    // Other records are applied meanwhile.
    assert_eq!(origin.commit(&[r#"{"key":"limit/Limits.MaxOpen","value":1000}"#.into()]), "200");
    wait_until("the next revision is in force", || follower(&origin)["version"]["revision"] == 2);
    assert_eq!(follower(&origin)["refused"], 1);
    assert_eq!(origin.commit(&[class_record("write")]), "200");
    wait_for_last_class(&balancer, &["browse", "order", "read"], "write");
    wait_until("the server reports the follower in sync", || follower(&origin)["in_sync"] == true);
    assert_eq!(follower(&origin)["refused"], 0);
    balancer.terminate_and_expect_log(&["class/read: Schemes is empty; it stays as it was"]);
}
