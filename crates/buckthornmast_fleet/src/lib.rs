//! Announcements of targets and the registry that merges them.
//!
//! [`announcement::Announcement`] is the published state of a target. [`registry::Registry`] merges announcements from
//! any source in any order. The crate does no I/O.

pub mod announcement;
pub mod registry;
pub mod version;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        announcement::{Announcement, Resident, State},
        registry::{Entry, Merge, Registry, Update},
        version::Version,
    };
}
