//! How long copies have been ready.

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_ledger::{book::Book, guard::Guard};
use buckthornmast_types::{prelude::*, report::Phase};

type Ready = BTreeMap<Artifact, Point>;

/// Since when each target, in its current incarnation, has reported each of its copies as ready.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Settled {
    since: BTreeMap<id::Target, (id::Incarnation, Ready)>,
}

impl Settled {
    /// Takes in the newest report of a target.
    pub fn observe(&mut self, report: &Report, sampled: Point) {
        let before = self.since.remove(&report.target);
        // A restarted target had no copy for a while, which the reports in between may have told others.
        let before = before
            .filter(|(incarnation, _)| *incarnation == report.incarnation)
            .map(|(_, ready)| ready)
            .unwrap_or_default();
        let ready = report.copies.iter().filter(|c| c.phase == Phase::Ready);
        let since = ready.map(|copy| {
            let at = before.get(&copy.artifact).copied().unwrap_or(sampled);
            (copy.artifact.clone(), at)
        });
        let since = (report.incarnation, since.collect());
        self.since.insert(report.target.clone(), since);
    }

    /// Returns whether every need of an artifact has another copy that has been ready for a while.
    pub fn may_unload(
        &self,
        (book, guard): (&Book, &Guard),
        (target, artifact): (&id::Target, &Artifact),
        ready_before: Option<Point>,
    ) -> bool {
        let is_old = |other: &id::Target, kept: &Artifact| {
            let since = self.since.get(other).and_then(|(_, ready)| ready.get(kept));
            since
                .zip(ready_before)
                .is_some_and(|(since, before)| *since <= before)
        };
        guard.needs_of(artifact).all(|need| {
            guard.targets().iter().any(|other| {
                need.iter().any(|kept| {
                    (other != target || kept != artifact)
                        && book.keeps(other, kept)
                        && is_old(other, kept)
                })
            })
        })
    }

    /// Returns the latest moment at which a copy must have become ready to count; none if it lies before the start
    /// of the clock, as what was ready then is not known.
    pub fn bound(now: Point, ready_for: Duration) -> Option<Point> {
        let before = now.since(Point::ZERO).checked_sub(ready_for)?;
        Some(Point::ZERO + before)
    }
}
