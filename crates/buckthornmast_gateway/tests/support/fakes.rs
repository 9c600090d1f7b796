//! Gateway behind a real server, with scripted fakes of targets, router and store of claims.

use std::{
    collections::{BTreeMap, VecDeque},
    net::TcpListener,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicBool},
    time::Duration,
};

use buckthornmast_gateway::{
    catalog::{Catalog, Model, Service},
    claim::{Claim, Claims, Denial, Grant, Outcome},
    deadline::Bounds,
    gateway::{CatalogSource, Gateway, Limits, Parts},
    observe::{Observer, Sample},
    router::{DispatchOutcome, Need, Pick, Rejection, Retry, RouteRequest, Router, TriedTargets},
};
use buckthornmast_http::{client, server};
use buckthornmast_routing::attempt::{self, Conditions, Decision};
use buckthornmast_target::{
    engine::{Answer, Call, Endpoint, Engine, Tokens},
    error::{Cause, Error},
    work::{Chunk, Event, Work},
};
use buckthornmast_types::{
    artifact::Artifact,
    id, order,
    time::{Clock, Manual},
};

/// One step of a scripted answer; `None` is the regular end of the stream.
pub(crate) type Step = Result<Option<Event>, Cause>;

/// Scripted behaviour of the fakes, and a record of the calls to them.
#[derive(Default)]
pub(crate) struct Script {
    /// Results of calls to plain services.
    pub(crate) calls: VecDeque<Result<&'static str, Cause>>,
    /// Answers of engines to dispatches.
    pub(crate) streams: VecDeque<Result<Vec<Step>, Cause>>,
    /// Denial of all claims, if any.
    pub(crate) denial: Option<Denial>,
    /// Whether admission refuses all requests.
    pub(crate) is_full: bool,
    /// Whether the router has no target.
    pub(crate) has_no_target: bool,
    /// Whether no other target can go on with an answer.
    pub(crate) is_alone: bool,
    /// Whether the router has a target once a request has waited for one.
    pub(crate) has_target_after_wait: bool,
    /// Time on the manual clock that each dispatch and each failed step of a stream takes.
    pub(crate) dispatch_time: Duration,
    /// Calls to the fakes in order, such as `claim`, `dispatch`, `abandoned` and `cancel`.
    pub(crate) log: Vec<String>,
    /// Work that was dispatched to engines.
    pub(crate) works: Vec<Work>,
    /// Artifact that the router picks where any version is acceptable; by default the requested one.
    pub(crate) picked_artifact: Option<Artifact>,
    /// Time on the manual clock that a pick or a wait for a copy takes.
    pub(crate) pick_time: Duration,
    /// Time on the wall clock that admission takes.
    pub(crate) admission_time: Duration,
    /// Time on the wall clock that a failed step of a stream takes.
    pub(crate) failed_step_time: Duration,
    /// Paths of calls to plain services.
    pub(crate) called_paths: Vec<String>,
    /// Number of steps of streams that did not fail.
    pub(crate) served_steps: usize,
    /// Notified once the caller has its answer; a cancel waits for it.
    pub(crate) caller_answered: Option<std::sync::mpsc::Receiver<()>>,
}

#[derive(Clone, Default)]
pub(crate) struct Fake {
    script: Arc<Mutex<Script>>,
    clock: Manual,
}

impl Fake {
    pub(crate) fn script(&self) -> MutexGuard<'_, Script> {
        self.script.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn log_event(&self, text: &str) {
        self.script().log.push(text.to_owned());
    }
}

fn error(endpoint: &Endpoint, cause: Cause) -> Error {
    Error {
        step: "fake",
        target: endpoint.target.clone(),
        cause,
    }
}

fn unscripted() -> Cause {
    Cause::Malformed {
        reason: "not in the script".to_owned(),
    }
}

pub(crate) struct FakeTokens {
    steps: VecDeque<Step>,
    work: Work,
    endpoint: Endpoint,
    next: u32,
    fake: Fake,
}

