//! Errors of calls to a target.

use std::time::Duration;

use buckthornmast_types::{id, outcome::Run};
use snafu::Snafu;

/// What went wrong.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Cause {
    /// No byte of the request left this instance.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// Reason in words.
        reason: String,
    },
    /// This instance lacks what a call needs, such as a file descriptor or a port. No byte left it, and
    /// it says nothing about the target.
    #[snafu(display("not sent for lack of resources of this instance: {reason}"))]
    Local {
        /// Reason in words.
        reason: String,
    },
    /// The target positively refused and did not run the request.
    #[snafu(display("refused with status {status}"))]
    Refused {
        /// Status code.
        status: u16,
        /// When the target wants to be asked again.
        retry_after: Option<Duration>,
    },
    /// The target answered that it failed while it ran the request.
    #[snafu(display("failed with status {status}"))]
    Failed {
        /// Status code.
        status: u16,
    },
    /// Nothing arrived within the bound.
    #[snafu(display("silent for {bound:?}"))]
    Silent {
        /// Bound.
        bound: Duration,
    },
    /// The connection ended before the answer did.
    #[snafu(display("connection lost: {reason}"))]
    Lost {
        /// Reason in words.
        reason: String,
    },
    /// The answer does not follow the protocol.
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
    /// What went wrong.
    pub cause: Cause,
}

impl Error {
    /// Returns whether the request may have been run.
    pub fn run(&self) -> Run {
        match self.cause {
            Cause::NotSent { .. } | Cause::Local { .. } | Cause::Refused { .. } => Run::No,
            _ => Run::Unknown,
        }
    }
}
