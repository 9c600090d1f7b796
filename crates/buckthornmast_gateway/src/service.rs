//! Calls to plain services.
//!
//! A call of a service that may not be repeated needs an idempotency key. It is claimed before the
//! first byte of dispatch and dispatched once; it is dispatched again only if the target certainly
//! did not run it. A resend gets the recorded outcome.

use std::time::Duration;

use buckthornmast_http::{exchange::Exchange, problem::Problem, response::Response};
use buckthornmast_routing::attempt::{Decision, History};
use buckthornmast_target::{
    engine::{Answer, Call, Plain as _},
    error::{Cause, Error},
};
use buckthornmast_types::{id, outcome::Run, time::Clock};

use crate::{
    catalog::Plain,
    claim::{Claim, Claims, Denied, Grant, MAX_KEPT_BYTES, Outcome},
    deadline::Deadline,
    gateway::{
        Gateway, Names, Parts, bad_request, deadline_problem, is_cut_by_deadline, local_problem,
        respond,
    },
    router::{Ask, Need, Pick, Report, Retry, Router, Tried, dispatch_of},
};

/// Header of the idempotency key (IETF httpapi draft).
pub const KEY_HEADER: &str = "idempotency-key";

/// Longest wait for a claim; the leader changes within a second.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which a caller may ask again for the outcome of a request in progress.
const HELD_RETRY: Duration = Duration::from_secs(1);

/// Time after which a caller may ask again when there is no room for claims; room comes back as keys expire.
const FULL_RETRY: Duration = Duration::from_secs(60);

/// Carries a call to its end.
pub(crate) fn run<P: Parts, N: Names>(
    gateway: &Gateway<P, N>,
    mut exchange: Exchange,
    plain: &Plain,
    deadline: Deadline,
) {
    let body = match exchange.body(gateway.limits.body) {
        Ok(body) => body,
        Err(error) => return respond(exchange, Problem::from(error)),
    };
    let call = call_of(&exchange, plain, body);
    let request = id::Request::generate();
    let result = if plain.repeatable {
        dispatch(gateway, plain, &call, deadline).map(into_response)
    } else {
        match claim_of(&exchange, plain, &call, request) {
            Ok(claim) => run_once(gateway, plain, &call, &claim, deadline),
            Err(problem) => Err(problem),
        }
    };
    match result {
        Ok(response) => respond(exchange, response),
        Err(problem) => respond(exchange, problem.request(request)),
    }
}

fn call_of(exchange: &Exchange, plain: &Plain, body: Vec<u8>) -> Call {
    let prefix = format!("/services/{}", plain.service);
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
    plain: &Plain,
    call: &Call,
    request: id::Request,
) -> Result<Claim, Problem> {
    let expected = format!(
        "{} needs the header Idempotency-Key with a UUIDv7",
        plain.service
    );
    let text = exchange
        .header(KEY_HEADER)
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
        service: plain.service.clone(),
        key,
        fingerprint: hash.digest(),
        request,
    })
}

/// Runs a call that must not be repeated.
fn run_once<P: Parts, N: Names>(
    gateway: &Gateway<P, N>,
    plain: &Plain,
    call: &Call,
    claim: &Claim,
    deadline: Deadline,
) -> Result<Response, Problem> {
    let left = deadline
        .left(gateway.clock.now())
        .ok_or_else(|| deadline_problem(Run::No))?;
    let grant = match gateway.claims.claim(claim, left.min(CLAIM_TIMEOUT)) {
        Ok(grant) => grant,
        Err(Denied::Done { outcome }) => return replay(outcome),
        Err(denied) => return Err(denied_problem(&denied)),
    };
    match dispatch(gateway, plain, call, deadline) {
        Ok(answer) => {
            gateway.claims.complete(claim, grant, outcome_of(&answer));
            Ok(into_response(answer))
        }
        Err(problem) => {
            settle(gateway, claim, grant, problem.run);
            Err(problem)
        }
    }
}

/// Releases a claim whose request was certainly not run; any other stays held.
fn settle<P: Parts, N>(gateway: &Gateway<P, N>, claim: &Claim, grant: Grant, run: Run) {
    if run == Run::No {
        gateway.claims.release(claim, grant);
    }
}

