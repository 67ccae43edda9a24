//! The limit on the memory that the program allocates.

use std::alloc::System;

use cap::Cap;

/// Counts all heap memory of the program: buffers, requests, responses, lists of upstreams and everything else.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// How much heap memory the program may hold. Beyond it the system may kill the process, and every open request would
/// be lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemoryLimit {
    pub max_bytes: usize,
}

impl MemoryLimit {
    /// Whether more than half of the limit is allocated. New requests are rejected then, because those already
    /// admitted still grow by their attempts and responses.
    pub fn is_low(&self) -> bool {
        ALLOCATOR.allocated() > self.max_bytes / 2
    }

    /// Whether the limit is exceeded, so that not even the upstreams' responses to admitted requests can be read.
    pub fn is_exhausted(&self) -> bool {
        ALLOCATOR.allocated() > self.max_bytes
    }
}
