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
        /// Explains where an entry instance would send a request now, and why, without sending it.
        cmd explain {
            /// Address of the instance's metrics, address:port.
            required --instance address: String
            required --service name: String
            /// Name of the route; the first one to the service without it.
            optional --route name: String
            optional --model name: String
            optional --adapter name: String
            /// Id of the shared part of the prompt, in hexadecimal.
            optional --prefix id: String
            /// Length of the prompt in tokens.
            optional --tokens number: u32
            /// Objective in milliseconds in place of that of the route.
            optional --objective-ms number: u64
            optional --organisation name: String
            /// Priority in place of that of the organisation or route; 0 is the most urgent.
            optional --priority number: u32
            /// Id of the request, which breaks ties between targets.
            optional --request id: String
        }
        /// Prints a report: burn or policies.
        cmd report {
            required name: String
            /// Writes the chart of the report to this file and prints nothing else.
            optional --svg file: PathBuf
        }
    }
}
