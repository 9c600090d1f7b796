//! Tests of the time at which settings were last known to be the newest.

#![expect(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

use std::time::Duration;

use buckthornmast_daemon::freshness::newest;
use buckthornmast_membership::{
    message::Progress,
    view::{Peer, State, View},
};
use buckthornmast_types::{id, time::Point};

/// Voter with its state, its revision and the age of its last heartbeat in milliseconds.
type Voter = (&'static str, State, u64, u64);

fn view(reported: &[Voter]) -> View {
    let peer = |(name, state, revision, age): &Voter| Peer {
        instance: name.parse().unwrap(),
        domain: "north".parse().unwrap(),
        state: *state,
        last_alive_age: Duration::from_millis(*age),
        incarnation: id::Incarnation(1),
        progress: Progress {
            revision: id::Revision(*revision),
            ..Progress::default()
        },
    };
    View {
        at: Point::from_millis(9_900),
        peers: reported.iter().map(peer).collect(),
    }
}

/// Guards against settings that count as the newest although no majority of voters has reported them, as on an
/// instance that has just started or is partitioned: a drain that it learns of late would then appear new.
#[test]
fn newest_needs_majority() {
    use State::{Alive, Suspect};
    let cases: &[(&[Voter], u64, Option<u64>)] = &[
        (
            &[
                ("a", Alive, 5, 0),
                ("b", Alive, 5, 300),
                ("c", Alive, 5, 200),
            ],
            5,
            Some(9_700),
        ),
        (
            &[
                ("a", Alive, 5, 0),
                ("b", Alive, 6, 100),
                ("c", Alive, 5, 200),
            ],
            5,
            Some(9_700),
        ),
        (
            &[
                ("a", Alive, 5, 0),
                ("b", Alive, 6, 100),
                ("c", Alive, 6, 200),
            ],
            5,
            None,
        ),
        (
            &[
                ("a", Alive, 5, 0),
                ("b", Alive, 4, 100),
                ("c", Alive, 4, 200),
            ],
            5,
            None,
        ),
        (
            &[
                ("a", Alive, 5, 0),
                ("b", Suspect, 5, 1500),
                ("c", Suspect, 5, 1500),
            ],
            5,
            None,
        ),
        // Alive, but with a revision that is not known yet.
        (
            &[
                ("a", Alive, 5, 0),
                ("b", Alive, 0, 100),
                ("c", Alive, 0, 100),
            ],
            5,
            None,
        ),
        (
            &[
                ("a", Alive, 0, 0),
                ("b", Alive, 0, 100),
                ("c", Alive, 0, 100),
            ],
            0,
            None,
        ),
        (&[("a", Alive, 5, 0)], 5, None),
    ];
    let voters = ["a", "b", "c"].map(|name| name.parse().unwrap());
    for (reported, revision, expected) in cases {
        let at = newest(
            &view(reported),
            &voters,
            id::Revision(*revision),
            Point::from_millis(10_000),
        );
        assert_eq!(at, expected.map(Point::from_millis), "{reported:?}");
    }
}
