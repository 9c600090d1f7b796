//! Stand-in targets for tests, trials and the quick start.
//!
//! [`engine`] is a model engine as a pure state machine, [`serve`] exposes it and the plain service of [`plain`]
//! over HTTP, and [`announce`] sends reports to the instances. [`cache`] is the prefix cache of an engine, whose events
//! [`publish`] sends to the instances. The daemon uses none of this.

pub mod announce;
pub mod cache;
pub mod engine;
pub mod flags;
pub mod plain;
pub mod publish;
pub mod serve;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{engine::Engine, plain::Plain, serve::start};
}
