use super::*;

#[test]
fn roles_keep_their_names_in_the_text_and_the_json_of_the_report() {
    let roles = [
        (Role::Origin, "Origin", "\"origin\""),
        (Role::ReplicaServer, "ReplicaServer", "\"replica_server\""),
        (Role::RealBalancer, "RealBalancer", "\"real_balancer\""),
        (Role::HollowProcess, "HollowProcess", "\"hollow_process\""),
        (Role::Laboratory, "Laboratory", "\"laboratory\""),
    ];
    for (role, label, json) in roles {
        assert_eq!(role.label(), label);
        assert_eq!(serde_json::to_string(&role).unwrap(), json);
    }
}
