//! Load of a target by the requests that got permits.

use std::time::Duration;

use buckthornmast_types::time::Point;

use super::{BACKLOG_PREFILL_SHARE, UTILISATION_SPAN};
use crate::{kept::Cache, occupancy::Occupancy};

/// Weight of a new request in the mean time of requests in their slots.
const SLOT_TIME_WEIGHT: f64 = 0.1;

/// Mean time of a request in its slot that is assumed before the first permit.
const DEFAULT_SLOT_TIME: Duration = Duration::from_millis(500);

/// What a permit costs its target.
#[derive(Debug, Clone, Copy)]
pub(super) struct Cost {
    /// Reading time of the prompt there.
    pub(super) prefill_time: Duration,
    /// Expected time of the request in its slot.
    pub(super) slot_time: Duration,
    /// Share of its time in which the target reads prompts.
    pub(super) prefill_share: f64,
}

/// Load of one incarnation of a target.
#[derive(Debug, Clone, Default)]
pub(super) struct Load {
    /// Requests there.
    pub(super) occupancy: Occupancy,
    /// Beginnings of prompts that it probably keeps.
    pub(super) cache: Cache,
    // Time at which the prompts sent so far are read.
    prefilled_at: Point,
    // Mean time of a request in its slot, if there was one.
    slot_time: Option<Duration>,
    // Share of the reading time that was granted in the last second.
    utilisation: f64,
    updated_at: Point,
}

impl Load {
    /// Returns the expected number of requests at the target.
    pub(super) fn requests(&self, now: Point) -> f64 {
        self.occupancy.requests(self.slot_time(), now)
    }

    /// Returns the mean time of a request in its slot.
    pub(super) fn slot_time(&self) -> Duration {
        self.slot_time.unwrap_or(DEFAULT_SLOT_TIME)
    }

    /// Returns the time until the prompts that were sent to the target are read.
    pub(super) fn prefill_wait(&self, now: Point) -> Duration {
        self.prefilled_at.since(now)
    }

    /// Returns the share of the reading time that was granted in the last second.
    pub(super) fn utilisation(&self, now: Point) -> f64 {
        let passed = now.since(self.updated_at).as_secs_f64();
        self.utilisation * (-passed / UTILISATION_SPAN.as_secs_f64()).exp()
    }

    /// Accounts for a request that is sent to the target now.
    pub(super) fn grant(&mut self, cost: Cost, now: Point) {
        self.occupancy.record_permit(now);
        let granted = cost.prefill_time.as_secs_f64()
            / BACKLOG_PREFILL_SHARE
            / UTILISATION_SPAN.as_secs_f64();
        self.utilisation = self.utilisation(now) + granted;
        self.updated_at = now;
        // Newer requests outweigh older ones.
        self.slot_time = Some(self.slot_time.map_or(cost.slot_time, |mean| {
            mean.mul_f64(1.0 - SLOT_TIME_WEIGHT) + cost.slot_time.mul_f64(SLOT_TIME_WEIGHT)
        }));
        self.prefilled_at =
            self.prefilled_at.max(now) + cost.prefill_time.div_f64(cost.prefill_share);
    }
}
