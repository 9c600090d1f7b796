//! Whether a failed request was run, so that a caller knows if sending it again could run it twice.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a failed request was run; contained in errors that callers get.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// The request was not run: nothing was dispatched, or the target explicitly refused it.
    No,
    /// The request may have been run.
    Unknown,
}

impl fmt::Display for Execution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::No => "no",
            Self::Unknown => "unknown",
        })
    }
}
