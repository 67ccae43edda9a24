//! The field names of the result as JSON (`--json`), which tools outside this repository read.

use expect_test::expect;

use super::*;

#[test]
fn a_report_is_serialized_under_its_published_field_names() {
    let report = Report {
        void: None,
        violations: Vec::new(),
        classes: vec![ClassFigures::default()],
        attempts: 0,
        probes: 0,
        timeline: Timeline::default(),
    };
    expect![[r#"
        {
          "void": null,
          "broken": [],
          "schemes": [
            {
              "name": "",
              "asked": 0,
              "settled": 0,
              "declined": 0,
              "reversed": 0,
              "unanswered": 0,
              "in_time": 0,
              "p50": 0.0,
              "p99": 0.0
            }
          ],
          "postings": 0,
          "probes": 0,
          "times": {
            "outcomes": [],
            "latency": [],
            "postings": []
          }
        }"#]]
    .assert_eq(&serde_json::to_string_pretty(&report).unwrap());
}
