//! Budget of retries and hedged requests.

use buckthornmast_types::prelude::*;

use crate::estimate::Estimate;

/// Configuration of a budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Extra attempts that each request adds.
    pub retries_per_request: f64,
    /// Maximum number of extra attempts in the budget, which is also its initial value.
    pub capacity: f64,
    /// Rate at which extra attempts are added without traffic, so that a rare request can be retried.
    pub refill_rate: Rate,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            // Retries add at most a tenth to the load, whatever fails.
            retries_per_request: 0.1,
            capacity: 10.0,
            refill_rate: Rate::per_second(0.5).unwrap_or_default(),
        }
    }
}

/// Budget of extra attempts, as a share of the traffic.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Retry {
    config: Config,
    tokens: f64,
    updated: Point,
}

impl Retry {
    /// Returns a full budget.
    pub fn new(config: Config, now: Point) -> Self {
        Self {
            config,
            tokens: config.capacity,
            updated: now,
        }
    }

    /// Records a request. Its further attempts are not recorded here.
    pub fn record_request(&mut self) {
        self.add_tokens(self.config.retries_per_request);
    }

    fn add_tokens(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.config.capacity);
    }

    /// Returns whether the budget has an extra attempt.
    pub fn has_attempt(&mut self, now: Point) -> bool {
        let earned = now.since(self.updated).as_secs_f64() * self.config.refill_rate.get();
        self.updated = self.updated.max(now);
        self.add_tokens(earned);
        self.tokens >= 1.0
    }

    /// Takes an extra attempt from the budget, if it has one.
    pub fn take(&mut self, now: Point) -> bool {
        let has_attempt = self.has_attempt(now);
        if has_attempt {
            self.tokens -= 1.0;
        }
        has_attempt
    }

    /// Takes an extra attempt for a hedged request, if the request is repeatable.
    pub fn take_hedge(&mut self, is_repeatable: bool, now: Point) -> bool {
        is_repeatable && self.take(now)
    }
}

/// Returns the time at which a hedged attempt is worth its cost, which is when the first attempt takes longer
/// than most. A request that must not be repeated, or whose hedge is expected to end after the deadline, is not
/// hedged.
pub fn hedge_at(
    sent: Point,
    latency: &Estimate,
    is_repeatable: bool,
    deadline: Point,
) -> Option<Point> {
    let at = sent + latency.upper_bound();
    (is_repeatable && at + latency.mean() <= deadline).then_some(at)
}
