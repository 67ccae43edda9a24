//! The receive buffer of a connection.

/// The receive buffer of a connection: received bytes are appended at the end and consumed from the front.
///
/// When the end of the storage is reached, unconsumed bytes are moved to the front; the storage grows, up to a limit,
/// only if there is nothing to move. An empty buffer releases storage beyond its initial size.
pub struct Buffer {
    storage: Vec<u8>,
    /// Offset in `storage` of the first byte that was received and not yet consumed.
    start: usize,
    /// Offset in `storage` behind the last received byte.
    end: usize,
    /// Maximum length of `storage`, in bytes.
    max_bytes: usize,
}

/// Size of the first allocation, in bytes.
const INITIAL_BYTES: usize = 2 * 1024;

impl Buffer {
    /// Creates an empty buffer that holds at most `max_bytes` bytes. Nothing is allocated yet.
    pub fn new(max_bytes: usize) -> Self {
        Buffer { storage: Vec::new(), start: 0, end: 0, max_bytes }
    }

    /// Returns the bytes that were received and not yet consumed.
    pub fn filled(&self) -> &[u8] {
        &self.storage[self.start..self.end]
    }

    /// Returns the free space for the next received bytes; empty when the buffer holds `max_bytes` bytes.
    pub fn spare_capacity_mut(&mut self) -> &mut [u8] {
        if self.end == self.storage.len() && self.start > 0 {
            self.storage.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        if self.end == self.storage.len() {
            let smallest = INITIAL_BYTES.min(self.max_bytes);
            let size = (2 * self.storage.len()).clamp(smallest, self.max_bytes);
            self.storage.resize(size, 0);
        }
        &mut self.storage[self.end..]
    }

    /// Appends the first `count` bytes of the free space, into which the caller has read them.
    pub fn mark_filled(&mut self, count: usize) {
        self.end = (self.end + count).min(self.storage.len());
    }

    /// Drops `count` bytes from the front.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            // An idle connection must not keep the memory that its largest message needed.
            if self.storage.len() > INITIAL_BYTES {
                self.storage = Vec::new();
            }
        }
    }
}
