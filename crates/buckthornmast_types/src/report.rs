//! Reports that targets publish about themselves.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{artifact::Artifact, id, size::Bytes};

/// State of an artifact on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The artifact is being loaded; its memory is occupied.
    Loading,
    /// The artifact is ready for requests.
    Ready,
    /// The artifact is being unloaded; its memory is still occupied.
    Unloading,
}

/// Artifact on a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copy {
    /// Artifact.
    pub artifact: Artifact,
    /// State of the artifact.
    pub phase: Phase,
    /// Accelerator memory that the artifact occupies.
    pub bytes: Bytes,
}

/// Load of a target, sampled some time before the report was sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that are being processed.
    pub running: u32,
    /// Requests that are waiting.
    pub waiting: u32,
    /// Number of requests that the target can process concurrently.
    pub slots: u32,
}

/// Position of a report in the sequence of reports of its target.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Incarnation of the target.
    pub incarnation: id::Incarnation,
    /// Number of the report within the incarnation.
    pub sequence: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.incarnation, self.sequence)
    }
}

/// Report of a target about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Target.
    pub target: id::Target,
    /// Failure domain.
    pub domain: id::Domain,
    /// Kind, which names the capabilities in the platform's settings.
    pub kind: id::Kind,
    /// Service that the target belongs to.
    pub service: id::Service,
    /// Address for orders and requests.
    pub address: SocketAddr,
    /// Incarnation of the target.
    pub incarnation: id::Incarnation,
    /// Number of the report within the incarnation.
    pub sequence: u64,
    /// Whether the target declines new requests.
    #[serde(rename = "leaving")]
    pub is_leaving: bool,
    /// Accelerators of the target; 0 for a plain service.
    pub accelerators: u32,
    /// Total accelerator memory for artifacts, whether free or occupied.
    pub memory: Bytes,
    /// Artifacts on the target.
    pub copies: Vec<Copy>,
    /// Highest fencing token that the target has received.
    pub token: id::Token,
    /// Load of the target.
    pub load: Load,
}

impl Report {
    /// Returns whether this report is newer than another one of the same target.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }

    /// Returns the copy of an artifact, if the target has one.
    pub fn copy(&self, artifact: &Artifact) -> Option<&Copy> {
        self.copies.iter().find(|copy| copy.artifact == *artifact)
    }

    /// Returns whether an artifact is ready for requests on the target.
    pub fn is_ready(&self, artifact: &Artifact) -> bool {
        self.copy(artifact)
            .is_some_and(|copy| copy.phase == Phase::Ready)
    }
}
