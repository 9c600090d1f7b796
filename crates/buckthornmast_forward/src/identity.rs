//! What makes two requests the same, beyond their ids.
//!
//! A caller that comes back sends a new request with a new id and a new time limit, at any instance. To the targets it is the
//! same request if all that they act upon is the same: method, host, path with query, credentials, the shared parts of the
//! prompt, and the body. The address of the caller is not part of it, because targets don't see it, and callers may come
//! back from another one.

use buckthornmast_quarantine::part::{Part, Set};
use buckthornmast_types::id;
use http::{header, request};
use sha2::{Digest, Sha256};

/// Returns the identity of a request at the targets of a service. It is a digest, so that neither messages nor logs hold
/// anything of the request.
pub fn of_request(
    service: &id::Service,
    head: &request::Parts,
    shared_parts: &Set,
    body: &[u8],
) -> Part {
    let mut digest = Sha256::new();
    let mut add = |field: &[u8]| {
        // With its length, bytes can't move from one field to the next.
        digest.update(u64::try_from(field.len()).unwrap_or(u64::MAX).to_le_bytes());
        digest.update(field);
    };
    let header = |name| {
        head.headers
            .get(name)
            .map_or(&[][..], |value| value.as_bytes())
    };
    add(service.as_str().as_bytes());
    add(head.method.as_str().as_bytes());
    add(&header(header::HOST).to_ascii_lowercase());
    add(head.uri.path().as_bytes());
    add(head.uri.query().unwrap_or_default().as_bytes());
    add(header(header::AUTHORIZATION));
    for part in shared_parts.iter() {
        add(part.to_string().as_bytes());
    }
    add(body);
    Part::of_request(&digest.finalize().into())
}
