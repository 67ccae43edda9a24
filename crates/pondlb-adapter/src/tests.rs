//! The line protocol: lines that are read and written, and the errors for faulty ones.

use expect_test::{Expect, expect};

const CONFIG: &str = r#"{"Balancers":1,"SelfIndex":0,"Discovery":"push","ExcessValue":0.1,"MyZone":0,"Unknown":[1],
"Limits":{"Cancelling":true,"ConnIdleNs":15000000000,"DialTimeoutNs":250000000,"MaxOpen":20000,"MaxPostings":3,
"MaxRetryAfterNs":2000000000,"RetryAfter":true,"SecondCopies":true},"MachineTypes":["m"],"Zones":["z"],
"Reporting":{"Fields":["lat_ms","rif"],"How":"piggyback"},
"Rules":{"ColdShare":0.3,"DrainGraceNs":500000000,"FallMultiple":4.0,"FallNs":2000000000,"WarmWithinNs":8900000000},
"Schemes":[{"Effect":"idempotent","ExpiryNs":6000000000,"LateValue":0.2,"Name":"s",
"SlaTimeNs":2500000000,"Value":3.0}]}"#;

/// Runs the adapter with these batches as input, and compares its output and result. The lines around each batch are added
/// here, and a line `UP` becomes the start of instance 3 with the settings above.
fn expect_output(batches: &[&str], expect: Expect) {
    let mut input = String::new();
    for (n, batch) in batches.iter().enumerate() {
        let up = format!("UP Who=3 Salt=7 Config={}", CONFIG.replace('\n', ""));
        let batch = batch.replace("UP\n", &format!("{up}\n"));
        input +=
            &format!("TICK TimeNs={} serial={n}\n{batch}EOF_BATCH\n", 8_000_000_000 + n as u64 * 5_000_000);
    }
    let mut output = Vec::new();
    let result = crate::run(&mut input.as_bytes(), &mut output);
    expect.assert_eq(&format!("{}{result:?}", String::from_utf8_lossy(&output)));
}

/// A list of one upstream, given to instance 3.
const LIST: &str = "LEDGER Page=0 Members=1\nM Area=0 Upstream=up-a Pod=0 Size=1.5 Hw=0 StageState=live\n\
                    VIEW Page=0 Who=3 Form=warm_copy Serial=41\n";

