//! Open orders and how they end.

pub use buckthornmast_types::report::Mark;
use buckthornmast_types::{
    order::Action,
    prelude::*,
    report::{Copy, Phase},
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// What is known about one send attempt after it ended at the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The target carries the order out or has done so.
    Accepted,
    /// The target has seen a higher token and did not act.
    Fenced,
    /// The target did not act.
    Refused,
    /// No byte of the attempt left the sender.
    NotSent,
    /// No answer; the attempt may still be executed.
    Unknown,
}

impl From<order::Reply> for Outcome {
    fn from(reply: order::Reply) -> Self {
        match reply {
            order::Reply::Accepted => Self::Accepted,
            order::Reply::Fenced => Self::Fenced,
            order::Reply::Refused => Self::Refused,
        }
    }
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// A report shows the effect.
    Done,
    /// The target never executes it.
    Dropped,
    /// The target restarted.
    Lapsed,
}

/// Order that can no longer change anything on its target.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Closed {
    /// Order.
    pub order: Order,
    /// How it ended.
    pub end: End,
    /// Newest report that the account rests on; a successor must not act on an older one.
    pub mark: Mark,
}

/// Send attempt of an order.
///
/// The token tells attempts of two leases of the same controller apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// Number within the order and the lease.
    pub number: u32,
    /// Token that it was sent with.
    pub token: id::Token,
}

/// Open order with the attempts that may still be executed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Entry {
    order: Order,
    outstanding: SmallVec<[Attempt; 2]>,
    accepted: Option<id::Token>,
    sent: bool,
    next: u32,
}

impl Entry {
    pub(crate) fn reserved(order: Order) -> Self {
        Self {
            order,
            outstanding: SmallVec::new(),
            accepted: None,
            sent: false,
            next: 1,
        }
    }

    /// An inherited order may have been sent any number of times by any earlier holder, so it counts as
    /// one outstanding attempt (number 0) under the highest token below the own one.
    pub(crate) fn inherited(order: Order, own: id::Token) -> Self {
        let mut entry = Self::reserved(order);
        let token = id::Token(own.0.saturating_sub(1));
        entry.outstanding.push(Attempt { number: 0, token });
        entry.sent = true;
        entry
    }

    /// Returns the order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Returns the artifact that the order is about.
    pub fn artifact(&self) -> Option<&Artifact> {
        match &self.order.action {
            Action::Load { artifact, .. } | Action::Unload { artifact } => Some(artifact),
            Action::Fence => None,
        }
    }

    /// Returns whether the order is a load.
    pub fn is_load(&self) -> bool {
        matches!(self.order.action, Action::Load { .. })
    }

    /// Returns whether the order is an unload.
    pub fn is_unload(&self) -> bool {
        matches!(self.order.action, Action::Unload { .. })
    }

    /// Returns whether an attempt may have left the sender.
    pub fn is_sent(&self) -> bool {
        self.sent
    }

    /// Returns whether an attempt may still be executed.
    pub fn is_outstanding(&self) -> bool {
        !self.outstanding.is_empty()
    }

    pub(crate) fn is_outstanding_under(&self, token: id::Token) -> bool {
        self.outstanding.iter().any(|a| a.token == token)
    }

    /// Returns whether a report shows the effect.
    pub(crate) fn is_effective(&self, copy: Option<&Copy>) -> bool {
        match self.order.action {
            Action::Load { .. } => copy.is_some_and(|copy| copy.phase == Phase::Ready),
            Action::Unload { .. } => copy.is_none(),
            Action::Fence => true,
        }
    }

    /// Returns whether a report shows that the target is at work on the order.
    pub(crate) fn is_in_progress(&self, copy: Option<&Copy>) -> bool {
        match self.order.action {
            Action::Load { .. } => copy.is_some(),
            Action::Unload { .. } => copy.is_some_and(|copy| copy.phase == Phase::Unloading),
            Action::Fence => false,
        }
    }

    pub(crate) fn send(&mut self, token: id::Token) -> Attempt {
        let number = self.next;
        self.next += 1;
        self.sent = true;
        let attempt = Attempt { number, token };
        self.outstanding.push(attempt);
        attempt
    }

    /// Applies the end of an attempt and returns whether the whole order is known not to be executed.
    pub(crate) fn answer(&mut self, attempt: Attempt, outcome: Outcome) -> bool {
        let found = self.outstanding.iter().position(|a| *a == attempt);
        let Some(found) = found else {
            return false;
        };
        if outcome == Outcome::Unknown {
            return false;
        }
        self.outstanding.remove(found);
        let is_quiet = self.outstanding.is_empty() && self.accepted.is_none();
        match outcome {
            Outcome::Accepted => {
                self.accepted = self.accepted.max(Some(attempt.token));
                false
            }
            Outcome::Fenced | Outcome::Refused => is_quiet,
            Outcome::NotSent => {
                self.sent = !is_quiet;
                false
            }
            Outcome::Unknown => false,
        }
    }

    /// Ends attempts under tokens below the one that a target reports to honour.
    ///
    /// Such an attempt was executed before the report was made or never will be, so the report shows
    /// its effect in full.
    pub(crate) fn fence(&mut self, token: id::Token) {
        self.outstanding.retain(|attempt| attempt.token >= token);
        self.accepted = self.accepted.filter(|accepted| *accepted >= token);
    }

    /// Returns how the order ended according to the newest report, if it did.
    pub(crate) fn end(&self, incarnation: id::Incarnation, copy: Option<&Copy>) -> Option<End> {
        if self.order.incarnation < incarnation {
            return Some(End::Lapsed);
        }
        if !self.sent || self.is_outstanding() {
            return None;
        }
        if self.is_effective(copy) {
            return Some(End::Done);
        }
        // The report may be too old to show an accepted order.
        let is_open = self.accepted.is_some() || self.is_in_progress(copy);
        (!is_open).then_some(End::Dropped)
    }
}
