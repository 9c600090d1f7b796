//! Journal of a candidate: intents of a holder that cannot reach the quorum.
//!
//! The notebook is volatile. It tells by itself whether it can lack intents: a holder declares the
//! notebook clean once every open intent of the domain is in the log. Every intent that is recorded
//! without the quorum after that needs the acknowledgement of this candidate, so a notebook that was
//! declared clean in its present life is complete.

use std::collections::BTreeMap;

use buckthornmast_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Identity of one run of a candidate, drawn at random when it starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Life(pub u64);

/// Answer to a successor that reads a notebook.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Intents.
    pub intents: Vec<Order>,
    /// Whether no intent can be missing.
    pub is_complete: bool,
}

/// Journal of one candidate.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Notebook {
    life: Life,
    is_complete: bool,
    token: id::Token,
    intents: BTreeMap<id::Order, Order>,
}

impl Notebook {
    /// Returns the empty notebook of a candidate that just started.
    pub fn new(life: Life) -> Self {
        Self {
            life,
            is_complete: false,
            token: id::Token(0),
            intents: BTreeMap::new(),
        }
    }

    /// Returns the identity of this life, which a holder names when it declares the notebook clean.
    pub fn life(&self) -> Life {
        self.life
    }

    /// Records intents of the holder of a token and returns whether they are accepted.
    ///
    /// A holder that has been replaced is refused, since its successor may have read the notebook.
    pub fn record(&mut self, token: id::Token, orders: &[Order]) -> bool {
        if token < self.token {
            return false;
        }
        self.token = token;
        let orders = orders.iter();
        self.intents.extend(orders.map(|o| (o.id, o.clone())));
        true
    }

    /// Forgets intents that are in the log or resolved there.
    pub fn forget(&mut self, orders: &[id::Order]) {
        for order in orders {
            self.intents.remove(order);
        }
    }

    /// Notes that every open intent was in the log after this life began.
    ///
    /// A notice for an earlier life is late and is ignored.
    pub fn declare_clean(&mut self, life: Life) {
        self.is_complete |= life == self.life;
    }

    /// Returns the intents to the successor that was granted a token.
    pub fn read(&mut self, token: id::Token) -> Page {
        self.token = self.token.max(token);
        Page {
            intents: self.intents.values().cloned().collect(),
            is_complete: self.is_complete,
        }
    }
}

/// How far pages cover the intents that were recorded without the quorum.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum Coverage {
    /// Some candidate did not answer, and no page is complete.
    #[default]
    Partial,
    /// Every candidate answered, but each may have restarted and lost intents.
    Answered,
    /// The domain has one candidate, which may have lost intents of targets that honour tokens.
    Ignoring,
    /// No intent can be missing.
    Complete,
}

/// Returns what the pages of all candidates of a domain cover; `None` stands for no answer.
///
/// A single candidate that does not reach the quorum gives orders only to targets that honour tokens, and
/// keeps their intents in its own memory.
pub fn coverage(pages: &[Option<Page>]) -> Coverage {
    let mut answered = pages.iter().flatten();
    if pages.len() <= 1 {
        Coverage::Ignoring
    } else if answered.any(|page| page.is_complete) {
        Coverage::Complete
    } else if pages.iter().all(Option::is_some) {
        Coverage::Answered
    } else {
        Coverage::Partial
    }
}
