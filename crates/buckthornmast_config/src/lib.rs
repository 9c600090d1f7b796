//! INI files of buckthornmast.
//!
//! Two kinds of file are read. The settings of a daemon name the instance, its listening addresses and its
//! peers. Declarations describe what the platform offers and what each team runs; they are a folder of INI
//! files, one per team and one for the platform. A declaration is flattened into paths
//! (`model/NAME/version`) and values, the form in which the replicated settings store it, and every instance
//! converts it back into typed data. Checks report all faults instead of only the first one.

pub mod daemon;
pub mod declaration;
pub mod fault;
pub mod folder;
pub mod schema;
pub mod source;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        daemon::Settings,
        declaration::{Declarations, Platform, Team},
        fault::Fault,
        folder::{Folder, Scope, Values},
    };
}
