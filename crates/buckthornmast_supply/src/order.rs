//! Orders to targets and their outcomes.

use buckthornmast_types::id;
use serde::{Deserialize, Serialize};

/// Operation that a target is ordered to carry out.
///
/// Instances exchange it by position, so the order of the variants is part of the format.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Action {
    /// Load a model.
    Load(id::Model),
    /// Unload a model with its adapters.
    Unload(id::Model),
    /// Load an adapter of a resident model.
    LoadAdapter(id::Model, id::Adapter),
    /// Unload an adapter.
    UnloadAdapter(id::Model, id::Adapter),
}

impl Action {
    /// Returns the model.
    pub fn model(&self) -> &id::Model {
        match self {
            Self::Load(model)
            | Self::Unload(model)
            | Self::LoadAdapter(model, _)
            | Self::UnloadAdapter(model, _) => model,
        }
    }
}

/// Order to one incarnation of a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Order {
    /// Target.
    pub target: id::Target,
    /// Incarnation that the order is for.
    pub incarnation: id::Incarnation,
    /// Operation.
    pub action: Action,
    /// Number of orders that the target has accepted so far. The target refuses the order if this number has changed,
    /// so that an order that is carried out late can't undo a newer one.
    pub expected: u64,
}

/// State of a target as it reports it on request, unlike an announcement, which it publishes by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Orders accepted since the start of the target.
    pub accepted: u64,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Resident models with their adapters.
    pub resident: Vec<buckthornmast_fleet::announcement::Resident>,
    /// Adapters that are on their way to the target. They take up their places, and the orders to load them count as
    /// accepted.
    pub arriving: Vec<(id::Model, id::Adapter)>,
    /// Incarnation, if the target reports it.
    pub incarnation: Option<id::Incarnation>,
    /// Whether the target states that it leaves.
    pub is_leaving: bool,
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The order is being carried out.
    Accepted,
    /// The ordered state is already in effect.
    Holds,
    /// Another order is in progress, or the number of accepted orders differs from the expected one.
    Conflict,
    /// Another leader has a higher fencing token.
    Fenced,
    /// The target refuses the order permanently.
    Refused,
    /// The address belongs to another target.
    Misdirected,
    /// No answer: the order may have been accepted, or may be carried out later.
    Unknown,
}