#[test]
fn accepts_fields_in_any_order_and_skips_unknown_ones() {
    let knock =
        "KNOCK WorkNs=12000000 New=x GraceNs=240000000 PathKey=91f03b7c55d20a64 Priority=0 OpId=r1 Who=3\n";
    expect_output(
        &[
            &format!("UP\n{LIST}{knock}"),
            "REPLY Settled=1 Rc=0 Who=3 OpId=r1 Go=0 Upstream=up-a DurationNs=5000000 HealthInfo=14.5,7\n",
        ],
        expect![[r#"
            DISPATCH Who=3 OpId=r1 Upstream=up-a
            TIMER Who=3 Token=wake SleepForNs=240000000
            OK serial=0
            OK serial=1
            Ok(())"#]],
    );
}

#[test]
fn parses_every_event() {
    let rest = "FIRST_BYTE Who=3 OpId=r Go=0 Upstream=up-a DurationNs=1\nHEARD Who=3 OriginPeer=1 Blob=aGkgNw==\n\
                HEARD Who=3 OriginPeer=1 Blob=-\nHEALTH Who=3 Upstream=up-a Rc=14 DurationNs=9\n\
                ELAPSED Who=3 Token=wake\nABORTED Who=3 OpId=r\nVIEW Who=3 Form=lost Serial=41\n";
    expect_output(
        &[&format!("UP\n{LIST}{rest}")],
        expect![[r#"
            OK serial=0
            Ok(())"#]],
    );
}

#[test]
fn list_update_uses_the_latest_ledger_before_it_when_a_page_is_reused() {
    let knock = "KNOCK Who=3 OpId=r1 Priority=0 GraceNs=240000000\n";
    let other = LIST.replace("up-a", "up-b").replace("warm_copy", "total");
    expect_output(
        &[&format!("UP\n{LIST}{other}{knock}")],
        expect![[r#"
        DISPATCH Who=3 OpId=r1 Upstream=up-b
        TIMER Who=3 Token=wake SleepForNs=240000000
        OK serial=0
        Ok(())"#]],
    );
}

#[test]
fn restart_within_a_batch_drops_the_events_of_the_stopped_instance() {
    let knock = |id| format!("KNOCK Who=3 OpId={id} Priority=0 GraceNs=240000000\n");
    let batch = format!("{}POWER_OFF Who=3\nUP\n{LIST}{}", knock("old"), knock("new"));
    expect_output(
        &[&format!("UP\n{LIST}"), &batch, "POWER_OFF Who=3\n", ""],
        expect![[r#"
            OK serial=0
            DISPATCH Who=3 OpId=new Upstream=up-a
            TIMER Who=3 Token=wake SleepForNs=240000000
            OK serial=1
            OK serial=2
            OK serial=3
            Ok(())"#]],
    );
}

#[test]
fn errors_name_the_line_and_the_field() {
    let knock = "KNOCK Who=3 OpId=r1 Priority=9 GraceNs=240000000\n";
    for (batch, expect) in [
        ("KNOCK Who=3 OpId=r1\n", expect![[r#"Err("line 2: instance 3 is not running")"#]]),
        (
            "UP\nKNOCK Who=3 OpId=r1 Priority=0 GraceNs=-5\n",
            expect![[r#"Err("line 3: KNOCK: GraceNs=-5 is invalid")"#]],
        ),
        (
            "UP\nREPLY Who=3 OpId=r Go=0 Upstream=a Rc=77 DurationNs=1\n",
            expect![[r#"Err("line 3: REPLY: Rc=77 is invalid")"#]],
        ),
        (
            "UP\nVIEW Who=3 Form=total Serial=1 Page=16\n",
            expect![[r#"Err("line 3: VIEW: Page=16 is invalid")"#]],
        ),
        (
            "UP\nVIEW Who=3 Form=total Serial=1 Page=5\n",
            expect![[r#"Err("line 3: no LEDGER with Page=5 was received")"#]],
        ),
        (
            "LEDGER Page=0 Members=2\nM Upstream=a Pod=0 Size=x Area=0 StageState=live\n",
            expect![[r#"Err("line 3: M: Size=x is invalid")"#]],
        ),
        ("NOISE Who=3\n", expect![[r#"Err("line 2: \"NOISE\" is not a known kind of line")"#]]),
        (
            "UP Who=3 Salt=7 Config={\"Balancers\":1}\n",
            expect![[r#"Err("line 2: Config: missing field `SelfIndex` at line 1 column 15")"#]],
        ),
        ("UP\nREPLY Who=3\n", expect![[r#"Err("line 3: REPLY: OpId is missing")"#]]),
        ("UP\nVIEW Who=3 Form=total Serial=1\n", expect![[r#"Err("line 3: VIEW: Page is missing")"#]]),
        (
            "UP\nELAPSED Who=3 wake\n",
            expect![[r#"Err("line 3: ELAPSED: \"wake\" is not of the form NAME=VALUE")"#]],
        ),
        (
            "LEDGER Page=0 Members=1\nTICK\n",
            expect![[r#"Err("line 3: an entry of a LEDGER must start with M, not \"TICK\"")"#]],
        ),
        (
            "EOF_BATCH\n",
            expect![[r#"
                OK serial=0
                Err("line 3: a batch must start with TICK, not \"EOF_BATCH\"")"#]],
        ),
        (&format!("UP\n{knock}"), expect![[r#"Err("line 3: KNOCK: Priority=9 is invalid")"#]]),
    ] {
        expect_output(&[batch], expect);
    }
}
