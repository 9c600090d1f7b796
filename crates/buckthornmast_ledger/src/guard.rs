//! Artifacts that must stay reachable while others are unloaded.

use std::collections::BTreeSet;

use buckthornmast_types::prelude::*;
use smallvec::SmallVec;

/// Alternative artifacts of which at least one must stay ready, for example two versions of one model.
pub type Need = SmallVec<[Artifact; 2]>;

/// Requirements for reachability, and the targets whose copies count.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Guard {
    needs: Vec<Need>,
    by_artifact: std::collections::BTreeMap<Artifact, SmallVec<[usize; 1]>>,
    targets: BTreeSet<id::Target>,
}

impl Guard {
    /// Returns a guard for these needs. Only copies on the given targets count.
    ///
    /// The caller must omit targets that are unresponsive, leaving or drained.
    pub fn new(
        needs: impl IntoIterator<Item = Need>,
        targets: impl IntoIterator<Item = id::Target>,
    ) -> Self {
        let mut guard = Self {
            targets: targets.into_iter().collect(),
            ..Self::default()
        };
        for need in needs {
            let index = guard.needs.len();
            for artifact in &need {
                let indices = guard.by_artifact.entry(artifact.clone()).or_default();
                indices.push(index);
            }
            guard.needs.push(need);
        }
        guard
    }

    /// Returns whether copies on a target count.
    pub fn counts(&self, target: &id::Target) -> bool {
        self.targets.contains(target)
    }

    /// Returns the targets whose copies count.
    pub fn targets(&self) -> &BTreeSet<id::Target> {
        &self.targets
    }

    /// Returns the needs that an artifact can satisfy.
    pub fn needs_of(&self, artifact: &Artifact) -> impl Iterator<Item = &Need> {
        let indices = self.by_artifact.get(artifact).into_iter().flatten();
        indices.filter_map(|index| self.needs.get(*index))
    }
}
