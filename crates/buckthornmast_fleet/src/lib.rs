//! Targets as they describe themselves.
//!
//! [`announcement::Announcement`] is what a target says, [`registry::Registry`] merges announcements from any
//! source in any order. Nothing here does any I/O.

pub mod announcement;
pub mod registry;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        announcement::{Announcement, Held, State},
        registry::{Entry, Merge, Registry, Update},
    };
}
