//! Errors of calls to a target.

use std::time::Duration;

use buckthornmast_types::{id, outcome::Execution};
use snafu::Snafu;

/// Cause of a failed call.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Cause {
    /// No byte of the request was sent.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// Reason in words.
        reason: String,
    },
    /// This instance lacks a resource that the call needs, such as a file descriptor or a port. No byte was sent,
    /// and the failure is no evidence against the target.
    #[snafu(display("not sent for lack of resources of this instance: {reason}"))]
    LocalResource {
        /// Reason in words.
        reason: String,
    },
    /// The target refused the request explicitly and did not run it.
    #[snafu(display("refused with status {status}"))]
    Refused {
        /// Status code.
        status: u16,
        /// Time after which the target accepts a retry.
        retry_after: Option<Duration>,
    },
    /// The target answered that the request failed while it ran.
    #[snafu(display("failed with status {status}"))]
    Failed {
        /// Status code.
        status: u16,
    },
    /// No data arrived within the time limit.
    #[snafu(display("silent for {bound:?}"))]
    TimedOut {
        /// Time limit.
        bound: Duration,
    },
    /// The connection ended before the answer was complete.
    #[snafu(display("connection lost: {reason}"))]
    Disconnected {
        /// Reason in words.
        reason: String,
    },
    /// The answer does not follow the protocol, is too large, or has no detectable end.
    #[snafu(display("bad answer: {reason}"))]
    Malformed {
        /// Reason in words.
        reason: String,
    },
}

/// Failed call.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{step} at target {target}: {cause}"))]
pub struct Error {
    /// Step that failed.
    pub step: &'static str,
    /// Target.
    pub target: id::Target,
    /// Cause.
    pub cause: Cause,
}

impl Error {
    /// Returns whether the request may have been run.
    pub fn execution(&self) -> Execution {
        match self.cause {
            Cause::NotSent { .. } | Cause::LocalResource { .. } | Cause::Refused { .. } => {
                Execution::No
            }
            _ => Execution::Unknown,
        }
    }
}
