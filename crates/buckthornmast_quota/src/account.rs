//! Account of the leader: what was lent for each organisation that has a quota, within the last window.
//!
//! Credit is lent as long as the loans of the last window and of one lifetime before it stay below the quota. What is
//! spent in any window was lent in that time. Credit that is returned is deducted from the loan that it came from, as if
//! that part had never been lent.
//!
//! A new leader knows no loans. Each instance reports what it has spent within the last window, and the account lends
//! nothing until the reports have had time to arrive. Instances that are lost, or have just started, count as having spent
//! their part of the quota.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use buckthornmast_routes::document::{Document, Quota, Unit};
use buckthornmast_types::{id, time::Point};

use crate::credit::{Claim, Grant, Item, Loan, Return, Stamp, Use};

/// Time for which the number of instances, and the loans of an organisation without a quota, are remembered: longer than
/// any window.
const HISTORY: Duration = Duration::from_secs(20);

/// Largest part of a quota that is taken to have been spent by instances that can't tell. After a restart of most instances,
/// organisations get the rest at once.
const MAX_UNKNOWN: f64 = 0.5;

/// Time in which instances report to a new leader what they have spent. They do so as soon as they know it.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// Time within which loans are recorded together, which bounds the length of the history.
const SLOT: Duration = Duration::from_millis(50);

/// Part of the overage by which credit may be lent beyond the quota. It covers that loans are counted for longer than a
/// window, by their lifetime, and credit that lies unspent in purses.
const LENT_PART: f64 = 0.65;

/// Part of the overage that is the lifetime of a loan.
const LIFETIME_PART: f64 = 0.5;

/// Part of the slack that is added to the quota. The rest covers requests that run twice.
const SLACK_PART: f64 = 0.5;

/// Longest lifetime of a loan. An account that loses a borrower gets its credit back no sooner.
const MAX_LIFETIME: Duration = Duration::from_secs(2);

/// Part of the overage that all instances together may spend without the leader at any time. Together with what is lent, it
/// stays below the overage.
const RESERVE_PART: f64 = 0.22;

/// Part of the window for whose rate all instances together may spend credit without the leader if much was left when they
/// were last lent some: about two changes of the leader.
const AMPLE_RESERVE_PART: f64 = 0.25;

/// Part of the quota that counts as much.
const AMPLE_PART: f64 = 0.5;

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

    /// Returns the amount that one instance may spend without the leader. `is_ample` is whether much was left.
    pub fn reserve(&self, quota: &Quota, instances: u32, is_ample: bool) -> f64 {
        if instances == 0 {
            return 0.0;
        }
        let part = if is_ample {
            AMPLE_RESERVE_PART
        } else {
            self.overage * RESERVE_PART
        };
        quota.rate.get() * self.window.as_secs_f64() * part / f64::from(instances)
    }

    /// Returns the amount that may be lent within [`Self::memory`].
    fn limit(&self, quota: &Quota) -> f64 {
        let in_window = quota.rate.get() * self.window.as_secs_f64() + quota.burst;
        in_window * (1.0 + self.overage * LENT_PART) + self.slack * SLACK_PART
    }

    /// Returns the time for which loans count.
    pub fn memory(&self) -> Duration {
        self.window + self.lifetime()
    }
}

/// Number of instances that were connected lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct Census {
    highest: u32,
    seen_at: Point,
    connected: u32,
}

impl Census {
    /// Records how many instances are connected.
    pub fn record(&mut self, connected: u32, now: Point) {
        self.connected = connected;
        if connected >= self.highest || now.since(self.seen_at) > HISTORY {
            (self.highest, self.seen_at) = (connected, now);
        }
    }

    /// Returns the part of the instances of which it isn't known what they have spent, if some of those connected can't tell.
    fn unknown(&self, young: u32) -> f64 {
        let lost = self.highest.saturating_sub(self.connected);
        let part = f64::from(lost + young) / f64::from(self.highest.max(1));
        part.min(MAX_UNKNOWN)
    }
}

/// Credit that was lent within one slot.
#[derive(Debug, Clone, Copy)]
struct Lent {
    from: Point,
    // Time of the last loan. All count for as long as this one.
    to: Point,
    amount: f64,
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
    limit: f64,
    memory: Duration,
    lent: VecDeque<Lent>,
    // Sum of the loans.
    sum: f64,
    // Amount that waiting or refused requests have asked for, which drains at the rate of the quota.
    backlog: f64,
    backlog_at: Point,
    total_lent: f64,
    // When the quota was removed.
    removed_at: Option<Point>,
}

impl Bucket {
    fn new(quota: Quota, terms: &Terms, now: Point) -> Self {
        Self {
            quota,
            limit: terms.limit(&quota),
            memory: terms.memory(),
            lent: VecDeque::new(),
            sum: 0.0,
            backlog: 0.0,
            backlog_at: now,
            total_lent: 0.0,
            removed_at: None,
        }
    }

    /// Forgets loans that don't count any more, and returns the amount that may be lent. It is negative if
    /// instances have spent more without the leader.
    fn level(&mut self, now: Point) -> f64 {
        while let Some(first) = self
            .lent
            .pop_front_if(|first| now.since(first.to) > self.memory)
        {
            self.sum -= first.amount;
        }
        if self.lent.is_empty() {
            // Without what is left of roundings.
            self.sum = 0.0;
        }
        self.limit - self.sum
    }

    fn is_ample(&mut self, now: Point) -> bool {
        self.level(now) >= self.limit * AMPLE_PART
    }

