//! What one server process has used, at a moment.

use std::io;

use crate::slopes::probe::{Memory, Process, Scheduled};

const MEGABYTE: f64 = 1e6;

/// Processor time so far, memory and descriptors of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerSample {
    /// Processor time since its start.
    pub scheduled: Scheduled,
    memory: Memory,
    /// Open descriptors.
    pub descriptors: usize,
}

impl ServerSample {
    /// Reads them now.
    ///
    /// # Errors
    /// The server has ended.
    pub fn take(server: Process) -> io::Result<ServerSample> {
        Ok(ServerSample {
            scheduled: server.scheduled()?,
            memory: server.memory()?,
            descriptors: server.descriptors()?,
        })
    }

    /// Milliseconds on a processor since an earlier sample.
    pub fn processor_ms_since(&self, earlier: &ServerSample) -> f64 {
        self.scheduled.since(&earlier.scheduled).ran_ms()
    }

    /// Memory that it holds.
    pub fn resident_mb(&self) -> f64 {
        self.memory.resident as f64 / MEGABYTE
    }

    /// The most that it has held.
    pub fn peak_mb(&self) -> f64 {
        self.memory.peak as f64 / MEGABYTE
    }
}
