//! What the request path asks of routing.

use std::time::Duration;

use buckthornmast_routing::attempt::{Decision, Dispatch, History};
use buckthornmast_target::{
    engine::Endpoint,
    error::{Cause, Error},
};
use buckthornmast_types::{artifact::Artifact, id, time::Point};
use smallvec::SmallVec;
use snafu::Snafu;

/// Targets that were tried for one request.
pub type Tried = SmallVec<[id::Target; 4]>;

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub enum Need<'a> {
    /// Target with an artifact, or with another version of it while the declared one is not ready.
    Artifact {
        /// Artifact.
        artifact: &'a Artifact,
        /// Whether only this version will do, because an answer has begun with it.
        exact: bool,
        /// Hash of the start of the conversation, for prefix caches.
        prefix: u64,
    },
    /// Target of a plain service.
    Service {
        /// Service.
        service: &'a id::Service,
        /// Calls that one target works on at once.
        concurrency: u32,
    },
}

/// Request for admission.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// Team, or `None` for a plain service.
    pub team: Option<&'a id::Team>,
    /// Name of the model or service, which has a queue of its own.
    pub name: &'a str,
    /// Priority, higher first.
    pub priority: u8,
    /// Tokens of the answer at the most; 0 for a plain service.
    pub tokens: u32,
    /// Time at which the caller stops waiting.
    pub deadline: Point,
}

/// Reason why a request is not admitted.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{reason}"))]
pub struct Refused {
    /// Reason in words.
    pub reason: String,
    /// When to come back.
    pub retry_after: Duration,
}

impl Refused {
    /// Returns the refusal of a request that no target can take.
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
    /// Where it is reached.
    pub endpoint: Endpoint,
    /// Artifact that will answer; `None` for a plain service.
    pub artifact: Option<Artifact>,
}

/// How a dispatch ended.
#[derive(Debug, Clone, Copy)]
pub enum Report<'a> {
    /// The target answered.
    Answered {
        /// Time to the first token, or to the whole answer of a plain service.
        first: Duration,
        /// Time to the end.
        total: Duration,
    },
    /// The dispatch failed.
    Failed {
        /// Error.
        error: &'a Error,
    },
    /// The caller went away or its deadline passed.
    Abandoned,
}

/// Question what comes after a failed dispatch.
#[derive(Debug, Clone, Copy)]
pub struct Retry<'a> {
    /// All failed dispatches so far.
    pub history: &'a History,
    /// Whether the request may be run twice.
    pub repeatable: bool,
    /// Time at which the caller stops waiting.
    pub deadline: Point,
}

/// Returns how far a failed dispatch got, for the decision on a further one.
pub fn dispatch_of(error: &Error, tokens: usize) -> Dispatch {
    match error.cause {
        Cause::NotSent { .. } | Cause::Local { .. } => Dispatch::NotSent,
        Cause::Refused { .. } => Dispatch::Refused,
        _ if tokens > 0 => Dispatch::Streaming {
            next: tokens as u64,
        },
        _ => Dispatch::Sent,
    }
}

/// Routing as the request path sees it.
pub trait Router {
    /// Place in the system that a request holds until it is dropped.
    type Permit;

    /// Admits a request or says when to come back.
    fn admit(&self, ask: &Ask<'_>) -> Result<Self::Permit, Refused>;

    /// Chooses a target; the choice counts as in flight until [`Router::done`].
    fn pick(&self, need: &Need<'_>, tried: &Tried) -> Option<Pick>;

    /// Takes back the place of a request for which no target was found. If a copy is being loaded and the
    /// deadline leaves room, waits for it and returns a new place.
    fn wait(
        &self,
        permit: Self::Permit,
        ask: &Ask<'_>,
        need: &Need<'_>,
    ) -> Result<Self::Permit, Refused> {
        let _ = (permit, ask, need);
        Err(Refused::no_target())
    }

    /// Returns whether a chosen target still reports.
    fn is_alive(&self, pick: &Pick) -> bool;

    /// Ends a choice.
    fn done(&self, pick: &Pick, report: &Report<'_>);

    /// Decides what comes after a failed dispatch.
    fn decide(&self, retry: &Retry<'_>) -> Decision;
}
