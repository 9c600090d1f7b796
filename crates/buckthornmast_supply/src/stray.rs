//! Orders whose outcome is unknown and which a target may still carry out.
//!
//! A target refuses an order unless it has accepted as many orders before as the order expects. Within one incarnation, an
//! order that arrives late therefore can't add to what later orders have been planned on. A target that starts again
//! under its id counts from zero, so an order to its previous incarnation is carried out if it arrives when the new
//! one has accepted that many orders. Fencing tokens don't prevent it: the same leader may have sent both, and the new
//! incarnation has seen no token yet.
//!
//! The leader sends the strays of a target to the other instances of the core with each order, so that its successor
//! knows them.

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_types::{id, time::Point};
use serde::{Deserialize, Serialize};

use crate::order::{Action, Order};

/// Time after which an unanswered order is no longer carried out. The longest time that the platform states is 12 s.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Order that may still be carried out, as the leader that sent it describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stray {
    /// Term of the leader that sent it.
    pub term: id::Term,
    /// Incarnation that it was sent to.
    pub incarnation: id::Incarnation,
    /// Ordered operation.
    pub action: Action,
    /// Number of accepted orders at which a target carries it out.
    pub expected: u64,
    /// Time since it was sent.
    pub age: Duration,
}

impl Stray {
    fn is_same(&self, other: &Self) -> bool {
        (self.term, self.incarnation, self.expected)
            == (other.term, other.incarnation, other.expected)
            && self.action == other.action
    }
}

/// Stray orders of all targets.
#[derive(Debug, Clone, Default)]
pub struct Strays {
    by_target: BTreeMap<id::Target, Vec<(Stray, Point)>>,
}

impl Strays {
    /// Records that an order is being sent. It is a stray until its outcome is known.
    pub fn record(&mut self, order: &Order, term: id::Term, now: Point) {
        let stray = Stray {
            term,
            incarnation: order.incarnation,
            action: order.action.clone(),
            expected: order.expected,
            age: Duration::ZERO,
        };
        let strays = self.by_target.entry(order.target.clone()).or_default();
        strays.push((stray, now));
    }

    /// Records that the outcome of an order is known, so it is not carried out later.
    pub fn settle(&mut self, order: &Order) {
        if let Some(strays) = self.by_target.get_mut(&order.target) {
            strays.retain(|(stray, _)| {
                stray.incarnation != order.incarnation
                    || stray.expected != order.expected
                    || stray.action != order.action
            });
        }
    }

    /// Adds the strays that another leader knows of a target. Those of its own term replace what it has sent before.
    pub fn merge(
        &mut self,
        target: &id::Target,
        term: id::Term,
        strays: impl IntoIterator<Item = Stray>,
        now: Point,
    ) {
        let known = self.by_target.entry(target.clone()).or_default();
        known.retain(|(stray, _)| stray.term != term);
        for stray in strays {
            if known.iter().all(|(other, _)| !other.is_same(&stray)) {
                let sent = now - stray.age;
                known.push((stray, sent));
            }
        }
    }

    /// Returns the strays of a target, for the other instances of the core.
    pub fn of(&self, target: &id::Target, now: Point) -> Vec<Stray> {
        let strays = self.by_target.get(target).into_iter().flatten();
        let strays = strays.map(|(stray, sent)| Stray {
            age: now.since(*sent),
            ..stray.clone()
        });
        strays.collect()
    }

    /// Returns the orders to earlier incarnations of a target that this incarnation may carry out, with the numbers of
    /// accepted orders at which it does.
    pub fn of_earlier(
        &self,
        target: &id::Target,
        incarnation: id::Incarnation,
    ) -> impl Iterator<Item = (&Action, u64)> {
        let strays = self.by_target.get(target).into_iter().flatten();
        strays
            .filter(move |(stray, _)| stray.incarnation != incarnation)
            .map(|(stray, _)| (&stray.action, stray.expected))
    }

    /// Removes the strays that are no longer carried out.
    pub fn prune(&mut self, now: Point) {
        self.by_target.retain(|_, strays| {
            strays.retain(|(_, sent)| now.since(*sent) < TIMEOUT);
            !strays.is_empty()
        });
    }
}
