//! Claims of requests that must not be repeated.
//!
//! A claim is committed by a quorum before the first byte of dispatch. The store behind
//! [`Claims`] is the replicated state; the request path depends only on the outcomes defined here.

use std::time::Duration;

use buckthornmast_types::id;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Maximum size of a body that is stored for replay to a resent request. A larger one is not stored, and the resent
/// request is answered that the original has run.
pub const MAX_REPLAY_BODY_BYTES: usize = 16 << 10;

/// Request that must not be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Service that is called; a key is unique within its service.
    pub service: id::Service,
    /// Idempotency key.
    pub key: id::Key,
    /// Hash of method, path and body; a key may not be used for another request.
    pub fingerprint: u64,
    /// Id of the request that makes the claim.
    pub request: id::Request,
}

/// Outcome of a request that must not be repeated, stored for resent requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Status code.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body, unless it was too large to store or was dropped to make room for newer ones.
    pub body: Option<Vec<u8>>,
}

/// Permission to dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Attempt that was granted.
    pub attempt: id::Attempt,
}

/// Reason why a claim is not granted. In every case, this request was not dispatched.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Denial {
    /// The request ran before; this is its outcome.
    #[snafu(display("the request has run"))]
    Done {
        /// Recorded outcome.
        outcome: Outcome,
    },
    /// Another attempt holds the claim and may have run the request.
    #[snafu(display("another attempt holds the claim"))]
    Held,
    /// The key was used for another request.
    #[snafu(display("the key was used for another request"))]
    Mismatch,
    /// The timestamp in the key lies outside the retention period of claims.
    #[snafu(display("the key is older than the retention of claims or ahead of time"))]
    Expired,
    /// The store of claims is full until older keys expire.
    #[snafu(display("no room for claims until older keys expire"))]
    Full,
    /// No quorum was reached; the claim will be released.
    #[snafu(display("no quorum: {reason}"))]
    Unavailable {
        /// Human-readable reason.
        reason: String,
    },
}

/// Store of claims.
pub trait Claims {
    /// Claims a request; waits for at most `bound`.
    fn claim(&self, claim: &Claim, bound: Duration) -> Result<Grant, Denial>;

    /// Records the outcome. The store retries in the background until it is committed.
    fn complete(&self, claim: &Claim, grant: Grant, outcome: Outcome);

    /// Releases a claim whose request was certainly not run.
    fn release(&self, claim: &Claim, grant: Grant);
}
