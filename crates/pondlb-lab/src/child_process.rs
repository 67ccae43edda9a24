//! Child processes that are killed when the process that started them ends, however it ends.

use std::io;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::Stdio;

use rustix::process::{Signal, getppid, set_parent_process_death_signal};
use tokio::process::Command;

/// The sub-command of the laboratory that replaces itself by such a child program.
pub const HOLD_SUBCOMMAND: &str = "hold";

/// A command that starts the program so that it is killed as soon as this process ends or the `Child` is dropped. A
/// laboratory that is killed by SIGKILL can clean up nothing itself, and its children would stay for good; the kernel's
/// parent death signal also reaches a stopped process.
///
/// # Errors
/// The path of this process's own executable is unknown.
pub fn command_killed_with_parent(program: &Path) -> io::Result<Command> {
    let mut command = Command::new(std::env::current_exe()?);
    command.arg(HOLD_SUBCOMMAND).arg(std::process::id().to_string()).arg(program);
    command.stdin(Stdio::null()).kill_on_drop(true);
    Ok(command)
}

/// Replaces this process by the program, which is killed once the parent ends. Returns only on failure.
pub fn exec_killed_with_parent(parent: u32, program: &Path, arguments: &[String]) -> io::Error {
    if let Err(error) = set_parent_process_death_signal(Some(Signal::KILL)) {
        return error.into();
    }
    // The parent may have ended before the signal was set; then this process has another parent by now.
    let present = getppid().map(|process| process.as_raw_nonzero().get());
    if present.and_then(|process| u32::try_from(process).ok()) != Some(parent) {
        return io::Error::other("the parent process has already ended");
    }
    let error = std::process::Command::new(program).args(arguments).exec();
    io::Error::new(error.kind(), format!("{}: {error}", program.display()))
}
