//! Handling of a request from its route to its final answer.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use buckthornmast_routes::{document::Kind, table};
use buckthornmast_routing::attempt::{self, Decision, Dispatch, History, Known};
use buckthornmast_types::{
    id,
    outcome::Run,
    time::{Clock, Point, System},
};
use bytes::Bytes;
use http::{Request, Response, StatusCode, header, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use smallvec::SmallVec;
use tokio::time::timeout;

use crate::{
    body::Body,
    exchange::{Failure, Reply},
    mapping::Mapping,
    place::draw_of,
    refusal::{NO_TARGET_RETRY, Refusal, passed_on, plain, refused},
    state::{Member, State},
    supply::Supply,
    work::{End, Outcome, Work, millis},
};

/// Maximum number of dispatches of one request, including those that reached no target.
const MAX_DISPATCHES: u32 = 5;

/// Maximum wait for routes after a start. An election and the answers of targets take about a second.
const ROUTES_WAIT: Duration = Duration::from_millis(1500);

/// Forwarder of requests.
#[derive(Debug)]
pub struct Forwarder<M, S> {
    /// Translation of the platform's headers.
    pub mapping: M,
    /// Source of models and adapters.
    pub supply: S,
    /// Clock.
    pub clock: System,
    /// Failure domain of this instance.
    pub home: id::Domain,
    /// State of this instance.
    pub state: Rc<RefCell<State>>,
}

/// Next step for a request after a failed attempt.
enum Next {
    Again,
    Give(Response<Body>),
}

impl<M: Mapping, S: Supply> Forwarder<M, S> {
    /// Handles a request and returns the response.
    pub async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let received = self.clock.now();
        let (parts, incoming) = request.into_parts();
        self.wait_for_routes().await;
        let mut work = match self.admit(parts, received) {
            Ok(work) => work,
            Err(response) => return *response,
        };
        let mut outcome = Outcome::new(&work);
        if let Err(response) = self.read_body(&mut work, incoming, &mut outcome).await {
            return response;
        }
        self.run(work, outcome).await
    }

    /// Waits for a short time if no routes are known, as after a start. A refusal with `Retry-After` would cost the
    /// caller more time.
    async fn wait_for_routes(&self) {
        let changed = {
            let state = self.state.borrow();
            if state.version().is_some() {
                return;
            }
            Rc::clone(&state.changed)
        };
        let known = async {
            loop {
                let notified = changed.notified();
                if self.state.borrow().version().is_some() {
                    return;
                }
                notified.await;
            }
        };
        // The calling function checks whether there are routes.
        let _ = timeout(ROUTES_WAIT, known).await;
    }

    /// Decodes the head of a request and finds its route and service.
    fn admit(&self, parts: request::Parts, received: Point) -> Result<Work, Box<Response<Body>>> {
        let Some(routes) = self.state.borrow().routes() else {
            let refusal = Refusal::NoRoutes;
            log::info!(step = "route", cause:% = refusal.as_str(); "request refused before routing");
            return Err(Box::new(refused(refusal.retry_after())));
        };
        let host = parts.headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        let version = routes.document.version;
        let Some(route) = routes.table.find(host, parts.uri.path()) else {
            log::info!(step = "route", host:% = host, path:% = parts.uri.path(), version = version.0; "no route matches the host and path of the request");
            return Err(Box::new(plain(StatusCode::NOT_FOUND)));
        };
        let mut head = self.mapping.decode(&parts).map_err(|error| {
            log::info!(step = "decode", route:% = route.name; "cannot decode the head of a request: {error}");
            Box::new(plain(StatusCode::BAD_REQUEST))
        })?;
        let draw = draw_of(&head.request.0);
        let Some(service) = table::pick_service(route, draw) else {
            return Err(Box::new(refused(NO_TARGET_RETRY)));
        };
        let of_service = routes.document.services.get(service);
        if of_service.is_none_or(|service| service.pool.is_none()) {
            // A plain service runs no models, even if the caller names one.
            head.generation = None;
        }
        let timeout = head.deadline.unwrap_or(route.timeout).min(route.timeout);
        Ok(Work {
            route: Arc::clone(route),
            service: service.clone(),
            version,
            received,
            until: received + timeout,
            history: History::default(),
            not_run: 0,
            tried: SmallVec::new(),
            waited: Duration::ZERO,
            body: Bytes::new(),
            parts,
            head,
        })
    }

    async fn read_body(
        &self,
        work: &mut Work,
        incoming: Incoming,
        outcome: &mut Outcome,
    ) -> Result<(), Response<Body>> {
        let routes = self.state.borrow().routes();
        let most = routes.map_or(0, |routes| routes.document.limits.body);
        let left = work.left(self.clock.now());
        let (status, cause) = match timeout(left, Limited::new(incoming, most).collect()).await {
            Ok(Ok(body)) => {
                work.body = body.to_bytes();
                return Ok(());
            }
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
            }
            Ok(Err(_)) => (StatusCode::BAD_REQUEST, "the body broke"),
            Err(_) => (
                StatusCode::REQUEST_TIMEOUT,
                "the body did not arrive in time",
            ),
        };
        outcome.end(End::Refused, status.as_u16(), cause);
        Err(plain(status))
    }

    /// Dispatches a request until it is answered, refused or failed.
    async fn run(self: Rc<Self>, mut work: Work, mut outcome: Outcome) -> Response<Body> {
        let service = work.service.clone();
        let now = self.clock.now();
        self.state.borrow_mut().budget(&service, now).request();
        loop {
            let chosen = match self.place(&mut work).await {
                Ok(chosen) => chosen,
                Err(refusal) => return self.refuse(&work, &mut outcome, refusal),
            };
            outcome.dispatched(&chosen);
            let patience = self
                .first_patience(&work)
                .map(|patience| patience + chosen.basis.wait);
            let after = work.head.last_event;
            let attempt = self.attempt(&work, &chosen.member, chosen.rank, after, patience);
            let failure = match attempt.await {
                Ok(Reply::Whole(whole)) => {
                    outcome.passed();
                    outcome.end(End::Answered, whole.head.status.as_u16(), "");
                    return passed_on(whole);
                }
                Ok(Reply::Stream(flow)) => {
                    outcome.passed();
                    return self.stream(work, *flow, outcome);
                }
                Err(failure) => failure,
            };
            match self.after_failure(&mut work, &mut outcome, &chosen.member, failure) {
                Next::Again => {}
                Next::Give(response) => return response,
            }
        }
    }

    /// Decides on the next step after a failed attempt.
    fn after_failure(
        &self,
        work: &mut Work,
        outcome: &mut Outcome,
        member: &Member,
        failure: Failure,
    ) -> Next {
        let decision = self.decide(work, &member.target, &failure);
        let Failure {
            dispatch,
            cause,
            answer,
        } = failure;
        log::info!(
            step = "attempt",
            request:% = work.head.request,
            target:% = member.target,
            dispatch:? = dispatch,
            cause:% = cause,
            decision:? = decision;
            "attempt failed"
        );
        match (decision, answer) {
            (Decision::Retry | Decision::Resume { .. }, _) => Next::Again,
            (Decision::End { .. }, Some(answer)) => {
                outcome.end(End::Answered, answer.head.status.as_u16(), cause);
                Next::Give(passed_on(*answer))
            }
            (Decision::End { run: Run::No, .. }, None) => {
                let refusal = if dispatch == Dispatch::NotSent {
                    Refusal::Unreachable
                } else {
                    Refusal::Refused
                };
                Next::Give(self.refuse(work, outcome, refusal))
            }
            (Decision::End { .. }, None) => Next::Give(self.fail(work, outcome, cause)),
        }
    }

    /// Adds a failed attempt to the history and decides whether another one follows.
    pub fn decide(&self, work: &mut Work, target: &id::Target, failure: &Failure) -> Decision {
        let now = self.clock.now();
        work.history.add(failure.dispatch);
        work.tried.push(target.clone());
        if matches!(failure.dispatch, Dispatch::NotSent | Dispatch::Refused) {
            work.not_run += 1;
        }
        let members = self.state.borrow().members(&work.service);
        let generation = work.head.generation.as_ref();
        let mut serving = members.iter().filter(|member| member.serves(generation));
        let target_left = serving.any(|member| !work.tried.contains(&member.target));
        let known = Known {
            repeatable: work.route.kind.is_repeatable(),
            resumable: matches!(
                work.route.kind,
                Kind::Stream {
                    resumable: true,
                    ..
                }
            ),
            target_left,
            most: (work.route.attempts + work.not_run).min(MAX_DISPATCHES),
            expected: Duration::ZERO,
            deadline: work.until,
        };
        attempt::decide(&work.history, &known, now, || {
            // Nothing arrived at the target, so the attempt doesn't count against the retry budget.
            failure.dispatch == Dispatch::NotSent
                || self.state.borrow_mut().budget(&work.service, now).take(now)
        })
    }

    fn refuse(&self, work: &Work, outcome: &mut Outcome, refusal: Refusal) -> Response<Body> {
        if work.history.run() != Run::No {
            return self.fail(work, outcome, refusal.as_str());
        }
        log::debug!(step = "refuse", request:% = work.head.request, waited_ms = millis(work.waited); "{}", refusal.as_str());
        outcome.end(
            End::Refused,
            StatusCode::SERVICE_UNAVAILABLE.as_u16(),
            refusal.as_str(),
        );
        refused(refusal.retry_after())
    }

    /// Returns the error response for a request that may have run.
    fn fail(&self, work: &Work, outcome: &mut Outcome, cause: &'static str) -> Response<Body> {
        let status = if self.clock.now() >= work.until {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::BAD_GATEWAY
        };
        outcome.end(End::Failed, status.as_u16(), cause);
        plain(status)
    }
}
