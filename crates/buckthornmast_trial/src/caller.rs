//! Requests from callers and operators.

use std::net::SocketAddr;

use buckthornmast_types::{id, order::Order};
use serde_json::{Value, json};

use crate::cluster::{PLATFORM_TOKEN, TARGET_TOKEN};

/// Time limit for one request; it only ends a test that hangs.
const TIMEOUT_SECONDS: u64 = 60;

/// Reason phrase that the client library reports for a connection that was closed without an answer.
const CLOSED_WITHOUT_ANSWER: &str = "Server did not provide a status line";

/// Answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Status code; 0 if there was no answer.
    pub status: u16,
    /// Body.
    pub text: String,
}

impl Answer {
    /// Returns the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or(Value::Null)
    }

    /// Returns the answer's `run` field: whether the request was run.
    pub fn run(&self) -> Option<String> {
        self.json()["run"].as_str().map(str::to_owned)
    }
}

fn send(request: minreq::Request) -> Answer {
    match request.with_timeout(TIMEOUT_SECONDS).send() {
        // The client library invents a status for a connection that was closed without an answer.
        Ok(response) if response.reason_phrase == CLOSED_WITHOUT_ANSWER => Answer {
            status: 0,
            text: response.reason_phrase,
        },
        Ok(response) => {
            let text = String::from_utf8_lossy(response.as_bytes()).into_owned();
            Answer {
                status: response.status_code,
                text,
            }
        }
        Err(error) => Answer {
            status: 0,
            text: error.to_string(),
        },
    }
}

/// Sends a GET request for a path to any port.
pub fn get(address: SocketAddr, path: &str) -> Answer {
    send(minreq::get(format!("http://{address}{path}")))
}

/// Sends a POST request with a body for a path to any port.
pub fn post(address: SocketAddr, path: &str, body: &str) -> Answer {
    send(minreq::post(format!("http://{address}{path}")).with_body(body))
}

/// Sends a chat request with an answer that is not streamed.
pub fn chat(address: SocketAddr, model: &str, prompt: &str, tokens: u32) -> Answer {
    post(
        address,
        "/v1/chat/completions",
        &chat_body(model, prompt, tokens, false),
    )
}

/// Returns the body of a chat request; `tokens` is the maximum length of the answer.
pub fn chat_body(model: &str, prompt: &str, tokens: u32, stream: bool) -> String {
    let message = json!({ "role": "user", "content": prompt });
    json!({ "model": model, "messages": [message], "max_tokens": tokens, "stream": stream })
        .to_string()
}

/// Posts an order to the ledger service under an idempotency key.
pub fn post_order(address: SocketAddr, key: id::Key, body: &str) -> Answer {
    let request = minreq::post(format!("http://{address}/services/ledger/orders"))
        .with_header("Idempotency-Key", key.to_string())
        .with_body(body);
    send(request)
}

/// Sends a placement order to an engine, as a controller would.
pub fn send_engine_order(address: SocketAddr, order: &Order) -> Answer {
    let request = minreq::post(format!("http://{address}/v1/orders"))
        .with_header("Authorization", format!("Bearer {TARGET_TOKEN}"))
        .with_body(serde_json::to_vec(order).unwrap_or_default());
    send(request)
}

/// Sends a GET request to an operators' port.
pub fn operator_get(address: SocketAddr, path: &str) -> Answer {
    let token = format!("Bearer {PLATFORM_TOKEN}");
    send(minreq::get(format!("http://{address}{path}")).with_header("Authorization", token))
}

/// Writes changes to a settings scope through an operators' port.
pub fn write_settings(
    address: SocketAddr,
    scope: &str,
    id: id::Write,
    base: u64,
    changes: &[(&str, Option<&str>)],
) -> Answer {
    let changes: Vec<Value> = changes
        .iter()
        .map(|(path, value)| json!({ "path": path, "value": value }))
        .collect();
    let body = json!({ "id": id, "base": base, "changes": changes }).to_string();
    let request = minreq::put(format!("http://{address}/v1/settings/{scope}"))
        .with_header("Authorization", format!("Bearer {PLATFORM_TOKEN}"))
        .with_body(body);
    send(request)
}

/// Returns the counters of a stand-in target.
pub fn counters(address: SocketAddr) -> Value {
    get(address, "/counters").json()
}