impl Tokens for FakeTokens {
    fn next(&mut self, _gap: Duration) -> Result<Option<Chunk>, Error> {
        let step = self.steps.pop_front().unwrap_or_else(|| Err(unscripted()));
        if step.is_err() {
            self.fake.clock.advance(self.fake.script().dispatch_time);
            let failed_step_time = self.fake.script().failed_step_time;
            std::thread::sleep(failed_step_time);
        } else {
            self.fake.script().served_steps += 1;
        }
        let event = step.map_err(|cause| error(&self.endpoint, cause))?;
        self.next += 1;
        Ok(event.map(|event| Chunk {
            request: self.work.request,
            attempt: self.work.attempt,
            index: self.next - 1,
            event,
        }))
    }
}

impl Engine for Fake {
    type Tokens = FakeTokens;

    fn order(
        &self,
        endpoint: &Endpoint,
        _order: &order::Order,
        _not_after: Duration,
    ) -> Result<order::Reply, Error> {
        Err(error(endpoint, unscripted()))
    }

    fn generate(
        &self,
        endpoint: &Endpoint,
        work: &Work,
        _bound: Duration,
    ) -> Result<FakeTokens, Error> {
        self.clock.advance(self.script().dispatch_time);
        self.log_event("dispatch");
        self.script().works.push(work.clone());
        let next = self.script().streams.pop_front();
        let steps = next.unwrap_or_else(|| Err(unscripted()));
        Ok(FakeTokens {
            steps: steps.map_err(|cause| error(endpoint, cause))?.into(),
            next: u32::try_from(work.resume.len()).unwrap_or(u32::MAX),
            work: work.clone(),
            endpoint: endpoint.clone(),
            fake: self.clone(),
        })
    }

    fn cancel(&self, _endpoint: &Endpoint, _request: id::Request, _attempt: id::Attempt) {
        let caller_answered = self.script().caller_answered.take();
        // The timeout only ends a test in which the answer waits for the cancel.
        let bound = Duration::from_secs(5);
        match caller_answered.map(|answered| answered.recv_timeout(bound)) {
            Some(Err(_)) => self.log_event("cancel-before-answer"),
            _ => self.log_event("cancel"),
        }
    }
}

impl buckthornmast_target::engine::Plain for Fake {
    fn forward(&self, endpoint: &Endpoint, call: &Call, _bound: Duration) -> Result<Answer, Error> {
        self.script().called_paths.push(call.path.clone());
        self.clock.advance(self.script().dispatch_time);
        self.log_event("dispatch");
        let next = self.script().calls.pop_front();
        let body = next.unwrap_or_else(|| Err(unscripted()));
        Ok(Answer {
            status: 200,
            headers: Vec::new(),
            body: body.map_err(|cause| error(endpoint, cause))?.into(),
        })
    }
}

impl Router for Fake {
    type Permit = ();

    fn admit(&self, _request: &RouteRequest<'_>) -> Result<(), Rejection> {
        let admission_time = self.script().admission_time;
        std::thread::sleep(admission_time);
        if self.script().is_full {
            return Err(Rejection {
                reason: "full".to_owned(),
                retry_after: Duration::from_secs(7),
            });
        }
        Ok(())
    }

    fn pick(&self, need: &Need<'_>, tried: &TriedTargets) -> Option<Pick> {
        if self.script().has_no_target {
            return None;
        }
        let endpoint = Endpoint {
            target: format!("target-{}", tried.len()).parse().ok()?,
            address: ([127, 0, 0, 1], 1).into(),
            token: None,
        };
        self.clock.advance(self.script().pick_time);
        let artifact = match need {
            Need::Artifact {
                is_exact: false, ..
            } if self.script().picked_artifact.is_some() => self.script().picked_artifact.clone(),
            Need::Artifact { artifact, .. } => Some((*artifact).clone()),
            Need::Service { .. } => None,
        };
        Some(Pick { endpoint, artifact })
    }

    fn wait_for_copy(
        &self,
        (): (),
        _request: &RouteRequest<'_>,
        _need: &Need<'_>,
    ) -> Result<(), Rejection> {
        self.log_event("wait");
        self.clock.advance(self.script().pick_time);
        let mut script = self.script();
        script.has_no_target = !script.has_target_after_wait;
        if script.has_target_after_wait {
            Ok(())
        } else {
            Err(Rejection {
                reason: "none".to_owned(),
                retry_after: Duration::from_secs(7),
            })
        }
    }

