//! Datagram payloads; `postcard` encodes their fields by position.

use buckthornmast_types::id;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Hash of a name, which is shorter than the name.
pub type ShortId = [u8; 4];

/// Progress that an instance reports about itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Revision of the settings in force.
    pub revision: id::Revision,
    /// Position in the replicated log.
    #[serde(rename = "log")]
    pub log_index: id::Index,
    /// Whether the instance accepts requests from callers.
    #[serde(rename = "ready")]
    pub is_ready: bool,
}

/// Heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender.
    pub from: ShortId,
    /// Incarnation of the sender.
    pub incarnation: id::Incarnation,
    /// Sequence number: hundredths of a second since the sender started, higher in each datagram.
    #[serde(rename = "beat")]
    pub sequence: u32,
    /// Progress of the sender, omitted from most heartbeats while it does not change.
    pub progress: Option<Progress>,
    /// Incarnation under which the sender knows the receiver, if the receiver uses a lower one.
    pub correction: Option<id::Incarnation>,
    /// Digests of failure domains.
    pub digests: SmallVec<[Digest; 1]>,
}

/// State of the members of a failure domain as observed by one of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Failure domain.
    pub domain: ShortId,
    /// Hash of the domain's member list, to which the positions refer.
    #[serde(rename = "list")]
    pub list_hash: ShortId,
    /// Hundredths of a second since the digest was created.
    pub age: u16,
    /// Age, in eighths of a second, of the newest digest that the domain has received from the domain to which
    /// this digest is sent; 255 if it is that old or none was received.
    pub echo: u8,
    /// Eighths of a second since each member was last known to be alive, two members per byte, the first of them
    /// in the low half; 15 if it is that long or the member was not heard from yet.
    pub ages: SmallVec<[u8; 32]>,
    /// Full rows of some members.
    pub rows: SmallVec<[Row; 4]>,
}

/// Full row of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Position in the domain's member list.
    pub position: u16,
    /// Incarnation of the member.
    pub incarnation: id::Incarnation,
    /// Sequence number of the heartbeat that carried the progress.
    #[serde(rename = "beat")]
    pub sequence: u32,
    /// Progress that the member last reported.
    pub progress: Progress,
}
