//! Artifacts that a target can load: a version of a model, alone or with a version of an adapter.
//!
//! The text form is `model@version` or `model@version+adapter@version`.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::id;

/// Adapter pinned to a version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Pin {
    /// Adapter.
    pub adapter: id::Adapter,
    /// Version of the adapter.
    pub version: id::Version,
}

/// Loadable unit of weights.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Artifact {
    /// Model.
    pub model: id::Model,
    /// Version of the model.
    pub version: id::Version,
    /// Adapter on top of the model, if any.
    pub adapter: Option<Pin>,
}

/// Reason why the text form is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ParseError {
    /// The text has no version.
    #[snafu(display("artifact {text:?} is not model@version or model@version+adapter@version"))]
    Form {
        /// Refused text.
        text: String,
    },
    /// A part of the text is not a label.
    #[snafu(context(false), display("{source}"))]
    Label {
        /// Cause.
        source: id::LabelError,
    },
}

impl Artifact {
    /// Returns the artifact without its adapter.
    #[must_use]
    pub fn base(&self) -> Self {
        Self {
            adapter: None,
            ..self.clone()
        }
    }
}

fn split_version(text: &str) -> Result<(&str, &str), ParseError> {
    text.split_once('@').ok_or_else(|| ParseError::Form {
        text: text.chars().take(200).collect(),
    })
}

impl FromStr for Artifact {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (base, adapter) = match text.split_once('+') {
            Some((base, adapter)) => (base, Some(adapter)),
            None => (text, None),
        };
        let (model, version) = split_version(base)?;
        let adapter = match adapter.map(split_version).transpose()? {
            Some((adapter, version)) => Some(Pin {
                adapter: adapter.parse()?,
                version: version.parse()?,
            }),
            None => None,
        };
        Ok(Self {
            model: model.parse()?,
            version: version.parse()?,
            adapter,
        })
    }
}

impl fmt::Display for Artifact {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.model, self.version)?;
        match &self.adapter {
            Some(pin) => write!(f, "+{}@{}", pin.adapter, pin.version),
            None => Ok(()),
        }
    }
}

impl TryFrom<String> for Artifact {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Artifact> for String {
    fn from(artifact: Artifact) -> Self {
        artifact.to_string()
    }
}
