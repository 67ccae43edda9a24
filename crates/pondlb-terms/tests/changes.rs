//! Settings that change in place, by records and by a file read anew.

use std::fmt::Write;

use expect_test::expect;
use pondlb::ConfigChange;
use pondlb_terms::{AppliedChanges, SettingChange, Settings, check_change};

const FILE: &str = r#"{"Balancers":3,"SelfIndex":1,"Discovery":"ask","ExcessValue":0.1,"MyZone":0,
"Limits":{"Cancelling":true,"ConnIdleNs":15000000000,"DialTimeoutNs":250000000,"MaxOpen":20000,"MaxPostings":3,
"MaxRetryAfterNs":2000000000,"RetryAfter":true,"SecondCopies":true},"MachineTypes":["m"],"Zones":["z"],
"Reporting":{"Fields":["rif"]},"Rules":{"ColdShare":0.3,"DrainGraceNs":500000000,"FallMultiple":4.0,
"FallNs":2000000000,"MustAskInNs":10000000000,"WarmWithinNs":8900000000},"Realms":[{"QuotaRps":10},{"QuotaRps":20}],
"Schemes":[{"Effect":"idempotent","Name":"s","SlaTimeNs":2500000000,"Value":3.0,"ExpiryNs":3000000000},
{"Effect":"at_most_once","Name":"t","SlaTimeNs":1000000000,"Value":1.0,"ExpiryNs":1000000000}]}"#;

const CLASS_T: &str =
    r#"{"Effect":"idempotent","Name":"t","SlaTimeNs":500000000,"Value":2.0,"ExpiryNs":4000000000}"#;
const CLASS_U: &str = r#"{"Effect":"at_most_once","Name":"u","SlaTimeNs":100000000,"Value":9,"ExpiryNs":1}"#;

fn settings() -> Settings {
    Settings::decode(FILE).unwrap()
}

fn change<'a>(key: &'a str, value: &'a str) -> SettingChange<'a> {
    SettingChange { key: key.into(), value: Some(value.into()) }
}

fn removal(key: &str) -> SettingChange<'_> {
    SettingChange { key: key.into(), value: None }
}

fn told(applied: &AppliedChanges) -> String {
    let mut text = format!("{} changed, classes {:?}\n", applied.changed_count, applied.class_indices);
    for change in &applied.config_changes {
        match change {
            ConfigChange::Class { index: number, class } => {
                writeln!(text, "class {number}: {class:?}").unwrap()
            }
            ConfigChange::Tenant { index: number, tenant } => {
                writeln!(text, "tenant {number}: {tenant:?}").unwrap()
            }
            ConfigChange::Limits(limits) => writeln!(text, "{limits:?}").unwrap(),
        }
    }
    text
}

