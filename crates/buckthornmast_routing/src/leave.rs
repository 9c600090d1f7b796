//! Grace of a target that is leaving or drained.
//!
//! All new work stops at once, with one exception: for a short while such a target still answers for a
//! model of which it has the last ready copy. The grace counts from the last time at which the target is
//! known not to have been leaving, and not from the notice. So it can't be begun anew by a notice that
//! arrives late or twice, and it is over no later than the work of an instance that missed the notice.
//! Where that time is not known, as after a restart, there is no grace. All times are of the local clock.

use std::time::Duration;

use buckthornmast_types::prelude::*;

/// Time for which a target with a last ready copy gets work after it was last known not to be leaving.
///
/// A target that leaves must get no new work after 3 s. The rest is for reports on their way and for the
/// dispatch itself, as with the age up to which reports are routed by.
pub const GRACE: Duration = Duration::from_millis(2500);

/// What is known about the leaving of one target.
#[derive(Debug, Clone, Copy, Default)]
pub struct Leave {
    incarnation: id::Incarnation,
    is_leaving: bool,
    is_drained: bool,
    /// When the present incarnation last said that it is not leaving.
    stayed: Option<Point>,
    /// When the settings in force were last known not to drain it.
    undrained: Option<Point>,
}

impl Leave {
    /// Takes what the newest report says.
    pub fn reported(&mut self, report: &Report, sampled: Point) {
        if report.incarnation != self.incarnation {
            self.incarnation = report.incarnation;
            self.stayed = None;
        }
        self.is_leaving = report.leaving;
        if !report.leaving {
            self.stayed = Some(sampled);
        }
    }

    /// Takes what the settings say. `before` is the last time at which the settings before them are known
    /// to have been the newest.
    pub fn drained(&mut self, is_drained: bool, before: Option<Point>) {
        if is_drained && !self.is_drained {
            self.undrained = before;
        }
        self.is_drained = is_drained;
    }

    /// Returns whether it is neither leaving nor drained.
    pub fn stays(&self) -> bool {
        !self.is_leaving && !self.is_drained
    }

    /// Returns whether it may still get work for the models of which it has the last ready copy.
    pub fn is_in_grace(&self, now: Point) -> bool {
        let is_recent = |since: Option<Point>| since.is_some_and(|at| now.since(at) < GRACE);
        (!self.is_leaving || is_recent(self.stayed))
            && (!self.is_drained || is_recent(self.undrained))
    }
}
