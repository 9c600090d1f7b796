//! Mapping to HTTP with JSON and server-sent events.
//!
//! | Call | Request | Answer |
//! | --- | --- | --- |
//! | order | `POST /v1/orders` with an `Order` | `Reply`; 403 counts as refused |
//! | generate | `POST /v1/generate` with a `Work` | events, each a `Chunk` |
//! | cancel | `POST /v1/cancel` with request and attempt | ignored |
//! | forward | method and path of the caller | passed on |
//!
//! A target that answers 429 or 503 to work says that it did not run it.

use std::time::{Duration, Instant};

use buckthornmast_http::client;
use buckthornmast_types::{id, order};
use serde_json::json;

use crate::{
    engine::{Answer, Call, Endpoint, Engine, Plain, Tokens},
    error::{Cause, Error},
    work::{Chunk, Work},
};

/// Largest answer of a plain service in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Time to connect; targets are a millisecond away, so a longer wait means a lost packet or a dead target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for an order to be answered; engines answer before they act.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer to an order in bytes.
const MAX_REPLY_BYTES: usize = 4096;

/// Targets that speak HTTP.
#[derive(Debug, Clone, Copy, Default)]
pub struct Http;

/// Tokens that arrive as server-sent events.
#[derive(Debug)]
pub struct Events {
    target: id::Target,
    response: client::Response,
}

/// Returns an error constructor for one step at one target.
fn failure(step: &'static str, at: &Endpoint) -> impl Fn(Cause) -> Error + use<> {
    let target = at.target.clone();
    move |cause| Error {
        step,
        target: target.clone(),
        cause,
    }
}

fn post<'a>(
    path: &'a str,
    headers: &'a [(&'a str, &'a str)],
    body: &'a [u8],
) -> client::Request<'a> {
    client::Request {
        method: "POST",
        target: path,
        headers,
        body,
    }
}

fn timeouts(bound: Duration) -> client::Timeouts {
    client::Timeouts {
        connect: CONNECT_TIMEOUT.min(bound),
        head: bound,
        gap: bound,
    }
}

fn authorization(at: &Endpoint) -> Option<String> {
    at.token.as_ref().map(|token| format!("Bearer {token}"))
}

/// Sends a JSON body and returns the response head.
fn send_json(
    step: &'static str,
    at: &Endpoint,
    path: &str,
    body: &[u8],
    timeouts: &client::Timeouts,
) -> Result<client::Response, Error> {
    let token = authorization(at);
    let mut headers = vec![("Content-Type", "application/json")];
    if let Some(token) = &token {
        headers.push(("Authorization", token));
    }
    send(step, at, &post(path, &headers, body), timeouts)
}

fn send(
    step: &'static str,
    at: &Endpoint,
    request: &client::Request<'_>,
    timeouts: &client::Timeouts,
) -> Result<client::Response, Error> {
    client::send(at.address, request, timeouts).map_err(|error| {
        let reason = error.to_string();
        failure(step, at)(if error.sent {
            Cause::Lost { reason }
        } else if error.is_local() {
            Cause::Local { reason }
        } else {
            Cause::NotSent { reason }
        })
    })
}

/// Returns the cause that a status code stands for, if it is not a success.
fn cause_of(response: &client::Response) -> Option<Cause> {
    let status = response.status;
    let seconds = response
        .header("retry-after")
        .and_then(|text| text.parse().ok());
    match status {
        200..=299 => None,
        429 | 503 => Some(Cause::Refused {
            status,
            retry_after: seconds.map(Duration::from_secs),
        }),
        // Other client errors are decided before a target starts to work.
        400..=499 => Some(Cause::Refused {
            status,
            retry_after: None,
        }),
        _ => Some(Cause::Failed { status }),
    }
}

fn malformed(error: &serde_json::Error) -> Cause {
    Cause::Malformed {
        reason: error.to_string(),
    }
}

fn read_cause(error: client::ReadError) -> Cause {
    match error {
        client::ReadError::Gap { gap, .. } => Cause::Silent { bound: gap },
        client::ReadError::TooLarge { .. } => Cause::Malformed {
            reason: error.to_string(),
        },
        client::ReadError::Cut { .. } => Cause::Lost {
            reason: error.to_string(),
        },
    }
}

