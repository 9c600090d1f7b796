//! Slowdown of a target by other work beside it.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Highest slowdown that is believed, in percent. A target that is slower answers no request in time.
const MAX_PERCENT: u16 = 10_000;

/// Time that work takes at a target at a moment, in percent of its usual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Slowdown(u16);

/// Reason why a slowdown is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not a slowdown: a whole number of percent, 1 to {MAX_PERCENT}"))]
pub struct SlowdownError {
    text: String,
}

impl Slowdown {
    /// Work takes its usual time.
    pub const NONE: Self = Self(100);

    /// Returns a slowdown, or `None` if the number is 0 or unbelievably high.
    pub fn percent(percent: u16) -> Option<Self> {
        (1..=MAX_PERCENT)
            .contains(&percent)
            .then_some(Self(percent))
    }

    /// Returns the ratio to the usual time.
    pub fn ratio(self) -> f64 {
        f64::from(self.0.max(1)) / 100.0
    }
}

impl Default for Slowdown {
    fn default() -> Self {
        Self::NONE
    }
}

impl FromStr for Slowdown {
    type Err = SlowdownError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let percent: Option<u16> = text.parse().ok();
        percent
            .and_then(Self::percent)
            .ok_or_else(|| SlowdownError {
                text: text.to_owned(),
            })
    }
}

impl fmt::Display for Slowdown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}
