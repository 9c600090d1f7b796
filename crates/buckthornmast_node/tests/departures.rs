//! Number of disks on which a departure is stored before it is acknowledged.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use buckthornmast_node::departure::{Departure, Departures, required_copies};
use buckthornmast_types::id;

fn departure(incarnation: u64) -> Departure {
    Departure {
        target: "t1".parse().unwrap(),
        incarnation: id::Incarnation(incarnation),
    }
}

fn instance(number: usize) -> id::Instance {
    format!("core-{number}").parse().unwrap()
}

/// Guards against a departure that is lost with the disks that may be lost, and against one that is never acknowledged.
#[test]
fn required_copies_by_losses() {
    for (losses, instances, expected) in [
        (0, 0, 1),
        (0, 3, 1),
        (1, 1, 1),
        (1, 2, 2),
        (1, 3, 2),
        (2, 7, 3),
        (usize::MAX, 3, 3),
    ] {
        let required = required_copies(losses, instances);
        assert_eq!(required, expected, "{losses} of {instances}");
    }
}

/// Guards against one disk that counts twice, and against one that has stored another departure.
#[test]
fn record_counts_each_instance_once() {
    let mut departures = Departures::default();
    let mut stored = departures.wait(departure(1), 2);
    departures.record(&departure(1), &instance(1));
    departures.record(&departure(1), &instance(1));
    departures.record(&departure(2), &instance(2));
    assert!(stored.try_recv().is_err());
    assert!(!departures.is_stored(&departure(1)));
    departures.record(&departure(1), &instance(2));
    assert!(stored.try_recv().is_ok());
    assert!(departures.is_stored(&departure(1)));
    assert!(!departures.is_stored(&departure(2)));
}

/// Guards against a target whose second departure counts as stored with its first.
#[test]
fn forget_returned_target() {
    let mut departures = Departures::default();
    let _signal = departures.wait(departure(1), 1);
    departures.record(&departure(1), &instance(1));
    departures.forget(&departure(1).target);
    assert!(!departures.is_stored(&departure(1)));
}

/// Guards against acknowledgements of an earlier call that count for a later one.
#[test]
fn wait_counts_from_now_on() {
    let mut departures = Departures::default();
    departures.record(&departure(1), &instance(1));
    let mut stored = departures.wait(departure(1), 2);
    departures.record(&departure(1), &instance(2));
    assert!(stored.try_recv().is_err());
}
