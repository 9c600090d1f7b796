//! Open orders, their send attempts and how they end.

pub use buckthornmast_types::report::Position;
use buckthornmast_types::{
    order::Action,
    prelude::*,
    report::{Copy, Phase},
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Outcome of a send attempt as known to the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The target executes the order or has done so.
    Accepted,
    /// The target knows a higher token and did not act.
    Fenced,
    /// The target did not act.
    Refused,
    /// No byte of the attempt was sent.
    NotSent,
    /// The target did not answer; the attempt may still be executed.
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
    /// The target will never execute it.
    Dropped,
    /// The target restarted.
    #[serde(rename = "lapsed")]
    TargetRestarted,
}

/// Order that can no longer change anything on its target.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClosedOrder {
    /// Order.
    pub order: Order,
    /// How it ended.
    pub end: End,
    /// Newest report on which the account is based; a successor must not act on an older one.
    pub position: Position,
}

/// Send attempt of an order.
///
/// The token distinguishes attempts under two leases of the same controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// Number within the order and lease.
    pub number: u32,
    /// Token with which it was sent.
    pub token: id::Token,
}

/// Open order with the attempts that may still be executed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Entry {
    order: Order,
    outstanding: SmallVec<[Attempt; 2]>,
    accepted_token: Option<id::Token>,
    is_sent: bool,
    next_number: u32,
}

impl Entry {
    pub(crate) fn reserved(order: Order) -> Self {
        Self {
            order,
            outstanding: SmallVec::new(),
            accepted_token: None,
            is_sent: false,
            next_number: 1,
        }
    }

    /// Returns the entry of an inherited order. Any earlier holder may have sent it any number of times, so it
    /// has one outstanding attempt (number 0) under the highest token below the controller's own.
    pub(crate) fn inherited(order: Order, own_token: id::Token) -> Self {
        let mut entry = Self::reserved(order);
        let token = id::Token(own_token.0.saturating_sub(1));
        entry.outstanding.push(Attempt { number: 0, token });
        entry.is_sent = true;
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

    /// Returns whether an attempt may have been sent.
    pub fn is_sent(&self) -> bool {
        self.is_sent
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

    /// Returns whether a report shows that the target is executing the order.
    pub(crate) fn is_in_progress(&self, copy: Option<&Copy>) -> bool {
        match self.order.action {
            Action::Load { .. } => copy.is_some(),
            Action::Unload { .. } => copy.is_some_and(|copy| copy.phase == Phase::Unloading),
            Action::Fence => false,
        }
    }

    pub(crate) fn begin_attempt(&mut self, token: id::Token) -> Attempt {
        let number = self.next_number;
        self.next_number += 1;
        self.is_sent = true;
        let attempt = Attempt { number, token };
        self.outstanding.push(attempt);
        attempt
    }

    /// Records the outcome of an attempt and returns whether the order will certainly not be executed.
    pub(crate) fn end_attempt(&mut self, attempt: Attempt, outcome: Outcome) -> bool {
        let index = self.outstanding.iter().position(|a| *a == attempt);
        let Some(index) = index else {
            return false;
        };
        if outcome == Outcome::Unknown {
            return false;
        }
        self.outstanding.remove(index);
        let is_unexecuted = self.outstanding.is_empty() && self.accepted_token.is_none();
        match outcome {
            Outcome::Accepted => {
                self.accepted_token = self.accepted_token.max(Some(attempt.token));
                false
            }
            Outcome::Fenced | Outcome::Refused => is_unexecuted,
            Outcome::NotSent => {
                self.is_sent = !is_unexecuted;
                false
            }
            Outcome::Unknown => false,
        }
    }

    /// Ends the attempts under tokens below the one that the target reports.
    ///
    /// Such an attempt was executed before the report or will never be, so the report shows its effect in
    /// full.
    pub(crate) fn fence(&mut self, token: id::Token) {
        self.outstanding.retain(|attempt| attempt.token >= token);
        self.accepted_token = self.accepted_token.filter(|accepted| *accepted >= token);
    }

    /// Returns how the order ended, or `None` if it is still open according to the newest report.
    pub(crate) fn end(&self, incarnation: id::Incarnation, copy: Option<&Copy>) -> Option<End> {
        if self.order.incarnation < incarnation {
            return Some(End::TargetRestarted);
        }
        if !self.is_sent || self.is_outstanding() {
            return None;
        }
        if self.is_effective(copy) {
            return Some(End::Done);
        }
        // The report may be too old to show an accepted order.
        let is_open = self.accepted_token.is_some() || self.is_in_progress(copy);
        (!is_open).then_some(End::Dropped)
    }
}
