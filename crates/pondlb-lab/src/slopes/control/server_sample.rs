//! Statistics of one server process at one time.

use std::io;

use crate::slopes::process_stats::{MemoryUsage, Process, ProcessorTime};

const BYTES_PER_MEGABYTE: f64 = 1e6;

/// Processor time, memory and file descriptors of a server process.
#[derive(Clone, Copy, Debug)]
pub struct ServerSample {
    /// Processor time since the start of the server.
    pub processor_time: ProcessorTime,
    memory: MemoryUsage,
    /// Open file descriptors.
    pub descriptors: usize,
}

impl ServerSample {
    /// Reads the current statistics.
    ///
    /// # Errors
    /// The server has ended.
    pub fn take(server: Process) -> io::Result<ServerSample> {
        Ok(ServerSample {
            processor_time: server.processor_time()?,
            memory: server.memory()?,
            descriptors: server.descriptors()?,
        })
    }

    /// Time spent running on a processor since an earlier sample, in milliseconds.
    pub fn processor_ms_since(&self, earlier: &ServerSample) -> f64 {
        self.processor_time.since(&earlier.processor_time).on_cpu_ms()
    }

    /// Current resident memory, in megabytes.
    pub fn resident_mb(&self) -> f64 {
        self.memory.resident_bytes as f64 / BYTES_PER_MEGABYTE
    }

    /// Peak resident memory, in megabytes.
    pub fn peak_mb(&self) -> f64 {
        self.memory.peak_bytes as f64 / BYTES_PER_MEGABYTE
    }
}
