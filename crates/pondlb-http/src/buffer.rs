//! The buffer of a connection.

/// The one buffer of a connection: bytes are read into its end and taken from its front. It grows as a
/// message needs, moves what is left to its front rather than grow, and gives memory back when empty.
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    most: usize,
}

/// The size of the first allocation.
const FIRST: usize = 2 * 1024;

impl Buffer {
    /// An empty buffer that holds `most` bytes at most; nothing is allocated yet.
    pub fn new(most: usize) -> Self {
        Buffer { bytes: Vec::new(), start: 0, end: 0, most }
    }

    /// The bytes that were read and not taken yet.
    pub fn filled(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Where the next bytes go; empty when the buffer holds all it may.
    pub fn spare_capacity_mut(&mut self) -> &mut [u8] {
        if self.end == self.bytes.len() && self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        if self.end == self.bytes.len() {
            let size = (2 * self.bytes.len()).clamp(FIRST.min(self.most), self.most);
            self.bytes.resize(size, 0);
        }
        &mut self.bytes[self.end..]
    }

    /// So many bytes were read into the room.
    pub fn mark_filled(&mut self, count: usize) {
        self.end = (self.end + count).min(self.bytes.len());
    }

    /// Drops so many bytes from the front.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            // A connection that stands idle must not keep what its largest message needed.
            if self.bytes.len() > FIRST {
                self.bytes = Vec::new();
            }
        }
    }
}
