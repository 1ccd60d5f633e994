//! Lines of the protocol: finding their ends, reading a client's first one, and writing it for a server.

use shelfgrade::time::DurationExt;
use std::collections::BTreeMap;
use std::time::Duration;

/// The longest line, without its end.
pub const LONGEST: usize = 4096;

/// A line that never ends.
#[derive(Debug, PartialEq)]
pub struct TooLong;

/// Cuts what one peer sends into lines; reads along, so that the bytes themselves can pass on at once.
#[derive(Default)]
pub struct LineDecoder {
    begun: Vec<u8>,
}

impl LineDecoder {
    /// The lines that these bytes complete, with their ends.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Vec<u8>>, TooLong> {
        let mut lines = Vec::new();
        for part in bytes.split_inclusive(|b| *b == b'\n') {
            self.begun.extend_from_slice(part);
            if self.begun.len() > LONGEST + 2 {
                return Err(TooLong);
            }
            if part.ends_with(b"\n") {
                lines.push(std::mem::take(&mut self.begun));
            }
        }
        Ok(lines)
    }

    /// Whether the peer stands between two lines.
    pub fn between_lines(&self) -> bool {
        self.begun.is_empty()
    }
}

/// A line's text without its end; nothing where it is no text.
pub fn text(line: &[u8]) -> &str {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    std::str::from_utf8(line.strip_suffix(b"\r").unwrap_or(line)).unwrap_or("")
}

/// The text of a whole line, without its end; none where it is no line of the protocol's: those end in CRLF
/// and hold printable characters alone.
pub fn whole(line: &[u8]) -> Option<&str> {
    let line = line.strip_suffix(b"\r\n").filter(|line| line.len() <= LONGEST)?;
    let printable = line.iter().all(|b| matches!(b, b' '..=b'~'));
    std::str::from_utf8(line).ok().filter(|_| printable)
}

/// A client's first line: `OPEN ID KEY NAME=VALUE,…`
#[derive(Debug)]
pub struct OpenRequest {
    line: String,
    /// New with every connection.
    pub id: u64,
    pub key: String,
    /// The request class's position among the names given.
    pub class: usize,
    /// How long the client waits.
    pub request_timeout: Duration,
    pub group: Option<String>,
    pub customer: Option<String>,
    /// The server where it was open before the start.
    pub at: Option<String>,
    pub mid_flow: bool,
    pub returned: bool,
}

impl OpenRequest {
    /// Reads a line whole or not at all. Guards against sending on what a server cannot use: the errors that
    /// it answers would count against its health. Fields never heard of pass, if they are well formed.
    pub fn parse(line: &str, classes: &[String]) -> Option<Self> {
        // As many as 32 bits hold, which keeps clear of overflows. Guards against refusing what was open before the
        // start: where it has no end, its wait is 4294967 ms.
        const LONGEST_MS: f64 = u32::MAX as f64;
        let parts: Vec<_> = line.splitn(5, ' ').collect();
        let ["OPEN", id, key, fields] = parts[..] else { return None };
        let id = (id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit())).then_some(id)?;
        let mut values = BTreeMap::new();
        for field in fields.split(',') {
            let (name, value) = field.split_once('=')?;
            let sound = !name.is_empty() && !value.is_empty() && !value.contains('=');
            if !sound || values.insert(name, value).is_some() {
                return None;
            }
        }
        let marked = |name| match values.get(name) {
            None | Some(&"0") => Some(false),
            Some(&"1") => Some(true),
            Some(_) => None,
        };
        let wait = values.get("d").filter(|d| d.bytes().all(|b| b.is_ascii_digit() || b == b'.'))?;
        let wait = wait.parse().ok().filter(|ms| (0.0..=LONGEST_MS).contains(ms))?;
        let named = |name| values.get(name).map(|value| value.to_string());
        marked("r")?;
        let open = OpenRequest {
            line: line.to_owned(),
            id: u64::from_str_radix(id, 16).ok()?,
            key: Some(key).filter(|key| !key.is_empty())?.to_owned(),
            class: classes.iter().position(|o| values.get("c") == Some(&o.as_str()))?,
            request_timeout: Duration::from_ms(wait),
            group: named("g"),
            customer: named("t"),
            at: named("at"),
            mid_flow: marked("mid")?,
            returned: marked("again")?,
        };
        (open.at.is_none() || !open.mid_flow).then_some(open)
    }

    /// The line as the server gets it: unchanged but for `d`, which tells how long the proxy will wait.
    pub fn for_server(&self, wait: Duration) -> String {
        let (head, fields) = self.line.rsplit_once(' ').unwrap_or(("", &self.line));
        let wait = format!("d={}", wait.as_ms().floor());
        let fields: Vec<_> =
            fields.split(',').map(|f| if f.starts_with("d=") { wait.as_str() } else { f }).collect();
        format!("{head} {}\r\n", fields.join(","))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/line.rs"]
mod tests;
