//! What the system says of a process, by its id.

use std::fs;

use serde::Serialize;

/// Clock ticks a second of /proc/PID/stat on all Linux machines that there are.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields of /proc/PID/stat behind the name, from the state on: processor time in user mode and in the kernel.
const USER_FIELD: usize = 11;
const KERNEL_FIELD: usize = 12;

/// Processor time and memory of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Seconds of processor time since its start.
    pub processor_seconds: f64,
    /// Memory that it holds.
    pub resident_bytes: u64,
    /// The most that it has held.
    pub peak_bytes: u64,
}

/// What the process uses now; none where it has ended.
pub fn usage(process: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    Some(Usage {
        processor_seconds: processor_seconds(&stat)?,
        resident_bytes: kilobytes(&status, "VmRSS:")? << 10,
        peak_bytes: kilobytes(&status, "VmHWM:")? << 10,
    })
}

/// What the machine has in all.
pub fn machine_memory_bytes() -> u64 {
    let text = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    kilobytes(&text, "MemTotal:").map_or(u64::MAX, |kilobytes| kilobytes << 10)
}

fn processor_seconds(stat: &str) -> Option<f64> {
    // The name stands in parentheses and may hold any character.
    let (_, behind_name) = stat.rsplit_once(") ")?;
    let fields: Vec<&str> = behind_name.split(' ').collect();
    let ticks = |field: usize| fields.get(field)?.parse::<f64>().ok();
    Some((ticks(USER_FIELD)? + ticks(KERNEL_FIELD)?) / TICKS_PER_SECOND)
}

fn kilobytes(text: &str, key: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(key))?;
    line.split_whitespace().next()?.parse().ok()
}

#[cfg(test)]
mod tests;
