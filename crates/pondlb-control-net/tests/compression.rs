//! Compressed and shared answers: the same content for all callers, and nothing taken of what can't be decoded.

mod common;

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use common::*;
use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use pondlb_control::{Limits, NewChange, Store, Version};
use pondlb_control_net::validate_json_shape;
use pondlb_http::Message;
use serde_json::value::RawValue;
use tokio::time::sleep;

const GZIP_FIELD: &str = "Content-Encoding: gzip\r\n";
const NO_DIGEST: &str = "digest=0000000000000000";

fn gzip(plain: &[u8]) -> Vec<u8> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::best());
    encoder.write_all(plain).unwrap();
    encoder.finish().unwrap()
}

fn gunzip(compressed: &[u8]) -> Vec<u8> {
    let mut plain = Vec::new();
    GzDecoder::new(compressed).read_to_end(&mut plain).unwrap();
    plain
}

fn is_compressed(answer: &Message) -> bool {
    answer.head.single_value("Content-Encoding") == Ok(Some("gzip"))
}

async fn get_accepting(address: SocketAddr, target: &str, accepted: &str) -> Message {
    let fields = format!("Accept-Encoding: {accepted}\r\n");
    Raw::connect(address).await.get_with(target, &fields).await.expect("an answer")
}

#[test]
fn compressed_and_plain_callers_get_the_same_content() {
    run(async {
        let origin = origin(7, records(2000));
        let changes = format!("/control/changes?name=b&epoch=7&from=1900&{NO_DIGEST}&hold_ms=0");
        for target in [&*changes, "/control/snapshot", "/control/digests", "/control/bucket?bucket=3"] {
            let plain = get(origin.address, target).await;
            assert_eq!(plain.head.single_value("Content-Encoding"), Ok(None), "{target}");
            assert!(serde_json::from_slice::<serde_json::Value>(&plain.body).is_ok(), "{target}");
            for accepted in ["gzip", "deflate, gzip, br, zstd", "GZIP"] {
                let answer = get_accepting(origin.address, target, accepted).await;
                assert_eq!(is_compressed(&answer), plain.body.len() >= 512, "{target}");
                let content = if is_compressed(&answer) { gunzip(&answer.body) } else { answer.body };
                assert_eq!(content, plain.body, "{target}");
            }
            for accepted in ["deflate, br", "gzip;q=0", "identity", "x-gzip2"] {
                let answer = get_accepting(origin.address, target, accepted).await;
                assert_eq!((is_compressed(&answer), &answer.body), (false, &plain.body), "{accepted}");
            }
        }
        let short = format!("/control/changes?name=b&epoch=7&from=1999&{NO_DIGEST}&hold_ms=0");
        assert!(!is_compressed(&get_accepting(origin.address, &short, "gzip").await), "too short for it");
        let bad = get_accepting(origin.address, "/control/bucket?bucket=512", "gzip").await;
        assert_eq!((status(&bad), is_compressed(&bad)), (400, false));
    });
}

#[test]
fn an_answer_is_not_shared_across_versions() {
    run(async {
        let origin = origin(7, records(300));
        let mut replica = None;
        for round in 0..5 {
            for target in [
                format!("/control/changes?name=b&epoch=7&from=200&{NO_DIGEST}&hold_ms=0"),
                "/control/snapshot".into(),
                "/control/digests".into(),
            ] {
                let before = get_accepting(origin.address, &target, "gzip").await;
                let again = get_accepting(origin.address, &target, "gzip").await;
                assert_eq!(before.body, again.body, "{target}");
                let size = 1000 + round;
                let committed = json(&origin.commit(&[set("s-00250", size)]).await);
                let after = gunzip(&get_accepting(origin.address, &target, "gzip").await.body);
                let after: serde_json::Value = serde_json::from_slice(&after).unwrap();
                assert_eq!(after["revision"], committed["revision"], "{target}");
                if !target.ends_with("digests") {
                    assert!(after.to_string().contains(&format!("\"size\":{size}")), "{target}");
                }
            }
            let replica = replica.get_or_insert_with(|| replica_server(&[origin.address]));
            let follower = Follower::start(&[replica.address], 0);
            wait_for("the last value", || follower.holds("s-00250", 1000 + round)).await;
        }
    });
}

/// An upstream as discovery lists it.
fn listed(number: u32, capacity: f64) -> NewChange {
    let name = format!("upstream-{number}");
    let value = format!(
        "{{\"uid\":\"{name}\",\"endpoint\":\"127.64.{}.{}:9\",\"az\":\"region-{}-zone-{}\",\"model\":\"m\",\
         \"pod_group\":0,\"state\":\"leaving\",\"capacity_hint\":{capacity:?},\"boot_ms\":0}}",
        number >> 8,
        number & 255,
        number % 10 / 5,
        number % 5
    );
    NewChange { key: upstream(&name), value: Some(RawValue::from_string(value).unwrap()) }
}

#[test]
fn a_zone_of_changes_takes_a_sixth_of_its_plain_bytes_on_the_wire() {
    run(async {
        let origin = origin(7, (0..4800).map(|number| listed(number, 4.0)).collect());
        let follower = Follower::start(&[origin.address], 0);
        wait_for("the first whole state", || follower.status.counters().in_sync).await;
        let before = follower.status.counters().bytes_received;
        let zone: Vec<NewChange> = (0..2400).map(|number| listed(2 * number, 4.125)).collect();
        let plain: usize =
            zone.iter().filter_map(|change| change.value.as_ref()).map(|value| value.get().len()).sum();
        origin.commit(&zone).await;
        wait_for("the last change", || {
            follower.value("upstream-4798").is_some_and(|value| value.contains("4.125"))
        })
        .await;
        let received = follower.status.counters().bytes_received - before;
        assert!(received * 6 < plain as u64, "{received} of {plain} bytes");
        assert!(received > 2400, "{received} bytes: what came over the wire is counted");
    });
}

