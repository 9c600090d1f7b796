//! Prefix cache of the stand-in engine: memory, events, and export and import of KV caches.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

use std::{net::TcpListener, sync::mpsc, thread, time::Duration};

use buckthornmast_http::{
    client::{self, Response, Timeouts},
    response::Response as Answer,
    server,
};
use buckthornmast_standin::{
    cache::Cache,
    flags::Standin as Flags,
    serve::{self, Standin},
};
use buckthornmast_target::cache::{self, EventError, Export, Exported};
use buckthornmast_types::{
    cache::{Batch, Change, Event, Prefix},
    id,
    order::{Action, Order},
    size::Bytes,
    time::Point,
};
use serde::Serialize;
use serde_json::{Value, json};

const MESSAGE_SIZE: Bytes = Bytes::mib(64);

fn at(millis: u64) -> Point {
    Point::from_millis(millis)
}

fn changes(events: &[Event]) -> Vec<(u64, Change)> {
    let change = |event: &Event| (event.sequence, event.change);
    events.iter().map(change).collect()
}

/// Guards against a cache that exceeds its memory, an eviction of the most recently used prefix, and an eviction
/// without an event.
#[test]
fn lookup_evicts_least_recently_used() {
    let [a, b, c, d] = [1, 2, 3, 4].map(Prefix);
    let mut cache = Cache::new(Bytes(MESSAGE_SIZE.0 * 3));
    for prefix in [a, b, c] {
        assert!(!cache.lookup_or_store(at(1), prefix, MESSAGE_SIZE));
    }
    assert!(cache.lookup_or_store(at(2), a, MESSAGE_SIZE));
    assert!(!cache.lookup_or_store(at(3), d, Bytes(MESSAGE_SIZE.0 * 2)));
    assert!(cache.used() <= Bytes(MESSAGE_SIZE.0 * 3));
    assert!(
        cache.lookup_or_store(at(4), a, MESSAGE_SIZE),
        "the last prefix used before d was evicted"
    );
    let larger = Bytes(MESSAGE_SIZE.0 * 4);
    assert!(!cache.lookup_or_store(at(5), b, larger), "b was cached");
    assert!(!cache.lookup_or_store(at(6), b, larger));
    let events = cache.take_events(at(9), at(9), 100);
    let expected = [
        (1, Change::Stored(a)),
        (2, Change::Stored(b)),
        (3, Change::Stored(c)),
        (4, Change::Evicted(b)),
        (5, Change::Evicted(c)),
        (6, Change::Stored(d)),
    ];
    assert_eq!(changes(&events), expected);
    let ages: Vec<u64> = events.iter().map(|event| event.age_ms).collect();
    assert_eq!(ages, [8, 8, 8, 6, 6, 6]);
    assert!(cache.take_events(at(9), at(9), 100).is_empty());
}

/// Guards against events that are published before their delay or in larger numbers than requested.
#[test]
fn take_events_delay_and_bound() {
    let mut cache = Cache::new(Bytes::gib(1));
    for number in 1..=4 {
        cache.lookup_or_store(at(number * 10), Prefix(number), MESSAGE_SIZE);
    }
    assert_eq!(cache.take_events(at(9), at(50), 9), []);
    let taken = cache.take_events(at(30), at(50), 2);
    assert_eq!(
        taken.iter().map(|event| event.age_ms).collect::<Vec<_>>(),
        [40, 30]
    );
    assert_eq!(cache.take_events(at(30), at(50), 2).len(), 1);
    assert_eq!(cache.take_events(at(50), at(50), 2).len(), 1);
}

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
        "--load-rate",
        "1000GiB",
        "--token-gap",
        "1ms",
        "--prompt-time",
        "1ms",
        "--access-token",
        "target-secret",
    ];
    args.extend(extra_args);
    let args = args.into_iter().map(Into::into).collect();
    serve::start(Flags::from_vec(args).unwrap()).unwrap()
}

fn post_as(standin: &Standin, access: &str, path: &str, body: &impl Serialize) -> Response {
    let request = client::Request {
        method: "POST",
        target: path,
        headers: &[("Authorization", access)],
        body: &serde_json::to_vec(body).unwrap(),
    };
    let timeouts = Timeouts::all(Duration::from_secs(60));
    client::send(standin.address(), &request, &timeouts).unwrap()
}

