//! Answers that this instance generates itself, and their `Retry-After`.
//!
//! A refusal guarantees that the request has not run. Its `Retry-After` is the time after which a retry is expected to
//! succeed: the remaining load time of the model, the wait for a slot, or a short default if neither is known.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};

use crate::{body::Body, exchange::FullAnswer};

/// `Retry-After` of a request for which there are no routes or no target, or whose deadline has passed.
pub const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Shortest `Retry-After` while a model is being loaded or the targets are full.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// `Retry-After` of a request that a target refused, because it is full or is carrying out an order, or for which no
/// target could be reached.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(800);

/// `Retry-After` of a request whose key can't be checked. Another instance can serve it, and an instance that is in touch
/// with the core again has its keys confirmed within this time.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Longest `Retry-After` of a service whose targets are full, and that of a model that can't be loaded. The load of
/// bursty models changes within seconds.
const MAX_FULL_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Reason why a request is refused without having run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No routes are known yet.
    NoRoutes,
    /// The routes in force may be out of date, so that the caller's key can't be checked.
    Unconfirmed,
    /// The key was taken away while the request waited.
    KeyRemoved,
    /// No target of the service is known, or all have been tried.
    NoTarget,
    /// The model is being loaded.
    Loading {
        /// Time until it is ready.
        remaining: Duration,
    },
    /// The model can't be loaded.
    CannotLoad,
    /// The targets are full.
    TargetsFull {
        /// Expected wait for a slot.
        wait: Duration,
    },
    /// The prompt is larger than the memory of any target.
    PromptTooLarge,
    /// All targets that could run the request want no request for some time.
    Paused {
        /// Time until the first of them accepts requests again.
        remaining: Duration,
    },
    /// All targets that could run the request take requests at a limited rate only, and it would have to wait too long.
    Limited {
        /// Time after which the limit is expected to have room.
        wait: Duration,
    },
    /// The prompt has parts on which targets crash.
    Quarantined {
        /// Time until a request with these parts is tried again.
        remaining: Duration,
    },
    /// Nobody knows which version of the targets' software began the stream that is to be resumed.
    UnknownOrigin,
    /// No target of the version that began the stream is left.
    VersionGone,
    /// The organisation has used its quota.
    OverQuota {
        /// Time after which credit is expected.
        wait: Duration,
    },
    /// There is no leader that lends credit, and this instance has spent its reserve.
    NoCredit {
        /// Time after which a leader is expected.
        wait: Duration,
    },
    /// The deadline of the answer has passed.
    Deadline,
    /// This instance stops before the answer is expected.
    Stopping,
    /// A target refused the request, and no further attempt is allowed.
    TargetRefused,
    /// No target could be reached, and no further attempt is allowed.
    Unreachable,
}

impl Refusal {
    /// Returns the reason for the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoRoutes => "no routes are known yet",
            Self::Unconfirmed => "the keys of the routes in force may be out of date",
            Self::KeyRemoved => "the key was taken away while the request waited",
            Self::NoTarget => "no target is left",
            Self::Loading { .. } => "the model is being loaded",
            Self::CannotLoad => "the model can't be loaded",
            Self::TargetsFull { .. } => "the targets are full",
            Self::PromptTooLarge => "the prompt is larger than the memory of any target",
            Self::Paused { .. } => "the targets want no request for some time",
            Self::Limited { .. } => "the targets limit their rate",
            Self::Quarantined { .. } => "the prompt has parts on which targets crash",
            Self::UnknownOrigin => "the version that began the stream is not known",
            Self::VersionGone => "no target of the version that began the stream is left",
            Self::OverQuota { .. } => "the organisation has used its quota",
            Self::NoCredit { .. } => "no leader lends credit to the organisation",
            Self::Deadline => "the deadline has passed",
            Self::Stopping => "this instance stops before the answer is expected",
            Self::TargetRefused => "the target refused the request",
            Self::Unreachable => "the target can't be reached",
        }
    }

    /// Returns the status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::OverQuota { .. } => StatusCode::TOO_MANY_REQUESTS,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the time after which the caller should retry.
    pub fn retry_after(self) -> Duration {
        match self {
            Self::NoRoutes
            | Self::NoTarget
            | Self::UnknownOrigin
            | Self::VersionGone
            | Self::Deadline => NO_TARGET_RETRY_AFTER,
            Self::Unconfirmed | Self::KeyRemoved => UNCONFIRMED_RETRY_AFTER,
            Self::CannotLoad | Self::PromptTooLarge => MAX_FULL_RETRY_AFTER,
            // Another instance can take the request now.
            Self::Stopping => MIN_RETRY_AFTER,
            Self::Loading { remaining } | Self::Paused { remaining } => {
                remaining.max(MIN_RETRY_AFTER)
            }
            Self::Limited { wait } | Self::OverQuota { wait } | Self::NoCredit { wait } => {
                wait.max(MIN_RETRY_AFTER)
            }
            Self::Quarantined { remaining } => remaining.max(NO_TARGET_RETRY_AFTER),
            Self::TargetsFull { wait } => wait.clamp(MIN_RETRY_AFTER, MAX_FULL_RETRY_AFTER),
            Self::TargetRefused | Self::Unreachable => REFUSED_RETRY_AFTER,
        }
    }
}

/// Returns a response without a body.
pub fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = status;
    response
}

/// Returns a refusal with a `Retry-After` header.
pub fn refusal_response(after: Duration) -> Response<Body> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.2}", after.as_secs_f64());
    if let Ok(seconds) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// Returns the response that forwards a target's full answer to the caller.
pub fn answer_response(answer: FullAnswer) -> Response<Body> {
    Response::from_parts(answer.head, Body::Full(answer.body.into_iter()))
}
