//! Wire format of cache events.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

use buckthornmast_target::{
    cache::{self, EventError, MAX_EVENTS},
    work::Work,
};
use buckthornmast_types::{
    cache::{Batch, Change, Event, Prefix},
    id,
};
use serde_json::{Value, json};

fn publication(events: &[Value]) -> String {
    json!({ "target": "engine-1", "incarnation": 7, "events": events }).to_string()
}

fn event(sequence: u64, age_ms: u64, change: Change) -> Event {
    Event {
        sequence,
        age_ms,
        change,
    }
}

/// Guards against a change of the wire format that is incompatible with deployed engines.
#[test]
fn read_publication() {
    let text = publication(&[
        json!({ "sequence": 2, "age_ms": 0, "evicted": "0000000000000001" }),
        json!({ "sequence": 1, "age_ms": 120, "stored": "ffffffffffffffff" }),
    ]);
    let (batch, error) = cache::read(&text).unwrap();
    let expected = Batch {
        target: "engine-1".parse().unwrap(),
        incarnation: id::Incarnation(7),
        events: vec![
            event(1, 120, Change::Stored(Prefix(u64::MAX))),
            event(2, 0, Change::Evicted(Prefix(1))),
        ],
    };
    assert_eq!((batch, error), (expected.clone(), None));
    assert_eq!(cache::read(&cache::write(&expected)), Ok((expected, None)));
}

/// Guards against a malformed event because of which well-formed ones are refused, that is read as another event, or
/// that is refused without a reason.
#[test]
fn read_refused_events() {
    let good = json!({ "sequence": 1, "age_ms": 1, "stored": "a" });
    let cases = [
        (
            "unknown change",
            json!({ "sequence": 2, "age_ms": 1, "moved": "b" }),
        ),
        ("no change", json!({ "sequence": 2, "age_ms": 1 })),
        (
            "two changes",
            json!({ "sequence": 2, "age_ms": 1, "stored": "b", "evicted": "c" }),
        ),
        ("no sequence", json!({ "age_ms": 1, "stored": "b" })),
        (
            "sequence 0",
            json!({ "sequence": 0, "age_ms": 1, "stored": "b" }),
        ),
        (
            "sequence too large",
            json!({ "sequence": (1_u64 << 53) + 1, "age_ms": 1, "stored": "b" }),
        ),
        (
            "negative sequence",
            json!({ "sequence": -2, "age_ms": 1, "stored": "b" }),
        ),
        ("no age", json!({ "sequence": 2, "stored": "b" })),
        (
            "prefix as a number",
            json!({ "sequence": 2, "age_ms": 1, "stored": 11 }),
        ),
        (
            "prefix not hexadecimal",
            json!({ "sequence": 2, "age_ms": 1, "stored": "xyz" }),
        ),
        (
            "prefix too long",
            json!({ "sequence": 2, "age_ms": 1, "stored": "10000000000000000" }),
        ),
        ("not an object", json!("stored")),
    ];
    for (name, bad) in cases {
        let (batch, error) = cache::read(&publication(&[bad, good.clone()])).unwrap();
        assert_eq!(
            batch.events,
            [event(1, 1, Change::Stored(Prefix(10)))],
            "{name}"
        );
        let Some(EventError::Events {
            refused,
            total,
            reasons,
        }) = error
        else {
            panic!("{name}: {error:?}");
        };
        assert_eq!((refused, total), (1, 2), "{name}");
        assert!(reasons.starts_with("event 0: "), "{name}: {reasons}");
    }
}

/// Guards against publications of unlimited length, against malformed ones and against ones that name no engine.
#[test]
fn read_refused_publication() {
    let many = vec![json!({ "sequence": 1, "age_ms": 1, "stored": "a" }); MAX_EVENTS + 1];
    for text in [
        publication(&many),
        json!({ "target": "Not a label", "incarnation": 7, "events": [] }).to_string(),
        json!({ "target": "engine-1", "events": [] }).to_string(),
        "[".to_owned(),
    ] {
        let error = cache::read(&text).unwrap_err();
        assert!(matches!(error, EventError::Publication { .. }), "{error}");
    }
}

/// Guards against work that is refused because an instance of an older version sends no prefix.
#[test]
fn work_without_prefix() {
    let mut work = json!({
        "request": id::Request::generate(), "attempt": 1, "artifact": "m@1", "messages": [],
        "max_tokens": 1, "priority": 5, "resume": [], "deadline_ms": 1,
    });
    let read: Work = serde_json::from_value(work.clone()).unwrap();
    assert_eq!(read.prefix, None);
    assert_eq!(serde_json::to_value(&read).unwrap(), work);
    work["prefix"] = json!("00000000000000ff");
    let read: Work = serde_json::from_value(work).unwrap();
    assert_eq!(read.prefix, Some(Prefix(255)));
}
