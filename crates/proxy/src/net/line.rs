//! Lines of the client and server protocol: framing, and the words that the wire uses for the proxy's own terms.

use shelfgrade::time::DurationExt;
use std::time::Duration;

/// The longest line, without its line end, in bytes.
pub const MAX_LINE_BYTES: usize = 4096;
/// The longest line end, `\r\n`, in bytes.
const MAX_LINE_END_BYTES: usize = 2;
/// The longest line with its line end, in bytes.
pub const MAX_FRAMED_LINE_BYTES: usize = MAX_LINE_BYTES + MAX_LINE_END_BYTES;

/// Health check request, without its line end.
pub const PING: &str = "PING";
/// A health check request as it is sent.
pub const PING_LINE: &[u8] = b"PING\r\n";
/// Tells a client to connect again, which migrates its session; as it is sent.
pub const MIGRATE_LINE: &[u8] = b"MOVE\r\n";

const UP: &str = "UP";
const BUSY: &str = "BUSY";
const ERR: &str = "ERR";
const MOVE: &str = "MOVE";
const BYE: &str = "BYE";
const LOAD: &str = "LOAD";
const PONG: &str = "PONG";

/// A peer sent a line of more than [`MAX_LINE_BYTES`].
#[derive(Debug, PartialEq)]
pub struct LineTooLong;

/// Splits the byte stream of one peer into lines. It copies what it needs, so that the bytes themselves can be
/// forwarded without waiting for the end of a line.
#[derive(Default)]
pub struct LineDecoder {
    partial: Vec<u8>,
}

impl LineDecoder {
    /// The lines that these bytes complete, with their line ends.
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

    /// Whether all bytes so far belong to lines that have ended.
    pub fn is_at_line_start(&self) -> bool {
        self.partial.is_empty()
    }
}

/// The text of a line without its line end; empty if it is not UTF-8.
pub fn line_text(line: &[u8]) -> &str {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    std::str::from_utf8(line.strip_suffix(b"\r").unwrap_or(line)).unwrap_or("")
}

/// The text of a line that keeps to the protocol, without its line end: it ends in CRLF, holds printable ASCII only,
/// and is no longer than [`MAX_LINE_BYTES`].
pub fn well_formed_line(line: &[u8]) -> Option<&str> {
    let line = line.strip_suffix(b"\r\n").filter(|line| line.len() <= MAX_LINE_BYTES)?;
    let printable = line.iter().all(|b| matches!(b, b' '..=b'~'));
    std::str::from_utf8(line).ok().filter(|_| printable)
}

/// What the proxy answers a client that gets no server, or one that asked for a health check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProxyResponse {
    /// The client may retry after a delay of its own choice.
    Rejected,
    /// The client may retry after this delay.
    RejectedFor(Duration),
    /// The request has failed.
    Failed,
    /// The proxy is ready.
    Healthy,
}

impl ProxyResponse {
    /// The answer as it is sent, without its line end.
    pub fn line(self) -> String {
        match self {
            ProxyResponse::Rejected => BUSY.to_owned(),
            ProxyResponse::RejectedFor(retry_after) => format!("{BUSY} {}", retry_after.as_ms().ceil()),
            ProxyResponse::Failed => ERR.to_owned(),
            ProxyResponse::Healthy => PONG.to_owned(),
        }
    }
}

/// A line from a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerLine<'a> {
    /// The session is established.
    Established,
    /// The server sheds load.
    Rejected,
    /// The client is to connect again.
    Migrate,
    /// The session has completed; the server closes the connection next.
    Completed,
    /// A load report, with its value as it was sent.
    Load(&'a str),
    /// The answer to a health check.
    Healthy,
    /// Anything else.
    Other,
}

impl<'a> ServerLine<'a> {
    /// Reads the text of one line.
    pub fn parse(text: &'a str) -> Self {
        let (word, value) = text.split_once(' ').unwrap_or((text, ""));
        match word {
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
