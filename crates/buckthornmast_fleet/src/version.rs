//! Versions of the software of targets.
//!
//! Versions have no order. They only tell whether two targets write the same: a stream that one began goes on only at
//! another one of the same version.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Maximum length of a version in bytes.
pub const MAX_LEN: usize = 64;

/// Reason why a version is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display(
    "a version has 1 to {MAX_LEN} bytes and no control characters; this one has {len} bytes"
))]
pub struct Error {
    len: usize,
}

/// Version of the software of a target.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version(Arc<str>);

impl Version {
    /// Returns the text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for Version {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let is_valid =
            !text.is_empty() && text.len() <= MAX_LEN && !text.chars().any(char::is_control);
        if is_valid {
            Ok(Self(text.into()))
        } else {
            Err(Error { len: text.len() })
        }
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
