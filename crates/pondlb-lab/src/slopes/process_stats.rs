//! Statistics of a process from /proc: processor time, resident memory and open file descriptors.

use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;

use rustix::io::Errno;

/// A process, by its process id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Process(pub u32);

/// Resident memory of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryUsage {
    /// Current resident memory, in bytes.
    pub resident_bytes: u64,
    /// Peak resident memory since the start of the process, in bytes.
    pub peak_bytes: u64,
}

/// Time that the threads of a process spent running and waiting to run, as the kernel's scheduler counts it in
/// nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessorTime {
    /// Time spent running on a processor.
    pub on_cpu: Duration,
    /// Time spent runnable but waiting for a processor.
    pub run_queue_wait: Duration,
}

impl ProcessorTime {
    /// Time spent running on a processor, in milliseconds.
    pub fn on_cpu_ms(&self) -> f64 {
        self.on_cpu.as_secs_f64() * 1000.0
    }

    /// The difference to an earlier reading of the same process.
    pub fn since(&self, before: &ProcessorTime) -> ProcessorTime {
        ProcessorTime {
            on_cpu: self.on_cpu.saturating_sub(before.on_cpu),
            run_queue_wait: self.run_queue_wait.saturating_sub(before.run_queue_wait),
        }
    }

    /// The sum of two readings.
    pub fn plus(&self, other: &ProcessorTime) -> ProcessorTime {
        ProcessorTime {
            on_cpu: self.on_cpu + other.on_cpu,
            run_queue_wait: self.run_queue_wait + other.run_queue_wait,
        }
    }
}

impl Process {
    /// Processor time of all live threads of the process, summed. The time of a thread that has ended, or that ends
    /// while the others are read, is not counted.
    ///
    /// # Errors
    /// The process has ended, or the kernel does not provide scheduler statistics.
    pub fn processor_time(self) -> io::Result<ProcessorTime> {
        let mut sum = None;
        for thread in fs::read_dir(format!("/proc/{}/task", self.0))? {
            let Some(thread_time) = thread_processor_time(&thread?.path())? else { continue };
            sum = Some(thread_time.plus(&sum.unwrap_or_default()));
        }
        sum.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }

    /// Current and peak resident memory.
    ///
    /// # Errors
    /// The process has ended.
    pub fn memory(self) -> io::Result<MemoryUsage> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.0))?;
        parse_status(&text).ok_or_else(|| parse_error("status", &text))
    }

    /// Number of open file descriptors.
    ///
    /// # Errors
    /// The process has ended.
    pub fn descriptors(self) -> io::Result<usize> {
        Ok(fs::read_dir(format!("/proc/{}/fd", self.0))?.count())
    }
}

/// Processor time of one thread; none if it has ended since its directory was listed.
fn thread_processor_time(directory: &Path) -> io::Result<Option<ProcessorTime>> {
    match fs::read_to_string(directory.join("schedstat")) {
        Ok(text) => parse_schedstat(&text).map(Some).ok_or_else(|| parse_error("schedstat", &text)),
        Err(error) if is_thread_gone(&error) => Ok(None),
        Err(error) => Err(error),
    }
}

/// Whether the thread ended before its file was opened, or between opening and reading it.
fn is_thread_gone(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::NotFound || Errno::from_io_error(error) == Some(Errno::SRCH)
}

/// The error for a /proc file whose content could not be parsed.
fn parse_error(file: &str, text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("unexpected content of /proc file {file}: {text:?}"))
}

/// Parses a `schedstat` file: time on a processor and time waiting for one, both in nanoseconds, and the number of time
/// slices.
pub fn parse_schedstat(text: &str) -> Option<ProcessorTime> {
    let mut numbers = text.split_ascii_whitespace().map(str::parse::<u64>);
    let mut next = || numbers.next()?.ok();
    let (ran, waited, _time_slices) = (next()?, next()?, next()?);
    Some(ProcessorTime { on_cpu: Duration::from_nanos(ran), run_queue_wait: Duration::from_nanos(waited) })
}

/// Parses `VmRSS` and `VmHWM` of a `status` file, which are in kibibytes.
pub fn parse_status(text: &str) -> Option<MemoryUsage> {
    let kibibytes = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
        line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok()
    };
    Some(MemoryUsage { resident_bytes: kibibytes("VmRSS")? * 1024, peak_bytes: kibibytes("VmHWM")? * 1024 })
}
