//! Effects of faulty cache events on affinity.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

use std::time::Duration;

use buckthornmast_routing::{
    affinity::{Affinity, Prefix, Validity, prefix_of},
    choice::{Choice, PowerOfTwo},
    table::{self, Need, Slot, Table},
};
use buckthornmast_types::{
    cache::{Change, Event},
    id,
    prelude::*,
};
use rand::{SeedableRng, rngs::SmallRng};

const VALIDITY: Validity = Validity {
    own_request: Duration::from_secs(30),
    stored_event: Duration::from_secs(300),
};

const P: Prefix = Prefix(1);
const Q: Prefix = Prefix(2);

fn at(seconds: u64) -> Point {
    Point::from_millis(seconds * 1000)
}

fn report(name: &str) -> Report {
    Report {
        target: name.parse().unwrap(),
        domain: "north".parse().unwrap(),
        kind: "engine".parse().unwrap(),
        service: "chat".parse().unwrap(),
        address: ([127, 0, 0, 1], 9).into(),
        incarnation: id::Incarnation(1),
        sequence: 1,
        is_leaving: false,
        accelerators: 1,
        memory: Bytes::gib(80),
        copies: vec![report::Copy {
            artifact: "m@1".parse().unwrap(),
            phase: report::Phase::Ready,
            bytes: Bytes::gib(8),
        }],
        token: id::Token(1),
        load: report::Load {
            running: 0,
            waiting: 0,
            slots: 16,
        },
    }
}

fn table(names: &[&str]) -> Table {
    let mut table = Table::new(table::Config::default(), "north".parse().unwrap());
    for name in names {
        table.observe(report(name), Duration::ZERO, at(0));
    }
    table
}

fn slots() -> (Slot, Slot) {
    let table = table(&["a", "b"]);
    let slot = |name: &str| table.slot(&name.parse().unwrap()).unwrap();
    (slot("a"), slot("b"))
}

/// Information that an instance receives, in the order of arrival.
#[derive(Clone, Copy)]
enum Step {
    /// The instance sends a request with the prefix at this second.
    Request(u64, Prefix),
    /// An event arrives: second of arrival, incarnation, number, second of the change, and change.
    Event(u64, u64, u64, u64, Change),
    /// A report with this incarnation arrives.
    Report(u64),
}

use Change::{Evicted, Stored};
use Step::{Event as Ev, Report as Rep, Request};

fn run(affinity: &mut Affinity, slot: Slot, steps: &[Step]) {
    for step in steps {
        match *step {
            Request(second, prefix) => affinity.record_request(prefix, slot, at(second)),
            Ev(now, incarnation, sequence, happened, change) => {
                let event = Event {
                    sequence,
                    age_ms: (now - happened) * 1000,
                    change,
                };
                affinity.apply(slot, id::Incarnation(incarnation), &event, at(now));
            }
            Rep(incarnation) => affinity.observe_incarnation(slot, id::Incarnation(incarnation)),
        }
    }
}

