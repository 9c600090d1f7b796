//! Generation of answers by engines that fail, hang or answer late.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

#[path = "support/fakes.rs"]
mod fakes;

use std::{io::Write, net::TcpStream, sync::mpsc, time::Duration};

use buckthornmast_http::client::ReadError;
use buckthornmast_target::{
    error::Cause,
    work::{Event, Finish},
};
use fakes::{Fake, Step};
use serde_json::Value;

fn token(text: &str) -> Step {
    Ok(Some(Event::Token(text.to_owned())))
}

fn end() -> Step {
    Ok(Some(Event::Finish(Finish::Stop)))
}

fn connection_lost() -> Step {
    Err(Cause::Disconnected {
        reason: "for the test".to_owned(),
    })
}

const BODY: &str =
    r#"{"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":9,"stream":true}"#;

/// Returns all events, and whether the stream ended regularly.
fn stream(fake: &Fake) -> (String, bool) {
    let server = fakes::serve(fake);
    let mut response = fakes::post(&server, "/v1/chat/completions", &[], BODY);
    let mut events = String::new();
    let is_complete = loop {
        match response.event() {
            Ok(Some(event)) => events.push_str(&event),
            Ok(None) => break true,
            Err(ReadError::Truncated { .. }) => break false,
            Err(error) => panic!("{error}"),
        }
    };
    server.stop();
    (events, is_complete)
}

/// Guards against a resumed answer that repeats or skips tokens.
#[test]
fn stream_resumed() {
    let fake = Fake::default();
    fake.script().streams = [
        Ok(vec![token("a"), token("b"), connection_lost()]),
        Ok(vec![token("c"), end()]),
    ]
    .into();
    let (events, is_complete) = stream(&fake);
    assert!(is_complete && events.ends_with("[DONE]"), "{events}");
    for text in ["a", "b", "c"] {
        assert_eq!(
            events.matches(&format!("\"content\":\"{text}\"")).count(),
            1
        );
    }
    let works = &fake.script().works;
    assert_eq!(
        (works[1].resume.concat().as_str(), works[1].attempt.0),
        ("ab", 2)
    );
}

/// Guards against a silent target that is left although no other one can go on, and against one that is waited for although
/// another one can.
#[test]
fn stream_silent() {
    for is_alone in [true, false] {
        let fake = Fake::default();
        let silence = Err(Cause::TimedOut {
            bound: Duration::from_secs(1),
        });
        fake.script().is_alone = is_alone;
        fake.script().streams = [
            Ok(vec![token("a"), silence, token("b"), end()]),
            Ok(vec![token("b"), end()]),
        ]
        .into();
        let (events, is_complete) = stream(&fake);
        assert!(is_complete && events.ends_with("[DONE]"), "{events}");
        let dispatches = if is_alone { 1 } else { 2 };
        assert_eq!(fake.script().works.len(), dispatches);
    }
}

/// Guards against an answer that begins with one version of a model and continues with another.
#[test]
fn stream_resumed_older_version() {
    let fake = Fake::default();
    fake.script().picked_artifact = Some("m@0".parse().unwrap());
    fake.script().streams = [
        Ok(vec![token("a"), connection_lost()]),
        Ok(vec![token("b"), end()]),
    ]
    .into();
    let (events, is_complete) = stream(&fake);
    assert!(is_complete && events.ends_with("[DONE]"), "{events}");
    let works = &fake.script().works;
    let artifacts: Vec<String> = works.iter().map(|work| work.artifact.to_string()).collect();
    assert_eq!(artifacts, ["m@0", "m@0"]);
}

/// Guards against an answer "not run" although an earlier dispatch may have run, when the deadline passes
/// just before the next dispatch.
#[test]
fn stream_deadline_between_dispatches() {
    let fake = Fake::default();
    fake.script().streams = [Err(Cause::Failed { status: 500 })].into();
    // The deadline of the model is 20 s; the second target is picked after it.
    fake.script().pick_time = Duration::from_secs(11);
    let server = fakes::serve(&fake);
    let body = BODY.replace("true", "false");
    let mut response = fakes::post(&server, "/v1/chat/completions", &[], &body);
    let problem: Value = serde_json::from_slice(&response.read_to_end(1 << 16).unwrap()).unwrap();
    server.stop();
    assert_eq!((response.status, &problem["run"]), (504, &"unknown".into()));
}

