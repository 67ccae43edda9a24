//! Servers that answer what is wrong, and callers that ask for too much.

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

/// How a server garbles its answers with changes.
#[derive(Clone, Copy, Debug)]
enum Fault {
    NoJson,
    CutShort,
    DoubledKey,
    OlderRevision,
    OlderEpoch,
    OtherFrom,
    RevisionBeyond,
    NoObject,
    WrongValue,
    NewerEpochUnknown,
    EmptyPiece,
}

const FAULTS: [Fault; 11] = [
    Fault::NoJson,
    Fault::CutShort,
    Fault::DoubledKey,
    Fault::OlderRevision,
    Fault::OlderEpoch,
    Fault::OtherFrom,
    Fault::RevisionBeyond,
    Fault::NoObject,
    Fault::WrongValue,
    Fault::NewerEpochUnknown,
    Fault::EmptyPiece,
];

const EVIL: &str = "evil";

/// Garbles an answer so that nothing of it may be taken. All of its values are evil.
fn garble(fault: Fault, mut answer: Value) -> String {
    for change in answer["changes"].as_array_mut().unwrap() {
        change["value"] = json!({ EVIL: 1 });
    }
    let revision = answer["revision"].as_u64().unwrap();
    match fault {
        Fault::NoJson => return format!("{{\"{EVIL}\""),
        Fault::CutShort => {
            let text = answer.to_string();
            return text[..text.len() - 3].to_string();
        }
        Fault::DoubledKey => {
            let mut again = answer["changes"][0].clone();
            again["revision"] = json!(revision + 1);
            answer["changes"].as_array_mut().unwrap().push(again);
            answer["revision"] = json!(revision + 1);
        }
        Fault::OlderRevision => answer["revision"] = json!(1),
        Fault::OlderEpoch => answer["epoch"] = json!(6),
        Fault::OtherFrom => answer["from"] = json!(revision + 5),
        Fault::RevisionBeyond => answer["changes"][0]["revision"] = json!(revision + 9),
        Fault::NoObject => answer["changes"][0]["value"] = json!([EVIL]),
        // Good in form, but not what the digest is of.
        Fault::WrongValue => {}
        // Leads to a snapshot, which is of the old epoch.
        Fault::NewerEpochUnknown => answer["epoch"] = json!(9),
        Fault::EmptyPiece => {
            answer["changes"] = json!([]);
            answer["more"] = json!(true);
        }
    }
    answer.to_string()
}

/// A scripted server with a store of its own that garbles the next answer with changes where it is told to.
struct Garbling {
    address: SocketAddr,
    store: Rc<RefCell<Store>>,
    next: Rc<Cell<Option<Fault>>>,
}

impl Garbling {
    fn start(records: u64) -> Garbling {
        let mut store = Store::new(7, Limits::default());
        store.commit(&common::records(records), &validate_json_shape).unwrap();
        let (store, next) = (Rc::new(RefCell::new(store)), Rc::new(Cell::new(None)));
        let (shared, fault) = (store.clone(), next.clone());
        let address = scripted(move |target| Some(Garbling::answer(&shared.borrow(), &fault, target)));
        Garbling { address, store, next }
    }

    fn answer(store: &Store, fault: &Cell<Option<Fault>>, target: &str) -> String {
        let number = |name| parameter(target, name).and_then(|text| text.parse().ok()).unwrap_or(0);
        match target.split('?').next().unwrap_or_default() {
            "/control/changes" => {
                let from = Version { epoch: number("epoch"), revision: number("from") };
                let answer = serde_json::to_value(store.changes_since(from, 1 << 20)).unwrap();
                let is_news = answer["changes"].as_array().is_some_and(|changes| !changes.is_empty());
                match fault.take() {
                    Some(fault) if is_news => garble(fault, answer),
                    unused => {
                        fault.set(unused);
                        answer.to_string()
                    }
                }
            }
            "/control/snapshot" => {
                let after = parameter(target, "after").map(|key| Key::parse_percent_encoded(key).unwrap());
                serde_json::to_string(&store.snapshot_page(after.as_ref(), 1 << 16)).unwrap()
            }
            "/control/digests" => serde_json::to_string(&store.bucket_digests()).unwrap(),
            _ => serde_json::to_string(&store.bucket_records(number("bucket") as usize)).unwrap(),
        }
    }
}

