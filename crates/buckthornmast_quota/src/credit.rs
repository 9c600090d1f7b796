//! Messages about credit between an instance and the leader. Amounts are in the unit of the quota.

use std::time::Duration;

use buckthornmast_types::{id, time::Point};
use serde::{Deserialize, Serialize};

/// Claims credit from the leader, and returns credit to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Number of the claim. Each claim of a connection has a higher one than the claim before.
    pub number: u64,
    /// Credit that the instance wants.
    pub items: Vec<Item>,
    /// Credit that it returns.
    pub returns: Vec<Return>,
    /// What it has spent within the last window. Only in the first claim to a leader.
    pub history: Vec<Use>,
    /// Whether it has started within that time, and may have spent more before. Only in the first claim to a leader.
    pub is_young: bool,
}

/// Credit that an instance wants for an organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Organisation.
    pub organisation: id::Organisation,
    /// Whether the amounts are in tokens, by the quota that the instance knows.
    pub counts_tokens: bool,
    /// Smallest amount that lets a waiting request go. 0 if none waits.
    pub need: u64,
    /// Amount that the instance expects to spend.
    pub want: u64,
    /// Amount that it has spent without an answer of the leader.
    pub spent: u64,
}

/// Credit that an instance doesn't spend.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Return {
    /// Organisation.
    pub organisation: id::Organisation,
    /// When it was lent.
    pub stamp: Stamp,
    /// Amount.
    pub amount: u64,
}

/// What an instance has spent for an organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Use {
    /// Organisation.
    pub organisation: id::Organisation,
    /// Time since the last of it was spent.
    pub age: Duration,
    /// Amount.
    pub amount: u64,
}

/// When credit was lent, on the clock of the leader of a term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Term of the leader.
    pub term: id::Term,
    /// When it lent the credit.
    pub at: Point,
}

/// Answer of the leader to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of the claim.
    pub number: u64,
    /// When the credit was lent.
    pub stamp: Stamp,
    /// Time for which it may be spent, from the moment at which the claim was sent.
    pub lifetime: Duration,
    /// Credit that is lent, for each organisation of the claim.
    pub loans: Vec<Loan>,
}

/// Credit that is lent for an organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Organisation.
    pub organisation: id::Organisation,
    /// Amount.
    pub amount: u64,
    /// Time after which credit is expected for a request that needs some now. Zero if the claim was met.
    pub wait: Duration,
    /// Whether much of the quota is left.
    pub is_ample: bool,
}
