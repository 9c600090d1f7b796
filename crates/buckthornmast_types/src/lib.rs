//! Types shared by all crates of buckthornmast.
//!
//! The other crates of the workspace exchange the plain data types of this crate: identifiers that are validated when
//! they are parsed, sizes and rates with their units, the artifacts that a target can load, the reports and cache
//! events that a target publishes, the orders that it accepts, and the clock that drives protocol logic. The crate
//! does no I/O.

pub mod artifact;
pub mod byte_vector;
pub mod cache;
pub mod id;
pub mod order;
pub mod outcome;
pub mod prompt;
pub mod rate;
pub mod report;
pub mod scope;
pub mod size;
pub mod slowdown;
pub mod time;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        artifact::Artifact,
        cache, id,
        order::{self, Order},
        outcome::Execution,
        rate::Rate,
        report::{self, Report},
        scope::Scope,
        size::Bytes,
        time::{self, Clock, Point},
    };
}