    fn record(&mut self, amount: f64, now: Point) {
        self.total_lent += amount;
        self.sum += amount;
        match self.lent.back_mut() {
            Some(last) if now.since(last.from) < SLOT => {
                last.to = now;
                last.amount += amount;
            }
            _ => self.lent.push_back(Lent {
                from: now,
                to: now,
                amount,
            }),
        }
    }

    /// Adds what was spent before this account was opened.
    fn record_use(&mut self, amount: f64, at: Point) {
        self.sum += amount;
        let index = self.lent.partition_point(|lent| lent.to < at);
        match self.lent.get_mut(index) {
            Some(lent) if lent.from <= at => lent.amount += amount,
            _ => self.lent.insert(
                index,
                Lent {
                    from: at,
                    to: at,
                    amount,
                },
            ),
        }
    }

    fn give_back(&mut self, at: Point, amount: f64) {
        let mut lent = self.lent.iter_mut();
        if let Some(lent) = lent.find(|lent| lent.from <= at && at <= lent.to) {
            let returned = amount.min(lent.amount);
            lent.amount -= returned;
            self.sum -= returned;
            self.total_lent -= returned;
        }
    }

    fn scale(&mut self, factor: f64) {
        for lent in &mut self.lent {
            lent.amount *= factor;
        }
        self.sum *= factor;
    }

    /// Changes the quota. Under a lower one, earlier loans count less: it holds for what is sent from now on.
    fn set_quota(&mut self, quota: Quota, terms: &Terms, now: Point) {
        if self.quota.unit != quota.unit {
            // The loans are in the other unit.
            *self = Self::new(quota, terms, now);
            return;
        }
        let limit = terms.limit(&quota);
        self.scale((limit / self.limit).min(1.0));
        (self.quota, self.limit) = (quota, limit);
    }

    /// Returns the time until enough loans don't count any more for a need, and for what others were denied before.
    fn wait_for(&mut self, need: f64, level: f64, now: Point) -> Duration {
        let rate = self.limit / self.memory.as_secs_f64();
        let drained = rate * now.since(self.backlog_at).as_secs_f64();
        self.backlog = (self.backlog - drained).max(0.0);
        self.backlog_at = now;
        let mut missing = (need.min(self.limit) - level).max(0.0) + self.backlog;
        for lent in &self.lent {
            missing -= lent.amount;
            if missing <= 0.0 {
                return (lent.to + self.memory).since(now);
            }
        }
        self.memory
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
    census: Census,
    // Number of instances that have started within the last window before this account was opened.
    young: u32,
    // Whether instances have had the time to report what they have spent.
    is_settled: bool,
}

impl Account {
    /// Opens the account of a new leader.
    pub fn open(term: id::Term, terms: Terms, census: Census, now: Point) -> Self {
        Self {
            term,
            opened_at: now,
            terms,
            buckets: BTreeMap::new(),
            borrowers: HashMap::new(),
            census,
            young: 0,
            is_settled: false,
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
            match self.buckets.get_mut(&organisation.name) {
                Some(bucket) => {
                    bucket.removed_at = None;
                    if bucket.quota != quota {
                        bucket.set_quota(quota, &self.terms, now);
                    }
                }
                None => {
                    let bucket = Bucket::new(quota, &self.terms, now);
                    self.buckets.insert(organisation.name.clone(), bucket);
                }
            }
        }
    }

    /// Records the number of instances that are connected.
    pub fn tick(&mut self, connected: u32, now: Point) {
        self.settle(now);
        self.census.record(connected, now);
    }

    /// Ends the time in which instances report what they have spent.
    fn settle(&mut self, now: Point) {
        if self.is_settled || now.since(self.opened_at) < SETTLE_TIME {
            return;
        }
        self.is_settled = true;
        let unknown = self.census.unknown(self.young);
        for bucket in self.buckets.values_mut() {
            bucket.record_use(bucket.limit * unknown, self.opened_at);
        }
    }

    /// Counts the reserve of an instance as lent where it may be large, because its connection is lost and it may go on
    /// without the leader.
    pub fn lose(&mut self, borrower: u64, now: Point) {
        self.borrowers.remove(&borrower);
        for bucket in self.buckets.values_mut() {
            if bucket.is_ample(now) {
                let instances = self.census.highest;
                bucket.record(self.terms.reserve(&bucket.quota, instances, true), now);
            }
        }
    }

    /// Takes back what a borrower returns, and lends what it wants as far as the quotas allow. A claim that was answered
    /// before is ignored.
    pub fn answer(&mut self, borrower: u64, claim: &Claim, now: Point) -> Option<Grant> {
        self.settle(now);
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
        if claim.is_young && !self.is_settled {
            self.young += 1;
        }
        for Use {
            organisation,
            age,
            amount,
        } in &claim.history
        {
            let at = now - *age;
            // What was spent later was lent by this account.
            let bucket = self.buckets.get_mut(organisation);
            if let Some(bucket) = bucket.filter(|_| at <= self.opened_at + SETTLE_TIME) {
                bucket.record_use(*amount as f64, at);
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
            is_ample: false,
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
        if !self.is_settled {
            return loan(0, (self.opened_at + SETTLE_TIME).since(now));
        }
        let level = bucket.level(now);
        let need = item.need as f64;
        // A request that is larger than the limit is lent credit once none is lent.
        let is_met = level > 0.0 && level >= need.min(bucket.limit);
        if !is_met {
            let wait = bucket.wait_for(need, level, now);
            bucket.backlog += (item.want as f64).min(bucket.limit);
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
        Loan {
            is_ample: bucket.is_ample(now),
            ..loan(amount as u64, wait)
        }
    }

    /// Returns the organisations with a quota and their figures.
    pub fn figures(&mut self, now: Point) -> impl Iterator<Item = (&id::Organisation, Figures)> {
        let buckets = self.buckets.iter_mut();
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
