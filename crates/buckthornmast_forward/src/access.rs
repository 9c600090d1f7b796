//! Which callers may use a route.
//!
//! A route that isn't public needs a key, if the routes in force name organisations. The key is checked when the request
//! arrives, and again before each attempt at a target, since it may have been taken away while the request waited. A
//! stream that has begun is not cut off: it is a request of the time at which the key was still held.
//!
//! An answer that a key is unknown is only given where the routes in force can't be behind. Elsewhere the request is refused
//! as not run, as are requests with known keys once the lease has ended.

use std::time::Duration;

use buckthornmast_organisation::ring::{Credential, Digest, Holder};
use buckthornmast_routes::document::Route;
use buckthornmast_routing::attempt::Dispatch;
use buckthornmast_types::{id, time::Point};
use http::{HeaderMap, Response, StatusCode};
use rustix::time::{ClockId, clock_gettime};
use tokio::time::sleep;

use crate::{
    body::Body,
    context::{Context, millis},
    exchange::{Failure, failure},
    forwarder::Forwarder,
    mapping::{Mapping, RequestId},
    refusal::{Refusal, empty_response, refusal_response},
    selection::Chosen,
    state::Routes,
    stats::Ended,
    supply::Supply,
};

/// Cause of an attempt that was not made since the key of the caller may have been taken away.
const NO_KEY: &str = "the key of the caller is not confirmed any more";

/// Interval at which the key of a request that waits for a target is checked. It bounds the time that a caller waits for
/// nothing; directly before each attempt, the key is checked again.
const KEY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Returns the time since the machine was started, with the time in which it was suspended. Changes of the time of day don't
/// move it.
pub fn boot_time() -> Point {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = Duration::from_secs(u64::try_from(time.tv_sec).unwrap_or_default());
    let nanos = Duration::from_nanos(u64::try_from(time.tv_nsec).unwrap_or_default());
    Point::ZERO + seconds + nanos
}

/// What the routes say about a caller.
#[derive(Debug, Default)]
pub(crate) struct Access {
    /// Whether the routes name organisations.
    pub(crate) is_checked: bool,
    /// Key, if the route needs one.
    pub(crate) key: Option<Digest>,
    /// Organisation that holds it.
    pub(crate) organisation: Option<id::Organisation>,
    /// Priority of the organisation.
    pub(crate) priority: Option<u32>,
}

/// Key under which a request was admitted.
#[derive(Debug, Clone)]
pub(crate) struct HeldKey {
    /// Request.
    pub(crate) request: RequestId,
    /// Key.
    pub(crate) key: Digest,
    /// Organisation that held it.
    pub(crate) organisation: id::Organisation,
}

fn count_refusal(reason: &'static str) {
    metrics::counter!("buckthornmast_key_refusals_total", "reason" => reason).increment(1);
}

impl<M: Mapping, S: Supply> Forwarder<M, S> {
    /// Checks the key of a caller.
    pub(crate) fn check_access(
        &self,
        routes: &Routes,
        route: &Route,
        headers: &HeaderMap,
        request: &RequestId,
    ) -> Result<Access, Box<Response<Body>>> {
        if routes.document.organisations.is_empty() {
            return Ok(Access::default());
        }
        if route.is_public {
            return Ok(Access {
                is_checked: true,
                ..Access::default()
            });
        }
        let now = boot_time();
        let credential = self.mapping.decode_credential(headers);
        let holder = credential.key().and_then(|key| routes.ring.find(&key));
        let state = self.state.borrow();
        let Some(Holder { name, priority }) = holder else {
            drop(state);
            return Err(self.answer_unknown(routes, route, credential, request));
        };
        if !state.lease.permits(now) {
            count_refusal("unconfirmed");
            log::info!(step = "key", request:% = request, route:% = route.name, organisation:% = name, version = routes.document.version.0, age_ms = state.lease.age(now).map(millis); "request refused: {}", Refusal::Unconfirmed.as_str());
            return Err(Box::new(refusal_response(
                Refusal::Unconfirmed.retry_after(),
            )));
        }
        metrics::counter!("buckthornmast_organisation_requests_total", "organisation" => name.as_str().to_owned())
            .increment(1);
        Ok(Access {
            is_checked: true,
            key: credential.key(),
            organisation: Some(name.clone()),
            priority: *priority,
        })
    }

