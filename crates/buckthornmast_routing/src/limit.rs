//! Adaptive limit on the requests in progress at one target.

use std::time::Duration;

/// Bounds of a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Limit at the start.
    pub start: u32,
    /// Smallest limit.
    pub least: u32,
    /// Largest limit.
    pub most: u32,
    /// Multiple of the unloaded latency that still counts as unloaded.
    pub tolerance: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            start: 16,
            least: 1,
            most: 1024,
            tolerance: 1.5,
        }
    }
}

/// Share by which the limit moves towards its new value with each sample.
const SMOOTHING: f64 = 0.2;
/// Share of the limit that is left after a refusal or a timeout.
const BACKOFF: f64 = 0.9;
/// Samples between two measurements of the unloaded latency.
const WINDOW: u32 = 1000;
/// Samples of such a measurement.
const MEASURED: u32 = 50;

/// Measurement of the unloaded latency: the limit is halved, requests that were already queued are
/// skipped, and the shortest latency after them is the new unloaded one.
///
/// Under lasting load every sample has queued, so an average of them, however slow, would in time take
/// the queue for the usual latency and let the limit grow without bound.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Probe {
    limit: f64,
    skip: u32,
    left: u32,
    shortest: f64,
}

/// Limit that follows the latency: it grows while latency stays near its unloaded value and shrinks
/// when requests begin to queue at the target.
///
/// Noise and the size of a batch change the latency too. While the target reports that nothing waits and
/// has room, its slots are a floor: without one, prompts of 1 to 5 ms with a jitter of a half shrank the limit of
/// engines that had room, and requests were refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Adaptive {
    config: Config,
    limit: f64,
    floor: u32,
    unloaded: f64,
    samples: u32,
    probe: Option<Probe>,
}

impl Adaptive {
    /// Returns a limit at its start.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            limit: f64::from(config.start),
            floor: 0,
            unloaded: f64::INFINITY,
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
        let least = self.config.least.max(1).max(self.floor);
        let most = self.config.most;
        self.limit = limit.clamp(f64::from(least), f64::from(most.max(least)));
    }

    /// Takes the slots that the target reports while nothing waits there, or 0 while something does.
    pub fn set_floor(&mut self, slots: u32) {
        self.floor = slots;
        self.set(self.limit);
    }

    /// Notes a success. `in_progress` includes this request.
    pub fn answered(&mut self, latency: Duration, in_progress: u32) {
        let sample = latency.as_secs_f64().max(1e-6);
        self.unloaded = self.unloaded.min(sample);
        if self.measure(sample) {
            return;
        }
        let gradient = (self.config.tolerance * self.unloaded / sample).clamp(0.5, 1.0);
        // Without load there is nothing to learn about a larger limit.
        if gradient >= 1.0 && f64::from(in_progress) < self.limit / 2.0 {
            return;
        }
        let target = self.limit * gradient + self.limit.sqrt();
        self.set(self.limit + SMOOTHING * (target - self.limit));
    }

    /// Runs the measurement and returns whether one is in progress.
    fn measure(&mut self, sample: f64) -> bool {
        if let Some(probe) = &mut self.probe {
            if probe.skip > 0 {
                probe.skip -= 1;
                return true;
            }
            probe.shortest = probe.shortest.min(sample);
            probe.left -= 1;
            if probe.left == 0 {
                let done = *probe;
                self.probe = None;
                self.unloaded = done.shortest;
                self.set(done.limit);
            }
            return true;
        }
        self.samples += 1;
        if self.samples < WINDOW {
            return false;
        }
        self.samples = 0;
        self.probe = Some(Probe {
            limit: self.limit,
            skip: self.get().saturating_mul(2),
            left: MEASURED,
            shortest: f64::INFINITY,
        });
        self.set(self.limit / 2.0);
        true
    }

    /// Notes a refusal for lack of room, or a timeout.
    pub fn dropped(&mut self) {
        // A refusal says more than the report before it.
        self.floor = 0;
        // A measurement must not bring back the limit that led here.
        if let Some(probe) = &mut self.probe {
            probe.limit *= BACKOFF;
        }
        self.set(self.limit * BACKOFF);
    }
}
