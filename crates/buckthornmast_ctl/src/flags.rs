//! Command line of the tool.

#![allow(
    missing_docs,
    reason = "the macro adds items of its own, and each flag is described in place"
)]

use std::path::PathBuf;

xflags::xflags! {
    /// Command-line tool of buckthornmast.
    cmd ctl {
        /// Operators' port of an instance, address:port; several are tried in turn. The environment
        /// variable BUCKTHORNMAST_SERVERS holds a list with commas.
        repeated --server address: String
        /// Bearer token; better in the environment variable BUCKTHORNMAST_TOKEN.
        optional --token token: String
        /// Prints JSON.
        optional --json
        /// Only this scope: platform or team/NAME.
        optional --scope scope: String

        /// Checks a folder of declarations and prints every fault.
        cmd check {
            required dir: PathBuf
        }
        /// Shows what apply would change.
        cmd diff {
            required dir: PathBuf
        }
        /// Writes the declarations of a folder to the settings.
        cmd apply {
            required dir: PathBuf
        }
        /// Prints settings below a path, for example team/press/model.
        cmd get {
            optional path: String
        }
        /// Prints the accepted writes of a scope.
        cmd history {
            required team: String
        }
        /// Prints the state of instances and targets.
        cmd status {}
        /// Prints a report: burn or policies.
        cmd report {
            required name: String
            /// Writes the chart of the report to this file and prints nothing else.
            optional --svg file: PathBuf
        }
    }
}
