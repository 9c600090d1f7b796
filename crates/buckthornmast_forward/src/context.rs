//! A caller's request in progress, and the log line and metrics at its end.

use std::{
    cell::{OnceCell, RefCell},
    sync::Arc,
    time::Duration,
};

use buckthornmast_limit::statement::{Grant, Key};
use buckthornmast_organisation::ring::Digest;
use buckthornmast_origin::origin::Origin;
use buckthornmast_quarantine::part::{self, Part};
use buckthornmast_routes::{document::Route, register::Revision};
use buckthornmast_routing::attempt::History;
use buckthornmast_types::{id, time::Point};
use bytes::Bytes;
use http::request;
use smallvec::SmallVec;

use crate::{
    access::HeldKey,
    continuation, identity,
    mapping::{Caller, Generation, Head},
    quota::Charged,
    selection::{Chosen, Inputs},
    supply::Item,
    wait_limit,
};

/// Maximum number of attempts of one request, including those that reached no target.
const MAX_ATTEMPTS: u32 = 5;

/// Permission to send a request to a target that takes requests at a limited rate only.
#[derive(Debug, Clone)]
pub struct Held {
    /// Target.
    pub key: Key,
    /// Grant of the account, unless this instance was out of its reach.
    pub grant: Option<Grant>,
    /// When the permission ends.
    pub expires_at: Point,
}

/// Request in progress with all decisions about it.
#[derive(Debug)]
pub struct Context {
    /// Decoded request head.
    pub head: Head,
    /// Request head as it was received.
    pub parts: request::Parts,
    /// Body.
    pub body: Bytes,
    /// Route.
    pub route: Arc<Route>,
    /// Version of the routes that the route belongs to.
    pub version: Revision,
    /// Service.
    pub service: id::Service,
    /// Whether the routes name organisations, so that nothing that the caller states about itself is passed on.
    pub is_checked: bool,
    /// Key of the caller, if the route needs one.
    pub key: Option<Digest>,
    /// Organisation that the caller belongs to, if the route needs a key.
    pub organisation: Option<id::Organisation>,
    /// Priority of the organisation or, without one, of the route. 0 is the most urgent.
    pub priority: u32,
    /// Credit that the request was charged, if its organisation has a quota.
    pub charge: Option<Charged>,
    /// When the request head arrived.
    pub received: Point,
    /// When the final answer is due.
    pub deadline: Point,
    /// Failed attempts.
    pub history: History,
    /// Number of attempts that certainly didn't run the request.
    pub not_run: u32,
    /// Parts of the prompt that other requests may share, which may be quarantined.
    pub shared_parts: part::Set,
    /// Identity of the request, once it was needed.
    pub identity: OnceCell<Part>,
    /// Version that began its stream.
    pub origin: Origin,
    /// Whether the request may be sent although its parts are quarantined.
    pub is_trial: bool,
    /// Permission for the attempt that is next or in progress, if its target has a limit.
    pub held: Option<Held>,
    /// Targets that the request has been dispatched to.
    pub tried: SmallVec<[id::Target; 2]>,
    /// Targets among them that were left during the stream only because they were silent.
    pub silent: SmallVec<[id::Target; 1]>,
    /// Time that the request waited for a target.
    pub waited: Duration,
    /// When the caller was sent the last events, once its stream has begun.
    pub last_event_at: Option<Point>,
    /// Last statement of a target that its stream has no further event.
    pub end: RefCell<Option<continuation::End>>,
}

impl Context {
    /// Returns the model or adapter that the request needs.
    pub fn item(&self) -> Option<Item> {
        let generation = self.head.generation.as_ref()?;
        Some(Item {
            service: self.service.clone(),
            model: generation.model.clone(),
            adapter: generation.adapter.clone(),
        })
    }

    /// Returns the key under which the request was admitted, if its route needs one.
    pub(crate) fn held_key(&self) -> Option<HeldKey> {
        Some(HeldKey {
            request: self.head.request.clone(),
            key: self.key?,
            organisation: self.organisation.clone()?,
        })
    }

