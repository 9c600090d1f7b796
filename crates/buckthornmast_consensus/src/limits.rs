//! Bounds in bytes of a replica's commands and of its data folder.

use crate::core::{MAX_UNCOMMITTED_BYTES, MAX_WINDOW_BYTES};

/// Bytes of the records of one folder besides commands and snapshots.
const RECORDS_BYTES: u64 = 1 << 20;

/// Bounds of one replica, in bytes. They must be equal on all replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest encoded command; a larger one is refused.
    pub command: u32,
    /// Size of the log file from which it is compacted.
    pub log: u64,
    /// Total size of the commands that stay in the log when it is compacted, so that a slow follower needs no snapshot.
    pub retained: u64,
}

impl Default for Limits {
    /// Returns bounds for commands of a few kilobytes.
    fn default() -> Self {
        Self {
            command: 256 << 10,
            log: 16 << 20,
            retained: 1 << 20,
        }
    }
}

impl Limits {
    /// Returns the largest size of the data folder for snapshots of this size, at the moment at which the new snapshot
    /// and the new log lie beside the old ones.
    ///
    /// One write more than [`Self::log`] may be in the log before it is compacted, and what is not committed stays in the
    /// new one.
    pub fn folder_bytes(&self, snapshot: u64) -> u64 {
        let in_flight = u64::from(MAX_WINDOW_BYTES) + u64::from(self.command);
        let write = in_flight.max(MAX_UNCOMMITTED_BYTES);
        let old_log = self.log + write;
        let new_log = self.retained + write;
        old_log + new_log + 2 * snapshot + RECORDS_BYTES
    }
}