/// Guards against an admitted request that is refused, or dispatched after its deadline, while a copy is being
/// loaded, and against a request that waits although no copy is being loaded.
#[test]
fn buffered_waits_for_copy() {
    // Whether a target is found after the wait, time of the wait in seconds, status, and calls to the fakes. The
    // deadline of the model is 20 s.
    let cases = [
        (true, 0, 200, "wait dispatch"),
        (true, 21, 504, "wait"),
        (false, 0, 503, "wait"),
    ];
    for (has_target_after_wait, waited_s, status, log) in cases {
        let fake = Fake::default();
        {
            let mut script = fake.script();
            script.has_no_target = true;
            script.has_target_after_wait = has_target_after_wait;
            script.pick_time = Duration::from_secs(waited_s);
            script.streams = [Ok(vec![token("a"), end()])].into();
        }
        let server = fakes::serve(&fake);
        let body = BODY.replace("true", "false");
        let mut response = fakes::post(&server, "/v1/chat/completions", &[], &body);
        let answer: Value =
            serde_json::from_slice(&response.read_to_end(1 << 16).unwrap()).unwrap();
        let retry_after = response.header("retry-after").map(str::to_owned);
        server.stop();
        assert_eq!(response.status, status, "{answer}");
        assert_eq!(fake.script().log.join(" "), log);
        if status != 200 {
            assert_eq!(answer["run"], "no");
        }
        if !has_target_after_wait {
            assert_eq!(retry_after.as_deref(), Some("7"));
        }
    }
}

/// Guards against a target that counts as failed, and is later ejected, because a caller's deadline ended
/// the wait.
#[test]
fn stream_deadline() {
    let timed_out = Cause::TimedOut {
        bound: Duration::from_secs(1),
    };
    // The deadline of the model is 20 s.
    for (dispatch_s, steps) in [
        (11, Ok(vec![token("a"), Err(timed_out.clone())])),
        (21, Err(timed_out)),
    ] {
        let fake = Fake::default();
        fake.script().dispatch_time = Duration::from_secs(dispatch_s);
        fake.script().streams = [steps].into();
        let server = fakes::serve(&fake);
        let body = BODY.replace("true", "false");
        let mut response = fakes::post(&server, "/v1/chat/completions", &[], &body);
        let problem: Value =
            serde_json::from_slice(&response.read_to_end(1 << 16).unwrap()).unwrap();
        server.stop();
        assert_eq!(
            (response.status, &problem["step"]),
            (504, &"deadline".into())
        );
        assert_eq!(problem["run"], "unknown");
        assert_eq!(fake.script().log.join(" "), "dispatch abandoned cancel");
    }
}

/// Guards against a truncated answer that looks complete, also when the engine ends its stream early.
#[test]
fn stream_truncated() {
    for (name, last) in [("lost", connection_lost()), ("ended early", Ok(None))] {
        let fake = Fake::default();
        fake.script().streams = [
            Ok(vec![token("a"), last]),
            Err(Cause::NotSent {
                reason: "for the test".to_owned(),
            }),
            Err(Cause::NotSent {
                reason: "for the test".to_owned(),
            }),
        ]
        .into();
        let (events, is_complete) = stream(&fake);
        assert!(!is_complete, "{name}: {events}");
        assert!(!events.contains("[DONE]"), "{name}: {events}");
        assert!(
            !events.contains("\"finish_reason\":\"stop\""),
            "{name}: {events}"
        );
        assert!(events.contains("\"run\":\"unknown\""), "{name}: {events}");
    }
}

