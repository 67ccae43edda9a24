//! Changes of the configuration while requests are open: these end under the configuration at their arrival, and later
//! requests get the new one.

mod helper;

use expect_test::expect;
use helper::*;
use pondlb::*;

fn class_change(index: u32, class: Option<Class>) -> ConfigChange {
    ConfigChange::Class { index, class }
}

fn class(sla_time_ms: u64, value: f64, effect: Effect) -> Class {
    Class { sla_time: sla_time_ms * MS, value, effect }
}

/// The limits of [`default_config`] with one change.
fn limits_change(change: impl Fn(&mut Limits)) -> ConfigChange {
    let config = default_config();
    let mut limits = Limits {
        over_quota_value: config.over_quota_value,
        attempt_limits: config.attempt_limits(),
        max_retry_after: config.max_retry_after,
        drain_grace: config.drain_grace,
        cold_start: config.cold_start,
    };
    change(&mut limits);
    ConfigChange::Limits(limits)
}

/// A balancer that has served for a while with two upstreams, and the time in milliseconds.
fn warm_balancer() -> (TestBalancer, u64) {
    let mut balancer = TestBalancer::new(default_config());
    balancer.handle_at(0, [snapshot("a b")]);
    let now_ms = balancer.warm_up(64);
    (balancer, now_ms)
}

/// The other one of two upstreams.
fn other_upstream(upstream: &str) -> &'static str {
    if upstream == "a" { "b" } else { "a" }
}

/// Ends the only attempt of a request with an error.
fn fail_attempt(balancer: &mut TestBalancer, now_ms: u64, id: &str, upstream: &str) {
    balancer.handle_at(now_ms, [attempt_ended(id, 0, upstream, Outcome::Error, 5)]);
}

