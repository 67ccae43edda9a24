use std::alloc::System;

use cap::Cap;

/// Counts what all sides together hold: buffers, requests, answers, lists and whatever else there is.
#[global_allocator]
static HELD: Cap<System> = Cap::new(System, usize::MAX);

/// How much may be held; beyond all of it the program would be killed, with every request in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Memory {
    pub most: usize,
}

impl Memory {
    /// Too much for anything new: what is let in still grows by its attempts and answers.
    pub fn is_short(&self) -> bool {
        HELD.allocated() > self.most / 2
    }

    /// Too much even for the answers of what was let in.
    pub fn is_out(&self) -> bool {
        HELD.allocated() > self.most
    }
}
