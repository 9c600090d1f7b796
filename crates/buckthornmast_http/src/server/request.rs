//! Reading of complete requests within all limits, before they are passed to a handler.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicBool},
    time::Instant,
};

use http_body_util::BodyExt;
use hyper::{
    Request,
    body::{Body as _, Incoming},
};
use tokio::time::timeout;

use crate::{
    account::{GRACE, Held, is_slow},
    eviction::Slot,
    exchange::Exchange,
    problem::Problem,
    server::Shared,
};

/// Least memory of a body that is not empty, in bytes.
const MIN_CAPACITY: usize = 1 << 10;

/// Methods that are passed to handlers.
const METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];

/// Reads a complete request within all limits.
pub(super) async fn read<H>(
    shared: &Shared<H>,
    peer: SocketAddr,
    slot: &Slot,
    closed: Arc<AtomicBool>,
    request: Request<Incoming>,
) -> Result<Exchange, Problem> {
    let (head, body) = request.into_parts();
    let bad_request = |detail: &str| Problem::new(400, "bad request", "head").detail(detail);
    if !METHODS.contains(&head.method.as_str()) {
        return Err(Problem::new(405, "method not allowed", "head"));
    }
    // Ambiguous requests are refused, since a server behind this one could interpret them differently.
    if head.headers.get_all("host").iter().count() != 1 {
        return Err(bad_request("expected one Host header"));
    }
    if head.uri.authority().is_some() {
        return Err(bad_request("expected a target that starts with a slash"));
    }
    let mut headers = Vec::with_capacity(head.headers.len());
    for (name, value) in &head.headers {
        let value = std::str::from_utf8(value.as_bytes())
            .map_err(|_| bad_request(&format!("the value of header {name} is not UTF-8")))?;
        headers.push((name.as_str().to_owned(), value.to_owned()));
    }
    let target = head
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str())
        .to_owned();
    let path = decode(head.uri.path()).filter(|path| is_plain(path));
    let path =
        path.ok_or_else(|| bad_request("the path is not plain UTF-8 without dot segments"))?;
    let (body, held) = read_body(shared, body).await?;
    Ok(Exchange {
        peer,
        method: head.method.as_str().to_owned(),
        path,
        target,
        headers,
        body,
        _held: held,
        write_timeout: shared.config.write_timeout,
        runtime: shared.runtime.clone(),
        answer: None,
        closed,
        close: slot.close_handle(),
    })
}

async fn read_body<H>(shared: &Shared<H>, body: Incoming) -> Result<(Vec<u8>, Held), Problem> {
    let limit = shared.config.body_limit;
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large(limit));
    }
    timeout(shared.config.body_timeout, collect(shared, body))
        .await
        .unwrap_or_else(|_| Err(Problem::new(408, "body took too long", "body")))
}

fn too_large(limit: usize) -> Problem {
    let detail = format!("the body is over the limit of {limit} bytes");
    Problem::new(413, "body too large", "body").detail(detail)
}

/// Reads a body. Its memory is drawn from the account before it is held.
async fn collect<H>(shared: &Shared<H>, mut body: Incoming) -> Result<(Vec<u8>, Held), Problem> {
    let limit = shared.config.body_limit;
    let refuse = || {
        let problem = Problem::new(503, "too many bodies in progress", "body");
        problem.retry_after(shared.config.retry_after)
    };
    let slow = || Problem::new(408, "body makes no progress", "body");
    let started_at = Instant::now();
    let mut bytes = Vec::new();
    let mut held = shared.bodies.hold();
    loop {
        let frame = match timeout(GRACE, body.frame()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return Ok((bytes, held)),
            Err(_) if shared.bodies.is_crowded() => return Err(slow()),
            Err(_) => continue,
        };
        let frame = frame
            .map_err(|error| Problem::new(400, "body was cut", "body").detail(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > limit {
            return Err(too_large(limit));
        }
        if length > bytes.capacity() {
            let capacity = length
                .max(bytes.capacity() * 2)
                .max(MIN_CAPACITY)
                .min(limit);
            if !held.grow(capacity) {
                return Err(refuse());
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
        if shared.bodies.is_crowded() && is_slow(length, started_at.elapsed()) {
            return Err(slow());
        }
    }
}

/// Returns whether a decoded path contains neither control characters nor dot segments.
fn is_plain(path: &str) -> bool {
    !path.contains(char::is_control) && !path.split('/').any(|part| part == "." || part == "..")
}

/// Decodes percent-encoding; returns `None` if an escape is malformed or the result is not UTF-8.
fn decode(path: &str) -> Option<String> {
    let mut decoded = Vec::with_capacity(path.len());
    let mut rest = path.as_bytes();
    while let Some((byte, after)) = rest.split_first() {
        rest = after;
        if *byte == b'%' {
            let (hex, after) = rest.split_at_checked(2)?;
            decoded.push(u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok()?);
            rest = after;
        } else {
            decoded.push(*byte);
        }
    }
    String::from_utf8(decoded).ok()
}
