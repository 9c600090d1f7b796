//! Input of a policy: artifacts, targets, teams and the weight store at one point in time.
//!
//! Artifacts, targets, teams and domains refer to each other by their index in the view; `item` is the index of an
//! artifact. Indices are valid for one view only; the state that a policy keeps between decisions uses ids.

use std::time::Duration;

use buckthornmast_types::prelude::*;
use smallvec::SmallVec;

/// Snapshot that a decision is based on.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Time on the controller's clock.
    pub now: Point,
    /// Wall-clock time since midnight at the deployment.
    pub time_of_day: Duration,
    /// Teams.
    pub teams: Vec<Team>,
    /// Failure domains.
    pub domains: Vec<id::Domain>,
    /// Artifacts of all teams; an adapter stands after its base model.
    pub artifacts: Vec<ArtifactView>,
    /// Model engines.
    pub targets: Vec<Target>,
    /// Weight store.
    pub store: Store,
}

/// Team and its share of the common resources.
#[derive(Debug, Clone)]
pub struct Team {
    /// Identity.
    pub id: id::Team,
    /// Weight of the team in the division of memory and of the store.
    pub weight: f64,
    /// Weight of moves against attainment: 1 is neutral, a higher value avoids moves.
    pub moves_weight: f64,
}

/// Artifact with its demand and copies.
#[derive(Debug, Clone)]
pub struct ArtifactView {
    /// Identity.
    pub artifact: Artifact,
    /// Index of the team.
    pub team: usize,
    /// Index of the service whose targets may load the artifact.
    pub service: usize,
    /// Accelerator memory of one copy.
    pub bytes: Bytes,
    /// Index of the base model, for an adapter.
    pub base: Option<usize>,
    /// Index of the version that replaces this one, while a rollout is under way.
    pub replaced_by: Option<usize>,
    /// Demand.
    pub demand: Demand,
    /// Copies that exist or may exist, including those of loads that are not confirmed yet.
    pub copies: SmallVec<[Copy; 4]>,
    /// Targets on which the settings declare a copy.
    pub declared_targets: SmallVec<[usize; 2]>,
    /// Time within which a request should be answered.
    pub deadline: Duration,
    /// Value of a request that is answered within its deadline; the default is 1.
    pub weight: f64,
}

/// Demand for an artifact as measured by routing.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    /// Requests per second over the last few seconds, including refused ones.
    pub rate: Rate,
    /// Tokens per second that these requests require.
    pub tokens: Rate,
    /// Mean requests per second in each hour of the day over earlier days, if known.
    pub hourly_rates: Option<[f32; 24]>,
}

/// Copy of an artifact on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Copy {
    /// Index of the target.
    pub target: usize,
    /// Phase of the copy.
    pub phase: report::Phase,
}

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Reports are recent and the target takes new work.
    Ready,
    /// The target has reported that it is leaving, or the settings drain it.
    Departing,
    /// There is no recent report: the target is down or unreachable from this controller.
    Unresponsive,
}

/// Model engine.
#[derive(Debug, Clone)]
pub struct Target {
    /// Identity.
    pub id: id::Target,
    /// Index of the failure domain.
    pub domain: usize,
    /// Index of the service.
    pub service: usize,
    /// Accelerator memory.
    pub memory: Bytes,
    /// Memory that is free in the worst case of all unresolved orders.
    pub free: Bytes,
    /// Whether the target takes new work.
    pub health: Health,
    /// Whether the deciding controller may send orders to the target.
    pub is_controlled: bool,
    /// Load in the last report.
    pub load: report::Load,
    /// Tokens per second at full batch.
    pub capacity: Rate,
}

/// Weight store.
#[derive(Debug, Clone, Copy, Default)]
pub struct Store {
    /// Loads that may start now.
    pub available_loads: usize,
    /// Loads that may run at the same time at full speed.
    pub max_concurrent_loads: usize,
    /// Bytes per second of one load at full speed; 0 if unknown.
    pub bytes_per_second: f64,
}

impl View {
    /// Returns whether a copy can answer requests.
    pub fn is_reachable(&self, copy: Copy) -> bool {
        copy.phase == report::Phase::Ready && self.targets[copy.target].health == Health::Ready
    }

    /// Returns whether an artifact has a copy that can answer requests.
    pub fn is_artifact_reachable(&self, item: usize) -> bool {
        let copies = &self.artifacts[item].copies;
        copies.iter().any(|copy| self.is_reachable(*copy))
    }

    /// Returns whether an artifact is ready on a leaving target and on no ready one.
    pub fn is_only_on_leaving_targets(&self, item: usize) -> bool {
        let copies = &self.artifacts[item].copies;
        let is_on_leaving_target = |copy: &Copy| {
            copy.phase == report::Phase::Ready
                && self.targets[copy.target].health == Health::Departing
        };
        copies.iter().any(is_on_leaving_target) && !self.is_artifact_reachable(item)
    }

    /// Returns whether a version has a replacement that can answer requests.
    pub fn is_superseded(&self, item: usize) -> bool {
        let replacement = self.artifacts[item].replaced_by;
        replacement.is_some_and(|replacement| self.is_artifact_reachable(replacement))
    }

    /// Returns the accelerator memory in bytes that the copies of each team occupy.
    pub fn memory_by_team(&self) -> Vec<f64> {
        let mut used = vec![0.0; self.teams.len()];
        for item in &self.artifacts {
            used[item.team] += item.bytes.0 as f64 * item.copies.len() as f64;
        }
        used
    }
}
