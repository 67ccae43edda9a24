//! The keys that `explain` lists, read from the configuration page.

use expect_test::expect;

use super::*;

#[test]
fn every_key_of_the_configuration_page_is_listed_with_its_path() {
    let names: Vec<String> = keys().into_iter().map(|(name, _)| name).collect();
    expect![[r#"
        name
        listen
        discovery
        control.servers
        control.hold_ms
        seed
        limits.memory_mb
        limits.sockets
        known
        probe.path
        probe.within_ms
        settings
        Balancers
        SelfIndex
        MyZone
        Zones
        MachineTypes
        Schemes[].Name
        Schemes[].SlaTimeNs
        Schemes[].Value
        Schemes[].Effect
        Schemes[].DedupScope
        Schemes[].KeyTtlNs
        Schemes[].ExpiryNs
        Discovery
        Rules.MustAskInNs
        ExcessValue
        Realms[].QuotaRps
        Extra.WarmKeys
        Limits.MaxPostings
        Limits.SecondCopies
        Limits.Cancelling
        Limits.Probing
        Limits.RetryAfter
        Limits.MaxRetryAfterNs
        Limits.MaxOpen
        Limits.DialTimeoutNs
        Limits.ConnIdleNs
        Rules.DrainGraceNs
        Rules.ColdShare
        Rules.WarmWithinNs
        Rules.FallMultiple
        Rules.FallNs
        Reporting.Fields
    "#]]
    .assert_eq(&(names.join("\n") + "\n"));
}
