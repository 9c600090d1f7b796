//! Budget of the weight store.

use buckthornmast_types::prelude::*;

/// Token bucket for loads, with a limit on loads at once.
#[derive(Debug, Clone)]
pub struct Budget {
    rate: Rate,
    at_once: usize,
    level: f64,
    updated: Point,
}

impl Budget {
    /// Returns an empty budget, as after a failover: the earlier holder may just have spent it.
    pub fn empty(rate: Rate, at_once: usize, now: Point) -> Self {
        Self {
            rate,
            at_once,
            level: 0.0,
            updated: now,
        }
    }

    /// Changes the limits; what was earned so far is kept.
    pub fn set_limits(&mut self, rate: Rate, at_once: usize) {
        self.rate = rate;
        self.at_once = at_once;
    }

    /// Spends one load if the rate and the loads in progress allow it.
    pub fn spend(&mut self, now: Point, in_progress: usize) -> bool {
        let earned = now.since(self.updated).as_secs_f64() * self.rate.get();
        self.updated = self.updated.max(now);
        // A second's worth may be spent at once, but at least one whole load.
        self.level = (self.level + earned).min(self.rate.get().max(1.0));
        let may_spend = self.level >= 1.0 && in_progress < self.at_once;
        if may_spend {
            self.level -= 1.0;
        }
        may_spend
    }

    /// Gives back a load whose order was not reserved.
    pub fn refund(&mut self) {
        self.level += 1.0;
    }
}
