//! Ration of loads from the weight store.

use buckthornmast_types::{rate::Rate, time::Point};

/// Share of the allowed rate that is used, since a load may begin later than it was ordered.
const RATE_SHARE: f64 = 0.95;

/// Loads that may be saved up.
const BURST: f64 = 3.0;

/// Bucket of loads.
#[derive(Debug, Clone, Copy)]
pub struct Ration {
    tokens: f64,
    at: Point,
}

impl Ration {
    /// Starts empty, since another instance may have used what was saved up.
    pub fn new(now: Point) -> Self {
        Self {
            tokens: 0.0,
            at: now,
        }
    }

    /// Returns the loads that may start now.
    pub fn available(&mut self, rate: Rate, now: Point) -> usize {
        let earned = now.since(self.at).as_secs_f64() * rate.get() * RATE_SHARE;
        self.at = self.at.max(now);
        self.tokens = (self.tokens + earned).min(BURST);
        self.tokens as usize
    }

    /// Takes a load.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
