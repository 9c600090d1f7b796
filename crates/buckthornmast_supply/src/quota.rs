//! Load quota of the weight store.

use buckthornmast_types::{rate::Rate, time::Point};

/// Share of the allowed rate that is used. The margin covers loads that begin later than they were ordered.
const USED_RATE_SHARE: f64 = 0.95;

/// Maximum number of unused loads that accumulate; further ones are lost.
const MAX_ACCUMULATED_LOADS: f64 = 3.0;

/// Token bucket of loads.
#[derive(Debug, Clone, Copy)]
pub struct Quota {
    tokens: f64,
    updated_at: Point,
}

impl Quota {
    /// Returns an empty bucket, since another instance may have used the accumulated loads.
    pub fn new(now: Point) -> Self {
        Self {
            tokens: 0.0,
            updated_at: now,
        }
    }

    /// Returns the loads that may start now.
    pub fn available(&mut self, rate: Rate, now: Point) -> usize {
        let accrued = now.since(self.updated_at).as_secs_f64() * rate.get() * USED_RATE_SHARE;
        self.updated_at = self.updated_at.max(now);
        self.tokens = (self.tokens + accrued).min(MAX_ACCUMULATED_LOADS);
        self.tokens as usize
    }

    /// Consumes one load.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
