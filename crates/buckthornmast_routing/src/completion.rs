//! Expected time until a target answers a request.
//!
//! Designed for targets that differ in speed and load, and for requests whose prompts a target may have read in part.
//! The leader, which knows the requests of all instances, and an entry instance that decides alone use the same model.
//! All terms are times, so that the reading that a target is spared can be weighed against the wait there.

use std::time::Duration;

use buckthornmast_types::slowdown::Slowdown;

/// Time over which a stated slowdown loses its weight. It is stated many times a second because it changes as often.
const SLOWDOWN_PERSISTENCE: Duration = Duration::from_millis(300);

/// Exponent with which the cost of a slot rises with the share of the slots in use. An empty target costs nothing; at a
/// nearly full one the next burst has to wait.
const FULLNESS_EXPONENT: i32 = 4;

/// Longest term of an estimate, in seconds. A longer one says no more.
const MAX_SECONDS: f64 = 3600.0;

/// State of a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Requests that run or wait there.
    pub requests: f64,
    /// Requests that it runs concurrently.
    pub slots: f64,
    /// Mean time of a request in its slot.
    pub slot_time: Duration,
    /// Time until the prompts that were sent there are read.
    pub reading_wait: Duration,
    /// Time that work takes there now, as a ratio of its usual time.
    pub slowdown: f64,
    /// Time to the target and back.
    pub distance: Duration,
}

/// What a request asks of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    /// Usual time until the first event of a stream, or until the whole answer.
    pub time: Duration,
    /// Part of it that this target is spared, since it holds the beginning of the prompt.
    pub spared: Duration,
}

/// Expected time until the answer, by cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Estimate {
    /// Time to the target and back.
    pub distance: Duration,
    /// Wait for the prompts that were sent there before.
    pub reading_wait: Duration,
    /// Wait for a slot, of this request or of later ones that find the target full.
    pub slot_wait: Duration,
    /// Work on the request itself.
    pub work: Duration,
    /// Pause of the requests that run there, on average over the slots.
    pub pause: Duration,
}

impl Estimate {
    /// Returns the sum.
    pub fn total(&self) -> Duration {
        self.distance + self.reading_wait + self.slot_wait + self.work + self.pause
    }
}

/// Returns the slowdown to expect now from one that was stated this long ago, as a ratio of the usual time.
pub fn expected_slowdown(stated: Slowdown, age: Duration) -> f64 {
    let weight = (-age.as_secs_f64() / SLOWDOWN_PERSISTENCE.as_secs_f64()).exp();
    1.0 + (stated.ratio() - 1.0) * weight
}

/// Estimates the time until a target answers a request that is sent now.
pub fn estimate(load: &Load, work: Work) -> Estimate {
    let slots = load.slots.max(1.0);
    let requests = load.requests.max(0.0);
    let used = (requests / slots).min(1.0);
    let excess = (requests + 1.0 - slots).max(0.0);
    let slot_wait = load.slot_time.as_secs_f64() * load.slowdown / slots
        * (used.powi(FULLNESS_EXPONENT) + excess);
    let own = work.time.saturating_sub(work.spared).as_secs_f64() * load.slowdown;
    Estimate {
        distance: load.distance,
        reading_wait: load.reading_wait,
        slot_wait: seconds(slot_wait),
        work: seconds(own),
        pause: seconds(own * used),
    }
}

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value.clamp(0.0, MAX_SECONDS))
}
