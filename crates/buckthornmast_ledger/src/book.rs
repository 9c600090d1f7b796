//! Ledger of one controller over all targets of its failure domain.

use std::collections::BTreeMap;

use buckthornmast_types::{order::Action, prelude::*, report::Phase};
use snafu::Snafu;

use crate::{
    account::{Account, Seen, close},
    entry::{Attempt, Closed, End, Entry, Mark, Outcome},
    guard::Guard,
};

/// Reason why an order is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// The account of the target is not rebuilt yet.
    #[snafu(display("the account of the target is not rebuilt yet"))]
    NotCurrent,
    /// The order names another token than the book's.
    #[snafu(display("token {token} is not the token of this book"))]
    Token {
        /// Token of the order.
        token: id::Token,
    },
    /// The order is meant for another start of the target.
    #[snafu(display("the target runs as incarnation {incarnation}"))]
    Incarnation {
        /// Incarnation of the target.
        incarnation: id::Incarnation,
    },
    /// The target wants no new work.
    #[snafu(display("the target is leaving"))]
    Leaving,
    /// An order on the same target and artifact is open.
    #[snafu(display("order {order} on the same artifact is open"))]
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
    #[snafu(display("the artifact is not on the target"))]
    Absent,
    /// Not enough memory at the worst case.
    #[snafu(display("{bytes} do not fit into {free} at the worst case"))]
    Memory {
        /// Memory asked for.
        bytes: Bytes,
        /// Memory free at the worst case.
        free: Bytes,
    },
    /// No other ready copy would remain of an artifact that must stay reachable.
    #[snafu(display("no other ready copy would remain of {artifact}"))]
    LastCopy {
        /// Artifact.
        artifact: Artifact,
    },
    /// An adapter on the target needs the artifact.
    #[snafu(display("{adapter} on the target needs the artifact"))]
    Based {
        /// Adapter that needs it.
        adapter: Artifact,
    },
    /// The order has nothing to account for.
    #[snafu(display("a fence is sent without a reservation"))]
    Fence,
}

impl Refusal {
    pub(crate) fn open(entry: &Entry) -> Self {
        Self::Open {
            order: entry.order().id,
            is_load: entry.is_load(),
        }
    }
}

/// Targets of which the journals' intents have been inherited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Journals {
    /// None.
    Unread,
    /// Targets that ignore tokens. What may be missing of the others shows once they are fenced.
    Ignoring,
    /// All.
    All,
}

/// Ledger of one controller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Book {
    token: id::Token,
    journals: Journals,
    accounts: BTreeMap<id::Target, Account>,
}

impl Book {
    /// Returns the empty book of a holder that was granted this token.
    pub fn new(token: id::Token) -> Self {
        Self {
            token,
            journals: Journals::Unread,
            accounts: BTreeMap::new(),
        }
    }

    /// Returns the token of the holder.
    pub fn token(&self) -> id::Token {
        self.token
    }

    /// Goes on under a higher token of the same holder.
    ///
    /// Attempts under the token so far end on each target that honours tokens once it reports the
    /// new one.
    pub fn raise(&mut self, token: id::Token) {
        self.token = self.token.max(token);
    }

    /// Takes over an open intent of an earlier holder.
    ///
    /// Every intent in the log and in the journals has to be inherited before orders are reserved.
    pub fn inherit(&mut self, order: Order) {
        let account = self.accounts.entry(order.target.clone()).or_default();
        // The earlier holder saw this incarnation, so older reports are out of date.
        let mark = Mark {
            incarnation: order.incarnation,
            sequence: 0,
        };
        account.at_least = account.at_least.max(mark);
        let entry = Entry::inherited(order.clone(), self.token);
        account.entries.entry(order.id).or_insert(entry);
    }

    /// Sets the newest report of a target that an earlier holder acted on.
    ///
    /// An older report may miss the effect of an order that the earlier holder closed.
    pub fn require(&mut self, target: &id::Target, mark: Mark) {
        let account = self.accounts.entry(target.clone()).or_default();
        account.at_least = account.at_least.max(mark);
    }

    /// Notes that the intents of all journals that may hold some have been inherited.
    pub fn set_journals_read(&mut self) {
        self.journals = Journals::All;
    }

    /// Notes the same for the targets that ignore tokens.
    pub fn set_ignoring_read(&mut self) {
        self.journals = self.journals.max(Journals::Ignoring);
    }

