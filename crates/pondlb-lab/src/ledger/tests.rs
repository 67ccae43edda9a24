//! The field names of the ledgers file (`--ledgers`), which tools outside this repository read.

use expect_test::expect;

use super::*;

#[test]
fn ledgers_are_written_under_their_published_field_names() {
    let ledgers = Ledgers {
        requests: vec![ClientRequest::default()],
        attempts: vec![UpstreamAttempt::default()],
        drain_notices: vec![DrainNotice { balancer: 0, upstream: 0, incarnation: 0, at_us: 0 }],
        upstream_starts: vec![UpstreamStart { upstream: 0, at_us: 0 }],
        crashes: vec![BalancerCrash { balancer: 0, at_us: 0, status: String::new() }],
        ..Ledgers::default()
    };
    expect![[r#"
        {
          "asked": [
            {
              "id": "",
              "scheme": 0,
              "balancer": 0,
              "intended": 0,
              "sent": null,
              "answered": null,
              "status": 0,
              "body": "",
              "answers": 0,
              "killed": false
            }
          ],
          "runs": [
            {
              "id": "",
              "upstream": 0,
              "life": 0,
              "balancer": 0,
              "first_byte": 0,
              "last_byte": 0,
              "work": 0,
              "began": null,
              "ended": null,
              "answer": null
            }
          ],
          "told": [
            {
              "balancer": 0,
              "upstream": 0,
              "life": 0,
              "at": 0
            }
          ],
          "boots": [
            {
              "upstream": 0,
              "at": 0
            }
          ],
          "crashes": [
            {
              "balancer": 0,
              "at": 0,
              "status": ""
            }
          ],
          "probes": [],
          "late": [],
          "short": 0
        }"#]]
    .assert_eq(&serde_json::to_string_pretty(&ledgers).unwrap());
}
