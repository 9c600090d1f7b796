//! Budget of retries and hedged requests.

use buckthornmast_types::prelude::*;

use crate::estimate::Estimate;

/// Bounds of a budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Extra attempts per request.
    pub share: f64,
    /// Extra attempts that may be saved up, and that there are at the start.
    pub most: f64,
    /// Extra attempts that are earned without traffic, so that a rare request can be tried again.
    pub trickle: Rate,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            // Retries add a tenth to the load at most, whatever fails.
            share: 0.1,
            most: 10.0,
            trickle: Rate::per_second(0.5).unwrap_or_default(),
        }
    }
}

/// Extra attempts as a share of the traffic.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Retry {
    config: Config,
    tokens: f64,
    at: Point,
}

impl Retry {
    /// Returns a full budget.
    pub fn new(config: Config, now: Point) -> Self {
        Self {
            config,
            tokens: config.most,
            at: now,
        }
    }

    /// Notes a request; attempts beyond its first are not noted here.
    pub fn request(&mut self) {
        self.earn(self.config.share);
    }

    fn earn(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.config.most);
    }

    /// Returns whether there is an extra attempt in the budget.
    pub fn has(&mut self, now: Point) -> bool {
        let earned = now.since(self.at).as_secs_f64() * self.config.trickle.get();
        self.at = self.at.max(now);
        self.earn(earned);
        self.tokens >= 1.0
    }

    /// Takes an extra attempt out of the budget, if there is one.
    pub fn take(&mut self, now: Point) -> bool {
        let enough = self.has(now);
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Takes a hedged attempt, which only a repeatable request may have.
    pub fn take_hedge(&mut self, repeatable: bool, now: Point) -> bool {
        repeatable && self.take(now)
    }
}

/// Returns when a second attempt beside one that is still unanswered is worth its cost: once that one
/// takes longer than most do. A request that must not be repeated never gets one.
pub fn hedge_at(sent: Point, usual: &Estimate, repeatable: bool, deadline: Point) -> Option<Point> {
    let at = sent + usual.high();
    (repeatable && at + usual.mean() <= deadline).then_some(at)
}