    fn is_alive(&self, _pick: &Pick) -> bool {
        true
    }

    fn can_move(&self, _need: &Need<'_>, _tried: &TriedTargets, _retry: &Retry<'_>) -> bool {
        !self.script().is_alone
    }

    fn finish_dispatch(&self, _pick: &Pick, outcome: &DispatchOutcome<'_>) {
        if matches!(outcome, DispatchOutcome::Abandoned) {
            self.log_event("abandoned");
        }
    }

    fn decide(&self, retry: &Retry<'_>) -> Decision {
        let conditions = Conditions {
            is_repeatable: retry.is_repeatable,
            is_resumable: true,
            may_end_targets: false,
            has_untried_target: true,
            max_attempts: 3,
            expected_time: Duration::ZERO,
            deadline: retry.deadline,
        };
        attempt::decide(retry.history, &conditions, self.clock.now(), || true)
    }
}

impl Claims for Fake {
    fn claim(&self, _claim: &Claim, _bound: Duration) -> Result<Grant, Denial> {
        self.log_event("claim");
        match self.script().denial.clone() {
            Some(denial) => Err(denial),
            None => Ok(Grant {
                attempt: id::Attempt(1),
            }),
        }
    }

    fn complete(&self, _claim: &Claim, _grant: Grant, _outcome: Outcome) {
        self.log_event("complete");
    }

    fn release(&self, _claim: &Claim, _grant: Grant) {
        self.log_event("release");
    }
}

impl Observer for Fake {
    fn observe(&self, _sample: &Sample<'_>) {}
}

impl CatalogSource for Fake {
    fn catalog(&self) -> Option<Arc<Catalog>> {
        let plain = |name: &str, is_repeatable| {
            let service = name.parse().ok()?;
            let plain = Service {
                name: service,
                is_repeatable,
                concurrency: 1,
            };
            Some((name.to_owned(), plain))
        };
        let model = Model {
            team: "press".parse().ok()?,
            artifact: "m@1".parse().ok()?,
            service: "chat".parse().ok()?,
            priority: 5,
            objective: "o".to_owned(),
            deadline: Duration::from_secs(20),
            first_token: None,
        };
        Some(Arc::new(Catalog {
            models: BTreeMap::from([("m".to_owned(), model)]),
            services: [plain("ledger", false)?, plain("desk", true)?].into(),
        }))
    }
}

struct FakeParts;

impl Parts for FakeParts {
    type Targets = Fake;
    type Router = Fake;
    type Claims = Fake;
    type Observer = Fake;
    type Clock = Manual;
}

/// Starts a gateway on a port of its own.
#[expect(clippy::unwrap_used, reason = "a test ends if its server can't start")]
pub(crate) fn serve(fake: &Fake) -> server::Handle {
    let second = Duration::from_secs(1);
    let gateway: Gateway<FakeParts, Fake> = Gateway {
        targets: fake.clone(),
        router: Arc::new(fake.clone()),
        claims: fake.clone(),
        observer: fake.clone(),
        clock: fake.clock.clone(),
        catalog_source: fake.clone(),
        limits: Limits {
            max_body_bytes: 1 << 16,
            default_deadline: 30 * second,
            bounds: Bounds {
                max_deadline: 60 * second,
                max_token_gap: second,
            },
        },
        is_ready: Arc::new(AtomicBool::new(true)),
    };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    server::start(listener, server::Config::default(), move |exchange| {
        gateway.serve(exchange);
    })
    .unwrap()
}

/// Posts a body and returns the response.
#[expect(clippy::unwrap_used, reason = "a test ends if its server is gone")]
pub(crate) fn post(
    server: &server::Handle,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> client::Response {
    let request = client::Request {
        method: "POST",
        target,
        headers,
        body: body.as_bytes(),
    };
    let bound = client::Timeouts::all(Duration::from_secs(20));
    client::send(server.address(), &request, &bound).unwrap()
}
