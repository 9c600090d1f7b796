//! Records of the log and the content of the snapshot file.

use std::sync::Arc;

use buckthornmast_types::{byte_vector, id};
use serde::{Deserialize, Serialize};

/// Persistent state of a replica besides the log: its term, its vote in that term, and the committed voter set.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// Current term.
    pub term: id::Term,
    /// Disk identity of the candidate that received the vote in this term. An identity belongs to one
    /// instance only.
    pub vote: Option<id::Disk>,
    /// Index of the last voter set that is known to be committed.
    pub settled: id::Index,
}

/// Record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// New hard state.
    Hard(HardState),
    /// Start of a compacted log; the snapshot covers this position.
    Base {
        /// Index of the last entry that was compacted away.
        index: id::Index,
        /// Term of that entry.
        term: id::Term,
    },
    /// Entry of the log; replaces the entries from its index on.
    Entry {
        /// Index of the entry.
        index: id::Index,
        /// Term of the entry.
        term: id::Term,
        /// Entry in the encoding of the consensus crate.
        #[serde(with = "byte_vector")]
        payload: Vec<u8>,
    },
}

/// Snapshot of the state up to an index.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry covered.
    pub index: id::Index,
    /// Term of that entry.
    pub term: id::Term,
    /// Content in the encoding of the consensus crate.
    #[serde(with = "byte_vector")]
    pub data: Arc<[u8]>,
}
