//! Controller of one failure domain.
//!
//! The [`core::Core`] is pure: reports, recorded intents and answers go in; intents to record, orders to
//! send and closed orders to resolve come out. The [`driver`] runs it behind the traits of [`port`].
//!
//! - An order leaves only after its intent is recorded and only while the lease is valid with a margin.
//! - An unresolved order is sent again under the same id until the ledger closes it.
//! - Loads respect the weight store: a rate, and a number at once that includes loads of earlier holders.
//! - Models without a reachable copy come first; moves in excess wait for a later round.

pub mod core;
pub mod counter;
pub mod driver;
pub mod notebook;
pub mod plan;
pub mod port;
pub mod settled;
pub mod store;

mod admit;
mod keep;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        core::{Config, Core, Dispatch},
        counter::Counters,
        driver::{self, Handle},
        notebook::{Coverage, Notebook},
        plan::{Move, Need, Plan, Planned, View},
        port::{Grant, Journal, Log, Notes, Orders, Peers},
    };
}
