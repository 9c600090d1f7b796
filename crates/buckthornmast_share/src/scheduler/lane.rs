//! Waiting requests of one lane.

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_types::time::Point;

use crate::account::Cost;

/// Waiting request.
#[derive(Debug)]
pub(super) struct Waiting<T> {
    pub(super) cost: Cost,
    pub(super) work: Duration,
    pub(super) payload: T,
}

/// Deadline and number of a request.
pub(super) type Slot = (Point, u64);

/// Whether a request in a lane is late, and its slot.
pub(super) type Position = (bool, Slot);

/// Waiting requests of a group with the same organisation and priority, by deadline.
#[derive(Debug)]
pub(super) struct Lane<T> {
    pub(super) on_time: BTreeMap<Slot, Waiting<T>>,
    pub(super) late: BTreeMap<Slot, Waiting<T>>,
    // Sums over `on_time`.
    pub(super) cost: f64,
    pub(super) work: Duration,
}

impl<T> Default for Lane<T> {
    fn default() -> Self {
        Self {
            on_time: BTreeMap::new(),
            late: BTreeMap::new(),
            cost: 0.0,
            work: Duration::ZERO,
        }
    }
}

impl<T> Lane<T> {
    pub(super) fn is_empty(&self) -> bool {
        self.on_time.is_empty() && self.late.is_empty()
    }

    pub(super) fn subtract(&mut self, waiting: &Waiting<T>) {
        self.cost = (self.cost - waiting.cost.get()).max(0.0);
        self.work = self.work.saturating_sub(waiting.work);
    }

    pub(super) fn remove(&mut self, slot: Slot) -> Option<Waiting<T>> {
        if let Some(waiting) = self.on_time.remove(&slot) {
            self.subtract(&waiting);
            return Some(waiting);
        }
        self.late.remove(&slot)
    }

    pub(super) fn get(&self, (is_late, slot): Position) -> Option<&Waiting<T>> {
        if is_late {
            self.late.get(&slot)
        } else {
            self.on_time.get(&slot)
        }
    }

    /// Moves the requests that can't be on time any more behind the others.
    pub(super) fn settle(&mut self, now: Point) {
        while let Some(first) = self.on_time.first_entry() {
            if first.key().0 >= now {
                return;
            }
            let (slot, waiting) = first.remove_entry();
            self.subtract(&waiting);
            self.late.insert(slot, waiting);
        }
    }

    /// Returns the first request after a slot.
    pub(super) fn next(&self, after: Option<Position>) -> Option<Position> {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = |slot: Option<Slot>| (slot.map_or(Unbounded, Excluded), Unbounded);
        let on_time = match after {
            Some((true, _)) => None,
            Some((false, slot)) => self.on_time.range(from(Some(slot))).next(),
            None => self.on_time.iter().next(),
        };
        if let Some((slot, _)) = on_time {
            return Some((false, *slot));
        }
        let after = after.and_then(|(is_late, slot)| is_late.then_some(slot));
        let (slot, _) = self.late.range(from(after)).next()?;
        Some((true, *slot))
    }
}
