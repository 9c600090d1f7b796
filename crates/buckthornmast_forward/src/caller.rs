//! A request from its route to its final answer.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use buckthornmast_routes::{document::Kind, table};
use buckthornmast_routing::attempt::{self, Decision, Dispatch, History, Known};
use buckthornmast_types::{
    id,
    outcome::Run,
    time::{Clock, Point, System},
};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use smallvec::SmallVec;
use tokio::time::timeout;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    body::Body,
    choice::{self, Ask},
    exchange::{Failure, Reply, Whole},
    mapping::{Generation, Mapping},
    patience,
    state::{Member, State},
    supply::{Supply, Want, Wanted},
    work::{End, Outcome, Work, millis},
};

/// Most dispatches of one request, those that reached no target included.
const MAX_DISPATCHES: u32 = 5;

/// Wait for routes after a start. An election and the answers of targets take about a second.
const ROUTES_WAIT: Duration = Duration::from_millis(1500);

/// Wait for a target of a service that has none at the moment.
const NO_TARGET_WAIT: Duration = Duration::from_millis(1000);

/// `Retry-After` of a request for which there is no target.
const NO_TARGET_RETRY: Duration = Duration::from_secs(1);

/// Shortest `Retry-After`.
const MIN_RETRY: Duration = Duration::from_millis(200);

/// `Retry-After` of a request that a target refused. It has just been full, or is carrying out an order.
const REFUSED_RETRY: Duration = Duration::from_millis(800);

/// Longest `Retry-After` of a crowded service. The load of bursty models changes within seconds.
const MAX_CROWDED_RETRY: Duration = Duration::from_secs(2);

/// Requests that wait at a target beyond which those that would be late are refused, as a share of its slots.
const LATE_QUEUE: f64 = 0.5;

/// Requests that wait at a target beyond which all are refused, as a share of its slots.
const FULL_QUEUE: f64 = 1.0;

/// How much longer the queue of a plain service may be: its requests take tens of milliseconds, so that even a long
/// queue is over within a second.
const PLAIN_QUEUE: f64 = 3.0;

/// Rank of a request that will be late: it takes slots that no other request wants.
const LATE_RANK: u8 = 8;

/// Lowest rank of a request that can be on time.
const LAST_RANK: u32 = 7;

/// Forwarder of requests.
#[derive(Debug)]
pub struct Forwarder<M, S> {
    /// Headers of the platform.
    pub mapping: M,
    /// Source of models and adapters.
    pub supply: S,
    /// Clock.
    pub clock: System,
    /// Failure domain of this instance.
    pub home: id::Domain,
    /// What this instance believes.
    pub state: Rc<RefCell<State>>,
}

/// Target that a request goes to.
#[derive(Debug)]
pub struct Chosen {
    /// Target.
    pub member: Member,
    /// Rank among the target's requests.
    pub rank: Option<u8>,
    /// What the choice was based on.
    pub basis: Basis,
}

/// What a choice was based on, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Basis {
    /// Requests that were expected to be at the target.
    pub load: f64,
    /// Age of the load that the target had reported.
    pub load_age: Option<Duration>,
    /// Expected wait for a slot.
    pub wait: Duration,
    /// Targets to choose from.
    pub candidates: usize,
}

/// Reason why a request is refused without having run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No routes are known yet.
    NoRoutes,
    /// No target of the service is known, or all have been tried.
    NoTarget,
    /// The model is being loaded.
    Loading {
        /// Time until it is ready.
        left: Duration,
    },
    /// The model can't be loaded.
    NoPlace,
    /// The targets are full.
    Crowded {
        /// Expected wait for a slot.
        wait: Duration,
    },
    /// The time for the answer has passed.
    Deadline,
    /// A target refused it, and no further attempt is allowed.
    Refused,
}

impl Refusal {
    /// Returns the reason for the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoRoutes => "no routes are known yet",
            Self::NoTarget => "no target is left",
            Self::Loading { .. } => "the model is being loaded",
            Self::NoPlace => "the model can't be loaded",
            Self::Crowded { .. } => "the targets are full",
            Self::Deadline => "the deadline has passed",
            Self::Refused => "the target refused the request",
        }
    }

    /// Returns when a further try of the caller makes sense.
    pub fn retry_after(self) -> Duration {
        match self {
            Self::NoRoutes | Self::NoTarget | Self::Deadline => NO_TARGET_RETRY,
            Self::NoPlace => MAX_CROWDED_RETRY,
            Self::Loading { left } => left.max(MIN_RETRY),
            Self::Crowded { wait } => wait.clamp(MIN_RETRY, MAX_CROWDED_RETRY),
            Self::Refused => REFUSED_RETRY,
        }
    }
}

