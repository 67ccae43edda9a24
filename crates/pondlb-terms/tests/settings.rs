//! Decoding of the settings of a file, and the errors for faulty ones.

use expect_test::expect;
use pondlb_terms::{Deployment, decode};

const VALID: &str = r#"{"Balancers":3,"SelfIndex":1,"Discovery":"ask","ExcessValue":0.1,"MyZone":0,"New":[1],
"Limits":{"Cancelling":true,"ConnIdleNs":15000000000,"DialTimeoutNs":250000000,"MaxOpen":20000,"MaxPostings":3,
"MaxRetryAfterNs":2000000000,"RetryAfter":true,"SecondCopies":true},"MachineTypes":["m"],"Zones":["z"],
"Reporting":{"Fields":["rif"]},"Rules":{"ColdShare":0.3,"DrainGraceNs":500000099,"FallMultiple":4.0,
"FallNs":2000000001,"MustAskInNs":10000000000,"WarmWithinNs":8900000001},
"Schemes":[{"Effect":"idempotent","Name":"s","SlaTimeNs":2500000099,"Value":3.0},
{"Effect":"deduplicated","DedupScope":"cell","KeyTtlNs":5000000099,"Name":"t","SlaTimeNs":1,"Value":1.0}]}"#;

#[test]
fn times_are_rounded_so_that_no_limit_is_exceeded() {
    let Deployment { balancer_config, connection_limits, .. } = decode(VALID).unwrap();
    let effects: Vec<_> =
        balancer_config.classes.iter().map(|class| (class.sla_time, class.effect)).collect();
    expect![[r#"
        [(25000, Idempotent), (0, Keyed { scope: Cell, key_ttl: 50000 })]
        ColdStart { initial_capacity_share: 0.3, warm_up_time: 89001, collapse_load_factor: 4.0, collapse_window: 20001 }
        ConnectionLimits { connect_timeout: 2500, upstream_idle_timeout: 150000, drain_grace: 5000, max_open_requests: 20000, max_deadline: None }"#]]
    .assert_eq(&format!("{effects:?}\n{:?}\n{connection_limits:?}", balancer_config.cold_start));
}

#[test]
fn decode_errors_name_the_key() {
    let mut errors: Vec<String> = [
        ("\"Balancers\":3,", ""),
        ("\"MaxPostings\":3", "\"MaxPostings\":-3"),
        ("\"FallNs\":2000000001", "\"FallNs\":2.5"),
        ("idempotent", "harmless"),
        ("\"DedupScope\":\"cell\",", ""),
        ("\"KeyTtlNs\":5000000099,", ""),
        ("\"Zones\":[\"z\"]", "\"Zones\":[1]"),
        ("\"Balancers\":3", "\"Balancers\":0"),
        ("\"SelfIndex\":1", "\"SelfIndex\":3"),
        ("\"MyZone\":0", "\"MyZone\":1"),
        ("\"Value\":3.0", "\"LateValue\":1.2,\"Value\":3.0"),
        ("\"ColdShare\":0.3", "\"ColdShare\":1.5"),
        ("\"ExcessValue\":0.1", "\"ExcessValue\":-1"),
        ("\"MustAskInNs\":10000000000", "\"MustAskInNs\":0"),
        ("\"MaxPostings\":3", "\"MaxPostings\":0"),
        ("\"SecondCopies\":true", "\"SecondCopies\":true,\"Probing\":1"),
        ("{\"Fields\":[\"rif\"]}", "5"),
        ("\"Schemes\":[", "\"Schemes\":[5,"),
        ("}]}", "}]"),
        ("}]}", "}]}}"),
    ]
    .into_iter()
    .map(|(from, to)| {
        assert!(VALID.contains(from), "{from}");
        decode(&VALID.replacen(from, to, 1)).unwrap_err()
    })
    .collect();
    errors.push(decode("5").unwrap_err());
    expect![[r#"
        missing field `Balancers` at line 7 column 106
        Limits.MaxPostings: invalid value: integer `-3`, expected u32 at line 2 column 111
        Rules.FallNs: invalid type: floating point `2.5`, expected u64 at line 5 column 12
        Schemes[0].Effect: unknown variant `harmless`, expected one of `idempotent`, `deduplicated`, `at_most_once` at line 6 column 31
        Schemes[1].DedupScope is missing, though the scheme is deduplicated
        Schemes[1].KeyTtlNs is missing, though the scheme is deduplicated
        Zones[0]: invalid type: integer `1`, expected a string at line 3 column 99
        Balancers: 0: 1 to 4294967295 are accepted
        SelfIndex: 3: 0 to 2 are accepted
        MyZone: 1: 0 to 0 are accepted
        Schemes[0].LateValue: 1.2: 0 to 1 are accepted
        Rules.ColdShare: 1.5: 0 to 1 are accepted
        ExcessValue: -1: 0 to 1 are accepted
        Rules.MustAskInNs: 0: 100000000 to 86400000000000 are accepted
        Limits.MaxPostings: 0: 1 to 4294967295 are accepted
        Limits.Probing: invalid type: integer `1`, expected a boolean at line 3 column 78
        Reporting: invalid type: integer `5`, expected a JSON object at line 4 column 13
        Schemes[0]: invalid type: integer `5`, expected a JSON object at line 6 column 12
        EOF while parsing an object at line 7 column 105
        trailing characters at line 7 column 107
        invalid type: integer `5`, expected a JSON object at line 1 column 1"#]].assert_eq(&errors.join("\n"));
}