    /// Returns the answer to a request whose key isn't in the routes in force.
    fn answer_unknown(
        &self,
        routes: &Routes,
        route: &Route,
        credential: Credential,
        request: &RequestId,
    ) -> Box<Response<Body>> {
        let reason = match credential {
            Credential::Missing => "missing",
            Credential::Malformed => "malformed",
            Credential::Key(_) => "unknown",
        };
        count_refusal(reason);
        let state = self.state.borrow();
        let now = boot_time();
        let age_ms = state.lease.age(now).map(millis);
        let version = routes.document.version.0;
        if state.lease.is_current(now) {
            log::info!(step = "key", request:% = request, route:% = route.name, version = version, age_ms = age_ms; "request refused: its key is {reason}");
            return Box::new(empty_response(StatusCode::UNAUTHORIZED));
        }
        log::info!(step = "key", request:% = request, route:% = route.name, version = version, age_ms = age_ms; "request refused: its key is {reason}, but the routes in force may be out of date");
        Box::new(refusal_response(Refusal::Unconfirmed.retry_after()))
    }

    /// Checks again the key of a request that has waited. The routes may have changed, and the lease may have ended.
    pub(crate) fn recheck_key(&self, context: &Context) -> Result<(), Refusal> {
        // A stream that has begun is not cut off.
        match context.held_key().filter(|_| !context.has_begun()) {
            Some(held) => self.check_held(&held),
            None => Ok(()),
        }
    }

    fn check_held(&self, held: &HeldKey) -> Result<(), Refusal> {
        let HeldKey {
            request,
            key,
            organisation,
        } = held;
        let state = self.state.borrow();
        let now = boot_time();
        let routes = state.routes();
        let holder = routes.as_ref().and_then(|routes| routes.ring.find(key));
        let (refusal, reason) = if holder.is_none_or(|holder| holder.name != *organisation) {
            (Refusal::KeyRemoved, "removed")
        } else if !state.lease.permits(now) {
            (Refusal::Unconfirmed, "unconfirmed")
        } else {
            return Ok(());
        };
        count_refusal(reason);
        log::info!(step = "key", request:% = request, organisation:% = organisation, version = state.version().map_or(0, |version| version.0), age_ms = state.lease.age(now).map(millis); "request is not sent: {}", refusal.as_str());
        Err(refusal)
    }

    /// Selects a target, unless the key of the request may not be honoured any more before one is found.
    pub(crate) async fn select_with_key(&self, context: &mut Context) -> Result<Chosen, Refusal> {
        self.recheck_key(context)?;
        let held = context.held_key();
        tokio::select! {
            biased;
            selected = self.select_target(context) => selected,
            refusal = self.key_end(held) => Err(refusal),
        }
    }

    /// Waits until a key may not be honoured any more. Never returns for a request that needs none.
    async fn key_end(&self, held: Option<HeldKey>) -> Refusal {
        let Some(held) = held else {
            return std::future::pending().await;
        };
        loop {
            sleep(KEY_CHECK_INTERVAL).await;
            if let Err(refusal) = self.check_held(&held) {
                return refusal;
            }
        }
    }

    /// Returns an error if the key of the caller may have been taken away since the request was admitted.
    pub(crate) fn check_key(&self, context: &Context) -> Result<(), (Failure, Ended)> {
        let checked = self.recheck_key(context);
        checked.map_err(|_| (failure(Dispatch::NotSent, NO_KEY), Ended::Abandoned))
    }
}
