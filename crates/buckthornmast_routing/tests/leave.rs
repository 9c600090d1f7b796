//! Last copies on leaving or drained targets, and copies that are being loaded.

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

/// Returns a report of incarnation 1 with the copies.
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
        is_leaving: false,
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

/// Information that an instance receives about the only target with the model.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// Report: incarnation, sequence, whether the target is leaving, and age.
    Report(u64, u64, bool, u64),
    /// Settings that drain the target, and the last time at which the previous settings were known to be the newest.
    Drain(Option<u64>),
    /// Settings that don't drain the target.
    Undrain,
}

use Event::{Drain, Report as Reported, Undrain};

/// Events with their times.
type Events = &'static [(u64, Event)];

fn apply_events(events: &[(u64, Event)]) -> Table {
    let mut table = Table::new(table::Config::default(), "a".parse().unwrap());
    let name: id::Target = "a1".parse().unwrap();
    for (now, event) in events {
        match *event {
            Reported(incarnation, sequence, is_leaving, age) => {
                let mut report = report("a1", sequence, READY);
                report.incarnation = id::Incarnation(incarnation);
                report.is_leaving = is_leaving;
                table.observe(report, Duration::from_millis(age), at(*now));
            }
            Drain(before) => table.set_drains(BTreeSet::from([name.clone()]), before.map(at)),
            Undrain => table.set_drains(BTreeSet::new(), None),
        }
    }
    table
}

/// Returns whether the target is a candidate for any work, and whether it is one for its last copy.
fn candidacy(table: &Table, now: u64) -> (bool, bool) {
    let m = artifact("m@1");
    let any = !table
        .candidates(Need::Artifact(&m), &[], at(now))
        .is_empty();
    (any, !table.last_copies(&m, &[], at(now)).is_empty())
}

/// Guards against a grace period that exceeds its bound or restarts, because the notice arrives twice, late, or
/// at an instance that has just started or was partitioned, or because settings are read again.
#[test]
fn last_copies_fault_cases() {
    // Case, events, and the time in ms from which no work for the last copy may be sent; 0 if none may be sent at all.
    // The grace period lasts 2.5 s from the time at which the target was last known to stay, and a report counts for
    // 2.5 s.
    let cases: &[(&str, Events, u64)] = &[
        (
            "leaves",
            &[
                (1000, Reported(1, 1, false, 0)),
                (1500, Reported(1, 2, true, 0)),
            ],
            3500,
        ),
        (
            "leave notice arrives more than once",
            &[
                (1000, Reported(1, 1, false, 0)),
                (1500, Reported(1, 2, true, 0)),
                (2500, Reported(1, 3, true, 0)),
                (3400, Reported(1, 4, true, 0)),
            ],
            3500,
        ),
        (
            "leave notice lost, next one late",
            &[
                (1000, Reported(1, 1, false, 0)),
                (3200, Reported(1, 3, true, 900)),
            ],
            3500,
        ),
        (
            "last report before the leave notice relayed late",
            &[
                (1700, Reported(1, 1, false, 700)),
                (1800, Reported(1, 2, true, 0)),
            ],
            3500,
        ),
        (
            "duplicate of an earlier report arrives late",
            &[
                (1000, Reported(1, 2, false, 0)),
                (1500, Reported(1, 3, true, 0)),
                (3000, Reported(1, 1, false, 0)),
            ],
            3500,
        ),
        (
            "instance restarted before the leave notice",
            &[(1500, Reported(1, 2, true, 0))],
            0,
        ),
        (
            "target restarted and leaves again",
            &[
                (1000, Reported(1, 9, false, 0)),
                (1500, Reported(2, 1, true, 0)),
            ],
            0,
        ),
        (
            "drained",
            &[(1000, Reported(1, 1, false, 0)), (1500, Drain(Some(1400)))],
            3500,
        ),
        (
            "drain read twice",
            &[
                (1000, Reported(1, 1, false, 0)),
                (1500, Drain(Some(1400))),
                (3000, Drain(Some(2900))),
                (3000, Reported(1, 2, false, 0)),
                (3800, Reported(1, 3, false, 0)),
            ],
            3900,
        ),
        (
            "drained before this instance started",
            &[
                (1500, Drain(None)),
                (1600, Reported(1, 1, false, 0)),
                (1700, Drain(Some(1650))),
            ],
            0,
        ),
        (
            "instance restarted with settings that drain it",
            &[
                (1000, Reported(1, 1, false, 0)),
                (1500, Drain(None)),
                (1700, Drain(Some(1600))),
            ],
            0,
        ),
        (
            "drain arrives late at a partitioned instance",
            &[(9000, Reported(1, 1, false, 0)), (9500, Drain(Some(1000)))],
            0,
        ),
        (
            "drained, then leaves",
            &[
                (1000, Reported(1, 1, false, 0)),
                (1100, Drain(Some(1050))),
                (2000, Reported(1, 2, false, 0)),
                (2500, Reported(1, 3, true, 0)),
                (3500, Reported(1, 4, true, 0)),
            ],
            3550,
        ),
    ];
    for (case, events, end) in cases {
        let table = apply_events(events);
        let last = events.last().unwrap().0;
        let mut until = 0;
        for now in (last..last + 10_000).step_by(10) {
            let (any, last_copy) = candidacy(&table, now);
            assert!(!any, "{case}: ordinary work at {now}");
            if last_copy {
                until = now + 10;
            }
        }
        assert_eq!(until, *end, "{case}");
    }
}

