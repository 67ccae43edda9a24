//! When a difference between two builds counts as significant.

use expect_test::expect;

use super::*;
use crate::run::ClassFigures;

fn report(p99_ms: f64, is_void: bool) -> Report {
    let figures =
        ClassFigures { name: "s".into(), requests: 100, in_time: 90, p99_ms, ..ClassFigures::default() };
    let void = is_void.then(|| "late".into());
    Report {
        void,
        violations: Vec::new(),
        classes: vec![figures],
        attempts: 110,
        probes: 0,
        timeline: Default::default(),
    }
}

#[test]
fn a_difference_is_significant_only_if_the_confidence_interval_excludes_zero() {
    let scenario = Scenario::parse(include_str!("../../../../lab/first.toml")).unwrap();
    let scenario = Scenario { classes: scenario.classes[..1].to_vec(), ..scenario };
    let mut trace = String::new();
    for sides in
        [vec![(10.0, 20.0)], vec![(10.0, 20.0), (11.0, 20.0), (9.0, 21.0)], vec![(10.0, 9.0), (11.0, 14.0)]]
    {
        let pair = |(n, (a, b)): (usize, &(f64, f64))| Pair { a: report(*a, false), b: report(*b, n == 3) };
        let pairs: Vec<Pair> = sides.iter().chain([&(1.0, 900.0)]).enumerate().map(pair).collect();
        let pairs = if sides.len() == 3 { pairs } else { pairs.into_iter().take(sides.len()).collect() };
        let p99_of_browse = &differences(&scenario, &pairs)[2..3];
        trace += &table(p99_of_browse, &pairs);
    }
    expect![[r#"
        figure                         a         b      b - a    spread
        browse, p99 ms            10.000    20.000    +10.000       inf  not significant
        1 pairs, 0 of them void and left out
        broken rules: 0 with a, 0 with b
        figure                         a         b      b - a    spread
        browse, p99 ms            10.000    20.333    +10.333     3.795
        4 pairs, 1 of them void and left out
        broken rules: 0 with a, 0 with b
        figure                         a         b      b - a    spread
        browse, p99 ms            10.500    11.500     +1.000    25.412  not significant
        2 pairs, 0 of them void and left out
        broken rules: 0 with a, 0 with b
    "#]]
    .assert_eq(&trace);
}

#[test]
fn a_difference_is_serialized_under_its_published_field_names() {
    let difference =
        Difference { figure: "f".into(), a: 1.0, b: 2.0, mean_difference: 1.0, confidence_radius: 0.5 };
    expect![[r#"{"figure":"f","a":1.0,"b":2.0,"mean":1.0,"spread":0.5}"#]]
        .assert_eq(&serde_json::to_string(&difference).unwrap());
}
