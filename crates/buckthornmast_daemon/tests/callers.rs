//! HTTP interface for callers, over a real daemon with a stand-in engine and service.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

#[path = "support/press.rs"]
mod press;

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    time::Duration,
};

use buckthornmast_http::client::{self, ReadError, Response, Timeouts};
use buckthornmast_trial::prelude::*;
use buckthornmast_types::id;
use serde_json::Value;

/// Declared model that one engine has loaded.
const MODEL: &str = "catalogue";

/// Timeout that only ends a hanging test.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

const CHAT: &str = "/v1/chat/completions";

/// Answer read from the raw bytes, independent of any client library.
struct RawAnswer {
    status: u16,
    head: String,
    body: String,
}

/// Sends bytes, closes the sending side if `closes_sending`, and reads until the daemon closes the connection.
fn send_raw(address: SocketAddr, bytes: &[u8], closes_sending: bool) -> RawAnswer {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    // The daemon may refuse and close before it has read everything.
    let _ = stream.write_all(bytes);
    if closes_sending {
        stream.shutdown(Shutdown::Write).unwrap();
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let text = String::from_utf8_lossy(&answer).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    RawAnswer {
        status: status.unwrap_or(0),
        head: head.to_lowercase(),
        body: body.to_owned(),
    }
}

fn request(method: &str, path: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n{headers}\
         Content-Length: {length}\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}

fn chat(headers: &str, body: &str) -> Vec<u8> {
    request("POST", CHAT, headers, body.as_bytes())
}

fn send(address: SocketAddr, headers: &[(&str, &str)], tokens: u32, stream: bool) -> Response {
    let body = caller::chat_body(MODEL, "a b", tokens, stream);
    let request = client::Request {
        method: "POST",
        target: CHAT,
        headers,
        body: body.as_bytes(),
    };
    client::send(address, &request, &Timeouts::all(HANG_TIMEOUT)).unwrap()
}

fn json(response: &mut Response) -> Value {
    serde_json::from_slice(&response.read_to_end(1 << 20).unwrap()).unwrap()
}

/// Returns all events, and whether the stream was complete.
fn events(response: &mut Response) -> (Vec<String>, bool) {
    let mut events = Vec::new();
    loop {
        match response.event() {
            Ok(Some(event)) => events.push(event),
            Ok(None) => return (events, true),
            Err(ReadError::Truncated { .. }) => return (events, false),
            Err(error) => panic!("{error}"),
        }
    }
}

/// Returns the number of tokens that the engine has sent.
fn engine_tokens(cluster: &Cluster) -> u64 {
    caller::counters(cluster.targets[0].address)["engine"]["tokens"]
        .as_u64()
        .unwrap()
}

fn start() -> Cluster {
    let mut cluster = press::start(&press::THREE[..1]);
    cluster
        .add_engine("engine-1", "north", &["--token-gap", "50ms"])
        .unwrap();
    cluster.add_plain_service("counter", "north", &[]).unwrap();
    cluster.wait_for_model(0, MODEL);
    cluster
}

/// Name, request bytes, whether the client closes its sending side, expected status and expected step.
type Case = (&'static str, Vec<u8>, bool, u16, &'static str);

/// Bad bodies of chat requests.
fn bad_bodies() -> Vec<Case> {
    let message = r#""messages":[{"role":"user","content":"a"}]"#;
    let with = |rest: &str| chat("", &format!(r#"{{"model":"{MODEL}",{rest}}}"#));
    let huge = b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n";
    let short =
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n{\"model\"";
    let chunks =
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{\"m";
    vec![
        ("oversized body", huge.to_vec(), false, 413, "body"),
        ("truncated body", short.to_vec(), true, 400, "body"),
        ("truncated chunks", chunks.to_vec(), true, 400, "body"),
        ("empty body", chat("", ""), false, 400, "parse"),
        ("no JSON", chat("", "{"), false, 400, "parse"),
        ("other JSON", chat("", "[1]"), false, 400, "parse"),
        ("no messages", with(r#""messages":[]"#), false, 400, "parse"),
        (
            "no message list",
            with(r#""stream":true"#),
            false,
            400,
            "parse",
        ),
        (
            "two answers",
            with(&format!(r#"{message},"n":2"#)),
            false,
            400,
            "parse",
        ),
        (
            "no answer",
            with(&format!(r#"{message},"n":0"#)),
            false,
            400,
            "parse",
        ),
        (
            "no tokens",
            with(&format!(r#"{message},"max_tokens":0"#)),
            false,
            400,
            "parse",
        ),
        (
            "negative tokens",
            with(&format!(r#"{message},"max_tokens":-1"#)),
            false,
            400,
            "parse",
        ),
        (
            "too many tokens",
            with(&format!(r#"{message},"max_tokens":99999"#)),
            false,
            400,
            "parse",
        ),
        (
            "stream flag not a boolean",
            with(&format!(r#"{message},"stream":"yes""#)),
            false,
            400,
            "parse",
        ),
        (
            "not UTF-8",
            request("POST", CHAT, "", b"{\"model\":\"\xff\"}"),
            false,
            400,
            "body",
        ),
    ]
}

/// Heads that the HTTP parser refuses.
fn unparsed_heads() -> Vec<Case> {
    let long = "a".repeat(500_000);
    let case = |name, text: &str, status| (name, text.as_bytes().to_vec(), false, status, "head");
    vec![
        case(
            "no colon",
            "GET / HTTP/1.1\r\nHost: a\r\nno colon\r\n\r\n",
            400,
        ),
        case(
            "space in name",
            "GET / HTTP/1.1\r\nHost: a\r\nx : y\r\n\r\n",
            400,
        ),
        case(
            "two lengths",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            400,
        ),
        case("garbage", "\u{16}\u{3}\u{1}\r\n\r\n", 400),
        case(
            "long target",
            &format!("GET /{long} HTTP/1.1\r\nHost: a\r\n\r\n"),
            431,
        ),
        case(
            "long header",
            &format!("GET / HTTP/1.1\r\nHost: a\r\nx: {long}\r\n\r\n"),
            431,
        ),
    ]
}

/// Bad heads, names and deadlines.
fn bad_heads() -> Vec<Case> {
    let good = caller::chat_body(MODEL, "a", 1, false);
    let deadline = |value: &str| chat(&format!("Request-Timeout-Ms: {value}\r\n"), &good);
    let unknown = caller::chat_body("nobody", "a", 1, false);
    let get = |path: &str| request("GET", path, "", b"");
    let order = |headers: &str| request("POST", "/services/ledger/orders", headers, b"LP 7");
    vec![
        ("unknown model", chat("", &unknown), false, 404, "route"),
        (
            "unknown service",
            get("/services/nobody/x"),
            false,
            404,
            "route",
        ),
        (
            "model as service",
            get("/services/chat/x"),
            false,
            404,
            "route",
        ),
        ("unknown path", get("/v2/models"), false, 404, "route"),
        (
            "unknown method",
            request("BREW", CHAT, "", b""),
            false,
            405,
            "head",
        ),
        ("wrong method", get(CHAT), false, 405, "route"),
        ("deadline word", deadline("soon"), false, 400, "deadline"),
        ("deadline zero", deadline("0"), false, 400, "deadline"),
        ("deadline negative", deadline("-5"), false, 400, "deadline"),
        ("deadline fraction", deadline("1.5"), false, 400, "deadline"),
        (
            "deadline far",
            deadline("999999999999"),
            false,
            400,
            "deadline",
        ),
        (
            "deadline overflow",
            deadline("99999999999999999999999"),
            false,
            400,
            "deadline",
        ),
        ("order without key", order(""), false, 400, "claim"),
        (
            "order with bad key",
            order("Idempotency-Key: x\r\n"),
            false,
            400,
            "claim",
        ),
        (
            "header not UTF-8",
            b"GET /v1/models HTTP/1.1\r\nHost: a\r\nConnection: close\r\nx: \xff\r\n\r\n".to_vec(),
            false,
            400,
            "head",
        ),
        (
            "no host",
            b"GET /v1/models HTTP/1.1\r\nConnection: close\r\n\r\n".to_vec(),
            false,
            400,
            "head",
        ),
    ]
}

/// Each bad request is answered with a problem that names the step, and none is run.
fn check_bad_input(cluster: &Cluster) {
    let address = cluster.instances[0].ports.callers;
    let before = engine_tokens(cluster);
    for (name, bytes, closes_sending, status, step) in bad_bodies()
        .into_iter()
        .chain(bad_heads())
        .chain(unparsed_heads())
    {
        let answer = send_raw(address, &bytes, closes_sending);
        assert_eq!(answer.status, status, "{name}: {}", answer.body);
        let kind = "content-type: application/problem+json";
        assert!(answer.head.contains(kind), "{name}: {}", answer.head);
        let problem: Value = serde_json::from_str(&answer.body).unwrap();
        let reported = (problem["step"].as_str(), problem["run"].as_str());
        assert_eq!(reported, (Some(step), Some("no")), "{name}: {problem}");
        assert_eq!(problem["status"], status, "{name}: {problem}");
        assert!(problem["title"].is_string(), "{name}: {problem}");
    }
    assert_eq!(engine_tokens(cluster), before, "bad input was run");
}

fn check_models(cluster: &Cluster) {
    let answer = caller::get(cluster.instances[0].ports.callers, "/v1/models");
    let list = answer.json();
    assert_eq!(
        (answer.status, list["object"].as_str()),
        (200, Some("list"))
    );
    let mut names = Vec::new();
    for model in list["data"].as_array().unwrap() {
        let kind = (model["object"].as_str(), model["owned_by"].as_str());
        assert_eq!(kind, (Some("model"), Some("press")));
        names.push(model["id"].as_str().unwrap());
    }
    names.sort_unstable();
    assert_eq!(names, ["catalogue", "macon-orders", "proof-reader"]);
}

fn check_unstreamed(cluster: &Cluster) {
    let mut response = send(cluster.instances[0].ports.callers, &[], 3, false);
    assert_eq!(response.status, 200);
    assert_eq!(response.header("content-type"), Some("application/json"));
    let answer = json(&mut response);
    assert_eq!(
        (&answer["object"], &answer["model"]),
        (&"chat.completion".into(), &MODEL.into())
    );
    assert!(answer["id"].as_str().unwrap().starts_with("chatcmpl-"));
    assert!(answer["created"].as_u64().is_some());
    let choices = answer["choices"].as_array().unwrap();
    assert_eq!((choices.len(), &choices[0]["index"]), (1, &0.into()));
    assert_eq!(choices[0]["finish_reason"], "length");
    let message = &choices[0]["message"];
    assert_eq!(
        (&message["role"], &message["content"]),
        (&"assistant".into(), &"a-0 b-1 a-2 ".into())
    );
    // Typed clients refuse an answer that lacks any of the three fields.
    let usage = |key: &str| {
        answer["usage"][key]
            .as_u64()
            .unwrap_or_else(|| panic!("no {key}"))
    };
    assert_eq!(usage("completion_tokens"), 3);
    assert_eq!(usage("prompt_tokens") + 3, usage("total_tokens"));
}

fn check_streamed(cluster: &Cluster) {
    let mut response = send(cluster.instances[0].ports.callers, &[], 3, true);
    assert_eq!(response.status, 200);
    assert_eq!(response.header("content-type"), Some("text/event-stream"));
    let (events, is_complete) = events(&mut response);
    assert!(is_complete);
    assert_eq!((events.len(), events[4].as_str()), (5, "[DONE]"));
    let chunks: Vec<Value> = events[..4]
        .iter()
        .map(|event| serde_json::from_str(event).unwrap())
        .collect();
    let mut text = String::new();
    for (index, chunk) in chunks.iter().enumerate() {
        assert_eq!(chunk["object"], "chat.completion.chunk");
        assert_eq!(
            (&chunk["id"], &chunk["model"]),
            (&chunks[0]["id"], &MODEL.into())
        );
        let choice = &chunk["choices"][0];
        let role = choice["delta"]["role"].as_str();
        assert_eq!(role, (index == 0).then_some("assistant"));
        let reason = choice["finish_reason"].as_str();
        assert_eq!(reason, (index == 3).then_some("length"));
        text.push_str(choice["delta"]["content"].as_str().unwrap_or_default());
    }
    assert_eq!(text, "a-0 b-1 a-2 ");
}

/// The full answer has 400 tokens; the engine must have sent fewer when the caller gets its answer.
fn check_deadline(cluster: &Cluster) {
    let address = cluster.instances[0].ports.callers;
    let deadline = [("Request-Timeout-Ms", "1500")];
    let before = engine_tokens(cluster);
    let mut response = send(address, &deadline, 400, false);
    let problem = json(&mut response);
    assert_eq!(
        (response.status, &problem["step"]),
        (504, &"deadline".into()),
        "{problem}"
    );
    assert_eq!(problem["run"], "unknown");
    assert!(
        engine_tokens(cluster) < before + 400,
        "the caller got its answer only after the engine had sent all tokens"
    );
    let mut streamed = send(address, &deadline, 400, true);
    let (events, is_complete) = events(&mut streamed);
    assert_truncated(&events, is_complete);
    assert!(
        engine_tokens(cluster) < before + 800,
        "the caller got its answer only after the engine had sent all tokens"
    );
}

fn assert_truncated(events: &[String], is_complete: bool) {
    assert!(!is_complete, "a truncated stream looks complete");
    assert!(events.iter().all(|event| event != "[DONE]"));
    assert!(
        events
            .iter()
            .all(|event| !event.contains(r#""finish_reason":"length""#))
    );
    let last: Value = serde_json::from_str(events.last().unwrap()).unwrap();
    assert_eq!(last["error"]["run"], "unknown", "{last}");
    assert!(last["error"]["step"].is_string(), "{last}");
}

/// A deadline of 1 ms is shorter than any answer of the engine.
fn check_refused(cluster: &Cluster) {
    let before = engine_tokens(cluster);
    let address = cluster.instances[0].ports.callers;
    let mut response = send(address, &[("Request-Timeout-Ms", "1")], 5, true);
    let problem = json(&mut response);
    assert_eq!(
        (response.status, &problem["step"]),
        (503, &"admit".into()),
        "{problem}"
    );
    assert_eq!(problem["run"], "no");
    let retry_after: u64 = response.header("retry-after").unwrap().parse().unwrap();
    assert!(retry_after >= 1);
    assert_eq!(engine_tokens(cluster), before, "a refused request was run");
}

/// The only engine is killed in the middle of the answer.
fn check_engine_killed(cluster: &mut Cluster) {
    let address = cluster.instances[0].ports.callers;
    let mut response = send(address, &[], 400, true);
    assert!(response.event().unwrap().is_some());
    cluster.targets[0].process.kill();
    let (events, is_complete) = events(&mut response);
    assert_truncated(&events, is_complete);
}

/// Guards against half-open and slow clients, and a shortage of descriptors, that lock out other callers or
/// crash the daemon.
#[test]
fn caller_beside_bad_clients() {
    let cluster = start();
    let address = cluster.instances[0].ports.callers;
    let connect = |head: &[u8]| {
        let mut stream = TcpStream::connect(address).unwrap();
        // The daemon closes the oldest connections when it runs out of descriptors.
        let _ = stream.write_all(head);
        stream
    };
    let open_bad_connections = || -> Vec<TcpStream> {
        let half_open = (0..150).map(|_| connect(b"POST /v1/chat/completions HTTP/1.1\r\nHo"));
        let slow =
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n{";
        let slow = (0..150).map(|_| connect(slow));
        half_open.chain(slow).collect()
    };
    let bad_clients = open_bad_connections();
    for round in 0..5 {
        let answer = caller::chat(address, MODEL, "hello", 1);
        assert_eq!(answer.status, 200, "{round}: {}", answer.text);
    }
    drop(bad_clients);
    cluster.limit_descriptors(0, 200).unwrap();
    let bad_clients = open_bad_connections();
    // A caller may be refused while descriptors are short, but not permanently.
    wait_for("an answer beside bad clients", || {
        (caller::chat(address, MODEL, "hello", 1).status == 200).then_some(())
    });
    drop(bad_clients);
    cluster.wait_for_model(0, MODEL);
    assert_eq!(caller::get(address, "/readyz").status, 200);
}

/// Guards against bad input that is run or answered without a clear problem, deadlines that are not enforced,
/// answers that existing clients cannot parse, and a truncated stream that looks complete.
#[test]
fn caller_contract() {
    let mut cluster = start();
    check_models(&cluster);
    check_unstreamed(&cluster);
    check_streamed(&cluster);
    check_bad_input(&cluster);
    check_refused(&cluster);
    check_deadline(&cluster);
    let order = caller::post_order(
        cluster.instances[0].ports.callers,
        id::Key::generate(),
        "LP 7",
    );
    assert_eq!(order.status, 200, "{}", order.text);
    check_engine_killed(&mut cluster);
}
