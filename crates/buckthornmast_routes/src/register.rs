//! Replicated register of the newest document.
//!
//! The text is kept as published, so that it is read back unchanged and a newer program may understand more of it than
//! an older one. The highest version is in force, and the version never decreases.

use std::{fmt, str::FromStr, sync::Arc};

use buckthornmast_consensus::machine::{LogTime, RestoreError, StateMachine};
use buckthornmast_types::{byte_vector, id};
use serde::{Deserialize, Serialize};

/// First byte of a snapshot. It is incremented when the layout changes.
const LAYOUT_VERSION: u8 = 1;

/// Version of a document, assigned by its publisher.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Revision {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Text of a document with its version.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Text {
    /// Version.
    pub version: Revision,
    /// Text in the publisher's encoding.
    #[serde(with = "byte_vector")]
    pub body: Arc<[u8]>,
}

/// Replicated command.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Puts a document in force.
    Publish(Text),
    /// Changes nothing. Reads of older builds proposed it, so their logs contain it.
    Confirm,
}

/// Answer to a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// The document is in force, or one with a higher version is.
    Accepted {
        /// Version in force.
        newest: Revision,
    },
    /// The document in force has the same version but different content.
    Conflict,
}

/// Newest document.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Register {
    newest: Option<Text>,
}

impl Register {
    /// Returns the document in force.
    pub fn newest(&self) -> Option<&Text> {
        self.newest.as_ref()
    }

    fn publish(&mut self, text: &Text) -> Answer {
        match &self.newest {
            Some(newest) if newest.version == text.version && newest.body != text.body => {
                return Answer::Conflict;
            }
            Some(newest) if newest.version >= text.version => {}
            _ => self.newest = Some(text.clone()),
        }
        self.confirm()
    }

    fn confirm(&self) -> Answer {
        let newest = self.newest.as_ref();
        Answer::Accepted {
            newest: newest.map_or(Revision::default(), |text| text.version),
        }
    }
}

impl StateMachine for Register {
    type Command = Command;
    type Answer = Answer;

    fn apply(&mut self, _: id::Index, _: LogTime, command: &Command) -> Answer {
        match command {
            Command::Publish(text) => self.publish(text),
            Command::Confirm => self.confirm(),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        // Encoding into memory fails only for types of unknown length, and the text has none.
        postcard::to_extend(&(LAYOUT_VERSION, &self.newest), Vec::new()).unwrap_or_default()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let refuse = |detail: String| RestoreError { detail };
        let (layout, newest): (u8, Option<Text>) =
            postcard::from_bytes(snapshot).map_err(|error| refuse(error.to_string()))?;
        if layout != LAYOUT_VERSION {
            return Err(refuse(format!("unknown layout {layout}")));
        }
        self.newest = newest;
        Ok(())
    }
}
