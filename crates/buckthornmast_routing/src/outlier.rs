//! Ejection of a target that fails or is far slower than its peers.

use std::time::Duration;

use buckthornmast_types::prelude::*;

use crate::estimate::Estimate;

/// Bounds of ejection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Consecutive errors that eject.
    pub errors: u32,
    /// First ejection; doubles with each further one.
    pub pause: Duration,
    /// Longest ejection.
    pub longest: Duration,
    /// Time over which the share of a returned target grows back to its full share.
    pub ramp: Duration,
    /// Multiple of the median latency of the service beyond which a target is ejected.
    pub slow_factor: f64,
    /// Samples needed before latency is compared.
    pub samples: u32,
    /// Largest share of the fresh targets of a service that may be ejected at once.
    pub share: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            errors: 5,
            pause: Duration::from_secs(1),
            longest: Duration::from_secs(30),
            ramp: Duration::from_secs(10),
            slow_factor: 3.0,
            samples: 20,
            // More than half failing is a fault they share, and ejection would move all load to the rest.
            share: 0.5,
        }
    }
}

/// Smallest weight of a target that returns.
const FIRST_WEIGHT: f64 = 0.1;

/// Health of one target as seen from this instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Health {
    errors: u32,
    ejections: u32,
    until: Option<Point>,
    latency: Estimate,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            errors: 0,
            ejections: 0,
            until: None,
            latency: Estimate::new(Duration::ZERO),
        }
    }
}

impl Health {
    /// Returns whether the target is ejected.
    pub fn is_ejected(&self, now: Point) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns the share of its normal load that the target should get, from 0.1 to 1.
    pub fn weight(&self, config: &Config, now: Point) -> f64 {
        match self.until {
            None => 1.0,
            Some(until) => {
                let ramp = config.ramp.as_secs_f64().max(f64::EPSILON);
                (now.since(until).as_secs_f64() / ramp).clamp(FIRST_WEIGHT, 1.0)
            }
        }
    }

    /// Notes a success with a latency that compares between targets, such as the time to first token.
    pub fn succeeded(&mut self, latency: Duration, config: &Config, now: Point) {
        self.errors = 0;
        self.latency.add(latency);
        // Past the ramp the earlier ejections are forgotten.
        if self.until.is_some_and(|until| now > until + config.ramp) {
            self.until = None;
            self.ejections = 0;
        }
    }

    /// Notes an error and returns whether the target should be ejected.
    pub fn failed(&mut self, config: &Config) -> bool {
        self.errors = self.errors.saturating_add(1);
        self.errors >= config.errors
    }

    /// Returns the mean latency once there are enough samples.
    pub fn latency(&self, config: &Config) -> Option<Duration> {
        (self.latency.samples() >= config.samples).then(|| self.latency.mean())
    }

    /// Ejects the target.
    pub fn eject(&mut self, config: &Config, now: Point) {
        let pause = config.pause.saturating_mul(1 << self.ejections.min(16));
        self.until = Some(now + pause.min(config.longest));
        self.ejections += 1;
        self.errors = 0;
        self.latency = Estimate::new(Duration::ZERO);
    }
}
