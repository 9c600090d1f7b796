//! Handling of a request from its route to its final answer.

use std::{
    cell::{OnceCell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use buckthornmast_origin::origin::Origin;
use buckthornmast_routes::{document::Kind, table};
use buckthornmast_routing::attempt::{self, Conditions, Decision, Dispatch, History};
use buckthornmast_types::{
    id,
    outcome::Execution,
    time::{Clock, Point, System},
};
use bytes::Bytes;
use http::{Request, Response, StatusCode, header, request};
use hyper::body::Incoming;
use smallvec::SmallVec;
use tokio::time::timeout;

use crate::{
    body::Body,
    context::{Context, End, Reporter, millis},
    exchange::{Failure, Reply},
    limit::NO_GRANT,
    mapping::Mapping,
    refusal::{NO_TARGET_RETRY_AFTER, Refusal, answer_response, empty_response, refusal_response},
    selection::request_hash,
    state::{Member, State},
    supply::Supply,
};

/// Maximum wait for routes after a start. An election and the answers of targets take about a second.
const MAX_ROUTES_WAIT: Duration = Duration::from_millis(1500);

/// Forwarder of requests.
#[derive(Debug)]
pub struct Forwarder<M, S> {
    /// Translation of the platform's headers.
    pub mapping: M,
    /// Source of models and adapters.
    pub supply: S,
    /// Clock.
    pub clock: System,
    /// Name of this instance.
    pub instance: id::Instance,
    /// Failure domain of this instance.
    pub domain: id::Domain,
    /// State of this instance.
    pub state: Rc<RefCell<State>>,
}

/// Next step for a request after a failed attempt.
enum Next {
    Retry,
    Respond(Response<Body>),
}

impl<M: Mapping, S: Supply> Forwarder<M, S> {
    /// Handles a request and returns the response.
    pub async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let received = self.clock.now();
        let (parts, incoming) = request.into_parts();
        self.wait_for_routes().await;
        let mut context = match self.admit(parts, received) {
            Ok(context) => context,
            Err(response) => return *response,
        };
        let mut reporter = Reporter::new(&context);
        if let Err(response) = self.read_body(&mut context, incoming, &mut reporter).await {
            return response;
        }
        if self.exceeds_targets(&context) {
            // A target would refuse it as if it were full, after time for its prompt was booked there.
            return self.refuse(&context, &mut reporter, Refusal::PromptTooLarge);
        }
        if let Err(refusal) = self.find_origin(&mut context).await {
            return self.refuse(&context, &mut reporter, refusal);
        }
        if let Err(refusal) = self.charge(&mut context).await {
            return self.refuse(&context, &mut reporter, refusal);
        }
        self.run(context, reporter).await
    }

    /// Waits for a short time if no routes are known or their keys were never confirmed, as after a start. A refusal with `Retry-After` would cost the
    /// caller more time.
    async fn wait_for_routes(&self) {
        let changed = {
            let state = self.state.borrow();
            if state.is_prepared() {
                return;
            }
            Rc::clone(&state.changed)
        };
        let routes_known = async {
            loop {
                let notified = changed.notified();
                if self.state.borrow().is_prepared() {
                    return;
                }
                notified.await;
            }
        };
        // The calling function checks whether there are routes.
        let _ = timeout(MAX_ROUTES_WAIT, routes_known).await;
    }

    /// Decodes the head of a request and finds its route and service.
    fn admit(
        &self,
        parts: request::Parts,
        received: Point,
    ) -> Result<Context, Box<Response<Body>>> {
        let Some(routes) = self.state.borrow().routes() else {
            let refusal = Refusal::NoRoutes;
            log::info!(step = "route", cause:% = refusal.as_str(); "request refused before routing");
            return Err(Box::new(refusal_response(refusal.retry_after())));
        };
        let host = parts.headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        let version = routes.document.version;
        let Some(route) = routes.table.find(host, parts.uri.path()) else {
            log::info!(step = "route", host:% = host, path:% = parts.uri.path(), version = version.0; "no route matches the host and path of the request");
            return Err(Box::new(empty_response(StatusCode::NOT_FOUND)));
        };
        let mut head = self.mapping.decode(&parts).map_err(|error| {
            log::info!(step = "decode", route:% = route.name; "decoding the head of a request failed, refusing it: {error}");
            Box::new(empty_response(StatusCode::BAD_REQUEST))
        })?;
        let access = self.check_access(&routes, route, &parts.headers, &head.request)?;
        // The service of a split route that began a stream has targets of its version.
        let resumes = head.resumes.as_deref();
        let resumes = resumes.filter(|_| head.last_event.is_some());
        let hash = request_hash(resumes.unwrap_or(&head.request.0));
        let Some(service) = table::pick_service(route, hash) else {
            return Err(Box::new(refusal_response(NO_TARGET_RETRY_AFTER)));
        };
        let of_service = routes.document.services.get(service);
        if of_service.is_none_or(|service| service.pool.is_none()) {
            // A plain service runs no models, even if the caller names one.
            head.generation = None;
        }
        let generation = head.generation.as_ref();
        let shared_parts = generation.map_or_else(Default::default, |generation| {
            generation.quarantine_parts(service)
        });
        let timeout = head.deadline.unwrap_or(route.timeout).min(route.timeout);
        Ok(Context {
            route: Arc::clone(route),
            service: service.clone(),
            is_checked: access.is_checked,
            key: access.key,
            priority: access.priority.unwrap_or(route.priority),
            organisation: access.organisation,
            charge: None,
            version,
            received,
            deadline: received + timeout,
            history: History::default(),
            not_run: 0,
            held: None,
            tried: SmallVec::new(),
            waited: Duration::ZERO,
            last_event_at: None,
            end: RefCell::default(),
            shared_parts,
            identity: OnceCell::new(),
            origin: Origin::default(),
            is_trial: false,
            silent: SmallVec::new(),
            body: Bytes::new(),
            parts,
            head,
        })
    }

    /// Returns whether the prompt of a request is larger than the memory of any target of its service.
    pub(crate) fn exceeds_targets(&self, context: &Context) -> bool {
        let generation = context.head.generation.as_ref();
        let prompt_tokens = generation.map_or(0, |generation| generation.prompt_tokens);
        let routes = self.state.borrow().routes();
        let service = routes.as_ref().and_then(|routes| {
            let services = &routes.document.services;
            services.get(&context.service)
        });
        let pool = service.and_then(|service| service.pool.as_ref());
        let capacity = pool.map(|pool| pool.cache_tokens);
        // Without a stated size, only targets know.
        capacity.is_some_and(|tokens| tokens > 0 && u64::from(prompt_tokens) > tokens)
    }

    async fn read_body(
        &self,
        context: &mut Context,
        incoming: Incoming,
        reporter: &mut Reporter,
    ) -> Result<(), Response<Body>> {
        let (limit, intake) = {
            let state = self.state.borrow();
            let routes = state.routes();
            let limit = routes.map_or(0, |routes| routes.document.limits.body);
            (limit, Rc::clone(&state.intake))
        };
        let left = context.time_left(self.clock.now());
        match intake.receive(incoming, limit, left).await {
            Ok(body) => {
                context.body = body;
                Ok(())
            }
            Err(fault) => {
                reporter.end(End::Refused, fault.status().as_u16(), fault.as_str());
                Err(fault.response())
            }
        }
    }

    /// Dispatches a request until it is answered, refused or failed.
    async fn run(self: Rc<Self>, mut context: Context, mut reporter: Reporter) -> Response<Body> {
        let service = context.service.clone();
        let now = self.clock.now();
        self.state.borrow_mut().record_request(&service, now);
        loop {
            let chosen = match self.select_with_key(&mut context).await {
                Ok(chosen) => chosen,
                Err(refusal) => return self.refuse(&context, &mut reporter, refusal),
            };
            reporter.record_dispatch(&chosen);
            let wait_limit = self
                .first_event_limit(&context)
                .map(|wait_limit| wait_limit + chosen.basis.wait);
            let after = context.head.last_event;
            context.set_spent(true);
            let attempt = self.attempt(&context, &chosen.member, chosen.rank, after, wait_limit);
            let failure = match attempt.await {
                Ok(Reply::Full(answer)) => {
                    reporter.record_event();
                    reporter.end(End::Answered, answer.head.status.as_u16(), "");
                    return answer_response(answer);
                }
                Ok(Reply::Part(answer)) => {
                    reporter.record_event();
                    return self.transfer(context, *answer, reporter);
                }
                Ok(Reply::Stream(stream)) => {
                    reporter.record_event();
                    self.record_origin(&mut context, &chosen.member);
                    if let Some(last) = context.head.last_event {
                        log::info!(step = "stream", request:% = context.head.request, target:% = chosen.member.target, version:% = chosen.member.version_name(), resumes:% = context.head.resumes.as_deref().unwrap_or(""), last = last; "a caller has taken up a stream again");
                    } else {
                        log::debug!(step = "stream", request:% = context.head.request, target:% = chosen.member.target, version:% = chosen.member.version_name(); "stream has begun");
                    }
                    return self.stream(context, *stream, reporter);
                }
                Err(failure) => failure,
            };
            let next = self.after_failure(&mut context, &mut reporter, &chosen.member, failure);
            match next.await {
                Next::Retry => {}
                Next::Respond(response) => return response,
            }
        }
    }

    /// Decides on the next step after a failed attempt.
    async fn after_failure(
        &self,
        context: &mut Context,
        reporter: &mut Reporter,
        member: &Member,
        failure: Failure,
    ) -> Next {
        let decision = self
            .decide(context, &member.target, member.incarnation, &failure)
            .await;
        let Failure {
            dispatch,
            cause,
            answer,
            is_lost_at_start,
        } = failure;
        let identity = is_lost_at_start.then(|| context.identity());
        log::info!(
            step = "attempt",
            request:% = context.head.request,
            target:% = member.target,
            dispatch:? = dispatch,
            cause:% = cause,
            parts:% = context.shared_part_names(),
            identity:% = identity.map_or_else(String::new, |identity| identity.to_string()),
            decision:? = decision;
            "attempt at a target failed"
        );
        match (decision, answer) {
            (Decision::Retry | Decision::Resume { .. }, _) => Next::Retry,
            (Decision::End { .. }, Some(answer)) => {
                reporter.end(End::Answered, answer.head.status.as_u16(), cause);
                Next::Respond(answer_response(*answer))
            }
            (
                Decision::End {
                    execution: Execution::No,
                    ..
                },
                None,
            ) => {
                let refusal = match self.shortest_pause(context, &[]) {
                    Some(remaining) => Refusal::Paused { remaining },
                    None if cause == NO_GRANT => Refusal::Limited {
                        wait: self.limit_interval(member),
                    },
                    None if dispatch == Dispatch::NotSent => Refusal::Unreachable,
                    None => Refusal::TargetRefused,
                };
                Next::Respond(self.refuse(context, reporter, refusal))
            }
            (Decision::End { .. }, None) => Next::Respond(self.fail(context, reporter, cause)),
        }
    }

    /// Adds a failed attempt to the history and decides whether another one follows.
    pub async fn decide(
        &self,
        context: &mut Context,
        target: &id::Target,
        incarnation: id::Incarnation,
        failure: &Failure,
    ) -> Decision {
        let may_end_targets =
            failure.is_lost_at_start && self.examine_lost(context, target, incarnation).await;
        context.history.add(failure.dispatch);
        context.tried.push(target.clone());
        if matches!(failure.dispatch, Dispatch::NotSent | Dispatch::Refused) {
            context.not_run += 1;
        }
        context.set_spent(context.history.execution() != Execution::No);
        let decision = self.decide_again(context, target, failure, may_end_targets);
        self.charge_run(context, failure.dispatch, &decision);
        decision
    }

    /// Decides whether another attempt follows the last one in the history. `may_end_targets` is whether the request may be
    /// the cause of the end of its target.
    pub(crate) fn decide_again(
        &self,
        context: &mut Context,
        target: &id::Target,
        failure: &Failure,
        may_end_targets: bool,
    ) -> Decision {
        let now = self.clock.now();
        let members = self.state.borrow().members(&context.service);
        let mut serving = self.serving(&members, context, now);
        let is_untried = |member: &&Member| !context.tried.contains(&member.target);
        // A stream that has begun waits for the end of a pause, because its caller can't be told to come back.
        let pause = self
            .shortest_pause(context, &context.tried)
            .filter(|_| context.has_begun());
        // A grant may be refused, and the answer of the failed attempt would then be lost.
        let may_be_refused = failure.answer.is_some();
        let state = self.state.borrow();
        serving.retain(|member| !(may_be_refused && state.is_limited(member)));
        drop(state);
        let has_untried_target = serving.iter().any(is_untried)
            || pause.is_some_and(|pause| now + pause < context.next_event_deadline())
            // The silent target could have gone on, had it not been left for one that failed.
            || context.return_to_silent(|silent| {
                *silent != *target && serving.iter().any(|member| member.target == *silent)
            });
        let conditions = Conditions {
            is_repeatable: context.route.kind.is_repeatable(),
            is_resumable: matches!(
                context.route.kind,
                Kind::Stream {
                    resumable: true,
                    ..
                }
            ),
            may_end_targets,
            has_untried_target,
            max_attempts: context.max_attempts(),
            expected_time: Duration::ZERO,
            deadline: context.deadline,
        };
        attempt::decide(&context.history, &conditions, now, || {
            // Nothing arrived at the target, so the attempt doesn't count against the retry budget.
            failure.dispatch == Dispatch::NotSent
                || self.state.borrow_mut().take_attempt(&context.service, now)
        })
    }

    fn refuse(
        &self,
        context: &Context,
        reporter: &mut Reporter,
        refusal: Refusal,
    ) -> Response<Body> {
        if context.history.execution() != Execution::No {
            return self.fail(context, reporter, refusal.as_str());
        }
        log::debug!(step = "refuse", request:% = context.head.request, waited_ms = millis(context.waited); "request refused: {}", refusal.as_str());
        let status = refusal.status();
        reporter.end(End::Refused, status.as_u16(), refusal.as_str());
        let mut response = refusal_response(refusal.retry_after());
        *response.status_mut() = status;
        response
    }

    /// Returns the error response for a request that may have run.
    fn fail(
        &self,
        context: &Context,
        reporter: &mut Reporter,
        cause: &'static str,
    ) -> Response<Body> {
        let status = if self.clock.now() >= context.deadline {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::BAD_GATEWAY
        };
        reporter.end(End::Failed, status.as_u16(), cause);
        empty_response(status)
    }
}
