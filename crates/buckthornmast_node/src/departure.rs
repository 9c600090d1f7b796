//! Departures of targets that wait until enough instances of the core have them on their disks.
//!
//! A target that was told that its departure is known may end. If its departure were only in memory, a kill of all
//! processes right after the answer would lose it, and the target would get requests again.

use std::collections::{BTreeMap, BTreeSet};

use buckthornmast_types::id;
use tokio::sync::oneshot;

/// Departure of an incarnation of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Departure {
    /// Target.
    pub target: id::Target,
    /// Incarnation.
    pub incarnation: id::Incarnation,
}

/// Returns the number of instances that have to store a departure before it is acknowledged: one more than may lose their
/// disks at the same time, as far as there are so many.
pub fn required_copies(losses: usize, instances: usize) -> usize {
    losses.saturating_add(1).min(instances).max(1)
}

#[derive(Debug)]
struct Waiter {
    departure: Departure,
    required: usize,
    stored_at: BTreeSet<id::Instance>,
    stored: oneshot::Sender<()>,
}

/// Departures that are being stored, and those that are known to be stored.
#[derive(Debug, Default)]
pub struct Departures {
    waiters: Vec<Waiter>,
    stored: BTreeMap<id::Target, id::Incarnation>,
}

impl Departures {
    /// Returns a signal that comes once this many instances have stored a departure from now on.
    pub fn wait(&mut self, departure: Departure, required: usize) -> oneshot::Receiver<()> {
        let (stored, signal) = oneshot::channel();
        self.waiters.retain(|waiter| !waiter.stored.is_closed());
        self.waiters.push(Waiter {
            departure,
            required,
            stored_at: BTreeSet::new(),
            stored,
        });
        signal
    }

    /// Records that an instance has stored a departure.
    pub fn record(&mut self, departure: &Departure, instance: &id::Instance) {
        let is_complete = |waiter: &mut Waiter| {
            if waiter.departure != *departure {
                return false;
            }
            waiter.stored_at.insert(instance.clone());
            waiter.stored_at.len() >= waiter.required
        };
        for waiter in self.waiters.extract_if(.., is_complete) {
            let Departure {
                target,
                incarnation,
            } = waiter.departure;
            self.stored.insert(target, incarnation);
            // The call may have ended meanwhile.
            let _ = waiter.stored.send(());
        }
    }

    /// Returns whether a departure is known to be stored.
    pub fn is_stored(&self, departure: &Departure) -> bool {
        self.stored.get(&departure.target) == Some(&departure.incarnation)
    }

    /// Forgets the departure of a target that takes new work again.
    pub fn forget(&mut self, target: &id::Target) {
        self.stored.remove(target);
    }

    /// Forgets the departures of all targets but those that are known.
    pub fn retain(&mut self, is_known: impl Fn(&id::Target) -> bool) {
        self.stored.retain(|target, _| is_known(target));
    }
}
