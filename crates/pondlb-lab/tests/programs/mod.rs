//! Builds programs of other packages that tests start.

use std::path::Path;
use std::process::Command;

/// Builds a program of another package, in the profile of this test, and returns its path. Running the tests of this
/// package alone would not build it.
pub fn program(package: &str, name: &str) -> String {
    let lab = Path::new(env!("CARGO_BIN_EXE_pondlb-lab"));
    let mut build = Command::new(env!("CARGO"));
    build.args(["build", "--locked", "--package", package, "--bin", name]);
    if lab.parent().unwrap().ends_with("release") {
        build.arg("--release");
    }
    assert!(build.status().unwrap().success(), "{name} can't be built");
    lab.with_file_name(name).to_str().unwrap().into()
}
