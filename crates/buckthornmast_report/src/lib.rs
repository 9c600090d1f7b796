//! Reports over finished requests: burn rates of objectives, and a comparison of policies.
//!
//! Each instance records its requests in its [`collector::Collector`] and sends an [`extract::Extract`] of it to the
//! instance that serves a report. That instance merges all extracts into a [`fleet::Fleet`] and computes
//! [`burn::Burn`] or [`policies::Policies`]. An instance that did not answer is listed as missing and never counted as
//! zero.
//!
//! Times are milliseconds since the Unix epoch on the wall clock, because the buckets of several instances are
//! compared. The window sums of an extract are relative to the clock of its own instance, so clocks that differ by
//! seconds shift a sum by seconds and lose no samples.

pub mod burn;
pub mod chart;
pub mod collector;
pub mod extract;
pub mod fleet;
pub mod policies;
pub mod render;
pub mod table;
pub mod tier;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        burn::{Burn, Objective},
        collector::{Collector, FinishedRequest, Outcome},
        extract::Extract,
        fleet::{Fleet, Source},
        policies::Policies,
    };
}
