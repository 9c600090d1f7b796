//! Reports over finished requests: burn rates of objectives, and policies against each other.
//!
//! Each instance feeds its [`collector::Collector`]. An [`extract::Extract`] of it travels to the instance
//! that was asked for a report, which merges all of them into a [`fleet::Fleet`] and computes
//! [`burn::Burn`] or [`policies::Policies`]. What an instance that did not answer would have added is
//! listed as missing and never counted as zero.
//!
//! Times are milliseconds since the epoch on the wall clock, since buckets of several instances are
//! laid side by side. The window sums of an extract are relative to the clock of its own instance, so
//! clocks that differ by seconds shift a sum by seconds and lose nothing.

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
        collector::{Collector, End, Event},
        extract::Extract,
        fleet::{Fleet, Source},
        policies::Policies,
    };
}
