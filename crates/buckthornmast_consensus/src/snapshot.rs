//! Snapshot of the log up to a position.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    machine::LogTime,
    message::{Member, Position},
};

/// Largest encoded snapshot, below the frame limit of the storage.
pub const MAX_SNAPSHOT_BYTES: u64 = 48 << 20;

/// Content of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Content {
    /// Last position covered.
    pub position: Position,
    /// Log time of that position.
    pub at: LogTime,
    /// Position of the entry with the voter set.
    pub voters_at: Position,
    /// Voter set.
    pub voters: Vec<Member>,
    /// State of the machine.
    pub machine: Vec<u8>,
}

/// Encoded snapshot with what the protocol needs from it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Snapshot {
    /// Last position covered.
    pub position: Position,
    /// Encoded content.
    pub data: Arc<[u8]>,
}

/// Parts of a snapshot received so far.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Incoming {
    pub(crate) position: Position,
    pub(crate) total: u64,
    pub(crate) data: Vec<u8>,
}

impl Content {
    /// Encodes a snapshot; `None` if it is larger than [`MAX_SNAPSHOT_BYTES`].
    pub fn encode(&self) -> Option<Snapshot> {
        let data = postcard::to_stdvec(self).ok()?;
        (data.len() as u64 <= MAX_SNAPSHOT_BYTES).then(|| Snapshot {
            position: self.position,
            data: data.into(),
        })
    }

    /// Decodes a snapshot.
    pub fn decode(data: &[u8]) -> Option<Self> {
        postcard::from_bytes(data).ok()
    }
}
