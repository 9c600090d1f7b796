//! Exclusion between the orders of successive leaders.
//!
//! Two leaders must not order the same target within the exclusion period. A leader notifies the other instances
//! of the core of each order before it sends it, so that its successor knows which targets it must not order yet, and
//! for how long. If the notification is lost because the core itself is disrupted, the target still refuses the older
//! fencing token.

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_types::{id, time::Point};

/// Targets that other leaders have ordered recently.
#[derive(Debug, Clone)]
pub struct Handover {
    // Exclusion period after an order of another leader.
    exclusion: Duration,
    // Times of the last orders of other leaders.
    last_orders: BTreeMap<id::Target, Point>,
}

impl Handover {
    /// Returns a table without orders.
    pub fn new(exclusion: Duration) -> Self {
        Self {
            exclusion,
            last_orders: BTreeMap::new(),
        }
    }

    /// Records that another leader orders a target.
    pub fn record(&mut self, target: id::Target, now: Point) {
        self.last_orders.insert(target, now);
        let exclusion = self.exclusion;
        self.last_orders
            .retain(|_, last| now.since(*last) < exclusion);
    }

    /// Returns whether another leader has ordered a target within the exclusion period.
    pub fn is_blocked(&self, target: &id::Target, now: Point) -> bool {
        let last = self.last_orders.get(target);
        last.is_some_and(|last| now.since(*last) < self.exclusion)
    }
}
