//! Last ready copies on targets that leave, and copies that are on their way.

use std::time::Duration;

use buckthornmast_types::{prelude::*, report::Phase};

use super::{Candidate, Candidates, Entry, Slot, Table};

/// Copy that is being loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Target.
    pub slot: Slot,
    /// Time until it is expected to be ready.
    pub left: Duration,
}

impl Entry {
    fn is_whole(&self, artifact: &Artifact) -> bool {
        self.report.is_ready(artifact) && self.report.is_ready(&artifact.base())
    }
}

impl Table {
    fn holders(&self, artifact: &Artifact) -> impl Iterator<Item = (Slot, &Entry)> {
        let slots = self.artifacts.get(artifact).into_iter().flatten();
        slots.filter_map(|slot| Some((*slot, self.entry(*slot)?)))
    }

    /// Returns whether a target that is neither leaving nor drained has an artifact ready. An ejection or
    /// an open breaker makes no difference.
    pub fn is_kept(&self, artifact: &Artifact, now: Point) -> bool {
        let mut holders = self.holders(artifact);
        holders.any(|(_, entry)| entry.is_whole(artifact) && entry.takes_work(&self.config, now))
    }

    /// Returns the targets in their grace that may take a request because no other target has the artifact
    /// ready, without those that were already tried.
    pub fn last_copies(&self, artifact: &Artifact, tried: &[Slot], now: Point) -> Candidates {
        if self.is_kept(artifact, now) {
            return Candidates::new();
        }
        let is_fit = |slot: Slot, entry: &Entry| {
            let breaker = entry.breakers.get(artifact);
            entry.is_whole(artifact)
                && !tried.contains(&slot)
                && !breaker.is_some_and(|breaker| breaker.is_open(now))
                && now.since(entry.sampled) < self.config.freshness
                && entry.leave.is_in_grace(now)
        };
        let holders = self.holders(artifact);
        let fit = holders.filter(|(slot, entry)| is_fit(*slot, entry));
        fit.map(|(slot, entry)| Candidate {
            slot,
            load: entry.load(&self.config, now, &self.home),
            own: entry.own,
        })
        .collect()
    }

    /// Returns the copy of an artifact that is expected to be ready first, among those that are being
    /// loaded where work may be sent to.
    pub fn arrival(&self, artifact: &Artifact, now: Point) -> Option<Arrival> {
        let base = artifact.base();
        let left = |entry: &Entry| {
            let left = |artifact: &Artifact| {
                let copy = entry.report.copy(artifact)?;
                match copy.phase {
                    Phase::Ready => Some(Duration::ZERO),
                    Phase::Loading => entry.loads.left(artifact, copy.bytes, &self.pace, now),
                    Phase::Unloading => None,
                }
            };
            Some(left(artifact)?.max(left(&base)?))
        };
        let holders = self.holders(artifact);
        // A ready copy that takes no work has an open breaker, which no load ends.
        let usable = holders
            .filter(|(_, entry)| entry.takes_work(&self.config, now) && !entry.is_whole(artifact));
        let arrivals = usable.filter_map(|(slot, entry)| {
            let left = left(entry)?;
            Some(Arrival { slot, left })
        });
        arrivals.min_by_key(|arrival| arrival.left)
    }
}
