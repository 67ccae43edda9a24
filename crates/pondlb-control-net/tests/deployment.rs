//! The example files for operators in deploy/control.

use std::path::{Path, PathBuf};

use pondlb_control_net::{Role, ServerOptions};

/// The path of an example file.
fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/control").join(name)
}

/// Reads an example options file.
fn read(name: &str) -> ServerOptions {
    ServerOptions::from_file(&example(name)).unwrap_or_else(|errors| panic!("{name}: {errors:?}"))
}

#[test]
fn origin_example_contains_its_initial_records() {
    let origin = read("origin.toml");
    let store = origin.initial_store().expect("valid initial records");
    assert_eq!(store.len(), 4);
    assert!(matches!(origin.role, Role::Origin { commit_address: Some(_), .. }));
}

#[test]
fn replica_server_example_follows_the_origin_with_equal_memory() {
    let (origin, replica) = (read("origin.toml"), read("replica-server.toml"));
    let Role::Replica { servers, .. } = replica.role else { panic!("the role is not replica server") };
    assert_eq!(servers, [origin.listen_address]);
    assert_eq!(replica.memory_limit_mib, origin.memory_limit_mib);
}
