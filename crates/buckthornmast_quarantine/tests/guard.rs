//! Decisions of one instance about requests that crash targets.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use buckthornmast_quarantine::{memory, prelude::*};
use buckthornmast_types::{id, time::Point};

fn part(id: u64) -> Part {
    Part::new(&"engines".parse().unwrap(), id)
}

fn parts(ids: &[u64]) -> Set {
    ids.iter().map(|id| part(*id)).collect()
}

fn crash(number: u64) -> Crash {
    Crash {
        target: format!("t{number}").parse().unwrap(),
        incarnation: id::Incarnation(1),
    }
}

fn at(seconds: u64) -> Point {
    Point::from_millis(seconds * 1000)
}

/// Records that a target ended as it began to answer a request. Returns whether the request was a suspect.
fn end_target(guard: &mut Guard, number: u64, ids: &[u64], now: Point) -> bool {
    let evidence = guard.suspect(crash(number), &parts(ids), now);
    let is_suspect = evidence.is_some();
    evidence.map(|evidence| guard.record_crash(evidence, now));
    is_suspect
}

fn is_refused(guard: &mut Guard, ids: &[u64], now: Point) -> bool {
    matches!(guard.check(&parts(ids), now), Verdict::Refuse { .. })
}

/// Guards against a part that crashes one target after the other.
#[test]
fn check_deadly_part() {
    let mut guard = Guard::default();
    guard.record_progress(&parts(&[1, 2]), at(0));
    assert!(end_target(&mut guard, 1, &[1, 2, 7], at(3)));
    assert!(!is_refused(&mut guard, &[1, 2, 7], at(3)));
    assert!(end_target(&mut guard, 2, &[1, 2, 7], at(4)));
    assert!(is_refused(&mut guard, &[1, 3, 7], at(4)));
    assert!(!is_refused(&mut guard, &[1, 2], at(4)));
}

/// Guards against refusing sound requests with a part that came along in each crash and that no target had answered.
#[test]
fn check_companion_part() {
    let mut guard = Guard::default();
    guard.record_progress(&parts(&[1]), at(0));
    for number in 1..=2 {
        end_target(&mut guard, number, &[1, 2, 7], at(3));
    }
    assert!(is_refused(&mut guard, &[1, 2, 7], at(4)));
    assert!(!is_refused(&mut guard, &[1, 2], at(4)));
    assert!(!is_refused(&mut guard, &[1, 7], at(4)));
    // The sound request is answered, so only the other part can be to blame.
    assert!(guard.record_progress(&parts(&[1, 2]), at(5)));
    assert!(is_refused(&mut guard, &[1, 7], at(5)));
}

/// Guards against blaming what two deadly parts come with.
#[test]
fn check_two_deadly_parts() {
    let mut guard = Guard::default();
    guard.record_progress(&parts(&[1]), at(0));
    for (number, deadly) in [7, 8, 7, 8].into_iter().enumerate() {
        end_target(&mut guard, number as u64, &[1, 2, deadly], at(3));
    }
    assert!(is_refused(&mut guard, &[1, 2, 7], at(4)));
    assert!(is_refused(&mut guard, &[1, 2, 8], at(4)));
    assert!(!is_refused(&mut guard, &[1, 2, 9], at(4)));
}

/// Guards against one crash, seen by several requests, that counts as several.
#[test]
fn check_one_crash() {
    let mut guard = Guard::default();
    for _ in 0..5 {
        end_target(&mut guard, 1, &[1, 2], at(3));
    }
    assert!(!is_refused(&mut guard, &[1, 2], at(3)));
}

/// Guards against blaming requests for targets that fail by themselves, while others answer on the same parts.
#[test]
fn check_other_crashes() {
    let mut guard = Guard::default();
    for number in 0..20 {
        let now = at(number);
        guard.record_progress(&parts(&[1, 2]), now);
        assert!(!end_target(&mut guard, number, &[1, 2], now));
    }
    assert!(!is_refused(&mut guard, &[1, 2], at(20)));
}

/// Guards against a part that never counts as deadly because targets used to answer on it.
#[test]
fn check_part_turned_deadly() {
    let mut guard = Guard::default();
    guard.record_progress(&parts(&[1, 2]), at(0));
    for number in 0..4 {
        guard.record_progress(&parts(&[1]), at(9));
        assert!(!is_refused(&mut guard, &[1, 2], at(10)));
        end_target(&mut guard, number, &[1, 2], at(10));
    }
    assert!(is_refused(&mut guard, &[1, 2], at(10)));
}

/// Guards against a quarantine that never ends, and against trials at each instance.
#[test]
fn check_trial() {
    let mut guard = Guard::default();
    end_target(&mut guard, 1, &[7], at(0));
    end_target(&mut guard, 2, &[7], at(0));
    assert!(is_refused(&mut guard, &[7], at(100)));
    guard.permit_trial(parts(&[7]), at(100));
    assert_eq!(guard.check(&parts(&[7]), at(100)), Verdict::Trial);
    assert!(is_refused(&mut guard, &[7], at(100)));
    end_target(&mut guard, 3, &[7], at(100));
    assert_eq!(
        guard.check(&parts(&[7]), at(100)),
        Verdict::Refuse {
            remaining: Duration::from_secs(40)
        }
    );
    guard.permit_trial(parts(&[7]), at(200));
    assert_eq!(guard.check(&parts(&[7]), at(200)), Verdict::Trial);
    assert!(guard.record_progress(&parts(&[7]), at(201)));
    assert_eq!(guard.check(&parts(&[7]), at(201)), Verdict::Pass);
}

