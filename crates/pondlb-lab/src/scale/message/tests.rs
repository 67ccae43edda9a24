use super::*;

/// Asserts that the message has this JSON text, and that it is read back from it.
fn assert_json<T: Serialize + for<'de> Deserialize<'de>>(message: &T, text: &str) {
    assert_eq!(serde_json::to_string(message).unwrap(), text);
    let read_back: T = serde_json::from_str(text).unwrap();
    assert_eq!(serde_json::to_string(&read_back).unwrap(), text);
}

#[test]
fn commands_have_their_json_names() {
    assert_json(&HollowCommand::Restart(3), r#"{"Restart":3}"#);
    assert_json(&HollowCommand::CountServerLoads(4), r#"{"CountServerLoads":4}"#);
    assert_json(&HollowCommand::ReportFinalStates, r#""Tell""#);
}

#[test]
fn reports_have_their_json_names() {
    let counts = ByteCounts {
        at_us: 9,
        balancers: vec![BalancerBytes { balancer: 1, received: 2, sent: 3, server: None }],
    };
    let counts_text = r#"{"at_us":9,"bytes":[{"b":1,"i":2,"o":3}]}"#;
    let in_force = InForce { balancer: 1, revision: 2, at_us: 3 };
    assert_json(&HollowReport::InForce(vec![in_force]), r#"{"InForce":[{"b":1,"r":2,"t":3}]}"#);
    assert_json(&HollowReport::ByteCounts(counts.clone()), &format!(r#"{{"Traffic":{counts_text}}}"#));
    assert_json(&HollowReport::ServerLoads(5, counts), &format!(r#"{{"ServerLoads":[5,{counts_text}]}}"#));
    let violation = HollowReport::OrderViolation { balancer: 1, what: "x".into() };
    assert_json(&violation, r#"{"Misorder":{"balancer":1,"what":"x"}}"#);
    assert_json(&HollowReport::Final(Vec::new()), r#"{"Final":[]}"#);
}
