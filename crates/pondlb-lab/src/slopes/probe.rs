//! What the system says of a process: processor time, resident memory, open descriptors.

use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;

use rustix::io::Errno;

/// A process that is watched, by its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Process(pub u32);

/// Resident memory, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Memory {
    /// At present.
    pub resident: u64,
    /// The most so far.
    pub peak: u64,
}

/// What the scheduler gave to a process, to the nanosecond.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Scheduled {
    /// On a processor.
    pub ran: Duration,
    /// Ready to run, while others had the processors.
    pub waited: Duration,
}

impl Scheduled {
    /// Milliseconds on a processor.
    pub fn ran_ms(&self) -> f64 {
        self.ran.as_secs_f64() * 1000.0
    }

    /// What has come since then.
    pub fn since(&self, before: &Scheduled) -> Scheduled {
        Scheduled {
            ran: self.ran.saturating_sub(before.ran),
            waited: self.waited.saturating_sub(before.waited),
        }
    }

    /// Both together.
    pub fn and(&self, other: &Scheduled) -> Scheduled {
        Scheduled { ran: self.ran + other.ran, waited: self.waited + other.waited }
    }
}

impl Process {
    /// Processor time of all threads that the process has. Threads that have ended no longer count, nor does one that
    /// ends while the others are read.
    ///
    /// # Errors
    /// The process has ended, or the system keeps no such statistics.
    pub fn scheduled(self) -> io::Result<Scheduled> {
        let mut sum = None;
        for thread in fs::read_dir(format!("/proc/{}/task", self.0))? {
            let Some(scheduled) = scheduled_thread(&thread?.path())? else { continue };
            sum = Some(scheduled.and(&sum.unwrap_or_default()));
        }
        sum.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }

    /// Resident memory.
    ///
    /// # Errors
    /// The process has ended.
    pub fn memory(self) -> io::Result<Memory> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.0))?;
        parse_status(&text).ok_or_else(|| unreadable("status", &text))
    }

    /// How many descriptors are open.
    ///
    /// # Errors
    /// The process has ended.
    pub fn descriptors(self) -> io::Result<usize> {
        Ok(fs::read_dir(format!("/proc/{}/fd", self.0))?.count())
    }
}

/// Processor time of one thread; nothing if it has ended since its directory was listed.
fn scheduled_thread(directory: &Path) -> io::Result<Option<Scheduled>> {
    match fs::read_to_string(directory.join("schedstat")) {
        Ok(text) => parse_schedstat(&text).map(Some).ok_or_else(|| unreadable("schedstat", &text)),
        Err(error) if has_ended(&error) => Ok(None),
        Err(error) => Err(error),
    }
}

/// The file is gone, or was opened before the thread ended and read after it.
fn has_ended(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::NotFound || Errno::from_io_error(error) == Some(Errno::SRCH)
}

fn unreadable(file: &str, text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("{file} can't be read: {text:?}"))
}

/// Time on a processor, time spent waiting for one, both in nanoseconds, and the count of turns.
pub fn parse_schedstat(text: &str) -> Option<Scheduled> {
    let mut numbers = text.split_ascii_whitespace().map(str::parse::<u64>);
    let mut next = || numbers.next()?.ok();
    let (ran, waited, _turns) = (next()?, next()?, next()?);
    Some(Scheduled { ran: Duration::from_nanos(ran), waited: Duration::from_nanos(waited) })
}

/// `VmRSS` and `VmHWM` of `status`, which are in kibibytes.
pub fn parse_status(text: &str) -> Option<Memory> {
    let kibibytes = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
        line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok()
    };
    Some(Memory { resident: kibibytes("VmRSS")? * 1024, peak: kibibytes("VmHWM")? * 1024 })
}
