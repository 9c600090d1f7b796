//! Interface between the request path and routing.

use std::time::Duration;

use buckthornmast_routing::attempt::{Decision, Dispatch, History};
use buckthornmast_target::{
    engine::Endpoint,
    error::{Cause, Error},
};
use buckthornmast_types::{artifact::Artifact, id, time::Point};
use smallvec::SmallVec;
use snafu::Snafu;

/// Targets that were already tried for one request.
pub type TriedTargets = SmallVec<[id::Target; 4]>;

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub enum Need<'a> {
    /// Target with an artifact, or with another version of it while the declared one is not ready.
    Artifact {
        /// Declared artifact, or the one that generated the first part of the answer.
        artifact: &'a Artifact,
        /// Whether only this version is acceptable, because it generated the first part of the answer.
        is_exact: bool,
        /// Hash of the start of the conversation, for affinity to prefix caches.
        first_message_hash: u64,
    },
    /// Target of a plain service.
    Service {
        /// Name of the service.
        service: &'a id::Service,
        /// Maximum number of concurrent calls per target.
        concurrency: u32,
    },
}

/// Request for admission.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// Team, or `None` for a plain service.
    pub team: Option<&'a id::Team>,
    /// Name of the model or service. Each name has its own queue.
    pub name: &'a str,
    /// Priority from 0 to 9, higher first.
    pub priority: u8,
    /// Maximum number of tokens in the answer; 0 for a plain service.
    pub tokens: u32,
    /// Time at which the caller stops waiting.
    pub deadline: Point,
}

/// Reason why a request is not admitted.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{reason}"))]
pub struct Rejection {
    /// Human-readable reason.
    pub reason: String,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

impl Rejection {
    /// Returns the rejection of a request for whose model no target is ready.
    pub fn no_target() -> Self {
        Self {
            reason: "no target with the model is ready".to_owned(),
            retry_after: Duration::from_secs(1),
        }
    }
}

/// Chosen target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Endpoint of the target.
    pub endpoint: Endpoint,
    /// Artifact that serves the request; `None` for a plain service.
    pub artifact: Option<Artifact>,
}

/// How a dispatch ended.
#[derive(Debug, Clone, Copy)]
pub enum DispatchOutcome<'a> {
    /// The target answered.
    Answered {
        /// Time to the first token, or to the whole answer of a plain service.
        first: Duration,
        /// Time to the end.
        total: Duration,
    },
    /// The dispatch failed.
    Failed {
        /// Error of the dispatch.
        error: &'a Error,
    },
    /// The caller disconnected or its deadline passed.
    Abandoned,
}

/// Input to the decision on what follows a failed dispatch.
#[derive(Debug, Clone, Copy)]
pub struct Retry<'a> {
    /// All failed dispatches so far.
    pub history: &'a History,
    /// Whether the request may be run twice.
    pub is_repeatable: bool,
    /// Time at which the caller stops waiting.
    pub deadline: Point,
}

/// Returns how far a failed dispatch got, which decides whether another one is allowed.
pub fn dispatch_progress(error: &Error, tokens: usize) -> Dispatch {
    match error.cause {
        Cause::NotSent { .. } | Cause::LocalResource { .. } => Dispatch::NotSent,
        Cause::Refused { .. } => Dispatch::Refused,
        _ if tokens > 0 => Dispatch::Streaming {
            next: tokens as u64,
        },
        _ => Dispatch::Sent,
    }
}

/// Routing decisions for the request path.
pub trait Router {
    /// Admission permit. An admitted request counts as in progress until its permit is dropped.
    type Permit;

    /// Admits a request, or refuses it with the time after which to retry.
    fn admit(&self, request: &RouteRequest<'_>) -> Result<Self::Permit, Rejection>;

    /// Chooses a target. The request counts as in flight there until [`Router::finish_dispatch`].
    fn pick(&self, need: &Need<'_>, tried: &TriedTargets) -> Option<Pick>;

    /// Releases the permit of a request for which no target was found. If a copy is being loaded and the
    /// deadline leaves enough time, waits for the copy and returns a new permit.
    fn wait_for_copy(
        &self,
        permit: Self::Permit,
        request: &RouteRequest<'_>,
        need: &Need<'_>,
    ) -> Result<Self::Permit, Rejection> {
        let _ = (permit, request, need);
        Err(Rejection::no_target())
    }

    /// Returns whether a chosen target still sends reports.
    fn is_alive(&self, pick: &Pick) -> bool;

    /// Returns whether another target could go on if the dispatch in progress failed now. `tried` contains its target, and
    /// the history is the one that it would leave. Nothing is recorded.
    fn can_move(&self, need: &Need<'_>, tried: &TriedTargets, retry: &Retry<'_>) -> bool;

    /// Ends a dispatch to a chosen target and records how it ended.
    fn finish_dispatch(&self, pick: &Pick, outcome: &DispatchOutcome<'_>);

    /// Decides what follows a failed dispatch.
    fn decide(&self, retry: &Retry<'_>) -> Decision;
}