#[test]
fn bytes_are_counted_as_they_are_on_the_wire() {
    run(async {
        let origin = origin(7, records(2000));
        let relay = Relay::start(origin.address);
        let follower = Follower::start(&[relay.address], 0);
        wait_for("the first whole state", || follower.len() == 2000).await;
        origin.commit(&records(500)).await;
        wait_for("the changes", || follower.version().revision == 2500).await;
        wait_for("each byte is counted", || {
            let counters = follower.status.counters();
            (counters.bytes_sent, counters.bytes_received) == relay.bytes()
        })
        .await;
        let content: usize =
            follower.records().iter().map(|(key, value)| key.as_str().len() + value.len()).sum();
        let received = follower.status.counters().bytes_received;
        assert!(received > 2000 && received < content as u64 / 2, "{received} of {content} bytes");
    });
}

/// How a server spoils an answer.
#[derive(Clone, Copy, Debug)]
enum Spoiled {
    /// Decoded it is longer than any answer may be.
    Bomb,
    /// The stream is cut short.
    CutShort,
    /// One byte in the middle is another.
    FlippedByte,
    /// The check sum is wrong.
    WrongSum,
    /// Bytes follow on the stream.
    Trailing,
    /// It is no gzip stream.
    Plain,
    /// It is empty.
    Empty,
    /// A coding that nobody has asked for.
    UnknownCoding,
    /// The coding stands twice.
    TwoCodings,
}

const SPOILED: [Spoiled; 9] = [
    Spoiled::Bomb,
    Spoiled::CutShort,
    Spoiled::FlippedByte,
    Spoiled::WrongSum,
    Spoiled::Trailing,
    Spoiled::Plain,
    Spoiled::Empty,
    Spoiled::UnknownCoding,
    Spoiled::TwoCodings,
];

fn spoil(spoiled: Spoiled, content: &str) -> ScriptedAnswer {
    let mut body = gzip(content.as_bytes());
    let mut fields = GZIP_FIELD.to_string();
    let (middle, last) = (body.len() / 2, body.len() - 5);
    match spoiled {
        // Good in form, but for its length: white space may stand at the end of JSON.
        Spoiled::Bomb => body = gzip(&[content.as_bytes(), &vec![b' '; 4 << 20]].concat()),
        Spoiled::CutShort => body.truncate(middle),
        Spoiled::FlippedByte => body[middle] ^= 0x55,
        Spoiled::WrongSum => body[last] ^= 1,
        Spoiled::Trailing => body.extend_from_slice(b"more"),
        Spoiled::Plain => body = content.as_bytes().to_vec(),
        Spoiled::Empty => body.clear(),
        Spoiled::UnknownCoding => fields = "Content-Encoding: br\r\n".into(),
        Spoiled::TwoCodings => fields += GZIP_FIELD,
    }
    ScriptedAnswer { fields, body }
}

/// A server with these records that spoils all of its answers; they are right where it is told not to.
fn spoiling(count: u64, spoiled: Option<Spoiled>, calls: Rc<Cell<u32>>) -> SocketAddr {
    let mut store = Store::new(7, Limits::default());
    store.commit(&records(count), &validate_json_shape).unwrap();
    scripted_bytes(move |target| {
        calls.set(calls.get() + 1);
        let content = if target.starts_with("/control/snapshot") {
            serde_json::to_string(&store.snapshot_page(None, 1 << 16)).unwrap()
        } else {
            let number = |name| parameter(target, name).and_then(|text| text.parse().ok()).unwrap_or(0);
            let from = Version { epoch: number("epoch"), revision: number("from") };
            serde_json::to_string(&store.changes_since(from, 1 << 14)).unwrap()
        };
        Some(match spoiled {
            Some(spoiled) => spoil(spoiled, &content),
            None => ScriptedAnswer { fields: GZIP_FIELD.into(), body: gzip(content.as_bytes()) },
        })
    })
}

#[test]
fn nothing_is_taken_of_what_cannot_be_decoded_and_the_next_server_is_asked() {
    run(async {
        for spoiled in SPOILED {
            let calls = Rc::new(Cell::new(0));
            let bad = spoiling(40, Some(spoiled), calls.clone());
            let alone = Follower::start(&[bad], 0);
            wait_for("some calls", || calls.get() >= 3).await;
            sleep(Duration::from_millis(20)).await;
            let counters = alone.status.counters();
            assert_eq!(
                (alone.len(), counters.accepted_responses, counters.applied_updates),
                (0, 0, 0),
                "{spoiled:?}"
            );
            assert!(counters.failed_requests >= 2, "{spoiled:?}: {counters:?}");
            drop(alone);
            let good = spoiling(40, None, Rc::default());
            let follower = Follower::start(&[bad, good], 0);
            wait_for("the whole state from the next server", || follower.len() == 40).await;
            assert_eq!(follower.status.current_server(), Some(good), "{spoiled:?}");
        }
    });
}
