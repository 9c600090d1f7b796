//! Instances of the core without a list of them.
//!
//! A process knows a few seed addresses. Each instance of the core tells whoever connects which others it
//! knows and how long ago they were heard of. An instance that nobody has heard of for a while is forgotten.

pub mod roster;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::roster::{Card, Roster, Told};
}
