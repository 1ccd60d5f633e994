//! The bounded buffer for the bytes of one direction of a connection.

use std::io::{self, Read, Write};

/// A ring buffer of bytes, with an optional reserve for lines that the proxy itself sends.
pub struct RingBuffer {
    bytes: Box<[u8]>,
    start: usize,
    len: usize,
    /// Capacity that [`RingBuffer::fill_from`] leaves free, so that a final line can always be pushed.
    reserve: usize,
}

impl RingBuffer {
    /// A buffer of `size` bytes.
    pub fn new(size: usize) -> Self {
        Self::with_reserve(size, 0)
    }

    /// A buffer of `size` bytes, and `reserve` more that only [`RingBuffer::push`] uses.
    pub fn with_reserve(size: usize, reserve: usize) -> Self {
        RingBuffer { bytes: vec![0; size + reserve].into_boxed_slice(), start: 0, len: 0, reserve }
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether there is no space left to read into.
    pub fn is_full(&self) -> bool {
        self.len + self.reserve >= self.bytes.len()
    }

    pub fn clear(&mut self) {
        (self.start, self.len) = (0, 0);
    }

    /// Reads once into the free space, up to the wrap-around. Returns the number of bytes read; 0 at the end of the
    /// stream.
    ///
    /// # Errors
    ///
    /// The errors of the source.
    pub fn fill_from(&mut self, mut source: impl Read) -> io::Result<usize> {
        let size = self.bytes.len();
        let from = (self.start + self.len) % size;
        let free = size.saturating_sub(self.len + self.reserve);
        let to = if from < self.start { self.start } else { size }.min(from + free);
        let read = source.read(&mut self.bytes[from..to])?;
        self.len += read;
        Ok(read)
    }

    /// Writes once from the buffer, up to the wrap-around. Returns the number of bytes written.
    ///
    /// # Errors
    ///
    /// The errors of the sink.
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

    /// The last `count` bytes, which must come from one call of `fill_from`, as these are contiguous.
    pub fn latest(&self, count: usize) -> &[u8] {
        let end = (self.start + self.len - 1) % self.bytes.len() + 1;
        &self.bytes[end - count..end]
    }

    pub fn skip(&mut self, count: usize) {
        self.start = (self.start + count) % self.bytes.len();
        self.len -= count;
    }

    /// Drops the last `count` bytes.
    pub fn truncate_by(&mut self, count: usize) {
        self.len -= count;
    }

    /// Drops the incomplete line at the end. Returns false, and drops nothing, if the buffer contains no line ending:
    /// its bytes may then continue a line whose beginning has already been written.
    pub fn discard_partial_line(&mut self) -> bool {
        let size = self.bytes.len();
        let byte_at = |i: usize| self.bytes[(self.start + i) % size];
        let last_newline = (0..self.len).rev().find(|i| byte_at(*i) == b'\n');
        if let Some(last_newline) = last_newline {
            self.len = last_newline + 1;
        }
        last_newline.is_some()
    }

    /// Appends all of `text`, or nothing if it does not fit. Returns whether it was appended.
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
