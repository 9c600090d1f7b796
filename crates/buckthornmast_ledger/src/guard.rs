//! Artifacts that must stay reachable while others are unloaded.

use std::collections::BTreeSet;

use buckthornmast_types::prelude::*;
use smallvec::SmallVec;

/// Alternative artifacts of which at least one must stay ready, for example two versions of one model.
pub type Alternatives = SmallVec<[Artifact; 2]>;

/// Requirements for reachability, and the targets whose copies count.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Guard {
    alternatives: Vec<Alternatives>,
    by_artifact: std::collections::BTreeMap<Artifact, SmallVec<[usize; 1]>>,
    targets: BTreeSet<id::Target>,
}

impl Guard {
    /// Returns a guard for these alternatives. Only copies on the given targets count.
    ///
    /// The caller must omit targets that are unresponsive, leaving or drained.
    pub fn new(
        alternatives: impl IntoIterator<Item = Alternatives>,
        targets: impl IntoIterator<Item = id::Target>,
    ) -> Self {
        let mut guard = Self {
            targets: targets.into_iter().collect(),
            ..Self::default()
        };
        for group in alternatives {
            let index = guard.alternatives.len();
            for artifact in &group {
                let indices = guard.by_artifact.entry(artifact.clone()).or_default();
                indices.push(index);
            }
            guard.alternatives.push(group);
        }
        guard
    }

    /// Returns whether copies on a target count.
    pub fn is_counted(&self, target: &id::Target) -> bool {
        self.targets.contains(target)
    }

    /// Returns the targets whose copies count.
    pub fn targets(&self) -> &BTreeSet<id::Target> {
        &self.targets
    }

    /// Returns the alternatives that an artifact belongs to.
    pub fn alternatives_for(&self, artifact: &Artifact) -> impl Iterator<Item = &Alternatives> {
        let indices = self.by_artifact.get(artifact).into_iter().flatten();
        indices.filter_map(|index| self.alternatives.get(*index))
    }
}