#[test]
fn classes_change_come_and_go_and_their_numbers_are_used_again() {
    let mut settings = settings();
    let mut trace = String::new();
    for changes in [
        vec![change("class/t", CLASS_T)],
        vec![change("class/t", CLASS_T)],
        vec![removal("class/s")],
        vec![change("class/u", CLASS_U), removal("class/unknown")],
    ] {
        trace += &told(&settings.apply_records(&changes).unwrap());
        writeln!(trace, "expiry {:?}", settings.connection_limits().max_deadline).unwrap();
    }
    expect![[r#"
        1 changed, classes [("t", Some(1))]
        class 1: Some(Class { sla_time: 5000, value: 2.0, effect: Idempotent })
        expiry Some(40000)
        0 changed, classes []
        expiry Some(40000)
        1 changed, classes [("s", None)]
        class 0: None
        expiry Some(40000)
        1 changed, classes [("u", Some(0))]
        class 0: Some(Class { sla_time: 1000, value: 9.0, effect: NonIdempotent })
        expiry Some(40000)
    "#]]
    .assert_eq(&trace);
}

#[test]
fn tenants_change_come_and_go() {
    let mut settings = settings();
    let changes = [
        change("tenant/1", r#"{"QuotaRps":21}"#),
        removal("tenant/0"),
        change("tenant/shop", r#"{"QuotaRps":5.5}"#),
        change("tenant/bank", r#"{"QuotaRps":7}"#),
    ];
    expect![[r#"
        4 changed, classes []
        tenant 1: Some(Tenant { quota_rps: 21.0 })
        tenant 0: None
        tenant 0: Some(Tenant { quota_rps: 5.5 })
        tenant 2: Some(Tenant { quota_rps: 7.0 })
    "#]]
    .assert_eq(&told(&settings.apply_records(&changes).unwrap()));
}

#[test]
fn limits_change_and_go_back_to_what_the_file_says() {
    let mut settings = settings();
    let mut trace = String::new();
    for changes in [
        vec![change("limit/Limits.MaxPostings", "2"), change("limit/ExcessValue", "0.5")],
        vec![change("limit/Limits.MaxOpen", "7"), change("limit/Rules.DrainGraceNs", "0")],
        vec![removal("limit/Limits.MaxPostings"), change("limit/Limits.RetryAfter", "false")],
        vec![removal("limit/Limits.MaxOpen"), removal("limit/ExcessValue")],
    ] {
        trace += &told(&settings.apply_records(&changes).unwrap());
        writeln!(trace, "{:?}", settings.connection_limits()).unwrap();
    }
    expect![[r#"
        2 changed, classes []
        Limits { over_quota_value: 0.5, attempt_limits: AttemptLimits { max_attempts: 2, hedging: true, cancelling: true }, max_retry_after: Some(20000), drain_grace: 5000, cold_start: ColdStart { initial_capacity_share: 0.3, warm_up_time: 89000, collapse_load_factor: 4.0, collapse_window: 20000 } }
        ConnectionLimits { connect_timeout: 2500, upstream_idle_timeout: 150000, drain_grace: 5000, max_open_requests: 20000, max_deadline: Some(30000) }
        2 changed, classes []
        Limits { over_quota_value: 0.5, attempt_limits: AttemptLimits { max_attempts: 2, hedging: true, cancelling: true }, max_retry_after: Some(20000), drain_grace: 0, cold_start: ColdStart { initial_capacity_share: 0.3, warm_up_time: 89000, collapse_load_factor: 4.0, collapse_window: 20000 } }
        ConnectionLimits { connect_timeout: 2500, upstream_idle_timeout: 150000, drain_grace: 0, max_open_requests: 7, max_deadline: Some(30000) }
        2 changed, classes []
        Limits { over_quota_value: 0.5, attempt_limits: AttemptLimits { max_attempts: 3, hedging: true, cancelling: true }, max_retry_after: None, drain_grace: 0, cold_start: ColdStart { initial_capacity_share: 0.3, warm_up_time: 89000, collapse_load_factor: 4.0, collapse_window: 20000 } }
        ConnectionLimits { connect_timeout: 2500, upstream_idle_timeout: 150000, drain_grace: 0, max_open_requests: 7, max_deadline: Some(30000) }
        2 changed, classes []
        Limits { over_quota_value: 0.1, attempt_limits: AttemptLimits { max_attempts: 3, hedging: true, cancelling: true }, max_retry_after: None, drain_grace: 0, cold_start: ColdStart { initial_capacity_share: 0.3, warm_up_time: 89000, collapse_load_factor: 4.0, collapse_window: 20000 } }
        ConnectionLimits { connect_timeout: 2500, upstream_idle_timeout: 150000, drain_grace: 0, max_open_requests: 20000, max_deadline: Some(30000) }
    "#]].assert_eq(&trace);
}

#[test]
fn a_faulty_change_is_named_by_its_key_and_nothing_of_what_came_with_it_is_taken() {
    let faults = [
        change("class/t", r#"{"Effect":"idempotent","Name":"t","Value":2}"#),
        change("class/t", r#"{"Effect":"harmless","Name":"t","SlaTimeNs":1,"Value":2}"#),
        change("class/t", r#"{"Effect":"deduplicated","Name":"t","SlaTimeNs":1,"Value":2}"#),
        change("class/t", r#"{"Effect":"idempotent","Name":"t","SlaTimeNs":1,"Value":-2}"#),
        change("class/t", r#"{"Effect":"idempotent","Name":"t","SlaTimeNs":1,"Value":2,"LateValue":2}"#),
        change("class/t", CLASS_U),
        change("class/t", "{"),
        change("tenant/0", "5"),
        change("tenant/0", r#"{"QuotaRps":-5}"#),
        change("limit/Limits.MaxPostings", "0"),
        change("limit/Limits.MaxPostings", "-1"),
        change("limit/Limits.MaxPostings", "[2]"),
        change("limit/Limits.Cancelling", "1"),
        change("limit/ExcessValue", "1.5"),
        change("limit/Rules.FallNs", "1.5"),
        change("limit/Limits.Probing", "true"),
        change("limit/Limits", "{}"),
        removal("limit/SelfIndex"),
        change("unknown/x", "1"),
    ];
    let mut trace = String::new();
    for faulty in &faults {
        let mut settings = settings();
        let before = told(&settings.apply_records(&[]).unwrap());
        let fault =
            settings.apply_records(&[change("tenant/1", r#"{"QuotaRps":21}"#), faulty.clone()]).unwrap_err();
        // Whoever only keeps settings finds the same fault.
        assert_eq!(check_change(faulty).unwrap_err(), fault);
        assert_eq!(
            told(&settings.apply_file_diff(settings.diff_with_file(&self::settings())).unwrap()),
            before
        );
        writeln!(trace, "{fault}").unwrap();
    }
    expect![[r#"
        class/t: missing field `SlaTimeNs` at line 1 column 44
        class/t: Effect: unknown variant `harmless`, expected one of `idempotent`, `deduplicated`, `at_most_once` at line 1 column 20
        class/t.DedupScope is missing, though the scheme is deduplicated
        class/t.Value: -2: 0 to 179769313486231570000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000 are accepted
        class/t.LateValue: 2: 0 to 1 are accepted
        class/t.Name: "u": the name in the key is accepted
        class/t: EOF while parsing an object at line 1 column 1
        tenant/0: invalid type: integer `5`, expected struct Realm at line 1 column 1
        tenant/0.QuotaRps: -5: 0 to 179769313486231570000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000 are accepted
        Limits.MaxPostings: 0: 1 to 4294967295 are accepted
        Limits.MaxPostings: invalid value: integer `-1`, expected u32
        Limits.MaxPostings: invalid type: sequence, expected u32
        Limits.Cancelling: invalid type: integer `1`, expected a boolean
        ExcessValue: 1.5: 0 to 1 are accepted
        Rules.FallNs: invalid type: floating point `1.5`, expected u64
        Limits.Probing: the change takes a restart
        Limits: the change takes a restart
        SelfIndex: the change takes a restart
        unknown/x: class/NAME, tenant/NAME and limit/PATH are accepted
    "#]].assert_eq(&trace);
}

#[test]
fn the_last_class_stays() {
    let mut settings = settings();
    let fault = settings.apply_records(&[removal("class/s"), removal("class/t")]).unwrap_err();
    settings.apply_records(&[removal("class/s"), removal("class/t"), change("class/u", CLASS_U)]).unwrap();
    let last = settings.apply_records(&[removal("class/u")]).unwrap_err();
    assert_eq!([fault, last], ["Schemes is empty", "Schemes is empty"]);
}

#[test]
fn a_file_read_anew_changes_what_differs_and_names_what_takes_a_restart() {
    let mut settings = settings();
    let mut trace = String::new();
    let texts = [
        FILE.to_string(),
        FILE.replace(r#""Value":3.0"#, r#""Value":4.0"#).replace(r#""MaxOpen":20000"#, r#""MaxOpen":9"#),
        FILE.replace(r#""Name":"t""#, r#""Name":"new""#).replace(r#",{"QuotaRps":20}"#, ""),
        FILE.replace(r#""SelfIndex":1"#, r#""SelfIndex":2"#).replace(r#"["z"]"#, r#"["z","y"]"#),
    ];
    for text in texts {
        let difference = settings.diff_with_file(&Settings::decode(&text).unwrap());
        writeln!(trace, "{:?} take a restart", difference.restart_keys).unwrap();
        trace += &told(&settings.apply_file_diff(difference).unwrap());
    }
    expect![[r#"
        [] take a restart
        0 changed, classes []
        [] take a restart
        2 changed, classes [("s", Some(0))]
        class 0: Some(Class { sla_time: 25000, value: 4.0, effect: Idempotent })
        [] take a restart
        5 changed, classes [("t", None), ("new", Some(1)), ("s", Some(0))]
        class 1: None
        class 1: Some(Class { sla_time: 10000, value: 1.0, effect: NonIdempotent })
        class 0: Some(Class { sla_time: 25000, value: 3.0, effect: Idempotent })
        tenant 1: None
        ["SelfIndex", "Zones"] take a restart
        3 changed, classes [("new", None), ("t", Some(1))]
        class 1: None
        class 1: Some(Class { sla_time: 10000, value: 1.0, effect: NonIdempotent })
        tenant 1: Some(Tenant { quota_rps: 20.0 })
    "#]]
    .assert_eq(&trace);
}

#[test]
fn a_file_changes_nothing_that_a_record_has_set_or_removed() {
    let mut settings = settings();
    let records = [
        change("class/t", CLASS_T),
        removal("class/s"),
        change("class/u", CLASS_U),
        change("tenant/0", r#"{"QuotaRps":11}"#),
        change("limit/Limits.MaxPostings", "2"),
    ];
    settings.apply_records(&records).unwrap();
    let mut trace = String::new();
    let text =
        FILE.replace(r#""QuotaRps":10"#, r#""QuotaRps":12"#).replace(r#""Value":1.0"#, r#""Value":1.5"#);
    let text = text.replace(r#""MaxPostings":3"#, r#""MaxPostings":4"#);
    for text in [FILE, &text] {
        let difference = settings.diff_with_file(&Settings::decode(text).unwrap());
        trace += &told(&settings.apply_file_diff(difference).unwrap());
    }
    // Without the record, the limit is as the file read last says.
    trace += &told(&settings.apply_records(&[removal("limit/Limits.MaxPostings")]).unwrap());
    expect![[r#"
        0 changed, classes []
        0 changed, classes []
        1 changed, classes []
        Limits { over_quota_value: 0.1, attempt_limits: AttemptLimits { max_attempts: 4, hedging: true, cancelling: true }, max_retry_after: Some(20000), drain_grace: 5000, cold_start: ColdStart { initial_capacity_share: 0.3, warm_up_time: 89000, collapse_load_factor: 4.0, collapse_window: 20000 } }
    "#]].assert_eq(&trace);
}

#[test]
fn one_change_among_many_tenants_costs_no_more_than_among_few() {
    let tenants = vec![r#"{"QuotaRps":10}"#; 63_000].join(",");
    let text = FILE.replace(r#"{"QuotaRps":10},{"QuotaRps":20}"#, &tenants);
    let mut settings = Settings::decode(&text).unwrap();
    let start = std::time::Instant::now();
    for n in 0..1000 {
        let (key, value) = (format!("tenant/{n}"), format!(r#"{{"QuotaRps":{n}}}"#));
        settings.apply_records(&[change(&key, &value)]).unwrap();
    }
    // With a copy of all for each it would be minutes.
    assert!(start.elapsed().as_secs() < 5, "{:?}", start.elapsed());
}
