//! The request that opens a session, `OPEN ID KEY NAME=VALUE,...`: parsing the line of a client, and rewriting it for
//! a server.

use shelfgrade::time::DurationExt;
use std::collections::BTreeMap;
use std::time::Duration;

const OPEN: &str = "OPEN";
/// Number of hexadecimal digits of a request id.
const REQUEST_ID_DIGITS: usize = 16;
/// Maximum request timeout in milliseconds: the largest 32-bit number, which restored sessions without a deadline
/// send.
const MAX_REQUEST_TIMEOUT_MS: f64 = u32::MAX as f64;

/// Field names on the wire.
mod field {
    pub const CLASS: &str = "c";
    pub const REQUEST_TIMEOUT_MS: &str = "d";
    pub const GROUP: &str = "g";
    pub const CUSTOMER: &str = "t";
    pub const SERVER: &str = "at";
    pub const MID_FLOW: &str = "mid";
    pub const RECONNECTED: &str = "again";
    pub const REPLAYABLE: &str = "r";
}

/// A parsed request to open a session: the first line of a client.
#[derive(Debug)]
pub struct OpenRequest {
    line: String,
    /// The request id, unique for each client connection.
    pub id: u64,
    /// The client key, by which sessions are placed.
    pub key: String,
    /// Index of the request class in the settings.
    pub class: usize,
    /// How long the client waits for the final response.
    pub request_timeout: Duration,
    /// The group of sessions that benefit from sharing a server.
    pub group: Option<String>,
    /// The customer's name.
    pub customer: Option<String>,
    /// The id of the server that held the session before the proxy started; set for a restored session.
    pub restored_from: Option<String>,
    /// Whether the session continues a flow that a server already holds.
    pub mid_flow: bool,
    /// Whether the client reconnects after it was rejected or migrated.
    pub reconnected: bool,
}

impl OpenRequest {
    /// Parses a line. The whole line is rejected if any part of it is malformed: a server would respond to it with an
    /// error, which would count against the server's health. Unknown fields are accepted if they are well formed.
    pub fn parse(line: &str, classes: &[String]) -> Option<Self> {
        let parts: Vec<_> = line.splitn(5, ' ').collect();
        let [OPEN, id, key, fields] = parts[..] else { return None };
        let id = parse_request_id(id)?;
        let fields = Fields::parse(fields)?;
        let request_timeout = fields.request_timeout()?;
        fields.flag(field::REPLAYABLE)?;
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
            reconnected: fields.flag(field::RECONNECTED)?,
        };
        (request.restored_from.is_none() || !request.mid_flow).then_some(request)
    }

    /// The line to send to a server, with its line ending. The request timeout is replaced by how long the proxy will
    /// wait; everything else is unchanged.
    pub fn to_server_line(&self, timeout: Duration) -> String {
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

/// The fields of a request by their names.
struct Fields<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Fields<'a> {
    /// Returns none if a field is malformed or occurs twice.
    fn parse(text: &'a str) -> Option<Self> {
        let mut fields = BTreeMap::new();
        for field in text.split(',') {
            let (name, value) = field.split_once('=')?;
            let is_well_formed = !name.is_empty() && !value.is_empty() && !value.contains('=');
            if !is_well_formed || fields.insert(name, value).is_some() {
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

    /// The value of a flag: false if the field is missing, none if its value is neither 0 nor 1.
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
