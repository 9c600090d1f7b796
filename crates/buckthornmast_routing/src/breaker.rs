//! Circuit breaker of one artifact on one target.
//!
//! Ejection stops all work for a target. An adapter that fails on an otherwise healthy target never reaches
//! the number of consecutive errors for an ejection, because the other artifacts succeed in between. The
//! breaker counts per artifact and stops only the work for that copy.

use std::time::Duration;

use buckthornmast_types::prelude::*;

/// Configuration of a breaker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Number of consecutive failures that open the breaker.
    pub failure_threshold: u32,
    /// Time until the first probe; it doubles with each failed probe.
    pub first_pause: Duration,
    /// Maximum time until a probe.
    pub max_pause: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            failure_threshold: 5,
            first_pause: Duration::from_secs(1),
            max_pause: Duration::from_secs(16),
        }
    }
}

/// Circuit breaker of one copy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Breaker {
    /// Consecutive failures.
    failures: u32,
    /// Number of times that the breaker has opened since the last success.
    open_count: u32,
    /// End of the pause, after which a probe may pass; `None` while the breaker is closed.
    open_until: Option<Point>,
    is_probing: bool,
}

impl Breaker {
    /// Returns whether requests are blocked. After the pause, one request at a time may pass as a probe.
    pub fn is_open(&self, now: Point) -> bool {
        self.open_until
            .is_some_and(|until| now < until || self.is_probing)
    }

    /// Returns the time from which the next probe may pass.
    pub fn open_until(&self) -> Option<Point> {
        self.open_until
    }

    /// Records that a request was sent.
    pub fn started(&mut self, now: Point) {
        self.is_probing = self.open_until.is_some_and(|until| now >= until);
    }

    /// Records a success, which closes the breaker.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Records an end unrelated to the copy, such as a caller that disconnected.
    pub fn abandoned(&mut self) {
        self.is_probing = false;
    }

    /// Records a failure.
    pub fn failed(&mut self, config: &Config, now: Point) {
        self.failures += 1;
        let was_probe = std::mem::take(&mut self.is_probing);
        if was_probe || (self.open_until.is_none() && self.failures >= config.failure_threshold) {
            let pause = config
                .first_pause
                .saturating_mul(1 << self.open_count.min(16));
            self.open_until = Some(now + pause.min(config.max_pause));
            self.open_count += 1;
        }
    }
}
