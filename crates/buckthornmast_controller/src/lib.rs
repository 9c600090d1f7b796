//! Controller of one failure domain. Each candidate of the domain runs one, and only the holder of the lease sends
//! orders.
//!
//! The [`core::Core`] is pure: reports, recorded intents and answers go in; intents to record, orders to
//! send and closed orders to resolve come out. The [`driver`] runs it behind the traits of [`port`].
//!
//! - An order is sent only after its intent is recorded and only while the lease is valid with a margin.
//! - An unresolved order is resent under the same id until the ledger closes it.
//! - Loads stay within the load quota of the weight store: a rate, and a maximum of concurrent loads that
//!   includes those of earlier holders.
//! - Models without a reachable copy are loaded first; excess moves wait for a later round.

pub mod core;
pub mod counter;
pub mod driver;
pub mod journal;
pub mod plan;
pub mod port;
pub mod readiness;
pub mod store;

mod admit;
mod maintenance;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        core::{Config, Core, Dispatch},
        counter::Counters,
        driver::{self, Handle},
        journal::{Coverage, Journal},
        plan::{Move, Need, Plan, PlanSource, View},
        port::{Grant, Intents, Journals, LeaseTransport, Log, OrderTransport},
    };
}
