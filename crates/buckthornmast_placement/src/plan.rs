//! Moves that policies propose and the arbiter grants.

/// Change to one copy. Artifacts and targets are indices into the view that the decision was made on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Action {
    /// Load an artifact on a target.
    Load {
        /// Artifact.
        artifact: usize,
        /// Target.
        target: usize,
    },
    /// Unload an artifact from a target.
    Unload {
        /// Artifact.
        artifact: usize,
        /// Target.
        target: usize,
    },
    /// Load an artifact on `to` because its copy on `from` will be unloaded.
    ///
    /// The controller treats this as a load. The unload from `from` is a separate move, which the policy
    /// proposes once the new copy is ready.
    Shift {
        /// Artifact.
        artifact: usize,
        /// Target whose copy will be unloaded.
        from: usize,
        /// Target that loads the new copy.
        to: usize,
    },
}

/// Why a move is proposed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The artifact has no copy that can answer requests.
    Unreachable,
    /// A target is draining.
    Drain,
    /// A new version replaces an old one.
    Rollout,
    /// The settings declare the copy.
    Declared,
    /// Demand exceeds the capacity of the copies.
    Demand,
    /// All copies are in one failure domain.
    Spread,
    /// Another copy needs the memory.
    Room,
}

/// Proposed or granted change.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Move {
    /// Change.
    pub action: Action,
    /// Reason for the change.
    pub reason: Reason,
    /// Additional requests per second that the move is expected to bring within their deadline.
    pub value: f64,
}

/// Proposed changes in the order of the policy's preference.
pub type Moves = Vec<Move>;

impl Action {
    /// Returns the artifact.
    pub fn artifact(self) -> usize {
        match self {
            Self::Load { artifact, .. }
            | Self::Unload { artifact, .. }
            | Self::Shift { artifact, .. } => artifact,
        }
    }

    /// Returns the target that an order for this change goes to.
    pub fn target(self) -> usize {
        match self {
            Self::Load { target, .. } | Self::Unload { target, .. } => target,
            Self::Shift { to, .. } => to,
        }
    }

    /// Returns whether the change reads from the weight store.
    pub fn is_load(self) -> bool {
        !matches!(self, Self::Unload { .. })
    }
}