impl Engine for Http {
    type Tokens = Events;

    fn order(
        &self,
        at: &Endpoint,
        order: &order::Order,
        not_after: Duration,
    ) -> Result<order::Reply, Error> {
        let fail = failure("order", at);
        let body = serde_json::to_vec(order).map_err(|error| fail(malformed(&error)))?;
        // The request is written as soon as the connection stands, so only connecting may take long.
        let timeouts = client::Timeouts {
            connect: CONNECT_TIMEOUT.min(not_after),
            head: ORDER_TIMEOUT,
            gap: ORDER_TIMEOUT,
        };
        let mut response = send_json("order", at, "/v1/orders", &body, &timeouts)?;
        if let Some(cause) = cause_of(&response) {
            return match cause {
                Cause::Refused { .. } => Ok(order::Reply::Refused),
                cause => Err(fail(cause)),
            };
        }
        let reply = response
            .whole(MAX_REPLY_BYTES)
            .map_err(|error| fail(read_cause(error)))?;
        serde_json::from_slice(&reply).map_err(|error| fail(malformed(&error)))
    }

    fn generate(&self, at: &Endpoint, work: &Work, bound: Duration) -> Result<Events, Error> {
        let fail = failure("generate", at);
        let body = serde_json::to_vec(work).map_err(|error| {
            fail(Cause::NotSent {
                reason: error.to_string(),
            })
        })?;
        let response = send_json("generate", at, "/v1/generate", &body, &timeouts(bound))?;
        match cause_of(&response) {
            Some(cause) => Err(fail(cause)),
            None => Ok(Events {
                target: at.target.clone(),
                response,
            }),
        }
    }

    fn cancel(&self, at: &Endpoint, request: id::Request, attempt: id::Attempt) {
        let body = json!({ "request": request, "attempt": attempt }).to_string();
        let timeouts = timeouts(CONNECT_TIMEOUT);
        let _ = send_json("cancel", at, "/v1/cancel", body.as_bytes(), &timeouts);
    }
}

impl Tokens for Events {
    fn next(&mut self, gap: Duration) -> Result<Option<Chunk>, Error> {
        let fail = |cause| Error {
            step: "stream",
            target: self.target.clone(),
            cause,
        };
        self.response.set_gap(gap);
        match self.response.event().map_err(read_cause) {
            Ok(Some(text)) => match serde_json::from_str(&text) {
                Ok(chunk) => Ok(Some(chunk)),
                Err(error) => Err(fail(malformed(&error))),
            },
            Ok(None) => Ok(None),
            Err(cause) => Err(fail(cause)),
        }
    }
}

/// Headers that belong to one connection and are not passed on (RFC 9110, section 7.6.1).
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

fn is_end_to_end(name: &str) -> bool {
    !HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

impl Plain for Http {
    fn forward(&self, at: &Endpoint, call: &Call, bound: Duration) -> Result<Answer, Error> {
        let fail = failure("forward", at);
        let end = Instant::now() + bound;
        let pass = call.headers.iter().filter(|(name, _)| is_end_to_end(name));
        let headers: Vec<(&str, &str)> = pass.map(|(name, value)| (&**name, &**value)).collect();
        let request = client::Request {
            method: &call.method,
            target: &call.path,
            headers: &headers,
            body: &call.body,
        };
        let mut response = send("forward", at, &request, &timeouts(bound))?;
        // A bare 503 may come from a proxy behind a service that has started to work, so only one that
        // says when to come back counts as a refusal.
        if let Some(
            cause @ Cause::Refused {
                status: 429 | 503,
                retry_after: Some(_),
            },
        ) = cause_of(&response)
        {
            return Err(fail(cause));
        }
        if !response.is_delimited() {
            let reason = "it has neither a length nor chunks, so a cut answer would look whole";
            return Err(fail(Cause::Malformed {
                reason: reason.to_owned(),
            }));
        }
        response.set_deadline(end);
        let body = response
            .whole(MAX_ANSWER_BYTES)
            .map_err(|error| fail(read_cause(error)))?;
        let pass = response
            .headers
            .iter()
            .filter(|(name, _)| is_end_to_end(name));
        Ok(Answer {
            status: response.status,
            headers: pass.cloned().collect(),
            body,
        })
    }
}
