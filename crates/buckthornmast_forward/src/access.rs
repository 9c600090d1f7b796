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

use crate::{
    body::Body,
    context::{Context, millis},
    exchange::{Failure, failure},
    forwarder::Forwarder,
    mapping::{Mapping, RequestId},
    refusal::{Refusal, empty_response, refusal_response},
    state::Routes,
    stats::Ended,
    supply::Supply,
};

/// Cause of an attempt that was not made since the key of the caller may have been taken away.
const NO_KEY: &str = "the key of the caller is not confirmed any more";

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
        let age_ms = state.lease.age(now).map(millis);
        let version = routes.document.version.0;
        let Some(Holder { name, priority }) = holder else {
            let reason = match credential {
                Credential::Missing => "missing",
                Credential::Malformed => "malformed",
                Credential::Key(_) => "unknown",
            };
            count_refusal(reason);
            if state.lease.is_current(now) {
                log::info!(step = "key", request:% = request, route:% = route.name, version = version, age_ms:? = age_ms; "request refused: its key is {reason}");
                return Err(Box::new(empty_response(StatusCode::UNAUTHORIZED)));
            }
            log::info!(step = "key", request:% = request, route:% = route.name, version = version, age_ms:? = age_ms; "request refused: its key is {reason}, but the routes in force may be out of date");
            return Err(Box::new(refusal_response(
                Refusal::Unconfirmed.retry_after(),
            )));
        };
        if !state.lease.permits(now) {
            count_refusal("unconfirmed");
            log::info!(step = "key", request:% = request, route:% = route.name, organisation:% = name, version = version, age_ms:? = age_ms; "request refused: {}", Refusal::Unconfirmed.as_str());
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

    /// Checks again the key of a request that has waited. The routes may have changed, and the lease may have ended.
    pub(crate) fn recheck_key(&self, context: &Context) -> Result<(), Refusal> {
        let (Some(key), Some(organisation)) = (&context.key, &context.organisation) else {
            return Ok(());
        };
        if context.has_begun() {
            return Ok(());
        }
        let state = self.state.borrow();
        let now = boot_time();
        let routes = state.routes();
        let holder = routes.as_ref().and_then(|routes| routes.ring.find(key));
        let refusal = if holder.is_none_or(|holder| holder.name != *organisation) {
            Refusal::KeyRemoved
        } else if !state.lease.permits(now) {
            Refusal::Unconfirmed
        } else {
            return Ok(());
        };
        count_refusal(match refusal {
            Refusal::KeyRemoved => "removed",
            _ => "unconfirmed",
        });
        log::info!(step = "key", request:% = context.head.request, organisation:% = organisation, version = state.version().map_or(0, |version| version.0), age_ms:? = state.lease.age(now).map(millis); "request is not sent: {}", refusal.as_str());
        Err(refusal)
    }

    /// Returns an error if the key of the caller may have been taken away since the request was admitted.
    pub(crate) fn check_key(&self, context: &Context) -> Result<(), (Failure, Ended)> {
        let checked = self.recheck_key(context);
        checked.map_err(|_| (failure(Dispatch::NotSent, NO_KEY), Ended::Abandoned))
    }
}