    /// Returns whether no journal has to be read any more.
    pub fn are_journals_read(&self) -> bool {
        self.journals != Journals::Unread
    }

    /// Takes a report in, in any order, and returns the orders that it closes.
    ///
    /// `honours` says whether this kind of target refuses orders with an old fencing token.
    pub fn observe(&mut self, report: &Report, honours: bool) -> Vec<Closed> {
        let account = self.accounts.entry(report.target.clone()).or_default();
        let seen = Seen::new(report);
        if account.seen.as_ref().is_some_and(|s| s.mark >= seen.mark) {
            return Vec::new();
        }
        account.honours = honours;
        account.seen = Some(seen);
        let mut closed = Vec::new();
        account.settle(&mut closed);
        closed
    }

    /// Reserves what an order needs, or refuses it.
    ///
    /// The order may be recorded and sent only after this.
    pub fn reserve(&mut self, order: Order, guard: &Guard) -> Result<(), Refusal> {
        self.check(&order, guard)?;
        if let Some(account) = self.accounts.get_mut(&order.target) {
            account
                .entries
                .insert(order.id, Entry::reserved(order.clone()));
        }
        Ok(())
    }

    /// Returns whether an order could be reserved.
    pub fn check(&self, order: &Order, guard: &Guard) -> Result<(), Refusal> {
        if order.token != self.token {
            let token = order.token;
            return Err(Refusal::Token { token });
        }
        let account = self.accounts.get(&order.target);
        let account = account.filter(|a| a.is_current(self.token, self.journals));
        let Some((account, seen)) = account.and_then(|a| Some((a, a.seen.as_ref()?))) else {
            return Err(Refusal::NotCurrent);
        };
        if order.incarnation != seen.mark.incarnation {
            let incarnation = seen.mark.incarnation;
            return Err(Refusal::Incarnation { incarnation });
        }
        let (Action::Load { artifact, .. } | Action::Unload { artifact }) = &order.action else {
            return Err(Refusal::Fence);
        };
        if let Some(entry) = account.open_order(artifact) {
            return Err(Refusal::open(entry));
        }
        match &order.action {
            Action::Load { artifact, bytes } => account.check_load(artifact, *bytes),
            _ => {
                account.check_unload(artifact)?;
                self.check_last(&order.target, artifact, guard)
            }
        }
    }

    fn check_last(
        &self,
        target: &id::Target,
        artifact: &Artifact,
        guard: &Guard,
    ) -> Result<(), Refusal> {
        for need in guard.needs_of(artifact) {
            let mut others = guard.targets().iter();
            let is_kept = others.any(|other| {
                let mut kept = need.iter();
                kept.any(|a| (other != target || a != artifact) && self.keeps(other, a))
            });
            if !is_kept {
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
                self.check_last(target, artifact, guard).is_ok()
            }
            _ => true,
        }
    }

    /// Returns whether a target has a ready copy that no open order may remove.
    pub fn keeps(&self, target: &id::Target, artifact: &Artifact) -> bool {
        self.accounts.get(target).is_some_and(|account| {
            account.is_current(self.token, self.journals)
                && account.seen.as_ref().is_some_and(|seen| !seen.leaving)
                && account.keeps(artifact)
        })
    }

    /// Gives up a reservation whose order was never sent and returns whether there was one.
    pub fn cancel(&mut self, target: &id::Target, order: id::Order) -> bool {
        let Some(account) = self.accounts.get_mut(target) else {
            return false;
        };
        let is_unsent = account.entries.get(&order).is_some_and(|e| !e.is_sent());
        is_unsent && account.entries.remove(&order).is_some()
    }

    /// Counts a send attempt as one that may be executed and returns it.
    ///
    /// This comes before the first byte leaves. The order is sent with the token of the book.
    pub fn sent(&mut self, target: &id::Target, order: id::Order) -> Option<Attempt> {
        let token = self.token;
        let entry = self.accounts.get_mut(target)?.entries.get_mut(&order)?;
        Some(entry.send(token))
    }

    /// Takes in how a send attempt ended and returns the order if that closes it.
    pub fn answered(
        &mut self,
        target: &id::Target,
        order: id::Order,
        attempt: Attempt,
        outcome: Outcome,
    ) -> Option<Closed> {
        let account = self.accounts.get_mut(target)?;
        let seen = account.seen.as_ref()?;
        let entry = account.entries.get_mut(&order)?;
        let is_dropped = entry.answer(attempt, outcome);
        let copy = entry.artifact().and_then(|a| seen.copies.get(a));
        let end = if is_dropped {
            Some(End::Dropped)
        } else {
            entry.end(seen.mark.incarnation, copy)
        };
        let closed = close(entry, end?, seen.mark);
        account.entries.remove(&order);
        Some(closed)
    }

