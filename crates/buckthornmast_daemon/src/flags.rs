//! Command line of the daemon.

#![allow(
    missing_docs,
    reason = "the macro adds items of its own, and each flag is described in place"
)]

use std::path::PathBuf;

xflags::xflags! {
    /// Daemon of buckthornmast, one on each instance.
    cmd daemon {
        /// Settings of this instance, an INI file.
        required --config file: PathBuf
        /// Checks the settings, prints every fault and exits.
        optional --check
    }
}
