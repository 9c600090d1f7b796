//! Quotas of organisations, over all instances together.
//!
//! The leader keeps one [`account::Account`] of what it has lent lately for each organisation that has a quota, and lends
//! credit to the instances that serve callers. An instance holds that credit in its [`purse::Purse`] and charges each
//! request to it before it looks for a target. Credit is lent for a short time, so that the credit that was lent before a
//! window and is spent within it stays below the overage that the quota allows. What an instance doesn't spend, or gets
//! back from a request that was refused, it returns, and the account then counts it as never lent.
//!
//! An instance without the leader spends a small reserve. It tells each new leader what it has spent lately.

pub mod account;
pub mod credit;
pub mod purse;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        account::{Account, Census, Terms},
        credit::{Claim, Grant, Item, Loan, Return, Use},
        purse::{Charge, Lack, Lender, Purse, Session},
    };
}
