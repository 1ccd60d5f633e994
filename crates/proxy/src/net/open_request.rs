//! The first line of a client, `OPEN ID KEY NAME=VALUE,...`: reading it, and writing it for a server.

use shelfgrade::time::DurationExt;
use std::collections::BTreeMap;
use std::time::Duration;

const OPEN: &str = "OPEN";
/// Hexadecimal digits of a request id.
const REQUEST_ID_DIGITS: usize = 16;
/// The longest request timeout, in milliseconds: what 32 bits hold. Restored sessions without a deadline send it.
const MAX_REQUEST_TIMEOUT_MS: f64 = u32::MAX as f64;

/// The names of fields on the wire.
mod field {
    pub const CLASS: &str = "c";
    pub const REQUEST_TIMEOUT_MS: &str = "d";
    pub const GROUP: &str = "g";
    pub const CUSTOMER: &str = "t";
    pub const SERVER: &str = "at";
    pub const MID_FLOW: &str = "mid";
    pub const RETURNED: &str = "again";
    pub const IS_REPLAYABLE: &str = "r";
}

/// A client's first line.
#[derive(Debug)]
pub struct OpenRequest {
    line: String,
    /// Unique for each connection.
    pub id: u64,
    /// The key of the client's flow.
    pub key: String,
    /// The request class's position among the configured names.
    pub class: usize,
    /// How long the client waits for its final answer.
    pub request_timeout: Duration,
    /// The group whose sessions share servers.
    pub group: Option<String>,
    /// The tenant.
    pub customer: Option<String>,
    /// The server that held the session before the proxy started.
    pub restored_from: Option<String>,
    /// The flow is known to a server.
    pub mid_flow: bool,
    /// The client connects again after it was rejected or migrated.
    pub reconnected: bool,
}

impl OpenRequest {
    /// Reads a line, or rejects all of it: a server would answer a malformed one with an error, which would count
    /// against the server's health. Unknown fields are forwarded if they are well formed.
    pub fn parse(line: &str, classes: &[String]) -> Option<Self> {
        let parts: Vec<_> = line.splitn(5, ' ').collect();
        let [OPEN, id, key, fields] = parts[..] else { return None };
        let id = parse_request_id(id)?;
        let fields = Fields::parse(fields)?;
        let request_timeout = fields.request_timeout()?;
        fields.flag(field::IS_REPLAYABLE)?;
        let request = OpenRequest {
            line: line.to_owned(),
            id,
            key: Some(key).filter(|key| !key.is_empty())?.to_owned(),
            class: classes.iter().position(|class| fields.get(field::CLASS) == Some(class))?,
            request_timeout,
            group: fields.text(field::GROUP),
            customer: fields.text(field::CUSTOMER),
            restored_from: fields.text(field::SERVER),
            mid_flow: fields.flag(field::MID_FLOW)?,
            reconnected: fields.flag(field::RETURNED)?,
        };
        (request.restored_from.is_none() || !request.mid_flow).then_some(request)
    }

    /// The line as the server gets it, with its line end: unchanged but for the request timeout, which tells how long
    /// the proxy will wait.
    pub fn for_server(&self, timeout: Duration) -> String {
        let (head, fields) = self.line.rsplit_once(' ').unwrap_or(("", &self.line));
        let prefix = format!("{}=", field::REQUEST_TIMEOUT_MS);
        let timeout = format!("{prefix}{}", timeout.as_ms().floor());
        let fields: Vec<_> = fields
            .split(',')
            .map(|field| if field.starts_with(&prefix) { timeout.as_str() } else { field })
            .collect();
        format!("{head} {}\r\n", fields.join(","))
    }
}

fn parse_request_id(id: &str) -> Option<u64> {
    let is_hexadecimal = id.len() == REQUEST_ID_DIGITS && id.bytes().all(|b| b.is_ascii_hexdigit());
    is_hexadecimal.then(|| u64::from_str_radix(id, 16).ok())?
}

/// The fields of a first line by their names.
struct Fields<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Fields<'a> {
    /// None if a field is malformed or comes twice.
    fn parse(text: &'a str) -> Option<Self> {
        let mut fields = BTreeMap::new();
        for field in text.split(',') {
            let (name, value) = field.split_once('=')?;
            let well_formed = !name.is_empty() && !value.is_empty() && !value.contains('=');
            if !well_formed || fields.insert(name, value).is_some() {
                return None;
            }
        }
        Some(Fields(fields))
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.0.get(name).copied()
    }

    fn text(&self, name: &str) -> Option<String> {
        self.get(name).map(str::to_owned)
    }

    /// None if the value is neither 0 nor 1; false if the field is missing.
    fn flag(&self, name: &str) -> Option<bool> {
        match self.get(name) {
            None | Some("0") => Some(false),
            Some("1") => Some(true),
            Some(_) => None,
        }
    }

    fn request_timeout(&self) -> Option<Duration> {
        let is_decimal = |text: &&str| text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let ms: f64 = self.get(field::REQUEST_TIMEOUT_MS).filter(is_decimal)?.parse().ok()?;
        (0.0..=MAX_REQUEST_TIMEOUT_MS).contains(&ms).then(|| Duration::from_ms(ms))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/open_request.rs"]
mod tests;
