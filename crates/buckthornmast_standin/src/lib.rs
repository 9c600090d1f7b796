//! Stand-in targets.
//!
//! [`engine`] is the state of a model engine as a pure state machine, [`serve`] puts it and the plain
//! service of [`plain`] behind HTTP, and [`announce`] reports to the instances. [`cache`] is the prefix
//! cache of an engine, whose events [`publish`] sends to the instances. Nothing here is used by the
//! daemon.

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
