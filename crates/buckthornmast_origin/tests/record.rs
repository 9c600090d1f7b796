//! Records of streams, and where they may go on.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use buckthornmast_origin::{
    history::{MAX_PAUSE, MAX_SERVICES},
    inquiry::MARGIN,
    origin::only_version,
    prelude::*,
    record::MAX_GENERATION_RECORDS,
};
use buckthornmast_types::time::Point;

fn key(request: &str) -> Key {
    Key::new(request)
}

fn at(seconds: u64) -> Point {
    Point::from_millis(seconds * 1000)
}

/// Guards against a version that is taken from one of two streams with the same id.
#[test]
fn record_two_versions() {
    let mut memory = Memory::default();
    let [one, other] = ["v1", "v2"].map(|version| Record {
        key: key("r"),
        mark: Mark::new(version),
    });
    memory.record(one, at(1));
    memory.record(one, at(2));
    assert_eq!(memory.get(key("r")), Some(Entry::Begun(Mark::new("v1"))));
    for record in [other, one] {
        memory.record(record, at(3));
        assert_eq!(memory.get(key("r")), Some(Entry::Void));
    }
    assert!(memory.recent(Duration::from_secs(60), at(4)).is_empty());
}

/// Guards against memory that grows with the number of streams, and against old streams that are told again.
#[test]
fn record_many_streams() {
    let mut memory = Memory::default();
    let mark = Mark::new("v1");
    for number in 0..3 * MAX_GENERATION_RECORDS {
        let key = key(&number.to_string());
        memory.record(Record { key, mark }, at(1));
    }
    assert!(memory.len() <= 2 * MAX_GENERATION_RECORDS);
    let last = 3 * MAX_GENERATION_RECORDS - 1;
    assert_eq!(memory.get(key(&last.to_string())), Some(Entry::Begun(mark)));
    assert!(memory.recent(Duration::from_secs(60), at(62)).is_empty());
}

/// Guards against targets that state no version and are taken for equal.
#[test]
fn begin_unstated() {
    let mut origin = Origin::default();
    assert!(origin.permits(None));
    origin.begin(None);
    assert!(!origin.permits(None) && !origin.permits(Some(Mark::new("v1"))));
    assert_eq!(only_version([None, None]), None);
    assert_eq!(only_version([]), None);
}

/// Guards against a stream whose version changes when it goes on.
#[test]
fn begin_once() {
    let mut origin = Origin::default();
    origin.begin(Some(Mark::new("v1")));
    origin.begin(Some(Mark::new("v2")));
    assert!(origin.permits(Some(Mark::new("v1"))) && !origin.permits(Some(Mark::new("v2"))));
}

fn service(name: &str) -> Service {
    Service::new(&name.parse().unwrap())
}

/// Records that a service has targets of these versions, each second from one time to another.
fn see(history: &mut History, versions: &[&str], seconds: std::ops::Range<u64>) {
    for second in seconds {
        history.keep(at(second));
        for version in versions {
            history.see(service("s"), Some(Mark::new(version)), at(second));
        }
    }
}

fn sole(version: &str, seconds: u64) -> Sole {
    Sole {
        mark: Mark::new(version),
        age: Duration::from_secs(seconds),
    }
}

/// Guards against time that is counted although another version was there, or the instance did not run.
#[test]
fn history_age() {
    let mut history = History::default();
    assert_eq!(history.sole(service("s"), at(0)), None);
    see(&mut history, &["v1"], 1..10);
    assert_eq!(history.sole(service("s"), at(9)), Some(sole("v1", 8)));
    assert_eq!(history.sole(service("other"), at(9)), None);
    see(&mut history, &["v1", "v2"], 10..20);
    let after = history.sole(service("s"), at(20)).unwrap();
    assert!(after.age <= Duration::from_secs(1));
    see(&mut history, &["v1"], 20..30);
    assert_eq!(history.sole(service("s"), at(29)), Some(sole("v1", 9)));
    // A target that states no version may be of any.
    history.see(service("s"), None, at(29));
    assert_eq!(history.sole(service("s"), at(29)), None);
    see(&mut history, &["v1"], 30..40);
    let paused = at(39) + MAX_PAUSE + Duration::from_millis(1);
    assert_eq!(history.sole(service("s"), paused), None);
    history.keep(paused);
    assert_eq!(history.sole(service("s"), paused), None);
    history.see(service("s"), Some(Mark::new("v1")), paused);
    assert_eq!(history.sole(service("s"), paused), Some(sole("v1", 0)));
}

