//! Bodies of sealed frames.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The only JSON-RPC method; what is asked stands in the sealed body.
pub(crate) const METHOD: &str = "peer";

/// JSON-RPC error code for frames that are not believed.
pub(crate) const UNAUTHENTICATED: i32 = -32001;

/// Kind of a request, for counters and for the choice of connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    Open,
    Ping,
    Call,
    Poll,
    Notices,
}

impl Kind {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Ping => "ping",
            Self::Call => "call",
            Self::Poll => "poll",
            Self::Notices => "notices",
        }
    }
}

/// Body of a request.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Ask<R, N> {
    /// Asks for a session.
    Open,
    /// Asks for a sign of life.
    Ping,
    /// Starts a call, unless it waits for a handler for longer than this.
    Call { millis: u64, request: R },
    /// Asks for the answer of the call with this sequence number in the same session.
    Poll { sequence: u64 },
    /// Delivers notices in their order.
    Notices(Vec<N>),
}

impl<R, N> Ask<R, N> {
    pub(crate) fn kind(&self) -> Kind {
        match self {
            Self::Open => Kind::Open,
            Self::Ping => Kind::Ping,
            Self::Call { .. } => Kind::Call,
            Self::Poll { .. } => Kind::Poll,
            Self::Notices(_) => Kind::Notices,
        }
    }
}

/// Body of an answer.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Answer<R> {
    /// New session.
    Session(u64),
    /// Sign of life, or notices delivered.
    Taken,
    /// The handler is still running.
    Running,
    /// Response of the handler.
    Done(R),
    /// No response.
    Refused(Refusal),
}

/// Reason why the server gives no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Refusal {
    /// The session is unknown, for example after a restart; nothing was run.
    Session,
    /// The nonce was used before.
    Replayed,
    /// The body is not understood; nothing was run.
    Malformed,
    /// Too many calls wait; nothing was run.
    Busy,
    /// The call waited for a handler until its time was over; nothing was run.
    Expired,
    /// The handler panicked.
    Panicked,
    /// The response exceeds the bound.
    TooLarge,
    /// The answer of the call is not kept any more.
    Forgotten,
    /// The server is stopping.
    Stopping,
}

impl Refusal {
    /// Returns whether the call certainly was not run and never will be.
    pub(crate) fn is_unsent(self) -> bool {
        matches!(
            self,
            Self::Session | Self::Malformed | Self::Busy | Self::Expired
        )
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Session => "the session is unknown",
            Self::Replayed => "the nonce was used before",
            Self::Malformed => "the request is not understood",
            Self::Busy => "too many calls wait",
            Self::Expired => "no handler was free in time",
            Self::Panicked => "the handler panicked",
            Self::TooLarge => "the response exceeds the bound",
            Self::Forgotten => "the answer is not kept any more",
            Self::Stopping => "the peer is stopping",
        })
    }
}
