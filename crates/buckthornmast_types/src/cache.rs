//! Events of the prefix caches of model engines.
//!
//! An engine numbers its events from 1 within each incarnation, so that a receiver can detect missing ones. Events may
//! arrive late, twice, out of order or not at all.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::id;

/// Hash of the start of a prompt and of the artifact that the prompt is for.
///
/// It is sent as text of 16 hexadecimal digits, since many JSON parsers round large numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Prefix(pub u64);

impl fmt::Display for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Reason why a prefix is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("a prefix has 1 to 16 hexadecimal digits"))]
pub struct PrefixError;

impl FromStr for Prefix {
    type Err = PrefixError;

    fn from_str(text: &str) -> Result<Self, PrefixError> {
        // `from_str_radix` accepts a sign as well.
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u64::from_str_radix(text, 16).ok().filter(|_| is_hex);
        number.map(Self).ok_or(PrefixError)
    }
}

impl TryFrom<String> for Prefix {
    type Error = PrefixError;

    fn try_from(text: String) -> Result<Self, PrefixError> {
        text.parse()
    }
}

impl From<Prefix> for String {
    fn from(prefix: Prefix) -> Self {
        prefix.to_string()
    }
}

/// Change of one prefix in a cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The prefix was stored.
    Stored(Prefix),
    /// The prefix was evicted.
    Evicted(Prefix),
}

/// Numbered change of a cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number of the event within the incarnation, from 1.
    pub sequence: u64,
    /// Time from the change until the event was sent, in milliseconds.
    pub age_ms: u64,
    /// Change of the cache.
    #[serde(flatten)]
    pub change: Change,
}

/// Events of one engine that were published or relayed together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Engine.
    pub target: id::Target,
    /// Incarnation of the engine.
    pub incarnation: id::Incarnation,
    /// Events, sorted by sequence number.
    pub events: Vec<Event>,
}
