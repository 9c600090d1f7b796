//! Circuit breaker of one artifact on one target.
//!
//! Ejection takes a whole target out. An adapter that fails on an otherwise healthy target never
//! reaches the ejection's run of errors, because the other artifacts succeed in between; the breaker
//! counts per artifact and takes only that copy out.

use std::time::Duration;

use buckthornmast_types::prelude::*;

/// Bounds of a breaker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Consecutive failures that open it.
    pub failures: u32,
    /// Time until the first probe; doubles with each failed probe.
    pub pause: Duration,
    /// Longest pause.
    pub longest: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            failures: 5,
            pause: Duration::from_secs(1),
            longest: Duration::from_secs(16),
        }
    }
}

/// State of one copy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Breaker {
    failures: u32,
    opened: u32,
    until: Option<Point>,
    probing: bool,
}

impl Breaker {
    /// Returns whether a request may pass. After the pause, one at a time may, as a probe.
    pub fn is_open(&self, now: Point) -> bool {
        self.until.is_some_and(|until| now < until || self.probing)
    }

    /// Returns when the next probe may pass.
    pub fn until(&self) -> Option<Point> {
        self.until
    }

    /// Notes that a request was sent.
    pub fn started(&mut self, now: Point) {
        self.probing = self.until.is_some_and(|until| now >= until);
    }

    /// Notes a success, which closes the breaker.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Notes an end that says nothing about the copy, such as a client that left.
    pub fn abandoned(&mut self) {
        self.probing = false;
    }

    /// Notes a failure.
    pub fn failed(&mut self, config: &Config, now: Point) {
        self.failures += 1;
        let probe = std::mem::take(&mut self.probing);
        if probe || (self.until.is_none() && self.failures >= config.failures) {
            let pause = config.pause.saturating_mul(1 << self.opened.min(16));
            self.until = Some(now + pause.min(config.longest));
            self.opened += 1;
        }
    }
}
