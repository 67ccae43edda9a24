//! Terms that change while requests are open: those end under what they came with, later ones under the new config.

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
    } = default_config();
    let attempt_limits = default_config().attempt_limits();
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
fn served() -> (TestBalancer, TenthMillis) {
    let mut balancer = TestBalancer::new(default_config());
    balancer.handle_at(0, [snapshot("a b")]);
    let now = balancer.warm_up(64);
    (balancer, now)
}

fn other(upstream: &str) -> &'static str {
    if upstream == "a" { "b" } else { "a" }
}

/// Fails the only attempt of a request.
fn fail(balancer: &mut TestBalancer, ms: TenthMillis, id: &str, upstream: &str) {
    balancer.handle_at(ms, [attempt_ended(id, 0, upstream, Outcome::Error, 5)]);
}

#[test]
fn changed_class_applies_only_to_later_requests() {
    let (mut balancer, now) = served();
    let before = balancer.attempted_upstream_at(now, request_arrived("before", 0));
    balancer.apply(&[class_change(0, Some(class(400, 1.0, Effect::NonIdempotent)))]);
    let after = balancer.attempted_upstream_at(now + 1, request_arrived("after", 0));
    fail(&mut balancer, now + 5, "before", &before);
    fail(&mut balancer, now + 6, "after", &after);
    // The repeat of the first is answered, so that it does not count as open.
    balancer.handle_at(now + 20, [attempt_ended("before", 1, other(&before), Outcome::Ok, 15)]);
    expect![[r#"
        1600: send before to a
        1601: send after to b
        1605: send before to b
        1606: fail after
    "#]]
    .assert_eq(&balancer.trace);
}

#[test]
fn request_keeps_the_sla_time_of_its_class_at_arrival() {
    let mut balancer = TestBalancer::new(default_config());
    balancer.handle_at(0, [snapshot("a")]);
    // More than the upstream may have in flight: the last of each kind is held until its time is over.
    balancer.handle_at(0, (0..5).map(|n| request_arrived(&format!("before{n}"), 1)));
    balancer.apply(&[class_change(1, Some(class(100, 1.0, Effect::NonIdempotent)))]);
    balancer.handle_at(1, [request_arrived("after", 1)]);
    for ms in [50, 100, 102, 250, 390, 400, 402] {
        balancer.handle_at(ms, []);
    }
    expect![[r#"
        0: send before0 to a
        0: send before1 to a
        0: send before2 to a
        0: send before3 to a
        102: reject after, with Retry-After
        400: reject before4, with Retry-After
    "#]]
    .assert_eq(&balancer.trace);
}

#[test]
fn index_of_a_removed_class_can_be_reused_while_its_requests_are_open() {
    let (mut balancer, now) = served();
    let before = balancer.attempted_upstream_at(now, request_arrived("before", 0));
    balancer.apply(&[class_change(0, None)]);
    balancer.apply(&[
        class_change(0, Some(class(400, 1.0, Effect::NonIdempotent))),
        class_change(3, Some(class(400, 2.0, Effect::Idempotent))),
    ]);
    let after = balancer.attempted_upstream_at(now + 1, request_arrived("after", 0));
    let added = balancer.attempted_upstream_at(now + 2, request_arrived("added", 3));
    for (id, upstream) in [("before", &before), ("after", &after), ("added", &added)] {
        fail(&mut balancer, now + 5, id, upstream);
    }
    expect![[r#"
        1600: send before to a
        1601: send after to b
        1602: send added to b
        1605: send before to b
        1605: fail after
        1605: send added to a
    "#]]
    .assert_eq(&balancer.trace);
}

#[test]
fn request_of_a_removed_class_is_rejected_at_once() {
    let (mut balancer, now) = served();
    balancer.apply(&[class_change(1, None)]);
    balancer.handle_at(now, [request_arrived("removed", 1)]);
    balancer.handle_at(now + 1, []);
    expect![[r#"
        1600: reject removed, with Retry-After
    "#]]
    .assert_eq(&balancer.trace);
}

#[test]
fn request_keeps_the_attempt_limits_at_its_arrival() {
    let (mut balancer, now) = served();
    let before = balancer.attempted_upstream_at(now, request_arrived("before", 0));
    balancer.apply(&[limits(|limits| limits.attempt_limits.max_attempts = 1)]);
    let after = balancer.attempted_upstream_at(now + 1, request_arrived("after", 0));
    fail(&mut balancer, now + 5, "before", &before);
    fail(&mut balancer, now + 6, "after", &after);
    expect![[r#"
        1600: send before to a
        1601: send after to b
        1605: send before to b
        1606: reject after, with Retry-After
    "#]]
    .assert_eq(&balancer.trace);
}

#[test]
fn open_requests_still_cancel_their_attempts_after_cancelling_is_disabled() {
    let (mut balancer, now) = served();
    balancer.attempted_upstream_at(now, request_arrived("before", 0));
    balancer.apply(&[limits(|limits| limits.attempt_limits.cancelling = false)]);
    balancer.attempted_upstream_at(now + 1, request_arrived("after", 0));
    balancer.handle_at(
        now + 5,
        [
            Event::ClientDisconnected { request: "before".into() },
            Event::ClientDisconnected { request: "after".into() },
        ],
    );
    expect![[r#"
        1600: send before to a
        1601: send after to b
        1605: cancel before/0
    "#]]
    .assert_eq(&balancer.trace);
}

#[test]
fn changed_max_retry_after_applies_at_once() {
    let mut balancer = TestBalancer::new(default_config());
    balancer.handle_at(0, [request_arrived("with", 1)]);
    balancer.apply(&[limits(|limits| limits.max_retry_after = None)]);
    balancer.handle_at(1, [request_arrived("without", 1)]);
    expect![[r#"
        0: reject with, with Retry-After
        1: reject without
    "#]]
    .assert_eq(&balancer.trace);
}

/// A long request is rejected on arrival where others are worth much more than it.
fn long(id: &str, tenant: u32) -> Event {
    Event::RequestArrived(Arrival { tenant, cost: Some(1800 * MS), ..arrival(id, 0) })
}

fn rejected(balancer: &TestBalancer) -> usize {
    balancer.trace.lines().filter(|line| line.contains("reject")).count()
}

/// How many of four long requests at once are beyond their tenant's share, after a change of it.
fn beyond_share(tenant: Option<Tenant>) -> usize {
    let config = BalancerConfig {
        over_quota_value: 0.1,
        tenants: vec![Tenant { quota_rps: 1000.0 }],
        ..default_config()
    };
    let mut balancer = TestBalancer::new(config);
    balancer.handle_at(0, [snapshot("a b c d e f g h")]);
    let now = balancer.warm_up(64);
    balancer.apply(&[ConfigChange::Tenant { index: 0, tenant }]);
    // None of the warm-up's are within the last second.
    balancer.handle_at(now + 10_000, (0..4).map(|n| long(&format!("t{n}"), 0)));
    rejected(&balancer)
}

#[test]
fn changed_tenant_quota_applies_at_once() {
    let quotas = [Some(1000.0), Some(3.0), Some(0.0), None];
    let counts = quotas.map(|quota| beyond_share(quota.map(|quota| Tenant { quota_rps: quota })));
    expect!["[0, 1, 3, 0]"].assert_eq(&format!("{counts:?}"));
}

#[test]
fn added_tenant_has_its_quota() {
    let mut balancer = TestBalancer::new(BalancerConfig { over_quota_value: 0.1, ..default_config() });
    balancer.handle_at(0, [snapshot("a b c d e f g h")]);
    let now = balancer.warm_up(64);
    // Unknown until then, and so never beyond a share.
    balancer.handle_at(now, (0..3).map(|n| long(&format!("unknown{n}"), 5)));
    balancer.apply(&[ConfigChange::Tenant { index: 5, tenant: Some(Tenant { quota_rps: 1.0 }) }]);
    balancer.handle_at(now + 1, (0..3).map(|n| long(&format!("known{n}"), 5)));
    expect![[r#"
        1600: send unknown0 to b
        1600: send unknown1 to c
        1600: send unknown2 to e
        1601: reject known1, with Retry-After
        1601: reject known2, with Retry-After
        1601: send known0 to h
    "#]]
    .assert_eq(&balancer.trace);
}

#[test]
fn class_value_counts_against_other_classes_until_the_class_is_removed() {
    let dear = class_change(3, Some(class(400, 8.0, Effect::Idempotent)));
    let counts = [vec![], vec![dear.clone()], vec![dear, class_change(3, None)]].map(|changes| {
        let (mut balancer, now) = served();
        balancer.apply(&changes);
        balancer.handle_at(now, [long("t", 0)]);
        rejected(&balancer)
    });
    expect!["[0, 1, 0]"].assert_eq(&format!("{counts:?}"));
}
