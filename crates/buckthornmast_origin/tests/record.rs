//! Records of streams, and where they may go on.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use buckthornmast_origin::{origin::only_version, prelude::*, record::MAX_GENERATION_RECORDS};
use buckthornmast_types::time::Point;

fn key(request: &str) -> Key {
    Key::new(&"s".parse().unwrap(), request)
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
    assert_eq!(memory.get(key("r")), Some(Mark::new("v1")));
    for record in [other, one] {
        memory.record(record, at(3));
        assert_eq!(memory.get(key("r")), None);
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
    assert_eq!(memory.get(key(&last.to_string())), Some(mark));
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
