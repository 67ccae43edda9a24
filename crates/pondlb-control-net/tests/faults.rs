//! Servers with faulty responses, and clients with invalid or excessive requests.

mod common;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use common::*;
use pondlb_control::{Key, Limits, Store, Version};
use pondlb_control_net::{ServerOptions, validate_json_shape};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::time::{Instant, sleep, timeout};

/// How a server corrupts a response with changes.
#[derive(Clone, Copy, Debug)]
enum Corruption {
    /// It is not JSON.
    NotJson,
    /// The JSON is truncated.
    Truncated,
    /// Two changes have the same key.
    DuplicateKey,
    /// Its revision is older than that of the follower.
    OlderRevision,
    /// Its epoch is older than that of the follower.
    OlderEpoch,
    /// Its changes start at another revision than the requested one.
    OtherFrom,
    /// A change has a greater revision than the response.
    RevisionBeyondEnd,
    /// The value of an upstream is not a JSON object.
    NotAnObject,
    /// A value is valid, but does not match the digest.
    WrongValue,
    /// Its epoch is newer than that of the server's snapshot.
    UnknownNewerEpoch,
    /// It has no changes but announces more.
    EmptyWithMore,
}

const CORRUPTIONS: [Corruption; 11] = [
    Corruption::NotJson,
    Corruption::Truncated,
    Corruption::DuplicateKey,
    Corruption::OlderRevision,
    Corruption::OlderEpoch,
    Corruption::OtherFrom,
    Corruption::RevisionBeyondEnd,
    Corruption::NotAnObject,
    Corruption::WrongValue,
    Corruption::UnknownNewerEpoch,
    Corruption::EmptyWithMore,
];

/// Occurs in all values of corrupted responses.
const CORRUPTED: &str = "corrupted";

/// Corrupts a response so that nothing of it may be applied. All of its values contain [`CORRUPTED`].
fn corrupt(corruption: Corruption, mut response: Value) -> String {
    for change in response["changes"].as_array_mut().unwrap() {
        change["value"] = json!({ CORRUPTED: 1 });
    }
    let revision = response["revision"].as_u64().unwrap();
    match corruption {
        Corruption::NotJson => return format!("{{\"{CORRUPTED}\""),
        Corruption::Truncated => {
            let text = response.to_string();
            return text[..text.len() - 3].to_string();
        }
        Corruption::DuplicateKey => {
            let mut duplicate = response["changes"][0].clone();
            duplicate["revision"] = json!(revision + 1);
            response["changes"].as_array_mut().unwrap().push(duplicate);
            response["revision"] = json!(revision + 1);
        }
        Corruption::OlderRevision => response["revision"] = json!(1),
        Corruption::OlderEpoch => response["epoch"] = json!(6),
        Corruption::OtherFrom => response["from"] = json!(revision + 5),
        Corruption::RevisionBeyondEnd => response["changes"][0]["revision"] = json!(revision + 9),
        Corruption::NotAnObject => response["changes"][0]["value"] = json!([CORRUPTED]),
        // Only the digest shows that the values are wrong.
        Corruption::WrongValue => {}
        // The follower requests a snapshot, which is of the old epoch.
        Corruption::UnknownNewerEpoch => response["epoch"] = json!(9),
        Corruption::EmptyWithMore => {
            response["changes"] = json!([]);
            response["more"] = json!(true);
        }
    }
    response.to_string()
}

/// A scripted server with a store of its own that corrupts the next response with changes if a corruption is set.
struct CorruptingServer {
    address: SocketAddr,
    store: Rc<RefCell<Store>>,
    next_corruption: Rc<Cell<Option<Corruption>>>,
}

impl CorruptingServer {
    fn start(record_count: u64) -> CorruptingServer {
        let mut store = Store::new(7, Limits::default());
        store.commit(&upstreams(record_count), &validate_json_shape).unwrap();
        let (store, next_corruption) = (Rc::new(RefCell::new(store)), Rc::new(Cell::new(None)));
        let (shared_store, corruption) = (store.clone(), next_corruption.clone());
        let address = start_scripted_server(move |target| {
            Some(CorruptingServer::response(&shared_store.borrow(), &corruption, target))
        });
        CorruptingServer { address, store, next_corruption }
    }

