//! What a proxy is told at its start: the environment, and the file that it names.

use crate::listing::Listing;
use anyhow::{Context, Result};
use serde::Deserialize;
use serde_json::value::RawValue;
use shelfgrade_terms::Terms;
use std::env;
use std::net::SocketAddr;

pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub terms: Terms,
    pub limits: Limits,
    /// The list as this proxy last had it; may be old.
    pub known: Listing,
}

#[derive(Deserialize, Clone, Copy)]
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: u64,
}

#[derive(Deserialize)]
struct File<'a> {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: String,
    limits: Limits,
    #[serde(borrow)]
    known: Option<&'a RawValue>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

impl Start {
    /// Reads the file that `RELAY_CONFIG` names; what it leaves out of name and addresses comes from the
    /// environment.
    pub fn from_environment() -> Result<Self> {
        let path =
            env::var("RELAY_CONFIG").context("RELAY_CONFIG, the path of the start-up file, is not set")?;
        let text = std::fs::read_to_string(&path).with_context(|| format!("cannot read {path}"))?;
        Self::parse(&text, |name| env::var(name).ok()).with_context(|| path)
    }

    pub fn parse(text: &str, environment: impl Fn(&str) -> Option<String>) -> Result<Self> {
        let file: File = serde_json::from_str(text)?;
        let or_else = |given: Option<String>, name: &str| {
            given.or_else(|| environment(name)).with_context(|| format!("{name} is not set"))
        };
        let address = |given, name: &str| {
            let text = or_else(given, name)?;
            text.parse().with_context(|| format!("{name}: {text} is not an address with a port"))
        };
        let seed = u64::from_str_radix(&file.seed, 16);
        let seed = seed.with_context(|| format!("seed {:?} is not a hexadecimal number", file.seed))?;
        let known = file.known.map(|k| Listing::parse(k.get().as_bytes()).context("known")).transpose()?;
        Ok(Start {
            name: or_else(file.name, "RELAY_NAME")?,
            listen: address(file.listen, "RELAY_LISTEN")?,
            discovery: address(file.discovery, "RELAY_DISCOVERY")?,
            terms: shelfgrade_terms::parse(seed, file.settings.get()).context("settings")?,
            limits: file.limits,
            known: known.unwrap_or_default(),
        })
    }
}
