//! Discovery of the instances of the core from seed addresses.
//!
//! A process knows a few seed addresses. Each instance of the core sends every connected peer the other instances that
//! it knows, and how long ago they were heard of. Instances that have not been heard of for a while are removed.

pub mod roster;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::roster::{Member, Roster, Sighting};
}
