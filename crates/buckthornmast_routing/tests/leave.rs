//! Last copies on targets that leave or are drained, and copies that are being loaded.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

use std::{collections::BTreeSet, time::Duration};

use buckthornmast_routing::prelude::*;
use buckthornmast_types::{prelude::*, report::Phase};

fn at(millis: u64) -> Point {
    Point::from_millis(millis)
}

fn artifact(text: &str) -> Artifact {
    text.parse().unwrap()
}

/// Report of incarnation 1 with one artifact.
fn report(name: &str, sequence: u64, copies: &[(&str, Phase)]) -> Report {
    let copy = |(text, phase): &(&str, Phase)| report::Copy {
        artifact: artifact(text),
        phase: *phase,
        bytes: Bytes::gib(10),
    };
    Report {
        target: name.parse().unwrap(),
        domain: "a".parse().unwrap(),
        kind: "engine".parse().unwrap(),
        service: "s".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: id::Incarnation(1),
        sequence,
        leaving: false,
        accelerators: 1,
        memory: Bytes::gib(80),
        copies: copies.iter().map(copy).collect(),
        token: id::Token(0),
        load: report::Load {
            running: 0,
            waiting: 0,
            slots: 10,
        },
    }
}

const READY: &[(&str, Phase)] = &[("m@1", Phase::Ready)];

/// What an instance learns of the only target with the model.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// Report of an incarnation with a sequence, whether it says leaving, and how old it is.
    Report(u64, u64, bool, u64),
    /// Settings that drain it, and when those before them were last known to be the newest.
    Drain(Option<u64>),
    /// Settings that don't drain it.
    Undrain,
}

use Event::{Drain, Report as Says, Undrain};

/// Events with their times.
type Events = &'static [(u64, Event)];

fn play(events: &[(u64, Event)]) -> Table {
    let mut table = Table::new(table::Config::default(), "a".parse().unwrap());
    let name: id::Target = "a1".parse().unwrap();
    for (now, event) in events {
        match *event {
            Says(incarnation, sequence, leaving, age) => {
                let mut report = report("a1", sequence, READY);
                report.incarnation = id::Incarnation(incarnation);
                report.leaving = leaving;
                table.observe(report, Duration::from_millis(age), at(*now));
            }
            Drain(before) => table.set_drains(BTreeSet::from([name.clone()]), before.map(at)),
            Undrain => table.set_drains(BTreeSet::new(), None),
        }
    }
    table
}

/// Returns whether the target takes any work, and whether it takes work for its last copy.
fn takes(table: &Table, now: u64) -> (bool, bool) {
    let m = artifact("m@1");
    let any = !table
        .candidates(Need::Artifact(&m), &[], at(now))
        .is_empty();
    (any, !table.last_copies(&m, &[], at(now)).is_empty())
}

/// Guards against a grace that goes on longer than its bound or begins anew: because the notice is seen
/// twice, late or by an instance that has just started or was cut off, or because settings are read again.
#[test]
fn last_copies_fault_cases() {
    // Events, then the time from which no work for the last copy may be sent; 0 for none at all.
    let cases: &[(&str, Events, u64)] = &[
        (
            "leaves",
            &[(1000, Says(1, 1, false, 0)), (1500, Says(1, 2, true, 0))],
            3500,
        ),
        (
            "leaving seen twice",
            &[
                (1000, Says(1, 1, false, 0)),
                (1500, Says(1, 2, true, 0)),
                (2500, Says(1, 3, true, 0)),
                (3400, Says(1, 4, true, 0)),
            ],
            3500,
        ),
        (
            "notice lost, next one late",
            &[(1000, Says(1, 1, false, 0)), (3200, Says(1, 3, true, 900))],
            3500,
        ),
        (
            "last report without notice relayed late",
            &[(1700, Says(1, 1, false, 700)), (1800, Says(1, 2, true, 0))],
            3500,
        ),
        (
            "late copy of an earlier report",
            &[
                (1000, Says(1, 2, false, 0)),
                (1500, Says(1, 3, true, 0)),
                (3000, Says(1, 1, false, 0)),
            ],
            3500,
        ),
        (
            "instance restarted meanwhile",
            &[(1500, Says(1, 2, true, 0))],
            0,
        ),
        (
            "target restarted and leaves again",
            &[(1000, Says(1, 9, false, 0)), (1500, Says(2, 1, true, 0))],
            0,
        ),
        (
            "drained",
            &[(1000, Says(1, 1, false, 0)), (1500, Drain(Some(1400)))],
            3500,
        ),
        (
            "drain read twice",
            &[
                (1000, Says(1, 1, false, 0)),
                (1500, Drain(Some(1400))),
                (3000, Drain(Some(2900))),
                (3000, Says(1, 2, false, 0)),
                (3800, Says(1, 3, false, 0)),
            ],
            3900,
        ),
        (
            "drained before this instance started",
            &[
                (1500, Drain(None)),
                (1600, Says(1, 1, false, 0)),
                (1700, Drain(Some(1650))),
            ],
            0,
        ),
        (
            "restarted into settings with the drain",
            &[
                (1000, Says(1, 1, false, 0)),
                (1500, Drain(None)),
                (1700, Drain(Some(1600))),
            ],
            0,
        ),
        (
            "drain learnt late by an instance that was cut off",
            &[(9000, Says(1, 1, false, 0)), (9500, Drain(Some(1000)))],
            0,
        ),
        (
            "drained, then leaves",
            &[
                (1000, Says(1, 1, false, 0)),
                (1100, Drain(Some(1050))),
                (2000, Says(1, 2, false, 0)),
                (2500, Says(1, 3, true, 0)),
                (3500, Says(1, 4, true, 0)),
            ],
            3550,
        ),
    ];
    for (case, events, end) in cases {
        let table = play(events);
        let last = events.last().unwrap().0;
        let mut until = 0;
        for now in (last..last + 10_000).step_by(10) {
            let (any, last_copy) = takes(&table, now);
            assert!(!any, "{case}: ordinary work at {now}");
            if last_copy {
                until = now + 10;
            }
        }
        assert_eq!(until, *end, "{case}");
    }
}

