//! Cache events of engines: the relay, and prefix hits through several instances over real processes.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

use std::time::Duration;

use buckthornmast_daemon::{
    cache::{Feed, Outbox, Relayed},
    targets::Origin,
};
use buckthornmast_trial::prelude::*;
use buckthornmast_types::{
    cache::{Batch, Change, Event, Prefix},
    id,
    time::{Point, System},
};
use serde_json::json;

#[path = "support/press.rs"]
mod press;
#[path = "support/watch.rs"]
mod watch;

fn batch(target: &str, sequences: impl IntoIterator<Item = u64>) -> Batch {
    let event = |sequence| Event {
        sequence,
        age_ms: 100,
        change: match sequence % 2 {
            0 => Change::Evicted(Prefix(sequence)),
            _ => Change::Stored(Prefix(u64::MAX - sequence)),
        },
    };
    Batch {
        target: target.parse().unwrap(),
        incarnation: id::Incarnation(7),
        events: sequences.into_iter().map(event).collect(),
    }
}

fn read(relayed: &[Relayed]) -> Vec<Batch> {
    relayed.iter().map(|run| run.read().unwrap()).collect()
}

fn millis(millis: u64) -> Point {
    Point::from_millis(millis)
}

/// Guards against events that are altered by the relay, or that have a smaller age after it.
#[test]
fn take_events() {
    let mut outbox = Outbox::default();
    outbox.put(&batch("e1", [1, 2, 4]), millis(1000), millis(1000));
    outbox.put(&batch("e2", [9]), millis(1000), millis(1000));
    let mut expected = vec![batch("e1", [1, 2]), batch("e1", [4]), batch("e2", [9])];
    for event in expected.iter_mut().flat_map(|batch| &mut batch.events) {
        event.age_ms += 50;
    }
    let taken = outbox.take_due(1, millis(1050));
    assert_eq!(read(&taken), expected);
    assert!(outbox.take_due(1, millis(9000)).is_empty());
    let text = serde_json::to_string(&taken).unwrap();
    assert_eq!(serde_json::from_str::<Vec<Relayed>>(&text).unwrap(), taken);
}

/// Guards against a relay that exceeds its budget under a flood of events, and against one that sends an event
/// before an earlier one of the same engine.
#[test]
fn take_within_budget() {
    for others in [1, 2, 5, 44, 399] {
        let mut outbox = Outbox::default();
        let (mut bytes, mut events, mut last) = (0, 0, 0);
        for round in 0..500_u64 {
            let now = millis(1000 + round * 200);
            outbox.put(&batch("e1", round * 60 + 1..=round * 60 + 60), now, now);
            let taken = outbox.take_due(others, now);
            if taken.is_empty() {
                // No notice is sent without events.
                continue;
            }
            bytes += serde_json::to_string(&taken).unwrap().len() * others;
            for batch in read(&taken) {
                assert!(batch.events[0].sequence > last);
                last = batch.events.last().unwrap().sequence;
                events += batch.events.len();
            }
        }
        // 4,000 bytes a second for 100 s, and the allowance at their start: 4,000 bytes in all, but up to 256 bytes for
        // each instance.
        let budget = 4000 * 101 + 256 * others;
        assert!(bytes <= budget, "{others} others: {bytes} bytes");
        assert!(events > 0, "{others} others");
    }
}

/// Guards against a second instance that relays events which the first has relayed, and against one that does
/// not relay events which the first has not.
#[test]
fn take_backup() {
    let mut outbox = Outbox::default();
    outbox.put(&batch("e1", 1..=4), millis(0), millis(1000));
    outbox.remove_relayed(&batch("e1", 2..=3));
    let mut restarted = batch("e1", [1, 4]);
    restarted.incarnation = id::Incarnation(8);
    outbox.remove_relayed(&restarted);
    outbox.remove_relayed(&batch("e2", 1..=4));
    assert!(outbox.take_due(1, millis(999)).is_empty());
    let taken = read(&outbox.take_due(1, millis(1000)));
    let left: Vec<u64> = taken
        .iter()
        .flat_map(|batch| batch.events.iter().map(|event| event.sequence))
        .collect();
    assert_eq!(left, [1, 4]);
}

/// Guards against an instance that panics on a malformed notice or reads other events from it.
#[test]
fn read_malformed() {
    let good = r#"["e1",7,3,"+ff:1 -0a:20"]"#;
    let relayed: Relayed = serde_json::from_str(good).unwrap();
    assert_eq!(relayed.read().unwrap().events.len(), 2);
    for text in [
        "",
        "+ff",
        "ff:1",
        "+ff:x",
        "+:1",
        "+ff:1  -ff:1",
        "*ff:1",
        "+ff:-1",
    ] {
        let relayed: Relayed = serde_json::from_value(json!(["e1", 7, 3, text])).unwrap();
        assert_eq!(relayed.read(), None, "{text:?}");
    }
    let relayed: Relayed = serde_json::from_value(json!(["e1", 7, u64::MAX, "+f:1 +f:1"])).unwrap();
    assert_eq!(relayed.read(), None);
}

