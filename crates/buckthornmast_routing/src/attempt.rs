//! What comes after a failed attempt.
//!
//! A client is told that its request was not run only if that is certain: no byte was dispatched on
//! any attempt, or each dispatch was positively refused.

use std::time::Duration;

use buckthornmast_types::prelude::*;

/// How far a failed attempt got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Dispatch {
    /// No byte of it was sent.
    NotSent,
    /// It was sent, and the target positively refused to run it.
    Refused,
    /// It was sent, or may have been, and nothing is known of what the target did.
    Sent,
    /// The target began to answer; tokens up to this index were passed on.
    Streaming {
        /// Index of the first token that the client does not have.
        next: u64,
    },
}

/// All failed attempts of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct History {
    attempts: u32,
    unresolved: bool,
    started: bool,
    next: u64,
}

impl History {
    /// Adds a failed attempt.
    pub fn add(&mut self, dispatch: Dispatch) {
        self.attempts = self.attempts.saturating_add(1);
        match dispatch {
            Dispatch::NotSent | Dispatch::Refused => {}
            Dispatch::Sent => self.unresolved = true,
            Dispatch::Streaming { next } => {
                self.unresolved = true;
                self.started = true;
                self.next = self.next.max(next);
            }
        }
    }

    /// Returns the number of failed attempts.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns what the client may conclude if the request is given up now.
    pub fn run(&self) -> Run {
        if self.unresolved {
            Run::Unknown
        } else {
            Run::No
        }
    }
}

/// What else is known when an attempt has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Known {
    /// Whether the request may run twice.
    pub repeatable: bool,
    /// Whether its stream can be resumed at a token.
    pub resumable: bool,
    /// Whether an untried target is left.
    pub target_left: bool,
    /// Most attempts.
    pub most: u32,
    /// Time that a further attempt is expected to take.
    pub expected: Duration,
    /// Deadline of the request.
    pub deadline: Point,
}

/// Why a request is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It may have been run and must not be run twice.
    NotRepeatable,
    /// Its stream has begun and can't be resumed.
    NotResumable,
    /// A further attempt would end after the deadline.
    Deadline,
    /// It has had as many attempts as it may have.
    Attempts,
    /// No untried target is left.
    Targets,
    /// The retry budget is spent.
    Budget,
}

/// What comes next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Another attempt from the start.
    Retry,
    /// Another attempt that goes on behind the tokens the client has.
    Resume {
        /// Index of the first token wanted.
        index: u64,
    },
    /// The client is answered with an error, or with an error event if the stream has begun.
    End {
        /// Whether the request was run.
        run: Run,
        /// Why.
        reason: Reason,
    },
}

/// Decides what comes after the attempts in the history. `budget` is asked last, and only if a
/// further attempt would be made, so that it pays for nothing else.
pub fn decide(
    history: &History,
    known: &Known,
    now: Point,
    budget: impl FnOnce() -> bool,
) -> Decision {
    let reason = if history.unresolved && !known.repeatable {
        Some(Reason::NotRepeatable)
    } else if history.started && !known.resumable {
        Some(Reason::NotResumable)
    } else if now + known.expected > known.deadline {
        Some(Reason::Deadline)
    } else if history.attempts >= known.most {
        Some(Reason::Attempts)
    } else if !known.target_left {
        Some(Reason::Targets)
    } else if !budget() {
        Some(Reason::Budget)
    } else {
        None
    };
    match reason {
        Some(reason) => Decision::End {
            run: history.run(),
            reason,
        },
        None if history.started => Decision::Resume {
            index: history.next,
        },
        None => Decision::Retry,
    }
}
