//! What targets state about their limits, and what instances tell each other about it.

use std::time::Duration;

use buckthornmast_types::{id, rate::Rate, time::Point};
use serde::{Deserialize, Serialize};

/// Target in one of its incarnations. An incarnation that is gone takes its limit along.
pub type Key = (id::Target, id::Incarnation);

/// What an answer states about the limit of its target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub enum Statement {
    /// The target takes requests without a limit.
    #[default]
    Unlimited,
    /// The target takes this many requests a second from all instances together.
    Limited(Rate),
    /// The target states something that can't be read, which neither begins nor ends a limit.
    Unreadable,
}

/// Permission of the account to send one request to a target with a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Term of the leader that keeps the account.
    pub term: id::Term,
    /// When it was granted, by the leader's clock.
    pub at: Point,
    /// Time to wait before the request is sent.
    pub wait: Duration,
}

/// Report of an instance to the account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Target.
    pub key: Key,
    /// What it stated.
    pub statement: Statement,
    /// Time since the instance received the answer.
    pub age: Duration,
    /// Grant of the request that was answered, if it had one.
    pub grant: Option<Grant>,
}

/// Change of a limit, from the account to all instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// Target.
    pub key: Key,
    /// Its limit, unless it has ended.
    pub limit: Option<Rate>,
}