/// Guards against events that an instance accepts but does not deliver to its router, and against a listener that
/// is not disconnected at the end.
#[test]
fn accept_and_listen() {
    let feed = Feed::new(System::start());
    let arrived = feed.subscribe();
    for origin in [Origin::Target, Origin::Backup, Origin::Instance] {
        feed.accept(batch("e1", [1, 2]), origin);
        assert_eq!(*arrived.try_recv().unwrap().batch, batch("e1", [1, 2]));
    }
    feed.accept(batch("e1", []), Origin::Target);
    assert!(arrived.try_recv().is_err());
    feed.end_subscriptions();
    assert_eq!(
        arrived.recv_timeout(Duration::ZERO).unwrap_err(),
        flume::RecvTimeoutError::Disconnected
    );
}

const NORTH: [InstanceConfig; 3] = [
    InstanceConfig {
        name: "north-1",
        domain: "north",
        is_voter: true,
    },
    InstanceConfig {
        name: "north-2",
        domain: "north",
        is_voter: true,
    },
    InstanceConfig {
        name: "north-3",
        domain: "north",
        is_voter: true,
    },
];

/// Number of different prompts that are sent through an instance.
const PROMPTS: u64 = 12;

/// Returns hits and misses of all prefix caches.
fn hits_and_misses(cluster: &Cluster) -> (u64, u64) {
    let count = |name: &str| {
        let engines = 0..cluster.targets.len();
        engines
            .map(|engine| {
                watch::engine(cluster, engine)["engine"][name]
                    .as_u64()
                    .unwrap()
            })
            .sum()
    };
    (count("prefix_hits"), count("prefix_misses"))
}

/// Returns the number of cache events that the router of an instance has applied.
fn applied_events(cluster: &Cluster, instance: usize) -> u64 {
    let port = cluster.instances[instance].ports.callers;
    let text = caller::get(port, "/metrics").text;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("buckthornmast_cache_events_total "));
    line.map_or(0, |count| count.parse().unwrap())
}

fn call_all(cluster: &Cluster, instance: usize) {
    for number in 0..PROMPTS {
        let port = cluster.instances[instance].ports.callers;
        let answer = caller::chat(port, "proof-reader", &format!("prompt {number}"), 1);
        assert_eq!(answer.status, 200, "{}", answer.text);
    }
}

/// Starts a cluster with copies of the model, and sends some prompts through the first instance.
fn warm_up(flags: &[&str]) -> Cluster {
    let mut cluster = press::start(&NORTH);
    let engines = [("e1", "north"), ("e2", "north"), ("e3", "north")];
    watch::set_policy(&cluster, "static");
    cluster.add_engines(&engines, flags).unwrap();
    for instance in 0..3 {
        wait_for("two copies of the model", || {
            let ready = watch::ready_at(&cluster, instance, "proof-reader@1");
            (ready.len() >= 2).then_some(())
        });
        cluster.wait_for_model(instance, "proof-reader");
    }
    watch::set_policy(&cluster, "marginal");
    call_all(&cluster, 0);
    cluster
}

/// Guards against an instance that has a prompt computed again although an engine has its prefix cached. The
/// second instance receives the events from the engine, the third one through the relay.
#[test]
fn second_instance_hits() {
    let cluster = warm_up(&[]);
    let (_, misses) = hits_and_misses(&cluster);
    assert!(misses >= PROMPTS);
    for instance in [1, 2] {
        wait_for("the events at another instance", || {
            (applied_events(&cluster, instance) >= misses).then_some(())
        });
        let (hits, misses) = hits_and_misses(&cluster);
        call_all(&cluster, instance);
        let expected = (hits + PROMPTS, misses);
        assert_eq!(hits_and_misses(&cluster), expected, "instance {instance}");
    }
}

/// Guards against a test of hits that would also pass without events, and against an instance that does not work
/// without them.
#[test]
fn second_instance_without_events() {
    let cluster = warm_up(&["--lose-cache-events", "1"]);
    let (_, misses) = hits_and_misses(&cluster);
    call_all(&cluster, 1);
    assert_eq!(applied_events(&cluster, 1), 0);
    assert!(
        hits_and_misses(&cluster).1 > misses,
        "no miss; by chance this has a probability of at most 1 in 4,096"
    );
}
