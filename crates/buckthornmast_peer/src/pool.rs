//! Pool of a client's connections to one peer.
//!
//! A [`Connection`] is an HTTP client that is used for one exchange at a time and therefore has one TCP connection.
//! Dropping it closes the TCP connection, even in the middle of an exchange.

use std::{
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

use jsonrpsee::http_client::HttpClient;
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::{config::Limits, exchange::ExchangeError};

/// Connection for one exchange at a time.
pub(crate) struct Connection {
    pub(crate) http: HttpClient,
    /// Time of the last exchange of a call or of notices.
    last_used: Instant,
    /// Time of the last answered exchange, pings included.
    last_answered: Instant,
}

/// Connection in use, with its permit.
pub(crate) struct PooledConnection<'a> {
    pub(crate) connection: Connection,
    _permit: SemaphorePermit<'a>,
}

/// Idle connections to one peer, and the permits that bound the connections in use.
pub(crate) struct Pool {
    url: String,
    max_body_bytes: usize,
    connect_timeout: Duration,
    idle: Mutex<Vec<Connection>>,
    permits: Semaphore,
}

/// Returns the largest size of an HTTP body that carries this many bytes of signed JSON, as quotes and
/// backslashes are escaped once more in the frame.
pub(crate) fn http_body_limit(body: usize) -> u32 {
    u32::try_from(body.saturating_mul(2).saturating_add(4096)).unwrap_or(u32::MAX)
}

impl Pool {
    pub(crate) fn new(address: SocketAddr, limits: &Limits) -> Self {
        Self {
            url: format!("http://{address}"),
            max_body_bytes: limits.max_body_bytes,
            connect_timeout: limits.connect_timeout,
            idle: Mutex::default(),
            permits: Semaphore::new(limits.max_connections_per_peer),
        }
    }

    fn lock_idle(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.idle
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn new_connection(&self) -> Result<Connection, ExchangeError> {
        let http = HttpClient::builder()
            .max_request_size(http_body_limit(self.max_body_bytes))
            .max_response_size(http_body_limit(self.max_body_bytes))
            .connect_timeout(self.connect_timeout)
            .build(&self.url)
            .map_err(|error| ExchangeError::Connect {
                detail: error.to_string(),
            })?;
        let now = Instant::now();
        Ok(Connection {
            http,
            last_used: now,
            last_answered: now,
        })
    }

    /// Waits for a permit and returns the most recently used idle connection, or a new one.
    pub(crate) async fn acquire(&self) -> Result<PooledConnection<'_>, ExchangeError> {
        let permit = self.permits.acquire().await;
        let permit = permit.map_err(|error| ExchangeError::Connect {
            detail: error.to_string(),
        })?;
        let idle = self.lock_idle().pop();
        let connection = idle.map_or_else(|| self.new_connection(), Ok)?;
        Ok(PooledConnection {
            connection,
            _permit: permit,
        })
    }

    /// Returns a connection after an answered exchange.
    pub(crate) fn release(&self, pooled: PooledConnection<'_>) {
        let mut connection = pooled.connection;
        connection.last_used = Instant::now();
        connection.last_answered = connection.last_used;
        self.lock_idle().push(connection);
    }

    /// Returns a connection after an answered ping, which doesn't reset its idle time.
    pub(crate) fn release_pinged(&self, mut connection: Connection) {
        connection.last_answered = Instant::now();
        self.lock_idle().insert(0, connection);
    }

    /// Closes connections beyond the idle timeout, and removes and returns those that are due for a ping.
    pub(crate) fn take_due_for_ping(&self, limits: &Limits) -> Vec<Connection> {
        let now = Instant::now();
        let mut idle = self.lock_idle();
        idle.retain(|connection| now.duration_since(connection.last_used) < limits.idle_timeout);
        idle.extract_if(.., |connection| {
            now.duration_since(connection.last_answered) >= limits.ping_interval
        })
        .collect()
    }
}
