//! What one instance knows of limits, and what it may send without the account.
//!
//! An instance that can't reach the account for some time has slots of its own: short times in which it may send one
//! request, at intervals so long that all instances together spend a small part of the limit. The first slot lies at a
//! time that differs between instances, since they lose the account together. A slot that isn't used is lost.

use std::{collections::HashMap, time::Duration};

use buckthornmast_types::{id, rate::Rate, time::Point};

use crate::statement::{Key, Notice, Statement};

/// Time without the account after which an instance uses its slots. A new leader is elected in less.
const ALONE_AFTER: Duration = Duration::from_secs(2);

/// Part of a limit that all instances together may spend without the account. Others may still have it.
const ALONE_PART: f64 = 0.25;

/// Longest time for which a slot may be used.
const MAX_SLOT: Duration = Duration::from_secs(1);

/// Lowest rate from which slots are computed.
const MIN_RATE: f64 = 0.1;

/// Time for which the limit of a target that nobody announces is kept. Announcements are delayed by seconds at most.
const RETENTION: Duration = Duration::from_secs(300);

/// Time after which this instance offers a target with a limit another request that others could take, to learn whether
/// the limit still holds, for each [`INSTANCES_PER_INTERVAL`]. The account accepts the offers of one instance.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Number of instances that together offer a request so many times in [`PROBE_INTERVAL`].
const INSTANCES_PER_INTERVAL: u32 = 10;

/// Number of limits that are kept.
const MAX_LIMITS: usize = 10_000;

#[derive(Debug, Clone)]
struct Known {
    rate: Rate,
    // When this instance last heard of the limit.
    heard_at: Point,
    // Last slot that was used.
    used_slot: Option<u64>,
    // When a request that others could take was last offered to the target.
    probed_at: Option<Point>,
}

/// Limits that an instance knows.
#[derive(Debug, Clone, Default)]
pub struct View {
    limits: HashMap<Key, Known>,
    // Place of this instance's slots between those of the others, from 0 to 1.
    phase: f64,
    instances: u32,
    // Since when the account can't be reached.
    alone_since: Option<Point>,
}

impl View {
    /// Returns a view without limits. `place` is a number that is evenly distributed over instances.
    pub fn new(place: u64) -> Self {
        Self {
            limits: HashMap::new(),
            phase: (place >> 11) as f64 / (1_u64 << 53) as f64,
            instances: 0,
            alone_since: None,
        }
    }

    /// Sets the number of instances that share what may be spent without the account.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = instances;
    }

    /// Records whether the account could be reached.
    pub fn set_reachable(&mut self, is_reachable: bool, now: Point) {
        if !is_reachable {
            self.alone_since.get_or_insert(now);
        } else if self.alone_since.take().is_some() {
            // The slots of the next time are counted anew.
            for known in self.limits.values_mut() {
                known.used_slot = None;
            }
        }
    }

    /// Records the statement of an answer to a request that was sent at a time. Returns whether it differs from what this
    /// instance knows.
    pub fn record(&mut self, key: &Key, statement: Statement, sent: Point, now: Point) -> bool {
        match statement {
            Statement::Unreadable => false,
            Statement::Limited(rate) => {
                let differs = self.rate(key) != Some(rate);
                self.insert(key, rate, now);
                differs
            }
            Statement::Unlimited => {
                // With the account, only its notice ends a limit.
                let is_newer = self
                    .limits
                    .get(key)
                    .is_some_and(|known| self.is_alone(now) && sent >= known.heard_at);
                is_newer && self.limits.remove(key).is_some()
            }
        }
    }

    fn insert(&mut self, key: &Key, rate: Rate, now: Point) {
        if let Some(known) = self.limits.get_mut(key) {
            known.rate = rate;
            known.heard_at = now;
        } else if self.limits.len() < MAX_LIMITS {
            let known = Known {
                rate,
                heard_at: now,
                used_slot: None,
                probed_at: None,
            };
            self.limits.insert(key.clone(), known);
        }
    }

    /// Adds changes that the account has told.
    pub fn merge(&mut self, notices: &[Notice], now: Point) {
        for notice in notices {
            match notice.limit {
                Some(rate) => self.insert(&notice.key, rate, now),
                None => {
                    self.limits.remove(&notice.key);
                }
            }
        }
    }

    /// Returns the limit of a target.
    pub fn rate(&self, key: &Key) -> Option<Rate> {
        if self.limits.is_empty() {
            return None;
        }
        self.limits.get(key).map(|known| known.rate)
    }

    /// Returns whether a target has a limit.
    pub fn is_limited(&self, target: &id::Target, incarnation: id::Incarnation) -> bool {
        !self.limits.is_empty() && self.limits.contains_key(&(target.clone(), incarnation))
    }

    /// Returns all limits and the times since this instance heard of them.
    pub fn limits(&self, now: Point) -> impl Iterator<Item = (&Key, Rate, Duration)> {
        let limits = self.limits.iter();
        limits.map(move |(key, known)| (key, known.rate, now.since(known.heard_at)))
    }

    /// Removes a limit of which the account doesn't know.
    pub fn forget(&mut self, key: &Key) {
        self.limits.remove(key);
    }

    /// Returns whether a target with a limit should be offered a request that others could take, and takes note of it.
    pub fn take_probe(&mut self, key: &Key, now: Point) -> bool {
        let interval = PROBE_INTERVAL * (self.instances / INSTANCES_PER_INTERVAL).max(1);
        let Some(known) = self.limits.get_mut(key) else {
            return false;
        };
        let probed_at = known.probed_at.unwrap_or(known.heard_at);
        let is_due = now.since(probed_at.max(known.heard_at)) >= interval;
        if is_due {
            known.probed_at = Some(now);
        }
        is_due
    }

    fn is_alone(&self, now: Point) -> bool {
        let alone_since = self.alone_since;
        alone_since.is_some_and(|alone_since| now.since(alone_since) >= ALONE_AFTER)
    }

    /// Takes a slot of this instance for a request, if it is alone and the slot is now. Otherwise returns the time after
    /// which one of all instances has a slot.
    pub fn take_slot(&mut self, key: &Key, now: Point) -> Result<(), Duration> {
        let is_alone = self.is_alone(now);
        let Some(known) = self.limits.get_mut(key) else {
            return Ok(());
        };
        let spacing = Duration::from_secs_f64(1.0 / (ALONE_PART * known.rate.get().max(MIN_RATE)));
        let Some(alone_since) = self.alone_since.filter(|_| is_alone) else {
            return Err(spacing);
        };
        let interval = spacing.as_secs_f64() * f64::from(self.instances.max(1));
        let passed = now.since(alone_since + ALONE_AFTER).as_secs_f64() / interval - self.phase;
        if passed < 0.0 {
            return Err(spacing);
        }
        let slot = passed.floor();
        let into_slot = (passed - slot) * interval;
        let is_open = into_slot < interval.min(MAX_SLOT.as_secs_f64());
        // Slots are counted from the loss of the account, and few in any case.
        let slot = slot as u64;
        if !is_open || known.used_slot == Some(slot) {
            return Err(spacing);
        }
        known.used_slot = Some(slot);
        Ok(())
    }

    /// Removes the limits of earlier incarnations, and of targets that have been unknown for long. `known` returns the
    /// known incarnation of a target.
    pub fn prune(&mut self, known: impl Fn(&id::Target) -> Option<id::Incarnation>, now: Point) {
        self.limits
            .retain(|(target, incarnation), limit| match known(target) {
                Some(known) => known <= *incarnation,
                None => now.since(limit.heard_at) < RETENTION,
            });
    }
}
