//! Scopes of settings.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::id;

/// Owner of a subtree of settings. The text form is `platform` or `team/NAME`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// Settings of the platform.
    Platform,
    /// Settings of one team.
    Team(id::Team),
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform => f.write_str("platform"),
            Self::Team(team) => write!(f, "team/{team}"),
        }
    }
}

impl FromStr for Scope {
    type Err = id::LabelError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.strip_prefix("team/") {
            Some(team) => team.parse().map(Self::Team),
            None if text == "platform" => Ok(Self::Platform),
            // A bare name denotes the scope of a team.
            None => text.parse().map(Self::Team),
        }
    }
}
