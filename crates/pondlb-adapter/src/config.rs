//! The first message of an instance. Keys that are not named here are skipped, known or not.

use pondlb::{ColdTerms, Effect, Scheme, Scope, Tenant, Terms, floor_from_ns};
use serde::Deserialize;

use crate::wire::{Fault, Reading};

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Config {
    balancers: u32,
    self_index: u32,
    schemes: Vec<WireScheme>,
    discovery: Discovery,
    excess_value: f64,
    #[serde(default)]
    extra: Extra,
    limits: Limits,
    my_zone: u32,
    reporting: Reporting,
    rules: Rules,
    #[serde(default)]
    realms: Vec<Realm>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireScheme {
    sla_time_ns: u64,
    effect: WireEffect,
    dedup_scope: Option<WireScope>,
    key_ttl_ns: Option<u64>,
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
    max_postings: u32,
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

pub fn decode(json: &str) -> Result<(Terms, Reading), Fault> {
    let config: Config = serde_json::from_str(json).map_err(|e| format!("Config: {e}"))?;
    let place = |name| config.reporting.fields.iter().position(|f| f == name);
    let schemes = config.schemes.len() as u32;
    if schemes == 0 {
        return Err("Config: Schemes is empty".into());
    }
    let reading = Reading { held: place("rif"), service: place("lat_ms"), schemes };
    let schemes: Result<_, Fault> = config.schemes.into_iter().map(scheme).collect();
    let (limits, rules) = (config.limits, config.rules);
    let terms = Terms {
        balancers: config.balancers,
        own_number: config.self_index,
        own_zone: config.my_zone,
        must_ask: (config.discovery == Discovery::Ask).then(|| floor_from_ns(rules.must_ask_in_ns)),
        schemes: schemes?,
        tenants: config.realms.iter().map(|r| Tenant { quota: r.quota_rps }).collect(),
        excess_value: config.excess_value,
        warm_keys: config.extra.warm_keys,
        max_postings: limits.max_postings,
        second_copies: limits.second_copies,
        cancelling: limits.cancelling,
        cool_down: limits.retry_after.then(|| floor_from_ns(limits.max_retry_after_ns)),
        cold: ColdTerms {
            share: rules.cold_share,
            warm_within: pondlb::ceil_from_ns(rules.warm_within_ns),
            multiple: rules.fall_multiple,
            window: pondlb::ceil_from_ns(rules.fall_ns),
        },
    };
    Ok((terms, reading))
}

fn scheme(scheme: WireScheme) -> Result<Scheme, Fault> {
    let effect = match scheme.effect {
        WireEffect::Idempotent => Effect::Repeatable,
        WireEffect::AtMostOnce => Effect::OnceOnly,
        WireEffect::Deduplicated => Effect::Referenced {
            scope: match scheme.dedup_scope.ok_or("Config: a deduplicated scheme lacks DedupScope")? {
                WireScope::All => Scope::All,
                WireScope::Zone => Scope::Zone,
                WireScope::Cell => Scope::Cell,
            },
            memory: floor_from_ns(scheme.key_ttl_ns.ok_or("Config: a deduplicated scheme lacks KeyTtlNs")?),
        },
    };
    Ok(Scheme { sla: floor_from_ns(scheme.sla_time_ns), value: scheme.value, effect })
}
