//! The operator's example files under deploy/control.

use std::path::{Path, PathBuf};

use pondlb_control_net::{Role, ServerOptions};

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/control").join(name)
}

fn read(name: &str) -> ServerOptions {
    ServerOptions::from_file(&example(name)).unwrap_or_else(|faults| panic!("{name}: {faults:?}"))
}

#[test]
fn the_origin_holds_the_records_of_its_file() {
    let origin = read("origin.toml");
    let store = origin.initial_store().expect("its records can be committed");
    assert_eq!(store.len(), 4);
    assert!(matches!(origin.role, Role::Origin { commit_address: Some(_), .. }));
}

#[test]
fn the_replica_server_follows_the_origin_and_has_its_memory() {
    let (origin, replica) = (read("origin.toml"), read("replica-server.toml"));
    let Role::Replica { servers: follow, .. } = replica.role else { panic!("it follows nobody") };
    assert_eq!(follow, [origin.listen_address]);
    assert_eq!(replica.memory_limit_mib, origin.memory_limit_mib);
}
