//! Gateway behind a real server, with a target, a router and a store of claims that follow a script.

use std::{
    collections::{BTreeMap, VecDeque},
    net::TcpListener,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicBool},
    time::Duration,
};

use buckthornmast_gateway::{
    catalog::{Catalog, Model, Plain},
    claim::{Claim, Claims, Denied, Grant, Outcome},
    deadline::Bounds,
    gateway::{Gateway, Limits, Names, Parts},
    observe::{Observer, Sample},
    router::{Ask, Need, Pick, Refused, Report, Retry, Router, Tried},
};
use buckthornmast_http::{client, server};
use buckthornmast_routing::attempt::{self, Decision, Known};
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

/// One step of a scripted answer; `None` is the proper end of the stream.
pub(crate) type Step = Result<Option<Event>, Cause>;

/// What the fakes do next, and what they were asked.
#[derive(Default)]
pub(crate) struct Script {
    /// Results of calls to plain services.
    pub(crate) calls: VecDeque<Result<&'static str, Cause>>,
    /// Answers of engines.
    pub(crate) streams: VecDeque<Result<Vec<Step>, Cause>>,
    /// Denial of claims.
    pub(crate) denied: Option<Denied>,
    /// Whether admission refuses.
    pub(crate) is_full: bool,
    /// Whether the router knows no target.
    pub(crate) is_empty: bool,
    /// Whether the router knows a target once a request has waited for one.
    pub(crate) arrives: bool,
    /// Time that passes at each dispatch, and before a step of a stream fails.
    pub(crate) passes: Duration,
    /// What happened, in order.
    pub(crate) log: Vec<String>,
    /// Work that engines were given.
    pub(crate) works: Vec<Work>,
    /// Artifact that the router finds where any version will do; by default the one asked for.
    pub(crate) found: Option<Artifact>,
    /// Time that passes when a target is picked.
    pub(crate) picking: Duration,
    /// Time that admission takes on the wall clock.
    pub(crate) admitting: Duration,
    /// Time that a failed step of a stream takes on the wall clock.
    pub(crate) waiting: Duration,
    /// Paths that plain services were called with.
    pub(crate) paths: Vec<String>,
    /// Steps of streams that did not fail.
    pub(crate) served: usize,
    /// Told once the caller has its answer; a cancel waits for it.
    pub(crate) answered: Option<std::sync::mpsc::Receiver<()>>,
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

    fn note(&self, text: &str) {
        self.script().log.push(text.to_owned());
    }
}

