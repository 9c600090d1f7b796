//! Roster of the core.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use buckthornmast_discovery::roster::{INSTANCE_TIMEOUT, Member, Roster, Sighting};
use buckthornmast_types::time::Point;

const NOW: Point = Point::from_millis(1_000_000);

fn member(number: u8) -> Member {
    Member {
        instance: format!("core-{number}").parse().unwrap(),
        domain: "d1".parse().unwrap(),
        peers: format!("10.0.0.{number}:7380").parse().unwrap(),
        control: format!("10.0.0.{number}:8144").parse().unwrap(),
    }
}

/// Guards against a process that never learns of instances beyond its seeds.
#[test]
fn merge_learns_others() {
    let mut roster = Roster::default();
    roster.set_seeds([member(1).peers]);
    assert_eq!(roster.addresses().len(), 1);
    let reported = Sighting {
        member: member(4),
        age: Duration::from_secs(1),
    };
    assert!(roster.merge(std::slice::from_ref(&reported), NOW));
    assert!(!roster.merge(&[reported], NOW));
    assert!(roster.addresses().contains(&member(4).peers));
    roster.set_seeds([member(2).peers]);
    assert!(!roster.addresses().contains(&member(1).peers));
}

/// Guards against instances that are gone but are reported between peers for ever.
#[test]
fn prune_expired() {
    let mut roster = Roster::default();
    roster.record(&member(1), NOW);
    let later = NOW + INSTANCE_TIMEOUT;
    let reported = roster.sightings(later);
    assert!(roster.prune(later));
    assert!(
        !roster.merge(&reported, later),
        "an expired report is not a change"
    );
    assert_eq!(roster.members().count(), 0);
}

/// Guards against an older report that restores a previous address.
#[test]
fn record_newest_address() {
    let mut roster = Roster::default();
    roster.record(&member(1), NOW);
    let mut moved = member(1);
    moved.peers = member(9).peers;
    assert!(roster.record(&moved, NOW + Duration::from_secs(1)));
    roster.record(&member(1), NOW);
    assert_eq!(
        roster.get(&member(1).instance).unwrap().peers,
        member(9).peers
    );
}
