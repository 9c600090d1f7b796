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
    context::Context,
    forwarder::Forwarder,
    mapping::{Answer, Generation, Head, Malformed, Mapping, RequestId, TargetHeaders},
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