/// What becomes of a request after a failed attempt.
enum Next {
    Again,
    Give(Response<Body>),
}

/// Returns an answer without a body.
pub fn plain(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::Whole(None));
    *response.status_mut() = status;
    response
}

/// Returns a refusal that says when to come back.
pub fn refused(after: Duration) -> Response<Body> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.2}", after.as_secs_f64());
    if let Ok(seconds) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// Returns the answer of a target.
pub fn passed_on(whole: Whole) -> Response<Body> {
    Response::from_parts(whole.head, Body::whole(whole.body))
}

/// Returns a number that is spread evenly over requests and the same on every instance.
fn draw_of(request: &str) -> u64 {
    xxh3_64(request.as_bytes())
}

/// Returns the hash of what a request shares with others: its model and all parts of the prompt but its own.
fn prefix_of(generation: &Generation) -> Option<u64> {
    let (_, shared) = generation.parts.split_last()?;
    let adapter = generation.adapter.as_ref().map_or("", |id| id.as_str());
    let mut hash = xxh3_64(generation.model.as_str().as_bytes());
    hash = xxh3_64_with_seed(adapter.as_bytes(), hash);
    let first = shared.first()?;
    Some(xxh3_64_with_seed(&first.id.to_le_bytes(), hash))
}

impl<M: Mapping, S: Supply> Forwarder<M, S> {
    /// Answers a request.
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

