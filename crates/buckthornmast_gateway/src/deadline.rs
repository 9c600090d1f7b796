//! Deadlines of callers.

use std::time::Duration;

use buckthornmast_types::time::Point;
use snafu::Snafu;

/// Header in which a caller sets its deadline in milliseconds.
pub const TIMEOUT_HEADER: &str = "request-timeout-ms";

/// Bounds of deadlines and of waits for tokens.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Longest deadline that a caller may set; a longer one is answered with 400. A longer default is shortened to it.
    pub max_deadline: Duration,
    /// Longest wait between two tokens of a target before the stream continues on another one, if one can go on.
    pub max_token_gap: Duration,
}

/// Error of an invalid deadline header.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "{TIMEOUT_HEADER}: {text:?} is not a whole number of milliseconds from 1 to {max}"
))]
pub struct HeaderError {
    text: String,
    max: u128,
}

/// Point at which a caller stops waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deadline(pub Point);

impl Deadline {
    /// Returns the deadline that the header sets, or else the default.
    pub fn read(
        header: Option<&str>,
        now: Point,
        default: Duration,
        max: Duration,
    ) -> Result<Self, HeaderError> {
        let Some(text) = header else {
            return Ok(Self(now + default.min(max)));
        };
        let timeout = text.trim().parse().ok().map(Duration::from_millis);
        match timeout.filter(|timeout| !timeout.is_zero() && *timeout <= max) {
            Some(timeout) => Ok(Self(now + timeout)),
            None => {
                let text = text.chars().take(40).collect();
                Err(HeaderError {
                    text,
                    max: max.as_millis(),
                })
            }
        }
    }

    /// Returns the remaining time, or `None` if the deadline has passed.
    pub fn remaining(self, now: Point) -> Option<Duration> {
        let remaining = self.0.since(now);
        (!remaining.is_zero()).then_some(remaining)
    }
}
