//! Candidates, ejection and choice.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

use std::{collections::BTreeSet, time::Duration};

use buckthornmast_routing::{choice::Prefix, prelude::*, table::Outcome};
use buckthornmast_types::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};

const FAST: Outcome = Outcome::Answered(Duration::from_millis(100));

fn at(millis: u64) -> Point {
    Point::from_millis(millis)
}

fn artifact() -> Artifact {
    "m@1".parse().unwrap()
}

fn report(name: &str, sequence: u64, running: u32) -> Report {
    let domain = if name.starts_with('b') { "b" } else { "a" };
    Report {
        target: name.parse().unwrap(),
        domain: domain.parse().unwrap(),
        kind: "engine".parse().unwrap(),
        service: "s".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: id::Incarnation(1),
        sequence,
        is_leaving: false,
        accelerators: 1,
        memory: Bytes::gib(80),
        copies: vec![report::Copy {
            artifact: artifact(),
            phase: report::Phase::Ready,
            bytes: Bytes::gib(10),
        }],
        token: id::Token(0),
        load: report::Load {
            running,
            waiting: 0,
            slots: 10,
        },
    }
}

fn table(names: &[&str]) -> Table {
    let mut table = Table::new(table::Config::default(), "a".parse().unwrap());
    for name in names {
        assert!(table.observe(report(name, 1, 0), Duration::ZERO, at(0)));
    }
    table
}

fn names(table: &Table, tried: &[Slot], now: Point) -> Vec<String> {
    let artifact = artifact();
    let found = table.candidates(Need::Artifact(&artifact), tried, now);
    let name = |candidate: &Candidate| table.report(candidate.slot).unwrap().target.to_string();
    found.iter().map(name).collect()
}

fn call(table: &mut Table, slot: Slot, outcome: Outcome, now: Point) {
    let artifact = artifact();
    table.started(slot, Need::Artifact(&artifact), now);
    table.finished(slot, Need::Artifact(&artifact), outcome, now);
}

/// Guards against new work for a target that has only old reports, is leaving or is drained, also when an
/// older report arrives late.
#[test]
fn candidates_stale_leaving_drained() {
    let mut table = table(&["a1", "a2", "a3"]);
    let late = Duration::from_millis(600);
    assert!(table.observe(report("a1", 2, 0), late, at(1000)));
    let mut leaving = report("a2", 3, 0);
    leaving.is_leaving = true;
    assert!(table.observe(leaving, Duration::ZERO, at(1000)));
    assert!(!table.observe(report("a2", 2, 0), Duration::ZERO, at(1001)));
    // A report counts for 2.5 s from the time at which it was sampled.
    assert_eq!(names(&table, &[], at(2499)), ["a1", "a3"]);
    assert_eq!(names(&table, &[], at(2500)), ["a1"]);
    assert!(names(&table, &[], at(2900)).is_empty());
    table.set_drains(BTreeSet::from(["a3".parse().unwrap()]), None);
    assert_eq!(names(&table, &[], at(1001)), ["a1"]);
    let mut unloading = report("a1", 4, 0);
    unloading.copies.clear();
    assert!(table.observe(unloading, Duration::ZERO, at(1100)));
    assert!(names(&table, &[], at(1100)).is_empty());
    table.prune(Duration::from_secs(60), at(70_000));
    assert!(!table.observe(report("a2", 3, 0), Duration::ZERO, at(70_000)));
    assert!(table.observe(report("a2", 4, 0), Duration::ZERO, at(70_000)));
    assert_eq!(names(&table, &[], at(70_000)), ["a2"]);
    let service = "s".parse().unwrap();
    let found = table.candidates(Need::Service(&service), &[], at(70_000));
    assert_eq!(found.len(), 1);
}

/// Guards against sending work to another failure domain without need, and against keeping it in the home
/// domain when its targets are loaded, were tried or have no copy.
#[test]
fn candidates_own_domain_and_spill() {
    let mut table = table(&["a1", "a2", "b1"]);
    assert_eq!(names(&table, &[], at(0)), ["a1", "a2"]);
    let slots = ["a1", "a2"].map(|name| table.slot(&name.parse().unwrap()).unwrap());
    assert_eq!(names(&table, &slots, at(0)), ["b1"]);
    for name in ["a1", "a2"] {
        table.observe(report(name, 2, 9), Duration::ZERO, at(1));
    }
    assert_eq!(names(&table, &[], at(1)), ["a1", "a2", "b1"]);
}

/// Guards against a load estimate in which a lagging report hides this instance's own requests or counts them
/// twice.
#[test]
fn candidates_own_in_flight() {
    let mut table = table(&["a1"]);
    let slot = table.slot(&"a1".parse().unwrap()).unwrap();
    let artifact = artifact();
    let need = Need::Artifact(&artifact);
    // In requests, including the one to be sent: the load per slot times the 10 slots of the target.
    let load = |table: &Table| (table.candidates(need, &[], at(1))[0].load * 10.0).round();
    (0..4).for_each(|_| table.started(slot, need, at(0)));
    assert!((load(&table) - 5.0).abs() < 0.01);
    table.observe(report("a1", 2, 6), Duration::ZERO, at(1));
    assert!((load(&table) - 7.0).abs() < 0.01);
    table.finished(slot, need, FAST, at(1));
    assert!((load(&table) - 6.0).abs() < 0.01);
}