fn denied_problem(denied: &Denied) -> Problem {
    match denied {
        Denied::Held => Problem::new(409, "request in progress or of unknown outcome", "claim")
            .run(Run::Unknown)
            .retry_after(HELD_RETRY),
        Denied::Mismatch => Problem::new(422, "key used for another request", "claim"),
        Denied::Full => Problem::new(503, "no room for the claim", "claim").retry_after(FULL_RETRY),
        Denied::Expired => Problem::new(400, "key outside of the retention", "claim"),
        _ => Problem::new(503, "no quorum for the claim", "claim").retry_after(HELD_RETRY),
    }
    .detail(denied.to_string())
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
        body: (answer.body.len() <= MAX_KEPT_BYTES).then(|| answer.body.clone()),
    }
}

/// Returns the recorded answer of a request that ran before.
fn replay(outcome: Outcome) -> Result<Response, Problem> {
    let Some(body) = outcome.body else {
        let detail = format!(
            "the request ran and was answered with status {}; its answer is no longer kept: it was \
             over {MAX_KEPT_BYTES} bytes or made room for newer ones",
            outcome.status
        );
        let problem = Problem::new(409, "request has run", "claim").run(Run::Unknown);
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

/// Dispatches a call until a target answers it or it may not be dispatched again.
fn dispatch<P: Parts, N: Names>(
    gateway: &Gateway<P, N>,
    plain: &Plain,
    call: &Call,
    deadline: Deadline,
) -> Result<Answer, Problem> {
    let ask = Ask {
        team: None,
        name: plain.service.as_str(),
        priority: 5,
        tokens: 0,
        deadline: deadline.0,
    };
    let _permit = gateway.router.admit(&ask).map_err(|refused| {
        let problem = Problem::new(503, "over capacity", "admit").detail(refused.to_string());
        problem.retry_after(refused.retry_after)
    })?;
    let mut tried = Tried::new();
    let mut history = History::default();
    let mut last: Option<Error> = None;
    loop {
        let Some(left) = deadline.left(gateway.clock.now()) else {
            return Err(deadline_problem(history.run()));
        };
        let need = Need::Service {
            service: &plain.service,
            concurrency: plain.concurrency,
        };
        let Some(pick) = gateway.router.pick(&need, &tried) else {
            return Err(failed(last.as_ref(), history.run()));
        };
        let error = match forward(gateway, &pick, call, left) {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        log::info!(step = error.step, peer = error.target.as_str(); "call failed: {error}");
        history.add(dispatch_of(&error, 0));
        if let Cause::Local { .. } = error.cause {
            return Err(local_problem(&error, history.run()));
        }
        let retry = Retry {
            history: &history,
            repeatable: plain.repeatable,
            deadline: deadline.0,
        };
        if let Decision::End { run, .. } = gateway.router.decide(&retry) {
            if deadline.left(gateway.clock.now()).is_none() {
                return Err(deadline_problem(run));
            }
            return Err(failed(Some(&error), run));
        }
        tried.push(pick.endpoint.target);
        last = Some(error);
    }
}

fn forward<P: Parts, N: Names>(
    gateway: &Gateway<P, N>,
    pick: &Pick,
    call: &Call,
    left: Duration,
) -> Result<Answer, Error> {
    let begun = gateway.clock.now();
    let result = gateway.targets.forward(&pick.endpoint, call, left);
    let total = gateway.clock.now().since(begun);
    // A caller that waits for less than a target may be silent says nothing about it. One that waits for
    // longer does: a target that hangs and still reports would never be ejected otherwise.
    let is_short = left < gateway.limits.bounds.gap && total >= left;
    let report = match &result {
        Err(error) if is_short && is_cut_by_deadline(error) => Report::Abandoned,
        Ok(_) => Report::Answered {
            first: total,
            total,
        },
        Err(error) => Report::Failed { error },
    };
    gateway.router.done(pick, &report);
    result
}

fn failed(last: Option<&Error>, run: Run) -> Problem {
    let problem = match run {
        Run::No => Problem::new(503, "no target could answer", "dispatch"),
        Run::Unknown => Problem::new(502, "the target failed", "dispatch"),
    };
    let problem = problem.run(run).retry_after(Duration::from_secs(1));
    match last {
        Some(error) => problem.detail(error.to_string()),
        None => problem.detail("no target of the service is ready"),
    }
}
