//! Errors, each with the step that failed.

use std::fmt;

use buckthornmast_types::id;
use snafu::Snafu;

/// Step of a call that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// Finding the peer in the list.
    Resolve,
    /// Encoding the request.
    Encode,
    /// Connecting to the peer.
    Connect,
    /// Opening a session; this fails when the keys differ.
    Session,
    /// Sending the request and receiving the answer.
    Exchange,
    /// Verifying and decoding the answer.
    Answer,
    /// Admission by the peer, which refused to run the call.
    Admit,
    /// Running the handler of the peer.
    Handle,
    /// Waiting for the answer until the deadline.
    Wait,
    /// Any step that was not started or was interrupted because this instance is stopping.
    Stop,
}

impl Step {
    /// Returns the name in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Resolve => "resolve",
            Self::Encode => "encode",
            Self::Connect => "connect",
            Self::Session => "session",
            Self::Exchange => "exchange",
            Self::Answer => "answer",
            Self::Admit => "admit",
            Self::Handle => "handle",
            Self::Wait => "wait",
            Self::Stop => "stop",
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Error of a call that has no response.
#[derive(Debug, Clone, Snafu)]
#[snafu(display("call to {peer} failed at step {step}: {detail}"))]
pub struct CallError {
    /// Step that failed.
    pub step: Step,
    /// Peer that was called.
    pub peer: id::Instance,
    /// Whether the handler of the peer may have run or may still run.
    pub may_have_run: bool,
    /// Description of what went wrong.
    pub detail: String,
}

/// Error that prevents the server or the clients from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[snafu(display("peer RPC failed to start at step {step}: {source}"))]
pub struct StartError {
    /// Step that failed.
    pub step: &'static str,
    /// Cause.
    pub source: std::io::Error,
}
