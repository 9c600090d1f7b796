//! The daemon of buckthornmast.
//!
//! [`node::start`] assembles the crates of the workspace into one running instance, in this order: peers
//! and membership, the replica of the log where there is a data folder, settings in force, reports of
//! targets, the controller of the failure domain, and the ports of callers, operators and targets.
//! [`node::Node::stop`] stops them in the opposite order, callers first.

pub mod access;
pub mod admit;
pub mod cache;
pub mod claims;
pub mod confirm;
pub mod control;
pub mod current;
pub mod demand;
pub mod descriptors;
pub mod flags;
pub mod follow;
pub mod freshness;
pub mod leader;
pub mod message;
pub mod node;
pub mod observe;
pub mod operators;
pub mod peers;
pub mod plan;
pub mod policy;
pub mod propose;
pub mod receive;
pub mod relay;
pub mod reports;
pub mod router;
pub mod shadow;
pub mod summary;
pub mod targets;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::node::{self, Node};
}
