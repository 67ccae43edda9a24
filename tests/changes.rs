//! Terms that change while requests are open: those end under what they came with, later ones under the new terms.

mod helper;

use expect_test::expect;
use helper::*;
use pondlb::*;

fn class_change(number: u32, class: Option<Class>) -> ConfigChange {
    ConfigChange::Class { index: number, class }
}

fn class(sla_ms: TenthMillis, value: f64, effect: Effect) -> Class {
    Class { sla_time: sla_ms * MS, value, effect }
}

fn limits(change: impl Fn(&mut Limits)) -> ConfigChange {
    let BalancerConfig {
        over_quota_value: excess_value,
        max_retry_after: cool_down,
        drain_grace,
        cold_start: cold,
        ..
    } = terms();
    let attempt_limits = terms().attempt_limits();
    let mut limits = Limits {
        over_quota_value: excess_value,
        attempt_limits,
        max_retry_after: cool_down,
        drain_grace,
        cold_start: cold,
    };
    change(&mut limits);
    ConfigChange::Limits(limits)
}

/// Two upstreams that have answered for a while.
fn served() -> (Play, TenthMillis) {
    let mut play = Play::new(terms());
    play.at(0, [list("a b")]);
    let now = play.warm_up(64);
    (play, now)
}

fn other(upstream: &str) -> &'static str {
    if upstream == "a" { "b" } else { "a" }
}

/// Fails the only attempt of a request.
fn fail(play: &mut Play, ms: TenthMillis, id: &str, upstream: &str) {
    play.at(ms, [ended(id, 0, upstream, Outcome::Error, 5)]);
}

