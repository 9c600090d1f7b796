//! Virtual-time comparison of placement policies and routing rules.
//!
//! [`world::run`] plays a [`trace::Trace`] of a [`deployment::Deployment`] against fake engines ([`engine`]) and
//! a fake weight store ([`store`]). There is one view and one arbiter. [`controller::Controller`] decides every
//! second from reports that lag, and the result is a [`score::Score`]. All randomness is seeded. Times are seconds of
//! virtual time since the start of the trace.

mod calls;
pub mod controller;
pub mod deployment;
pub mod engine;
pub mod path;
pub mod routing;
pub mod score;
pub mod store;
pub mod trace;
pub mod world;

/// Names that most users of this crate import.
pub mod prelude {
    pub use crate::{
        deployment::Deployment,
        routing::Rule,
        score::Score,
        trace::{Kind, Trace},
        world,
    };
}
