//! The line protocol spoken with clients and servers: framing, keywords, and the messages that the proxy reads and
//! writes.

use shelfgrade::time::DurationExt;
use std::time::Duration;

/// Maximum length of a line without its line ending, in bytes.
pub const MAX_LINE_BYTES: usize = 4096;
/// Length of the longest line ending, `\r\n`, in bytes.
const MAX_LINE_ENDING_BYTES: usize = 2;
/// Maximum length of a line with its line ending, in bytes.
pub const MAX_FRAMED_LINE_BYTES: usize = MAX_LINE_BYTES + MAX_LINE_ENDING_BYTES;

/// The text of a health check request.
pub const PING: &str = "PING";
/// A health check request as sent on the wire.
pub const PING_LINE: &[u8] = b"PING\r\n";
/// Tells a client to reconnect, which migrates its session; as sent on the wire.
pub const MIGRATE_LINE: &[u8] = b"MOVE\r\n";

const UP: &str = "UP";
const BUSY: &str = "BUSY";
const ERR: &str = "ERR";
const MOVE: &str = "MOVE";
const BYE: &str = "BYE";
const LOAD: &str = "LOAD";
const PONG: &str = "PONG";

/// A peer sent a line longer than [`MAX_LINE_BYTES`].
#[derive(Debug, PartialEq)]
pub struct LineTooLong;

/// Splits the byte stream of one peer into lines. It copies the bytes, so that they can be forwarded before a line is
/// complete.
#[derive(Default)]
pub struct LineDecoder {
    partial: Vec<u8>,
}

impl LineDecoder {
    /// Consumes bytes and returns the lines that they complete, with their line endings.
    ///
    /// # Errors
    ///
    /// [`LineTooLong`] as soon as a line exceeds [`MAX_LINE_BYTES`].
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Vec<u8>>, LineTooLong> {
        let mut lines = Vec::new();
        for part in bytes.split_inclusive(|b| *b == b'\n') {
            self.partial.extend_from_slice(part);
            if self.partial.len() > MAX_FRAMED_LINE_BYTES {
                return Err(LineTooLong);
            }
            if part.ends_with(b"\n") {
                lines.push(std::mem::take(&mut self.partial));
            }
        }
        Ok(lines)
    }

    /// Whether no incomplete line is buffered.
    pub fn is_at_line_start(&self) -> bool {
        self.partial.is_empty()
    }
}

/// The text of a line without its line ending; empty if it is not UTF-8.
pub fn line_text(line: &[u8]) -> &str {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    std::str::from_utf8(line.strip_suffix(b"\r").unwrap_or(line)).unwrap_or("")
}

/// The text of a line without its line ending, if the line is well formed: it ends in CRLF, consists of printable
/// ASCII characters, and is no longer than [`MAX_LINE_BYTES`].
pub fn well_formed_line(line: &[u8]) -> Option<&str> {
    let line = line.strip_suffix(b"\r\n").filter(|line| line.len() <= MAX_LINE_BYTES)?;
    let is_printable = line.iter().all(|b| matches!(b, b' '..=b'~'));
    std::str::from_utf8(line).ok().filter(|_| is_printable)
}

/// A response of the proxy itself: to a client whose session is not established, or to a health check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProxyResponse {
    /// The client may retry after a delay that it chooses.
    Rejected,
    /// The client may retry after the given delay.
    RejectedWithRetryAfter(Duration),
    /// The request has failed, or the health check has.
    Failed,
    /// The proxy is ready.
    Healthy,
}

impl ProxyResponse {
    /// The response as sent on the wire, without its line ending.
    pub fn line(self) -> String {
        match self {
            ProxyResponse::Rejected => BUSY.to_owned(),
            ProxyResponse::RejectedWithRetryAfter(retry_after) => {
                format!("{BUSY} {}", retry_after.as_ms().ceil())
            }
            ProxyResponse::Failed => ERR.to_owned(),
            ProxyResponse::Healthy => PONG.to_owned(),
        }
    }
}

/// A parsed line from a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerLine<'a> {
    /// The session is established.
    Established,
    /// The server rejects the session because it is overloaded.
    Rejected,
    /// The client is to reconnect.
    Migrate,
    /// The session has completed; the server closes the connection next.
    Completed,
    /// A load report with its value, not parsed yet.
    Load(&'a str),
    /// The response to a health check.
    Healthy,
    /// Any other line.
    Other,
}

impl<'a> ServerLine<'a> {
    /// Parses the text of one line, without its line ending.
    pub fn parse(text: &'a str) -> Self {
        let (keyword, value) = text.split_once(' ').unwrap_or((text, ""));
        match keyword {
            UP => ServerLine::Established,
            BUSY => ServerLine::Rejected,
            MOVE => ServerLine::Migrate,
            BYE => ServerLine::Completed,
            LOAD => ServerLine::Load(value),
            PONG if text == PONG => ServerLine::Healthy,
            _ => ServerLine::Other,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/line.rs"]
mod tests;
