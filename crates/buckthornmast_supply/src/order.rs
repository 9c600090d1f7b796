//! Orders to targets and what became of them.

use buckthornmast_types::id;

/// What a target is ordered to do.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Load a model.
    Load(id::Model),
    /// Unload a model with its adapters.
    Unload(id::Model),
    /// Load an adapter of a model that is present.
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

/// Order to one start of a target.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Order {
    /// Target.
    pub target: id::Target,
    /// Start that is meant.
    pub born: id::Incarnation,
    /// What to do.
    pub action: Action,
    /// Number of orders that the target has accepted so far. It refuses the order if that has changed, so that an
    /// order that is carried out late can't undo a newer one.
    pub expected: u64,
}

/// What a target says about its orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Orders accepted since its start.
    pub accepted: u64,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Models with their adapters.
    pub held: Vec<buckthornmast_fleet::announcement::Held>,
    /// Start, if it says so.
    pub born: Option<id::Incarnation>,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It is being carried out.
    Accepted,
    /// It holds already.
    Holds,
    /// Another order is in progress, or the number of accepted orders is another one.
    Conflict,
    /// Another holder has a higher fencing token.
    Fenced,
    /// The target refuses it for good.
    Refused,
    /// Another target has the address.
    Misdirected,
    /// No answer: it may have been accepted, or may be carried out later.
    Unknown,
}
