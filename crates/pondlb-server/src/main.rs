//! The pondlb load balancer. Start with docs/architecture.md.

mod program;
mod protocol;
mod routing;
mod transport;

use std::process::ExitCode;

fn main() -> ExitCode {
    program::main()
}
