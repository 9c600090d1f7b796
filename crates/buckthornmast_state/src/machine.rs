//! The machine that the voters replicate.

use buckthornmast_consensus::machine::{LogTime, Machine, RestoreError};
use buckthornmast_types::id;
use serde::{Deserialize, Serialize};

use crate::{
    claims::{self, Claims},
    leases::{self, Leases},
    settings::{self, Book, Tree},
};

/// First byte of a snapshot; raised when its layout changes.
const VERSION: u8 = 2;

/// First byte of a snapshot that holds finished claims in the form of open ones. It is still read.
const OLD_VERSION: u8 = 1;

/// Bytes of a snapshot beside the claims for which room is made at once.
const OTHER_BYTES: usize = 1 << 20;

/// Command.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Write of an operator.
    Write(settings::Write),
    /// Asks to run a request.
    Claim(claims::Claim),
    /// Records the outcome of a request.
    Complete(claims::Complete),
    /// Gives a claim back.
    Release(claims::Release),
    /// Grants a controller lease.
    Grant(leases::Grant),
    /// Gives a controller lease up or on.
    Handover(leases::Handover),
    /// Records orders before they are sent.
    Intend(leases::Intend),
    /// Closes intents.
    Resolve(leases::Resolve),
}

/// Answer to a command.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// To a write.
    Write(settings::Answer),
    /// To a claim.
    Claim(claims::Answer),
    /// To an outcome or a release.
    Settled(claims::Settled),
    /// To a grant or a handover.
    Granted(leases::Granted),
    /// To an intent or its resolution.
    Recorded(leases::Recorded),
}

/// Whole replicated state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    at: LogTime,
    tree: Tree,
    book: Book,
    claims: Claims,
    leases: Leases,
}

/// Whole replicated state of version 1.
#[derive(Debug, Deserialize)]
struct OldState {
    at: LogTime,
    tree: Tree,
    book: Book,
    claims: claims::old::Claims,
    leases: Leases,
}

impl OldState {
    fn upgrade(self) -> Option<State> {
        Some(State {
            at: self.at,
            tree: self.tree,
            book: self.book,
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
    pub fn book(&self) -> &Book {
        &self.book
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

impl Machine for State {
    type Command = Command;
    type Answer = Answer;

    fn apply(&mut self, index: id::Index, at: LogTime, command: &Command) -> Answer {
        self.at = self.at.max(at);
        let at = self.at;
        self.claims.purge(at);
        match command {
            Command::Write(write) => Answer::Write(self.book.write(&mut self.tree, at, write)),
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
        // Encoding into memory fails only for types without a known length, which the state has none of.
        let buffer = Vec::with_capacity(self.claims.bytes() + OTHER_BYTES);
        postcard::to_extend(&(VERSION, self), buffer).unwrap_or_default()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let refuse = |detail: &str| RestoreError {
            detail: detail.to_owned(),
        };
        let malformed = |error: postcard::Error| refuse(&error.to_string());
        *self = match snapshot.split_first() {
            Some((&VERSION, state)) => postcard::from_bytes(state).map_err(malformed)?,
            Some((&OLD_VERSION, state)) => {
                let old: OldState = postcard::from_bytes(state).map_err(malformed)?;
                old.upgrade()
                    .ok_or_else(|| refuse("claims are malformed or of too many services"))?
            }
            _ => return Err(refuse("unknown version")),
        };
        Ok(())
    }
}
