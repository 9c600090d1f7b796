//! Limits that targets state for all instances together.
//!
//! A target in need states in its answers how many requests a second it takes from all instances together, for as long
//! as it states so. Instances that each spent the limit, or an equal share of it, would send several times too much or
//! leave most of it unused. So the leader keeps one [`account::Account`], and an instance that knows of the limit sends
//! such a target only what the account has granted. Without the account, all instances together spend a small part of
//! the limit, each in its own slots ([`view::View`]).

pub mod account;
pub mod statement;
pub mod view;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        account::{Account, Answer, Request},
        statement::{Grant, Key, Notice, Report, Statement},
        view::View,
    };
}
