//! When a difference between two builds counts as seen.

use expect_test::expect;

use super::*;
use crate::run::Figures;

fn report(p99: f64, void: bool) -> Report {
    let figures = Figures { name: "s".into(), asked: 100, in_time: 90, p99, ..Figures::default() };
    let void = void.then(|| "late".into());
    Report {
        void,
        broken: Vec::new(),
        classes: vec![figures],
        attempts: 110,
        probes: 0,
        times: Default::default(),
    }
}

#[test]
fn a_difference_is_seen_only_where_the_spread_leaves_out_zero() {
    let scenario = Scenario::parse(include_str!("../../../../lab/first.toml")).unwrap();
    let scenario = Scenario { classes: scenario.classes[..1].to_vec(), ..scenario };
    let mut trace = String::new();
    for sides in
        [vec![(10.0, 20.0)], vec![(10.0, 20.0), (11.0, 20.0), (9.0, 21.0)], vec![(10.0, 9.0), (11.0, 14.0)]]
    {
        let pair = |(n, (a, b)): (usize, &(f64, f64))| Pair { a: report(*a, false), b: report(*b, n == 3) };
        let pairs: Vec<Pair> = sides.iter().chain([&(1.0, 900.0)]).enumerate().map(pair).collect();
        let pairs = if sides.len() == 3 { pairs } else { pairs.into_iter().take(sides.len()).collect() };
        let found = differences(&scenario, &pairs);
        trace += &table(&found[2..3], &pairs);
    }
    expect![[r#"
        figure                         a         b   b less a    spread
        browse, p99 ms            10.000    20.000    +10.000       inf  no difference seen
        1 pairs, 0 of them void and left out
        broken rules: 0 with a, 0 with b
        figure                         a         b   b less a    spread
        browse, p99 ms            10.000    20.333    +10.333     3.795
        4 pairs, 1 of them void and left out
        broken rules: 0 with a, 0 with b
        figure                         a         b   b less a    spread
        browse, p99 ms            10.500    11.500     +1.000    25.412  no difference seen
        2 pairs, 0 of them void and left out
        broken rules: 0 with a, 0 with b
    "#]]
    .assert_eq(&trace);
}
