//! Rates per second.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Events per second; never negative or infinite.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Rate(f64);

/// Reason why a rate is refused.
#[derive(Debug, Clone, PartialEq, Snafu)]
#[snafu(display("{text:?} is not a rate: a finite number of events per second, 0 or more"))]
pub struct RateError {
    text: String,
}

impl Rate {
    /// Returns a rate, or `None` if the value is negative or not finite.
    pub fn per_second(value: f64) -> Option<Self> {
        (value.is_finite() && value >= 0.0).then_some(Self(value))
    }

    /// Returns the events per second.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Rate {
    type Error = RateError;

    fn try_from(value: f64) -> Result<Self, Self::Error> {
        Self::per_second(value).ok_or_else(|| RateError {
            text: value.to_string(),
        })
    }
}

impl From<Rate> for f64 {
    fn from(rate: Rate) -> Self {
        rate.0
    }
}

impl FromStr for Rate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let value: Option<f64> = text.parse().ok();
        value.and_then(Self::per_second).ok_or_else(|| RateError {
            text: text.to_owned(),
        })
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}
