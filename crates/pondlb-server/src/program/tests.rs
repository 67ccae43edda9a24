//! The times of a graceful shutdown, and the timeout for connecting to upstreams.

use expect_test::expect;
use pondlb_terms::ConnectionLimits;

use super::service::{ShutdownTimeline, connect_timeout};

#[test]
fn connect_timeout_is_at_most_half_the_drain_grace_and_never_zero() {
    let timeouts = [0, 2000, 5000, 600_000].map(|drain_grace| {
        let (upstream_idle_timeout, max_open_requests, max_deadline) = (150_000, 20_000, None);
        connect_timeout(&ConnectionLimits {
            connect_timeout: 2500,
            upstream_idle_timeout,
            drain_grace,
            max_open_requests,
            max_deadline,
        })
    });
    expect!["[250, 1250, 2500, 2500]"].assert_eq(&format!("{timeouts:?}"));
}

#[test]
fn shutdown_ends_before_the_kill_and_not_before_new_clients_stay_away() {
    let mut trace = String::new();
    for deadline in [None, Some(60_000), Some(20_000), Some(1000)] {
        trace += &format!("{deadline:?}: {:?}\n", ShutdownTimeline::new(deadline));
    }
    expect![[r#"
        None: ShutdownTimeline { closing_after: 600ms, answers_due_after: 33000, exit_after: 3.5s }
        Some(60000): ShutdownTimeline { closing_after: 2.9s, answers_due_after: 33000, exit_after: 3.5s }
        Some(20000): ShutdownTimeline { closing_after: 1.9s, answers_due_after: 23000, exit_after: 2.5s }
        Some(1000): ShutdownTimeline { closing_after: 400ms, answers_due_after: 4000, exit_after: 600ms }
    "#]]
    .assert_eq(&trace);
}