/// Guards against a target that gets no work after its departure is cancelled, and against a grace period that
/// counts from the first departure after a second one.
#[test]
fn last_copies_withdrawn() {
    let withdrawn: &[&[(u64, Event)]] = &[
        &[
            (1000, Reported(1, 1, false, 0)),
            (1500, Reported(1, 2, true, 0)),
            (2000, Reported(1, 3, false, 0)),
        ],
        &[
            (1000, Reported(1, 1, false, 0)),
            (1500, Reported(1, 2, true, 0)),
            (2000, Reported(2, 1, false, 0)),
        ],
        &[
            (1900, Reported(1, 1, false, 0)),
            (1910, Drain(Some(1900))),
            (2000, Undrain),
        ],
    ];
    for events in withdrawn {
        let table = apply_events(events);
        assert_eq!(candidacy(&table, 2100), (true, false), "{events:?}");
    }
    let again = apply_events(&[
        (1000, Reported(1, 1, false, 0)),
        (1500, Drain(Some(1400))),
        (5000, Undrain),
        (6000, Reported(1, 2, false, 0)),
        (6100, Drain(Some(6050))),
    ]);
    assert_eq!(candidacy(&again, 6200), (false, true));
    assert_eq!(candidacy(&again, 8550), (false, false));
}

/// Guards against work in the grace period for an artifact that another target has too, even if that target was
/// tried or is ejected, and against an adapter without its base model.
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
    assert_eq!(
        any.len(),
        1,
        "only the staying target is a candidate for other work"
    );
    // A ready copy on another target ends the grace period; one that is being loaded does not.
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

/// Guards against requests that wait for a copy on a target that is drained, has only old reports or has
/// cancelled the load, and against an expected time that doesn't grow when a load is overdue.
#[test]
fn first_loading_copy_remaining() {
    let mut table = Table::new(table::Config::default(), "a".parse().unwrap());
    let m = artifact("m@1");
    let loading = [("m@1", Phase::Loading)];
    assert!(table.first_loading_copy(&m, at(0)).is_none());
    table.observe(report("a1", 1, &loading), Duration::ZERO, at(1000));
    let remaining = |table: &Table, now| {
        table
            .first_loading_copy(&m, at(now))
            .map(|copy| copy.remaining)
    };
    // 10 GiB at the assumed load time per GiB.
    assert_eq!(remaining(&table, 1400), Some(Duration::from_millis(600)));
    assert_eq!(remaining(&table, 2700), Some(Duration::from_millis(700)));
    assert_eq!(
        remaining(&table, 3500),
        None,
        "the reports of the target are old"
    );
    table.observe(report("a1", 2, READY), Duration::ZERO, at(5000));
    assert_eq!(remaining(&table, 5000), None, "the copy is ready");
    // The load took 4 s, and the next one is expected to take as long.
    table.observe(report("a2", 1, &loading), Duration::ZERO, at(5000));
    assert_eq!(remaining(&table, 6000), Some(Duration::from_secs(3)));
    table.observe(report("a2", 2, &[]), Duration::ZERO, at(6000));
    assert_eq!(remaining(&table, 6000), None, "the load was cancelled");
    table.observe(report("a2", 3, &loading), Duration::ZERO, at(6000));
    table.set_drains(BTreeSet::from(["a2".parse().unwrap()]), Some(at(6000)));
    assert_eq!(remaining(&table, 6000), None, "the target is drained");
}