    /// Returns the memory of a target that is free at the worst case; zero until its account is rebuilt.
    pub fn free(&self, target: &id::Target) -> Bytes {
        let account = self.accounts.get(target);
        let account = account.filter(|a| a.is_current(self.token, self.journals));
        account.map_or(Bytes::ZERO, |account| {
            let memory = account.seen.as_ref().map_or(Bytes::ZERO, |s| s.memory);
            memory.saturating_sub(account.worst())
        })
    }

    /// Returns the memory of a target that is taken at the worst case.
    pub fn worst(&self, target: &id::Target) -> Bytes {
        let account = self.accounts.get(target);
        account.map_or(Bytes::ZERO, Account::worst)
    }

    /// Returns whether the account of a target is rebuilt, so that it may be given orders.
    pub fn is_current(&self, target: &id::Target) -> bool {
        let account = self.accounts.get(target);
        account.is_some_and(|a| a.is_current(self.token, self.journals))
    }

    /// Returns the targets that honour tokens and have not reported this book's token yet.
    pub fn unfenced(&self) -> impl Iterator<Item = (&id::Target, id::Incarnation)> {
        self.accounts.iter().filter_map(|(target, account)| {
            let seen = account.seen.as_ref()?;
            let is_unfenced = account.honours && seen.token < self.token;
            is_unfenced.then_some((target, seen.mark.incarnation))
        })
    }

    /// Returns the known targets.
    pub fn targets(&self) -> impl Iterator<Item = &id::Target> {
        self.accounts.keys()
    }

    /// Returns the incarnation of a target in its newest report.
    pub fn incarnation(&self, target: &id::Target) -> Option<id::Incarnation> {
        let seen = self.accounts.get(target)?.seen.as_ref()?;
        Some(seen.mark.incarnation)
    }

    /// Returns the copies of a target in its newest report.
    pub fn copies(&self, target: &id::Target) -> impl Iterator<Item = &report::Copy> {
        let seen = self.accounts.get(target).and_then(|a| a.seen.as_ref());
        seen.into_iter().flat_map(|seen| seen.copies.values())
    }

    /// Returns the open orders.
    pub fn open(&self) -> impl Iterator<Item = &Entry> {
        self.accounts.values().flat_map(|a| a.entries.values())
    }

    /// Returns an open order.
    pub fn entry(&self, target: &id::Target, order: id::Order) -> Option<&Entry> {
        self.accounts.get(target)?.entries.get(&order)
    }

    /// Returns the open orders of a target.
    pub fn open_on(&self, target: &id::Target) -> impl Iterator<Item = &Entry> {
        let account = self.accounts.get(target);
        account.into_iter().flat_map(|a| a.entries.values())
    }

    /// Returns the open orders that no report shows at work or done, which are to be sent again.
    pub fn due(&self) -> impl Iterator<Item = &Entry> {
        self.accounts.values().flat_map(|account| {
            account.entries.values().filter(|entry| {
                let copy = entry.artifact().and_then(|a| account.copy(a));
                !entry.is_effective(copy) && !entry.is_in_progress(copy)
            })
        })
    }

    /// Returns the open orders that took effect and stay open for an attempt that a higher token ends.
    pub fn stuck(&self) -> impl Iterator<Item = &Entry> {
        let honouring = self.accounts.values().filter(|account| account.honours);
        honouring.flat_map(|account| {
            account.entries.values().filter(|entry| {
                let copy = entry.artifact().and_then(|a| account.copy(a));
                entry.is_outstanding_under(self.token) && entry.is_effective(copy)
            })
        })
    }

    /// Returns the number of loads that run or may run: reported ones and open orders without a copy.
    pub fn loads(&self) -> usize {
        let counts = self.accounts.values().map(|account| {
            let seen = account.seen.iter().flat_map(|seen| seen.copies.values());
            let reported = seen.filter(|copy| copy.phase == Phase::Loading).count();
            let open = account.entries.values().filter(|entry| entry.is_load());
            let unseen = open.filter(|e| e.artifact().is_some_and(|a| account.copy(a).is_none()));
            reported + unseen.count()
        });
        counts.sum()
    }
}
