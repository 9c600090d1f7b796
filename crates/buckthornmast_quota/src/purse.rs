//! Credit of one instance: what it was lent, what it has spent, and what it needs.
//!
//! A request is charged before it looks for a target. An organisation that keeps an instance busy is lent credit ahead,
//! in proportion to its recent use, so its requests don't wait for the leader. The first request of an organisation waits
//! for one round trip. At most one claim is on its way, with the needs of all organisations together.
//!
//! All points are of one clock that goes on while the machine is suspended.

mod pocket;

use std::{collections::HashMap, time::Duration};

use buckthornmast_routes::document::Quota;
use buckthornmast_types::{id, time::Point};

use self::pocket::{Denial, Lease, Pocket, counts_tokens};
use crate::{
    account::Terms,
    credit::{Claim, Grant, Item, Return, Stamp, Use},
};

/// Time limit for the answer to a claim, after which the instance goes on as without a leader: many round trips.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Part of the credit ahead below which more is claimed.
const CLAIM_PART: f64 = 0.5;

/// Part of the credit ahead below which an organisation joins a claim for others, so that claims are few.
const JOIN_PART: f64 = 0.8;

/// Interval at which credit is returned while none is claimed.
const RETURN_INTERVAL: Duration = Duration::from_millis(200);

/// Longest wait for credit that a request isn't refused for: until a new leader lends credit.
const MAX_WAIT: Duration = Duration::from_millis(200);

/// Longest time for which requests are refused without another claim.
const MAX_DENIAL: Duration = Duration::from_millis(200);

/// Time after which a reserve that was spent is full again: longer than any window.
const RESERVE_REFILL: Duration = Duration::from_secs(20);

/// Time for which much of the quota counts as left after the leader has said so: a change of the leader, and the interval
/// between two claims.
const AMPLE_TIME: Duration = Duration::from_secs(3);

/// Wait that a caller is told while there is no leader: about one election.
const NO_LENDER_WAIT: Duration = Duration::from_secs(1);

/// Leader as an instance knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Lender {
    /// No leader is known.
    #[default]
    Absent,
    /// The leader is an older build that lends no credit. Each instance spends an equal part of the quota.
    Older,
    /// The leader lends credit, in this session.
    Present(Session),
}

/// Connection to a leader in one term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Session {
    /// Term of the leader.
    pub term: id::Term,
    /// Number of the connection.
    pub connection: u64,
}

/// Reason why a request can't be charged now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lack {
    /// A claim is on its way. The request should be charged again when credit has come, or after this time.
    Pending(Duration),
    /// The organisation has used its quota, but credit is expected soon. The request should be charged again after this
    /// time.
    Soon(Duration),
    /// The organisation has used its quota. Credit is expected after this time.
    Exhausted(Duration),
    /// There is no leader, and the reserve of this instance is spent. A leader is expected after this time.
    NoLender(Duration),
}

/// Credit that a request was charged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Charge {
    /// Organisation.
    pub organisation: id::Organisation,
    /// Amount.
    pub amount: u64,
    // Loan that it came from. None for the reserve.
    stamp: Option<Stamp>,
    // Whether it was counted in tokens.
    counts_tokens: bool,
    at: Point,
}

/// Claim on its way.
#[derive(Debug, Clone, Copy)]
struct Sent {
    number: u64,
    at: Point,
}

/// Credit of one instance.
#[derive(Debug, Default)]
pub struct Purse {
    pockets: HashMap<id::Organisation, Pocket>,
    returns: Vec<Return>,
    // When credit was last returned.
    returned_at: Point,
    sent: Option<Sent>,
    next_number: u64,
    lender: Lender,
    // Term of the leader that was last told what was spent.
    told_term: Option<id::Term>,
    // When the leader was lost, or failed to answer.
    silent_until: Option<Point>,
    instances: u32,
    terms: Terms,
    started_at: Point,
    // Whether an organisation has a quota.
    has_quotas: bool,
}

impl Purse {
    /// Returns an empty purse.
    pub fn new(terms: Terms, now: Point) -> Self {
        Self {
            terms,
            started_at: now,
            ..Self::default()
        }
    }

