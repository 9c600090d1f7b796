//! Calls of plain services: the answer to the caller, and whether the claim is completed, released or left in place.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

#[path = "support/fakes.rs"]
mod fakes;

use std::time::Duration;

use buckthornmast_gateway::claim::{Denial, Outcome};
use buckthornmast_target::error::Cause;
use buckthornmast_types::id;
use fakes::Fake;
use serde_json::Value;

fn reason() -> String {
    "for the test".to_owned()
}

fn not_sent() -> Cause {
    Cause::NotSent { reason: reason() }
}

fn refused() -> Cause {
    Cause::Refused {
        status: 503,
        retry_after: Some(Duration::from_secs(1)),
    }
}

fn disconnected() -> Cause {
    Cause::Disconnected { reason: reason() }
}

/// Observed result of one call.
#[derive(Debug, PartialEq)]
struct Observed {
    status: u16,
    run: Option<String>,
    log: String,
}

fn observed(status: u16, run: &str, log: &str) -> Observed {
    Observed {
        status,
        run: (!run.is_empty()).then(|| run.to_owned()),
        log: log.to_owned(),
    }
}

fn call(service: &str, prepare: impl FnOnce(&Fake)) -> (Observed, Option<String>) {
    let fake = Fake::default();
    prepare(&fake);
    let server = fakes::serve(&fake);
    let key = id::Key::generate().to_string();
    let target = format!("/services/{service}/orders");
    let mut response = fakes::post(&server, &target, &[("Idempotency-Key", &key)], "LP 7");
    let body = response.read_to_end(1 << 16).unwrap();
    let problem: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    if problem.is_object() {
        let kind = response.header("content-type");
        assert_eq!(kind, Some("application/problem+json"));
        assert!(problem["step"].is_string(), "{problem}");
    }
    let result = Observed {
        status: response.status,
        run: problem["run"].as_str().map(str::to_owned),
        log: fake.script().log.join(" "),
    };
    let retry_after = response.header("retry-after").map(str::to_owned);
    server.stop();
    (result, retry_after)
}

/// Guards against an answer "not run" for a call that may have been run, a second dispatch of such a call,
/// and the release of its claim.
#[test]
fn call_once_failures() {
    let timed_out = || Cause::TimedOut {
        bound: Duration::from_secs(1),
    };
    let malformed = || Cause::Malformed { reason: reason() };
    let failed = || Cause::Failed { status: 500 };
    type Case = (&'static str, Vec<Result<&'static str, Cause>>, Observed);
    let cases: Vec<Case> = vec![
        (
            "answered",
            vec![Ok("done")],
            observed(200, "", "claim dispatch complete"),
        ),
        (
            "not sent, then answered",
            vec![Err(not_sent()), Ok("done")],
            observed(200, "", "claim dispatch dispatch complete"),
        ),
        (
            "refused, then answered",
            vec![Err(refused()), Ok("done")],
            observed(200, "", "claim dispatch dispatch complete"),
        ),
        (
            "never sent",
            vec![Err(not_sent()), Err(not_sent()), Err(refused())],
            observed(503, "no", "claim dispatch dispatch dispatch release"),
        ),
        (
            "lost",
            vec![Err(disconnected()), Ok("x")],
            observed(502, "unknown", "claim dispatch"),
        ),
        (
            "timed out",
            vec![Err(timed_out()), Ok("x")],
            observed(502, "unknown", "claim dispatch"),
        ),
        (
            "malformed",
            vec![Err(malformed()), Ok("x")],
            observed(502, "unknown", "claim dispatch"),
        ),
        (
            "failed",
            vec![Err(failed()), Ok("x")],
            observed(502, "unknown", "claim dispatch"),
        ),
        (
            "not sent, then lost",
            vec![Err(not_sent()), Err(disconnected()), Ok("x")],
            observed(502, "unknown", "claim dispatch dispatch"),
        ),
    ];
    for (name, script, expected) in cases {
        let (result, _) = call("ledger", |fake| fake.script().calls = script.into());
        assert_eq!(result, expected, "{name}");
    }
}

/// Guards against an answer "not run" for a repeatable call of which only the last dispatch was not sent.
#[test]
fn call_repeatable_failures() {
    let (first_lost, _) = call("desk", |fake| {
        fake.script().calls = [Err(disconnected()), Ok("done")].into();
    });
    assert_eq!(first_lost, observed(200, "", "dispatch dispatch"));
    let (last_not_sent, _) = call("desk", |fake| {
        fake.script().calls = [Err(disconnected()), Err(not_sent()), Err(refused())].into();
    });
    assert_eq!(
        last_not_sent,
        observed(502, "unknown", "dispatch dispatch dispatch")
    );
}

