//! Limits that targets state for all instances together.
//!
//! A target in need states in its answers how many requests a second it takes from all instances together, for as long
//! as it states so. Instances that each spent the limit, or an equal share of it, would send several times too much or
//! leave most of it unused.

pub mod statement;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::statement::Statement;
}
