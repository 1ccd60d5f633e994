//! The configuration of a proxy: the start-up file that the environment names, and environment variables.

use crate::discovery::endpoint_list::{EndpointList, ListError};
use crate::net::transient::is_transient;
use serde::Deserialize;
use serde_json::value::RawValue;
use shelfgrade_settings::{Settings, SettingsError};
use std::env;
use std::net::SocketAddr;

/// Why the configuration cannot be loaded. Each message says where the error is and how to correct it.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    /// The environment variable with the path of the file is not set.
    #[error("RELAY_CONFIG is not set: set it to the path of the start-up file")]
    PathNotSet,
    /// The file cannot be read.
    #[error("{path}: cannot be read ({source}): check that the file exists and that this user may read it")]
    Unreadable {
        /// The file's path.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The file's contents are invalid.
    #[error("{path}: {source}")]
    Invalid {
        /// The file's path.
        path: String,
        /// The cause.
        source: StartupFileError,
    },
}

impl StartupError {
    /// Whether the same call may succeed later without an operator's intervention.
    pub fn is_transient(&self) -> bool {
        matches!(self, StartupError::Unreadable { source, .. } if is_transient(source))
    }
}

/// Why the contents of a start-up file are invalid.
#[derive(Debug, thiserror::Error)]
pub enum StartupFileError {
    /// The text is not valid JSON, or does not have the expected structure.
    #[error("invalid start-up file ({0}): correct the JSON")]
    Format(#[from] serde_json::Error),
    /// A value is neither in the file nor in the environment.
    #[error("{0} is not set: set it in the file or in the environment")]
    Missing(&'static str),
    /// An address cannot be parsed.
    #[error("{name}: {text} is not an address with a port: write one such as 127.0.0.1:8000")]
    InvalidAddress {
        /// The environment variable that can also set the address.
        name: &'static str,
        /// The text that cannot be parsed.
        text: String,
    },
    /// The seed cannot be parsed.
    #[error("seed: {0:?} is not a hexadecimal number: write up to sixteen digits from 0 to 9 and a to f")]
    InvalidSeed(String),
    /// The endpoint list under `known` is invalid.
    #[error("known: {0}")]
    KnownList(#[from] ListError),
    /// The settings are invalid.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}

/// The validated configuration of a proxy.
pub struct StartupConfig {
    /// This process's name, used in the log and in its fleet.
    pub name: String,
    /// Address that clients connect to.
    pub listen_address: SocketAddr,
    /// Address of the discovery service.
    pub discovery_address: SocketAddr,
    /// Seed of all random number generators.
    pub seed: u64,
    /// The load balancer and its settings.
    pub settings: Settings,
    /// The JSON text that the settings were parsed from.
    pub settings_text: String,
    /// Resource limits of the proxy.
    pub limits: Limits,
    /// The endpoint list known at startup; may be outdated.
    pub known_endpoints: EndpointList,
}

/// Resource limits of the proxy.
#[derive(Deserialize, Clone, Copy)]
pub struct Limits {
    /// Memory in MiB.
    pub memory_mb: u64,
    /// Maximum number of open file descriptors.
    pub sockets: u64,
}

/// The JSON structure of the start-up file.
#[derive(Deserialize)]
struct StartupFile<'a> {
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

impl StartupConfig {
    /// Reads the file that `RELAY_CONFIG` names. A name or address that the file omits is read from the environment.
    ///
    /// # Errors
    ///
    /// [`StartupError`] if the variable is not set, or the file cannot be read or is invalid.
    pub fn from_environment() -> Result<Self, StartupError> {
        let path = env::var("RELAY_CONFIG").map_err(|_| StartupError::PathNotSet)?;
        let read = std::fs::read_to_string(&path);
        let text = read.map_err(|source| StartupError::Unreadable { path: path.clone(), source })?;
        let parsed = Self::parse(&text, |name| env::var(name).ok());
        parsed.map_err(|source| StartupError::Invalid { path, source })
    }

    /// Parses and validates the text of the file; `environment` returns the value of an environment variable.
    ///
    /// # Errors
    ///
    /// [`StartupFileError`] if any part of the configuration is missing or invalid.
    pub fn parse(text: &str, environment: impl Fn(&str) -> Option<String>) -> Result<Self, StartupFileError> {
        let file: StartupFile = serde_json::from_str(text)?;
        let or_from_environment = |from_file: Option<String>, name: &'static str| {
            from_file.or_else(|| environment(name)).ok_or(StartupFileError::Missing(name))
        };
        let address = |from_file, name: &'static str| {
            let text = or_from_environment(from_file, name)?;
            text.parse().map_err(|_| StartupFileError::InvalidAddress { name, text })
        };
        let seed =
            u64::from_str_radix(&file.seed, 16).map_err(|_| StartupFileError::InvalidSeed(file.seed))?;
        let known = file.known.map(|known| EndpointList::parse(known.get().as_bytes())).transpose()?;
        Ok(StartupConfig {
            name: or_from_environment(file.name, "RELAY_NAME")?,
            listen_address: address(file.listen, "RELAY_LISTEN")?,
            discovery_address: address(file.discovery, "RELAY_DISCOVERY")?,
            seed,
            settings: shelfgrade_settings::parse(seed, file.settings_text.get())?,
            settings_text: file.settings_text.get().to_owned(),
            limits: file.limits,
            known_endpoints: known.unwrap_or_default(),
        })
    }
}

/// Sets the process's descriptor limit to `wanted`, or to the system's maximum if that is lower, and returns the
/// resulting limit. The proxy must use this value, because it would run out of descriptors before it reaches a higher
/// one.
pub fn limit_descriptors(wanted: u64) -> u64 {
    use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    let reachable = maximum.map_or(wanted, |maximum| maximum.min(wanted));
    let limit = match setrlimit(Resource::Nofile, Rlimit { current: Some(reachable), maximum }) {
        Ok(()) => reachable,
        Err(error) => {
            log::warn!("cannot change the descriptor limit: {error}");
            current.map_or(wanted, |current| current.min(wanted))
        }
    };
    if limit < wanted {
        log::warn!(
            "descriptor limit is {limit}, but `sockets` is {wanted}: raise the system's maximum or lower `sockets`"
        );
    }
    limit
}
