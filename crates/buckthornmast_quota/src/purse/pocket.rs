//! Credit of one organisation at an instance.

use std::{collections::VecDeque, time::Duration};

use buckthornmast_routes::document::{Quota, Unit};
use buckthornmast_types::time::Point;
use smallvec::SmallVec;

use crate::credit::Stamp;

/// Time within which what is spent is recorded together.
const SPENT_SLOT: Duration = Duration::from_millis(500);

/// Time over which the use of an organisation is averaged.
const USE_TIME: Duration = Duration::from_millis(500);

/// Weight of a request in the mean cost of an organisation's requests.
const MEAN_WEIGHT: f64 = 0.2;

/// Use ahead of which credit is held.
const AHEAD: Duration = Duration::from_millis(300);

#[derive(Debug, Clone, Copy)]
pub(super) struct Lease {
    pub(super) stamp: Stamp,
    pub(super) until: Point,
    pub(super) amount: u64,
    pub(super) claimed_at: Point,
}

/// Time until which requests are refused without another claim, and when credit is expected. Requests that cost less may be
/// lent credit sooner.
#[derive(Debug, Clone, Copy)]
pub(super) struct Denial {
    pub(super) until: Point,
    pub(super) credit_at: Point,
    pub(super) need: u64,
}

/// What was spent within one slot.
#[derive(Debug, Clone, Copy)]
pub(super) struct Spent {
    pub(super) from: Point,
    pub(super) to: Point,
    pub(super) amount: u64,
}

#[derive(Debug)]
pub(super) struct Pocket {
    pub(super) quota: Quota,
    pub(super) leases: SmallVec<[Lease; 4]>,
    // Amount that runs have cost beyond the credit.
    pub(super) owed: u64,
    // What waiting requests need, since the last claim.
    pub(super) need: u64,
    pub(super) wanted: u64,
    // Need of the claim that is on its way.
    pub(super) asked: u64,
    // Units a second, averaged over `USE_TIME`, and the mean cost of a request.
    pub(super) use_rate: f64,
    pub(super) used_at: Point,
    pub(super) mean_cost: f64,
    pub(super) denial: Option<Denial>,
    // Time until which much of the quota counts as left.
    pub(super) ample_until: Option<Point>,
    // What was spent lately.
    pub(super) spent: VecDeque<Spent>,
    // What was spent of the reserve, and the part that the leader hasn't been told.
    pub(super) reserve_spent: f64,
    pub(super) unreported: u64,
    pub(super) reserve_at: Point,
}

pub(super) fn counts_tokens(quota: &Quota) -> bool {
    matches!(quota.unit, Unit::Tokens { .. })
}

impl Pocket {
    pub(super) fn new(quota: Quota, now: Point) -> Self {
        Self {
            quota,
            leases: SmallVec::new(),
            owed: 0,
            need: 0,
            wanted: 0,
            asked: 0,
            use_rate: 0.0,
            used_at: now,
            mean_cost: 0.0,
            denial: None,
            ample_until: None,
            spent: VecDeque::new(),
            reserve_spent: 0.0,
            unreported: 0,
            reserve_at: now,
        }
    }

    pub(super) fn balance(&self) -> u64 {
        self.leases.iter().map(|lease| lease.amount).sum()
    }

    /// Deducts an amount, from the oldest loans first, and returns the oldest one.
    pub(super) fn deduct(&mut self, mut amount: u64) -> Option<Stamp> {
        let mut oldest = None;
        for lease in &mut self.leases {
            let part = amount.min(lease.amount);
            if part > 0 {
                oldest.get_or_insert(lease.stamp);
                lease.amount -= part;
                amount -= part;
            }
        }
        oldest
    }

    pub(super) fn decay(&mut self, now: Point) {
        let passed = now.since(self.used_at).as_secs_f64() / USE_TIME.as_secs_f64();
        self.use_rate *= (-passed).exp();
        self.used_at = now;
    }

    /// Records what was spent, for the next leader. What is older than a time is forgotten.
    pub(super) fn record_spent(&mut self, amount: u64, memory: Duration, now: Point) {
        self.spent.retain(|spent| now.since(spent.to) <= memory);
        match self.spent.back_mut() {
            Some(last) if now.since(last.from) < SPENT_SLOT => {
                last.to = now;
                last.amount += amount;
            }
            _ => self.spent.push_back(Spent {
                from: now,
                to: now,
                amount,
            }),
        }
    }

    /// Deducts what was spent at a time and came back.
    pub(super) fn forget_spent(&mut self, amount: u64, at: Point) {
        let mut spent = self.spent.iter_mut();
        if let Some(spent) = spent.find(|spent| spent.from <= at && at <= spent.to) {
            spent.amount = spent.amount.saturating_sub(amount);
        }
    }

    pub(super) fn record_use(&mut self, cost: u64, now: Point) {
        self.decay(now);
        self.use_rate += cost as f64 / USE_TIME.as_secs_f64();
        let cost = cost as f64;
        self.mean_cost = if self.mean_cost > 0.0 {
            self.mean_cost + (cost - self.mean_cost) * MEAN_WEIGHT
        } else {
            cost
        };
    }

    /// Returns the amount that should be held ahead. 0 if the next request isn't expected in time.
    pub(super) fn ahead(&self) -> f64 {
        let ahead = self.use_rate * AHEAD.as_secs_f64();
        if ahead < 2.0 * self.mean_cost {
            return 0.0;
        }
        ahead
    }

    /// Returns whether less than a part of what should be held ahead is left, and more isn't denied.
    pub(super) fn is_below(&self, part: f64, now: Point) -> bool {
        let is_denied = self.denial.is_some_and(|denial| now < denial.until);
        !is_denied && (self.balance() as f64) < self.ahead() * part
    }

    /// Charges the reserve, which fills at a rate up to its size.
    pub(super) fn take_reserve(&mut self, cost: u64, size: f64, refill: f64, now: Point) -> bool {
        let filled = refill * now.since(self.reserve_at).as_secs_f64();
        self.reserve_spent = (self.reserve_spent - filled).max(0.0);
        self.reserve_at = now;
        let is_enough = self.reserve_spent + cost as f64 <= size;
        if is_enough {
            self.reserve_spent += cost as f64;
            self.unreported += cost;
        }
        is_enough
    }
}