    /// The body of the response to a target.
    fn response(store: &Store, corruption: &Cell<Option<Corruption>>, target: &str) -> String {
        let number = |name| query_parameter(target, name).and_then(|text| text.parse().ok()).unwrap_or(0);
        match target.split('?').next().unwrap_or_default() {
            "/control/changes" => {
                let from = Version { epoch: number("epoch"), revision: number("from") };
                let response = serde_json::to_value(store.changes_since(from, 1 << 20)).unwrap();
                let has_changes = response["changes"].as_array().is_some_and(|changes| !changes.is_empty());
                match corruption.take() {
                    Some(corruption) if has_changes => corrupt(corruption, response),
                    unused => {
                        corruption.set(unused);
                        response.to_string()
                    }
                }
            }
            "/control/snapshot" => {
                let after =
                    query_parameter(target, "after").map(|key| Key::parse_percent_encoded(key).unwrap());
                serde_json::to_string(&store.snapshot_page(after.as_ref(), 1 << 16)).unwrap()
            }
            "/control/digests" => serde_json::to_string(&store.bucket_digests()).unwrap(),
            _ => serde_json::to_string(&store.bucket_records(number("bucket") as usize)).unwrap(),
        }
    }
}

#[test]
fn corrupted_response_is_not_applied_and_the_state_is_repaired() {
    run_test(async {
        let server = CorruptingServer::start(40);
        let follower = Follower::start(&[server.address], 0);
        wait_until("the first complete state", || follower.len() == 40).await;
        for (size, corruption) in (100..).zip(CORRUPTIONS) {
            server.next_corruption.set(Some(corruption));
            server.store.borrow_mut().commit(&[set_upstream("s-00003", size)], &validate_json_shape).unwrap();
            let start = Instant::now();
            while !follower.has_upstream("s-00003", size) {
                let is_applied = follower.records().values().any(|value| value.contains(CORRUPTED));
                assert!(!is_applied, "{corruption:?}: a corrupted value was applied");
                assert_eq!(follower.len(), 40, "{corruption:?}: the number of records changed");
                assert!(
                    start.elapsed() < CONDITION_TIMEOUT,
                    "{corruption:?}: the state was not repaired in time"
                );
                sleep(Duration::from_millis(2)).await;
            }
            assert!(
                server.next_corruption.take().is_none(),
                "{corruption:?}: the corrupted response was not sent"
            );
        }
        let counters = follower.status.counters();
        assert!(
            counters.rejected_responses >= 7
                && counters.failed_requests >= 2
                && counters.repairs_started >= 1,
            "{counters:?}"
        );
    });
}

#[test]
fn server_of_an_older_epoch_is_not_followed() {
    run_test(async {
        let (newer, older) = (start_origin(10, upstreams(20)), start_origin(5, upstreams(30)));
        let follower = Follower::start(&[newer.address, older.address], 0);
        wait_until("the first complete state", || follower.len() == 20).await;
        newer.stop().await;
        let failures = follower.status.counters().failed_requests;
        wait_until("requests to the server of the older epoch", || {
            follower.status.counters().failed_requests > failures + 2
        })
        .await;
        assert_eq!((follower.len(), follower.version().epoch), (20, 10));
    });
}

#[test]
fn newer_follower_gets_503_after_its_hold() {
    run_test(async {
        let origin = start_origin(7, upstreams(20));
        for (epoch, from) in [(7, 21), (8, 1), (u64::MAX, u64::MAX)] {
            let target = format!(
                "/control/changes?name=b&epoch={epoch}&from={from}&digest=0000000000000000&hold_ms=100"
            );
            let response = get(origin.address, &target).await;
            assert_eq!(status_code(&response), 503, "{}", text_body(&response));
            assert_eq!(response.head.single_value("Retry-After"), Ok(Some("1")));
        }
    });
}

/// A server that is slightly behind the follower holds the request and may catch up in the meantime.
#[test]
fn newer_follower_gets_changes_once_the_server_is_past_it() {
    run_test(async {
        let origin = start_origin(7, upstreams(20));
        let mut client = RawClient::connect(origin.address).await;
        let target = "/control/changes?name=b&epoch=7&from=21&digest=0000000000000000&hold_ms=20000";
        let (response, ()) = tokio::join!(client.get(target), async {
            sleep(Duration::from_millis(50)).await;
            origin.commit(&[set_upstream("a", 1)]).await;
            origin.commit(&[set_upstream("b", 2)]).await;
        });
        let response = json_body(&response.expect("a response"));
        assert_eq!(
            (response["revision"].as_u64(), response["changes"].as_array().unwrap().len()),
            (Some(22), 1)
        );
    });
}

