//! Ledger of one controller for all targets of its failure domain.

use std::collections::BTreeMap;

use buckthornmast_types::{order::Action, prelude::*, report::Phase};
use snafu::Snafu;

use crate::{
    account::{Account, ReportSnapshot, closed_order},
    entry::{Attempt, ClosedOrder, End, Entry, Outcome, Position},
    guard::Guard,
};

/// Reason why an order is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// The account of the target is not rebuilt yet.
    #[snafu(display("the account of the target is not rebuilt yet"))]
    NotCurrent,
    /// The token of the order is not the token of the ledger.
    #[snafu(display("the order has token {token}, which is not the token of this ledger"))]
    Token {
        /// Token of the order.
        token: id::Token,
    },
    /// The order is for another incarnation of the target.
    #[snafu(display(
        "the order is for another incarnation of the target, which runs as incarnation {incarnation}"
    ))]
    Incarnation {
        /// Current incarnation of the target.
        incarnation: id::Incarnation,
    },
    /// The target is leaving and accepts no new loads.
    #[snafu(display("the target is leaving"))]
    Leaving,
    /// An order for the artifact on the target is open, or for a load an unload of its base model.
    #[snafu(display("order {order} for the artifact or its base model is open on the target"))]
    Open {
        /// Open order.
        order: id::Order,
        /// Whether it is a load.
        is_load: bool,
    },
    /// The artifact is on the target already.
    #[snafu(display("the artifact is on the target already"))]
    Present,
    /// The artifact is not on the target, or is being unloaded.
    #[snafu(display("the artifact is not on the target, or is being unloaded"))]
    Absent,
    /// The target lacks memory in the worst case.
    #[snafu(display("the load needs {bytes}, but only {free} are free in the worst case"))]
    Memory {
        /// Requested memory.
        bytes: Bytes,
        /// Memory that is free in the worst case.
        free: Bytes,
    },
    /// The order would remove the last ready copy of an artifact that must stay reachable.
    #[snafu(display("no other ready copy of {artifact} would remain"))]
    LastCopy {
        /// Artifact.
        artifact: Artifact,
    },
    /// An adapter on the target is based on the artifact.
    #[snafu(display("{adapter} on the target needs the artifact"))]
    NeededByAdapter {
        /// Adapter that is based on it.
        adapter: Artifact,
    },
    /// The order is a fence, which needs no reservation.
    #[snafu(display("a fence needs no reservation"))]
    Fence,
}

impl Refusal {
    pub(crate) fn order_open(entry: &Entry) -> Self {
        Self::Open {
            order: entry.order().id,
            is_load: entry.is_load(),
        }
    }
}

/// Targets whose intents have been inherited from the journals.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum JournalCoverage {
    /// No targets.
    Unread,
    /// Targets that ignore fencing tokens. On the others, the effects of missing intents become visible once
    /// they are fenced.
    IgnoringTargets,
    /// All targets.
    All,
}

/// Ledger of one controller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ledger {
    token: id::Token,
    journals: JournalCoverage,
    accounts: BTreeMap<id::Target, Account>,
}

impl Ledger {
    /// Returns the empty ledger of a lease holder with this token.
    pub fn new(token: id::Token) -> Self {
        Self {
            token,
            journals: JournalCoverage::Unread,
            accounts: BTreeMap::new(),
        }
    }

    /// Returns the token of the lease holder.
    pub fn token(&self) -> id::Token {
        self.token
    }

    /// Continues under a higher token of the same holder.
    ///
    /// Attempts under lower tokens end on each target that honours tokens once it reports the new token.
    pub fn raise_token(&mut self, token: id::Token) {
        self.token = self.token.max(token);
    }

    /// Takes over an open intent of an earlier holder.
    ///
    /// Every intent in the log and in the journals must be inherited before orders are reserved.
    pub fn inherit(&mut self, order: Order) {
        let account = self.accounts.entry(order.target.clone()).or_default();
        // The earlier holder had a report of this incarnation, so reports of older ones are outdated.
        let position = Position {
            incarnation: order.incarnation,
            sequence: 0,
        };
        account.min_position = account.min_position.max(position);
        let entry = Entry::inherited(order.clone(), self.token);
        account.entries.entry(order.id).or_insert(entry);
    }

    /// Requires a report of a target at least as new as the newest one on which an earlier holder acted.
    ///
    /// An older report may miss the effect of an order that the earlier holder closed.
    pub fn require_position(&mut self, target: &id::Target, position: Position) {
        let account = self.accounts.entry(target.clone()).or_default();
        account.min_position = account.min_position.max(position);
    }

    /// Records that the intents of all journals that may contain some have been inherited.
    pub fn set_journals_read(&mut self) {
        self.journals = JournalCoverage::All;
    }

    /// Records that the journals' intents for all targets that ignore fencing tokens have been inherited.
    pub fn set_ignoring_journals_read(&mut self) {
        self.journals = self.journals.max(JournalCoverage::IgnoringTargets);
    }

