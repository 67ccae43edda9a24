//! When a run is void, and how violations are reported.

use expect_test::expect;

use super::*;

/// A laboratory that gets too little processor time sends late and lets the work of the emulated upstreams take too
/// long; the balancers must not be blamed for that.
#[test]
fn a_run_with_late_sends_or_timer_ticks_is_void() {
    let mut trace = String::new();
    for (lateness_us, count) in [
        (MAX_LATENESS_US, 100),
        (MAX_LATENESS_US + 1, 1),
        (MAX_LATENESS_US + 1, 2),
        (4 * MAX_LATENESS_US, 50),
    ] {
        let lateness_us = (0..100).map(|n| if n < count { lateness_us } else { 300 }).collect();
        trace += &format!("{:?}\n", void_reason(&Ledgers { lateness_us, ..Ledgers::default() }));
    }
    let shortage = Ledgers { descriptor_shortages: 3, ..Ledgers::default() };
    trace += &format!("{:?}\n", void_reason(&shortage));
    expect![[r#"
        None
        None
        Some("2 of 100 sends and timer ticks were over 25 ms late")
        Some("50 of 100 sends and timer ticks were over 25 ms late")
        Some("the laboratory ran out of file descriptors 3 times")
    "#]]
    .assert_eq(&trace);
}

#[test]
fn a_violation_is_serialized_under_its_published_field_names() {
    let violation = Violation::new(RULE_DRAINS, "late");
    expect![[r#"{"rule":"3 drains","what":"late"}"#]].assert_eq(&serde_json::to_string(&violation).unwrap());
}
