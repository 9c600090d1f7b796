//! Ways that an entry instance knows, and the order in which it tries them.

use std::{cmp::Reverse, time::Duration};

use buckthornmast_types::{id, time::Point};
use smallvec::SmallVec;

use crate::way::Way;

/// Number of ways that one connection tries. A wait for more of them would outlast the objective of most requests.
pub const MAX_TRIES: usize = 3;

/// Time for which a way that can't be reached, or doesn't answer, is not tried.
const LOST_TIME: Duration = Duration::from_millis(1000);

/// Time for which a way without room is not tried.
const FULL_TIME: Duration = Duration::from_millis(100);

/// Reason why a way didn't lead to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The way can't be reached, doesn't answer, stops, or refuses the key.
    Lost,
    /// The way has no room for another tunnel.
    Full,
    /// The way doesn't reach the target.
    Unreached,
    /// The way knows the target as one that takes no requests.
    Unwanted,
}

#[derive(Debug, Clone)]
struct Entry {
    way: Way,
    avoid_until: Point,
    // Targets that it did not reach since it last reached one.
    unreached: u32,
    used: u64,
}

/// Ways that an instance knows.
#[derive(Debug, Clone, Default)]
pub struct Ways {
    entries: Vec<Entry>,
    next_use: u64,
}

impl Ways {
    /// Replaces the ways. What is known about those that stay is kept.
    pub fn set(&mut self, ways: Vec<Way>) {
        let known = std::mem::take(&mut self.entries);
        self.entries = ways
            .into_iter()
            .map(|way| {
                let same = known.iter().find(|entry| entry.way == way);
                same.cloned().unwrap_or(Entry {
                    way,
                    avoid_until: Point::ZERO,
                    unreached: 0,
                    used: 0,
                })
            })
            .collect();
    }

    /// Returns whether any way is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the ways to try in turn: those that reach targets first, then those of the own failure domain, then the one
    /// that was used longest ago, so that the load spreads.
    pub fn next(&mut self, domain: &id::Domain, now: Point) -> SmallVec<[Way; MAX_TRIES]> {
        let usable = self
            .entries
            .iter_mut()
            .filter(|entry| now >= entry.avoid_until);
        let mut usable: Vec<&mut Entry> = usable.collect();
        usable.sort_by_key(|entry| {
            (
                entry.unreached,
                Reverse(entry.way.domain == *domain),
                entry.used,
            )
        });
        usable.truncate(MAX_TRIES);
        if let Some(first) = usable.first_mut() {
            self.next_use += 1;
            first.used = self.next_use;
        }
        usable.into_iter().map(|entry| entry.way.clone()).collect()
    }

    fn entry(&mut self, way: &Way) -> Option<&mut Entry> {
        let mut entries = self.entries.iter_mut();
        entries.find(|entry| entry.way.instance == way.instance)
    }

    /// Records that a way led to a target.
    pub fn record_success(&mut self, way: &Way) {
        if let Some(entry) = self.entry(way) {
            entry.unreached = 0;
        }
    }

    /// Records that a way did not lead to a target.
    pub fn record_fault(&mut self, way: &Way, fault: Fault, now: Point) {
        let Some(entry) = self.entry(way) else {
            return;
        };
        match fault {
            Fault::Lost => entry.avoid_until = now + LOST_TIME,
            Fault::Full => entry.avoid_until = now + FULL_TIME,
            Fault::Unreached => entry.unreached = entry.unreached.saturating_add(1),
            Fault::Unwanted => {}
        }
    }
}
