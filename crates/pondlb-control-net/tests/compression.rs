//! Compressed and cached responses: all clients get the same content, and undecodable responses are not applied.

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

fn is_compressed(response: &Message) -> bool {
    response.head.single_value("Content-Encoding") == Ok(Some("gzip"))
}

async fn get_accepting(address: SocketAddr, target: &str, accepted: &str) -> Message {
    let fields = format!("Accept-Encoding: {accepted}\r\n");
    RawClient::connect(address).await.get_with_fields(target, &fields).await.expect("a response")
}

#[test]
fn compressed_and_plain_responses_have_the_same_content() {
    run_test(async {
        let origin = start_origin(7, upstreams(2000));
        let changes = format!("/control/changes?name=b&epoch=7&from=1900&{NO_DIGEST}&hold_ms=0");
        for target in [&*changes, "/control/snapshot", "/control/digests", "/control/bucket?bucket=3"] {
            let plain = get(origin.address, target).await;
            assert_eq!(plain.head.single_value("Content-Encoding"), Ok(None), "{target}");
            assert!(serde_json::from_slice::<serde_json::Value>(&plain.body).is_ok(), "{target}");
            for accepted in ["gzip", "deflate, gzip, br, zstd", "GZIP"] {
                let response = get_accepting(origin.address, target, accepted).await;
                assert_eq!(is_compressed(&response), plain.body.len() >= 512, "{target}");
                let content = if is_compressed(&response) { gunzip(&response.body) } else { response.body };
                assert_eq!(content, plain.body, "{target}");
            }
            for accepted in ["deflate, br", "gzip;q=0", "identity", "x-gzip2"] {
                let response = get_accepting(origin.address, target, accepted).await;
                assert_eq!((is_compressed(&response), &response.body), (false, &plain.body), "{accepted}");
            }
        }
        let short = format!("/control/changes?name=b&epoch=7&from=1999&{NO_DIGEST}&hold_ms=0");
        assert!(
            !is_compressed(&get_accepting(origin.address, &short, "gzip").await),
            "a short body is not compressed"
        );
        let bad = get_accepting(origin.address, "/control/bucket?bucket=512", "gzip").await;
        assert_eq!((status_code(&bad), is_compressed(&bad)), (400, false));
    });
}

#[test]
fn cached_response_is_not_shared_across_versions() {
    run_test(async {
        let origin = start_origin(7, upstreams(300));
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
                let committed = json_body(&origin.commit(&[set_upstream("s-00250", size)]).await);
                let after = gunzip(&get_accepting(origin.address, &target, "gzip").await.body);
                let after: serde_json::Value = serde_json::from_slice(&after).unwrap();
                assert_eq!(after["revision"], committed["revision"], "{target}");
                if !target.ends_with("digests") {
                    assert!(after.to_string().contains(&format!("\"size\":{size}")), "{target}");
                }
            }
            let replica = replica.get_or_insert_with(|| start_replica_server(&[origin.address]));
            let follower = Follower::start(&[replica.address], 0);
            wait_until("the last value", || follower.has_upstream("s-00250", 1000 + round)).await;
        }
    });
}

/// A change that sets an upstream to a complete value.
fn set_complete_upstream(number: u32, capacity: f64) -> NewChange {
    let name = format!("upstream-{number}");
    let value = format!(
        "{{\"uid\":\"{name}\",\"endpoint\":\"127.64.{}.{}:9\",\"az\":\"region-{}-zone-{}\",\"model\":\"m\",\
         \"pod_group\":0,\"state\":\"leaving\",\"capacity_hint\":{capacity:?},\"boot_ms\":0}}",
        number >> 8,
        number & 255,
        number % 10 / 5,
        number % 5
    );
    NewChange { key: upstream_key(&name), value: Some(RawValue::from_string(value).unwrap()) }
}

#[test]
fn changes_of_a_zone_are_compressed_to_less_than_a_sixth() {
    run_test(async {
        let origin = start_origin(7, (0..4800).map(|number| set_complete_upstream(number, 4.0)).collect());
        let follower = Follower::start(&[origin.address], 0);
        wait_until("the first complete state", || follower.status.counters().in_sync).await;
        let before = follower.status.counters().bytes_received;
        let zone: Vec<NewChange> = (0..2400).map(|number| set_complete_upstream(2 * number, 4.125)).collect();
        let plain: usize =
            zone.iter().filter_map(|change| change.value.as_ref()).map(|value| value.get().len()).sum();
        origin.commit(&zone).await;
        wait_until("the last change", || {
            follower.value("upstream-4798").is_some_and(|value| value.contains("4.125"))
        })
        .await;
        let received = follower.status.counters().bytes_received - before;
        assert!(received * 6 < plain as u64, "{received} of {plain} bytes");
        assert!(received > 2400, "{received} bytes: the received bytes are counted");
    });
}