fn error(at: &Endpoint, cause: Cause) -> Error {
    Error {
        step: "fake",
        target: at.target.clone(),
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
    at: Endpoint,
    next: u32,
    fake: Fake,
}

impl Tokens for FakeTokens {
    fn next(&mut self, _gap: Duration) -> Result<Option<Chunk>, Error> {
        let step = self.steps.pop_front().unwrap_or_else(|| Err(unscripted()));
        if step.is_err() {
            self.fake.clock.advance(self.fake.script().passes);
            let waiting = self.fake.script().waiting;
            std::thread::sleep(waiting);
        } else {
            self.fake.script().served += 1;
        }
        let event = step.map_err(|cause| error(&self.at, cause))?;
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
        at: &Endpoint,
        _order: &order::Order,
        _not_after: Duration,
    ) -> Result<order::Reply, Error> {
        Err(error(at, unscripted()))
    }

    fn generate(&self, at: &Endpoint, work: &Work, _bound: Duration) -> Result<FakeTokens, Error> {
        self.clock.advance(self.script().passes);
        self.note("dispatch");
        self.script().works.push(work.clone());
        let next = self.script().streams.pop_front();
        let steps = next.unwrap_or_else(|| Err(unscripted()));
        Ok(FakeTokens {
            steps: steps.map_err(|cause| error(at, cause))?.into(),
            next: u32::try_from(work.resume.len()).unwrap_or(u32::MAX),
            work: work.clone(),
            at: at.clone(),
            fake: self.clone(),
        })
    }

    fn cancel(&self, _at: &Endpoint, _request: id::Request, _attempt: id::Attempt) {
        let answered = self.script().answered.take();
        // The bound only ends a test in which the answer waits for the cancel.
        let bound = Duration::from_secs(5);
        match answered.map(|answered| answered.recv_timeout(bound)) {
            Some(Err(_)) => self.note("cancel-before-answer"),
            _ => self.note("cancel"),
        }
    }
}

impl buckthornmast_target::engine::Plain for Fake {
    fn forward(&self, at: &Endpoint, call: &Call, _bound: Duration) -> Result<Answer, Error> {
        self.script().paths.push(call.path.clone());
        self.clock.advance(self.script().passes);
        self.note("dispatch");
        let next = self.script().calls.pop_front();
        let body = next.unwrap_or_else(|| Err(unscripted()));
        Ok(Answer {
            status: 200,
            headers: Vec::new(),
            body: body.map_err(|cause| error(at, cause))?.into(),
        })
    }
}

impl Router for Fake {
    type Permit = ();

    fn admit(&self, _ask: &Ask<'_>) -> Result<(), Refused> {
        let admitting = self.script().admitting;
        std::thread::sleep(admitting);
        if self.script().is_full {
            return Err(Refused {
                reason: "full".to_owned(),
                retry_after: Duration::from_secs(7),
            });
        }
        Ok(())
    }

    fn pick(&self, need: &Need<'_>, tried: &Tried) -> Option<Pick> {
        if self.script().is_empty {
            return None;
        }
        let endpoint = Endpoint {
            target: format!("target-{}", tried.len()).parse().ok()?,
            address: ([127, 0, 0, 1], 1).into(),
            token: None,
        };
        self.clock.advance(self.script().picking);
        let artifact = match need {
            Need::Artifact { exact: false, .. } if self.script().found.is_some() => {
                self.script().found.clone()
            }
            Need::Artifact { artifact, .. } => Some((*artifact).clone()),
            Need::Service { .. } => None,
        };
        Some(Pick { endpoint, artifact })
    }

    fn wait(&self, (): (), _ask: &Ask<'_>, _need: &Need<'_>) -> Result<(), Refused> {
        self.note("wait");
        self.clock.advance(self.script().picking);
        let mut script = self.script();
        script.is_empty = !script.arrives;
        if script.arrives {
            Ok(())
        } else {
            Err(Refused {
                reason: "none".to_owned(),
                retry_after: Duration::from_secs(7),
            })
        }
    }

    fn is_alive(&self, _pick: &Pick) -> bool {
        true
    }

    fn done(&self, _pick: &Pick, report: &Report<'_>) {
        if matches!(report, Report::Abandoned) {
            self.note("abandoned");
        }
    }

    fn decide(&self, retry: &Retry<'_>) -> Decision {
        let known = Known {
            repeatable: retry.repeatable,
            resumable: true,
            target_left: true,
            most: 3,
            expected: Duration::ZERO,
            deadline: retry.deadline,
        };
        attempt::decide(retry.history, &known, self.clock.now(), || true)
    }
}

impl Claims for Fake {
    fn claim(&self, _claim: &Claim, _bound: Duration) -> Result<Grant, Denied> {
        self.note("claim");
        match self.script().denied.clone() {
            Some(denied) => Err(denied),
            None => Ok(Grant {
                attempt: id::Attempt(1),
            }),
        }
    }

    fn complete(&self, _claim: &Claim, _grant: Grant, _outcome: Outcome) {
        self.note("complete");
    }

    fn release(&self, _claim: &Claim, _grant: Grant) {
        self.note("release");
    }
}

impl Observer for Fake {
    fn observe(&self, _sample: &Sample<'_>) {}
}

impl Names for Fake {
    fn catalog(&self) -> Option<Arc<Catalog>> {
        let plain = |name: &str, repeatable| {
            let service = name.parse().ok()?;
            let plain = Plain {
                service,
                repeatable,
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

struct Kinds;

impl Parts for Kinds {
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
    let gateway: Gateway<Kinds, Fake> = Gateway {
        targets: fake.clone(),
        router: Arc::new(fake.clone()),
        claims: fake.clone(),
        observer: fake.clone(),
        clock: fake.clock.clone(),
        names: fake.clone(),
        limits: Limits {
            body: 1 << 16,
            deadline: 30 * second,
            bounds: Bounds {
                max: 60 * second,
                gap: second,
            },
        },
        ready: Arc::new(AtomicBool::new(true)),
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