/// Guards against a claim that is not released although nothing was dispatched.
#[test]
fn call_once_not_dispatched() {
    let (no_target, _) = call("ledger", |fake| fake.script().has_no_target = true);
    assert_eq!(no_target, observed(503, "no", "claim release"));
    let (full, retry_after) = call("ledger", |fake| fake.script().is_full = true);
    assert_eq!(full, observed(503, "no", "claim release"));
    assert_eq!(retry_after.as_deref(), Some("7"));
    // The default deadline is 30 s, and each dispatch takes 31 s.
    let (late, _) = call("ledger", |fake| {
        fake.script().dispatch_time = Duration::from_secs(31);
        fake.script().calls = [Err(refused()), Ok("x")].into();
    });
    assert_eq!(late, observed(504, "no", "claim dispatch release"));
    let (lost_late, _) = call("ledger", |fake| {
        fake.script().dispatch_time = Duration::from_secs(31);
        fake.script().calls = [Err(disconnected()), Ok("x")].into();
    });
    assert_eq!(lost_late, observed(504, "unknown", "claim dispatch"));
}

/// Guards against a dispatch without a granted claim, and against answers on which the sender of a resent call
/// can't act.
#[test]
fn call_once_denied() {
    let outcome = |body: Option<&[u8]>| Outcome {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: body.map(<[u8]>::to_vec),
    };
    let unavailable = Denial::Unavailable { reason: reason() };
    let replayed = Denial::Done {
        outcome: outcome(Some(b"first")),
    };
    let not_stored = Denial::Done {
        outcome: outcome(None),
    };
    let cases = [
        ("done", replayed, 201, "", None),
        ("done, body not stored", not_stored, 409, "unknown", None),
        ("held", Denial::Held, 409, "unknown", Some("1")),
        ("mismatch", Denial::Mismatch, 422, "no", None),
        ("expired", Denial::Expired, 400, "no", None),
        ("full", Denial::Full, 503, "no", Some("60")),
        ("unavailable", unavailable, 503, "no", Some("1")),
    ];
    for (name, denial, status, run, expected_retry_after) in cases {
        let (result, retry_after) = call("ledger", |fake| fake.script().denial = Some(denial));
        assert_eq!(result, observed(status, run, "claim"), "{name}");
        assert_eq!(retry_after.as_deref(), expected_retry_after, "{name}");
    }
}

/// Guards against a plain target that counts as failed because a caller's short deadline ended the wait, and
/// against one that hangs and never counts as failed.
#[test]
fn call_deadline() {
    let timed_out = Cause::TimedOut {
        bound: Duration::from_secs(1),
    };
    let causes = [
        (timed_out, "unknown"),
        (disconnected(), "unknown"),
        (not_sent(), "no"),
    ];
    for (cause, run) in causes {
        // `max_token_gap`, the longest time for which a target may be unresponsive, is 1 s.
        for (deadline, log) in [("500", "dispatch abandoned"), ("1500", "dispatch")] {
            let fake = Fake::default();
            fake.script().dispatch_time = Duration::from_secs(2);
            fake.script().calls = [Err(cause.clone())].into();
            let server = fakes::serve(&fake);
            let headers = [("Request-Timeout-Ms", deadline)];
            let mut response = fakes::post(&server, "/services/desk/a", &headers, "");
            let problem: Value =
                serde_json::from_slice(&response.read_to_end(1 << 16).unwrap()).unwrap();
            server.stop();
            assert_eq!((response.status, &problem["run"]), (504, &run.into()));
            assert_eq!(fake.script().log.join(" "), log, "{cause}, {deadline} ms");
        }
    }
}

/// Guards against a lack of resources on this instance that leads to an immediate retry at each target, or
/// to a claim that is not released although nothing was sent.
#[test]
fn call_without_resources() {
    let local = || Err(Cause::LocalResource { reason: reason() });
    for (service, log) in [("ledger", "claim dispatch release"), ("desk", "dispatch")] {
        let (result, retry_after) = call(service, |fake| {
            fake.script().calls = [local(), local(), Ok("")].into();
        });
        assert_eq!(result, observed(503, "no", log), "{service}");
        assert_eq!(retry_after.as_deref(), Some("1"), "{service}");
    }
    // Whether an earlier dispatch has run stays unknown.
    let (result, _) = call("desk", |fake| {
        fake.script().calls = [Err(disconnected()), local(), Ok("")].into();
    });
    assert_eq!(result, observed(503, "unknown", "dispatch dispatch"));
}

/// Guards against a call that reaches a service with a path other than the caller's, because the path was
/// percent-encoded differently.
#[test]
fn call_path_as_sent() {
    for (target, path) in [
        ("/services/desk/a/b?c=d", Some("/a/b?c=d")),
        ("/services/desk", Some("/")),
        ("/services/desk?c=d", Some("/?c=d")),
        ("/services/desk/%64", Some("/%64")),
        ("/services/des%6b/a", None),
        ("/%73ervices/desk/a", None),
        ("/services/services/desk/a", None),
    ] {
        let fake = Fake::default();
        fake.script().calls = [Ok("")].into();
        let server = fakes::serve(&fake);
        let response = fakes::post(&server, target, &[], "");
        let status = if path.is_some() { 200 } else { 404 };
        assert_eq!(response.status, status, "{target}");
        let expected: Vec<&str> = path.into_iter().collect();
        assert_eq!(fake.script().called_paths, expected, "{target}");
        drop(response);
        server.stop();
    }
}