/// Guards against memory that grows with the names of services, and against time that is kept for a forgotten one.
#[test]
fn history_many_services() {
    let mut history = History::default();
    history.keep(at(1));
    for number in 0..=MAX_SERVICES {
        let name = format!("s{number}");
        history.see(service(&name), Some(Mark::new("v1")), at(1));
    }
    assert_eq!(history.sole(service("s0"), at(1)), None);
    let last = format!("s{MAX_SERVICES}");
    assert_eq!(history.sole(service(&last), at(1)), Some(sole("v1", 0)));
}

/// Guards against time that was attested for a version, and is counted although another was seen since.
#[test]
fn history_credit() {
    let attested = [(service("s"), sole("v1", 50))];
    let mut history = History::default();
    see(&mut history, &["v1"], 1..3);
    history.credit(attested, at(3));
    assert_eq!(history.sole(service("s"), at(5)), Some(sole("v1", 54)));
    history.renew(service("s"), at(5));
    assert_eq!(history.sole(service("s"), at(5)), Some(sole("v1", 0)));
    let mut history = History::default();
    see(&mut history, &["v1", "v2"], 1..3);
    see(&mut history, &["v1"], 3..4);
    history.credit(attested, at(4));
    assert_eq!(history.sole(service("s"), at(4)), Some(sole("v1", 1)));
}

fn inquire(answers: &[Answer]) -> Option<Finding> {
    let mut inquiry = Inquiry::new(answers.len(), true);
    let mut found = None;
    for answer in answers {
        found = found.or(inquiry.answer(*answer));
    }
    found
}

/// Guards against a conclusion from some of the instances of the core: one has just started, is of an older build, or has
/// seen another version.
#[test]
fn inquire_evidence() {
    let states = |sole: Option<Sole>| Answer { entry: None, sole };
    let old = states(Some(sole("v1", 100)));
    let all = inquire(&[old, states(Some(sole("v1", 40))), old]);
    assert_eq!(all, Some(Finding::Only(sole("v1", 40))));
    for other in [None, Some(sole("v2", 100))] {
        for answers in [[states(other), old, old], [old, old, states(other)]] {
            assert_eq!(inquire(&answers), Some(Finding::Nowhere));
        }
    }
    let mut inquiry = Inquiry::new(1, false);
    assert_eq!(inquiry.answer(old), Some(Finding::Unknown));
}

/// Guards against two versions under one id that are taken for no record.
#[test]
fn inquire_void() {
    let old = Answer {
        entry: None,
        sole: Some(sole("v1", 100)),
    };
    let void = Answer {
        entry: Some(Entry::Void),
        sole: None,
    };
    assert_eq!(inquire(&[old, void, old]), Some(Finding::Unknown));
}

/// Guards against evidence that doesn't cover the whole life of a stream, or another version than this instance knows.
#[test]
fn finding_version() {
    let life = Duration::from_secs(20);
    let certain = (life + MARGIN).as_secs() + 1;
    let known = Some(Mark::new("v1"));
    let only = |version, seconds| Finding::Only(sole(version, seconds));
    assert_eq!(only("v1", certain).version(life, known), known);
    assert_eq!(only("v1", certain - 1).version(life, known), None);
    assert_eq!(only("v2", certain).version(life, known), None);
    assert_eq!(only("v1", certain).version(life, None), None);
    assert_eq!(only("v1", certain).version(Duration::MAX, known), None);
    assert_eq!(Finding::Nowhere.version(life, known), None);
    assert_eq!(Finding::Unknown.version(life, known), None);
}