    /// Returns whether the journals have been read as far as needed, see [`JournalCoverage`].
    pub fn are_journals_read(&self) -> bool {
        self.journals != JournalCoverage::Unread
    }

    /// Processes a report, which may arrive out of order, and returns the orders that it closes.
    ///
    /// `honours_tokens` is whether this kind of target refuses orders with an old fencing token.
    pub fn observe(&mut self, report: &Report, honours_tokens: bool) -> Vec<ClosedOrder> {
        let account = self.accounts.entry(report.target.clone()).or_default();
        let observed = ReportSnapshot::new(report);
        if account
            .newest
            .as_ref()
            .is_some_and(|newest| newest.position >= observed.position)
        {
            return Vec::new();
        }
        account.honours_tokens = honours_tokens;
        account.newest = Some(observed);
        let mut closed = Vec::new();
        account.close_resolved(&mut closed);
        closed
    }

    /// Reserves the memory that an order needs, or refuses the order.
    ///
    /// An order may be recorded and sent only after its reservation.
    pub fn reserve(&mut self, order: Order, guard: &Guard) -> Result<(), Refusal> {
        self.check(&order, guard)?;
        if let Some(account) = self.accounts.get_mut(&order.target) {
            account
                .entries
                .insert(order.id, Entry::reserved(order.clone()));
        }
        Ok(())
    }

    /// Checks whether an order can be reserved.
    pub fn check(&self, order: &Order, guard: &Guard) -> Result<(), Refusal> {
        if order.token != self.token {
            let token = order.token;
            return Err(Refusal::Token { token });
        }
        let account = self.accounts.get(&order.target);
        let account = account.filter(|a| a.is_current(self.token, self.journals));
        let Some((account, newest)) = account.and_then(|a| Some((a, a.newest.as_ref()?))) else {
            return Err(Refusal::NotCurrent);
        };
        if order.incarnation != newest.position.incarnation {
            let incarnation = newest.position.incarnation;
            return Err(Refusal::Incarnation { incarnation });
        }
        let (Action::Load { artifact, .. } | Action::Unload { artifact }) = &order.action else {
            return Err(Refusal::Fence);
        };
        if let Some(entry) = account.open_order(artifact) {
            return Err(Refusal::order_open(entry));
        }
        match &order.action {
            Action::Load { artifact, bytes } => account.check_load(artifact, *bytes),
            _ => {
                account.check_unload(artifact)?;
                self.check_last_copy(&order.target, artifact, guard)
            }
        }
    }

    fn check_last_copy(
        &self,
        target: &id::Target,
        artifact: &Artifact,
        guard: &Guard,
    ) -> Result<(), Refusal> {
        for alternatives in guard.alternatives_for(artifact) {
            let mut others = guard.targets().iter();
            let is_reachable = others.any(|other| {
                let mut artifacts = alternatives.iter();
                artifacts
                    .any(|a| (other != target || a != artifact) && self.has_stable_copy(other, a))
            });
            if !is_reachable {
                let artifact = artifact.clone();
                return Err(Refusal::LastCopy { artifact });
            }
        }
        Ok(())
    }

    /// Returns whether an open unload may still be sent without removing the last ready copy.
    ///
    /// Copies elsewhere may have been lost since the order was reserved.
    pub fn may_send(&self, entry: &Entry, guard: &Guard) -> bool {
        match &entry.order().action {
            Action::Unload { artifact } => {
                let target = &entry.order().target;
                self.check_last_copy(target, artifact, guard).is_ok()
            }
            _ => true,
        }
    }

    /// Returns whether a target has a ready copy that no open order may remove.
    pub fn has_stable_copy(&self, target: &id::Target, artifact: &Artifact) -> bool {
        self.accounts.get(target).is_some_and(|account| {
            account.is_current(self.token, self.journals)
                && account
                    .newest
                    .as_ref()
                    .is_some_and(|newest| !newest.is_leaving)
                && account.has_stable_copy(artifact)
        })
    }

    /// Cancels the reservation of an order that was never sent, and returns whether there was one.
    pub fn cancel(&mut self, target: &id::Target, order: id::Order) -> bool {
        let Some(account) = self.accounts.get_mut(target) else {
            return false;
        };
        let is_unsent = account.entries.get(&order).is_some_and(|e| !e.is_sent());
        is_unsent && account.entries.remove(&order).is_some()
    }

    /// Starts a send attempt, which counts as possibly executed from now on, and returns it.
    ///
    /// The caller must call this before the first byte is sent. The order is sent with the token of the ledger.
    pub fn begin_attempt(&mut self, target: &id::Target, order: id::Order) -> Option<Attempt> {
        let token = self.token;
        let entry = self.accounts.get_mut(target)?.entries.get_mut(&order)?;
        Some(entry.begin_attempt(token))
    }

