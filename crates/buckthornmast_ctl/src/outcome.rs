//! Results of commands and their exit codes.

use std::process::ExitCode;

use snafu::Snafu;

/// Exit code of wrong usage.
pub const USAGE: u8 = 2;

/// Failure of a command.
#[derive(Debug, Snafu)]
pub enum Failure {
    /// The tool itself failed.
    #[snafu(display("{message}"))]
    Local {
        /// Reason.
        message: String,
    },
    /// The command line is wrong.
    #[snafu(display("{message}"))]
    Usage {
        /// Reason.
        message: String,
    },
    /// The settings were changed concurrently.
    #[snafu(display("conflict: {message}"))]
    Conflict {
        /// Reason.
        message: String,
    },
    /// The declarations or the token are not valid.
    #[snafu(display("refused: {message}"))]
    Refused {
        /// Reason.
        message: String,
    },
    /// No instance returned a final answer.
    #[snafu(display("unknown: {message}"))]
    Unknown {
        /// Reason.
        message: String,
    },
}

impl Failure {
    /// Returns the exit code.
    pub fn code(&self) -> u8 {
        match self {
            Self::Local { .. } => 1,
            Self::Usage { .. } => USAGE,
            Self::Conflict { .. } => 3,
            Self::Refused { .. } => 4,
            Self::Unknown { .. } => 5,
        }
    }
}

impl From<&Failure> for ExitCode {
    fn from(failure: &Failure) -> Self {
        failure.code().into()
    }
}

/// Result of a command; the text is printed to standard output.
pub type Outcome = Result<String, Failure>;
