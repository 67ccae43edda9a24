//! The times of an orderly end, and how long connections may take to come up.

use expect_test::expect;
use pondlb_terms::ConnectionLimits;

use super::service::{ShutdownTimeline, connect_within};

#[test]
fn connections_come_up_within_half_the_grace_and_have_time_to_without_one() {
    let waits = [0, 2000, 5000, 600_000].map(|drain_grace| {
        let (upstream_idle_timeout, max_open_requests, max_deadline) = (150_000, 20_000, None);
        connect_within(&ConnectionLimits {
            connect_timeout: 2500,
            upstream_idle_timeout,
            drain_grace,
            max_open_requests,
            max_deadline,
        })
    });
    expect!["[250, 1250, 2500, 2500]"].assert_eq(&format!("{waits:?}"));
}

#[test]
fn the_end_comes_before_the_kill_and_no_sooner_than_clients_stay() {
    let mut trace = String::new();
    for deadline in [None, Some(60_000), Some(20_000), Some(1000)] {
        trace += &format!("{deadline:?}: {:?}\n", ShutdownTimeline::new(deadline));
    }
    expect![[r#"
        None: ShutdownTimeline { leaving: 600ms, answered: 33000, at_most: 3.5s }
        Some(60000): ShutdownTimeline { leaving: 2.9s, answered: 33000, at_most: 3.5s }
        Some(20000): ShutdownTimeline { leaving: 1.9s, answered: 23000, at_most: 2.5s }
        Some(1000): ShutdownTimeline { leaving: 400ms, answered: 4000, at_most: 600ms }
    "#]]
    .assert_eq(&trace);
}
