//! Orders that a controller sends to a target.

use serde::{Deserialize, Serialize};

use crate::{artifact::Artifact, id, size::Bytes};

/// Action that an order requests from a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Loads an artifact.
    Load {
        /// Artifact.
        artifact: Artifact,
        /// Accelerator memory that the artifact occupies.
        bytes: Bytes,
    },
    /// Unloads an artifact.
    Unload {
        /// Artifact.
        artifact: Artifact,
    },
    /// Only records the fencing token.
    Fence,
}

/// Order to one target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Identity; a resent order keeps it.
    pub id: id::Order,
    /// Target that the order is sent to.
    pub target: id::Target,
    /// Incarnation of the target that the order is meant for.
    pub incarnation: id::Incarnation,
    /// Fencing token of the controller's lease.
    pub token: id::Token,
    /// Requested action.
    pub action: Action,
}

/// Answer of a target to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The target executes the order or has executed it.
    Accepted,
    /// The target has received a higher token before and did not act.
    Fenced,
    /// The target did not act, for lack of memory or because the order does not fit its state.
    Refused,
}
