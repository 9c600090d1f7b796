//! Reasons why a connection can't be opened.

use std::{io, net::SocketAddr};

use snafu::Snafu;

/// Reason why a connection can't be opened.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The other end can't be reached.
    #[snafu(display("connecting to {peer}: {source}"))]
    Connect {
        /// Other end.
        peer: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The other end doesn't answer.
    #[snafu(display("connecting to {peer}: no answer in time"))]
    Timeout {
        /// Other end.
        peer: SocketAddr,
    },
    /// The options of the socket can't be set.
    #[snafu(display("setting options of the connection to {peer}: {source}"))]
    Socket {
        /// Other end.
        peer: SocketAddr,
        /// Cause.
        source: io::Error,
    },
}
