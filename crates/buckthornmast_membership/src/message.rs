//! Content of datagrams.

use buckthornmast_types::id;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Hash of a name, which takes less room than the name.
pub type Short = [u8; 4];

/// What an instance says about itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Revision of the settings in force.
    pub revision: id::Revision,
    /// Position in the replicated log.
    pub log: id::Index,
    /// Whether the instance takes requests of callers.
    pub ready: bool,
}

/// Heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Sender.
    pub from: Short,
    /// Start of the sender.
    pub incarnation: id::Incarnation,
    /// Hundredths of a second since the sender started; higher in each datagram.
    pub beat: u32,
    /// Progress of the sender, left out of most heartbeats while it does not change.
    pub progress: Option<Progress>,
    /// Higher incarnation under which the sender knows the receiver.
    pub correction: Option<id::Incarnation>,
    /// Digests of failure domains.
    pub digests: SmallVec<[Digest; 1]>,
}

/// Members of a failure domain as one of them sees them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Failure domain.
    pub domain: Short,
    /// Hash of the domain's member list, which gives the positions their meaning.
    pub list: Short,
    /// Hundredths of a second since the digest was made.
    pub age: u16,
    /// Eighths of a second since the domain heard from the domain that the digest is meant for.
    pub echo: u8,
    /// Eighths of a second since each member was heard, two members to a byte.
    pub ages: SmallVec<[u8; 32]>,
    /// Members in detail.
    pub rows: SmallVec<[Row; 4]>,
}

/// Member in detail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Position in the domain's member list.
    pub position: u16,
    /// Start of the member.
    pub incarnation: id::Incarnation,
    /// Heartbeat that the progress is from.
    pub beat: u32,
    /// Progress.
    pub progress: Progress,
}
