//! Calls to the operators' port.

use serde_json::Value;

use crate::outcome::Failure;

/// Time limit of one call in seconds. A write takes up to 9 s at the instance: 2 s until the settings that it is based
/// on are in force there, 5 s until it is committed, and 2 s until it is in force there itself.
const TIMEOUT_SECONDS: u64 = 10;

/// Maximum number of rounds over all instances for a call without a final answer.
const MAX_ROUNDS: u32 = 5;

/// Answer of an instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Body as JSON, or as a string if it is not JSON.
    pub body: Value,
}

/// Client of the instances.
#[derive(Debug, Clone)]
pub struct Client {
    servers: Vec<String>,
    token: String,
}

/// Returns whether an answer is final. After 408 and 503 the call is sent again.
fn is_final(status: u16) -> bool {
    status != 503 && status != 408
}

impl Client {
    /// Returns a client; `servers` are addresses in the order in which they are tried.
    pub fn new(servers: Vec<String>, token: String) -> Self {
        Self { servers, token }
    }

    fn send(&self, server: &str, method: minreq::Method, path: &str, body: &str) -> Option<Answer> {
        let request = minreq::Request::new(method, format!("http://{server}{path}"))
            .with_header("Authorization", format!("Bearer {}", self.token))
            .with_header("Content-Type", "application/json")
            .with_timeout(TIMEOUT_SECONDS)
            .with_body(body);
        match request.send() {
            Ok(response) => {
                let status = response.status_code;
                let text = || String::from_utf8_lossy(response.as_bytes()).into_owned();
                let body = serde_json::from_slice(response.as_bytes());
                let body = body.unwrap_or_else(|_| Value::String(text()));
                Some(Answer { status, body })
            }
            Err(error) => {
                eprintln!("{server}: the call failed: {error}");
                None
            }
        }
    }

    /// Tries the instances in turn until one returns a final answer.
    fn call(&self, method: &minreq::Method, path: &str, body: &str) -> Result<Answer, Failure> {
        let mut last_answer = None;
        for round in 0..MAX_ROUNDS {
            for server in &self.servers {
                let Some(answer) = self.send(server, method.clone(), path, body) else {
                    continue;
                };
                if is_final(answer.status) {
                    return check_status(answer);
                }
                last_answer = Some(answer);
            }
            if round + 1 < MAX_ROUNDS {
                std::thread::sleep(std::time::Duration::from_millis(500));
            }
        }
        let message = match last_answer {
            Some(answer) => problem_text(&answer.body),
            None => format!("none of {} answered", self.servers.join(", ")),
        };
        Err(Failure::Unknown { message })
    }

    /// Sends a GET request. A body that is not JSON is returned as a string.
    pub fn get(&self, path: &str) -> Result<Value, Failure> {
        self.call(&minreq::Method::Get, path, "")
            .map(|answer| answer.body)
    }

    /// Sends a PUT request, which must be safe to repeat, since it may be sent several times.
    pub fn put(&self, path: &str, body: &Value) -> Result<Value, Failure> {
        self.call(&minreq::Method::Put, path, &body.to_string())
            .map(|answer| answer.body)
    }
}

fn problem_text(body: &Value) -> String {
    let text = |key: &str| body[key].as_str().unwrap_or_default().to_owned();
    let detail = text("detail");
    if detail.is_empty() {
        text("title")
    } else {
        format!("{}: {detail}", text("title"))
    }
}

fn check_status(answer: Answer) -> Result<Answer, Failure> {
    match answer.status {
        200..=299 => Ok(answer),
        409 => {
            let revision = &answer.body["revision"];
            let message = format!("the scope is at revision {revision} now, diff and apply again");
            Err(Failure::Conflict { message })
        }
        422 => {
            let faults = answer.body["faults"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            let faults: Vec<&str> = faults.iter().filter_map(Value::as_str).collect();
            Err(Failure::Refused {
                message: faults.join("\n"),
            })
        }
        400..=499 => Err(Failure::Refused {
            message: problem_text(&answer.body),
        }),
        status => Err(Failure::Unknown {
            message: format!(
                "an instance answered with status {status}: {}",
                problem_text(&answer.body)
            ),
        }),
    }
}
