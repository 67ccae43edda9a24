//! Programs that end with the process that started them, however that ends.

use std::io;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::Stdio;

use rustix::process::{Signal, getppid, set_parent_process_death_signal};
use tokio::process::Command;

/// The sub-command of the laboratory that becomes a held program.
pub const HOLD_SUBCOMMAND: &str = "hold";

/// A command that starts the program, to be killed as soon as this process has ended or the child is dropped: a
/// laboratory that is killed outright can end nothing itself, and its children would stay for good. Also a stopped
/// process is killed by that.
///
/// # Errors
/// Where this process can't tell its own program.
pub fn command_killed_with_parent(program: &Path) -> io::Result<Command> {
    let mut command = Command::new(std::env::current_exe()?);
    command.arg(HOLD_SUBCOMMAND).arg(std::process::id().to_string()).arg(program);
    command.stdin(Stdio::null()).kill_on_drop(true);
    Ok(command)
}

/// Becomes the program, to be killed once the parent has ended. Returns only what went wrong.
pub fn exec_killed_with_parent(parent: u32, program: &Path, arguments: &[String]) -> io::Error {
    let named = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", program.display()));
    if let Err(error) = set_parent_process_death_signal(Some(Signal::KILL)) {
        return error.into();
    }
    // It may have ended before that.
    let present = getppid().map(|process| process.as_raw_nonzero().get());
    if present.and_then(|process| u32::try_from(process).ok()) != Some(parent) {
        return io::Error::other("the process that started it has ended");
    }
    named(std::process::Command::new(program).args(arguments).exec())
}
