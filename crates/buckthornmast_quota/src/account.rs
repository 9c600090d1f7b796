//! Account of the leader: a token bucket for each organisation that has a quota.
//!
//! The level of a bucket is computed from its recent loans. Credit that is returned is deducted
//! from the loan that it came from, so the level becomes what it would be if that part had never been lent. Adding it to
//! the level instead would let an organisation spend at once what was lent over a long time.
//!
//! Loans of an earlier leader aren't known. They need not be: the account of a new leader begins with empty buckets, so
//! what both lend together is no more than one bucket would have lent.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use buckthornmast_routes::document::{Document, Quota, Unit};
use buckthornmast_types::{id, time::Point};

use crate::{
    credit::{Claim, Grant, Item, Loan, Return, Stamp},
    purse::ANSWER_TIMEOUT,
};

/// Time within which credit may be returned, and the organisation of a quota be removed and added again. No request waits
/// longer for its target.
const HISTORY: Duration = Duration::from_secs(20);

/// Time within which loans are recorded together, which bounds the length of the history.
const SLOT: Duration = Duration::from_millis(50);

/// Part of the overage that covers credit that was lent before a window and is spent within it.
const LIFETIME_PART: f64 = 0.5;

/// Part of the overage that covers credit that lies unspent in purses while others need it.
const IDLE_PART: f64 = 0.2;

/// Part of the slack that is added to the bucket. The rest covers requests that run twice.
const SLACK_PART: f64 = 0.5;

/// Longest lifetime of a loan. An account that loses a borrower gets its credit back no sooner.
const MAX_LIFETIME: Duration = Duration::from_secs(2);

/// Part of the overage that all instances together may spend without the leader. A leader that is lost lends nothing
/// meanwhile, and one that isn't counts the reserve of each instance that it loses as lent. So only the reserves of
/// instances whose loss hasn't shown yet add to the rest, and those of a third of them have room beside it.
const RESERVE_PART: f64 = 0.85;

/// Time without a sign of life of the account itself after which it withholds the reserves of all instances: their claims
/// have been waiting for as long.
const MAX_STALL: Duration = ANSWER_TIMEOUT;

/// Time for which they are withheld. Instances that have spent some of it report that within a few ticks.
const WITHHOLD_TIME: Duration = Duration::from_secs(1);

/// Longest expected wait for credit.
const MAX_WAIT: Duration = Duration::from_secs(8);

/// Wait of an instance that has another version of the routes than the leader.
const VERSION_WAIT: Duration = Duration::from_millis(100);

/// How the quotas of a deployment are judged: in no window may an organisation spend more than
/// (rate x window + burst) x (1 + overage) + slack.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Length of the window.
    pub window: Duration,
    /// Part of the quota that may be spent beyond it.
    pub overage: f64,
    /// Amount that may be spent beyond that.
    pub slack: f64,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(8),
            overage: 0.1,
            slack: 0.0,
        }
    }
}

impl Terms {
    /// Returns the time for which credit is lent.
    pub fn lifetime(&self) -> Duration {
        self.window
            .mul_f64(self.overage * LIFETIME_PART)
            .min(MAX_LIFETIME)
    }

    /// Returns the amount that one instance may spend without the leader.
    pub fn reserve(&self, quota: &Quota, instances: u32) -> f64 {
        if instances == 0 {
            return 0.0;
        }
        let time = self.window.as_secs_f64() * self.overage * RESERVE_PART;
        quota.rate.get() * time / f64::from(instances)
    }

    /// Returns the size of the bucket.
    fn capacity(&self, quota: &Quota) -> f64 {
        let idle_time = self.window.as_secs_f64() * self.overage * IDLE_PART;
        quota.burst + quota.rate.get() * idle_time + self.slack * SLACK_PART
    }
}

/// Credit that was lent within one slot.
#[derive(Debug, Clone, Copy)]
struct Lent {
    from: Point,
    // Time of the last loan. The level is computed as if all were lent then, which is never too high.
    to: Point,
    amount: f64,
    // Level of the bucket after them.
    level: f64,
}

/// Figures of an organisation, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Figures {
    /// Amount that is left.
    pub level: f64,
    /// Amount that was lent and not returned.
    pub lent: f64,
}

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    capacity: f64,
    // Level at a time before all recorded loans.
    base: f64,
    base_at: Point,
    lent: VecDeque<Lent>,
    // Amount that waiting or refused requests have asked for, which drains at the rate of the quota.
    backlog: f64,
    backlog_at: Point,
    total_lent: f64,
    // When reserves were withheld, and the amount.
    withheld: Option<(Point, f64)>,
    // When the quota was removed.
    removed_at: Option<Point>,
}

