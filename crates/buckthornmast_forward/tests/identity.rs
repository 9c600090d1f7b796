//! Identity of requests that come again.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use buckthornmast_forward::identity::of_request;
use buckthornmast_quarantine::part::{Part, Set};
use buckthornmast_types::id;
use http::{Request, request};

fn head(uri: &str, headers: &[(&str, &str)]) -> request::Parts {
    let builder = Request::builder().method("GET").uri(uri);
    let builder = headers.iter().fold(builder, |builder, (name, value)| {
        builder.header(*name, *value)
    });
    builder.body(()).unwrap().into_parts().0
}

fn service(name: &str) -> id::Service {
    name.parse().unwrap()
}

/// Guards against an identity that changes with the attempt of a caller.
#[test]
fn identity_same_with_other_attempt() {
    let one = head(
        "/x?a=1",
        &[("host", "a.example"), ("attempt", "1"), ("deadline", "900")],
    );
    let other = head("/x?a=1", &[("host", "A.example"), ("attempt", "2")]);
    let of = |head| of_request(&service("s"), head, &Set::default(), b"body");
    assert_eq!(of(&one), of(&other));
    assert!(of(&one).is_request());
}

/// Guards against requests that are taken for each other.
#[test]
fn identity_differs_by_field() {
    let parts: Set = [Part::new(&service("s"), 7)].into_iter().collect();
    let empty = Set::default();
    let host = ("host", "a.example");
    let plain = head("/x?a=1", &[host]);
    let identities = [
        of_request(&service("s"), &plain, &empty, b"body"),
        of_request(&service("t"), &plain, &empty, b"body"),
        of_request(&service("s"), &plain, &empty, b"bod"),
        of_request(&service("s"), &plain, &parts, b"body"),
        of_request(&service("s"), &head("/x?a=2", &[host]), &empty, b"body"),
        of_request(&service("s"), &head("/x", &[host]), &empty, b"a=1body"),
        of_request(
            &service("s"),
            &head("/x?a=1", &[("host", "b.example")]),
            &empty,
            b"body",
        ),
        of_request(
            &service("s"),
            &head("/x?a=1", &[host, ("authorization", "k")]),
            &empty,
            b"body",
        ),
    ];
    for (index, one) in identities.iter().enumerate() {
        assert!(!identities[index + 1..].contains(one), "{index}");
    }
}
