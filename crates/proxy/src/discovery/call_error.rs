//! Errors of requests to the discovery service.

use crate::discovery::endpoint_list::ListError;
use crate::net::http::HttpError;
use std::net::SocketAddr;

/// Why a request to discovery returned no endpoint list.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection was refused, or failed while it was being established.
    #[error(
        "discovery at {at}: cannot connect ({source}): start it, or correct its address in the start-up file"
    )]
    Connect {
        /// The address of the discovery service.
        at: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The connection was not established within the connect timeout.
    #[error(
        "discovery at {at}: connecting timed out: check that it is running and reachable over the network"
    )]
    ConnectTimeout {
        /// The address of the discovery service.
        at: SocketAddr,
    },
    /// The connection was established, but no complete response arrived before the deadline.
    #[error(
        "discovery at {at}: response timed out; polling again: if this persists, check discovery and the network path"
    )]
    ResponseTimeout {
        /// The address of the discovery service.
        at: SocketAddr,
    },
    /// The response is not a valid HTTP/1.1 response, or its status is an error.
    #[error("discovery at {at}: {source}")]
    Http {
        /// The address of the discovery service.
        at: SocketAddr,
        /// The cause.
        source: HttpError,
    },
    /// The response body is not a valid endpoint list.
    #[error("discovery at {at}: {source}")]
    List {
        /// The address of the discovery service.
        at: SocketAddr,
        /// The cause.
        source: ListError,
    },
}