#[test]
fn hold_ends_with_its_timeout_or_a_change() {
    run_test(async {
        let origin = start_origin(7, upstreams(20));
        let current = json_body(
            &get(origin.address, "/control/changes?name=b&epoch=7&from=20&digest=0000000000000000&hold_ms=0")
                .await,
        );
        let target = format!(
            "/control/changes?name=b&epoch=7&from=20&digest={}&hold_ms=300",
            current["digest"].as_str().unwrap()
        );
        let sent_at = Instant::now();
        let response = json_body(&get(origin.address, &target).await);
        assert_eq!(response["changes"], json!([]));
        assert!(sent_at.elapsed() >= Duration::from_millis(290), "{:?}", sent_at.elapsed());
        let long_hold_target = target.replace("hold_ms=300", "hold_ms=99999999");
        let (response, ()) = tokio::join!(get(origin.address, &long_hold_target), async {
            sleep(Duration::from_millis(50)).await;
            origin.commit(&[set_upstream("a", 1)]).await;
        });
        assert_eq!(json_body(&response)["revision"], 21);
    });
}

#[test]
fn surplus_connections_are_refused_until_another_is_closed() {
    run_test(async {
        let options = ServerOptions { max_follower_connections: 2, ..origin_options(7, upstreams(5)) };
        let origin = TestServer::start(options);
        let (mut first, mut second) =
            (RawClient::connect(origin.address).await, RawClient::connect(origin.address).await);
        assert_eq!(status_code(&first.get("/control/followers").await.unwrap()), 200);
        assert_eq!(status_code(&second.get("/control/followers").await.unwrap()), 200);
        let mut surplus = RawClient::connect(origin.address).await;
        let response = surplus.get("/control/followers").await.expect("a response");
        assert_eq!((status_code(&response), &*text_body(&response)), (503, "too many connections"));
        assert!(response.head.list_contains("Connection", "close"));
        assert!(surplus.read_response().await.is_none(), "the server closes the connection");
        drop(second);
        let start = Instant::now();
        loop {
            let mut another = RawClient::connect(origin.address).await;
            if another.get("/control/followers").await.is_some_and(|response| status_code(&response) == 200) {
                break;
            }
            assert!(
                start.elapsed() < CONDITION_TIMEOUT,
                "the place of the closed connection is not available again"
            );
            sleep(Duration::from_millis(10)).await;
        }
    });
}

#[test]
fn slow_reader_delays_no_other_follower_and_is_closed() {
    run_test(async {
        let origin = start_origin(7, upstreams(3000));
        let follower = Follower::start(&[origin.address], 0);
        wait_until("the first complete state", || follower.len() == 3000).await;
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        let mut slow = socket.connect(origin.address).await.unwrap();
        let request_count = 300;
        let request = "GET /control/snapshot HTTP/1.1\r\nHost: c\r\n\r\n".repeat(request_count);
        slow.write_all(request.as_bytes()).await.unwrap();
        for size in 0..5 {
            origin.commit(&[set_upstream("s-00001", 10_000 + size)]).await;
            wait_until("a change", || follower.has_upstream("s-00001", 10_000 + size)).await;
        }
        assert_eq!(follower.status.counters().failed_requests, 0);
        // Longer than the server's timeout for writing a response.
        sleep(Duration::from_millis(5500)).await;
        let (mut read_bytes, mut buffer) = (0, vec![0; 64 * 1024]);
        let read_to_end = async {
            while let Ok(count @ 1..) = slow.read(&mut buffer).await {
                read_bytes += count;
            }
        };
        timeout(CONDITION_TIMEOUT, read_to_end).await.expect("the server closes the connection");
        assert!(read_bytes < request_count * 60_000, "{read_bytes} bytes: all responses were written");
    });
}

