//! Processor time and memory of a process, read from `/proc`.

use std::fs;

use serde::Serialize;

/// Clock ticks per second in `/proc/PID/stat`; the same on every supported Linux architecture.
const TICKS_PER_SECOND: f64 = 100.0;
/// The field of `/proc/PID/stat` with the processor time in user mode, counted from the state, which follows the name.
const USER_FIELD: usize = 11;
/// The field with the processor time in kernel mode, counted the same way.
const KERNEL_FIELD: usize = 12;

/// Processor time and memory of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ProcessUsage {
    /// Processor time since the start of the process, in seconds.
    pub processor_seconds: f64,
    /// Resident memory at present.
    pub resident_bytes: u64,
    /// The largest resident memory so far.
    pub peak_bytes: u64,
}

/// The usage of the process of this id; `None` if it has ended.
pub fn read_usage(process: u32) -> Option<ProcessUsage> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    Some(ProcessUsage {
        processor_seconds: parse_processor_seconds(&stat)?,
        resident_bytes: parse_kilobytes(&status, "VmRSS:")? << 10,
        peak_bytes: parse_kilobytes(&status, "VmHWM:")? << 10,
    })
}

/// The memory of the machine.
pub fn machine_memory_bytes() -> u64 {
    let text = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    parse_kilobytes(&text, "MemTotal:").map_or(u64::MAX, |kilobytes| kilobytes << 10)
}

fn parse_processor_seconds(stat: &str) -> Option<f64> {
    // The name is in parentheses and may contain any character, including these.
    let (_, after_name) = stat.rsplit_once(") ")?;
    let fields: Vec<&str> = after_name.split(' ').collect();
    let ticks = |field: usize| fields.get(field)?.parse::<f64>().ok();
    Some((ticks(USER_FIELD)? + ticks(KERNEL_FIELD)?) / TICKS_PER_SECOND)
}

fn parse_kilobytes(text: &str, key: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(key))?;
    line.split_whitespace().next()?.parse().ok()
}

#[cfg(test)]
mod tests;
