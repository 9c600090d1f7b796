//! Targets that fall over if they have to refuse many requests in a second.
//!
//! Instances keep to the room of such a target without communication. After a refusal, an instance has no more requests
//! there at once than it had then. Now and then, each in a time slot of its own, it tries one more. A trial that succeeds
//! may cost another instance a refusal, which then has one request less there, so that there are no more refusals than
//! trials. The trials of all instances together are a part of the refusals that the target bears.

use std::{collections::HashMap, time::Duration};

use buckthornmast_types::{id, rate::Rate, time::Point};

/// Part of the refusals that a target bears for which all instances together make trials. The refusals that follow from
/// trials of several instances may coincide.
const TRIAL_PART: f64 = 0.25;

/// Longest interval between two trials of an instance, for targets that bear hardly any refusal.
const MAX_INTERVAL: Duration = Duration::from_secs(300);

/// Part of its slots up to which a target in use has room to spare, so that instances needn't keep to what they had.
const SPARE_PART: f64 = 0.5;

type Key = (id::Target, id::Incarnation);

#[derive(Debug, Clone)]
struct Known {
    rate: Rate,
    // When the target last stated the rate.
    heard_at: Point,
    // Number of requests that this instance may have there and when it was refused more, unless there is room to spare.
    bound: Option<(u32, Point)>,
    // Last time slot in which a trial was made.
    used_slot: Option<i64>,
}

/// Brittle targets that an instance knows.
#[derive(Debug, Clone, Default)]
pub struct Board {
    targets: HashMap<Key, Known>,
    // Place of the time slots of this instance between those of the others, from 0 to 1.
    phase: f64,
    instances: u32,
}

impl Board {
    /// Returns a board without targets. `place` is a number that is evenly distributed over instances.
    pub fn new(place: u64) -> Self {
        Self {
            phase: (place >> 11) as f64 / (1_u64 << 53) as f64,
            ..Self::default()
        }
    }

    /// Sets the number of instances that share the trials.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = instances;
    }

    /// Records the refusals a second that a target states to bear with the answer to a request that was sent at a time, or
    /// that it states none. Returns whether the target has become brittle or has ceased to be.
    pub fn record(&mut self, key: &Key, stated: Option<Rate>, sent: Point, now: Point) -> bool {
        match (self.targets.get_mut(key), stated) {
            (None, None) => false,
            (None, Some(rate)) => {
                let known = Known {
                    rate,
                    heard_at: now,
                    bound: None,
                    used_slot: None,
                };
                self.targets.insert(key.clone(), known);
                true
            }
            (Some(known), Some(rate)) => {
                known.rate = rate;
                known.heard_at = now;
                false
            }
            (Some(known), None) => {
                // An answer to an earlier request may be older than the statement.
                let is_newer = sent >= known.heard_at;
                is_newer && self.targets.remove(key).is_some()
            }
        }
    }

    /// Records a request that is sent to a target, beside `own` others of this instance.
    pub fn record_dispatch(&mut self, key: &Key, own: u32, now: Point) {
        let (phase, instances) = (self.phase, self.instances);
        if let Some(known) = self.targets.get_mut(key)
            && known.bound.is_some_and(|(bound, _)| own >= bound)
        {
            known.used_slot = Some(known.slot(phase, instances, now).0);
        }
    }

    /// Records that a target has refused a request of this instance, which has `own` others there. Returns whether the target
    /// is brittle.
    pub fn record_refusal(&mut self, key: &Key, own: u32, now: Point) -> bool {
        let Some(known) = self.targets.get_mut(key) else {
            return false;
        };
        let bound = known.bound.map_or(own, |(bound, _)| bound.min(own));
        known.bound = Some((bound, now));
        true
    }

    /// Records that a target has run a request that was sent at a time, beside `own` others of this instance. `used` is the
    /// part of its slots that was in use, if it stated that.
    pub fn record_success(&mut self, key: &Key, own: u32, used: Option<f64>, sent: Point) {
        let instances = self.instances;
        let Some(known) = self.targets.get_mut(key) else {
            return;
        };
        // Requests that were sent before the refusal show nothing about the room now.
        let Some((bound, refused_at)) = known.bound.filter(|(_, at)| sent > *at) else {
            return;
        };
        // Requests that end together leave much room for a moment, also at a target that is full.
        let is_settled = sent >= refused_at + known.interval(instances);
        if is_settled && used.is_some_and(|used| used <= SPARE_PART) {
            known.bound = None;
        } else if let Some(known_bound) = &mut known.bound {
            known_bound.0 = bound.max(own + 1);
        }
    }

    /// Returns whether a target is brittle.
    pub fn is_brittle(&self, key: &Key) -> bool {
        !self.targets.is_empty() && self.targets.contains_key(key)
    }

    /// Returns the time after which this instance may send a target one more request than the `own` that it has there; zero
    /// if it may now.
    pub fn wait(&self, key: &Key, own: u32, now: Point) -> Duration {
        let Some(known) = self.targets.get(key) else {
            return Duration::ZERO;
        };
        let Some((_, refused_at)) = known.bound.filter(|(bound, _)| own >= *bound) else {
            return Duration::ZERO;
        };
        let (slot, left) = known.slot(self.phase, self.instances, now);
        let refused_in = known.slot(self.phase, self.instances, refused_at).0;
        if known.used_slot == Some(slot) || refused_in == slot {
            left
        } else {
            Duration::ZERO
        }
    }

    /// Returns whether a target may be sent a request now. `requests` is the expected number of requests there, `own` of
    /// which are those of this instance.
    pub fn accepts(&self, key: &Key, own: u32, requests: f64, slots: f64, now: Point) -> bool {
        !self.is_brittle(key) || (requests + 1.0 <= slots && self.wait(key, own, now).is_zero())
    }

    /// Removes targets that are not known any more.
    pub fn retain(&mut self, is_known: impl Fn(&id::Target, id::Incarnation) -> bool) {
        self.targets
            .retain(|(target, incarnation), _| is_known(target, *incarnation));
    }
}

impl Known {
    /// Returns the time between two trials of an instance.
    fn interval(&self, instances: u32) -> Duration {
        let interval = f64::from(instances.max(1)) / (TRIAL_PART * self.rate.get());
        Duration::try_from_secs_f64(interval).map_or(MAX_INTERVAL, |time| time.min(MAX_INTERVAL))
    }

    /// Returns the number of an instance's time slot, and the time left of it.
    fn slot(&self, phase: f64, instances: u32, now: Point) -> (i64, Duration) {
        let interval = self.interval(instances).as_secs_f64();
        let passed = now.since(Point::ZERO).as_secs_f64() / interval - phase;
        let left = (passed.floor() + 1.0 - passed) * interval;
        (passed.floor() as i64, Duration::from_secs_f64(left))
    }
}
