//! What one answer of a target states about its limit.

use buckthornmast_types::{id, rate::Rate};
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