#[test]
fn byte_counters_match_the_bytes_on_the_wire() {
    run_test(async {
        let origin = start_origin(7, upstreams(2000));
        let proxy = CountingProxy::start(origin.address);
        let follower = Follower::start(&[proxy.address], 0);
        wait_until("the first complete state", || follower.len() == 2000).await;
        origin.commit(&upstreams(500)).await;
        wait_until("the changes", || follower.version().revision == 2500).await;
        wait_until("all bytes to be counted", || {
            let counters = follower.status.counters();
            (counters.bytes_sent, counters.bytes_received) == proxy.transferred_bytes()
        })
        .await;
        let content: usize =
            follower.records().iter().map(|(key, value)| key.as_str().len() + value.len()).sum();
        let received = follower.status.counters().bytes_received;
        assert!(received > 2000 && received < content as u64 / 2, "{received} of {content} bytes");
    });
}

/// How a server corrupts a response.
#[derive(Clone, Copy, Debug)]
enum Corruption {
    /// The decoded content exceeds the limit.
    DecompressionBomb,
    /// The gzip stream is truncated.
    Truncated,
    /// A byte in the middle is changed.
    FlippedByte,
    /// The checksum is wrong.
    WrongChecksum,
    /// Bytes follow the gzip stream.
    TrailingBytes,
    /// The body is not a gzip stream.
    NotCompressed,
    /// The body is empty.
    Empty,
    /// The content coding is not one that the request accepts.
    UnknownCoding,
    /// The `Content-Encoding` field is repeated.
    RepeatedCoding,
}

const CORRUPTIONS: [Corruption; 9] = [
    Corruption::DecompressionBomb,
    Corruption::Truncated,
    Corruption::FlippedByte,
    Corruption::WrongChecksum,
    Corruption::TrailingBytes,
    Corruption::NotCompressed,
    Corruption::Empty,
    Corruption::UnknownCoding,
    Corruption::RepeatedCoding,
];

fn corrupt(corruption: Corruption, content: &str) -> ScriptedResponse {
    let mut body = gzip(content.as_bytes());
    let mut fields = GZIP_FIELD.to_string();
    let (middle, last) = (body.len() / 2, body.len() - 5);
    match corruption {
        // Valid but for its length: JSON may end in white space.
        Corruption::DecompressionBomb => body = gzip(&[content.as_bytes(), &vec![b' '; 4 << 20]].concat()),
        Corruption::Truncated => body.truncate(middle),
        Corruption::FlippedByte => body[middle] ^= 0x55,
        Corruption::WrongChecksum => body[last] ^= 1,
        Corruption::TrailingBytes => body.extend_from_slice(b"more"),
        Corruption::NotCompressed => body = content.as_bytes().to_vec(),
        Corruption::Empty => body.clear(),
        Corruption::UnknownCoding => fields = "Content-Encoding: br\r\n".into(),
        Corruption::RepeatedCoding => fields += GZIP_FIELD,
    }
    ScriptedResponse { fields, body }
}

/// Starts a server with this number of upstreams that corrupts all of its responses, if a corruption is given, and
/// counts the requests.
fn start_server(count: u64, corruption: Option<Corruption>, requests: Rc<Cell<u32>>) -> SocketAddr {
    let mut store = Store::new(7, Limits::default());
    store.commit(&upstreams(count), &validate_json_shape).unwrap();
    start_scripted_byte_server(move |target| {
        requests.set(requests.get() + 1);
        let content = if target.starts_with("/control/snapshot") {
            serde_json::to_string(&store.snapshot_page(None, 1 << 16)).unwrap()
        } else {
            let number = |name| query_parameter(target, name).and_then(|text| text.parse().ok()).unwrap_or(0);
            let from = Version { epoch: number("epoch"), revision: number("from") };
            serde_json::to_string(&store.changes_since(from, 1 << 14)).unwrap()
        };
        Some(match corruption {
            Some(corruption) => corrupt(corruption, &content),
            None => ScriptedResponse { fields: GZIP_FIELD.into(), body: gzip(content.as_bytes()) },
        })
    })
}

#[test]
fn undecodable_response_is_not_applied_and_the_next_server_is_used() {
    run_test(async {
        for corruption in CORRUPTIONS {
            let requests = Rc::new(Cell::new(0));
            let corrupting = start_server(40, Some(corruption), requests.clone());
            let lone_follower = Follower::start(&[corrupting], 0);
            wait_until("some requests", || requests.get() >= 3).await;
            sleep(Duration::from_millis(20)).await;
            let counters = lone_follower.status.counters();
            assert_eq!(
                (lone_follower.len(), counters.accepted_responses, counters.applied_updates),
                (0, 0, 0),
                "{corruption:?}"
            );
            assert!(counters.failed_requests >= 2, "{corruption:?}: {counters:?}");
            drop(lone_follower);
            let intact = start_server(40, None, Rc::default());
            let follower = Follower::start(&[corrupting, intact], 0);
            wait_until("the complete state of the next server", || follower.len() == 40).await;
            assert_eq!(follower.status.current_server(), Some(intact), "{corruption:?}");
        }
    });
}
