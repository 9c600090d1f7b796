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
        /// Address of the other end.
        peer: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The connection is not established in time.
    #[snafu(display("connecting to {peer}: no answer in time"))]
    Timeout {
        /// Address of the other end.
        peer: SocketAddr,
    },
    /// The socket options can't be set.
    #[snafu(display("setting options of the connection to {peer}: {source}"))]
    Socket {
        /// Address of the other end.
        peer: SocketAddr,
        /// Cause.
        source: io::Error,
    },
}