impl Bucket {
    fn new(quota: Quota, capacity: f64, level: f64, now: Point) -> Self {
        Self {
            quota,
            capacity,
            base: level.min(capacity),
            base_at: now,
            lent: VecDeque::new(),
            backlog: 0.0,
            backlog_at: now,
            total_lent: 0.0,
            withheld: None,
            removed_at: None,
        }
    }

    fn after(&self, level: f64, span: Duration) -> f64 {
        (level + self.quota.rate.get() * span.as_secs_f64()).min(self.capacity)
    }

    fn level(&self, now: Point) -> f64 {
        let (level, at) = self
            .lent
            .back()
            .map_or((self.base, self.base_at), |last| (last.level, last.to));
        self.after(level, now.since(at))
    }

    /// Computes the levels after the loans from an index on.
    fn compute_levels(&mut self, from: usize) {
        let (mut level, mut at) = match from.checked_sub(1).and_then(|index| self.lent.get(index)) {
            Some(before) => (before.level, before.to),
            None => (self.base, self.base_at),
        };
        for index in from..self.lent.len() {
            let Lent { to, amount, .. } = self.lent[index];
            level = self.after(level, to.since(at)) - amount;
            at = to;
            self.lent[index].level = level;
        }
    }

    fn record(&mut self, amount: f64, now: Point) {
        while let Some(first) = self
            .lent
            .pop_front_if(|first| now.since(first.to) > HISTORY)
        {
            (self.base, self.base_at) = (first.level, first.to);
        }
        self.total_lent += amount;
        match self.lent.back_mut() {
            Some(last) if now.since(last.from) < SLOT => {
                last.to = now;
                last.amount += amount;
            }
            _ => self.lent.push_back(Lent {
                from: now,
                to: now,
                amount,
                level: 0.0,
            }),
        }
        self.compute_levels(self.lent.len().saturating_sub(1));
    }

    fn give_back(&mut self, at: Point, amount: f64) {
        let mut lent = self.lent.iter();
        let Some(index) = lent.position(|lent| lent.from <= at && at <= lent.to) else {
            return;
        };
        let returned = amount.min(self.lent[index].amount);
        self.lent[index].amount -= returned;
        self.total_lent -= returned;
        self.compute_levels(index);
    }

    /// Changes the quota. The loans under the earlier one have been settled: they may be in another unit.
    fn set_quota(&mut self, quota: Quota, capacity: f64, now: Point) {
        let is_same_unit = self.quota.unit == quota.unit;
        let level = if is_same_unit { self.level(now) } else { 0.0 };
        *self = Self::new(quota, capacity, level, now);
    }

    fn wait_for(&mut self, need: f64, level: f64, now: Point) -> Duration {
        let rate = self.quota.rate.get();
        let drained = rate * now.since(self.backlog_at).as_secs_f64();
        self.backlog = (self.backlog - drained).max(0.0);
        self.backlog_at = now;
        let missing = (need.min(self.capacity) - level).max(0.0) + self.backlog;
        let wait = Duration::try_from_secs_f64(missing / rate).unwrap_or(MAX_WAIT);
        wait.min(MAX_WAIT)
    }
}

/// Account of the leader.
#[derive(Debug)]
pub struct Account {
    term: id::Term,
    opened_at: Point,
    terms: Terms,
    buckets: BTreeMap<id::Organisation, Bucket>,
    // Number of the last claim of each borrower.
    borrowers: HashMap<u64, u64>,
    // Highest number of instances, and when it was seen.
    instances: (u32, Point),
    // Whether quotas were set before.
    has_document: bool,
    // When the account was last used or looked at.
    active_at: Point,
}

impl Account {
    /// Opens the account of a new leader, with empty buckets.
    pub fn open(term: id::Term, terms: Terms, now: Point) -> Self {
        Self {
            term,
            opened_at: now,
            terms,
            buckets: BTreeMap::new(),
            borrowers: HashMap::new(),
            instances: (0, now),
            has_document: false,
            active_at: now,
        }
    }

    /// Sets the quotas to those of a document.
    pub fn set_document(&mut self, document: &Document, now: Point) {
        for (name, bucket) in &mut self.buckets {
            let mut organisations = document.organisations.iter();
            if !organisations.any(|organisation| organisation.name == *name) {
                bucket.removed_at.get_or_insert(now);
            }
        }
        self.buckets.retain(|_, bucket| {
            bucket
                .removed_at
                .is_none_or(|removed_at| now.since(removed_at) < HISTORY)
        });
        for organisation in &document.organisations {
            let quota = organisation.quota.filter(|quota| quota.rate.get() > 0.0);
            let Some(quota) = quota else {
                self.buckets.remove(&organisation.name);
                continue;
            };
            let capacity = self.terms.capacity(&quota);
            match self.buckets.get_mut(&organisation.name) {
                Some(bucket) => {
                    bucket.removed_at = None;
                    if bucket.quota != quota {
                        bucket.set_quota(quota, capacity, now);
                    }
                }
                None => {
                    // An earlier leader may have lent until this one was elected, unless the organisation is new.
                    let age = now.since(self.opened_at);
                    let level = if self.has_document && age > HISTORY {
                        capacity
                    } else {
                        quota.rate.get() * age.as_secs_f64()
                    };
                    let bucket = Bucket::new(quota, capacity, level, now);
                    self.buckets.insert(organisation.name.clone(), bucket);
                }
            }
        }
        self.has_document = true;
    }