/// Guards against an instance that applies an invalid event, or drops its own newer record because of an event.
#[test]
fn apply_faults() {
    // Case, steps, second of the check, and whether the target counts as a holder of P and of Q then.
    let cases: &[(&str, &[Step], u64, bool, bool)] = &[
        ("stored", &[Ev(1, 1, 1, 1, Stored(P))], 2, true, false),
        (
            "stored counts for longer than an own request",
            &[Ev(1, 1, 1, 1, Stored(P)), Request(1, Q)],
            40,
            true,
            false,
        ),
        (
            "stored expires",
            &[Ev(1, 1, 1, 1, Stored(P))],
            302,
            false,
            false,
        ),
        (
            "evicted",
            &[Ev(1, 1, 1, 1, Stored(P)), Ev(2, 1, 2, 2, Evicted(P))],
            3,
            false,
            false,
        ),
        (
            "evicted after an own request",
            &[Request(1, P), Ev(3, 1, 1, 2, Evicted(P))],
            4,
            false,
            false,
        ),
        (
            "late: evicted before an own request",
            &[Request(5, P), Ev(6, 1, 1, 4, Evicted(P))],
            7,
            true,
            false,
        ),
        (
            "late: stored and evicted before an own request",
            &[
                Request(5, P),
                Ev(6, 1, 1, 2, Stored(P)),
                Ev(6, 1, 2, 4, Evicted(P)),
            ],
            7,
            true,
            false,
        ),
        (
            "late: stored too long ago",
            &[Ev(302, 1, 1, 1, Stored(P))],
            302,
            false,
            false,
        ),
        (
            "duplicated stored after the eviction",
            &[
                Ev(1, 1, 1, 1, Stored(P)),
                Ev(2, 1, 2, 2, Evicted(P)),
                Ev(3, 1, 1, 1, Stored(P)),
            ],
            4,
            false,
            false,
        ),
        (
            "duplicated evicted after a newer stored",
            &[
                Ev(1, 1, 1, 1, Evicted(P)),
                Ev(2, 1, 2, 2, Stored(P)),
                Ev(3, 1, 1, 1, Evicted(P)),
            ],
            4,
            true,
            false,
        ),
        (
            "duplicated evicted with a later time than the stored",
            &[
                Ev(1, 1, 1, 1, Evicted(P)),
                Ev(2, 1, 2, 2, Stored(P)),
                Ev(3, 1, 1, 3, Evicted(P)),
            ],
            4,
            true,
            false,
        ),
        (
            "reordered: evicted before its stored",
            &[Ev(3, 1, 2, 2, Evicted(P)), Ev(3, 1, 1, 1, Stored(P))],
            4,
            false,
            false,
        ),
        (
            "reordered: eviction arrives after a newer stored",
            &[
                Ev(1, 1, 1, 1, Stored(P)),
                Ev(4, 1, 3, 3, Stored(P)),
                Ev(5, 1, 2, 2, Evicted(P)),
            ],
            6,
            true,
            false,
        ),
        (
            "gap invalidates what was stored before it",
            &[Ev(1, 1, 1, 1, Stored(P)), Ev(3, 1, 3, 3, Stored(Q))],
            4,
            false,
            true,
        ),
        (
            "gap keeps an own request",
            &[
                Ev(1, 1, 1, 1, Stored(P)),
                Request(2, P),
                Ev(3, 1, 3, 3, Stored(Q)),
            ],
            4,
            true,
            true,
        ),
        (
            "gap keeps an own request no longer than without events",
            &[
                Ev(1, 1, 1, 1, Stored(P)),
                Request(2, P),
                Ev(3, 1, 3, 3, Stored(Q)),
            ],
            32,
            false,
            true,
        ),
        (
            "missing event that arrives after the gap restores nothing",
            &[
                Ev(1, 1, 1, 1, Stored(P)),
                Ev(3, 1, 3, 3, Stored(Q)),
                Ev(4, 1, 2, 2, Stored(P)),
            ],
            5,
            false,
            true,
        ),
        (
            "first event has a high number",
            &[Ev(9, 1, 40, 9, Stored(P)), Ev(9, 1, 41, 9, Stored(Q))],
            10,
            true,
            true,
        ),
        (
            "restart shown by the events",
            &[
                Ev(1, 1, 1, 1, Stored(P)),
                Request(1, P),
                Ev(3, 2, 1, 3, Stored(Q)),
            ],
            4,
            false,
            true,
        ),
        (
            "restart shown by the report",
            &[Ev(1, 1, 1, 1, Stored(P)), Request(1, P), Rep(2)],
            4,
            false,
            false,
        ),
        (
            "event of the incarnation before a restart",
            &[
                Rep(2),
                Ev(3, 2, 1, 3, Stored(Q)),
                Ev(4, 1, 7, 1, Stored(P)),
                Ev(4, 1, 8, 2, Evicted(Q)),
            ],
            5,
            false,
            true,
        ),
        (
            "restart shown twice clears the records once",
            &[
                Rep(1),
                Rep(2),
                Request(3, P),
                Ev(4, 2, 1, 3, Stored(Q)),
                Rep(2),
                Rep(1),
            ],
            5,
            true,
            true,
        ),
        (
            "numbers begin again after a restart",
            &[
                Ev(1, 1, 9, 1, Stored(P)),
                Ev(3, 2, 1, 3, Stored(P)),
                Ev(4, 2, 2, 4, Evicted(P)),
            ],
            5,
            false,
            false,
        ),
        (
            "largest number",
            &[Ev(1, 1, u64::MAX, 1, Stored(P)), Ev(2, 1, 1, 1, Stored(Q))],
            3,
            true,
            false,
        ),
    ];
    let (slot, _) = slots();
    for (name, steps, now, has_p, has_q) in cases {
        let mut affinity = Affinity::default();
        run(&mut affinity, slot, steps);
        let has = |prefix| !affinity.holders(prefix, &VALIDITY, at(*now)).is_empty();
        assert_eq!((has(P), has(Q)), (*has_p, *has_q), "{name}");
    }
}

