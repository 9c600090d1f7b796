//! Plans that the controller carries out, and the view that they are made from.

use std::collections::BTreeSet;

use buckthornmast_ledger::guard;
use buckthornmast_types::{prelude::*, report::Copy};
use smallvec::SmallVec;

/// Artifact that must stay reachable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Need {
    /// Team that needs it.
    pub team: id::Team,
    /// Service whose targets may load it.
    pub service: id::Service,
    /// Artifact in its current version.
    pub artifact: Artifact,
    /// Accelerator memory that it takes.
    pub bytes: Bytes,
    /// Earlier versions, which serve until the current version is ready and are unloaded then.
    pub old_versions: SmallVec<[Artifact; 1]>,
}

impl Need {
    pub(crate) fn alternatives(&self) -> guard::Alternatives {
        let old = self.old_versions.iter().cloned();
        std::iter::once(self.artifact.clone()).chain(old).collect()
    }
}

/// Change of a placement.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Move {
    /// Load an artifact.
    Load {
        /// Team that the move is accounted to.
        team: id::Team,
        /// Target.
        target: id::Target,
        /// Artifact.
        artifact: Artifact,
        /// Accelerator memory that it takes.
        bytes: Bytes,
    },
    /// Unload an artifact.
    Unload {
        /// Team that the move is accounted to.
        team: id::Team,
        /// Target.
        target: id::Target,
        /// Artifact.
        artifact: Artifact,
    },
    /// Load an artifact on one target and unload it from another once the new copy is ready.
    Shift {
        /// Team that the move is accounted to.
        team: id::Team,
        /// Target with the copy.
        from: id::Target,
        /// Target for the copy.
        to: id::Target,
        /// Artifact.
        artifact: Artifact,
        /// Accelerator memory that it takes.
        bytes: Bytes,
    },
}

/// Outcome of one planning round.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Artifacts that must stay reachable; no unload removes the last ready copy of one.
    pub needs: Vec<Need>,
    /// Targets that are drained by the settings.
    pub drains: BTreeSet<id::Target>,
    /// Moves in order of priority.
    pub moves: Vec<Move>,
    /// Loads per second and concurrent loads that the weight store allows, if they have changed.
    pub load_quota: Option<(Rate, usize)>,
}

/// View of a target by the controller.
#[derive(Debug, Clone)]
pub struct TargetView {
    /// Target.
    pub target: id::Target,
    /// Kind.
    pub kind: id::Kind,
    /// Service.
    pub service: id::Service,
    /// Whether it reports and is not leaving.
    pub is_live: bool,
    /// Whether it is leaving according to its newest report.
    pub is_leaving: bool,
    /// Whether its account is rebuilt, so that it may be given orders.
    pub is_current: bool,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Accelerator memory for artifacts.
    pub memory: Bytes,
    /// Memory that is free in the worst case.
    pub free: Bytes,
    /// Copies in the newest report.
    pub copies: Vec<Copy>,
    /// Artifacts that open orders may load.
    pub loading: Vec<Artifact>,
    /// Artifacts that open orders may unload.
    pub unloading: Vec<Artifact>,
    /// Load in the newest report.
    pub load: report::Load,
}

/// View of a failure domain by the controller.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Targets in the order of their names.
    pub targets: Vec<TargetView>,
    /// Moves of earlier plans that wait for memory or for the load quota of the weight store.
    pub waiting: Vec<Move>,
}

/// Source of plans, which follow from the settings and the policies.
pub trait PlanSource: Send + 'static {
    /// Returns the current plan.
    fn plan(&mut self, view: &View) -> Plan;
}