/// Guards against a failing target that keeps its share of the load or gets it back at once, and against
/// ejecting so many targets that the rest is overloaded.
#[test]
fn eject_errors_cap_return() {
    let all = ["a1", "a2", "a3", "a4"];
    let mut table = table(&all);
    let slots = all.map(|name| table.slot(&name.parse().unwrap()).unwrap());
    for slot in slots {
        call(&mut table, slot, Outcome::Unreachable, at(0));
    }
    let ejected = slots.map(|slot| table.is_ejected(slot, at(0)));
    assert_eq!(ejected, [true, true, false, false]);
    // Each of the four breakers has counted one failure, which is below the threshold.
    assert_eq!(names(&table, &[], at(0)), ["a3", "a4"]);
    assert_eq!(
        names(&table, &slots[2..], at(0)),
        ["a1", "a2"],
        "ejected targets are the last resort"
    );
    let artifact = artifact();
    let load = |slot, now| {
        let found = table.candidates(Need::Artifact(&artifact), &[], now);
        found
            .iter()
            .find(|candidate| candidate.slot == slot)
            .unwrap()
            .load
    };
    let back = at(1000);
    assert!(
        load(slots[0], back) > 5.0 * load(slots[2], back),
        "a target gets its full share right after an ejection"
    );
    assert!(
        load(slots[0], at(2400)) < load(slots[0], back),
        "the share doesn't grow after an ejection"
    );
}

/// Guards against a target that answers, but far slower than the other targets of its service.
#[test]
fn eject_slow_target() {
    let all = ["a1", "a2", "a3"];
    let mut table = table(&all);
    let slots = all.map(|name| table.slot(&name.parse().unwrap()).unwrap());
    for _ in 0..20 {
        call(&mut table, slots[0], FAST, at(0));
        call(&mut table, slots[1], FAST, at(0));
        let slow = Outcome::Answered(Duration::from_secs(1));
        call(&mut table, slots[2], slow, at(0));
    }
    table.eject_slow(at(0));
    let ejected = slots.map(|slot| table.is_ejected(slot, at(0)));
    assert_eq!(ejected, [false, false, true]);
}

/// Guards against sending work to an artifact that fails on a target whose other artifacts succeed. The errors
/// are never consecutive there, so the target is not ejected.
#[test]
fn breaker_one_artifact() {
    let mut table = table(&["a1", "a2"]);
    let slot = table.slot(&"a1".parse().unwrap()).unwrap();
    let service = "s".parse().unwrap();
    for _ in 0..5 {
        call(&mut table, slot, Outcome::Failed, at(0));
        table.started(slot, Need::Service(&service), at(0));
        table.finished(slot, Need::Service(&service), FAST, at(0));
    }
    assert!(!table.is_ejected(slot, at(0)));
    assert_eq!(names(&table, &[], at(0)), ["a2"]);
    assert_eq!(
        table.candidates(Need::Service(&service), &[], at(0)).len(),
        2
    );
    let artifact = artifact();
    assert_eq!(names(&table, &[], at(1000)), ["a1", "a2"]);
    table.started(slot, Need::Artifact(&artifact), at(1000));
    assert_eq!(
        names(&table, &[], at(1000)),
        ["a2"],
        "more than one probe at a time"
    );
    table.finished(slot, Need::Artifact(&artifact), FAST, at(1001));
    assert_eq!(names(&table, &[], at(1001)), ["a1", "a2"]);
}

/// Guards against affinity to a loaded target or by a record that is too old, and against rules that favour a
/// loaded target.
#[test]
fn choose_affinity_and_load() {
    let mut table = table(&["a1", "a2", "a3", "a4"]);
    let mut rng = SmallRng::seed_from_u64(0x5eed_0000_0004);
    let mut affinity = choice::Affinity::default();
    let rule = PowerOfTwo::default();
    let artifact = artifact();
    let prefix = Some(Prefix(7));
    let found = table.candidates(Need::Artifact(&artifact), &[], at(0));
    let first = rule
        .choose(&found, prefix, &mut affinity, at(0), &mut rng)
        .unwrap();
    for _ in 0..50 {
        let again = rule.choose(&found, prefix, &mut affinity, at(0), &mut rng);
        assert_eq!(again, Some(first));
    }
    let later = at(30_000);
    let moved = (0..50).any(|_| {
        let mut affinity = affinity.clone();
        rule.choose(&found, prefix, &mut affinity, later, &mut rng) != Some(first)
    });
    assert!(moved, "an expired record still determines the choice");
    let name = table.report(first).unwrap().target.to_string();
    table.observe(report(&name, 2, 9), Duration::ZERO, at(1));
    let found = table.candidates(Need::Artifact(&artifact), &[], at(1));
    for _ in 0..50 {
        let pick = rule.choose(&found, prefix, &mut affinity.clone(), at(1), &mut rng);
        assert_ne!(pick, Some(first), "affinity chose a loaded target");
        let pick = LeastLoaded.choose(&found, None, &mut (), at(1), &mut rng);
        assert_ne!(pick, Some(first));
    }
    assert_eq!(
        rule.choose(&[], prefix, &mut affinity, at(1), &mut rng),
        None
    );
}
