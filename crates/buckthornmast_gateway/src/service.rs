//! Calls to plain services.
//!
//! A call of a service whose calls must not be repeated needs an idempotency key. The key is claimed
//! before the first byte of dispatch. The call is dispatched once, and again only if the target certainly
//! did not run it. A resent call gets the recorded outcome.

use std::time::Duration;

use buckthornmast_http::{exchange::Exchange, problem::Problem, response::Response};
use buckthornmast_routing::attempt::{Decision, History};
use buckthornmast_target::{
    engine::{Answer, Call, Plain as _},
    error::{Cause, Error},
};
use buckthornmast_types::{id, outcome::Execution, time::Clock};

use crate::{
    catalog::Service,
    claim::{Claim, Claims, Denial, Grant, MAX_REPLAY_BODY_BYTES, Outcome},
    deadline::Deadline,
    gateway::{
        CatalogSource, Gateway, Parts, bad_request, can_result_from_deadline, deadline_problem,
        local_problem, respond,
    },
    router::{
        DispatchOutcome, Need, Pick, Retry, RouteRequest, Router, TriedTargets, dispatch_progress,
    },
};

/// Header of the idempotency key (IETF httpapi draft).
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Maximum wait for a claim. It covers a change of the leader, which takes less than a second.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which a caller may retry a request that is in progress, or a claim without a quorum.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time after which a caller may retry when the store of claims is full. Claims are removed only as keys expire.
const CLAIMS_FULL_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Handles a call until its response is sent.
pub(crate) fn run<P: Parts, C: CatalogSource>(
    gateway: &Gateway<P, C>,
    mut exchange: Exchange,
    service: &Service,
    deadline: Deadline,
) {
    let body = match exchange.take_body(gateway.limits.max_body_bytes) {
        Ok(body) => body,
        Err(error) => return respond(exchange, Problem::from(error)),
    };
    let call = call_of(&exchange, service, body);
    let request = id::Request::generate();
    let result = if service.is_repeatable {
        dispatch(gateway, service, &call, deadline).map(into_response)
    } else {
        match claim_of(&exchange, service, &call, request) {
            Ok(claim) => run_once(gateway, service, &call, &claim, deadline),
            Err(problem) => Err(problem),
        }
    };
    match result {
        Ok(response) => respond(exchange, response),
        Err(problem) => respond(exchange, problem.request(request)),
    }
}

fn call_of(exchange: &Exchange, service: &Service, body: Vec<u8>) -> Call {
    let prefix = format!("/services/{}", service.name);
    let path = exchange.target().strip_prefix(&prefix).unwrap_or("/");
    let path = if path.starts_with('/') {
        path.to_owned()
    } else {
        format!("/{path}")
    };
    Call {
        method: exchange.method().to_owned(),
        path,
        headers: exchange.headers().to_vec(),
        body,
    }
}

fn claim_of(
    exchange: &Exchange,
    service: &Service,
    call: &Call,
    request: id::Request,
) -> Result<Claim, Problem> {
    let expected = format!(
        "{} needs the header Idempotency-Key with a UUIDv7",
        service.name
    );
    let text = exchange
        .header(IDEMPOTENCY_KEY_HEADER)
        .ok_or_else(|| bad_request("claim", &*expected))?;
    let key: Option<id::Key> = text.trim_matches('"').parse().ok();
    let key = key.filter(|key| key.unix_millis().is_some());
    let key = key.ok_or_else(|| bad_request("claim", expected))?;
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    for part in [call.method.as_bytes(), call.path.as_bytes(), &call.body] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    Ok(Claim {
        service: service.name.clone(),
        key,
        fingerprint: hash.digest(),
        request,
    })
}

/// Runs a call that must not be repeated.
fn run_once<P: Parts, C: CatalogSource>(
    gateway: &Gateway<P, C>,
    service: &Service,
    call: &Call,
    claim: &Claim,
    deadline: Deadline,
) -> Result<Response, Problem> {
    let remaining = deadline
        .remaining(gateway.clock.now())
        .ok_or_else(|| deadline_problem(Execution::No))?;
    let grant = match gateway.claims.claim(claim, remaining.min(CLAIM_TIMEOUT)) {
        Ok(grant) => grant,
        Err(Denial::Done { outcome }) => return replay(outcome),
        Err(denial) => return Err(denial_problem(&denial)),
    };
    match dispatch(gateway, service, call, deadline) {
        Ok(answer) => {
            gateway.claims.complete(claim, grant, outcome_of(&answer));
            Ok(into_response(answer))
        }
        Err(problem) => {
            release_if_not_run(gateway, claim, grant, problem.execution);
            Err(problem)
        }
    }
}

/// Releases a claim whose request was certainly not run, and leaves any other claim as it is.
fn release_if_not_run<P: Parts, C>(
    gateway: &Gateway<P, C>,
    claim: &Claim,
    grant: Grant,
    execution: Execution,
) {
    if execution == Execution::No {
        gateway.claims.release(claim, grant);
    }
}

