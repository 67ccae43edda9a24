//! Unit tests of requests, the table of followers, commits, the rate limit and the response cache.

use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

use expect_test::expect;
use pondlb_control::{Change, Digest, Key, Limits, NewChange, RecordKind, Store, Update, Version};
use pondlb_http::Head;
use tokio::time::Instant;

use super::followers::{FollowerState, FollowerTable, FollowersResponse};
use super::request::{Caller, Request};
use super::response_cache::{
    EncodedResponse, MAX_CACHED_BYTES, MAX_CACHED_RESPONSES, ResponseCache, ResponseContent, ResponseKey,
};
use super::state::ServerState;
use super::token_bucket::TokenBucket;
use crate::coding::ContentCoding;
use crate::options::{Role, ServerOptions};
use crate::validation::validate_json_shape;

/// Parses a request with this first line and returns the result as a line of text.
fn parse(line: &str) -> String {
    let head = Head { start_line: line.to_string(), fields: Vec::new() };
    match Request::parse(&head) {
        Ok(request) => format!("{request:?}\n"),
        Err(error) => format!("{error}\n"),
    }
}

#[test]
fn requests_are_parsed_from_the_request_line() {
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
    let parsed: String = lines.iter().map(|line| parse(line)).collect();
    expect![[r#"
        Replica { caller: Some(Caller { name: "b-1", unapplied_records: 0 }), request: Changes { from: Version { epoch: 7, revision: 9 }, digest: Digest(255), hold: UpTo(60s) } }
        Replica { caller: Some(Caller { name: "b-1", unapplied_records: 0 }), request: Changes { from: Version { epoch: 7, revision: 9 }, digest: Digest(255), hold: No } }
        Replica { caller: Some(Caller { name: "b-1", unapplied_records: 2 }), request: Changes { from: Version { epoch: 7, revision: 9 }, digest: Digest(255), hold: No } }
        refused: a whole number is accepted
        Replica { caller: None, request: Snapshot { after: None } }
        Replica { caller: None, request: Snapshot { after: Some(upstream/a&b=c) } }
        Replica { caller: None, request: Digests }
        Replica { caller: None, request: Bucket(3) }
        Followers
        POST is not served here
        the first line is no request
        the first line is no request
        bucket: a whole number is accepted
    "#]].assert_eq(&parsed);
}

#[test]
fn follower_table_is_bounded_and_removes_expired_followers() {
    let now = Instant::now();
    let mut table = FollowerTable::new(2);
    let version = |revision| Version { epoch: 7, revision };
    let caller = |name: &str| Caller { name: name.into(), unapplied_records: 0 };
    table.record_request(&caller("a"), version(1), false, now);
    table.record_request(&caller("b"), version(1), true, now + Duration::from_secs(30));
    table.record_request(&caller("c"), version(1), true, now + Duration::from_secs(30));
    table.record_request(&caller("a"), version(2), true, now + Duration::from_secs(31));
    let listed = |table: &mut FollowerTable, seconds| {
        let followers = table.list(now + Duration::from_secs(seconds));
        followers
            .iter()
            .map(|follower| {
                format!("{}@{}:{} ", follower.name, follower.version, follower.last_request_age_ms)
            })
            .collect::<String>()
    };
    assert_eq!(listed(&mut table, 32), "a@7.2:1000 b@7.1:2000 ");
    assert_eq!(listed(&mut table, 90), "a@7.2:59000 ");
    table.record_request(&caller("c"), version(3), true, now + Duration::from_secs(90));
    assert_eq!(listed(&mut table, 100), "c@7.3:10000 ");
}

#[test]
fn follower_with_unapplied_records_is_not_in_sync() {
    let now = Instant::now();
    let mut table = FollowerTable::new(1);
    for (unapplied_records, has_current_records, in_sync) in
        [(0, true, true), (1, true, false), (0, false, false), (0, true, true)]
    {
        table.record_request(
            &Caller { name: "a".into(), unapplied_records },
            Version { epoch: 7, revision: 1 },
            has_current_records,
            now,
        );
        let follower = table.list(now).remove(0);
        assert_eq!((follower.unapplied_records, follower.in_sync), (unapplied_records, in_sync));
    }
}

/// Operators read this response with tools of their own, so the names of its fields must not change.
#[test]
fn followers_response_keeps_its_json_fields() {
    let version = Version { epoch: 7, revision: 9 };
    let follower = FollowerState {
        name: "a".into(),
        version,
        in_sync: false,
        unapplied_records: 2,
        last_request_age_ms: 1500,
    };
    let response = FollowersResponse { version, followers: vec![follower] };
    let json = serde_json::to_string(&response).expect("valid JSON");
    expect![[
        r#"{"version":{"epoch":7,"revision":9},"followers":[{"name":"a","version":{"epoch":7,"revision":9},"in_sync":false,"refused":2,"seen_ms":1500}]}"#
    ]]
    .assert_eq(&json);
}

/// A change of a class, or its removal.
fn class_change(name: &str, value: Option<&str>) -> NewChange {
    let value = value.and_then(|text| serde_json::value::RawValue::from_string(text.into()).ok());
    NewChange { key: Key::new(RecordKind::Class, name).expect("a name"), value }
}

/// No balancer can apply a version without any class, so such a commit must be rejected as a whole.
#[test]
fn commit_that_removes_the_last_class_is_rejected() {
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
        // The store has no classes yet. Those in the configuration files of balancers do not count.
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
fn token_bucket_refills_at_its_rate_and_bounds_the_wait() {
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

fn response_with_body(bytes: usize) -> EncodedResponse {
    let coding = ContentCoding::Identity;
    EncodedResponse { body: vec![b' '; bytes].into(), coding, has_changes: false, has_more: false }
}

#[test]
fn response_cache_is_bounded_and_of_one_version() {
    let version = |revision| Version { epoch: 7, revision };
    let mut cache = ResponseCache::default();
    for bucket in 0..=MAX_CACHED_RESPONSES {
        cache.insert(version(1), bucket_key(bucket), response_with_body(10));
    }
    assert_eq!(cache.size(), (MAX_CACHED_RESPONSES, 10 * MAX_CACHED_RESPONSES));
    assert!(cache.get(version(1), &bucket_key(0)).is_none(), "the oldest is evicted");
    assert!(cache.get(version(1), &bucket_key(1)).is_some());
    assert!(cache.get(version(2), &bucket_key(1)).is_none(), "the cached response is of an older version");
    cache.insert(version(2), bucket_key(0), response_with_body(MAX_CACHED_BYTES - 10));
    assert_eq!(cache.size(), (1, MAX_CACHED_BYTES - 10));
    cache.insert(version(2), bucket_key(0), response_with_body(MAX_CACHED_BYTES - 20));
    assert_eq!(cache.size().0, 1, "the response with this key is replaced");
    cache.insert(version(2), bucket_key(1), response_with_body(30));
    assert_eq!(cache.size(), (1, 30));
    cache.insert(version(2), bucket_key(2), response_with_body(MAX_CACHED_BYTES + 1));
    assert_eq!(cache.size(), (1, 30), "too long to be cached");
}

fn record(name: &str, value: &str, revision: u64) -> Change {
    let value = serde_json::value::RawValue::from_string(value.into()).ok();
    Change { revision, key: Key::new(RecordKind::Upstream, name).expect("a name"), value }
}

/// A replica server applies repairs, which change records without a new version.
#[test]
fn cached_response_is_shared_until_the_records_change() {
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
    let body = || state.response(key.clone()).expect("a response").body;
    state.apply_update(&update("{\"size\":1}"));
    let first = body();
    assert!(Rc::ptr_eq(&first, &body()), "encoded once");
    state.apply_update(&update("{\"size\":2}"));
    assert!(String::from_utf8_lossy(&first).contains("\"size\":1"));
    assert!(
        String::from_utf8_lossy(&body()).contains("\"size\":2"),
        "the repair must invalidate the cached response"
    );
}
