//! The plan that a scenario draws, and the errors that are found in a scenario.

use expect_test::expect;

use super::*;

const GOOD: &str = "seed = 1\nseconds = 2.0\nbalancers = 2\n[[upstreams]]\ncount = 2\n[[schemes]]\n\
    name = \"s\"\neffect = \"once-only\"\nsla_ms = 100\nexpiry_ms = 300\nvalue = 1.0\nrate = 2.0\nwork_ms = 5.0\n";

#[test]
fn equal_seeds_draw_equal_plans() {
    let scenario = Scenario::parse(GOOD).unwrap();
    let text = |scenario: &Scenario| {
        scenario
            .plan()
            .iter()
            .map(|planned| serde_json::to_string(planned).unwrap() + "\n")
            .collect::<String>()
    };
    assert_eq!(text(&scenario), text(&scenario));
    assert_ne!(text(&scenario), text(&Scenario { seed: 2, ..scenario.clone() }));
    expect![[r#"
        {"id":"t1-0","at_us":276463,"scheme":0,"balancer":1,"work_us":3292}
        {"id":"t1-1","at_us":637172,"scheme":0,"balancer":0,"work_us":5432}
        {"id":"t1-2","at_us":844290,"scheme":0,"balancer":0,"work_us":6765}
        {"id":"t1-3","at_us":1300721,"scheme":0,"balancer":0,"work_us":2751}
        {"id":"t1-4","at_us":1956730,"scheme":0,"balancer":0,"work_us":6458}
    "#]]
    .assert_eq(&text(&scenario));
}

#[test]
fn each_error_names_its_key() {
    let mut trace = String::new();
    for (from, to) in [
        ("seconds = 2.0", "seconds = -1.0"),
        ("balancers = 2", "balancers = 2000000000"),
        ("count = 2", "count = 0\ncores = 0"),
        ("rate = 2.0", "rate = 1e300"),
        ("rate = 2.0", "rate = nan"),
        ("expiry_ms = 300", "expiry_ms = 30"),
        ("effect = \"once-only\"", "effect = \"often\""),
        ("seed = 1", "seed = 1\nspeed = 3"),
        ("work_ms = 5.0", "work_ms = 5.0\n[[faults]]\nat = 1.0\nkind = \"kill\"\nwhich = 2"),
    ] {
        let errors = Scenario::parse(&GOOD.replacen(from, to, 1)).unwrap_err();
        trace += &format!("{}\n", errors.join("; ").lines().last().unwrap_or_default());
    }
    expect![[r#"
        seconds: -1: must be 0.1 to 600
        balancers: 2000000000: must be 1 to 1024
        upstreams[0].count: 0: must be at least 1; upstreams[0].cores: 0: must be 1 to 256
        schemes[0].rate: 1e300: must be 0 to 100000; schemes: 2e300 txns in total: must be at most 2000000
        schemes[0].rate: NaN: must be 0 to 100000; schemes: NaN txns in total: must be at most 2000000
        schemes[0].expiry_ms: 30: must be at least sla_ms
        unknown variant `often`, expected one of `repeatable`, `referenced`, `once-only`
        unknown field `speed`, expected one of `seed`, `seconds`, `balancers`, `asking`, `least_in_time`, `rules`, `upstreams`, `schemes`, `faults`, `bursts`
        faults[0].which: 2: must be below 2
    "#]]
    .assert_eq(&trace);
}
