//! Snapshot that replaces the log up to a position.

use std::sync::Arc;

use buckthornmast_types::byte_vector;
use serde::{Deserialize, Serialize};

use crate::{
    machine::LogTime,
    message::{Member, Position},
};

/// Largest encoded snapshot. It stays below the frame limit of the storage, 64 MiB. A replica with a larger state takes
/// no snapshot and doesn't compact its log.
pub const MAX_SNAPSHOT_BYTES: u64 = 60 << 20;

/// Buffer bytes reserved for the parts of a snapshot besides the state of the machine.
const ENVELOPE_BYTES: usize = 4 << 10;

/// Content of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Content {
    /// Last position covered.
    pub position: Position,
    /// Log time of that position.
    pub at: LogTime,
    /// Position of the entry with the voter set.
    pub voters_at: Position,
    /// Voter set in effect at the last position covered.
    pub voters: Vec<Member>,
    /// State of the machine.
    #[serde(with = "byte_vector")]
    pub machine: Vec<u8>,
}

/// Encoded snapshot with the position that it covers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Snapshot {
    /// Last position covered.
    pub position: Position,
    /// Encoded [`Content`].
    pub data: Arc<[u8]>,
}

/// Snapshot in transfer, with the bytes received so far.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Incoming {
    pub(crate) position: Position,
    pub(crate) total: u64,
    pub(crate) data: Vec<u8>,
}

impl Content {
    /// Encodes the content; `None` if it is larger than [`MAX_SNAPSHOT_BYTES`].
    pub fn encode(&self) -> Option<Snapshot> {
        // A buffer that grows by doubling would copy a large state several times.
        let buffer = Vec::with_capacity(self.machine.len() + ENVELOPE_BYTES);
        let data = postcard::to_extend(self, buffer).ok()?;
        (data.len() as u64 <= MAX_SNAPSHOT_BYTES).then(|| Snapshot {
            position: self.position,
            data: data.into(),
        })
    }

    /// Decodes a snapshot; `None` if it is malformed.
    pub fn decode(data: &[u8]) -> Option<Self> {
        postcard::from_bytes(data).ok()
    }
}
