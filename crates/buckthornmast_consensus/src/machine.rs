//! Replicated state machine.

use std::fmt;

use buckthornmast_types::id;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::Snafu;

/// Milliseconds since the epoch, as assigned by leaders. Never decreases along the log.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogTime(pub u64);

impl fmt::Display for LogTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// Reason why a snapshot can't be restored.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the snapshot can't be restored: {detail}"))]
pub struct RestoreError {
    /// What is wrong.
    pub detail: String,
}

/// Deterministic state machine.
pub trait StateMachine: Send + Sync + 'static {
    /// Command, which every replica applies in the order of the log.
    type Command: Clone + Serialize + DeserializeOwned + Send + Sync + 'static;
    /// Answer to a command. Only the replica that proposed the command uses it.
    type Answer: Clone + Serialize + DeserializeOwned + Send + 'static;

    /// Applies a committed command. Time-dependent decisions use the log time only, never a local clock.
    fn apply(&mut self, index: id::Index, at: LogTime, command: &Self::Command) -> Self::Answer;
    /// Returns the whole state in the encoding that [`StateMachine::restore`] reads.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the whole state with that of a snapshot.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError>;
}
