//! Requests, the table of followers, the rate limit and shared answers, without sockets.

use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

use expect_test::expect;
use pondlb_control::{Change, Digest, Key, Limits, NewChange, RecordKind, Store, Update, Version};
use pondlb_http::Head;
use tokio::time::Instant;

use super::followers::FollowerTable;
use super::request::{Caller, Request};
use super::response_cache::{
    EncodedResponse, MAX_CACHED_BYTES, MAX_CACHED_RESPONSES, ResponseCache, ResponseContent, ResponseKey,
};
use super::state::ServerState;
use super::token_bucket::TokenBucket;
use crate::coding::ContentCoding;
use crate::options::{Role, ServerOptions};
use crate::validation::validate_json_shape;

fn read(line: &str) -> String {
    let head = Head { start_line: line.to_string(), fields: Vec::new() };
    match Request::parse(&head) {
        Ok(request) => format!("{request:?}\n"),
        Err(error) => format!("{error}\n"),
    }
}

#[test]
fn requests_are_read_from_their_first_line() {
    let digest = "digest=00000000000000ff";
    let lines = [
        format!("GET /control/changes?name=b-1&epoch=7&from=9&{digest}&hold_ms=99999999 HTTP/1.1"),
        format!("GET /control/changes?hold_ms=0&{digest}&from=9&epoch=7&name=b-1 HTTP/1.1"),
        format!("GET /control/changes?hold_ms=0&{digest}&from=9&epoch=7&name=b-1&refused=2 HTTP/1.1"),
        format!("GET /control/changes?hold_ms=0&{digest}&from=9&epoch=7&name=b-1&refused=-2 HTTP/1.1"),
        "GET /control/snapshot HTTP/1.1".into(),
        "GET /control/snapshot?after=upstream/a%26b%3Dc HTTP/1.1".into(),
        "GET /control/digests HTTP/1.1".into(),
        "GET /control/bucket?bucket=3 HTTP/1.1".into(),
        "GET /control/followers HTTP/1.1".into(),
        "POST /control/digests HTTP/1.1".into(),
        "GET /control/digests HTTP/1.0".into(),
        "GET control HTTP/1.1".into(),
        "GET /control/bucket HTTP/1.1".into(),
    ];
    let made: String = lines.iter().map(|line| read(line)).collect();
    expect![[r#"
        Call { caller: Some(Caller { name: "b-1", refused: 0 }), call: Changes { from: Version { epoch: 7, revision: 9 }, digest: Digest(255), hold: UpTo(60s) } }
        Call { caller: Some(Caller { name: "b-1", refused: 0 }), call: Changes { from: Version { epoch: 7, revision: 9 }, digest: Digest(255), hold: No } }
        Call { caller: Some(Caller { name: "b-1", refused: 2 }), call: Changes { from: Version { epoch: 7, revision: 9 }, digest: Digest(255), hold: No } }
        refused: a whole number is accepted
        Call { caller: None, call: Snapshot { after: None } }
        Call { caller: None, call: Snapshot { after: Some(upstream/a&b=c) } }
        Call { caller: None, call: Digests }
        Call { caller: None, call: Bucket(3) }
        Followers
        POST is not served here
        the first line is no request
        the first line is no request
        bucket: a whole number is accepted
    "#]].assert_eq(&made);
}

#[test]
fn the_table_of_followers_is_bounded_and_forgets() {
    let now = Instant::now();
    let mut table = FollowerTable::new(2);
    let version = |revision| Version { epoch: 7, revision };
    let caller = |name: &str| Caller { name: name.into(), unapplied_records: 0 };
    table.record_request(&caller("a"), version(1), false, now);
    table.record_request(&caller("b"), version(1), true, now + Duration::from_secs(30));
    table.record_request(&caller("c"), version(1), true, now + Duration::from_secs(30));
    table.record_request(&caller("a"), version(2), true, now + Duration::from_secs(31));
    let names = |table: &mut FollowerTable, seconds| {
        let rows = table.list(now + Duration::from_secs(seconds));
        rows.iter()
            .map(|row| format!("{}@{}:{} ", row.name, row.version, row.last_request_age_ms))
            .collect::<String>()
    };
    assert_eq!(names(&mut table, 32), "a@7.2:1000 b@7.1:2000 ");
    assert_eq!(names(&mut table, 90), "a@7.2:59000 ");
    table.record_request(&caller("c"), version(3), true, now + Duration::from_secs(90));
    assert_eq!(names(&mut table, 100), "c@7.3:10000 ");
}

#[test]
fn a_follower_that_could_not_put_a_record_in_force_is_not_in_sync() {
    let now = Instant::now();
    let mut table = FollowerTable::new(1);
    for (refused, has_all, in_sync) in [(0, true, true), (1, true, false), (0, false, false), (0, true, true)]
    {
        table.record_request(
            &Caller { name: "a".into(), unapplied_records: refused },
            Version { epoch: 7, revision: 1 },
            has_all,
            now,
        );
        let row = table.list(now).remove(0);
        assert_eq!((row.unapplied_records, row.in_sync), (refused, in_sync));
    }
}

fn class_change(name: &str, value: Option<&str>) -> NewChange {
    let value = value.and_then(|text| serde_json::value::RawValue::from_string(text.into()).ok());
    NewChange { key: Key::new(RecordKind::Class, name).expect("a name"), value }
}

/// The danger is a version that no balancer can put in force: without any class none could serve.
#[test]
fn a_commit_that_removes_a_class_leaves_one() {
    let role = Role::Origin { commit_address: None, initial_records: Vec::new(), epoch: 7 };
    let options = ServerOptions {
        validate: validate_json_shape,
        ..ServerOptions::new(([127, 0, 0, 1], 0).into(), role)
    };
    let state = ServerState::new(options, Store::new(7, Limits::default()), None);
    let set = |name| class_change(name, Some("{}"));
    let remove = |name| class_change(name, None);
    let upstream = NewChange {
        key: Key::new(RecordKind::Upstream, "u").expect("a name"),
        value: set("x").value.clone(),
    };
    let mut trace = String::new();
    for changes in [
        // Of classes that only balancers have in their files the origin knows nothing.
        vec![upstream.clone(), remove("a")],
        vec![upstream.clone(), remove("z"), set("a"), set("b")],
        vec![remove("a")],
        vec![upstream, remove("b")],
        vec![set("c"), remove("b"), remove("c")],
        vec![remove("b"), set("c")],
        vec![remove("c"), set("c")],
        vec![remove("c")],
    ] {
        let committed = state.commit(&changes).map_or_else(|error| error.to_string(), |v| v.to_string());
        writeln!(trace, "{committed}").expect("a text");
    }
    expect![[r#"
        class/a: the last class can't be removed
        7.4
        7.5
        class/b: the last class can't be removed
        class/c: the last class can't be removed
        7.7
        7.9
        class/c: the last class can't be removed
    "#]]
    .assert_eq(&trace);
}

#[test]
fn tokens_come_at_their_rate_and_are_promised_only_for_soon() {
    let now = Instant::now();
    let mut bucket = TokenBucket::new(2.0, now);
    let ms = Duration::from_millis;
    let none = Duration::ZERO;
    assert_eq!(bucket.reserve(now, none), Some(none));
    assert_eq!(bucket.reserve(now, none), Some(none));
    assert_eq!(bucket.reserve(now, none), None);
    assert_eq!(bucket.reserve(now, ms(500)), Some(ms(500)));
    assert_eq!(bucket.reserve(now, ms(500)), None);
    assert_eq!(bucket.reserve(now + ms(1000), none), Some(none));
    assert_eq!(bucket.reserve(now + ms(60_000), none), Some(none));
    assert_eq!(bucket.reserve(now + ms(60_000), none), Some(none));
    assert_eq!(bucket.reserve(now + ms(60_000), none), None);
}

fn bucket_key(bucket: usize) -> ResponseKey {
    ResponseKey { content: ResponseContent::Bucket(bucket), accepted_coding: ContentCoding::Identity }
}

fn answer_of(bytes: usize) -> EncodedResponse {
    let coding = ContentCoding::Identity;
    EncodedResponse { body: vec![b' '; bytes].into(), coding, has_changes: false, has_more: false }
}

#[test]
fn kept_answers_are_bounded_and_of_one_version() {
    let version = |revision| Version { epoch: 7, revision };
    let mut cache = ResponseCache::default();
    for bucket in 0..=MAX_CACHED_RESPONSES {
        cache.insert(version(1), bucket_key(bucket), answer_of(10));
    }
    assert_eq!(cache.size(), (MAX_CACHED_RESPONSES, 10 * MAX_CACHED_RESPONSES));
    assert!(cache.get(version(1), &bucket_key(0)).is_none(), "the oldest has made room");
    assert!(cache.get(version(1), &bucket_key(1)).is_some());
    assert!(cache.get(version(2), &bucket_key(1)).is_none(), "it is of an older version");
    cache.insert(version(2), bucket_key(0), answer_of(MAX_CACHED_BYTES - 10));
    assert_eq!(cache.size(), (1, MAX_CACHED_BYTES - 10));
    cache.insert(version(2), bucket_key(0), answer_of(MAX_CACHED_BYTES - 20));
    assert_eq!(cache.size().0, 1, "one for each key");
    cache.insert(version(2), bucket_key(1), answer_of(30));
    assert_eq!(cache.size(), (1, 30));
    cache.insert(version(2), bucket_key(2), answer_of(MAX_CACHED_BYTES + 1));
    assert_eq!(cache.size(), (1, 30), "too long to be kept");
}

fn record(name: &str, value: &str, revision: u64) -> Change {
    let value = serde_json::value::RawValue::from_string(value.into()).ok();
    Change { revision, key: Key::new(RecordKind::Upstream, name).expect("a name"), value }
}

/// A replica server takes repairs, which change records within one version.
#[test]
fn a_kept_answer_is_shared_until_the_records_change() {
    let role = Role::Replica { servers: Vec::new(), max_hold: Duration::ZERO };
    let options = ServerOptions::new(([127, 0, 0, 1], 0).into(), role);
    let state = ServerState::new(options, Store::new(0, Limits::default()), None);
    let update = |value| Update {
        version: Version { epoch: 7, revision: 5 },
        is_whole_state: false,
        has_more: false,
        digest: Some(Digest(0)),
        changes: vec![record("a", value, 5)],
    };
    let key = ResponseKey {
        content: ResponseContent::Snapshot { after: None },
        accepted_coding: ContentCoding::Identity,
    };
    let body = || state.response(key.clone()).expect("an answer").body;
    state.apply_update(&update("{\"size\":1}"));
    let first = body();
    assert!(Rc::ptr_eq(&first, &body()), "encoded once");
    state.apply_update(&update("{\"size\":2}"));
    assert!(String::from_utf8_lossy(&first).contains("\"size\":1"));
    assert!(String::from_utf8_lossy(&body()).contains("\"size\":2"), "of the same version, but repaired");
}