#[test]
fn nothing_of_a_garbled_answer_is_taken_and_the_state_is_repaired() {
    run(async {
        let server = Garbling::start(40);
        let follower = Follower::start(&[server.address], 0);
        wait_for("the first whole state", || follower.len() == 40).await;
        for (round, fault) in (100..).zip(FAULTS) {
            server.next.set(Some(fault));
            server.store.borrow_mut().commit(&[set("s-00003", round)], &validate_json_shape).unwrap();
            let start = Instant::now();
            while !follower.holds("s-00003", round) {
                let taken = follower.records().values().any(|value| value.contains(EVIL));
                assert!(!taken, "{fault:?}: nothing of it is taken");
                assert_eq!(follower.len(), 40, "{fault:?}: what was held is kept");
                assert!(start.elapsed() < SOON, "{fault:?}: repaired soon");
                sleep(Duration::from_millis(2)).await;
            }
            assert!(server.next.take().is_none(), "{fault:?}: it was answered");
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
fn a_server_of_an_older_epoch_is_never_followed() {
    run(async {
        let (newer, older) = (origin(10, records(20)), origin(5, records(30)));
        let follower = Follower::start(&[newer.address, older.address], 0);
        wait_for("the first whole state", || follower.len() == 20).await;
        newer.stop().await;
        let failures = follower.status.counters().failed_requests;
        wait_for("calls at the older one", || follower.status.counters().failed_requests > failures + 2)
            .await;
        assert_eq!((follower.len(), follower.version().epoch), (20, 10));
    });
}

#[test]
fn a_caller_from_the_future_is_sent_on_after_its_hold() {
    run(async {
        let origin = origin(7, records(20));
        for (epoch, from) in [(7, 21), (8, 1), (u64::MAX, u64::MAX)] {
            let target = format!(
                "/control/changes?name=b&epoch={epoch}&from={from}&digest=0000000000000000&hold_ms=100"
            );
            let answer = get(origin.address, &target).await;
            assert_eq!(status(&answer), 503, "{}", text(&answer));
            assert_eq!(answer.head.single_value("Retry-After"), Ok(Some("1")));
        }
    });
}

/// A server that is a little behind the caller catches up while it holds the call.
#[test]
fn a_caller_that_is_ahead_is_answered_once_the_server_is_past_it() {
    run(async {
        let origin = origin(7, records(20));
        let mut raw = Raw::connect(origin.address).await;
        let target = "/control/changes?name=b&epoch=7&from=21&digest=0000000000000000&hold_ms=20000";
        let (answer, ()) = tokio::join!(raw.get(target), async {
            sleep(Duration::from_millis(50)).await;
            origin.commit(&[set("a", 1)]).await;
            origin.commit(&[set("b", 2)]).await;
        });
        let answer = json(&answer.expect("an answer"));
        assert_eq!((answer["revision"].as_u64(), answer["changes"].as_array().unwrap().len()), (Some(22), 1));
    });
}

#[test]
fn a_hold_ends_without_news_and_is_cut_short_by_them() {
    run(async {
        let origin = origin(7, records(20));
        let snapshot = json(
            &get(origin.address, "/control/changes?name=b&epoch=7&from=20&digest=0000000000000000&hold_ms=0")
                .await,
        );
        let target = format!(
            "/control/changes?name=b&epoch=7&from=20&digest={}&hold_ms=300",
            snapshot["digest"].as_str().unwrap()
        );
        let called = Instant::now();
        let answer = json(&get(origin.address, &target).await);
        assert_eq!(answer["changes"], json!([]));
        assert!(called.elapsed() >= Duration::from_millis(290), "{:?}", called.elapsed());
        let long = target.replace("hold_ms=300", "hold_ms=99999999");
        let (answer, ()) = tokio::join!(get(origin.address, &long), async {
            sleep(Duration::from_millis(50)).await;
            origin.commit(&[set("a", 1)]).await;
        });
        assert_eq!(json(&answer)["revision"], 21);
    });
}

#[test]
fn callers_beyond_the_most_are_turned_away_and_their_places_are_given_again() {
    run(async {
        let options = ServerOptions { max_follower_connections: 2, ..origin_options(7, records(5)) };
        let origin = Running::start(options);
        let (mut one, mut two) = (Raw::connect(origin.address).await, Raw::connect(origin.address).await);
        assert_eq!(status(&one.get("/control/followers").await.unwrap()), 200);
        assert_eq!(status(&two.get("/control/followers").await.unwrap()), 200);
        let mut three = Raw::connect(origin.address).await;
        let answer = three.get("/control/followers").await.expect("an answer");
        assert_eq!((status(&answer), &*text(&answer)), (503, "too many connections"));
        assert!(answer.head.list_contains("Connection", "close"));
        assert!(three.answer().await.is_none(), "it is closed");
        drop(two);
        let start = Instant::now();
        loop {
            let mut four = Raw::connect(origin.address).await;
            if four.get("/control/followers").await.is_some_and(|answer| status(&answer) == 200) {
                break;
            }
            assert!(start.elapsed() < SOON, "the place is free again");
            sleep(Duration::from_millis(10)).await;
        }
    });
}

#[test]
fn a_slow_reader_holds_nobody_up_and_is_closed() {
    run(async {
        let origin = origin(7, records(3000));
        let follower = Follower::start(&[origin.address], 0);
        wait_for("the first whole state", || follower.len() == 3000).await;
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        let mut slow = socket.connect(origin.address).await.unwrap();
        let calls = 300;
        let request = "GET /control/snapshot HTTP/1.1\r\nHost: c\r\n\r\n".repeat(calls);
        slow.write_all(request.as_bytes()).await.unwrap();
        for size in 0..5 {
            origin.commit(&[set("s-00001", 10_000 + size)]).await;
            wait_for("a change", || follower.holds("s-00001", 10_000 + size)).await;
        }
        assert_eq!(follower.status.counters().failed_requests, 0);
        // Longer than an answer may take.
        sleep(Duration::from_millis(5500)).await;
        let (mut read, mut room) = (0, vec![0; 64 * 1024]);
        let rest = async {
            while let Ok(count @ 1..) = slow.read(&mut room).await {
                read += count;
            }
        };
        timeout(SOON, rest).await.expect("the connection ends");
        assert!(read < calls * 60_000, "{read} bytes: not all answers were written");
    });
}

#[test]
fn a_commit_is_taken_whole_or_not_at_all_and_only_at_its_address() {
    run(async {
        let origin = origin(7, records(5));
        let commit = origin.commit.unwrap();
        let good = r#"{"key":"upstream/new","value":{"size":1}}"#;
        for bad in [
            r#"{"key":"upstream/other","value":[1]}"#,
            r#"{"key":"limit/Limits.MaxOpen","value":{"a":1}}"#,
            r#"{"key":"class/order","value":null},{"key":"tenant/t","value":3}"#,
            r#"{"key":"nothing/x","value":{}}"#,
            r#"{"key":"upstream/"#,
        ] {
            let answer = post(commit, "/control/commit", &format!(r#"{{"changes":[{good},{bad}]}}"#)).await;
            assert_eq!(status(&answer), 400, "{bad}");
            assert!(!text(&answer).is_empty());
        }
        assert_eq!(json(&get(origin.address, "/control/followers").await)["version"]["revision"], 5);
        let body = format!(r#"{{"changes":[{good},{{"key":"limit/Limits.MaxOpen","value":7}}]}}"#);
        for elsewhere in ["/control/commit", "/control/changes"] {
            let answer = post(origin.address, elsewhere, &body).await;
            assert!(matches!(status(&answer), 405 | 413), "{elsewhere}: {}", text(&answer));
        }
        assert_eq!(status(&get(commit, "/control/commit").await), 405);
        assert_eq!(status(&get(commit, "/control/changes").await), 404);
        let answer = post(commit, "/control/commit", &body).await;
        assert_eq!(json(&answer), json!({"epoch": 7, "revision": 7}));
    });
}

#[test]
fn a_commit_longer_than_the_memory_allows_is_refused() {
    run(async {
        let origin = Running::start(ServerOptions { memory_limit_mib: 16, ..origin_options(7, Vec::new()) });
        let body = " ".repeat(3 << 20);
        assert_eq!(status(&post(origin.commit.unwrap(), "/control/commit", &body).await), 413);
    });
}

#[test]
fn requests_that_are_none_of_the_protocol_are_refused() {
    run(async {
        let origin = origin(7, records(5));
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
            let answer = get(origin.address, target).await;
            assert_eq!(status(&answer), expected, "{target}: {}", text(&answer));
        }
        let mut raw = Raw::connect(origin.address).await;
        raw.stream.write_all(b"\x16\x03\x01 hello \r\n\r\n").await.unwrap();
        assert_eq!(status(&raw.answer().await.unwrap()), 400);
        assert!(raw.answer().await.is_none(), "it is closed");
    });
}

#[test]
fn snapshots_beyond_the_rate_are_not_begun() {
    run(async {
        let options = ServerOptions { snapshot_pages_per_second: 1.0, ..origin_options(7, records(5)) };
        let origin = Running::start(options);
        assert_eq!(status(&get(origin.address, "/control/snapshot").await), 200);
        let answer = get(origin.address, "/control/snapshot").await;
        assert_eq!((status(&answer), answer.head.single_value("Retry-After")), (503, Ok(Some("1"))));
        let start = Instant::now();
        while status(&get(origin.address, "/control/snapshot").await) != 200 {
            assert!(start.elapsed() < SOON, "tokens come again");
            sleep(Duration::from_millis(50)).await;
        }
    });
}

/// The danger is a follower that takes its whole core to ask who has nothing to say.
#[test]
fn a_server_that_never_gets_on_is_called_at_a_bounded_rate() {
    run(async {
        let empty = json!({"epoch": 7, "revision": 1, "records": [], "next": null, "changes": [], "from": 1});
        let with = |reset: bool, more: bool, digest: Value| {
            let mut answer = empty.clone();
            (answer["reset"], answer["more"], answer["digest"]) = (json!(reset), json!(more), digest);
            answer.to_string()
        };
        let right = json!("0000000000000000");
        for answer in [
            with(false, false, right.clone()),
            with(false, false, Value::Null),
            with(true, false, right.clone()),
            with(false, true, right),
            with(false, false, json!("00000000000000ff")),
            "[]".into(),
        ] {
            let calls = Rc::new(Cell::new(0));
            let (counted, body) = (calls.clone(), answer.clone());
            let server = scripted(move |_| {
                counted.set(counted.get() + 1);
                Some(body.clone())
            });
            let _follower = Follower::start(&[server], 0);
            sleep(Duration::from_secs(1)).await;
            assert!((1..200).contains(&calls.get()), "{} calls for {answer}", calls.get());
        }
    });
}
