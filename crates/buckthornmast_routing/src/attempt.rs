//! Decision after a failed attempt.
//!
//! An attempt is one dispatch of a request to one target, also if no byte of it could be sent.
//!
//! The answer to a caller states that its request was not run only if that is certain: on each attempt no
//! byte was sent, or the target explicitly refused the request.

use std::time::Duration;

use buckthornmast_types::prelude::*;

/// Progress of a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Dispatch {
    /// No byte of the request was sent.
    NotSent,
    /// The request was sent, and the target explicitly refused to run it.
    Refused,
    /// The request was or may have been sent, and it is unknown whether the target ran it.
    Sent,
    /// The target began to answer; the tokens before `next` were forwarded to the caller.
    Streaming {
        /// Index of the first token that the caller does not have.
        next: u64,
    },
}

/// All failed attempts of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct History {
    attempts: u32,
    is_unresolved: bool,
    has_started: bool,
    next_token: u64,
}

impl History {
    /// Adds a failed attempt.
    pub fn add(&mut self, dispatch: Dispatch) {
        self.attempts = self.attempts.saturating_add(1);
        match dispatch {
            Dispatch::NotSent | Dispatch::Refused => {}
            Dispatch::Sent => self.is_unresolved = true,
            Dispatch::Streaming { next } => {
                self.is_unresolved = true;
                self.has_started = true;
                self.next_token = self.next_token.max(next);
            }
        }
    }

    /// Returns the number of failed attempts.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns whether the request may have been run, for the error sent to the caller if it ends now.
    pub fn execution(&self) -> Execution {
        if self.is_unresolved {
            Execution::Unknown
        } else {
            Execution::No
        }
    }
}

/// Conditions that apply to a request when an attempt has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Conditions {
    /// Whether the request may be run twice.
    pub is_repeatable: bool,
    /// Whether its stream can be resumed at a token.
    pub is_resumable: bool,
    /// Whether the request may be the cause of the end of its target.
    pub may_end_targets: bool,
    /// Whether an untried target is left.
    pub has_untried_target: bool,
    /// Maximum number of attempts.
    pub max_attempts: u32,
    /// Time that a further attempt is expected to take.
    pub expected_time: Duration,
    /// Deadline of the request.
    pub deadline: Point,
}

/// Reason for which a request ends without another attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The request may have been run and must not be run twice.
    NotRepeatable,
    /// Its stream has begun and can't be resumed.
    NotResumable,
    /// It may end the next target as well.
    Suspect,
    /// A further attempt would end after the deadline.
    Deadline,
    /// The maximum number of attempts has been made.
    Attempts,
    /// No untried target is left.
    Targets,
    /// The retry budget is exhausted.
    Budget,
}

/// Next step after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Another attempt from the start.
    Retry,
    /// Another attempt that continues after the tokens that the caller has received.
    Resume {
        /// Index of the first token to generate.
        index: u64,
    },
    /// The request ends with an error, or with an error event if the stream has begun.
    End {
        /// Whether the request was run.
        execution: Execution,
        /// Why the request ends.
        reason: Reason,
    },
}

/// Decides the next step after the attempts in the history. `take_retry` takes a retry from the budget. It is
/// called last, and only if another attempt would be made, so that the budget isn't charged for anything else.
pub fn decide(
    history: &History,
    conditions: &Conditions,
    now: Point,
    take_retry: impl FnOnce() -> bool,
) -> Decision {
    let reason = if history.is_unresolved && !conditions.is_repeatable {
        Some(Reason::NotRepeatable)
    } else if history.has_started && !conditions.is_resumable {
        Some(Reason::NotResumable)
    } else if conditions.may_end_targets {
        Some(Reason::Suspect)
    } else if now + conditions.expected_time > conditions.deadline {
        Some(Reason::Deadline)
    } else if history.attempts >= conditions.max_attempts {
        Some(Reason::Attempts)
    } else if !conditions.has_untried_target {
        Some(Reason::Targets)
    } else if !take_retry() {
        Some(Reason::Budget)
    } else {
        None
    };
    match reason {
        Some(reason) => Decision::End {
            execution: history.execution(),
            reason,
        },
        None if history.has_started => Decision::Resume {
            index: history.next_token,
        },
        None => Decision::Retry,
    }
}
