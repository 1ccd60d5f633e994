//! The bounded buffer of one direction of a session.

use std::io::{self, Read, Write};

/// A ring buffer of bytes, with an optional reserve for lines of the proxy's own.
pub struct RingBuffer {
    bytes: Box<[u8]>,
    start: usize,
    len: usize,
    /// Bytes that are never read into, so that a last line can always be pushed.
    reserve: usize,
}

impl RingBuffer {
    /// A ring of `size` bytes.
    pub fn new(size: usize) -> Self {
        Self::with_reserve(size, 0)
    }

    /// A ring of `size` bytes that are read into, and `reserve` bytes more for what is pushed.
    pub fn with_reserve(size: usize, reserve: usize) -> Self {
        RingBuffer { bytes: vec![0; size + reserve].into_boxed_slice(), start: 0, len: 0, reserve }
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether nothing more can be read into it.
    pub fn is_full(&self) -> bool {
        self.len + self.reserve >= self.bytes.len()
    }

    /// Drops all that is held.
    pub fn clear(&mut self) {
        (self.start, self.len) = (0, 0);
    }

    /// Reads once into what is free, up to the buffer's end; 0 if the peer has ended.
    ///
    /// # Errors
    ///
    /// Those of the source.
    pub fn fill_from(&mut self, mut source: impl Read) -> io::Result<usize> {
        let size = self.bytes.len();
        let from = (self.start + self.len) % size;
        let free = size.saturating_sub(self.len + self.reserve);
        let to = if from < self.start { self.start } else { size }.min(from + free);
        let read = source.read(&mut self.bytes[from..to])?;
        self.len += read;
        Ok(read)
    }

    /// Writes once from what is held, up to the buffer's end; how many bytes were written.
    ///
    /// # Errors
    ///
    /// Those of the sink.
    pub fn drain_to(&mut self, mut sink: impl Write) -> io::Result<usize> {
        let to = (self.start + self.len).min(self.bytes.len());
        let written = sink.write(&self.bytes[self.start..to])?;
        self.start = (self.start + written) % self.bytes.len();
        self.len -= written;
        if self.len == 0 {
            self.start = 0;
        }
        Ok(written)
    }

    /// The last `count` bytes, all of which one call of `fill_from` has read.
    pub fn latest(&self, count: usize) -> &[u8] {
        let end = (self.start + self.len - 1) % self.bytes.len() + 1;
        &self.bytes[end - count..end]
    }

    /// Drops the first `count` bytes.
    pub fn skip(&mut self, count: usize) {
        self.start = (self.start + count) % self.bytes.len();
        self.len -= count;
    }

    /// Drops the last `count` bytes.
    pub fn truncate_by(&mut self, count: usize) {
        self.len -= count;
    }

    /// Drops what follows the last line end. False, with nothing dropped, if no line end is held: the bytes may then
    /// continue a line whose beginning has been written already.
    pub fn discard_partial_line(&mut self) -> bool {
        let size = self.bytes.len();
        let byte_at = |i: usize| self.bytes[(self.start + i) % size];
        let last_line_end = (0..self.len).rev().find(|i| byte_at(*i) == b'\n');
        if let Some(last_line_end) = last_line_end {
            self.len = last_line_end + 1;
        }
        last_line_end.is_some()
    }

    /// Adds all of `text`, or nothing if it does not fit; whether it was added.
    pub fn push(&mut self, text: &[u8]) -> bool {
        let fits = text.len() <= self.bytes.len() - self.len;
        if fits {
            for byte in text {
                let at = (self.start + self.len) % self.bytes.len();
                self.bytes[at] = *byte;
                self.len += 1;
            }
        }
        fits
    }
}

#[cfg(test)]
#[path = "../../tests/unit/ring_buffer.rs"]
mod tests;
