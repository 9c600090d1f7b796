//! File descriptors of this process and their division among the ports.
//!
//! A request in progress takes two descriptors, one for the caller's connection and one for the target's. Only the
//! number of callers is unbounded, so their connections and exchanges are limited to what the reserve leaves. The
//! reserve is for peers, operators, reports and orders of targets, and files.

use std::io;

use buckthornmast_config::daemon::Limits;
use snafu::Snafu;

/// Maximum number of exchanges of callers where the settings give none; a low descriptor limit allows fewer.
const MAX_EXCHANGES: usize = 2000;

/// Maximum number of connections of callers where the settings give none; a low descriptor limit allows fewer, and a
/// higher number of exchanges in the settings allows more.
const MAX_CONNECTIONS: usize = 8192;

/// Minimum number of descriptors in the default reserve. An idle daemon in a cluster of three with one target uses up
/// to 36.
const MIN_RESERVE: usize = 128;

/// Limits derived from the descriptor limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shares {
    /// Exchanges of callers in progress.
    pub exchanges: usize,
    /// Connections of callers.
    pub connections: usize,
    /// Connections of operators.
    pub operators: usize,
    /// Connections of targets that report.
    pub targets: usize,
}

/// Reason why the descriptors cannot be divided as the settings require.
#[derive(Debug, Snafu)]
pub enum ShareError {
    /// The limit could not be read.
    #[snafu(display("the limit of file descriptors can't be read: {source}"))]
    Unknown {
        /// Cause.
        source: io::Error,
    },
    /// There are too few descriptors.
    #[snafu(display(
        "[limits]: {connections} connections and {exchanges} exchanges of callers need {} file descriptors \
         beside the reserve of {reserve}, and the limit of this process is {limit}",
        connections.saturating_add(*exchanges)
    ))]
    TooFew {
        /// Connections of callers.
        connections: usize,
        /// Exchanges of callers.
        exchanges: usize,
        /// Reserve.
        reserve: usize,
        /// Soft limit of the process.
        limit: usize,
    },
}

/// Returns the soft limit of descriptors of this process.
pub fn limit() -> Result<usize, ShareError> {
    let read = rlimit::getrlimit(rlimit::Resource::NOFILE);
    let (soft, _) = read.map_err(|source| ShareError::Unknown { source })?;
    Ok(usize::try_from(soft).unwrap_or(usize::MAX))
}

/// Divides the descriptors that the process may open, `limit` in all, among the ports.
pub fn share(limit: usize, limits: &Limits) -> Result<Shares, ShareError> {
    let reserve = limits
        .reserved_descriptors
        .unwrap_or_else(|| MIN_RESERVE.max(limit / 4));
    let available = limit.saturating_sub(reserve);
    let exchanges = limits.exchanges.unwrap_or_else(|| {
        let max = limits.connections.map_or(available / 8 * 3, |set| {
            available.saturating_sub(set).min(set)
        });
        max.clamp(1, MAX_EXCHANGES)
    });
    // More connections than exchanges, so that a caller beyond the exchange limit still gets a connection on
    // which it is refused, and can take the place of an idle one.
    let connections = limits.connections.unwrap_or_else(|| {
        let min = exchanges.saturating_add(1);
        let max = available.saturating_sub(exchanges);
        max.min(MAX_CONNECTIONS).max(min)
    });
    // Each exchange has its own connection, so there are never more exchanges than connections.
    let in_use = connections.saturating_add(exchanges.min(connections));
    if in_use > available {
        return Err(ShareError::TooFew {
            connections,
            exchanges,
            reserve,
            limit,
        });
    }
    Ok(Shares {
        exchanges,
        connections,
        operators: (reserve / 8).clamp(8, 1024),
        targets: (reserve / 4).clamp(16, 2048),
    })
}
