//! Orders of one holder after those of another.
//!
//! Two holders must not order the same target within the turn time. A leader tells the other instances of the core of each
//! order before it gives it, so that its successor knows which targets it has to leave alone, and for how long.
//! When that word is lost because the core itself is disturbed, the target still refuses the older fencing token.

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_types::{id, time::Point};

/// Targets that other holders have ordered.
#[derive(Debug, Clone)]
pub struct Handover {
    turn: Duration,
    last: BTreeMap<id::Target, Point>,
}

impl Handover {
    /// Knows of no orders.
    pub fn new(turn: Duration) -> Self {
        Self {
            turn,
            last: BTreeMap::new(),
        }
    }

    /// Notes that another holder orders a target.
    pub fn note(&mut self, target: id::Target, now: Point) {
        self.last.insert(target, now);
        let turn = self.turn;
        self.last.retain(|_, last| now.since(*last) < turn);
    }

    /// Returns whether another holder has ordered a target too recently for this one to order it.
    pub fn is_barred(&self, target: &id::Target, now: Point) -> bool {
        let last = self.last.get(target);
        last.is_some_and(|last| now.since(*last) < self.turn)
    }
}
