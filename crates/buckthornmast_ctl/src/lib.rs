//! Command-line tool of buckthornmast.
//!
//! Every command is a function that returns a [`outcome::Outcome`], whose exit code scripts can rely on.
//! The tool talks HTTP with JSON to the operators' port of any instance and tries the next one when an
//! instance does not answer. A write keeps its id over all tries, so it takes effect once at the most.

pub mod apply;
pub mod client;
pub mod flags;
pub mod outcome;
pub mod show;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{client::Client, outcome::Outcome};
}