/// Guards against a wrong quarantine that an instance keeps or passes on although its targets answer on the part.
#[test]
fn merge_refuted() {
    let mut blaming = Guard::default();
    end_target(&mut blaming, 1, &[2, 7], at(0));
    end_target(&mut blaming, 2, &[2, 7], at(0));
    let mut guard = Guard::default();
    guard.record_progress(&parts(&[1, 2]), at(0));
    let refuted = guard.merge(&blaming.notices(at(1)), at(1));
    assert_eq!(refuted, parts(&[2]));
    assert!(is_refused(&mut guard, &[7], at(1)));
    assert!(!is_refused(&mut guard, &[1, 2], at(1)));
}

/// Guards against memory that grows with requests whose parts are all new, and loses those in use.
#[test]
fn remember_new_parts() {
    let mut memory = memory::Memory::default();
    for id in 0..10 * memory::MAX_GENERATION_PARTS as u64 {
        memory.record(part(1), at(1));
        memory.record(part(1000 + id), at(1));
    }
    assert!(memory.len() <= 2 * memory::MAX_GENERATION_PARTS);
    assert!(memory.last(part(1)).is_some());
}

/// Guards against suspects that push out the ones that have a part in common, and against quarantines without bound.
#[test]
fn suspect_new_parts() {
    let mut guard = Guard::default();
    for number in 0..1000 {
        end_target(&mut guard, number, &[100 + number, 7], at(0));
    }
    assert!(is_refused(&mut guard, &[7], at(0)));
    assert_eq!(guard.notices(at(0)).len(), 1);
}

/// Guards against trials without end where two quarantines have become the same by the progress of a companion part.
#[test]
fn record_crash_twice_quarantined() {
    let mut ledger = Ledger::default();
    for (number, ids) in [[2, 7], [2, 7], [3, 7], [4, 7]].iter().enumerate() {
        let evidence = Evidence {
            crash: crash(number as u64),
            parts: parts(ids),
            is_stale: false,
        };
        ledger.record_crash(evidence, at(0));
    }
    ledger.record_progress(&parts(&[2, 3, 4]));
    let mut trials = 0;
    for second in 10..45 {
        if ledger.begin_trial(at(second)).is_some() {
            trials += 1;
            let evidence = Evidence {
                crash: crash(100 + second),
                parts: parts(&[7]),
                is_stale: false,
            };
            ledger.record_crash(evidence, at(second));
        }
    }
    assert_eq!(trials, 1);
    assert_eq!(ledger.notices(at(45)).len(), 1);
}

/// Guards against quarantines that stay forever because trials without result and notices count as crashes.
#[test]
fn prune_unused() {
    let mut ledger = Ledger::default();
    let mut other = Ledger::default();
    for number in 0..2 {
        let evidence = Evidence {
            crash: crash(number),
            parts: parts(&[7]),
            is_stale: false,
        };
        ledger.record_crash(evidence, at(0));
    }
    for second in (10..3 * 3600).step_by(10) {
        let now = at(second);
        ledger.begin_trial(now);
        other.merge(&ledger.notices(now), now);
        ledger.merge(&other.notices(now), now);
        ledger.prune(now);
        other.prune(now);
    }
    assert!(ledger.is_empty() && other.is_empty());
}

/// Guards against a trial that never comes while instances connect again and again.
#[test]
fn begin_trial_between_notices() {
    let mut ledger = Ledger::default();
    for number in 0..2 {
        let evidence = Evidence {
            crash: crash(number),
            parts: parts(&[7]),
            is_stale: false,
        };
        ledger.record_crash(evidence, at(0));
    }
    let mut trials = 0;
    for second in 1..=30 {
        ledger.merge(&ledger.notices(at(second)), at(second));
        trials += usize::from(ledger.begin_trial(at(second)).is_some());
    }
    assert_eq!(trials, 3);
}

/// Guards against losing a quarantine for a wider one that is refuted later.
#[test]
fn merge_beside_wider() {
    let mut blaming = Guard::default();
    end_target(&mut blaming, 1, &[1, 7], at(0));
    end_target(&mut blaming, 2, &[1, 7], at(0));
    let mut guard = Guard::default();
    end_target(&mut guard, 3, &[1], at(0));
    end_target(&mut guard, 4, &[1], at(0));
    assert!(is_refused(&mut guard, &[1], at(0)));
    guard.merge(&blaming.notices(at(0)), at(0));
    guard.record_progress(&parts(&[1]), at(1));
    assert!(!is_refused(&mut guard, &[1], at(1)));
    assert!(is_refused(&mut guard, &[7], at(1)));
}

/// Guards against a part that turned deadly and is taken for proven because a target answered on it long ago elsewhere.
#[test]
fn merge_progress_long_ago() {
    let mut old = Guard::default();
    old.record_progress(&parts(&[7]), at(0));
    let mut guard = Guard::default();
    end_target(&mut guard, 1, &[7], at(100));
    end_target(&mut guard, 2, &[7], at(100));
    let refuted = old.merge(&guard.notices(at(100)), at(100));
    assert!(guard.merge_progress(&refuted));
    for number in 3..7 {
        assert!(!is_refused(&mut guard, &[7], at(100)));
        assert!(end_target(&mut guard, number, &[7], at(100)));
    }
    assert!(is_refused(&mut guard, &[7], at(100)));
    assert!(old.merge(&guard.notices(at(100)), at(100)).is_empty());
}
