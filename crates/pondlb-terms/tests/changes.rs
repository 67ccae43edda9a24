//! Changes of the settings in place, by records and by a reloaded file.

use std::fmt::Write;

use expect_test::expect;
use pondlb::ConfigChange;
use pondlb_terms::{AppliedChanges, SettingChange, Settings, check_change};

/// The settings of the file.
const FILE: &str = r#"{"Balancers":3,"SelfIndex":1,"Discovery":"ask","ExcessValue":0.1,"MyZone":0,
"Limits":{"Cancelling":true,"ConnIdleNs":15000000000,"DialTimeoutNs":250000000,"MaxOpen":20000,"MaxPostings":3,
"MaxRetryAfterNs":2000000000,"RetryAfter":true,"SecondCopies":true},"MachineTypes":["m"],"Zones":["z"],
"Reporting":{"Fields":["rif"]},"Rules":{"ColdShare":0.3,"DrainGraceNs":500000000,"FallMultiple":4.0,
"FallNs":2000000000,"MustAskInNs":10000000000,"WarmWithinNs":8900000000},"Realms":[{"QuotaRps":10},{"QuotaRps":20}],
"Schemes":[{"Effect":"idempotent","Name":"s","SlaTimeNs":2500000000,"Value":3.0,"ExpiryNs":3000000000},
{"Effect":"at_most_once","Name":"t","SlaTimeNs":1000000000,"Value":1.0,"ExpiryNs":1000000000}]}"#;

/// Another value for the file's class `t`.
const CLASS_T: &str =
    r#"{"Effect":"idempotent","Name":"t","SlaTimeNs":500000000,"Value":2.0,"ExpiryNs":4000000000}"#;
/// A class that the file does not have.
const CLASS_U: &str = r#"{"Effect":"at_most_once","Name":"u","SlaTimeNs":100000000,"Value":9,"ExpiryNs":1}"#;

fn file_settings() -> Settings {
    Settings::decode(FILE).unwrap()
}

fn change<'a>(key: &'a str, value: &'a str) -> SettingChange<'a> {
    SettingChange { key: key.into(), value: Some(value.into()) }
}

fn removal(key: &str) -> SettingChange<'_> {
    SettingChange { key: key.into(), value: None }
}

fn describe(applied: &AppliedChanges) -> String {
    let classes: Vec<_> = applied.class_indexes.iter().map(|class| (&class.name, class.index)).collect();
    let mut text = format!("{} changed, classes {classes:?}\n", applied.changed_count);
    for change in &applied.config_changes {
        match change {
            ConfigChange::Class { index, class } => writeln!(text, "class {index}: {class:?}").unwrap(),
            ConfigChange::Tenant { index, tenant } => writeln!(text, "tenant {index}: {tenant:?}").unwrap(),
            ConfigChange::Limits(limits) => writeln!(text, "{limits:?}").unwrap(),
        }
    }
    text
}

