//! Times at which refused callers are told to come back.
//!
//! Callers that are refused together and come back together find the targets full again. Each is therefore told a time
//! at which the targets are expected to have room for it behind those that were told before.

use std::{collections::HashMap, hash::Hash, time::Duration};

use buckthornmast_types::time::Point;

/// Longest advised time beyond the expected wait. Later, the load will have changed.
const MAX_SPREAD: Duration = Duration::from_secs(2);

/// Refused callers of each group of targets that are expected back.
#[derive(Debug, Clone)]
pub struct Advice<G> {
    booked_until: HashMap<G, Point>,
}

impl<G> Default for Advice<G> {
    fn default() -> Self {
        Self {
            booked_until: HashMap::new(),
        }
    }
}

impl<G: Clone + Eq + Hash> Advice<G> {
    /// Returns the time after which a refused caller should come back. `wait` is the time until there is room, `work` the
    /// time for which the caller's request takes it.
    pub fn advise(&mut self, group: &G, wait: Duration, work: Duration, now: Point) -> Duration {
        let booked_until = self.booked_until.entry(group.clone()).or_insert(now);
        let earliest = now + wait;
        if *booked_until > earliest + MAX_SPREAD {
            // More callers than there will be room for: the times start again, between those that were told before.
            *booked_until = *booked_until - MAX_SPREAD;
        }
        let at = (*booked_until).clamp(earliest, earliest + MAX_SPREAD);
        *booked_until = at + work;
        at.since(now)
    }

    /// Removes groups where nobody is expected back.
    pub fn prune(&mut self, now: Point) {
        self.booked_until.retain(|_, until| *until > now);
    }
}
