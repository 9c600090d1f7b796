//! The state machine that the voters replicate.

use buckthornmast_consensus::machine::{LogTime, RestoreError, StateMachine};
use buckthornmast_types::id;
use serde::{Deserialize, Serialize};

use crate::{
    claims::{self, Claims},
    leases::{self, Leases},
    settings::{self, Tree, WriteHistory},
};

/// Version of the snapshot layout, stored as the first byte of a snapshot. It is raised when the layout changes.
const SNAPSHOT_VERSION: u8 = 2;

/// Version of the layout that stored finished claims in the form of open ones. Such snapshots can still be restored.
const OLD_SNAPSHOT_VERSION: u8 = 1;

/// Buffer capacity reserved for the parts of a snapshot other than claims.
const NON_CLAIM_CAPACITY_BYTES: usize = 1 << 20;

/// Command of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Writes settings for an operator.
    Write(settings::Write),
    /// Claims a request in order to run it.
    Claim(claims::Claim),
    /// Records the outcome of a request.
    Complete(claims::Complete),
    /// Releases a claim.
    Release(claims::Release),
    /// Grants a controller lease.
    Grant(leases::Grant),
    /// Releases a controller lease or hands it over.
    Handover(leases::Handover),
    /// Records orders before they are sent.
    Intend(leases::Intend),
    /// Closes intents.
    Resolve(leases::Resolve),
}

/// Answer to a command.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// Answer to a write.
    Write(settings::Answer),
    /// Answer to a claim.
    Claim(claims::Answer),
    /// Answer to an outcome or a release.
    Settled(claims::Settlement),
    /// Answer to a grant or a handover.
    Granted(leases::GrantAnswer),
    /// Answer to an intent or its resolution.
    Recorded(leases::RecordAnswer),
}

/// Complete replicated state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    at: LogTime,
    tree: Tree,
    #[serde(rename = "book")]
    history: WriteHistory,
    claims: Claims,
    leases: Leases,
}

/// Complete replicated state in the layout of version 1.
#[derive(Debug, Deserialize)]
struct OldState {
    at: LogTime,
    tree: Tree,
    #[serde(rename = "book")]
    history: WriteHistory,
    claims: claims::version_1::Claims,
    leases: Leases,
}

impl OldState {
    fn upgrade(self) -> Option<State> {
        Some(State {
            at: self.at,
            tree: self.tree,
            history: self.history,
            claims: self.claims.upgrade()?,
            leases: self.leases,
        })
    }
}

impl State {
    /// Returns the log time of the last command.
    pub fn at(&self) -> LogTime {
        self.at
    }

    /// Returns the settings.
    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Returns the write ids and histories.
    pub fn write_history(&self) -> &WriteHistory {
        &self.history
    }

    /// Returns the claims.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Returns the leases and intents.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }
}

impl StateMachine for State {
    type Command = Command;
    type Answer = Answer;

    fn apply(&mut self, index: id::Index, at: LogTime, command: &Command) -> Answer {
        self.at = self.at.max(at);
        let at = self.at;
        self.claims.purge(at);
        match command {
            Command::Write(write) => Answer::Write(self.history.write(&mut self.tree, at, write)),
            Command::Claim(claim) => Answer::Claim(self.claims.claim(at, claim)),
            Command::Complete(complete) => Answer::Settled(self.claims.complete(complete)),
            Command::Release(release) => Answer::Settled(self.claims.release(at, release)),
            Command::Grant(grant) => Answer::Granted(self.leases.grant(index, grant)),
            Command::Handover(handover) => Answer::Granted(self.leases.handover(index, handover)),
            Command::Intend(intend) => Answer::Recorded(self.leases.intend(intend)),
            Command::Resolve(resolve) => Answer::Recorded(self.leases.resolve(resolve)),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        // Encoding into memory fails only for types without a known length, and the state contains none.
        let buffer = Vec::with_capacity(self.claims.bytes() + NON_CLAIM_CAPACITY_BYTES);
        postcard::to_extend(&(SNAPSHOT_VERSION, self), buffer).unwrap_or_default()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let refuse = |detail: &str| RestoreError {
            detail: detail.to_owned(),
        };
        let malformed = |error: postcard::Error| refuse(&error.to_string());
        *self = match snapshot.split_first() {
            Some((&SNAPSHOT_VERSION, state)) => postcard::from_bytes(state).map_err(malformed)?,
            Some((&OLD_SNAPSHOT_VERSION, state)) => {
                let old: OldState = postcard::from_bytes(state).map_err(malformed)?;
                old.upgrade().ok_or_else(|| {
                    refuse("claims of version 1 are malformed or of too many services")
                })?
            }
            _ => return Err(refuse("unknown version")),
        };
        Ok(())
    }
}
