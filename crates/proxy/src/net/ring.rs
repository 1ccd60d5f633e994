//! The bounded buffer of one direction of a session.

use std::io::{self, Read, Write};

pub struct Ring {
    bytes: Box<[u8]>,
    start: usize,
    len: usize,
    /// Room that nothing is read into: it is for a last line of our own.
    kept: usize,
}

impl Ring {
    pub fn new(size: usize) -> Self {
        Self::keeping(0, size)
    }

    /// One with so much room beside its size for what is pushed.
    pub fn keeping(kept: usize, size: usize) -> Self {
        Ring { bytes: vec![0; size + kept].into_boxed_slice(), start: 0, len: 0, kept }
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether there is no room to read into.
    pub fn is_full(&self) -> bool {
        self.len + self.kept >= self.bytes.len()
    }

    pub fn clear(&mut self) {
        (self.start, self.len) = (0, 0);
    }

    /// One read into what is free, up to the buffer's end; nothing read where the peer has ended.
    pub fn fill_from(&mut self, mut source: impl Read) -> io::Result<usize> {
        let size = self.bytes.len();
        let from = (self.start + self.len) % size;
        let room = size.saturating_sub(self.len + self.kept);
        let to = if from < self.start { self.start } else { size }.min(from + room);
        let read = source.read(&mut self.bytes[from..to])?;
        self.len += read;
        Ok(read)
    }

    /// One write of what is held, up to the buffer's end.
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

    /// The last `count` bytes taken in, which one call of `fill_from` left side by side.
    pub fn latest(&self, count: usize) -> &[u8] {
        let end = (self.start + self.len - 1) % self.bytes.len() + 1;
        &self.bytes[end - count..end]
    }

    /// Drops the first `count` bytes.
    pub fn skip(&mut self, count: usize) {
        self.start = (self.start + count) % self.bytes.len();
        self.len -= count;
    }

    /// Takes back the last `count` bytes.
    pub fn cut(&mut self, count: usize) {
        self.len -= count;
    }

    /// Takes back what is held of a line that has not ended; false where all that is held may be the rest of a line whose
    /// beginning is gone.
    pub fn cut_unfinished_line(&mut self) -> bool {
        let size = self.bytes.len();
        let at = |i: usize| self.bytes[(self.start + i) % size];
        let whole = (0..self.len).rev().find(|i| at(*i) == b'\n').map(|last| last + 1);
        self.len = whole.unwrap_or(self.len);
        whole.is_some()
    }

    /// Adds all of `text`, or nothing where it does not fit.
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
#[path = "../../tests/unit/ring.rs"]
mod tests;
