//! INI files of buckthornmast.
//!
//! Two kinds of file are read. The settings of a daemon say who the instance is, where it listens and
//! who its peers are. Declarations say what the platform offers and what each team wants; they are a
//! folder of INI files, one per team and one for the platform. A declaration is flattened into paths
//! (`model/NAME/version`) and values, which is the form the replicated settings hold, and is turned
//! back into typed data by every instance. Checks never stop at the first fault.

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