    /// Records that the account is active, and the number of instances that are connected. To be called more often than
    /// instances wait for an answer.
    pub fn tick(&mut self, connected: u32, now: Point) {
        self.note_active(now);
        let (highest, seen_at) = self.instances;
        if connected >= highest || now.since(seen_at) > HISTORY {
            self.instances = (connected, now);
        }
    }

    /// Counts the reserve of an instance as lent, because its connection is lost and it may go on without the leader.
    pub fn lose(&mut self, borrower: u64, now: Point) {
        self.borrowers.remove(&borrower);
        for bucket in self.buckets.values_mut() {
            let reserve = self.terms.reserve(&bucket.quota, self.instances.0);
            bucket.record(reserve, now);
        }
    }

    /// Withholds the reserves of all instances for a short time if their claims have waited while the process was suspended.
    /// They report what they have spent.
    fn note_active(&mut self, now: Point) {
        let has_stalled = now.since(self.active_at) > MAX_STALL;
        self.active_at = now;
        let instances = self.instances.0;
        for bucket in self.buckets.values_mut() {
            let is_over =
                |(at, _): &mut (Point, f64)| has_stalled || now.since(*at) > WITHHOLD_TIME;
            if let Some((at, amount)) = bucket.withheld.take_if(is_over) {
                bucket.give_back(at, amount);
            }
            if has_stalled {
                let amount = self.terms.reserve(&bucket.quota, instances) * f64::from(instances);
                bucket.record(amount, now);
                bucket.withheld = Some((now, amount));
            }
        }
    }

    /// Takes back what a borrower returns, and lends what it wants as far as the quotas allow. A claim that was answered
    /// before is ignored.
    pub fn answer(&mut self, borrower: u64, claim: &Claim, now: Point) -> Option<Grant> {
        self.note_active(now);
        let last = self.borrowers.entry(borrower).or_insert(0);
        if claim.number <= *last {
            return None;
        }
        *last = claim.number;
        for Return {
            organisation,
            stamp,
            amount,
        } in &claim.returns
        {
            let bucket = self.buckets.get_mut(organisation);
            if let Some(bucket) = bucket.filter(|_| stamp.term == self.term) {
                bucket.give_back(stamp.at, *amount as f64);
            }
        }
        let items = claim.items.iter();
        Some(Grant {
            number: claim.number,
            stamp: Stamp {
                term: self.term,
                at: now,
            },
            lifetime: self.terms.lifetime(),
            loans: items.map(|item| self.lend(item, now)).collect(),
        })
    }

    fn lend(&mut self, item: &Item, now: Point) -> Loan {
        let loan = |amount, wait| Loan {
            organisation: item.organisation.clone(),
            amount,
            wait,
        };
        let Some(bucket) = self.buckets.get_mut(&item.organisation) else {
            // The instance knows an older or newer version, in which the organisation has a quota.
            return loan(item.want, Duration::ZERO);
        };
        if item.counts_tokens != matches!(bucket.quota.unit, Unit::Tokens { .. }) {
            return loan(0, VERSION_WAIT);
        }
        if item.spent > 0 {
            bucket.record(item.spent as f64, now);
        }
        let level = bucket.level(now);
        let need = item.need as f64;
        // A request that is larger than the bucket is lent credit once the bucket is full.
        let is_met = level > 0.0 && level >= need.min(bucket.capacity);
        if !is_met {
            let wait = bucket.wait_for(need, level, now);
            bucket.backlog += (item.want as f64).min(bucket.capacity);
            return loan(0, wait);
        }
        let amount = (item.want as f64).min(level.floor()).max(need);
        bucket.record(amount, now);
        let missing = item.want as f64 - amount;
        let wait = if missing > 0.0 {
            bucket.wait_for(need.max(1.0), level - amount, now)
        } else {
            Duration::ZERO
        };
        bucket.backlog += missing;
        // The amount is a whole number, and no larger than that of the claim.
        loan(amount as u64, wait)
    }

    /// Returns the organisations with a quota and their figures.
    pub fn figures(&self, now: Point) -> impl Iterator<Item = (&id::Organisation, Figures)> {
        let buckets = self.buckets.iter();
        buckets.map(move |(organisation, bucket)| {
            let figures = Figures {
                level: bucket.level(now),
                lent: bucket.total_lent,
            };
            (organisation, figures)
        })
    }

    /// Returns whether no organisation has a quota.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}