/// Guards against a target that stays shut after it came back, and against a grace of the first leaving
/// that counts for the second.
#[test]
fn last_copies_withdrawn() {
    let came_back: &[&[(u64, Event)]] = &[
        &[
            (1000, Says(1, 1, false, 0)),
            (1500, Says(1, 2, true, 0)),
            (2000, Says(1, 3, false, 0)),
        ],
        &[
            (1000, Says(1, 1, false, 0)),
            (1500, Says(1, 2, true, 0)),
            (2000, Says(2, 1, false, 0)),
        ],
        &[
            (1900, Says(1, 1, false, 0)),
            (1910, Drain(Some(1900))),
            (2000, Undrain),
        ],
    ];
    for events in came_back {
        let table = play(events);
        assert_eq!(takes(&table, 2100), (true, false), "{events:?}");
    }
    let again = play(&[
        (1000, Says(1, 1, false, 0)),
        (1500, Drain(Some(1400))),
        (5000, Undrain),
        (6000, Says(1, 2, false, 0)),
        (6100, Drain(Some(6050))),
    ]);
    assert_eq!(takes(&again, 6200), (false, true));
    assert_eq!(takes(&again, 8550), (false, false));
}

/// Guards against work in the grace for an artifact that another target has too, be it tried or ejected,
/// and against an adapter without its model.
#[test]
fn last_copies_only_last() {
    let mut table = Table::new(table::Config::default(), "a".parse().unwrap());
    let both = [
        ("m@1", Phase::Ready),
        ("n@1", Phase::Ready),
        ("o@1+x@1", Phase::Ready),
    ];
    table.observe(report("a1", 1, &both), Duration::ZERO, at(1000));
    table.observe(report("a2", 1, READY), Duration::ZERO, at(1000));
    table.set_drains(BTreeSet::from(["a1".parse().unwrap()]), Some(at(1000)));
    let other = table.slot(&"a2".parse().unwrap()).unwrap();
    let found = |table: &Table, text: &str, tried: &[Slot]| {
        table.last_copies(&artifact(text), tried, at(1100)).len()
    };
    assert_eq!(found(&table, "m@1", &[]), 0);
    assert_eq!(found(&table, "m@1", &[other]), 0);
    assert_eq!(found(&table, "n@1", &[]), 1);
    assert_eq!(found(&table, "o@1+x@1", &[]), 0);
    let service = "s".parse().unwrap();
    let any = table.candidates(Need::Service(&service), &[], at(1100));
    assert_eq!(any.len(), 1, "only the target that stays takes other work");
    // A copy that is only being loaded elsewhere does not end the grace; a ready one does.
    table.observe(
        report("a2", 2, &[("n@1", Phase::Loading)]),
        Duration::ZERO,
        at(1050),
    );
    assert_eq!(found(&table, "n@1", &[]), 1);
    table.observe(
        report("a2", 3, &[("n@1", Phase::Ready)]),
        Duration::ZERO,
        at(1060),
    );
    assert_eq!(found(&table, "n@1", &[]), 0);
}

/// Guards against requests that wait for a copy that can't answer them: on a target that leaves, whose
/// reports are old, or whose load was given up; and against an expected time that never rises.
#[test]
fn arrival_of_loads() {
    let mut table = Table::new(table::Config::default(), "a".parse().unwrap());
    let m = artifact("m@1");
    let loading = [("m@1", Phase::Loading)];
    assert!(table.arrival(&m, at(0)).is_none());
    table.observe(report("a1", 1, &loading), Duration::ZERO, at(1000));
    let left = |table: &Table, now| table.arrival(&m, at(now)).map(|arrival| arrival.left);
    // 10 GiB at the assumed pace.
    assert_eq!(left(&table, 1400), Some(Duration::from_millis(600)));
    assert_eq!(left(&table, 2700), Some(Duration::from_millis(700)));
    assert_eq!(left(&table, 3500), None, "its reports are old");
    table.observe(report("a1", 2, READY), Duration::ZERO, at(5000));
    assert_eq!(left(&table, 5000), None, "it is ready");
    // The load took 4 s, and the next one is expected to take as long.
    table.observe(report("a2", 1, &loading), Duration::ZERO, at(5000));
    assert_eq!(left(&table, 6000), Some(Duration::from_secs(3)));
    table.observe(report("a2", 2, &[]), Duration::ZERO, at(6000));
    assert_eq!(left(&table, 6000), None, "it was given up");
    table.observe(report("a2", 3, &loading), Duration::ZERO, at(6000));
    table.set_drains(BTreeSet::from(["a2".parse().unwrap()]), Some(at(6000)));
    assert_eq!(left(&table, 6000), None, "it is drained");
}
