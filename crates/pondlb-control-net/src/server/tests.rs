//! Requests, the table of followers and the rate limit, without sockets.

use std::time::Duration;

use expect_test::expect;
use pondlb_control::Version;
use pondlb_http::Head;
use tokio::time::Instant;

use super::followers::FollowerTable;
use super::request::Request;
use super::token_bucket::TokenBucket;

fn read(line: &str) -> String {
    let head = Head { first: line.to_string(), fields: Vec::new() };
    match Request::read(&head) {
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
        Call { name: Some("b-1"), call: Changes { from: Version { epoch: 7, revision: 9 }, digest: Digest(255), hold: UpTo(60s) } }
        Call { name: Some("b-1"), call: Changes { from: Version { epoch: 7, revision: 9 }, digest: Digest(255), hold: No } }
        Call { name: None, call: Snapshot { after: None } }
        Call { name: None, call: Snapshot { after: Some(upstream/a&b=c) } }
        Call { name: None, call: Digests }
        Call { name: None, call: Bucket(3) }
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
    table.note("a", version(1), false, now);
    table.note("b", version(1), true, now + Duration::from_secs(30));
    table.note("c", version(1), true, now + Duration::from_secs(30));
    table.note("a", version(2), true, now + Duration::from_secs(31));
    let names = |table: &mut FollowerTable, seconds| {
        let rows = table.list(now + Duration::from_secs(seconds));
        rows.iter().map(|row| format!("{}@{}:{} ", row.name, row.version, row.seen_ms)).collect::<String>()
    };
    assert_eq!(names(&mut table, 32), "a@7.2:1000 b@7.1:2000 ");
    assert_eq!(names(&mut table, 90), "a@7.2:59000 ");
    table.note("c", version(3), true, now + Duration::from_secs(90));
    assert_eq!(names(&mut table, 100), "c@7.3:10000 ");
}

#[test]
fn tokens_come_at_their_rate_and_are_promised_only_for_soon() {
    let now = Instant::now();
    let mut bucket = TokenBucket::new(2.0, now);
    let ms = Duration::from_millis;
    let none = Duration::ZERO;
    assert_eq!(bucket.take(now, none), Some(none));
    assert_eq!(bucket.take(now, none), Some(none));
    assert_eq!(bucket.take(now, none), None);
    assert_eq!(bucket.take(now, ms(500)), Some(ms(500)));
    assert_eq!(bucket.take(now, ms(500)), None);
    assert_eq!(bucket.take(now + ms(1000), none), Some(none));
    assert_eq!(bucket.take(now + ms(60_000), none), Some(none));
    assert_eq!(bucket.take(now + ms(60_000), none), Some(none));
    assert_eq!(bucket.take(now + ms(60_000), none), None);
}
