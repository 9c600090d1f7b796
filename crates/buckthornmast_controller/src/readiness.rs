//! Time for which copies have been ready.

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_ledger::{guard::Guard, ledger::Ledger};
use buckthornmast_types::{prelude::*, report::Phase};

type ReadySince = BTreeMap<Artifact, Point>;

/// Time since which each target has reported each of its copies as ready in its current incarnation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Readiness {
    since: BTreeMap<id::Target, (id::Incarnation, ReadySince)>,
}

impl Readiness {
    /// Processes the newest report of a target.
    pub fn observe(&mut self, report: &Report, sampled_at: Point) {
        let before = self.since.remove(&report.target);
        // A restarted target had no copies for a while, and other instances may have received reports of that.
        let before = before
            .filter(|(incarnation, _)| *incarnation == report.incarnation)
            .map(|(_, ready)| ready)
            .unwrap_or_default();
        let ready = report.copies.iter().filter(|c| c.phase == Phase::Ready);
        let since = ready.map(|copy| {
            let at = before.get(&copy.artifact).copied().unwrap_or(sampled_at);
            (copy.artifact.clone(), at)
        });
        let since = (report.incarnation, since.collect());
        self.since.insert(report.target.clone(), since);
    }

    /// Returns whether every group of alternatives with an artifact has another copy that became ready at
    /// `ready_before` or earlier.
    pub fn may_unload(
        &self,
        (ledger, guard): (&Ledger, &Guard),
        (target, artifact): (&id::Target, &Artifact),
        ready_before: Option<Point>,
    ) -> bool {
        let was_ready = |other: &id::Target, alternative: &Artifact| {
            let since = self
                .since
                .get(other)
                .and_then(|(_, ready)| ready.get(alternative));
            since
                .zip(ready_before)
                .is_some_and(|(since, before)| *since <= before)
        };
        guard.alternatives_for(artifact).all(|alternatives| {
            guard.targets().iter().any(|other| {
                alternatives.iter().any(|alternative| {
                    (other != target || alternative != artifact)
                        && ledger.has_stable_copy(other, alternative)
                        && was_ready(other, alternative)
                })
            })
        })
    }

    /// Returns the latest time at which a copy must have become ready to count, or `None` if it is before the
    /// start of the clock, since it is unknown what was ready then.
    pub fn cutoff(now: Point, min_ready_time: Duration) -> Option<Point> {
        let before = now.since(Point::ZERO).checked_sub(min_ready_time)?;
        Some(Point::ZERO + before)
    }
}