    /// Sets the number of instances that share what is spent without the leader. The highest number counts: an instance that
    /// is cut off is told of fewer.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = self.instances.max(instances);
    }

    /// Sets the leader. A claim that is on its way to another one is dropped. Returns whether it has changed.
    pub fn set_lender(&mut self, lender: Lender) -> bool {
        if self.lender == lender {
            return false;
        }
        self.lender = lender;
        self.sent = None;
        self.silent_until = None;
        // Another leader can't take back what it hasn't lent.
        self.returns.clear();
        // Waiting requests are charged again.
        for pocket in self.pockets.values_mut() {
            (pocket.need, pocket.wanted) = (0, 0);
            pocket.denial = None;
            // The former session counts the whole reserve.
            pocket.unreported = 0;
        }
        true
    }

    /// Charges a request of an organisation. One that is charged in vain is counted among the needs of the next claim.
    pub fn charge(
        &mut self,
        organisation: &id::Organisation,
        quota: &Quota,
        cost: u64,
        now: Point,
    ) -> Result<Charge, Lack> {
        self.expire(now);
        let charge = |stamp| Charge {
            organisation: organisation.clone(),
            amount: cost,
            stamp,
            counts_tokens: counts_tokens(quota),
            at: now,
        };
        let memory = self.terms.memory();
        let is_silent = self.is_silent(now);
        let instances = self.instances.max(1);
        let pocket = self.pocket(organisation, quota, now);
        if cost + pocket.owed <= pocket.balance() {
            let owed = std::mem::take(&mut pocket.owed);
            pocket.deduct(owed);
            let stamp = pocket.deduct(cost);
            pocket.record_use(cost, now);
            pocket.record_spent(cost, memory, now);
            return Ok(charge(stamp));
        }
        let share = f64::from(instances);
        let rate = quota.rate.get() / share;
        match self.lender {
            Lender::Older => {
                let size = quota.burst / share + self.terms.reserve(quota, instances, false);
                let pocket = self.pocket(organisation, quota, now);
                if pocket.take_reserve(cost, size, rate, now) {
                    return Ok(charge(None));
                }
                let missing = Duration::try_from_secs_f64(cost as f64 / rate);
                Err(Lack::Exhausted(missing.unwrap_or(NO_LENDER_WAIT)))
            }
            Lender::Present(_) if !is_silent => self.want(organisation, quota, cost, now),
            Lender::Present(_) | Lender::Absent => {
                let (terms, instances) = (self.terms, self.instances);
                let pocket = self.pocket(organisation, quota, now);
                let is_ample = pocket.ample_until.is_some_and(|until| now < until);
                let size = terms.reserve(quota, instances, is_ample);
                let refill = size / RESERVE_REFILL.as_secs_f64();
                if pocket.take_reserve(cost, size, refill, now) {
                    pocket.record_spent(cost, memory, now);
                    return Ok(charge(None));
                }
                Err(Lack::NoLender(NO_LENDER_WAIT))
            }
        }
    }

    fn pocket(
        &mut self,
        organisation: &id::Organisation,
        quota: &Quota,
        now: Point,
    ) -> &mut Pocket {
        self.has_quotas = true;
        let pocket = self.pockets.entry(organisation.clone());
        let pocket = pocket.or_insert_with(|| Pocket::new(*quota, now));
        if pocket.quota.unit != quota.unit {
            // Its credit is in another unit.
            *pocket = Pocket::new(*quota, now);
        }
        pocket.quota = *quota;
        pocket
    }

    /// Counts a request that lacks credit among the needs of the next claim, unless the leader has just denied one.
    fn want(
        &mut self,
        organisation: &id::Organisation,
        quota: &Quota,
        cost: u64,
        now: Point,
    ) -> Result<Charge, Lack> {
        let pocket = self.pocket(organisation, quota, now);
        let denial = pocket.denial.filter(|denial| now < denial.until);
        if let Some(denial) = denial.filter(|denial| cost >= denial.need) {
            let wait = denial.credit_at.since(now);
            if wait > MAX_WAIT {
                return Err(Lack::Exhausted(wait));
            }
            return Err(Lack::Soon(denial.until.since(now)));
        }
        let need = cost + pocket.owed;
        pocket.need = if pocket.need == 0 {
            need
        } else {
            pocket.need.min(need)
        };
        pocket.wanted += cost;
        Err(Lack::Pending(ANSWER_TIMEOUT))
    }

    /// Counts another run of a request that was charged before. It isn't refused for want of credit: what it costs is
    /// deducted from the credit that comes next.
    pub fn charge_again(&mut self, charge: &Charge, now: Point) {
        self.expire(now);
        let memory = self.terms.memory();
        let Some(pocket) = self.pockets.get_mut(&charge.organisation) else {
            return;
        };
        if counts_tokens(&pocket.quota) != charge.counts_tokens {
            return;
        }
        let paid = charge.amount.min(pocket.balance());
        pocket.deduct(paid);
        pocket.owed += charge.amount - paid;
        pocket.record_spent(charge.amount, memory, now);
    }

    /// Takes back the credit of a request that certainly hasn't run.
    pub fn give_back(&mut self, charge: &Charge, now: Point) {
        self.expire(now);
        let Some(pocket) = self.pockets.get_mut(&charge.organisation) else {
            return;
        };
        if counts_tokens(&pocket.quota) != charge.counts_tokens {
            return;
        }
        pocket.forget_spent(charge.amount, charge.at);
        let Some(stamp) = charge.stamp else {
            pocket.reserve_spent = (pocket.reserve_spent - charge.amount as f64).max(0.0);
            pocket.unreported = pocket.unreported.saturating_sub(charge.amount);
            return;
        };
        let mut leases = pocket.leases.iter_mut();
        if let Some(lease) = leases.find(|lease| lease.stamp == stamp) {
            lease.amount += charge.amount;
            return;
        }
        self.returns.push(Return {
            organisation: charge.organisation.clone(),
            stamp,
            amount: charge.amount,
        });
    }

    /// Returns the claim to send to the leader now, if one is due and none is on its way.
    pub fn claim(&mut self, now: Point) -> Option<Claim> {
        let Lender::Present(session) = self.lender else {
            return None;
        };
        if self.sent.is_some() {
            return None;
        }
        self.expire(now);
        let mut is_due = false;
        for pocket in self.pockets.values_mut() {
            pocket.decay(now);
            is_due |= pocket.need > 0 || pocket.unreported > 0 || pocket.is_below(CLAIM_PART, now);
        }
        let is_flushed = now.since(self.returned_at) >= RETURN_INTERVAL;
        let is_new = self.told_term != Some(session.term) && self.has_quotas;
        if !is_due && !is_new && (self.returns.is_empty() || !is_flushed) {
            return None;
        }
        let is_young = is_new && now.since(self.started_at) < self.terms.memory();
        let history = self.take_history(session.term, now);
        let mut items = Vec::new();
        for (organisation, pocket) in self.pockets.iter_mut().filter(|_| is_due) {
            if pocket.need == 0 && pocket.unreported == 0 && !pocket.is_below(JOIN_PART, now) {
                continue;
            }
            let (ahead, balance) = (pocket.ahead(), pocket.balance() as f64);
            // Larger than any amount only if the use is, which costs bound.
            let ahead = (ahead - balance).max(0.0) as u64;
            pocket.asked = pocket.need;
            items.push(Item {
                organisation: organisation.clone(),
                counts_tokens: counts_tokens(&pocket.quota),
                need: std::mem::take(&mut pocket.need),
                want: std::mem::take(&mut pocket.wanted) + pocket.owed + ahead,
                spent: std::mem::take(&mut pocket.unreported),
            });
        }
        self.returned_at = now;
        self.next_number += 1;
        if !items.is_empty() {
            self.sent = Some(Sent {
                number: self.next_number,
                at: now,
            });
        }
        Some(Claim {
            number: self.next_number,
            items,
            returns: std::mem::take(&mut self.returns),
            history,
            is_young,
        })
    }

    /// Returns what was spent lately and may still be spent, in the first claim to a leader.
    fn take_history(&mut self, term: id::Term, now: Point) -> Vec<Use> {
        let mut history = Vec::new();
        if self.told_term.replace(term) == Some(term) {
            return history;
        }
        let memory = self.terms.memory();
        for (organisation, pocket) in &self.pockets {
            let mut add = |age, amount| {
                history.push(Use {
                    organisation: organisation.clone(),
                    age,
                    amount,
                });
            };
            for spent in &pocket.spent {
                let age = now.since(spent.to);
                if age <= memory && spent.amount > 0 {
                    add(age, spent.amount);
                }
            }
            if pocket.balance() > 0 {
                add(Duration::ZERO, pocket.balance());
            }
        }
        history
    }

    /// Adds the credit of an answer. An answer to a claim that isn't on its way any more is returned. Returns whether
    /// waiting requests should be charged again.
    pub fn receive(&mut self, grant: &Grant, now: Point) -> bool {
        let sent = self.sent.take_if(|sent| sent.number == grant.number);
        let Some(sent) = sent else {
            self.returns.extend(grant.loans.iter().map(|loan| Return {
                organisation: loan.organisation.clone(),
                stamp: grant.stamp,
                amount: loan.amount,
            }));
            return false;
        };
        self.silent_until = None;
        for loan in &grant.loans {
            let Some(pocket) = self.pockets.get_mut(&loan.organisation) else {
                continue;
            };
            if loan.amount > 0 {
                pocket.leases.push(Lease {
                    stamp: grant.stamp,
                    until: sent.at + grant.lifetime,
                    amount: loan.amount,
                    claimed_at: sent.at,
                });
            }
            pocket.ample_until = loan.is_ample.then(|| now + AMPLE_TIME);
            pocket.denial = (loan.wait > Duration::ZERO).then(|| Denial {
                until: now + loan.wait.min(MAX_DENIAL),
                credit_at: now + loan.wait,
                // Only credit ahead was denied if no request was waiting.
                need: if pocket.asked > 0 {
                    pocket.asked
                } else {
                    u64::MAX
                },
            });
        }
        self.expire(now);
        true
    }

    /// Removes credit that has expired, which is returned with the next claim, and a claim without an answer.
    fn expire(&mut self, now: Point) {
        let late = self
            .sent
            .take_if(|sent| now.since(sent.at) > ANSWER_TIMEOUT);
        if late.is_some() {
            self.silent_until = Some(now + ANSWER_TIMEOUT);
        }
        for (organisation, pocket) in &mut self.pockets {
            let returns = &mut self.returns;
            pocket.leases.retain(|lease| {
                if lease.until <= now && lease.amount > 0 {
                    returns.push(Return {
                        organisation: organisation.clone(),
                        stamp: lease.stamp,
                        amount: lease.amount,
                    });
                }
                lease.until > now
            });
        }
    }

    fn is_silent(&self, now: Point) -> bool {
        self.silent_until.is_some_and(|until| now < until)
    }

    /// Sets whether any organisation has a quota, and removes those that have none any more.
    pub fn retain(&mut self, has_quotas: bool, has_quota: impl Fn(&id::Organisation) -> bool) {
        self.has_quotas = has_quotas;
        self.pockets
            .retain(|organisation, _| has_quota(organisation));
    }

    /// Returns the age of the oldest loan of an organisation, for logs and metrics.
    pub fn lease_age(&self, organisation: &id::Organisation, now: Point) -> Option<Duration> {
        let lease = self.pockets.get(organisation)?.leases.first()?;
        Some(now.since(lease.claimed_at))
    }

    /// Returns the organisations that have credit here, and the ages of their oldest loans.
    pub fn lease_ages(&self, now: Point) -> impl Iterator<Item = (&id::Organisation, Duration)> {
        let organisations = self.pockets.keys();
        organisations.filter_map(move |name| Some((name, self.lease_age(name, now)?)))
    }

    /// Returns whether no organisation has a quota.
    pub fn is_empty(&self) -> bool {
        !self.has_quotas && self.pockets.is_empty()
    }

    /// Returns the credit that an organisation has here.
    pub fn balance(&self, organisation: &id::Organisation) -> u64 {
        self.pockets.get(organisation).map_or(0, Pocket::balance)
    }
}
