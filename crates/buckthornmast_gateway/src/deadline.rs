//! Time that a caller still waits.

use std::time::Duration;

use buckthornmast_types::time::Point;
use snafu::Snafu;

/// Header in which a caller names its deadline in milliseconds.
pub const HEADER: &str = "request-timeout-ms";

/// Bounds of deadlines.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Longest deadline that a caller may name.
    pub max: Duration,
    /// Longest wait between two tokens of a target.
    pub gap: Duration,
}

/// Refused header.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{HEADER}: {text:?} is not a whole number of milliseconds from 1 to {max}"))]
pub struct HeaderError {
    text: String,
    max: u128,
}

/// Point at which a caller stops waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deadline(pub Point);

impl Deadline {
    /// Reads the header, or takes the default.
    pub fn read(
        header: Option<&str>,
        now: Point,
        default: Duration,
        max: Duration,
    ) -> Result<Self, HeaderError> {
        let Some(text) = header else {
            return Ok(Self(now + default.min(max)));
        };
        let span = text.trim().parse().ok().map(Duration::from_millis);
        match span.filter(|span| !span.is_zero() && *span <= max) {
            Some(span) => Ok(Self(now + span)),
            None => {
                let text = text.chars().take(40).collect();
                Err(HeaderError {
                    text,
                    max: max.as_millis(),
                })
            }
        }
    }

    /// Returns the time left, or `None` if it has passed.
    pub fn left(self, now: Point) -> Option<Duration> {
        let left = self.0.since(now);
        (!left.is_zero()).then_some(left)
    }
}
