//! Mapping to HTTP with JSON and server-sent events.
//!
//! | Call | Request | Answer |
//! | --- | --- | --- |
//! | order | `POST /v1/orders` with an `Order` | `Reply`; a 4xx status or 503 counts as refused |
//! | generate | `POST /v1/generate` with a `Work` | events, each a `Chunk` |
//! | cancel | `POST /v1/cancel` with request and attempt | ignored |
//! | forward | method and path of the caller | returned to the caller |
//!
//! A target that answers `generate` with a 4xx status or 503 has not run it. For `forward`, only 429 or 503 with
//! `Retry-After` means so; every other status is returned to the caller.

use std::time::{Duration, Instant};

use buckthornmast_http::client;
use buckthornmast_types::{id, order};
use serde_json::json;

use crate::{
    engine::{Answer, Call, Endpoint, Engine, Plain, Tokens},
    error::{Cause, Error},
    work::{Chunk, Work},
};

/// Maximum size of an answer of a plain service in bytes; reading a larger one fails.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Time limit for connecting; the round trip to a target is about a millisecond, so a longer wait means a lost packet
/// or a failed target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit for the answer to an order; engines answer before they execute it.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of an answer to an order in bytes; reading a larger one fails.
const MAX_REPLY_BYTES: usize = 4096;

/// Client for targets that are reached over HTTP.
#[derive(Debug, Clone, Copy, Default)]
pub struct Http;

/// Answer of an engine that arrives as server-sent events.
#[derive(Debug)]
pub struct Events {
    target: id::Target,
    response: client::Response,
}

/// Returns a function that makes the error of one step at one target from a cause.
fn failure(step: &'static str, endpoint: &Endpoint) -> impl Fn(Cause) -> Error + use<> {
    let target = endpoint.target.clone();
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

fn authorization(endpoint: &Endpoint) -> Option<String> {
    endpoint
        .token
        .as_ref()
        .map(|token| format!("Bearer {token}"))
}

/// Sends a JSON body and returns the response head.
fn send_json(
    step: &'static str,
    endpoint: &Endpoint,
    path: &str,
    body: &[u8],
    timeouts: &client::Timeouts,
) -> Result<client::Response, Error> {
    let token = authorization(endpoint);
    let mut headers = vec![("Content-Type", "application/json")];
    if let Some(token) = &token {
        headers.push(("Authorization", token));
    }
    send(step, endpoint, &post(path, &headers, body), timeouts)
}

fn send(
    step: &'static str,
    endpoint: &Endpoint,
    request: &client::Request<'_>,
    timeouts: &client::Timeouts,
) -> Result<client::Response, Error> {
    client::send(endpoint.address, request, timeouts).map_err(|error| {
        let reason = error.to_string();
        failure(step, endpoint)(if error.may_have_been_sent {
            Cause::Disconnected { reason }
        } else if error.is_local() {
            Cause::LocalResource { reason }
        } else {
            Cause::NotSent { reason }
        })
    })
}

/// Returns the cause that a status code indicates, unless it is a success.
fn status_cause(response: &client::Response) -> Option<Cause> {
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
        // Targets return other client errors before they start to work.
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
        client::ReadError::TimedOut { gap, .. } => Cause::TimedOut { bound: gap },
        client::ReadError::TooLarge { .. } => Cause::Malformed {
            reason: error.to_string(),
        },
        client::ReadError::Truncated { .. } => Cause::Disconnected {
            reason: error.to_string(),
        },
    }
}

impl Engine for Http {
    type Tokens = Events;

    fn order(
        &self,
        endpoint: &Endpoint,
        order: &order::Order,
        not_after: Duration,
    ) -> Result<order::Reply, Error> {
        let fail = failure("order", endpoint);
        let body = serde_json::to_vec(order).map_err(|error| fail(malformed(&error)))?;
        // The request is written as soon as the connection is established, so only connecting can delay it.
        let timeouts = client::Timeouts {
            connect: CONNECT_TIMEOUT.min(not_after),
            head: ORDER_TIMEOUT,
            gap: ORDER_TIMEOUT,
        };
        let deadline = Instant::now() + ORDER_TIMEOUT;
        let mut response = send_json("order", endpoint, "/v1/orders", &body, &timeouts)?;
        response.set_deadline(deadline);
        if let Some(cause) = status_cause(&response) {
            return match cause {
                Cause::Refused { .. } => Ok(order::Reply::Refused),
                cause => Err(fail(cause)),
            };
        }
        let reply = response
            .read_to_end(MAX_REPLY_BYTES)
            .map_err(|error| fail(read_cause(error)))?;
        serde_json::from_slice(&reply).map_err(|error| fail(malformed(&error)))
    }

    fn generate(&self, endpoint: &Endpoint, work: &Work, bound: Duration) -> Result<Events, Error> {
        let fail = failure("generate", endpoint);
        let body = serde_json::to_vec(work).map_err(|error| {
            fail(Cause::NotSent {
                reason: error.to_string(),
            })
        })?;
        let response = send_json(
            "generate",
            endpoint,
            "/v1/generate",
            &body,
            &timeouts(bound),
        )?;
        match status_cause(&response) {
            Some(cause) => Err(fail(cause)),
            None => Ok(Events {
                target: endpoint.target.clone(),
                response,
            }),
        }
    }

    fn cancel(&self, endpoint: &Endpoint, request: id::Request, attempt: id::Attempt) {
        let body = json!({ "request": request, "attempt": attempt }).to_string();
        let timeouts = timeouts(CONNECT_TIMEOUT);
        let _ = send_json("cancel", endpoint, "/v1/cancel", body.as_bytes(), &timeouts);
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

/// Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [&str; 8] = [
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
    !HOP_BY_HOP_HEADERS
        .iter()
        .any(|header| name.eq_ignore_ascii_case(header))
}

impl Plain for Http {
    fn forward(&self, endpoint: &Endpoint, call: &Call, bound: Duration) -> Result<Answer, Error> {
        let fail = failure("forward", endpoint);
        let deadline = Instant::now() + bound;
        let forwarded = call.headers.iter().filter(|(name, _)| is_end_to_end(name));
        let headers: Vec<(&str, &str)> =
            forwarded.map(|(name, value)| (&**name, &**value)).collect();
        let request = client::Request {
            method: &call.method,
            target: &call.path,
            headers: &headers,
            body: &call.body,
        };
        let mut response = send("forward", endpoint, &request, &timeouts(bound))?;
        // A 503 without `Retry-After` may come from a proxy behind a service that has started to work, so only one
        // with this header counts as a refusal.
        if let Some(
            cause @ Cause::Refused {
                status: 429 | 503,
                retry_after: Some(_),
            },
        ) = status_cause(&response)
        {
            return Err(fail(cause));
        }
        if !response.is_delimited() {
            let reason = "it has neither a length nor chunks, so a cut answer would look whole";
            return Err(fail(Cause::Malformed {
                reason: reason.to_owned(),
            }));
        }
        response.set_deadline(deadline);
        let body = response
            .read_to_end(MAX_ANSWER_BYTES)
            .map_err(|error| fail(read_cause(error)))?;
        let forwarded = response
            .headers
            .iter()
            .filter(|(name, _)| is_end_to_end(name));
        Ok(Answer {
            status: response.status,
            headers: forwarded.cloned().collect(),
            body,
        })
    }
}
