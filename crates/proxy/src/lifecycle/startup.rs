//! What a proxy is told at its start: the environment, and the file that it names.

use crate::discovery::endpoint_list::{EndpointList, ListError};
use crate::net::transient::is_transient;
use serde::Deserialize;
use serde_json::value::RawValue;
use shelfgrade_settings::{Settings, SettingsError};
use std::env;
use std::net::SocketAddr;

/// Why a start-up file cannot be used; each text says where the fault is and what to do about it.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("RELAY_CONFIG is not set: have it name the start-up file")]
    Unnamed,
    #[error("{path}: cannot be read ({source}): see that the file is there and may be read by this user")]
    Unreadable { path: String, source: std::io::Error },
    #[error("{path}: {source}")]
    Unusable { path: String, source: FileError },
}

impl StartError {
    /// Whether the file may be read a moment later.
    pub fn is_transient(&self) -> bool {
        matches!(self, StartError::Unreadable { source, .. } if is_transient(source))
    }
}

/// What is wrong in a start-up file.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    #[error("no start-up file ({0}): correct the JSON there")]
    Form(#[from] serde_json::Error),
    #[error("{0} is not set: give it in the file or in the environment")]
    Missing(&'static str),
    #[error("{name}: {text} is not an address with a port: write one such as 127.0.0.1:8000")]
    Address { name: &'static str, text: String },
    #[error("seed: {0:?} is not a hexadecimal number: write up to sixteen digits of 0 to 9 and a to f")]
    Seed(String),
    #[error("known: {0}")]
    Known(#[from] ListError),
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}

pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// For all that is left to chance.
    pub seed: u64,
    pub settings: Settings,
    /// The text that the settings were read from.
    pub settings_text: String,
    pub limits: Limits,
    /// The list as this proxy last had it; may be old.
    pub known: EndpointList,
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
    #[serde(borrow, rename = "settings")]
    settings_text: &'a RawValue,
}

impl Start {
    /// Reads the file that `RELAY_CONFIG` names; what it leaves out of name and addresses comes from the
    /// environment.
    pub fn from_environment() -> Result<Self, StartError> {
        let path = env::var("RELAY_CONFIG").map_err(|_| StartError::Unnamed)?;
        let read = std::fs::read_to_string(&path);
        let text = read.map_err(|source| StartError::Unreadable { path: path.clone(), source })?;
        let parsed = Self::parse(&text, |name| env::var(name).ok());
        parsed.map_err(|source| StartError::Unusable { path, source })
    }

    pub fn parse(text: &str, environment: impl Fn(&str) -> Option<String>) -> Result<Self, FileError> {
        let file: File = serde_json::from_str(text)?;
        let or_else = |given: Option<String>, name: &'static str| {
            given.or_else(|| environment(name)).ok_or(FileError::Missing(name))
        };
        let address = |given, name: &'static str| {
            let text = or_else(given, name)?;
            text.parse().map_err(|_| FileError::Address { name, text })
        };
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| FileError::Seed(file.seed))?;
        let known = file.known.map(|known| EndpointList::parse(known.get().as_bytes())).transpose()?;
        Ok(Start {
            name: or_else(file.name, "RELAY_NAME")?,
            listen: address(file.listen, "RELAY_LISTEN")?,
            discovery: address(file.discovery, "RELAY_DISCOVERY")?,
            seed,
            settings: shelfgrade_settings::parse(seed, file.settings_text.get())?,
            settings_text: file.settings_text.get().to_owned(),
            limits: file.limits,
            known: known.unwrap_or_default(),
        })
    }
}

/// Sets the system's limit to the one that was given, so that neither is met by surprise; gives the one that is reached.
/// Guards against going by a limit that the system's maximum keeps out of reach: descriptors would run out before it.
pub fn limit_descriptors(wanted: u64) -> u64 {
    use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    let reachable = maximum.map_or(wanted, |most| most.min(wanted));
    let reached = match setrlimit(Resource::Nofile, Rlimit { current: Some(reachable), maximum }) {
        Ok(()) => reachable,
        Err(error) => {
            log::warn!("the limit on descriptors stays as it is: {error}");
            current.map_or(wanted, |current| current.min(wanted))
        }
    };
    if reached < wanted {
        log::warn!("descriptors: {reached}, where `sockets` is {wanted}: raise the system's maximum, or lower `sockets`");
    }
    reached
}