    /// Waits a moment for routes if none are known, as after a start. A caller that is told to come back would lose
    /// more time.
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
        // Whether there are routes is looked at by the caller.
        let _ = timeout(ROUTES_WAIT, known).await;
    }

    /// Finds the route of a request.
    fn admit(&self, parts: request::Parts, received: Point) -> Result<Work, Box<Response<Body>>> {
        let Some(routes) = self.state.borrow().routes() else {
            let refusal = Refusal::NoRoutes;
            log::info!(step = "route", cause:% = refusal.as_str(); "request refused");
            return Err(Box::new(refused(refusal.retry_after())));
        };
        let host = parts.headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        let version = routes.document.version;
        let Some(route) = routes.table.find(host, parts.uri.path()) else {
            log::info!(step = "route", host:% = host, path:% = parts.uri.path(), version = version.0; "no route matches");
            return Err(Box::new(plain(StatusCode::NOT_FOUND)));
        };
        let mut head = self.mapping.decode(&parts).map_err(|error| {
            log::info!(step = "decode", route:% = route.name; "request refused: {error}");
            Box::new(plain(StatusCode::BAD_REQUEST))
        })?;
        let draw = draw_of(&head.request.0);
        let Some(service) = table::pick_service(route, draw) else {
            return Err(Box::new(refused(NO_TARGET_RETRY)));
        };
        let of_service = routes.document.services.get(service);
        if of_service.is_none_or(|service| service.pool.is_none()) {
            // A plain service holds no models, whatever its callers name.
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

    /// Sees a request to its end.
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

    /// Returns how long a target may take to begin its answer before another one is tried.
    fn first_patience(&self, work: &Work) -> Option<Duration> {
        let attempts = work.history.attempts() + 1 - work.not_run.min(work.history.attempts());
        let may_repeat = work.route.kind.is_repeatable() && attempts < work.route.attempts;
        let others = self.state.borrow().members(&work.service);
        let generation = work.head.generation.as_ref();
        let others = others.iter().filter(|member| member.serves(generation));
        let is_left = others.count() > work.tried.len() + 1;
        (may_repeat && is_left).then(|| patience::for_first(&work.route))
    }

    /// Finds a target, waiting for one if that can still bring an answer in time.
    pub async fn place(&self, work: &mut Work) -> Result<Chosen, Refusal> {
        let want = work.want();
        if let Some(want) = want.as_ref().filter(|_| work.tried.is_empty()) {
            self.supply.note(want);
        }
        let started = self.clock.now();
        let mut asked = false;
        loop {
            let now = self.clock.now();
            work.waited = now.since(started);
            if now >= work.until {
                return Err(Refusal::Deadline);
            }
            let members = self.state.borrow().members(&work.service);
            let generation = work.head.generation.as_ref();
            let serving: SmallVec<[&Member; 16]> = members
                .iter()
                .filter(|member| member.serves(generation))
                .collect();
            if serving
                .iter()
                .any(|member| !work.tried.contains(&member.target))
            {
                return self.choose(work, &serving, now);
            }
            if !serving.is_empty() {
                return Err(Refusal::NoTarget);
            }
            let left = work.first_until().since(now);
            let wait = match &want {
                Some(want) if !asked => {
                    asked = true;
                    match timeout(left, self.supply.want(want.clone())).await {
                        Ok(Wanted::Ready(_)) => continue,
                        Ok(Wanted::Later(later)) if later > left => {
                            return Err(Refusal::Loading { left: later });
                        }
                        Ok(Wanted::Later(later)) => later + NO_TARGET_WAIT,
                        Ok(Wanted::No) => return Err(Refusal::NoPlace),
                        Err(_) => return Err(Refusal::Deadline),
                    }
                }
                Some(_) if work.waited < NO_TARGET_WAIT => NO_TARGET_WAIT,
                Some(_) => return Err(Refusal::NoPlace),
                None if work.waited < NO_TARGET_WAIT => NO_TARGET_WAIT,
                None => return Err(Refusal::NoTarget),
            };
            self.wait_for_change(wait.min(left), want.as_ref(), &work.service)
                .await;
        }
    }

    /// Waits until a target serves a want, for a time at the most.
    async fn wait_for_change(&self, wait: Duration, want: Option<&Want>, service: &id::Service) {
        let changed = Rc::clone(&self.state.borrow().changed);
        let generation = want.map(|want| Generation {
            model: want.model.clone(),
            adapter: want.adapter.clone(),
            prompt_tokens: 0,
            answer_tokens: 0,
            parts: SmallVec::new(),
        });
        let served = async {
            loop {
                let notified = changed.notified();
                let members = self.state.borrow().members(service);
                if members
                    .iter()
                    .any(|member| member.serves(generation.as_ref()))
                {
                    return;
                }
                notified.await;
            }
        };
        // Whether it is served by then is looked at by the caller.
        let _ = timeout(wait, served).await;
    }

    /// Returns whether another target would take a request now. A target's silence alone is no reason to give up on it
    /// while nobody else can go on.
    pub(crate) fn may_move(&self, work: &Work, target: &id::Target) -> bool {
        let now = self.clock.now();
        let has_budget = {
            let mut state = self.state.borrow_mut();
            state.budget(&work.service, now).has(now)
        };
        let members = self.state.borrow().members(&work.service);
        let generation = work.head.generation.as_ref();
        let serving: SmallVec<[&Member; 16]> = members
            .iter()
            .filter(|member| member.serves(generation) && member.target != *target)
            .collect();
        has_budget && self.choose(work, &serving, now).is_ok()
    }

    /// Chooses among targets that have what the request needs, or refuses it if they are full.
    fn choose(&self, work: &Work, serving: &[&Member], now: Point) -> Result<Chosen, Refusal> {
        let candidates: SmallVec<[choice::Candidate; 16]> = serving
            .iter()
            .map(|member| member.candidate(&self.home))
            .collect();
        let generation = work.head.generation.as_ref();
        let prefix = generation
            .filter(|_| work.route.affinity)
            .and_then(prefix_of);
        let ask = Ask {
            prefix,
            tried: &work.tried,
            draw: draw_of(&work.head.request.0),
        };
        let state = self.state.borrow();
        let Some(pick) = choice::pick(&candidates, ask, &state.board, now) else {
            return Err(Refusal::NoTarget);
        };
        let candidate = &candidates[pick.index];
        let lane = state.board.lane(&candidate.target, candidate.born);
        let load = lane.map_or(0.0, |lane| lane.load(now));
        let slots = f64::from(candidate.slots.max(1));
        let queue = ((load + 1.0 - slots) / slots).max(0.0);
        let is_late = !work.is_on_time(now + pick.wait);
        let scale = if generation.is_some() {
            1.0
        } else {
            PLAIN_QUEUE
        };
        let is_full = queue > FULL_QUEUE * scale || (is_late && queue > LATE_QUEUE * scale);
        if is_full {
            return Err(Refusal::Crowded { wait: pick.wait });
        }
        let rank = if is_late {
            LATE_RANK
        } else {
            u8::try_from(work.route.priority.min(LAST_RANK)).unwrap_or(LATE_RANK)
        };
        Ok(Chosen {
            basis: Basis {
                load,
                load_age: lane.and_then(|lane| lane.load_age(now)),
                wait: pick.wait,
                candidates: candidates.len(),
            },
            member: serving[pick.index].clone(),
            rank: generation.filter(|_| is_late).map(|_| rank),
        })
    }

    /// Decides what comes after a failed attempt.
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
                Next::Give(self.refuse(work, outcome, Refusal::Refused))
            }
            (Decision::End { .. }, None) => Next::Give(self.fail(work, outcome, cause)),
        }
    }

    /// Adds a failed attempt to the history and decides whether there is another one.
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
            // Nothing arrived at the target, so the attempt cost it nothing.
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

    /// Answers a request that may have run.
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