    /// Returns what a target is told about the caller.
    pub fn caller(&self) -> Caller<'_> {
        match &self.organisation {
            Some(organisation) => Caller::Known(organisation),
            None if self.is_checked => Caller::Anonymous,
            None => Caller::Unchecked,
        }
    }

    /// Returns the ids of the parts of the prompt that other requests may share, for the log.
    pub fn shared_part_names(&self) -> String {
        let generation = self.head.generation.as_ref();
        let parts = generation.map_or(&[][..], Generation::shared_parts);
        let names: SmallVec<[String; 4]> = parts.iter().map(ToString::to_string).collect();
        names.join(",")
    }

    /// Returns the identity of the request. Its body must have been read.
    pub fn identity(&self) -> Part {
        *self.identity.get_or_init(|| {
            identity::of_request(&self.service, &self.parts, &self.shared_parts, &self.body)
        })
    }

    /// Returns the maximum number of attempts, including those that certainly didn't run the request.
    pub fn max_attempts(&self) -> u32 {
        (self.route.attempts + self.not_run).min(MAX_ATTEMPTS)
    }

    /// Returns whether another attempt may follow the one in progress, whose outcome would be unknown.
    pub fn may_try_again(&self) -> bool {
        self.route.kind.is_repeatable() && self.history.attempts() + 1 < self.max_attempts()
    }

    /// Allows one of the targets that were left because they were silent once more, if it still serves the request.
    /// Returns whether there is one.
    pub fn return_to_silent(&mut self, is_serving: impl Fn(&id::Target) -> bool) -> bool {
        let Some(index) = self.silent.iter().position(is_serving) else {
            return false;
        };
        let target = self.silent.remove(index);
        self.tried.retain(|tried| *tried != target);
        true
    }

    /// Returns whether the caller was sent the start of a stream, so that the request can't be refused any more.
    pub fn has_begun(&self) -> bool {
        self.last_event_at.is_some()
    }

    /// Returns whether the request may be sent to this target although it has a limit.
    pub fn may_send_to(
        &self,
        target: &id::Target,
        incarnation: id::Incarnation,
        now: Point,
    ) -> bool {
        self.held.as_ref().is_some_and(|held| {
            held.key.0 == *target && held.key.1 == incarnation && now <= held.expires_at
        })
    }

    /// Returns the time left until the final answer is due.
    pub fn time_left(&self, now: Point) -> Duration {
        self.deadline.since(now)
    }

    /// Returns the time until which the caller waits for the answer to begin or, once its stream has begun, to go on.
    pub fn next_event_deadline(&self) -> Point {
        let waits_from = self.last_event_at.unwrap_or(self.received);
        let wait_limit = wait_limit::for_caller(&self.route);
        wait_limit.map_or(self.deadline, |wait_limit| {
            self.deadline.min(waits_from + wait_limit)
        })
    }

    /// Returns whether an answer that begins at this time meets the objective. A stream that has begun is on time as
    /// long as its caller waits for the next event.
    pub fn is_on_time(&self, at: Point) -> bool {
        match self.last_event_at {
            None => at <= self.received + self.route.objective,
            Some(_) => at <= self.next_event_deadline(),
        }
    }
}

/// How a request ended, for the log and the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The target's answer was forwarded in full.
    Answered,
    /// The request was refused and has not run.
    Refused,
    /// The request failed and may have run.
    Failed,
    /// The caller disconnected.
    Disconnected,
}

impl End {
    /// Returns the name that logs and metrics use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Disconnected => "left",
        }
    }
}

/// Reports the end of a request to the log and the metrics. If it is dropped before a report, the caller disconnected.
#[derive(Debug)]
pub struct Reporter {
    request: Box<str>,
    route: Arc<Route>,
    organisation: Option<id::Organisation>,
    version: Revision,
    received: std::time::Instant,
    first_event_time: Option<Duration>,
    last_event_at: Option<std::time::Instant>,
    max_gap: Duration,
    model: String,
    target: Option<id::Target>,
    basis: Inputs,
    attempts: u32,
    is_reported: bool,
}

impl Reporter {
    /// Starts the measurement at the arrival of the request.
    pub fn new(context: &Context) -> Self {
        Self {
            request: context.head.request.0.clone(),
            route: Arc::clone(&context.route),
            organisation: context.organisation.clone(),
            version: context.version,
            received: std::time::Instant::now(),
            first_event_time: None,
            last_event_at: None,
            max_gap: Duration::ZERO,
            model: context
                .item()
                .map(|item| item.to_string())
                .unwrap_or_default(),
            target: None,
            basis: Inputs::default(),
            attempts: 0,
            is_reported: false,
        }
    }

    /// Records a dispatch.
    pub fn record_dispatch(&mut self, chosen: &Chosen) {
        self.target = Some(chosen.member.target.clone());
        self.basis = chosen.basis;
        self.attempts += 1;
    }

    /// Records that an event, or the whole answer, was forwarded.
    pub fn record_event(&mut self) {
        let now = std::time::Instant::now();
        self.first_event_time
            .get_or_insert_with(|| now.duration_since(self.received));
        if let Some(last) = self.last_event_at.replace(now) {
            self.max_gap = self.max_gap.max(now.duration_since(last));
        }
    }

    /// Reports the end of the request, unless it was reported before.
    pub fn end(&mut self, end: End, status: u16, cause: &str) {
        if std::mem::replace(&mut self.is_reported, true) {
            return;
        }
        let total_time = self.received.elapsed();
        let first = self.first_event_time.unwrap_or(total_time);
        let route = self.route.name.clone();
        metrics::counter!("buckthornmast_forwarded_total", "route" => route.clone(), "end" => end.as_str())
            .increment(1);
        metrics::histogram!("buckthornmast_forward_first_seconds", "route" => route)
            .record(first.as_secs_f64());
        log::info!(
            step = "forward",
            request:% = self.request,
            route:% = self.route.name,
            version = self.version.0,
            organisation:% = self.organisation.as_ref().map_or("", |organisation| organisation.as_str()),
            model:% = self.model,
            target:% = self.target.as_ref().map_or("", |target| target.as_str()),
            load:% = format!("{:.1}", self.basis.load),
            load_age_ms = self.basis.load_age.map_or(0, millis),
            wait_ms = millis(self.basis.wait),
            turn_ms = millis(self.basis.permit_wait),
            candidates = self.basis.candidates,
            attempts = self.attempts,
            end:% = end.as_str(),
            status = status,
            cause:% = cause,
            first_ms = millis(first),
            gap_ms = millis(self.max_gap),
            took_ms = millis(total_time);
            "request ended"
        );
    }
}

impl Drop for Reporter {
    fn drop(&mut self) {
        self.end(End::Disconnected, 0, "the caller disconnected");
    }
}

/// Returns whole milliseconds, for logs.
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
