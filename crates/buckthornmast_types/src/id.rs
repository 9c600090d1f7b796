//! Identifiers.
//!
//! Names that people choose (instances, domains, teams, targets, models) are short labels that are validated when they
//! are parsed. Numbers that only increase (revisions, terms, fencing tokens) are newtypes, so that one can't be passed
//! in place of another. Requests, writes and orders are UUIDs.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Maximum length of a label in bytes.
pub const MAX_LABEL_LEN: usize = 63;

/// Reason why a label is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "{kind} {label:?} is not a label: 1 to {MAX_LABEL_LEN} of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"
))]
pub struct LabelError {
    kind: &'static str,
    label: String,
}

fn is_label(label: &str) -> bool {
    let bytes = label.as_bytes();
    let is_alphanumeric = |b: &u8| b.is_ascii_lowercase() || b.is_ascii_digit();
    bytes.len() <= MAX_LABEL_LEN
        && bytes.first().is_some_and(is_alphanumeric)
        && bytes
            .iter()
            .all(|b| is_alphanumeric(b) || matches!(b, b'.' | b'_' | b'-'))
}

macro_rules! labels {
    ($($(#[$doc:meta])* $name:ident = $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the label.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = LabelError;

            fn from_str(label: &str) -> Result<Self, Self::Err> {
                if is_label(label) {
                    Ok(Self(label.into()))
                } else {
                    // A refused label may come from the network, so only its start is quoted.
                    let label = label.chars().take(MAX_LABEL_LEN).collect();
                    Err(LabelError { kind: $kind, label })
                }
            }
        }

        impl TryFrom<String> for $name {
            type Error = LabelError;

            fn try_from(label: String) -> Result<Self, Self::Error> {
                label.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.as_str().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &self.0)
            }
        }
    )*};
}

labels! {
    /// Machine that runs the daemon.
    Instance = "instance";
    /// Failure domain: a zone with its own instances and targets.
    Domain = "failure domain";
    /// Customer that owns a subtree of settings.
    Team = "team";
    /// Back end: a model engine or a plain service.
    Target = "target";
    /// Model that a team declares.
    Model = "model";
    /// Adapter that a team declares for a model.
    Adapter = "adapter";
    /// Version of a model or an adapter.
    Version = "version";
    /// Customer of a deployment, which holds keys and has a quota.
    Organisation = "organisation";
    /// Service that targets belong to.
    Service = "service";
    /// Kind of target; the settings of the platform declare its capabilities.
    Kind = "kind";
}

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

numbers! {
    /// Position in the replicated log.
    Index;
    /// Election term of the replicated log.
    Term;
    /// Revision of a subtree of settings or of all settings.
    Revision;
    /// Fencing token of a controller lease.
    Token;
    /// Incarnation of a target or an instance; it is higher after each restart.
    Incarnation;
    /// Number of an attempt to dispatch a request.
    Attempt;
}

macro_rules! uuids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub uuid::Uuid);

        impl $name {
            /// Returns a new id that contains the current time (UUIDv7).
            #[must_use]
            pub fn generate() -> Self {
                Self(uuid::Uuid::now_v7())
            }
        }

        impl FromStr for $name {
            type Err = uuid::Error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

uuids! {
    /// Request of a caller.
    Request;
    /// Write to the settings.
    Write;
    /// Order to a target.
    Order;
    /// Content of a data folder; a replaced disk has a different id.
    Disk;
    /// Idempotency key of a request that must not be repeated.
    Key;
}

impl Key {
    /// Returns the time in the key in milliseconds since the Unix epoch, if it is a UUIDv7.
    pub fn unix_millis(self) -> Option<u64> {
        if self.0.get_version_num() != 7 {
            return None;
        }
        let (seconds, nanos) = self.0.get_timestamp()?.to_unix();
        Some(seconds * 1000 + u64::from(nanos) / 1_000_000)
    }
}
