//! Selection of a target with permits of the leader.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::{
    cell::{OnceCell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use buckthornmast_fleet::prelude::*;
use buckthornmast_forward::{
    advisory::Advice,
    context::Context,
    explain::{Cause, Explanation, Outcome, Query, Reason},
    forwarder::Forwarder,
    mapping::{Answer, Generation, Head, Load, Malformed, Mapping, RequestId, TargetHeaders},
    refusal::Refusal,
    selection::Chosen,
    state::{RetryBounds, State},
    stop::Plan,
    supply::{Availability, Item, Permit, PermitRequest, Supply, Usage},
};
use buckthornmast_limit::{account, statement::Report};
use buckthornmast_origin::{
    inquiry::{Finding, Question},
    origin::Origin,
    record::Record,
};
use buckthornmast_quarantine::{ledger::Evidence, part::Set};
use buckthornmast_quota::credit::Claim;
use buckthornmast_routes::{
    document::{Kind, Route},
    register::Revision,
};
use buckthornmast_routing::attempt::History;
use buckthornmast_types::{
    id,
    time::{Clock, System},
};
use bytes::Bytes;
use http::{HeaderMap, request, response};
use smallvec::SmallVec;

struct Headers;

impl Mapping for Headers {
    fn decode(&self, _: &request::Parts) -> Result<Head, Malformed> {
        Err(Malformed {
            header: "none",
            reason: "requests are not decoded here",
        })
    }

    fn encode(&self, _: &mut HeaderMap, _: &TargetHeaders<'_>) {}

    fn decode_answer(&self, _: &response::Parts) -> Answer {
        Answer::default()
    }
}

/// Supply that gives the same answer to all requests for a permit, and records them.
struct FixedSupply {
    permit: Permit,
    availability: Availability,
    requests: RefCell<Vec<PermitRequest>>,
}

impl Supply for FixedSupply {
    async fn request_copy(&self, _: Item) -> Availability {
        self.availability.clone()
    }

    fn record_demand(&self, _: &Item) {}

    async fn request_permit(&self, request: PermitRequest) -> Permit {
        self.requests.borrow_mut().push(request);
        self.permit.clone()
    }

    fn report_down(&self, _: &id::Target, _: id::Incarnation) {}

    async fn request_grant(&self, _: account::Request) -> Option<account::Answer> {
        None
    }

    fn report_limit(&self, _: Report) {}

    fn claim_credit(&self, _: Claim) {}

    fn report_crash(&self, _: &Evidence) {}

    fn report_progress(&self, _: &Set) {}

    fn report_origin(&self, _: Record) {}

    async fn find_origin(&self, _: Question) -> Finding {
        Finding::Nowhere
    }

    fn report_usage(&self, _: &Item, _: Usage) {}
}

fn target(number: usize) -> id::Target {
    format!("t{number}").parse().unwrap()
}

fn forwarder(permit: Permit) -> Forwarder<Headers, FixedSupply> {
    let clock = System::start();
    let retry_bounds = RetryBounds {
        ratio: 0.2,
        burst: 10.0,
        window: Duration::from_secs(10),
    };
    let mut state = State::new(retry_bounds);
    state.change_targets(|registry| {
        for number in 0..2 {
            let announcement = Announcement {
                target: target(number),
                incarnation: id::Incarnation(1),
                sequence: 1,
                service: "engines".parse().unwrap(),
                address: format!("10.0.0.{number}:80").parse().unwrap(),
                domain: "d1".parse().unwrap(),
                slots: 8,
                state: buckthornmast_fleet::announcement::State::Ready,
                cold: Duration::ZERO,
                resident: vec![Resident {
                    model: "m1".parse().unwrap(),
                    adapters: Vec::new(),
                }],
                in_memory: Vec::new(),
                on_disk: Vec::new(),
                version: "v1".parse().ok(),
            };
            let update = Update {
                announcement,
                withdrawn: false,
            };
            registry.merge(update, Duration::ZERO, clock.now());
        }
        true
    });
    Forwarder {
        mapping: Headers,
        supply: FixedSupply {
            permit,
            availability: Availability::No,
            requests: RefCell::default(),
        },
        clock,
        instance: "entry-1".parse().unwrap(),
        domain: "d1".parse().unwrap(),
        state: Rc::new(RefCell::new(state)),
    }
}

fn context(forwarder: &Forwarder<Headers, FixedSupply>) -> Context {
    let now = forwarder.clock.now();
    let (parts, ()) = http::Request::new(()).into_parts();
    let route = Route {
        name: "chat".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind: Kind::Stream {
            resumable: true,
            gap: Duration::from_millis(150),
        },
        services: Vec::new(),
        timeout: Duration::from_secs(10),
        objective: Duration::from_millis(300),
        attempts: 2,
        priority: 1,
        affinity: true,
        is_public: false,
    };
    Context {
        head: Head {
            request: RequestId("r1".into()),
            deadline: None,
            last_event: None,
            resumes: None,
            generation: Some(Generation {
                model: "m1".parse().unwrap(),
                adapter: None,
                prompt_tokens: 500,
                answer_tokens: 100,
                parts: SmallVec::new(),
            }),
        },
        parts,
        body: Bytes::new(),
        route: Arc::new(route),
        version: Revision(1),
        service: "engines".parse().unwrap(),
        is_checked: false,
        key: None,
        organisation: None,
        priority: 1,
        charge: None,
        received: now,
        deadline: now + Duration::from_secs(10),
        history: History::default(),
        not_run: 0,
        held: None,
        tried: SmallVec::new(),
        waited: Duration::ZERO,
        last_event_at: None,
        end: RefCell::default(),
        shared_parts: Set::default(),
        identity: OnceCell::new(),
        origin: Origin::default(),
        is_trial: false,
        silent: SmallVec::new(),
    }
}

fn select(
    forwarder: &Forwarder<Headers, FixedSupply>,
    context: &mut Context,
) -> Result<Chosen, Refusal> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    runtime.block_on(forwarder.select_target(context))
}

/// Guards against sending a request to another target than the one that its permit names.
#[test]
fn select_by_permit() {
    for number in 0..2 {
        let forwarder = forwarder(Permit::Granted(target(number)));
        let mut context = context(&forwarder);
        let chosen = select(&forwarder, &mut context).unwrap();
        assert_eq!(chosen.member.target, target(number));
        assert_eq!(forwarder.supply.requests.borrow()[0].tokens, 500);
    }
}

/// Guards against refusing requests while the leader grants no permits, or grants them for a target that is gone.
#[test]
fn select_without_permit() {
    for permit in [Permit::Unknown, Permit::Granted(target(7))] {
        let forwarder = forwarder(permit);
        let mut context = context(&forwarder);
        assert!(select(&forwarder, &mut context).is_ok());
    }
}

/// Guards against sending a request whose permit was refused.
#[test]
fn select_refused() {
    let wait = Duration::from_millis(700);
    let forwarder = forwarder(Permit::Refuse(wait));
    let mut context = context(&forwarder);
    let refusal = select(&forwarder, &mut context).unwrap_err();
    assert_eq!(refusal, Refusal::TargetsFull { wait });
}

/// Guards against refusing a stream that was moved away from an unresponsive target because another one accepts it. Its
/// caller could have received the rest of the answer from the first target.
#[test]
fn select_rest_without_permit() {
    let forwarder = forwarder(Permit::Refuse(Duration::from_secs(1)));
    let mut context = context(&forwarder);
    context.tried.push(target(0));
    let chosen = select(&forwarder, &mut context).unwrap();
    assert_eq!(chosen.member.target, target(1));
    assert!(forwarder.supply.requests.borrow().is_empty());
}

/// Guards against a request that waits for a model while this instance stops, and whose connection is then closed
/// without an answer.
#[test]
fn select_while_stopping() {
    let later = Duration::from_secs(1);
    let soon = Duration::from_millis(100);
    for (load, refusal) in [
        (later, Refusal::Loading { remaining: later }),
        (soon, Refusal::Stopping),
    ] {
        let mut forwarder = forwarder(Permit::Unknown);
        forwarder.supply.availability = Availability::Later(load);
        let mut context = context(&forwarder);
        context.head.generation.as_mut().unwrap().model = "missing".parse().unwrap();
        let refuse_at = forwarder.clock.now() + Duration::from_millis(300);
        forwarder.state.borrow_mut().stop = Some(Plan {
            refuse_at,
            ends_at: refuse_at + Duration::from_secs(60),
        });
        assert_eq!(select(&forwarder, &mut context).unwrap_err(), refusal);
    }
}

/// Explains a request twice, selects its target, and explains it again: the explanations must agree with the selection and
/// change nothing.
fn explain_and_select(
    forwarder: &Forwarder<Headers, FixedSupply>,
) -> (Explanation, Result<Chosen, Refusal>) {
    let mut context = context(forwarder);
    let permits = || forwarder.supply.requests.borrow().len();
    let before = permits();
    let explanation = forwarder.explain_context(&context);
    let again = forwarder.explain_context(&context);
    let names = |explanation: &Explanation| -> Vec<id::Target> {
        let candidates = explanation.candidates.iter();
        candidates
            .map(|candidate| candidate.target.clone())
            .collect()
    };
    assert_eq!(names(&explanation), names(&again));
    assert_eq!(permits(), before);
    let chosen = select(forwarder, &mut context);
    (explanation, chosen)
}

fn reasons(explanation: &Explanation) -> Vec<(&str, Reason)> {
    let excluded = explanation.excluded.iter();
    excluded
        .map(|excluded| (excluded.target.as_str(), excluded.reason))
        .collect()
}

/// Guards against an explanation of another decision than the one that requests get.
#[test]
fn explain_agrees_with_selection() {
    let load = |running: u32, waiting: u32| Load {
        running,
        waiting,
        ..Load::default()
    };
    for loads in [[0, 0], [7, 0], [0, 7], [20, 3], [60, 60]] {
        let forwarder = forwarder(Permit::Unknown);
        let now = forwarder.clock.now();
        for (number, running) in loads.into_iter().enumerate() {
            let stats = &mut forwarder.state.borrow_mut().stats;
            stats.record_load(
                &target(number),
                id::Incarnation(1),
                load(running, running),
                now,
            );
        }
        let (explanation, chosen) = explain_and_select(&forwarder);
        assert!(explanation.asks_leader);
        assert_eq!(explanation.candidates.len(), 2);
        match (explanation.outcome, chosen) {
            (Outcome::Target { target, .. }, Ok(chosen)) => {
                assert_eq!(target, chosen.member.target, "{loads:?}");
            }
            (Outcome::Refusal { cause, .. }, Err(refusal)) => {
                assert_eq!(cause, refusal.as_str(), "{loads:?}");
            }
            (outcome, chosen) => panic!("{loads:?}: {outcome:?}, {chosen:?}"),
        }
    }
}

/// Guards against targets that are left out without the reason.
#[test]
fn explain_excluded_targets() {
    let forwarder = forwarder(Permit::Unknown);
    let now = forwarder.clock.now();
    let advise = |number, is_leaving, pause| {
        let advice = Advice {
            target: target(number),
            incarnation: id::Incarnation(1),
            is_leaving,
            pause,
        };
        forwarder.state.borrow_mut().record_advice(&advice, now);
    };
    advise(1, false, Some(Duration::from_secs(9)));
    let (explanation, chosen) = explain_and_select(&forwarder);
    assert_eq!(chosen.unwrap().member.target, target(0));
    let excluded = reasons(&explanation);
    assert!(
        matches!(
            excluded[..],
            [(
                "t1",
                Reason::Paused {
                    remaining_ms: 8000..
                }
            )]
        ),
        "{excluded:?}"
    );
    advise(0, true, None);
    let (explanation, chosen) = explain_and_select(&forwarder);
    assert_eq!(reasons(&explanation)[0], ("t0", Reason::Leaving));
    let refusal = chosen.unwrap_err();
    assert!(matches!(refusal, Refusal::Paused { .. }), "{refusal:?}");
    let Outcome::Refusal {
        cause,
        retry_after_ms,
        ..
    } = explanation.outcome
    else {
        panic!("{:?}", explanation.outcome);
    };
    assert_eq!(cause, refusal.as_str());
    assert!((8000..=9000).contains(&retry_after_ms), "{retry_after_ms}");
    let mut other = context(&forwarder);
    other.head.generation.as_mut().unwrap().model = "m2".parse().unwrap();
    let explanation = forwarder.explain_context(&other);
    assert!(reasons(&explanation).contains(&("t1", Reason::LacksModel)));
    let is_copy = matches!(
        explanation.outcome,
        Outcome::Wait {
            cause: Cause::Copy,
            ..
        }
    );
    assert!(is_copy, "{:?}", explanation.outcome);
}

/// Guards against misspelt parameters that are passed over, and against values that are.
#[test]
fn parse_query() {
    let query =
        Query::parse("service=engines&model=m1&prefix=ff&tokens=9&objective_ms=300").unwrap();
    assert_eq!(query.prefix, Some(255));
    assert_eq!(query.objective, Some(Duration::from_millis(300)));
    let long = format!("service={}", "s".repeat(3000));
    let refused = [
        "",
        "service=",
        "service=engines&modell=m1",
        "service=engines&service=engines",
        "service=engines&tokens=many",
        "service=engines&adapter=a1",
        "service=engines&objective_ms=99999999999",
        &long,
    ];
    for text in refused {
        assert!(Query::parse(text).is_err(), "{text}");
    }
}