/// Guards against an answer that waits for the cancel of a frozen engine and is therefore sent after its deadline.
#[test]
fn stream_deadline_before_cancel() {
    let fake = Fake::default();
    let (answered, caller_answered) = mpsc::channel();
    // The deadline of the model is 20 s.
    fake.script().dispatch_time = Duration::from_secs(21);
    fake.script().caller_answered = Some(caller_answered);
    fake.script().streams = [Err(Cause::TimedOut {
        bound: Duration::from_secs(1),
    })]
    .into();
    let server = fakes::serve(&fake);
    let body = BODY.replace("true", "false");
    let mut response = fakes::post(&server, "/v1/chat/completions", &[], &body);
    assert!(response.read_to_end(1 << 16).is_ok());
    let _ = answered.send(());
    server.stop();
    assert_eq!(response.status, 504);
    assert_eq!(fake.script().log.join(" "), "dispatch abandoned cancel");
}

/// Sends a request and disconnects.
fn abandon(fake: &Fake, body: &str) {
    let server = fakes::serve(fake);
    let mut caller = TcpStream::connect(server.address()).unwrap();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    caller.write_all(head.as_bytes()).unwrap();
    // The handler has received the request by then; stopping the server waits for the handler to end.
    std::thread::sleep(Duration::from_millis(200));
    drop(caller);
    server.stop();
}

/// Guards against an engine that continues to process a prompt whose caller disconnected before the first token.
#[test]
fn stream_abandoned_before_first_token() {
    for body in [BODY.to_owned(), BODY.replace("true", "false")] {
        let fake = Fake::default();
        let timed_out = || {
            Err(Cause::TimedOut {
                bound: Duration::from_millis(20),
            })
        };
        let mut steps: Vec<Step> = (0..200).map(|_| timed_out()).collect();
        steps.extend([token("a"), end()]);
        fake.script().failed_step_time = Duration::from_millis(20);
        fake.script().streams = [Ok(steps)].into();
        abandon(&fake, &body);
        assert_eq!(fake.script().log.join(" "), "dispatch abandoned cancel");
        assert_eq!(fake.script().served_steps, 0, "{body}");
    }
}

/// Guards against a dispatch for a caller that disconnected while its request waited for admission.
#[test]
fn stream_abandoned_before_dispatch() {
    let fake = Fake::default();
    fake.script().admission_time = Duration::from_secs(1);
    fake.script().streams = [Ok(vec![token("a"), end()])].into();
    abandon(&fake, BODY);
    assert_eq!(fake.script().log.join(" "), "");
}

/// Guards against a target that counts as unreachable because a caller's deadline ended the connect.
#[test]
fn stream_deadline_in_connect() {
    let fake = Fake::default();
    // The deadline of the model is 20 s.
    fake.script().dispatch_time = Duration::from_secs(21);
    fake.script().streams = [Err(Cause::NotSent {
        reason: "for the test".to_owned(),
    })]
    .into();
    let server = fakes::serve(&fake);
    let mut response = fakes::post(&server, "/v1/chat/completions", &[], BODY);
    let problem: Value = serde_json::from_slice(&response.read_to_end(1 << 16).unwrap()).unwrap();
    server.stop();
    assert_eq!((response.status, &problem["run"]), (504, &"no".into()));
    assert_eq!(fake.script().log.join(" "), "dispatch abandoned");
}

/// Guards against a lack of resources on this instance that leads to an immediate retry at each target.
#[test]
fn stream_without_resources() {
    let fake = Fake::default();
    let local = || {
        Err(Cause::LocalResource {
            reason: "for the test".to_owned(),
        })
    };
    fake.script().streams = [local(), local()].into();
    let server = fakes::serve(&fake);
    let mut response = fakes::post(&server, "/v1/chat/completions", &[], BODY);
    let problem: Value = serde_json::from_slice(&response.read_to_end(1 << 16).unwrap()).unwrap();
    server.stop();
    assert_eq!((response.status, &problem["run"]), (503, &"no".into()));
    assert_eq!(response.header("retry-after"), Some("1"));
    assert_eq!(fake.script().log.join(" "), "dispatch");
}
