//! The settings of a deployment, as both front ends are given them. Keys that are not named here are skipped,
//! known or not.

use pondlb::{ColdTerms, Effect, Lists, Scheme, Scope, Tenant, Tenths, Terms, ceil_from_ns, floor_from_ns};
use serde::Deserialize;

/// What is wrong with the settings, in plain words that name the key.
pub type Fault = String;

/// What a front end needs of the settings: the terms of the decisions, and what the wire is read by.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub terms: Terms,
    pub names: Names,
    /// The values of a load report, in the order in which the simulator lists them.
    pub report: Vec<String>,
    pub links: Links,
}

/// What indices stand for, in their order.
#[derive(Clone, Debug)]
pub struct Names {
    pub schemes: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

/// Limits of the connections to upstreams, and of what may be open at once.
#[derive(Clone, Copy, Debug)]
pub struct Links {
    pub connect_within: Tenths,
    pub idle: Tenths,
    pub drain_grace: Tenths,
    pub most_open: u32,
    /// The longest that a client waits for its answer; none where a scheme does not say.
    pub expiry: Option<Tenths>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Object {
    balancers: u32,
    self_index: u32,
    schemes: Vec<WireScheme>,
    discovery: Discovery,
    excess_value: f64,
    #[serde(default)]
    extra: Extra,
    limits: Limits,
    machine_types: Vec<String>,
    my_zone: u32,
    reporting: Reporting,
    rules: Rules,
    #[serde(default)]
    realms: Vec<Realm>,
    zones: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireScheme {
    sla_time_ns: u64,
    effect: WireEffect,
    dedup_scope: Option<WireScope>,
    expiry_ns: Option<u64>,
    key_ttl_ns: Option<u64>,
    /// Nothing is decided by it, yet who gets it wrong will have got the rest of the scheme wrong too.
    late_value: Option<f64>,
    name: String,
    value: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireEffect {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireScope {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Discovery {
    Push,
    Ask,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct Extra {
    warm_keys: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Limits {
    cancelling: bool,
    conn_idle_ns: u64,
    dial_timeout_ns: u64,
    max_open: u32,
    max_postings: u32,
    #[serde(default)]
    probing: bool,
    max_retry_after_ns: u64,
    retry_after: bool,
    second_copies: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Reporting {
    #[serde(default)]
    fields: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Rules {
    cold_share: f64,
    drain_grace_ns: u64,
    fall_multiple: f64,
    fall_ns: u64,
    #[serde(default)]
    must_ask_in_ns: u64,
    warm_within_ns: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Realm {
    quota_rps: f64,
}

pub fn decode(json: &str) -> Result<Deployment, Fault> {
    let mut reader = serde_json::Deserializer::from_str(json);
    let object: Object = serde_path_to_error::deserialize(&mut reader).map_err(|e| e.to_string())?;
    reader.end().map_err(|e| e.to_string())?;
    if object.schemes.is_empty() {
        return Err("Schemes is empty".into());
    }
    check(&object)?;
    let (limits, rules) = (object.limits, object.rules);
    let names = Names {
        schemes: object.schemes.iter().map(|s| s.name.clone()).collect(),
        zones: object.zones,
        kinds: object.machine_types,
    };
    let expiries: Option<Vec<u64>> = object.schemes.iter().map(|s| s.expiry_ns).collect();
    let schemes: Result<_, Fault> = (0..).zip(object.schemes).map(|(n, s)| scheme(n, s)).collect();
    let terms = Terms {
        balancers: object.balancers,
        own_number: object.self_index,
        own_zone: object.my_zone,
        lists: match object.discovery {
            Discovery::Push => Lists::Unasked,
            Discovery::Ask => Lists::Asked { within: floor_from_ns(rules.must_ask_in_ns) },
        },
        schemes: schemes?,
        tenants: object.realms.iter().map(|r| Tenant { quota: r.quota_rps }).collect(),
        excess_value: object.excess_value,
        warm_keys: object.extra.warm_keys,
        max_postings: limits.max_postings,
        second_copies: limits.second_copies,
        cancelling: limits.cancelling,
        probing: limits.probing,
        cool_down: limits.retry_after.then(|| floor_from_ns(limits.max_retry_after_ns)),
        cold: ColdTerms {
            share: rules.cold_share,
            warm_within: ceil_from_ns(rules.warm_within_ns),
            multiple: rules.fall_multiple,
            window: ceil_from_ns(rules.fall_ns),
        },
    };
    let links = Links {
        connect_within: floor_from_ns(limits.dial_timeout_ns),
        idle: floor_from_ns(limits.conn_idle_ns),
        drain_grace: floor_from_ns(rules.drain_grace_ns),
        most_open: limits.max_open,
        expiry: expiries.and_then(|all| all.into_iter().max()).map(ceil_from_ns),
    };
    Ok(Deployment { terms, names, report: object.reporting.fields, links })
}

/// What can be read and yet can't be true.
fn check(object: &Object) -> Result<(), Fault> {
    let balancers = object.balancers;
    let within = |key: &str, value: f64, least: f64, most: f64| {
        let fault = || format!("{key}: {value}: {least} to {most} are accepted");
        if (least..=most).contains(&value) { Ok(()) } else { Err(fault()) }
    };
    within("Balancers", balancers.into(), 1.0, u32::MAX.into())?;
    within("SelfIndex", object.self_index.into(), 0.0, f64::from(balancers) - 1.0)?;
    within("MyZone", object.my_zone.into(), 0.0, (object.zones.len() as f64 - 1.0).max(0.0))?;
    within("ExcessValue", object.excess_value, 0.0, 1.0)?;
    within("Limits.MaxPostings", object.limits.max_postings.into(), 1.0, u32::MAX.into())?;
    if object.discovery == Discovery::Ask {
        let (least, most) = (100_000_000.0, 86_400_000_000_000.0);
        within("Rules.MustAskInNs", object.rules.must_ask_in_ns as f64, least, most)?;
    }
    within("Rules.ColdShare", object.rules.cold_share, 0.0, 1.0)?;
    within("Rules.FallMultiple", object.rules.fall_multiple, 0.0, f64::MAX)?;
    for (n, scheme) in object.schemes.iter().enumerate() {
        within(&format!("Schemes[{n}].Value"), scheme.value, 0.0, f64::MAX)?;
        within(&format!("Schemes[{n}].LateValue"), scheme.late_value.unwrap_or(0.0), 0.0, 1.0)?;
    }
    for (n, realm) in object.realms.iter().enumerate() {
        within(&format!("Realms[{n}].QuotaRps"), realm.quota_rps, 0.0, f64::MAX)?;
    }
    Ok(())
}

fn scheme(number: usize, scheme: WireScheme) -> Result<Scheme, Fault> {
    let lacks = |key| format!("Schemes[{number}].{key} is missing, though the scheme is deduplicated");
    let effect = match scheme.effect {
        WireEffect::Idempotent => Effect::Repeatable,
        WireEffect::AtMostOnce => Effect::OnceOnly,
        WireEffect::Deduplicated => Effect::Referenced {
            scope: match scheme.dedup_scope.ok_or_else(|| lacks("DedupScope"))? {
                WireScope::All => Scope::All,
                WireScope::Zone => Scope::Zone,
                WireScope::Cell => Scope::Cell,
            },
            memory: floor_from_ns(scheme.key_ttl_ns.ok_or_else(|| lacks("KeyTtlNs"))?),
        },
    };
    Ok(Scheme { sla: floor_from_ns(scheme.sla_time_ns), value: scheme.value, effect })
}

#[cfg(test)]
mod tests {
    use expect_test::expect;

    use super::*;

    const GOOD: &str = r#"{"Balancers":3,"SelfIndex":1,"Discovery":"ask","ExcessValue":0.1,"MyZone":0,"New":[1],
"Limits":{"Cancelling":true,"ConnIdleNs":15000000000,"DialTimeoutNs":250000000,"MaxOpen":20000,"MaxPostings":3,
"MaxRetryAfterNs":2000000000,"RetryAfter":true,"SecondCopies":true},"MachineTypes":["m"],"Zones":["z"],
"Reporting":{"Fields":["rif"]},"Rules":{"ColdShare":0.3,"DrainGraceNs":500000099,"FallMultiple":4.0,
"FallNs":2000000001,"MustAskInNs":10000000000,"WarmWithinNs":8900000001},
"Schemes":[{"Effect":"idempotent","Name":"s","SlaTimeNs":2500000099,"Value":3.0},
{"Effect":"deduplicated","DedupScope":"cell","KeyTtlNs":5000000099,"Name":"t","SlaTimeNs":1,"Value":1.0}]}"#;

    #[test]
    fn limits_are_rounded_so_that_none_is_overrun() {
        let Deployment { terms, links, .. } = decode(GOOD).unwrap();
        let effects: Vec<_> = terms.schemes.iter().map(|s| (s.sla, s.effect)).collect();
        expect![[r#"
            [(25000, Repeatable), (0, Referenced { scope: Cell, memory: 50000 })]
            ColdTerms { share: 0.3, warm_within: 89001, multiple: 4.0, window: 20001 }
            Links { connect_within: 2500, idle: 150000, drain_grace: 5000, most_open: 20000, expiry: None }"#]]
        .assert_eq(&format!("{effects:?}\n{:?}\n{links:?}", terms.cold));
    }

    #[test]
    fn the_key_at_fault_is_named() {
        let made: Vec<String> = [
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
            ("}]}", "}]"),
            ("}]}", "}]}}"),
        ]
        .into_iter()
        .map(|(from, to)| {
            assert!(GOOD.contains(from), "{from}");
            decode(&GOOD.replacen(from, to, 1)).unwrap_err()
        })
        .collect();
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
            EOF while parsing an object at line 7 column 105
            trailing characters at line 7 column 107"#]].assert_eq(&made.join("\n"));
    }
}