#[test]
fn commit_is_atomic_and_accepted_only_at_the_commit_address() {
    run_test(async {
        let origin = start_origin(7, upstreams(5));
        let commit = origin.commit_address.unwrap();
        let valid_change = r#"{"key":"upstream/new","value":{"size":1}}"#;
        for invalid_changes in [
            r#"{"key":"upstream/other","value":[1]}"#,
            r#"{"key":"limit/Limits.MaxOpen","value":{"a":1}}"#,
            r#"{"key":"class/order","value":null},{"key":"tenant/t","value":3}"#,
            r#"{"key":"nothing/x","value":{}}"#,
            r#"{"key":"upstream/"#,
        ] {
            let response = post(
                commit,
                "/control/commit",
                &format!(r#"{{"changes":[{valid_change},{invalid_changes}]}}"#),
            )
            .await;
            assert_eq!(status_code(&response), 400, "{invalid_changes}");
            assert!(!text_body(&response).is_empty());
        }
        assert_eq!(json_body(&get(origin.address, "/control/followers").await)["version"]["revision"], 5);
        let body = format!(r#"{{"changes":[{valid_change},{{"key":"limit/Limits.MaxOpen","value":7}}]}}"#);
        for target in ["/control/commit", "/control/changes"] {
            let response = post(origin.address, target, &body).await;
            assert!(matches!(status_code(&response), 405 | 413), "{target}: {}", text_body(&response));
        }
        assert_eq!(status_code(&get(commit, "/control/commit").await), 405);
        assert_eq!(status_code(&get(commit, "/control/changes").await), 404);
        let response = post(commit, "/control/commit", &body).await;
        assert_eq!(json_body(&response), json!({"epoch": 7, "revision": 7}));
    });
}

#[test]
fn commit_beyond_the_memory_limit_is_rejected() {
    run_test(async {
        let origin =
            TestServer::start(ServerOptions { memory_limit_mib: 16, ..origin_options(7, Vec::new()) });
        let body = " ".repeat(3 << 20);
        assert_eq!(status_code(&post(origin.commit_address.unwrap(), "/control/commit", &body).await), 413);
    });
}

#[test]
fn invalid_requests_are_rejected() {
    run_test(async {
        let origin = start_origin(7, upstreams(5));
        let digest = "digest=0000000000000000";
        for (target, expected) in [
            ("/control/nothing", 404),
            ("/", 404),
            ("/control/changes", 400),
            (&format!("/control/changes?name=a%20b&epoch=7&from=1&{digest}&hold_ms=0"), 400),
            (&format!("/control/changes?name=b&epoch=-7&from=1&{digest}&hold_ms=0"), 400),
            (&format!("/control/changes?name=b&epoch=7&from=99999999999999999999&{digest}&hold_ms=0"), 400),
            ("/control/changes?name=b&epoch=7&from=1&digest=xyz&hold_ms=0", 400),
            ("/control/snapshot?before=upstream/a", 400),
            ("/control/snapshot?after=nothing", 400),
            ("/control/snapshot?after=upstream/a%26b%3Dc%3Fd%23e%25", 200),
            ("/control/snapshot?after=upstream/a%2", 400),
            ("/control/bucket?bucket=511", 200),
            ("/control/bucket?bucket=512", 400),
            ("/control/bucket?bucket=", 400),
        ] {
            let response = get(origin.address, target).await;
            assert_eq!(status_code(&response), expected, "{target}: {}", text_body(&response));
        }
        let mut client = RawClient::connect(origin.address).await;
        client.stream.write_all(b"\x16\x03\x01 hello \r\n\r\n").await.unwrap();
        assert_eq!(status_code(&client.read_response().await.unwrap()), 400);
        assert!(client.read_response().await.is_none(), "the server closes the connection");
    });
}

#[test]
fn snapshots_beyond_the_rate_limit_are_refused() {
    run_test(async {
        let options = ServerOptions { snapshot_pages_per_second: 1.0, ..origin_options(7, upstreams(5)) };
        let origin = TestServer::start(options);
        assert_eq!(status_code(&get(origin.address, "/control/snapshot").await), 200);
        let response = get(origin.address, "/control/snapshot").await;
        assert_eq!((status_code(&response), response.head.single_value("Retry-After")), (503, Ok(Some("1"))));
        let start = Instant::now();
        while status_code(&get(origin.address, "/control/snapshot").await) != 200 {
            assert!(start.elapsed() < CONDITION_TIMEOUT, "the rate limit does not recover");
            sleep(Duration::from_millis(50)).await;
        }
    });
}

/// Without a delay after such responses, a follower would use a whole CPU core for its requests.
#[test]
fn server_without_progress_is_requested_at_a_bounded_rate() {
    run_test(async {
        let empty = json!({"epoch": 7, "revision": 1, "records": [], "next": null, "changes": [], "from": 1});
        let response_with = |reset: bool, more: bool, digest: Value| {
            let mut response = empty.clone();
            (response["reset"], response["more"], response["digest"]) = (json!(reset), json!(more), digest);
            response.to_string()
        };
        let right = json!("0000000000000000");
        for response in [
            response_with(false, false, right.clone()),
            response_with(false, false, Value::Null),
            response_with(true, false, right.clone()),
            response_with(false, true, right),
            response_with(false, false, json!("00000000000000ff")),
            "[]".into(),
        ] {
            let requests = Rc::new(Cell::new(0));
            let (counted, body) = (requests.clone(), response.clone());
            let server = start_scripted_server(move |_| {
                counted.set(counted.get() + 1);
                Some(body.clone())
            });
            let _follower = Follower::start(&[server], 0);
            sleep(Duration::from_secs(1)).await;
            assert!((1..200).contains(&requests.get()), "{} requests for {response}", requests.get());
        }
    });
}
