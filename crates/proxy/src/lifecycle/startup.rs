//! What a proxy is given at its start: the environment, and the start-up file that it names.

use crate::discovery::endpoint_list::{EndpointList, ListError};
use crate::net::transient::is_transient;
use serde::Deserialize;
use serde_json::value::RawValue;
use shelfgrade_settings::{Settings, SettingsError};
use std::env;
use std::net::SocketAddr;

/// Why a start-up file cannot be used; each text says where the error is and what to do about it.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The environment names no file.
    #[error("RELAY_CONFIG is not set: have it name the start-up file")]
    Unnamed,
    /// The file cannot be read.
    #[error("{path}: cannot be read ({source}): see that the file is there and may be read by this user")]
    Unreadable { path: String, source: std::io::Error },
    /// The file's contents cannot be used.
    #[error("{path}: {source}")]
    Unusable { path: String, source: FileError },
}

impl StartError {
    /// Whether the same call may succeed a moment later without an operator's help.
    pub fn is_transient(&self) -> bool {
        matches!(self, StartError::Unreadable { source, .. } if is_transient(source))
    }
}

/// What is wrong in a start-up file.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The text is not JSON of this form.
    #[error("no start-up file ({0}): correct the JSON there")]
    Form(#[from] serde_json::Error),
    /// A value is neither in the file nor in the environment.
    #[error("{0} is not set: give it in the file or in the environment")]
    Missing(&'static str),
    /// An address cannot be parsed.
    #[error("{name}: {text} is not an address with a port: write one such as 127.0.0.1:8000")]
    Address { name: &'static str, text: String },
    /// The seed cannot be parsed.
    #[error("seed: {0:?} is not a hexadecimal number: write up to sixteen digits of 0 to 9 and a to f")]
    Seed(String),
    /// The endpoint list under `known` cannot be used.
    #[error("known: {0}")]
    Known(#[from] ListError),
    /// The settings cannot be used.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}

/// A start-up file that was read and checked.
pub struct Start {
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Seed of all random draws.
    pub seed: u64,
    pub settings: Settings,
    /// The JSON that the settings were read from.
    pub settings_text: String,
    pub limits: Limits,
    /// The endpoint list as this proxy last had it; may be outdated.
    pub known: EndpointList,
}

/// Resources that the proxy may use.
#[derive(Deserialize, Clone, Copy)]
pub struct Limits {
    /// Memory in MiB.
    pub memory_mb: u64,
    /// Open file descriptors.
    pub sockets: u64,
}

/// The file's keys.
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
    /// Reads the file that `RELAY_CONFIG` names. A name or address that it leaves out comes from the environment.
    ///
    /// # Errors
    ///
    /// [`StartError`] if there is no such file, or it cannot be read or used.
    pub fn from_environment() -> Result<Self, StartError> {
        let path = env::var("RELAY_CONFIG").map_err(|_| StartError::Unnamed)?;
        let read = std::fs::read_to_string(&path);
        let text = read.map_err(|source| StartError::Unreadable { path: path.clone(), source })?;
        let parsed = Self::parse(&text, |name| env::var(name).ok());
        parsed.map_err(|source| StartError::Unusable { path, source })
    }

    /// Checks the file's text; `environment` gives the values of environment variables.
    ///
    /// # Errors
    ///
    /// [`FileError`] if any part of it cannot be used.
    pub fn parse(text: &str, environment: impl Fn(&str) -> Option<String>) -> Result<Self, FileError> {
        let file: File = serde_json::from_str(text)?;
        let or_from_environment = |given: Option<String>, name: &'static str| {
            given.or_else(|| environment(name)).ok_or(FileError::Missing(name))
        };
        let address = |given, name: &'static str| {
            let text = or_from_environment(given, name)?;
            text.parse().map_err(|_| FileError::Address { name, text })
        };
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| FileError::Seed(file.seed))?;
        let known = file.known.map(|known| EndpointList::parse(known.get().as_bytes())).transpose()?;
        Ok(Start {
            name: or_from_environment(file.name, "RELAY_NAME")?,
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

/// Sets the process's limit on descriptors to `wanted`, as far as the system's maximum allows, and returns the limit in
/// force. The proxy has to go by that one: descriptors run out before a limit that cannot be reached.
pub fn limit_descriptors(wanted: u64) -> u64 {
    use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    let reachable = maximum.map_or(wanted, |maximum| maximum.min(wanted));
    let limit = match setrlimit(Resource::Nofile, Rlimit { current: Some(reachable), maximum }) {
        Ok(()) => reachable,
        Err(error) => {
            log::warn!("the limit on descriptors stays as it is: {error}");
            current.map_or(wanted, |current| current.min(wanted))
        }
    };
    if limit < wanted {
        log::warn!("descriptors: {limit}, where `sockets` is {wanted}: raise the system's maximum, or lower `sockets`");
    }
    limit
}
