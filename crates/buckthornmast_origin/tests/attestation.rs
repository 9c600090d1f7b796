//! What an instance of the core attests, and the versions that it may use.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use buckthornmast_origin::prelude::*;
use buckthornmast_types::time::Point;

const AGE: Duration = Duration::from_secs(20);

fn at(seconds: u64) -> Point {
    Point::from_millis(seconds * 1000)
}

fn service() -> Service {
    Service::new(&"s".parse().unwrap())
}

fn variant(version: &str) -> Variant {
    Variant {
        service: service(),
        mark: Some(Mark::new(version)),
    }
}

/// Returns a history with one version until a time.
fn history(version: &str, seconds: u64) -> History {
    let mut history = History::default();
    for second in 1..=seconds {
        history.keep(at(second));
        history.see(service(), Some(Mark::new(version)), at(second));
    }
    history
}

/// Guards against targets that are used although their instance attests another version, or none if they state none.
#[test]
fn clear_withdrawn() {
    let unstated = Variant {
        service: service(),
        mark: None,
    };
    for other in [variant("v2"), unstated] {
        let mut register = Register::default();
        assert!(register.attest(&history("v1", 30), AGE, at(30)));
        assert!(!register.clear(other) && !register.is_cleared(other));
        register.withdraw(variant("v1"));
        assert_eq!(register.attested().count(), 1);
        assert!(register.clear(variant("v1")));
        register.withdraw(other);
        assert_eq!(register.attested().count(), 0);
        assert!(register.clear(other) && register.is_cleared(other));
        assert!(!register.clear(other));
        assert!(register.is_cleared(variant("v1")));
    }
}

/// Guards against a permission that outlives the attestation of another version.
#[test]
fn attest_takes_back() {
    let mut register = Register::default();
    assert!(register.clear(variant("v1")) && register.clear(variant("v2")));
    assert!(!register.attest(&history("v1", 20), AGE, at(20)));
    assert!(register.is_cleared(variant("v2")));
    assert!(register.attest(&history("v1", 30), AGE, at(30)));
    assert!(register.is_cleared(variant("v1")) && !register.is_cleared(variant("v2")));
}

/// Guards against a file that is written each second because the time in it grows.
#[test]
fn attest_seldom_stored() {
    let mut register = Register::default();
    let writes =
        (30..300).filter(|second| register.attest(&history("v1", *second), AGE, at(*second)));
    assert_eq!(writes.count(), 4);
}
