//! Ejection of a target that fails or is far slower than the other targets of its service.

use std::time::Duration;

use buckthornmast_types::prelude::*;

use crate::estimate::Estimate;

/// Configuration of ejection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Number of consecutive errors that eject a target.
    pub error_threshold: u32,
    /// Duration of the first ejection; it doubles with each further one.
    pub first_ejection: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection: Duration,
    /// Time in which the load of a target grows back to its full share after an ejection.
    pub ramp: Duration,
    /// Multiple of the median latency of the service beyond which a target is ejected.
    pub slow_factor: f64,
    /// Number of samples needed before the latency is compared.
    pub min_samples: u32,
    /// Maximum share of a service's work-accepting targets that may be ejected at once.
    pub max_ejected_share: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            error_threshold: 5,
            first_ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(30),
            ramp: Duration::from_secs(10),
            slow_factor: 3.0,
            min_samples: 20,
            // If more than half fail, the cause is common to all, and ejection would move all load to the rest.
            max_ejected_share: 0.5,
        }
    }
}

/// Weight of a target right after an ejection.
const MIN_WEIGHT: f64 = 0.1;

/// Health of one target as seen by this instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Health {
    consecutive_errors: u32,
    ejections: u32,
    ejected_until: Option<Point>,
    latency: Estimate,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            consecutive_errors: 0,
            ejections: 0,
            ejected_until: None,
            latency: Estimate::new(Duration::ZERO),
        }
    }
}

impl Health {
    /// Returns whether the target is ejected.
    pub fn is_ejected(&self, now: Point) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the share of its normal load that the target should get, from 0.1 to 1.
    pub fn weight(&self, config: &Config, now: Point) -> f64 {
        match self.ejected_until {
            None => 1.0,
            Some(until) => {
                let ramp = config.ramp.as_secs_f64().max(f64::EPSILON);
                (now.since(until).as_secs_f64() / ramp).clamp(MIN_WEIGHT, 1.0)
            }
        }
    }

    /// Records a success with a latency that is comparable between targets, such as the time to first token.
    pub fn succeeded(&mut self, latency: Duration, config: &Config, now: Point) {
        self.consecutive_errors = 0;
        self.latency.add(latency);
        // After the ramp, earlier ejections no longer count.
        if self
            .ejected_until
            .is_some_and(|until| now > until + config.ramp)
        {
            self.ejected_until = None;
            self.ejections = 0;
        }
    }

    /// Records an error and returns whether the target should be ejected.
    pub fn failed(&mut self, config: &Config) -> bool {
        self.consecutive_errors = self.consecutive_errors.saturating_add(1);
        self.consecutive_errors >= config.error_threshold
    }

    /// Returns the mean latency once there are enough samples.
    pub fn latency(&self, config: &Config) -> Option<Duration> {
        (self.latency.samples() >= config.min_samples).then(|| self.latency.mean())
    }

    /// Ejects the target.
    pub fn eject(&mut self, config: &Config, now: Point) {
        let duration = config
            .first_ejection
            .saturating_mul(1 << self.ejections.min(16));
        self.ejected_until = Some(now + duration.min(config.max_ejection));
        self.ejections += 1;
        self.consecutive_errors = 0;
        self.latency = Estimate::new(Duration::ZERO);
    }
}
