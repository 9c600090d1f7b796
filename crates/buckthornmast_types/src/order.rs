//! Orders that a controller gives to a target.

use serde::{Deserialize, Serialize};

use crate::{artifact::Artifact, id, size::Bytes};

/// What a target is told to do.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load an artifact that takes this much accelerator memory.
    Load {
        /// Artifact.
        artifact: Artifact,
        /// Memory that the artifact takes.
        bytes: Bytes,
    },
    /// Unload an artifact.
    Unload {
        /// Artifact.
        artifact: Artifact,
    },
    /// Change nothing and remember the fencing token.
    Fence,
}

/// Order to one target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Identity; an order sent again keeps it.
    pub id: id::Order,
    /// Target.
    pub target: id::Target,
    /// Incarnation of the target that the order is meant for.
    pub incarnation: id::Incarnation,
    /// Fencing token of the controller's lease.
    pub token: id::Token,
    /// What to do.
    pub action: Action,
}

/// Answer of a target to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The target carries the order out or has done so.
    Accepted,
    /// The target has seen a higher token and did not act.
    Fenced,
    /// The target did not act, for lack of memory or because the order does not fit its state.
    Refused,
}
