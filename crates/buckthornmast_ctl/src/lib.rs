//! Command-line tool of buckthornmast.
//!
//! Every command is a function that returns an [`outcome::Outcome`] with a stable exit code for scripts. The
//! tool sends JSON over HTTP to the operators' port of any instance and tries the next one if an instance does
//! not answer. A write keeps its id across all attempts, so it takes effect at most once.

pub mod apply;
pub mod client;
pub mod explain;
pub mod flags;
pub mod outcome;
pub mod show;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{client::Client, outcome::Outcome};
}