#[test]
fn a_changed_class_holds_for_requests_that_come_later() {
    let (mut play, now) = served();
    let before = play.sent_to(now, request("before", 0));
    play.change(&[class_change(0, Some(class(400, 1.0, Effect::NonIdempotent)))]);
    let after = play.sent_to(now + 1, request("after", 0));
    fail(&mut play, now + 5, "before", &before);
    fail(&mut play, now + 6, "after", &after);
    // The repeat of the first is answered, so that it does not count as open.
    play.at(now + 20, [ended("before", 1, other(&before), Outcome::Ok, 15)]);
    expect![[r#"
        1600: post before to a
        1601: post after to b
        1605: post before to b
        1606: reverse after
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn the_sla_time_is_that_of_the_class_at_arrival() {
    let mut play = Play::new(terms());
    play.at(0, [list("a")]);
    // More than the upstream may have in flight: the last of each kind is held until its time is over.
    play.at(0, (0..5).map(|n| request(&format!("before{n}"), 1)));
    play.change(&[class_change(1, Some(class(100, 1.0, Effect::NonIdempotent)))]);
    play.at(1, [request("after", 1)]);
    for ms in [50, 100, 102, 250, 390, 400, 402] {
        play.at(ms, []);
    }
    expect![[r#"
        0: post before0 to a
        0: post before1 to a
        0: post before2 to a
        0: post before3 to a
        102: decline after, with advice
        400: decline before4, with advice
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn the_number_of_a_removed_class_is_used_again_while_requests_of_it_are_open() {
    let (mut play, now) = served();
    let before = play.sent_to(now, request("before", 0));
    play.change(&[class_change(0, None)]);
    play.change(&[
        class_change(0, Some(class(400, 1.0, Effect::NonIdempotent))),
        class_change(3, Some(class(400, 2.0, Effect::Idempotent))),
    ]);
    let after = play.sent_to(now + 1, request("after", 0));
    let added = play.sent_to(now + 2, request("added", 3));
    for (id, upstream) in [("before", &before), ("after", &after), ("added", &added)] {
        fail(&mut play, now + 5, id, upstream);
    }
    expect![[r#"
        1600: post before to a
        1601: post after to b
        1602: post added to b
        1605: post before to b
        1605: reverse after
        1605: post added to a
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn a_request_of_a_removed_class_is_rejected_at_once() {
    let (mut play, now) = served();
    play.change(&[class_change(1, None)]);
    play.at(now, [request("removed", 1)]);
    play.at(now + 1, []);
    expect![[r#"
        1600: decline removed, with advice
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn limits_of_attempts_are_those_at_arrival() {
    let (mut play, now) = served();
    let before = play.sent_to(now, request("before", 0));
    play.change(&[limits(|limits| limits.attempt_limits.max_attempts = 1)]);
    let after = play.sent_to(now + 1, request("after", 0));
    fail(&mut play, now + 5, "before", &before);
    fail(&mut play, now + 6, "after", &after);
    expect![[r#"
        1600: post before to a
        1601: post after to b
        1605: post before to b
        1606: decline after, with advice
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn attempts_of_a_request_that_came_before_are_cancelled_though_cancelling_has_ended() {
    let (mut play, now) = served();
    play.sent_to(now, request("before", 0));
    play.change(&[limits(|limits| limits.attempt_limits.cancelling = false)]);
    play.sent_to(now + 1, request("after", 0));
    play.at(
        now + 5,
        [
            Event::ClientDisconnected { request: "before".into() },
            Event::ClientDisconnected { request: "after".into() },
        ],
    );
    expect![[r#"
        1600: post before to a
        1601: post after to b
        1605: recall before/0
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn advice_to_come_back_later_follows_the_limits_at_once() {
    let mut play = Play::new(terms());
    play.at(0, [request("with", 1)]);
    play.change(&[limits(|limits| limits.max_retry_after = None)]);
    play.at(1, [request("without", 1)]);
    expect![[r#"
        0: decline with, with advice
        1: decline without
    "#]]
    .assert_eq(&play.trace);
}

/// A long request is rejected on arrival where others are worth much more than it.
fn long(id: &str, tenant: u32) -> Event {
    Event::RequestArrived(Arrival { tenant, cost: Some(1800 * MS), ..arrival(id, 0) })
}

fn rejected(play: &Play) -> usize {
    play.trace.lines().filter(|line| line.contains("decline")).count()
}

/// How many of four long requests at once are beyond their tenant's share, after a change of it.
fn beyond_share(tenant: Option<Tenant>) -> usize {
    let terms =
        BalancerConfig { over_quota_value: 0.1, tenants: vec![Tenant { quota_rps: 1000.0 }], ..terms() };
    let mut play = Play::new(terms);
    play.at(0, [list("a b c d e f g h")]);
    let now = play.warm_up(64);
    play.change(&[ConfigChange::Tenant { index: 0, tenant }]);
    // None of the warm-up's are within the last second.
    play.at(now + 10_000, (0..4).map(|n| long(&format!("t{n}"), 0)));
    rejected(&play)
}

#[test]
fn a_tenants_share_is_another_one_from_the_change_on() {
    let quotas = [Some(1000.0), Some(3.0), Some(0.0), None];
    let counts = quotas.map(|quota| beyond_share(quota.map(|quota| Tenant { quota_rps: quota })));
    expect!["[0, 1, 3, 0]"].assert_eq(&format!("{counts:?}"));
}

#[test]
fn a_tenant_that_is_added_has_its_share() {
    let mut play = Play::new(BalancerConfig { over_quota_value: 0.1, ..terms() });
    play.at(0, [list("a b c d e f g h")]);
    let now = play.warm_up(64);
    // Unknown until then, and so never beyond a share.
    play.at(now, (0..3).map(|n| long(&format!("unknown{n}"), 5)));
    play.change(&[ConfigChange::Tenant { index: 5, tenant: Some(Tenant { quota_rps: 1.0 }) }]);
    play.at(now + 1, (0..3).map(|n| long(&format!("known{n}"), 5)));
    expect![[r#"
        1600: post unknown0 to b
        1600: post unknown1 to c
        1600: post unknown2 to e
        1601: decline known1, with advice
        1601: decline known2, with advice
        1601: post known0 to h
    "#]]
    .assert_eq(&play.trace);
}

#[test]
fn what_a_class_is_worth_counts_against_the_others_while_it_is_there() {
    let dear = class_change(3, Some(class(400, 8.0, Effect::Idempotent)));
    let counts = [vec![], vec![dear.clone()], vec![dear, class_change(3, None)]].map(|changes| {
        let (mut play, now) = served();
        play.change(&changes);
        play.at(now, [long("t", 0)]);
        rejected(&play)
    });
    expect!["[0, 1, 0]"].assert_eq(&format!("{counts:?}"));
}
