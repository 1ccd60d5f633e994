//! Lines of the protocol: finding their ends, reading a client's first one, and writing it for a server.

use shelfgrade::time::Span;

/// The longest line, without its end.
pub const LONGEST: usize = 4096;

/// A line that never ends.
#[derive(Debug, PartialEq)]
pub struct TooLong;

/// Cuts what one peer sends into lines; reads along, so that the bytes themselves can pass on at once.
#[derive(Default)]
pub struct Cutter {
    begun: Vec<u8>,
}

impl Cutter {
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

/// A client's first line: `OPEN ID KEY NAME=VALUE,…`
pub struct Open<'a> {
    pub key: &'a str,
    fields: &'a str,
}

impl<'a> Open<'a> {
    pub fn parse(line: &'a str) -> Option<Self> {
        let mut parts = line.split(' ');
        let open = parts.next() == Some("OPEN");
        let id = parts.next().filter(|id| id.len() == 16 && u64::from_str_radix(id, 16).is_ok());
        let key = parts.next().filter(|key| !key.is_empty())?;
        let fields = parts.next().unwrap_or("");
        (open && id.is_some() && parts.next().is_none()).then_some(Open { key, fields })
    }

    pub fn field(&self, wanted: &str) -> Option<&'a str> {
        self.fields
            .split(',')
            .filter_map(|f| f.split_once('='))
            .find(|(name, _)| *name == wanted)
            .map(|f| f.1)
    }

    pub fn is_marked(&self, name: &str) -> bool {
        self.field(name) == Some("1")
    }

    /// How long the client waits; none if the line does not say it, or not in a number that is a time.
    pub fn patience(&self) -> Option<Span> {
        // A day: more is no patience, and keeps clear of overflows.
        const LONGEST_MS: f64 = 86_400_000.0;
        let ms: f64 = self.field("d")?.parse().ok()?;
        (0.0..=LONGEST_MS).contains(&ms).then(|| Span::from_ms(ms))
    }
}

/// The first line as the server gets it: unchanged but for `d`, which tells how long the proxy will wait.
pub fn with_wait(line: &str, wait: Span) -> String {
    let (head, fields) = line.rsplit_once(' ').unwrap_or(("", line));
    let wait = format!("d={}", wait.as_ms().floor());
    let fields: Vec<_> =
        fields.split(',').map(|f| if f.starts_with("d=") { wait.as_str() } else { f }).collect();
    format!("{head} {}\r\n", fields.join(","))
}

#[cfg(test)]
mod tests {
    use super::*;

    const LINE: &str = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=2000,x-new=3,g=5c0f";

    #[test]
    fn only_the_wait_of_a_first_line_changes() {
        let changed = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=730,x-new=3,g=5c0f\r\n";
        assert_eq!(with_wait(LINE, Span::from_ms(730.9)), changed);
        assert_eq!(with_wait("OPEN 1 k c=a,at=s", Span::millis(5)), "OPEN 1 k c=a,at=s\r\n");
    }

    #[test]
    fn a_first_line_is_read_or_refused() {
        let open = Open::parse(LINE).expect("a good line");
        assert_eq!((open.key, open.field("c"), open.field("q")), ("7f3a9c21e0b4d655", Some("chat"), None));
        assert_eq!(open.patience(), Some(Span::millis(2000)));
        for bad in
            ["", "OPEN", "OPEN zz k", "OPEN 9b1f03aa5c7e2d41", "OPEN 9b1f03aa5c7e2d41 k a=1 b=2", "GET /"]
        {
            assert!(Open::parse(bad).is_none(), "{bad}");
        }
        for bad in ["", "-1", "NaN", "inf", "soon", "1e300"] {
            let line = format!("OPEN 9b1f03aa5c7e2d41 k d={bad}");
            assert_eq!(Open::parse(&line).expect("well formed").patience(), None, "{bad}");
        }
    }

    #[test]
    fn lines_are_found_across_reads_and_an_endless_one_is_refused() {
        let mut cutter = Cutter::default();
        assert_eq!(cutter.feed(b"LOAD 1.5\r\nB"), Ok(vec![b"LOAD 1.5\r\n".to_vec()]));
        assert!(!cutter.between_lines());
        let lines = cutter.feed(b"YE\n\r\n").expect("short lines");
        assert_eq!(lines.iter().map(|l| text(l)).collect::<Vec<_>>(), ["BYE", ""]);
        assert!(cutter.between_lines());
        assert!(cutter.feed(&[b'x'; LONGEST]).is_ok());
        assert_eq!(cutter.feed(b"xxx"), Err(TooLong));
    }
}
