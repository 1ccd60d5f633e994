//! Errors of a call to discovery.

use crate::discovery::endpoint_list::ListError;
use crate::net::http::HttpError;
use std::net::SocketAddr;

/// Why a call to discovery brought no endpoint list.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection was refused or broke while it was being opened.
    #[error(
        "discovery at {at}: cannot connect ({source}): start it, or correct its address in the start-up file"
    )]
    Dial {
        /// The address that was used.
        at: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The connection was not established within the connect timeout.
    #[error("discovery at {at}: not connected in time: see whether it runs and the network path is open")]
    ConnectTimeout {
        /// The address that was used.
        at: SocketAddr,
    },
    /// The connection is established, and no complete response came in time.
    #[error(
        "discovery at {at}: silent, no response in time: polled again at once; if this goes on, look at it and the way there"
    )]
    ResponseTimeout {
        /// The address that was used.
        at: SocketAddr,
    },
    /// The response is not a successful one over HTTP/1.1.
    #[error("discovery at {at}: {source}")]
    Http {
        /// The address that was used.
        at: SocketAddr,
        /// The cause.
        source: HttpError,
    },
    /// The response's body is not a usable endpoint list.
    #[error("discovery at {at}: {source}")]
    List {
        /// The address that was used.
        at: SocketAddr,
        /// The cause.
        source: ListError,
    },
}
