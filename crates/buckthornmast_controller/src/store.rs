//! Load quota of the weight store.

use buckthornmast_types::prelude::*;

/// Token bucket for loads, with a limit on concurrent loads.
#[derive(Debug, Clone)]
pub struct Quota {
    rate: Rate,
    max_concurrent: usize,
    available: f64,
    updated_at: Point,
}

impl Quota {
    /// Returns an empty quota, as needed after a failover: the earlier holder may just have used it up.
    pub fn empty(rate: Rate, max_concurrent: usize, now: Point) -> Self {
        Self {
            rate,
            max_concurrent,
            available: 0.0,
            updated_at: now,
        }
    }

    /// Changes the limits and keeps what has accrued so far.
    pub fn set_limits(&mut self, rate: Rate, max_concurrent: usize) {
        self.rate = rate;
        self.max_concurrent = max_concurrent;
    }

    /// Consumes one load if the rate and the loads in progress allow it.
    pub fn try_acquire(&mut self, now: Point, in_progress: usize) -> bool {
        let accrued = now.since(self.updated_at).as_secs_f64() * self.rate.get();
        self.updated_at = self.updated_at.max(now);
        // A burst is limited to the loads of one second, but at least one whole load.
        self.available = (self.available + accrued).min(self.rate.get().max(1.0));
        let is_allowed = self.available >= 1.0 && in_progress < self.max_concurrent;
        if is_allowed {
            self.available -= 1.0;
        }
        is_allowed
    }

    /// Restores the quota for a load whose order was not reserved.
    pub fn refund(&mut self) {
        self.available += 1.0;
    }
}
