//! When a run says nothing of the balancers.

use expect_test::expect;

use super::*;

/// A laboratory that gets no processor sends late and lets the fleet's work last too long.
#[test]
fn a_run_whose_sends_or_ticks_came_late_is_void() {
    let mut trace = String::new();
    for (late, count) in [(LATE, 100), (LATE + 1, 1), (LATE + 1, 2), (4 * LATE, 50)] {
        let times = (0..100).map(|n| if n < count { late } else { 300 }).collect();
        trace += &format!("{:?}\n", void_reason(&Ledgers { lateness_us: times, ..Ledgers::default() }));
    }
    trace += &format!("{:?}\n", void_reason(&Ledgers { descriptor_shortages: 3, ..Ledgers::default() }));
    expect![[r#"
        None
        None
        Some("2 of 100 sends and ticks were over 25 ms late")
        Some("50 of 100 sends and ticks were over 25 ms late")
        Some("the laboratory ran out of descriptors, 3 times")
    "#]]
    .assert_eq(&trace);
}
