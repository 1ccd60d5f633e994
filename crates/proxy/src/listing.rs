//! The server list in discovery's form.

use serde::Deserialize;
use shelfgrade::host::{Listed, Standing};
use shelfgrade::time::Point;
use std::net::SocketAddr;

/// Why a list is refused, which is always whole: the one held before goes on.
#[derive(Debug, thiserror::Error)]
pub enum ListFault {
    #[error("no list of servers ({0}): see what writes it, and that every entry has `host` and `health`")]
    Form(#[from] serde_json::Error),
    #[error("a list in which {host} has no address: give it a `dial`, or say that it is `terminated`")]
    NoAddress { host: String },
}

#[derive(Deserialize, Default)]
pub struct Listing {
    pub seq: u64,
    #[serde(default)]
    pub whole: bool,
    #[serde(default, rename = "hosts")]
    pub entries: Vec<Entry>,
}

#[derive(Deserialize)]
pub struct Entry {
    pub host: String,
    /// Where to connect; one that is gone may have none.
    pub dial: Option<SocketAddr>,
    #[serde(default)]
    pub site: String,
    #[serde(default, rename = "class")]
    pub kind: String,
    #[serde(default)]
    pub block: u64,
    pub health: Health,
    #[serde(default)]
    pub born_ms: f64,
}

#[derive(Deserialize, PartialEq, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    InService,
    Terminating,
    Terminated,
}

impl Listing {
    /// Reads an answer; one with any part that makes no sense is refused whole.
    pub fn parse(text: &[u8]) -> Result<Self, ListFault> {
        let listing: Listing = serde_json::from_slice(text)?;
        for entry in &listing.entries {
            if entry.dial.is_none() && entry.health != Health::Terminated {
                return Err(ListFault::NoAddress { host: entry.host.clone() });
            }
        }
        Ok(listing)
    }

    /// The list in the module's form, line by line as the entries stand here.
    pub fn lines(&self) -> Vec<Listed> {
        self.entries.iter().map(Entry::line).collect()
    }
}

impl Entry {
    fn line(&self) -> Listed {
        Listed {
            server: self.host.as_str().into(),
            zone: self.site.clone(),
            kind: self.kind.clone(),
            cell: self.block,
            started: (self.born_ms > 0.0).then(|| Point::from_ms(self.born_ms)),
            standing: match self.health {
                Health::InService => Standing::Active,
                Health::Terminating => Standing::Draining,
                Health::Terminated => Standing::Gone,
            },
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(health: &str, dial: &str) -> Result<Listing, ListFault> {
        let entry = format!(
            r#"{{"host":"s","dial":{dial},"class":"m2","health":"{health}","born_ms":0,"share":1.0}}"#
        );
        Listing::parse(format!(r#"{{"seq":4,"whole":true,"hosts":[{entry}]}}"#).as_bytes())
    }

    #[test]
    fn an_answer_is_taken_whole_or_not_at_all() {
        let listing = parse("in_service", r#""127.0.0.1:80""#).expect("a good answer");
        let line = &listing.lines()[0];
        assert_eq!((&*line.server, line.started, line.standing), ("s", None, Standing::Active));
        assert_eq!(line.kind, "m2");
        assert!(parse("terminated", "null").is_ok());
        assert!(parse("in_service", "null").is_err());
        assert!(parse("in_service", r#""nowhere""#).is_err());
        assert!(parse("dozing", r#""127.0.0.1:80""#).is_err());
        let without = |class: &str| {
            let entry = format!(r#"{{"host":"s","dial":"127.0.0.1:80",{class}"health":"in_service"}}"#);
            Listing::parse(format!(r#"{{"seq":4,"hosts":[{entry}]}}"#).as_bytes())
        };
        assert!(without("").is_ok_and(|listing| listing.lines()[0].kind.is_empty()), "kinds may be left out");
        assert!(without(r#""class":7,"#).is_err());
    }
}