fn post(standin: &Standin, path: &str, body: &impl Serialize) -> Response {
    post_as(standin, "Bearer target-secret", path, body)
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

/// Loads an artifact and generates one token for each prefix.
fn generate(standin: &Standin, prefixes: &[Option<u64>]) {
    let order = Order {
        id: id::Order::generate(),
        target: "engine-1".parse().unwrap(),
        incarnation: id::Incarnation(1),
        token: id::Token(1),
        action: Action::Load {
            artifact: "m@1".parse().unwrap(),
            bytes: Bytes::gib(1),
        },
    };
    post(standin, "/v1/orders", &order);
    for prefix in prefixes {
        let mut work = json!({
            "request": id::Request::generate(), "attempt": 1, "artifact": "m@1", "max_tokens": 1,
            "messages": [{ "role": "user", "content": "x y" }], "priority": 5, "resume": [],
            "deadline_ms": 60_000,
        });
        if let Some(prefix) = prefix {
            work["prefix"] = json!(Prefix(*prefix));
        }
        let is_answered = (0..2000).any(|_| {
            let mut response = post(standin, "/v1/generate", &work);
            thread::sleep(Duration::from_millis(1));
            response.status == 200 && response.read_to_end(1 << 16).is_ok()
        });
        assert!(is_answered);
    }
}

/// Guards against an engine that uses another prefix than the work names, so that instances don't know the prefixes
/// of its events, and against one that refuses work without a prefix.
#[test]
fn generate_counts_hits() {
    let standin = start(&[]);
    generate(&standin, &[Some(1), Some(2), Some(1), None, None]);
    let engine = counters(&standin)["engine"].clone();
    assert_eq!(engine["prefix_hits"], 2, "{engine}");
    assert_eq!(engine["prefix_misses"], 3, "{engine}");
    standin.stop();
}

/// Guards against a KV cache that is lost or changed in transfer, against an import of a blob that was not exported,
/// and against one that exceeds the cache or shows no valid access token.
#[test]
fn export_and_import() {
    let (from, to) = (start(&[]), start(&["--cache-memory", "100MiB"]));
    generate(&from, &[Some(7)]);
    let export = |standin: &Standin, prefix| {
        let body = Export {
            prefix: Prefix(prefix),
        };
        post(standin, cache::EXPORT_PATH, &body)
    };
    assert_eq!(export(&from, 8).status, 404);
    let mut response = export(&from, 7);
    assert_eq!(response.status, 200);
    let exported: Exported =
        serde_json::from_slice(&response.read_to_end(1 << 16).unwrap()).unwrap();
    assert_eq!(
        (exported.prefix, exported.bytes),
        (Prefix(7), MESSAGE_SIZE.0)
    );
    let import = |exported: &Exported| post(&to, cache::IMPORT_PATH, exported).status;
    let damaged = [
        Exported {
            blob: String::new(),
            ..exported.clone()
        },
        Exported {
            bytes: exported.bytes + 1,
            ..exported.clone()
        },
        Exported {
            prefix: Prefix(8),
            ..exported.clone()
        },
    ];
    for damaged in &damaged {
        assert_eq!(import(damaged), 400, "{damaged:?}");
    }
    assert_eq!(export(&to, 7).status, 404, "a damaged blob was stored");
    assert_eq!(import(&exported), 200);
    assert_eq!(import(&exported), 200, "a repeated import failed");
    let mut response = export(&to, 7);
    let exported_again: Exported =
        serde_json::from_slice(&response.read_to_end(1 << 16).unwrap()).unwrap();
    assert_eq!(exported_again, exported);
    generate(&to, &[Some(7)]);
    assert_eq!(counters(&to)["engine"]["prefix_hits"], 1);
    let small = start(&["--cache-memory", "1MiB"]);
    assert_eq!(post(&small, cache::IMPORT_PATH, &exported).status, 413);
    for path in [cache::EXPORT_PATH, cache::IMPORT_PATH] {
        assert_eq!(post(&to, path, &json!({ "x": 1 })).status, 400);
        assert_eq!(post_as(&to, "Bearer other", path, &exported).status, 403);
    }
    for standin in [from, to, small] {
        standin.stop();
    }
}

/// Generates with `prefixes` prefixes and returns the published events up to sequence number `last`.
fn published(flags: &[&str], prefixes: u64, last: u64) -> Vec<Event> {
    let (sender, receiver) = mpsc::channel();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let config = server::Config {
        name: "instance".to_owned(),
        max_exchanges: 4,
        ..server::Config::default()
    };
    let server = server::start(listener, config, move |mut exchange| {
        let text = exchange.take_text(cache::MAX_PUBLICATION_BYTES).unwrap();
        if exchange.path() == cache::EVENTS_PATH {
            let publication: Result<(Batch, Option<EventError>), _> = cache::read(&text);
            sender.send(publication.unwrap()).unwrap();
        }
        exchange.respond(Answer::json(200, "{}")).unwrap();
    })
    .unwrap();
    let mut args = vec!["--report-to", &*address];
    args.extend(flags);
    let standin = start(&args);
    let prefixes: Vec<Option<u64>> = (1..=prefixes).map(Some).collect();
    generate(&standin, &prefixes);
    let mut events: Vec<Event> = Vec::new();
    while events.last().is_none_or(|event| event.sequence < last) {
        let (batch, error) = receiver.recv_timeout(Duration::from_secs(60)).unwrap();
        assert_eq!(error, None);
        assert_eq!(batch.target.as_str(), "engine-1");
        assert_eq!(
            batch.incarnation.0,
            counters(&standin)["started"].as_u64().unwrap()
        );
        events.extend(batch.events);
    }
    standin.stop();
    server.stop();
    events
}

/// Guards against events that violate the protocol, and against flags for delay and loss without effect, which would
/// make tests of late and lost events meaningless.
#[test]
fn publish_events() {
    let stored = |sequence| (sequence, Change::Stored(Prefix(sequence)));
    let all: Vec<_> = (1..=20).map(stored).collect();
    assert_eq!(changes(&published(&[], 20, 20)), all);
    let delayed = published(&["--cache-event-delay", "300ms"], 20, 20);
    assert_eq!(changes(&delayed), all);
    assert!(
        delayed.iter().all(|event| event.age_ms >= 300),
        "{delayed:?}"
    );
    let lossy = ["--lose-cache-events", "0.5", "--seed", "3"];
    let first = changes(&published(&lossy, 20, 20));
    assert!(first.len() < 20 && first.iter().all(|event| all.contains(event)));
    assert_eq!(
        changes(&published(&lossy, 20, 20)),
        first,
        "losses differ with the same seed"
    );
}