    /// Records how a send attempt ended, and returns the order if this closes it.
    pub fn end_attempt(
        &mut self,
        target: &id::Target,
        order: id::Order,
        attempt: Attempt,
        outcome: Outcome,
    ) -> Option<ClosedOrder> {
        let account = self.accounts.get_mut(target)?;
        let newest = account.newest.as_ref()?;
        let entry = account.entries.get_mut(&order)?;
        let is_dropped = entry.end_attempt(attempt, outcome);
        let copy = entry.artifact().and_then(|a| newest.copies.get(a));
        let end = if is_dropped {
            Some(End::Dropped)
        } else {
            entry.end(newest.position.incarnation, copy)
        };
        let closed = closed_order(entry, end?, newest.position);
        account.entries.remove(&order);
        Some(closed)
    }

    /// Returns the memory of a target that is free in the worst case, or zero until its account is rebuilt.
    pub fn free_memory(&self, target: &id::Target) -> Bytes {
        let account = self.accounts.get(target);
        let account = account.filter(|a| a.is_current(self.token, self.journals));
        account.map_or(Bytes::ZERO, |account| {
            let memory = account
                .newest
                .as_ref()
                .map_or(Bytes::ZERO, |newest| newest.memory);
            memory.saturating_sub(account.worst_case_memory())
        })
    }

    /// Returns the memory of a target that is used in the worst case: if all open loads and no open unloads are
    /// executed.
    pub fn worst_case_memory(&self, target: &id::Target) -> Bytes {
        let account = self.accounts.get(target);
        account.map_or(Bytes::ZERO, Account::worst_case_memory)
    }

    /// Returns whether the account of a target is rebuilt, so that orders may be sent to the target.
    pub fn is_current(&self, target: &id::Target) -> bool {
        let account = self.accounts.get(target);
        account.is_some_and(|a| a.is_current(self.token, self.journals))
    }

    /// Returns the targets that honour tokens and have not yet reported the token of this ledger.
    pub fn unfenced_targets(&self) -> impl Iterator<Item = (&id::Target, id::Incarnation)> {
        self.accounts.iter().filter_map(|(target, account)| {
            let newest = account.newest.as_ref()?;
            let is_unfenced = account.honours_tokens && newest.token < self.token;
            is_unfenced.then_some((target, newest.position.incarnation))
        })
    }

    /// Returns the known targets.
    pub fn targets(&self) -> impl Iterator<Item = &id::Target> {
        self.accounts.keys()
    }

    /// Returns the incarnation of a target in its newest report.
    pub fn incarnation(&self, target: &id::Target) -> Option<id::Incarnation> {
        let newest = self.accounts.get(target)?.newest.as_ref()?;
        Some(newest.position.incarnation)
    }

    /// Returns the copies of a target in its newest report.
    pub fn copies(&self, target: &id::Target) -> impl Iterator<Item = &report::Copy> {
        let newest = self.accounts.get(target).and_then(|a| a.newest.as_ref());
        newest.into_iter().flat_map(|newest| newest.copies.values())
    }

    /// Returns the open orders.
    pub fn open_orders(&self) -> impl Iterator<Item = &Entry> {
        self.accounts.values().flat_map(|a| a.entries.values())
    }

    /// Returns an open order.
    pub fn entry(&self, target: &id::Target, order: id::Order) -> Option<&Entry> {
        self.accounts.get(target)?.entries.get(&order)
    }

    /// Returns the open orders of a target.
    pub fn open_orders_on(&self, target: &id::Target) -> impl Iterator<Item = &Entry> {
        let account = self.accounts.get(target);
        account.into_iter().flat_map(|a| a.entries.values())
    }

    /// Returns the open orders to send or resend: those that no report shows in progress or done.
    pub fn orders_to_send(&self) -> impl Iterator<Item = &Entry> {
        self.accounts.values().flat_map(|account| {
            account.entries.values().filter(|entry| {
                let copy = entry.artifact().and_then(|a| account.copy(a));
                !entry.is_effective(copy) && !entry.is_in_progress(copy)
            })
        })
    }

    /// Returns the open orders that took effect and stay open only because of an attempt that a higher token
    /// would end.
    pub fn orders_awaiting_fence(&self) -> impl Iterator<Item = &Entry> {
        let honouring = self
            .accounts
            .values()
            .filter(|account| account.honours_tokens);
        honouring.flat_map(|account| {
            account.entries.values().filter(|entry| {
                let copy = entry.artifact().and_then(|a| account.copy(a));
                entry.is_outstanding_under(self.token) && entry.is_effective(copy)
            })
        })
    }

    /// Returns the number of loads that run or may run: reported loads, and open load orders without a copy.
    pub fn pending_load_count(&self) -> usize {
        let counts = self.accounts.values().map(|account| {
            let copies = account
                .newest
                .iter()
                .flat_map(|newest| newest.copies.values());
            let reported = copies.filter(|copy| copy.phase == Phase::Loading).count();
            let open = account.entries.values().filter(|entry| entry.is_load());
            let unreported =
                open.filter(|e| e.artifact().is_some_and(|a| account.copy(a).is_none()));
            reported + unreported.count()
        });
        counts.sum()
    }
}
