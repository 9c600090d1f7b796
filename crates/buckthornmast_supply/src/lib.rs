//! Which target holds which model and adapter.
//!
//! The load that is answered here: a few models get most of the requests, and which ones they are changes within
//! seconds. Loading a model takes seconds and is rationed, loading an adapter takes milliseconds. So models are
//! placed ahead of demand by [`plan`], and adapters when they are first asked for by [`adapters`].
//!
//! One instance gives orders to all targets, so the ration of the weight store is kept in one place.

pub mod adapters;
pub mod demand;
pub mod handover;
pub mod ledger;
pub mod order;
pub mod plan;
pub mod ration;
pub mod turns;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        demand::{Demand, Row},
        ledger::{Ledger, Shelf},
        order::{Action, Order, Outcome},
        ration::Ration,
    };
}
