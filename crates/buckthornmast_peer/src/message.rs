//! Bodies of sealed frames.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The only JSON-RPC method; the sealed body contains the request.
pub(crate) const METHOD: &str = "peer";

/// JSON-RPC error code for frames that can't be authenticated.
pub(crate) const UNAUTHENTICATED_CODE: i32 = -32001;

/// Kind of a request, for counters and for the choice of the connection pool.
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
pub(crate) enum Request<R, N> {
    /// Opens a session.
    Open,
    /// Checks that the connection and the server respond.
    Ping,
    /// Starts a call, unless it waits for a handler for longer than its timeout.
    Call {
        #[serde(rename = "millis")]
        timeout_ms: u64,
        request: R,
    },
    /// Polls for the answer to the call with this sequence number in the same session.
    Poll { sequence: u64 },
    /// Delivers notices in their order.
    Notices(Vec<N>),
}

impl<R, N> Request<R, N> {
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
    /// Acknowledgement of a ping or of notices.
    Taken,
    /// The handler is still running.
    Running,
    /// Response of the handler.
    Done(R),
    /// No response.
    Refused(Refusal),
}

/// Reason why the server returns no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Refusal {
    /// The session is unknown, for example after a restart; nothing was run.
    Session,
    /// The nonce was used before.
    Replayed,
    /// The body can't be decoded; nothing was run.
    Malformed,
    /// Too many calls are waiting for a handler; nothing was run.
    Busy,
    /// The call waited for a handler until its timeout; nothing was run.
    Expired,
    /// The handler panicked.
    Panicked,
    /// The response exceeds the size limit.
    TooLarge,
    /// The answer to the call is no longer kept.
    Forgotten,
    /// The server is stopping.
    Stopping,
}

impl Refusal {
    /// Returns whether the call has certainly not been run and never will be.
    pub(crate) fn is_never_run(self) -> bool {
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
            Self::Malformed => "the peer can't decode the request",
            Self::Busy => "too many calls are waiting for a handler",
            Self::Expired => "no handler was free within the timeout",
            Self::Panicked => "the handler panicked",
            Self::TooLarge => "the response exceeds the size limit",
            Self::Forgotten => "the peer no longer keeps the answer",
            Self::Stopping => "the peer is stopping",
        })
    }
}
