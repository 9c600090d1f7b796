//! Connections of a client to one peer.
//!
//! A lane is an HTTP client that is used for one exchange at a time and so has one connection.
//! Dropping a lane closes the connection, also in the middle of an exchange.

use std::{
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

use jsonrpsee::http_client::HttpClient;
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::{config::Limits, exchange::ExchangeError};

/// Connection that is not in use.
pub(crate) struct Lane {
    pub(crate) http: HttpClient,
    /// Last exchange of a call or of notices.
    used: Instant,
    /// Last answered exchange, pings included.
    answered: Instant,
}

/// Connection in use and the permit for it.
pub(crate) struct Busy<'a> {
    pub(crate) lane: Lane,
    _permit: SemaphorePermit<'a>,
}

/// Idle connections to one peer.
pub(crate) struct Lanes {
    url: String,
    body: usize,
    connect: Duration,
    idle: Mutex<Vec<Lane>>,
    permits: Semaphore,
}

/// Returns the size of an HTTP body for this much signed JSON: quotes and backslashes are escaped
/// once more in the frame.
pub(crate) fn http_body_limit(body: usize) -> u32 {
    u32::try_from(body.saturating_mul(2).saturating_add(4096)).unwrap_or(u32::MAX)
}

impl Lanes {
    pub(crate) fn new(address: SocketAddr, limits: &Limits) -> Self {
        Self {
            url: format!("http://{address}"),
            body: limits.body,
            connect: limits.connect,
            idle: Mutex::default(),
            permits: Semaphore::new(limits.lanes),
        }
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, Vec<Lane>> {
        self.idle
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn open(&self) -> Result<Lane, ExchangeError> {
        let http = HttpClient::builder()
            .max_request_size(http_body_limit(self.body))
            .max_response_size(http_body_limit(self.body))
            .connect_timeout(self.connect)
            .build(&self.url)
            .map_err(|error| ExchangeError::Connect {
                detail: error.to_string(),
            })?;
        let now = Instant::now();
        Ok(Lane {
            http,
            used: now,
            answered: now,
        })
    }

    /// Waits for a permit and takes the connection that was used last, or a new one.
    pub(crate) async fn take(&self) -> Result<Busy<'_>, ExchangeError> {
        let permit = self.permits.acquire().await;
        let permit = permit.map_err(|error| ExchangeError::Connect {
            detail: error.to_string(),
        })?;
        let idle = self.idle().pop();
        let lane = idle.map_or_else(|| self.open(), Ok)?;
        Ok(Busy {
            lane,
            _permit: permit,
        })
    }

    /// Returns a connection after an answered exchange.
    pub(crate) fn put(&self, busy: Busy<'_>) {
        let mut lane = busy.lane;
        lane.used = Instant::now();
        lane.answered = lane.used;
        self.idle().push(lane);
    }

    /// Returns a connection whose ping was answered; its idle time goes on.
    pub(crate) fn put_pinged(&self, mut lane: Lane) {
        lane.answered = Instant::now();
        self.idle().insert(0, lane);
    }

    /// Closes connections that were idle for long and removes those that are due for a ping.
    pub(crate) fn take_due(&self, limits: &Limits) -> Vec<Lane> {
        let now = Instant::now();
        let mut idle = self.idle();
        idle.retain(|lane| now.duration_since(lane.used) < limits.idle);
        idle.extract_if(.., |lane| now.duration_since(lane.answered) >= limits.ping)
            .collect()
    }
}
