//! Moves that policies wish for and the arbiter grants.

/// Change of one copy. Numbers are indices into the view that the move was decided on.
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
    /// Load an artifact on `to` because its copy on `from` is to go.
    ///
    /// To the controller this is a load. The unload from `from` is a move of its own, which the policy
    /// decides once the new copy is ready.
    Shift {
        /// Artifact.
        artifact: usize,
        /// Target that is to lose its copy.
        from: usize,
        /// Target that loads a copy.
        to: usize,
    },
}

/// Why a move is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The artifact has no copy that can answer requests.
    Unreachable,
    /// A target is leaving.
    Drain,
    /// A version replaces another.
    Rollout,
    /// The settings declare the copy.
    Declared,
    /// Demand exceeds what the copies can answer.
    Demand,
    /// All copies are in one failure domain.
    Spread,
    /// Another copy needs the memory.
    Room,
}

/// Wanted change.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Move {
    /// What is changed.
    pub action: Action,
    /// Why.
    pub reason: Reason,
    /// Requests that the move is expected to bring within their deadline, per second.
    pub value: f64,
}

/// Wanted changes in the order of the policy's preference.
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
