//! Snapshot of the log up to a position.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    machine::LogTime,
    message::{Member, Position},
};

/// Largest encoded snapshot, below the frame limit of the storage.
pub const MAX_SNAPSHOT_BYTES: u64 = 60 << 20;

/// Bytes of a snapshot beside the state of the machine for which room is made at once.
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
    /// Voter set.
    pub voters: Vec<Member>,
    /// State of the machine.
    #[serde(with = "piece")]
    pub machine: Vec<u8>,
}

/// Encodes and decodes bytes in one piece. The layout is that of a list, which takes one step a byte.
mod piece {
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<u8>, D::Error> {
        <&[u8]>::deserialize(deserializer).map(<[u8]>::to_vec)
    }
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
        // A buffer that grows by doubling would copy a large state several times.
        let buffer = Vec::with_capacity(self.machine.len() + ENVELOPE_BYTES);
        let data = postcard::to_extend(self, buffer).ok()?;
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
