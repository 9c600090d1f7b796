//! Virtual-time comparison of placement policies and routing rules.
//!
//! One view, one arbiter and one trace: [`world::run`] plays a [`trace::Trace`] of a
//! [`deployment::Deployment`] against fake engines ([`engine`]) and a fake weight store ([`store`]),
//! lets [`controller::Controller`] decide every second on reports that lag, and returns the
//! [`score::Score`]. Seeds fix everything that is random.

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

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        deployment::Deployment,
        routing::Rule,
        score::Score,
        trace::{Kind, Trace},
        world,
    };
}
