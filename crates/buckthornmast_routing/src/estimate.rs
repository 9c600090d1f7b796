//! Estimate of a duration from samples.

use std::time::Duration;

/// Exponentially weighted mean and mean deviation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    mean: f64,
    deviation: f64,
    samples: u32,
}

/// Weight of a new sample: the last ten samples make up about two thirds of the estimate.
const SAMPLE_WEIGHT: f64 = 0.1;

impl Estimate {
    /// Returns an estimate that starts from an assumed duration, which the first sample replaces.
    pub fn new(assumed: Duration) -> Self {
        Self {
            mean: assumed.as_secs_f64(),
            deviation: assumed.as_secs_f64() / 2.0,
            samples: 0,
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        if self.samples == 0 {
            self.mean = sample;
            self.deviation = sample / 2.0;
        } else {
            self.deviation += SAMPLE_WEIGHT * ((sample - self.mean).abs() - self.deviation);
            self.mean += SAMPLE_WEIGHT * (sample - self.mean);
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the number of samples.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Returns the mean.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Returns a duration that most samples stay below: the mean plus twice the mean deviation.
    pub fn upper_bound(&self) -> Duration {
        Duration::from_secs_f64(self.mean + 2.0 * self.deviation)
    }
}
