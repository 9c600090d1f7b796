//! Last ready copies on leaving targets, and copies that are being loaded.

use std::time::Duration;

use buckthornmast_types::{prelude::*, report::Phase};

use super::{Candidate, Candidates, Entry, Slot, Table};

/// Copy that is being loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadingCopy {
    /// Slot of the target that loads the copy.
    pub slot: Slot,
    /// Time until the copy is expected to be ready.
    pub remaining: Duration,
}

impl Entry {
    /// Returns whether an artifact and its base model are ready.
    fn has_ready(&self, artifact: &Artifact) -> bool {
        self.report.is_ready(artifact) && self.report.is_ready(&artifact.base())
    }
}

impl Table {
    fn holders(&self, artifact: &Artifact) -> impl Iterator<Item = (Slot, &Entry)> {
        let slots = self.artifacts.get(artifact).into_iter().flatten();
        slots.filter_map(|slot| Some((*slot, self.entry(*slot)?)))
    }

    /// Returns whether an artifact is ready on a target with a recent report that is neither leaving nor drained,
    /// whether or not the target is ejected or has an open breaker.
    pub fn has_staying_copy(&self, artifact: &Artifact, now: Point) -> bool {
        let mut holders = self.holders(artifact);
        holders.any(|(_, entry)| entry.has_ready(artifact) && entry.accepts_work(&self.config, now))
    }

    /// Returns the targets in their grace period to which a request may be sent because the artifact is ready
    /// on no other target, without those already tried.
    pub fn last_copies(&self, artifact: &Artifact, tried: &[Slot], now: Point) -> Candidates {
        if self.has_staying_copy(artifact, now) {
            return Candidates::new();
        }
        let is_eligible = |slot: Slot, entry: &Entry| {
            let breaker = entry.breakers.get(artifact);
            entry.has_ready(artifact)
                && !tried.contains(&slot)
                && !breaker.is_some_and(|breaker| breaker.is_open(now))
                && now.since(entry.sampled) < self.config.max_report_age
                && entry.departure.is_in_grace(now)
        };
        let holders = self.holders(artifact);
        let eligible = holders.filter(|(slot, entry)| is_eligible(*slot, entry));
        eligible
            .map(|(slot, entry)| Candidate {
                slot,
                load: entry.load(&self.config, now, &self.home),
                in_progress: entry.in_progress,
            })
            .collect()
    }

    /// Returns the copy of an artifact that is expected to be ready first, among those being loaded on targets
    /// that accept work.
    pub fn first_loading_copy(&self, artifact: &Artifact, now: Point) -> Option<LoadingCopy> {
        let base = artifact.base();
        let remaining = |entry: &Entry| {
            let remaining = |artifact: &Artifact| {
                let copy = entry.report.copy(artifact)?;
                match copy.phase {
                    Phase::Ready => Some(Duration::ZERO),
                    Phase::Loading => {
                        entry
                            .loads
                            .remaining(artifact, copy.bytes, &self.load_time, now)
                    }
                    Phase::Unloading => None,
                }
            };
            Some(remaining(artifact)?.max(remaining(&base)?))
        };
        let holders = self.holders(artifact);
        // A ready copy that is not a candidate has an open breaker, which a load doesn't close.
        let loading = holders.filter(|(_, entry)| {
            entry.accepts_work(&self.config, now) && !entry.has_ready(artifact)
        });
        let copies = loading.filter_map(|(slot, entry)| {
            let remaining = remaining(entry)?;
            Some(LoadingCopy { slot, remaining })
        });
        copies.min_by_key(|copy| copy.remaining)
    }
}
