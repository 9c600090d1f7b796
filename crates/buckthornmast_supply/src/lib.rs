//! Placement of models and adapters on targets.
//!
//! Designed for workloads in which a few models get most of the requests, and the set of these models changes within
//! seconds. Loading a model takes seconds and is subject to a load quota; loading an adapter takes milliseconds. Models
//! are therefore placed ahead of demand by [`plan`], and adapters on their first request by [`adapters`].
//!
//! A single instance sends the orders to all targets, so the load quota of the weight store is kept in one place.

pub mod adapters;
pub mod demand;
pub mod exchange;
pub mod handover;
pub mod kept;
pub mod ledger;
pub mod occupancy;
pub mod order;
pub mod permits;
pub mod plan;
pub mod quota;
pub mod stray;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        demand::{Demand, Row},
        ledger::{Inventory, Ledger},
        order::{Action, Order, Outcome},
        quota::Quota,
    };
}
