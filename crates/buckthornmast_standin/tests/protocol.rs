//! Target protocol as implemented by the stand-in.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

use std::{thread, time::Duration};

use buckthornmast_http::client::{self, Response, Timeouts};
use buckthornmast_standin::{
    flags::Standin as Flags,
    serve::{self, Standin},
};
use buckthornmast_target::work::{Chunk, Event, Finish, Message, Work};
use buckthornmast_types::{
    id,
    order::{Action, Order, Reply},
    size::Bytes,
};
use serde::Serialize;
use serde_json::{Value, json};

const AUTHORIZATION: &str = "Bearer target-secret";

fn start(extra_args: &[&str]) -> Standin {
    let mut args = vec![
        "--name",
        "engine-1",
        "--domain",
        "north",
        "--kind",
        "engine",
        "--service",
        "chat",
        "--listen",
        "127.0.0.1:0",
        "--memory",
        "10GiB",
        "--load-rate",
        "20GiB",
        "--token-gap",
        "10ms",
        "--prompt-time",
        "1ms",
        "--access-token",
        "target-secret",
    ];
    args.extend(extra_args);
    let args = args.into_iter().map(Into::into).collect();
    serve::start(Flags::from_vec(args).unwrap()).unwrap()
}

fn post_as(standin: &Standin, access: Option<&str>, path: &str, body: &impl Serialize) -> Response {
    let headers: Vec<(&str, &str)> = access
        .map(|token| ("Authorization", token))
        .into_iter()
        .collect();
    let request = client::Request {
        method: "POST",
        target: path,
        headers: &headers,
        body: &serde_json::to_vec(body).unwrap(),
    };
    let timeouts = Timeouts::all(Duration::from_secs(60));
    client::send(standin.address(), &request, &timeouts).unwrap()
}

fn post(standin: &Standin, path: &str, body: &impl Serialize) -> Response {
    post_as(standin, Some(AUTHORIZATION), path, body)
}

fn order(token: u64, action: Action) -> Order {
    Order {
        id: id::Order::generate(),
        target: "engine-1".parse().unwrap(),
        incarnation: id::Incarnation(1),
        token: id::Token(token),
        action,
    }
}

fn send_order(standin: &Standin, token: u64, action: Action) -> Reply {
    let mut response = post(standin, "/v1/orders", &order(token, action));
    assert_eq!(response.status, 200);
    serde_json::from_slice(&response.read_to_end(4096).unwrap()).unwrap()
}

fn load(artifact: &str, gib: u64) -> Action {
    Action::Load {
        artifact: artifact.parse().unwrap(),
        bytes: Bytes::gib(gib),
    }
}

fn unload(artifact: &str) -> Action {
    Action::Unload {
        artifact: artifact.parse().unwrap(),
    }
}

fn work(artifact: &str, resume: &[&str], max_tokens: u32) -> Work {
    Work {
        request: id::Request::generate(),
        attempt: id::Attempt(1),
        artifact: artifact.parse().unwrap(),
        messages: vec![Message {
            role: "user".to_owned(),
            content: "x y".to_owned(),
        }],
        max_tokens,
        priority: 5,
        resume: resume.iter().map(|token| (*token).to_owned()).collect(),
        deadline_ms: 60_000,
        prefix: None,
    }
}

fn counters(standin: &Standin) -> Value {
    let request = client::Request {
        method: "GET",
        target: "/counters",
        headers: &[],
        body: b"",
    };
    let timeouts = Timeouts::all(Duration::from_secs(60));
    let mut response = client::send(standin.address(), &request, &timeouts).unwrap();
    serde_json::from_slice(&response.read_to_end(1 << 16).unwrap()).unwrap()
}