#[test]
fn changed_class_applies_only_to_later_requests() {
    let (mut balancer, now_ms) = warm_balancer();
    let before = balancer.attempted_upstream_at(now_ms, request_arrived("before", 0));
    balancer.apply(&[class_change(0, Some(class(400, 1.0, Effect::NonIdempotent)))]);
    let after = balancer.attempted_upstream_at(now_ms + 1, request_arrived("after", 0));
    fail_attempt(&mut balancer, now_ms + 5, "before", &before);
    fail_attempt(&mut balancer, now_ms + 6, "after", &after);
    // The retry of the first request is answered, so that it is not open any more.
    balancer.handle_at(now_ms + 20, [attempt_ended("before", 1, other_upstream(&before), Outcome::Ok, 15)]);
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
    // The concurrency limit of the upstream is 4: the last request of each class is held until its SLA time is over.
    balancer.handle_at(0, (0..5).map(|n| request_arrived(&format!("before{n}"), 1)));
    balancer.apply(&[class_change(1, Some(class(100, 1.0, Effect::NonIdempotent)))]);
    balancer.handle_at(1, [request_arrived("after", 1)]);
    for now_ms in [50, 100, 102, 250, 390, 400, 402] {
        balancer.handle_at(now_ms, []);
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
    let (mut balancer, now_ms) = warm_balancer();
    let before = balancer.attempted_upstream_at(now_ms, request_arrived("before", 0));
    balancer.apply(&[class_change(0, None)]);
    balancer.apply(&[
        class_change(0, Some(class(400, 1.0, Effect::NonIdempotent))),
        class_change(3, Some(class(400, 2.0, Effect::Idempotent))),
    ]);
    let after = balancer.attempted_upstream_at(now_ms + 1, request_arrived("after", 0));
    let added = balancer.attempted_upstream_at(now_ms + 2, request_arrived("added", 3));
    for (id, upstream) in [("before", &before), ("after", &after), ("added", &added)] {
        fail_attempt(&mut balancer, now_ms + 5, id, upstream);
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
    let (mut balancer, now_ms) = warm_balancer();
    balancer.apply(&[class_change(1, None)]);
    balancer.handle_at(now_ms, [request_arrived("removed", 1)]);
    balancer.handle_at(now_ms + 1, []);
    expect![[r#"
        1600: reject removed, with Retry-After
    "#]]
    .assert_eq(&balancer.trace);
}

#[test]
fn request_keeps_the_attempt_limits_at_its_arrival() {
    let (mut balancer, now_ms) = warm_balancer();
    let before = balancer.attempted_upstream_at(now_ms, request_arrived("before", 0));
    balancer.apply(&[limits_change(|limits| limits.attempt_limits.max_attempts = 1)]);
    let after = balancer.attempted_upstream_at(now_ms + 1, request_arrived("after", 0));
    fail_attempt(&mut balancer, now_ms + 5, "before", &before);
    fail_attempt(&mut balancer, now_ms + 6, "after", &after);
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
    let (mut balancer, now_ms) = warm_balancer();
    balancer.attempted_upstream_at(now_ms, request_arrived("before", 0));
    balancer.apply(&[limits_change(|limits| limits.attempt_limits.cancelling = false)]);
    balancer.attempted_upstream_at(now_ms + 1, request_arrived("after", 0));
    balancer.handle_at(
        now_ms + 5,
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
    balancer.apply(&[limits_change(|limits| limits.max_retry_after = None)]);
    balancer.handle_at(1, [request_arrived("without", 1)]);
    expect![[r#"
        0: reject with, with Retry-After
        1: reject without
    "#]]
    .assert_eq(&balancer.trace);
}

/// A long request, which is rejected on arrival if other classes have a much higher value.
fn long_request_arrived(id: &str, tenant: u32) -> Event {
    Event::RequestArrived(Arrival { tenant, cost: Some(1800 * MS), ..arrival(id, 0) })
}

/// The number of rejected requests in the trace.
fn rejected_count(balancer: &TestBalancer) -> usize {
    balancer.trace.lines().filter(|line| line.contains("reject")).count()
}

/// How many of four long requests at once are rejected because they exceed the quota of their tenant, after a change of it.
fn rejected_after_quota_change(tenant: Option<Tenant>) -> usize {
    let config = BalancerConfig {
        over_quota_value: 0.1,
        tenants: vec![Tenant { quota_rps: 1000.0 }],
        ..default_config()
    };
    let mut balancer = TestBalancer::new(config);
    balancer.handle_at(0, [snapshot("a b c d e f g h")]);
    let now_ms = balancer.warm_up(64);
    balancer.apply(&[ConfigChange::Tenant { index: 0, tenant }]);
    // The quota applies to one second; no warm-up request is in the last one.
    balancer.handle_at(now_ms + 10_000, (0..4).map(|n| long_request_arrived(&format!("t{n}"), 0)));
    rejected_count(&balancer)
}

#[test]
fn changed_tenant_quota_applies_at_once() {
    let quotas = [Some(1000.0), Some(3.0), Some(0.0), None];
    let counts =
        quotas.map(|quota| rejected_after_quota_change(quota.map(|quota| Tenant { quota_rps: quota })));
    expect!["[0, 1, 3, 0]"].assert_eq(&format!("{counts:?}"));
}

#[test]
fn added_tenant_has_its_quota() {
    let mut balancer = TestBalancer::new(BalancerConfig { over_quota_value: 0.1, ..default_config() });
    balancer.handle_at(0, [snapshot("a b c d e f g h")]);
    let now_ms = balancer.warm_up(64);
    // An unknown tenant has no quota.
    balancer.handle_at(now_ms, (0..3).map(|n| long_request_arrived(&format!("unknown{n}"), 5)));
    balancer.apply(&[ConfigChange::Tenant { index: 5, tenant: Some(Tenant { quota_rps: 1.0 }) }]);
    balancer.handle_at(now_ms + 1, (0..3).map(|n| long_request_arrived(&format!("known{n}"), 5)));
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
    let high_value_class = class_change(3, Some(class(400, 8.0, Effect::Idempotent)));
    let counts = [vec![], vec![high_value_class.clone()], vec![high_value_class, class_change(3, None)]].map(
        |changes| {
            let (mut balancer, now_ms) = warm_balancer();
            balancer.apply(&changes);
            balancer.handle_at(now_ms, [long_request_arrived("t", 0)]);
            rejected_count(&balancer)
        },
    );
    expect!["[0, 1, 0]"].assert_eq(&format!("{counts:?}"));
}
