//! Errors of a running proxy.

use crate::fleet::fleet_file::FleetError;
use crate::net::transient::is_transient;
use std::net::SocketAddr;

/// Why a proxy could not start, or stopped serving.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The listening socket cannot be opened.
    #[error("cannot listen on {at} ({source}): check that the address belongs to this machine and is free")]
    Listen {
        /// The address to listen on.
        at: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The fleet file is invalid, or the socket for peer traffic cannot be opened.
    #[error("{0}")]
    Fleet(#[from] FleetError),
    /// The event loop or one of its event sources failed.
    #[error("event loop failed ({0}): check the limits on descriptors and memory, and restart the proxy")]
    Loop(#[from] calloop::Error),
}

impl ServeError {
    /// Whether starting again may succeed without an operator's intervention.
    pub fn is_transient(&self) -> bool {
        match self {
            ServeError::Listen { source, .. } => is_transient(source),
            ServeError::Fleet(error) => error.is_transient(),
            ServeError::Loop(calloop::Error::IoError(source)) => is_transient(source),
            ServeError::Loop(_) => false,
        }
    }
}