/// Guards against an older event that moves requests away from the target of the last request, and against
/// faulty events of one engine that drop the records of another.
#[test]
fn holders_newest_first() {
    let (a, b) = slots();
    let mut affinity = Affinity::default();
    run(&mut affinity, a, &[Request(10, P)]);
    run(&mut affinity, b, &[Ev(12, 1, 1, 5, Stored(P))]);
    assert_eq!(affinity.holders(P, &VALIDITY, at(13))[..], [a, b]);
    run(&mut affinity, b, &[Ev(14, 1, 2, 14, Stored(P))]);
    assert_eq!(affinity.holders(P, &VALIDITY, at(14))[..], [b, a]);
    run(&mut affinity, a, &[Rep(1), Rep(2)]);
    assert_eq!(affinity.holders(P, &VALIDITY, at(14))[..], [b]);
    run(&mut affinity, b, &[Ev(15, 1, 9, 15, Evicted(Q))]);
    assert!(affinity.holders(P, &VALIDITY, at(15)).is_empty());
    assert_eq!(affinity.len(), 1, "a gap must not remove the record");
}

/// Guards against memory use that grows with the number of prefixes, engines or events.
#[test]
fn apply_bounded() {
    let (slot, _) = slots();
    let mut affinity = Affinity::default();
    let apply = |affinity: &mut Affinity, sequence: u64, prefix: u64| {
        let event = Event {
            sequence,
            age_ms: 0,
            change: Stored(Prefix(prefix)),
        };
        affinity.apply(slot, id::Incarnation(1), &event, Point(sequence));
    };
    for sequence in 1..=50_000 {
        apply(&mut affinity, sequence, sequence);
    }
    // At most 16,384 prefixes are recorded, and at most 4 holders of each; the oldest are dropped.
    assert_eq!(affinity.len(), 16_384);
    assert!(
        affinity
            .holders(Prefix(1), &VALIDITY, Point(50_000))
            .is_empty()
    );
    assert_eq!(
        affinity
            .holders(Prefix(50_000), &VALIDITY, Point(50_000))
            .len(),
        1
    );
    let names: Vec<String> = (0..40).map(|number| format!("e{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let table = table(&names);
    for (second, name) in (100..).zip(&names) {
        affinity.record_request(P, table.slot(&name.parse().unwrap()).unwrap(), at(second));
    }
    assert_eq!(affinity.holders(P, &VALIDITY, at(140)).len(), 4);
}

/// Guards against a choice that ignores events, and against one that overloads the engine that reported them.
#[test]
fn choose_reported_holder() {
    let names = ["e1", "e2", "e3", "e4", "e5", "e6"];
    let mut table = table(&names);
    let mut rng = SmallRng::seed_from_u64(0x5eed_0000_0005);
    let artifact: Artifact = "m@1".parse().unwrap();
    let slot = table.slot(&"e4".parse().unwrap()).unwrap();
    let mut affinity = Affinity::default();
    run(&mut affinity, slot, &[Ev(1, 1, 1, 0, Stored(P))]);
    let rule = PowerOfTwo::default();
    let found = table.candidates(Need::Artifact(&artifact), &[], at(1));
    for _ in 0..50 {
        let pick = rule.choose(&found, Some(P), &mut affinity.clone(), at(1), &mut rng);
        assert_eq!(pick, Some(slot));
    }
    for _ in 0..6 {
        table.started(slot, Need::Artifact(&artifact), at(1));
    }
    let found = table.candidates(Need::Artifact(&artifact), &[], at(1));
    for _ in 0..50 {
        let pick = rule.choose(&found, Some(P), &mut affinity.clone(), at(1), &mut rng);
        assert_ne!(pick, Some(slot));
    }
}

/// Guards against a prefix that is equal for two models or versions, which can't use each other's caches, and
/// against a hash that differs between instances.
#[test]
fn prefix_of_artifact() {
    let prefix = |text: u64, artifact: &str| prefix_of(text, &artifact.parse().unwrap());
    let all = [
        prefix(1, "m@1"),
        prefix(2, "m@1"),
        prefix(1, "m@2"),
        prefix(1, "n@1"),
        prefix(1, "m@1+a@1"),
    ];
    for (index, one) in all.iter().enumerate() {
        assert!(!all[..index].contains(one), "{index}");
    }
    assert_eq!(prefix(1, "m@1"), prefix(1, "m@1"));
    // A fixed value, since instances of different versions have to compute the same prefix.
    assert_eq!(prefix(1, "m@1").to_string(), "a1787841ac718cf0");
}