fn denial_problem(denial: &Denial) -> Problem {
    match denial {
        Denial::Held => Problem::new(409, "request in progress or of unknown outcome", "claim")
            .execution(Execution::Unknown)
            .retry_after(CLAIM_RETRY_AFTER),
        Denial::Mismatch => Problem::new(422, "key used for another request", "claim"),
        Denial::Full => {
            Problem::new(503, "no room for the claim", "claim").retry_after(CLAIMS_FULL_RETRY_AFTER)
        }
        Denial::Expired => Problem::new(400, "key outside of the retention", "claim"),
        _ => Problem::new(503, "no quorum for the claim", "claim").retry_after(CLAIM_RETRY_AFTER),
    }
    .detail(denial.to_string())
}

fn outcome_of(answer: &Answer) -> Outcome {
    let content_type = answer
        .headers
        .iter()
        .find(|(name, _)| name == "content-type");
    Outcome {
        status: answer.status,
        content_type: content_type
            .map(|(_, value)| value.clone())
            .unwrap_or_default(),
        body: (answer.body.len() <= MAX_REPLAY_BODY_BYTES).then(|| answer.body.clone()),
    }
}

/// Returns the recorded answer of a request that has run before.
fn replay(outcome: Outcome) -> Result<Response, Problem> {
    let Some(body) = outcome.body else {
        let detail = format!(
            "the request ran and was answered with status {}; its answer is no longer kept: it was \
             over {MAX_REPLAY_BODY_BYTES} bytes or made room for newer ones",
            outcome.status
        );
        let problem = Problem::new(409, "request has run", "claim").execution(Execution::Unknown);
        return Err(problem.detail(detail));
    };
    let response = Response::new(outcome.status)
        .header("Content-Type", outcome.content_type)
        .header("Idempotency-Replayed", "true");
    Ok(response.body(body))
}

fn into_response(answer: Answer) -> Response {
    Response {
        status: answer.status,
        headers: answer.headers,
        body: answer.body,
    }
}

/// Dispatches a call until a target answers it or no further dispatch is allowed.
fn dispatch<P: Parts, C: CatalogSource>(
    gateway: &Gateway<P, C>,
    service: &Service,
    call: &Call,
    deadline: Deadline,
) -> Result<Answer, Problem> {
    let admission = RouteRequest {
        team: None,
        name: service.name.as_str(),
        // Plain services declare no priority; this is the default priority of models.
        priority: 5,
        tokens: 0,
        deadline: deadline.0,
    };
    let _permit = gateway.router.admit(&admission).map_err(|rejection| {
        let problem = Problem::new(503, "over capacity", "admit").detail(rejection.to_string());
        problem.retry_after(rejection.retry_after)
    })?;
    let mut tried = TriedTargets::new();
    let mut history = History::default();
    let mut last_error: Option<Error> = None;
    loop {
        let Some(remaining) = deadline.remaining(gateway.clock.now()) else {
            return Err(deadline_problem(history.execution()));
        };
        let need = Need::Service {
            service: &service.name,
            concurrency: service.concurrency,
        };
        let Some(pick) = gateway.router.pick(&need, &tried) else {
            return Err(failure_problem(last_error.as_ref(), history.execution()));
        };
        let error = match forward(gateway, &pick, call, remaining) {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        log::info!(step = error.step, peer = error.target.as_str(); "dispatch of a service call failed: {error}");
        history.add(dispatch_progress(&error, 0));
        if let Cause::LocalResource { .. } = error.cause {
            return Err(local_problem(&error, history.execution()));
        }
        let retry = Retry {
            history: &history,
            is_repeatable: service.is_repeatable,
            deadline: deadline.0,
        };
        if let Decision::End { execution, .. } = gateway.router.decide(&retry) {
            if deadline.remaining(gateway.clock.now()).is_none() {
                return Err(deadline_problem(execution));
            }
            return Err(failure_problem(Some(&error), execution));
        }
        tried.push(pick.endpoint.target);
        last_error = Some(error);
    }
}

fn forward<P: Parts, C: CatalogSource>(
    gateway: &Gateway<P, C>,
    pick: &Pick,
    call: &Call,
    remaining: Duration,
) -> Result<Answer, Error> {
    let dispatched = gateway.clock.now();
    let result = gateway.targets.forward(&pick.endpoint, call, remaining);
    let total = gateway.clock.now().since(dispatched);
    // A timeout is no evidence against the target if the caller's deadline is shorter than the time for which a
    // target may be unresponsive. With a longer deadline it counts: otherwise, a target that hangs but still
    // sends reports would never be ejected.
    let is_ended_by_short_deadline =
        remaining < gateway.limits.bounds.max_token_gap && total >= remaining;
    let outcome = match &result {
        Err(error) if is_ended_by_short_deadline && can_result_from_deadline(error) => {
            DispatchOutcome::Abandoned
        }
        Ok(_) => DispatchOutcome::Answered {
            first: total,
            total,
        },
        Err(error) => DispatchOutcome::Failed { error },
    };
    gateway.router.finish_dispatch(pick, &outcome);
    result
}

fn failure_problem(last: Option<&Error>, execution: Execution) -> Problem {
    let problem = match execution {
        Execution::No => Problem::new(503, "no target could answer", "dispatch"),
        Execution::Unknown => Problem::new(502, "the target failed", "dispatch"),
    };
    let problem = problem
        .execution(execution)
        .retry_after(Duration::from_secs(1));
    match last {
        Some(error) => problem.detail(error.to_string()),
        None => problem.detail("no target of the service is ready"),
    }
}
