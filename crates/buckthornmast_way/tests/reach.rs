//! Evidence that targets are out of reach, and how it ends.

use std::time::Duration;

use buckthornmast_types::time::Point;
use buckthornmast_way::reach::{Path, Reach};

fn at(millis: u64) -> Point {
    Point::from_millis(1_000_000 + millis)
}

const AROUND: Path = Path::Around {
    may_use_idle: true,
    may_be_reached: false,
};
const CUT_OFF: Path = Path::Around {
    may_use_idle: false,
    may_be_reached: false,
};
const SUSPECTED: Path = Path::Around {
    may_use_idle: false,
    may_be_reached: true,
};

/// Guards against one target that is gone and counts as a cut.
#[test]
fn path_one_target_gone() {
    let mut reach = Reach::default();
    for millis in 0..10 {
        reach.record_failure(&1, at(millis));
    }
    assert!(!reach.is_cut_off());
    assert_eq!(
        (reach.path(&1, at(20)), reach.path(&2, at(20))),
        (AROUND, Path::Direct)
    );
    assert!(!reach.is_reached(&1) && reach.is_reached(&2));
}

/// Guards against an instance that tries all targets in turn although it reaches none.
#[test]
fn path_cut_off() {
    let mut reach = Reach::default();
    reach.record_answer(at(0));
    reach.record_failure(&1, at(10));
    reach.record_failure(&2, at(11));
    assert!(reach.is_cut_off());
    assert_eq!(
        (reach.path(&1, at(20)), reach.path(&3, at(20))),
        (CUT_OFF, SUSPECTED)
    );
    assert!(!reach.is_reached(&3));
}

/// Guards against several targets that crash at once and count as a cut while others answer.
#[test]
fn path_others_answer() {
    let mut reach = Reach::default();
    reach.record_failure(&1, at(10));
    reach.record_failure(&2, at(11));
    reach.record_answer(at(12));
    assert!(!reach.is_cut_off());
    assert_eq!(
        (reach.path(&1, at(20)), reach.path(&3, at(20))),
        (AROUND, Path::Direct)
    );
}

/// Guards against targets that are reached around after the cut has ended.
#[test]
fn path_after_cut() {
    let mut reach = Reach::default();
    for target in 1..=20 {
        reach.record_failure(&target, at(10));
    }
    assert!(reach.record_connection(&7, at(500)));
    for target in 1..=20 {
        assert_eq!(reach.path(&target, at(501)), Path::Direct, "{target}");
    }
}

/// Guards against a target that nobody reaches and that each request tries again.
#[test]
fn path_down() {
    let mut reach = Reach::default();
    reach.record_failure(&1, at(0));
    reach.record_down(&1, at(5));
    assert_eq!(reach.path(&1, at(100)), Path::Down);
    assert_eq!(reach.path(&1, at(400)), AROUND);
}

/// Guards against probes of hundreds of targets at once, and against targets that are never probed.
#[test]
fn due_probes_bounded() {
    let mut reach = Reach::default();
    for target in 0..200 {
        reach.record_failure(&target, at(0));
    }
    let mut probed = std::collections::BTreeSet::new();
    for round in 1..=100 {
        let due = reach.due_probes(at(round * 400));
        assert!(due.len() <= 4);
        for target in due {
            reach.record_failure(&target, at(round * 400 + 200));
            probed.insert(target);
        }
    }
    assert_eq!(probed.len(), 200);
}

/// Guards against any order of events after which an instance that hears of a target still counts as cut off, or a probe of
/// a mark stays away.
#[test]
fn random_events() {
    arbtest::arbtest(|random| {
        let mut reach = Reach::default();
        let mut now = at(0);
        while !random.is_empty() {
            now = now + Duration::from_millis(random.int_in_range(1..=400)?);
            let target: u8 = random.int_in_range(0..=5)?;
            match random.int_in_range(0..=4)? {
                0 => {
                    reach.record_failure(&target, now);
                    assert!(!reach.is_reached(&target));
                }
                1 => {
                    reach.record_connection(&target, now);
                    assert_eq!(reach.path(&target, now), Path::Direct);
                    assert!(!reach.is_cut_off());
                }
                2 => {
                    reach.record_answer(now);
                    assert!(!reach.is_cut_off());
                }
                3 => reach.record_down(&target, now),
                _ => {
                    for due in reach.due_probes(now) {
                        assert_ne!(reach.path(&due, now), Path::Direct);
                    }
                }
            }
        }
        let is_marked = (0..=5).any(|target| reach.path(&target, now) != Path::Direct);
        let later = now + Duration::from_secs(2);
        assert_eq!(is_marked, !reach.due_probes(later).is_empty());
        Ok(())
    });
}