/// Waits until work on an artifact is answered with the given status.
fn wait_for(standin: &Standin, artifact: &str, status: u16) {
    for _ in 0..2000 {
        if post(standin, "/v1/generate", &work(artifact, &[], 1)).status == status {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("work on {artifact} was not answered with {status} within 2000 attempts");
}

fn chunks(response: &mut Response) -> Vec<Chunk> {
    let mut chunks = Vec::new();
    while let Some(event) = response.event().unwrap() {
        chunks.push(serde_json::from_str(&event).unwrap());
    }
    chunks
}

/// Guards against a stand-in that accepts orders that an engine refuses, which would make tests of memory and fencing
/// meaningless.
#[test]
fn order_table() {
    let standin = start(&[]);
    let cases = [
        ("first load", 5, load("m@1", 6), Reply::Accepted),
        ("same load again", 5, load("m@1", 6), Reply::Accepted),
        (
            "too large beside the first",
            5,
            load("n@1", 5),
            Reply::Refused,
        ),
        ("fits exactly", 5, load("n@1", 4), Reply::Accepted),
        ("old token", 4, unload("m@1"), Reply::Fenced),
        ("higher token", 9, Action::Fence, Reply::Accepted),
        ("token fenced off", 5, unload("m@1"), Reply::Fenced),
        ("unload", 9, unload("m@1"), Reply::Accepted),
        (
            "load while it is unloaded",
            9,
            load("m@1", 6),
            Reply::Refused,
        ),
        ("unload of nothing", 9, unload("o@1"), Reply::Accepted),
    ];
    for (name, token, action, reply) in cases {
        assert_eq!(send_order(&standin, token, action), reply, "{name}");
    }
    let engine = counters(&standin)["engine"].clone();
    assert_eq!(engine["fenced"], 2, "{engine}");
    assert_eq!(engine["overcommitted"], 1, "{engine}");
    standin.stop();
    let unfenced = start(&["--ignore-fencing"]);
    assert_eq!(send_order(&unfenced, 9, Action::Fence), Reply::Accepted);
    assert_eq!(send_order(&unfenced, 1, load("m@1", 1)), Reply::Accepted);
    unfenced.stop();
}

/// Guards against work on an artifact that is not in memory, whose base model is not, or that was unloaded, and
/// against a refusal without a `Retry-After` header.
#[test]
fn generate_ready_only() {
    let standin = start(&[]);
    let assert_refused = |artifact: &str| {
        let response = post(&standin, "/v1/generate", &work(artifact, &[], 1));
        assert_eq!(response.status, 503, "{artifact}");
        assert!(response.header("retry-after").is_some(), "{artifact}");
    };
    assert_refused("m@1");
    // At the load rate of 20 GiB/s, 8 GiB take 0.4 s, so the artifact is still loading at the next request.
    assert_eq!(send_order(&standin, 1, load("m@1", 8)), Reply::Accepted);
    assert_refused("m@1");
    wait_for(&standin, "m@1", 200);
    assert_refused("m@2");
    assert_refused("m@1+a@1");
    assert_eq!(send_order(&standin, 1, load("m@1+a@1", 1)), Reply::Accepted);
    wait_for(&standin, "m@1+a@1", 200);
    assert_eq!(send_order(&standin, 1, unload("m@1")), Reply::Accepted);
    assert_refused("m@1");
    assert_refused("m@1+a@1");
    standin.stop();
}

/// Guards against a resumed answer that differs from an uninterrupted one.
#[test]
fn generate_resume() {
    let standin = start(&[]);
    send_order(&standin, 1, load("m@1", 1));
    wait_for(&standin, "m@1", 200);
    let uninterrupted = work("m@1", &[], 5);
    let all = chunks(&mut post(&standin, "/v1/generate", &uninterrupted));
    assert_eq!(all.len(), 6);
    let tokens: Vec<&str> = all
        .iter()
        .filter_map(|chunk| match &chunk.event {
            Event::Token(token) => Some(token.as_str()),
            Event::Finish(_) => None,
        })
        .collect();
    for sent in 0..=5 {
        let rest = work("m@1", &tokens[..sent], 5);
        let resumed = chunks(&mut post(&standin, "/v1/generate", &rest));
        assert_eq!(resumed.len(), 6 - sent);
        for (chunk, expected) in resumed.iter().zip(&all[sent..]) {
            assert_eq!((chunk.request, chunk.attempt), (rest.request, rest.attempt));
            assert_eq!(
                (chunk.index, &chunk.event),
                (expected.index, &expected.event)
            );
        }
        let last = &resumed[resumed.len() - 1];
        assert_eq!(
            (last.index, &last.event),
            (5, &Event::Finish(Finish::Length))
        );
    }
    standin.stop();
}

/// Guards against work that continues after it was cancelled, and against the cancellation of another attempt.
#[test]
fn cancel_ends_stream() {
    let standin = start(&[]);
    send_order(&standin, 1, load("m@1", 1));
    wait_for(&standin, "m@1", 200);
    let long = work("m@1", &[], 3000);
    let mut response = post(&standin, "/v1/generate", &long);
    assert!(response.event().unwrap().is_some());
    let cancel = |attempt: u64| {
        let body = json!({ "request": long.request, "attempt": attempt });
        assert_eq!(post(&standin, "/v1/cancel", &body).status, 200);
    };
    cancel(2);
    for _ in 0..10 {
        assert!(
            response.event().unwrap().is_some(),
            "another attempt was cancelled"
        );
    }
    cancel(1);
    let mut tokens = 0;
    // The stream is cut without a proper end, so that it can't be mistaken for a complete answer.
    while let Ok(event) = response.event() {
        assert!(
            event.is_some(),
            "a cancelled stream ended like a complete one"
        );
        tokens += 1;
    }
    assert!(tokens < 2900, "{tokens} tokens after the cancellation");
    standin.stop();
}

/// Guards against orders and work from clients without the access token.
#[test]
fn access_token_checked() {
    let standin = start(&[]);
    for access in [
        None,
        Some("target-secret"),
        Some("Bearer other"),
        Some("Bearer "),
    ] {
        let body = order(1, load("m@1", 1));
        assert_eq!(post_as(&standin, access, "/v1/orders", &body).status, 403);
        let body = work("m@1", &[], 1);
        assert_eq!(post_as(&standin, access, "/v1/generate", &body).status, 403);
        let body = json!({ "request": id::Request::generate(), "attempt": 1 });
        assert_eq!(post_as(&standin, access, "/v1/cancel", &body).status, 403);
    }
    assert_eq!(counters(&standin)["engine"]["orders"], 0);
    standin.stop();
    // Work that does not follow the protocol is refused before it begins.
    let standin = start(&[]);
    for path in ["/v1/orders", "/v1/generate", "/v1/cancel"] {
        assert_eq!(
            post(&standin, path, &json!({ "x": 1 })).status,
            400,
            "{path}"
        );
    }
    assert_eq!(post(&standin, "/v2/orders", &json!({})).status, 404);
    standin.stop();
}
