//! Budgets of retries and hedged requests.

use std::{collections::VecDeque, time::Duration};

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

/// Share of a bound over all instances that their [`Window`]s may use together. They disagree on the number of instances,
/// and their windows don't end at the same moment.
pub const WINDOW_SHARE: f64 = 0.7;

/// Number of slots of a [`Window`].
const WINDOW_SLOTS: u64 = 20;

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Slot {
    requests: u32,
    extra: u32,
}

/// Bounds of a [`Window`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowConfig {
    /// Length of the window.
    pub length: Duration,
    /// Extra attempts per request in the window.
    pub retries_per_request: f64,
    /// Extra attempts in the window beyond that. At least one is always allowed.
    pub burst: f64,
}

/// Budget of extra attempts in each window of time, as a share of the requests in the same window.
///
/// Unlike [`Retry`], it keeps what a bound on windows allows for a burst: when a target fails, all its requests are tried
/// again in the same moment.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Window {
    // Counts by slot, the newest last.
    slots: VecDeque<Slot>,
    newest: u64,
}

impl Window {
    /// Drops the slots that are older than the window and the slot in progress.
    fn advance(&mut self, config: &WindowConfig, now: Point) {
        let slot_length = (config.length / WINDOW_SLOTS as u32).max(Duration::from_millis(1));
        let current = u64::try_from(now.since(Point::ZERO).as_nanos() / slot_length.as_nanos());
        let current = current.unwrap_or(u64::MAX).max(self.newest);
        let steps = (current - self.newest).min(WINDOW_SLOTS + 1);
        self.newest = current;
        for _ in 0..steps {
            self.slots.push_back(Slot::default());
        }
        if self.slots.is_empty() {
            self.slots.push_back(Slot::default());
        }
        while self.slots.len() as u64 > WINDOW_SLOTS + 1 {
            self.slots.pop_front();
        }
    }

    /// Records a request. Its further attempts are not recorded here.
    pub fn record_request(&mut self, config: &WindowConfig, now: Point) {
        self.advance(config, now);
        if let Some(slot) = self.slots.back_mut() {
            slot.requests = slot.requests.saturating_add(1);
        }
    }

    /// Returns whether the budget has an extra attempt.
    pub fn has_attempt(&mut self, config: &WindowConfig, now: Point) -> bool {
        self.advance(config, now);
        let extra: u32 = self.slots.iter().map(|slot| slot.extra).sum();
        // Any window of this length contains all extra attempts of these slots, but not all requests of the oldest one.
        let newer = self.slots.iter().rev().take(WINDOW_SLOTS as usize);
        let requests: u32 = newer.map(|slot| slot.requests).sum();
        let allowed = config.retries_per_request * f64::from(requests) + config.burst;
        f64::from(extra) + 1.0 <= allowed.max(1.0)
    }

    /// Takes an extra attempt from the budget, if it has one.
    pub fn take(&mut self, config: &WindowConfig, now: Point) -> bool {
        let has_attempt = self.has_attempt(config, now);
        if has_attempt && let Some(slot) = self.slots.back_mut() {
            slot.extra = slot.extra.saturating_add(1);
        }
        has_attempt
    }
}