#[test]
fn class_records_add_change_and_remove_classes_and_indices_are_reused() {
    let mut settings = file_settings();
    let mut trace = String::new();
    for changes in [
        vec![change("class/t", CLASS_T)],
        vec![change("class/t", CLASS_T)],
        vec![removal("class/s")],
        vec![change("class/u", CLASS_U), removal("class/unknown")],
    ] {
        trace += &describe(&settings.apply_records(&changes).unwrap());
        writeln!(trace, "max deadline {:?}", settings.connection_limits().max_deadline).unwrap();
    }
    expect![[r#"
        1 changed, classes [("t", Some(1))]
        class 1: Some(Class { sla_time: 5000, value: 2.0, effect: Idempotent })
        max deadline Some(40000)
        0 changed, classes []
        max deadline Some(40000)
        1 changed, classes [("s", None)]
        class 0: None
        max deadline Some(40000)
        1 changed, classes [("u", Some(0))]
        class 0: Some(Class { sla_time: 1000, value: 9.0, effect: NonIdempotent })
        max deadline Some(40000)
    "#]]
    .assert_eq(&trace);
}

#[test]
fn tenant_records_add_change_and_remove_tenants() {
    let mut settings = file_settings();
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
    .assert_eq(&describe(&settings.apply_records(&changes).unwrap()));
}

#[test]
fn removing_a_limit_record_restores_the_value_of_the_file() {
    let mut settings = file_settings();
    let mut trace = String::new();
    for changes in [
        vec![change("limit/Limits.MaxPostings", "2"), change("limit/ExcessValue", "0.5")],
        vec![change("limit/Limits.MaxOpen", "7"), change("limit/Rules.DrainGraceNs", "0")],
        vec![removal("limit/Limits.MaxPostings"), change("limit/Limits.RetryAfter", "false")],
        vec![removal("limit/Limits.MaxOpen"), removal("limit/ExcessValue")],
    ] {
        trace += &describe(&settings.apply_records(&changes).unwrap());
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
fn faulty_change_is_named_by_its_key_and_rejects_all_changes_with_it() {
    let faulty_changes = [
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
    for faulty in &faulty_changes {
        let mut settings = file_settings();
        let before = describe(&settings.apply_records(&[]).unwrap());
        let error =
            settings.apply_records(&[change("tenant/1", r#"{"QuotaRps":21}"#), faulty.clone()]).unwrap_err();
        // A server that only stores settings reports the same error.
        assert_eq!(check_change(faulty).unwrap_err(), error);
        assert_eq!(
            describe(&settings.apply_file_diff(settings.diff_with_file(&file_settings())).unwrap()),
            before
        );
        writeln!(trace, "{error}").unwrap();
    }
    expect![[r#"
        class/t: missing field `SlaTimeNs` at line 1 column 44
        class/t: Effect: unknown variant `harmless`, expected one of `idempotent`, `deduplicated`, `at_most_once` at line 1 column 20
        class/t.DedupScope is missing, though the scheme is deduplicated
        class/t.Value: -2: 0 to 179769313486231570000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000 are accepted
        class/t.LateValue: 2: 0 to 1 are accepted
        class/t.Name: "u": must equal the name in the key
        class/t: EOF while parsing an object at line 1 column 1
        tenant/0: invalid type: integer `5`, expected a JSON object at line 1 column 1
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
fn removing_the_last_class_is_refused() {
    let mut settings = file_settings();
    let all_at_once = settings.apply_records(&[removal("class/s"), removal("class/t")]).unwrap_err();
    settings.apply_records(&[removal("class/s"), removal("class/t"), change("class/u", CLASS_U)]).unwrap();
    let last = settings.apply_records(&[removal("class/u")]).unwrap_err();
    assert_eq!([all_at_once, last], ["Schemes is empty", "Schemes is empty"]);
}

#[test]
fn reloaded_file_applies_its_differences_and_names_keys_that_take_a_restart() {
    let mut settings = file_settings();
    let mut trace = String::new();
    let texts = [
        FILE.to_string(),
        FILE.replace(r#""Value":3.0"#, r#""Value":4.0"#).replace(r#""MaxOpen":20000"#, r#""MaxOpen":9"#),
        FILE.replace(r#""Name":"t""#, r#""Name":"new""#).replace(r#",{"QuotaRps":20}"#, ""),
        FILE.replace(r#""SelfIndex":1"#, r#""SelfIndex":2"#).replace(r#"["z"]"#, r#"["z","y"]"#),
    ];
    for text in texts {
        let diff = settings.diff_with_file(&Settings::decode(&text).unwrap());
        writeln!(trace, "{:?} take a restart", diff.restart_keys).unwrap();
        trace += &describe(&settings.apply_file_diff(diff).unwrap());
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
fn reloaded_file_does_not_change_what_a_record_has_set_or_removed() {
    let mut settings = file_settings();
    let records = [
        change("class/t", CLASS_T),
        removal("class/s"),
        change("class/u", CLASS_U),
        change("tenant/0", r#"{"QuotaRps":11}"#),
        change("limit/Limits.MaxPostings", "2"),
    ];
    settings.apply_records(&records).unwrap();
    let mut trace = String::new();
    let changed =
        FILE.replace(r#""QuotaRps":10"#, r#""QuotaRps":12"#).replace(r#""Value":1.0"#, r#""Value":1.5"#);
    let changed = changed.replace(r#""MaxPostings":3"#, r#""MaxPostings":4"#);
    for text in [FILE, &changed] {
        let diff = settings.diff_with_file(&Settings::decode(text).unwrap());
        trace += &describe(&settings.apply_file_diff(diff).unwrap());
    }
    // Without the record, the limit is that of the file that was loaded last.
    trace += &describe(&settings.apply_records(&[removal("limit/Limits.MaxPostings")]).unwrap());
    expect![[r#"
        0 changed, classes []
        0 changed, classes []
        1 changed, classes []
        Limits { over_quota_value: 0.1, attempt_limits: AttemptLimits { max_attempts: 4, hedging: true, cancelling: true }, max_retry_after: Some(20000), drain_grace: 5000, cold_start: ColdStart { initial_capacity_share: 0.3, warm_up_time: 89000, collapse_load_factor: 4.0, collapse_window: 20000 } }
    "#]].assert_eq(&trace);
}

#[test]
fn cost_of_a_change_does_not_grow_with_the_number_of_tenants() {
    let tenants = vec![r#"{"QuotaRps":10}"#; 63_000].join(",");
    let file = FILE.replace(r#"{"QuotaRps":10},{"QuotaRps":20}"#, &tenants);
    let mut settings = Settings::decode(&file).unwrap();
    let start = std::time::Instant::now();
    for n in 0..1000 {
        let (key, value) = (format!("tenant/{n}"), format!(r#"{{"QuotaRps":{n}}}"#));
        settings.apply_records(&[change(&key, &value)]).unwrap();
    }
    // If each change copied all tenants, this would take minutes.
    assert!(start.elapsed().as_secs() < 5, "{:?}", start.elapsed());
}
