//! Grace period of a target that is leaving or drained.
//!
//! All new work stops at once, with one exception: for a short time such a target still serves a model of
//! which it has the last ready copy. The grace period counts from the last time at which the target is known
//! not to have been leaving, and not from the notice. So a notice that arrives late or twice can't restart it,
//! and it ends no later than an instance that missed the notice stops sending work. If that time is unknown,
//! as after a restart, there is no grace period. All times are of the local clock.

use std::time::Duration;

use buckthornmast_types::prelude::*;

/// Time for which a target with a last ready copy gets work after it was last known not to be leaving.
///
/// A leaving target must get no new work after 3 s. The remaining 500 ms is for reports in transit and for the
/// dispatch itself, as with the maximum age of reports that are used for routing.
pub const GRACE_PERIOD: Duration = Duration::from_millis(2500);

/// Departure of one target, by a leave notice in its reports or a drain in the settings.
#[derive(Debug, Clone, Copy, Default)]
pub struct Departure {
    incarnation: id::Incarnation,
    is_leaving: bool,
    is_drained: bool,
    /// Sample time of the last report of the current incarnation that is not a leave notice.
    last_staying: Option<Point>,
    /// Last time at which the settings in force are known not to have drained it.
    last_undrained: Option<Point>,
}

impl Departure {
    /// Records the newest report.
    pub fn observe(&mut self, report: &Report, sampled: Point) {
        if report.incarnation != self.incarnation {
            self.incarnation = report.incarnation;
            self.last_staying = None;
        }
        self.is_leaving = report.is_leaving;
        if !report.is_leaving {
            self.last_staying = Some(sampled);
        }
    }

    /// Sets whether the settings drain the target. `before` is the last time at which the previous settings
    /// are known to have been the newest.
    pub fn set_drained(&mut self, is_drained: bool, before: Option<Point>) {
        if is_drained && !self.is_drained {
            self.last_undrained = before;
        }
        self.is_drained = is_drained;
    }

    /// Returns whether the target is neither leaving nor drained.
    pub fn is_staying(&self) -> bool {
        !self.is_leaving && !self.is_drained
    }

    /// Returns whether the target may still get work for models of which it has the last ready copy.
    pub fn is_in_grace(&self, now: Point) -> bool {
        let is_recent = |since: Option<Point>| since.is_some_and(|at| now.since(at) < GRACE_PERIOD);
        (!self.is_leaving || is_recent(self.last_staying))
            && (!self.is_drained || is_recent(self.last_undrained))
    }
}
