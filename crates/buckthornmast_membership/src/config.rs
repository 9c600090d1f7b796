//! Configuration and start errors.

use std::{
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use buckthornmast_types::id;
use buckthornmast_wire::key::Key;
use snafu::Snafu;

/// Maximum number of members of one failure domain; the ages of more would leave too little room in a datagram.
pub const MAX_DOMAIN_MEMBERS: usize = 1000;

/// Instance whose heartbeats are accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name of the instance, unique in the peer list.
    pub instance: id::Instance,
    /// Failure domain.
    pub domain: id::Domain,
    /// Address for datagrams.
    pub address: SocketAddr,
}

/// Heartbeat interval and timeouts of the failure detection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Time since an instance was last known to be alive after which it is suspect.
    pub suspect_after: Duration,
    /// Time since an instance was last known to be alive after which it is dead.
    pub dead_after: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(200),
            suspect_after: Duration::from_secs(1),
            dead_after: Duration::from_secs(2),
        }
    }
}

/// Configuration of one instance.
#[derive(Debug)]
pub struct Config {
    /// Name of this instance; must be in `members`.
    pub me: id::Instance,
    /// All instances, this one included.
    pub members: Vec<Member>,
    /// Key of the cluster; datagrams that are signed with another key are ignored.
    pub key: Key,
    /// Bound socket to send and receive datagrams.
    pub socket: UdpSocket,
    /// Number that identifies this start of the instance and is higher than at its last start, such as milliseconds
    /// since the epoch.
    ///
    /// If other instances know a higher one, this instance raises its own above it.
    pub incarnation: id::Incarnation,
    /// Heartbeat interval and timeouts of the failure detection.
    pub timing: Timing,
}

/// Error that prevents membership from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// This instance is not in the list.
    #[snafu(display("instance {me} is not in the peer list"))]
    Missing {
        /// This instance.
        me: id::Instance,
    },
    /// Two entries have the same name or the same hash of their names, so datagrams can't distinguish them.
    #[snafu(display("{one} and {other} have the same short id; rename one"))]
    Collision {
        /// One name.
        one: String,
        /// Other name.
        other: String,
    },
    /// A failure domain has more than [`MAX_DOMAIN_MEMBERS`] members.
    #[snafu(display("failure domain {domain} has more than {MAX_DOMAIN_MEMBERS} members"))]
    Size {
        /// Failure domain.
        domain: id::Domain,
    },
    /// The socket or the thread can't be set up.
    #[snafu(display("membership failed to start at step {step}: {source}"))]
    Io {
        /// Step that failed.
        step: &'static str,
        /// Cause.
        source: std::io::Error,
    },
}
