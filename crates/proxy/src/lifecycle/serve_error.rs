//! Errors of a running proxy.

use crate::fleet::fleet_file::FleetError;
use crate::net::transient::is_transient;
use std::net::SocketAddr;

/// Why a proxy cannot start to serve, or stopped.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The listening socket cannot be opened.
    #[error("cannot listen on {at} ({source}): see that the address is this machine's and that nobody listens there")]
    Listen {
        /// The address that was used.
        at: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The fleet file cannot be used, or the socket between peers cannot be opened.
    #[error("{0}")]
    Fleet(#[from] FleetError),
    /// The event loop or one of its sources failed.
    #[error("the event loop: {0}: see the limits on descriptors and memory, and start it again")]
    Loop(#[from] calloop::Error),
}

impl ServeError {
    /// Whether the same start may succeed a moment later without an operator's help.
    pub fn is_transient(&self) -> bool {
        match self {
            ServeError::Listen { source, .. } => is_transient(source),
            ServeError::Fleet(error) => error.is_transient(),
            ServeError::Loop(calloop::Error::IoError(source)) => is_transient(source),
            ServeError::Loop(_) => false,
        }
    }
}
