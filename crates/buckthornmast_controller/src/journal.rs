//! Journal of a candidate: intents of a holder that cannot reach the quorum.
//!
//! The journal is volatile, but it knows whether intents can be missing: a holder declares the journal
//! clean once every open intent of the domain is in the log. Every intent that is recorded without the
//! quorum after that needs the acknowledgement of this candidate, so a journal that was declared clean
//! in its current incarnation is complete.

use std::collections::BTreeMap;

use buckthornmast_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Incarnation of a candidate's process, drawn at random when it starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Content of a journal as read by a successor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contents {
    /// Intents.
    pub intents: Vec<Order>,
    /// Whether no intent can be missing.
    pub is_complete: bool,
}

/// Journal of one candidate.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Journal {
    incarnation: Incarnation,
    is_complete: bool,
    token: id::Token,
    intents: BTreeMap<id::Order, Order>,
}

impl Journal {
    /// Returns the empty journal of a candidate that just started.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            is_complete: false,
            token: id::Token(0),
            intents: BTreeMap::new(),
        }
    }

    /// Returns the current incarnation, which a holder names when it declares the journal clean.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Records intents of the holder of a token and returns whether they are accepted.
    ///
    /// A superseded holder is refused, since its successor may have read the journal already.
    pub fn record(&mut self, token: id::Token, orders: &[Order]) -> bool {
        if token < self.token {
            return false;
        }
        self.token = token;
        let orders = orders.iter();
        self.intents.extend(orders.map(|o| (o.id, o.clone())));
        true
    }

    /// Removes intents that are in the log or resolved there.
    pub fn forget(&mut self, orders: &[id::Order]) {
        for order in orders {
            self.intents.remove(order);
        }
    }

    /// Records that every open intent was in the log at some time since this incarnation started.
    ///
    /// A declaration for an earlier incarnation is late and is ignored.
    pub fn declare_clean(&mut self, incarnation: Incarnation) {
        self.is_complete |= incarnation == self.incarnation;
    }

    /// Returns the intents to the successor that was granted a token, and refuses earlier holders from then on.
    pub fn read(&mut self, token: id::Token) -> Contents {
        self.token = self.token.max(token);
        Contents {
            intents: self.intents.values().cloned().collect(),
            is_complete: self.is_complete,
        }
    }
}

/// Extent to which journals cover the intents that were recorded without the quorum.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum Coverage {
    /// At least one candidate did not answer, and no journal is complete.
    #[default]
    Partial,
    /// Every candidate answered, but each may have restarted and lost intents.
    Answered,
    /// The domain has one candidate, which may have lost intents of targets that honour tokens.
    SingleCandidate,
    /// No intent can be missing.
    Complete,
}

/// Returns the coverage by the journals of all candidates of a domain, where `None` stands for no answer.
///
/// A single candidate without the quorum gives orders only to targets that honour tokens, and keeps their
/// intents in its own memory.
pub fn coverage(contents: &[Option<Contents>]) -> Coverage {
    let mut answered = contents.iter().flatten();
    if contents.len() <= 1 {
        Coverage::SingleCandidate
    } else if answered.any(|contents| contents.is_complete) {
        Coverage::Complete
    } else if contents.iter().all(Option::is_some) {
        Coverage::Answered
    } else {
        Coverage::Partial
    }
}
