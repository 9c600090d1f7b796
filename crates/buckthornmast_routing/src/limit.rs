//! Adaptive limit on the requests in progress at one target.

use std::time::Duration;

/// Configuration of a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Initial limit.
    pub initial: u32,
    /// Minimum limit.
    pub min: u32,
    /// Maximum limit.
    pub max: u32,
    /// Multiple of the unloaded latency up to which a target counts as unloaded.
    pub tolerance: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            initial: 16,
            min: 1,
            max: 1024,
            tolerance: 1.5,
        }
    }
}

/// Fraction by which each sample moves the limit towards its new value.
const SMOOTHING: f64 = 0.2;
/// Factor applied to the limit after a refusal or a timeout.
const BACKOFF_FACTOR: f64 = 0.9;
/// Number of samples between two measurements of the unloaded latency.
const PROBE_INTERVAL_SAMPLES: u32 = 1000;
/// Number of samples in one measurement of the unloaded latency.
const PROBE_SAMPLES: u32 = 50;

/// Measurement of the unloaded latency: the limit is halved, the samples of requests that were already queued
/// are skipped, and the shortest latency after them becomes the unloaded latency.
///
/// Under sustained load every sample includes queueing time. An average of the samples, however slowly it
/// adapts, would in time absorb the queueing time and let the limit grow without bound.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Probe {
    limit: f64,
    to_skip: u32,
    remaining: u32,
    shortest_latency_seconds: f64,
}

/// Limit that follows the latency: it grows while the latency stays near its unloaded value, and shrinks
/// when requests begin to queue at the target.
///
/// Noise and batch size change the latency too. While the target reports free slots and no waiting requests,
/// its slots are a floor for the limit. Without the floor, prompts of 1 to 5 ms with a jitter of one half would shrink
/// the limit of engines that have free slots, and requests would be refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Adaptive {
    config: Config,
    limit: f64,
    floor: u32,
    unloaded_latency_seconds: f64,
    samples: u32,
    probe: Option<Probe>,
}

impl Adaptive {
    /// Returns a limit at its initial value.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            limit: f64::from(config.initial),
            floor: 0,
            unloaded_latency_seconds: f64::INFINITY,
            samples: 0,
            probe: None,
        }
    }

    /// Returns the limit.
    pub fn get(&self) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the limit is between two u32"
        )]
        let limit = self.limit as u32;
        limit
    }

    /// Returns whether one more request may be sent.
    pub fn allows(&self, in_progress: u32) -> bool {
        in_progress < self.get()
    }

    fn set(&mut self, limit: f64) {
        let min = self.config.min.max(1).max(self.floor);
        let max = self.config.max;
        self.limit = limit.clamp(f64::from(min), f64::from(max.max(min)));
    }

    /// Sets the floor of the limit: the slots that the target certainly has for this instance while no request
    /// waits there, otherwise 0.
    pub fn set_floor(&mut self, slots: u32) {
        self.floor = slots;
        self.set(self.limit);
    }

    /// Records an answer. `in_progress` includes this request.
    pub fn answered(&mut self, latency: Duration, in_progress: u32) {
        let sample = latency.as_secs_f64().max(1e-6);
        self.unloaded_latency_seconds = self.unloaded_latency_seconds.min(sample);
        if self.advance_probe(sample) {
            return;
        }
        let gradient =
            (self.config.tolerance * self.unloaded_latency_seconds / sample).clamp(0.5, 1.0);
        // Without load the latency gives no evidence for a larger limit.
        if gradient >= 1.0 && f64::from(in_progress) < self.limit / 2.0 {
            return;
        }
        let desired = self.limit * gradient + self.limit.sqrt();
        self.set(self.limit + SMOOTHING * (desired - self.limit));
    }

    /// Advances or starts a measurement, and returns whether one is in progress.
    fn advance_probe(&mut self, sample: f64) -> bool {
        if let Some(probe) = &mut self.probe {
            if probe.to_skip > 0 {
                probe.to_skip -= 1;
                return true;
            }
            probe.shortest_latency_seconds = probe.shortest_latency_seconds.min(sample);
            probe.remaining -= 1;
            if probe.remaining == 0 {
                let finished = *probe;
                self.probe = None;
                self.unloaded_latency_seconds = finished.shortest_latency_seconds;
                self.set(finished.limit);
            }
            return true;
        }
        self.samples += 1;
        if self.samples < PROBE_INTERVAL_SAMPLES {
            return false;
        }
        self.samples = 0;
        self.probe = Some(Probe {
            limit: self.limit,
            to_skip: self.get().saturating_mul(2),
            remaining: PROBE_SAMPLES,
            shortest_latency_seconds: f64::INFINITY,
        });
        self.set(self.limit / 2.0);
        true
    }

    /// Records a timeout, or a refusal by a target without free capacity.
    pub fn dropped(&mut self) {
        // A refusal is newer evidence than the last report.
        self.floor = 0;
        // The end of a measurement must not restore the limit that led to the refusal.
        if let Some(probe) = &mut self.probe {
            probe.limit *= BACKOFF_FACTOR;
        }
        self.set(self.limit * BACKOFF_FACTOR);
    }
}
