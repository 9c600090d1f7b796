//! Failure detection under network faults in virtual time, with fixed seeds.

#[path = "support/common.rs"]
mod common;

use buckthornmast_membership::prelude::*;
use buckthornmast_types::id;

use crate::common::*;

/// Time after which every instance must consider a killed one dead, in milliseconds: 2 s, and the time of one
/// heartbeat, one relay, the datagrams and a unit of the ages.
const MAX_DETECTION_MS: u64 = 2600;

fn mild_faults() -> Faults {
    Faults {
        loss: 0.05,
        duplicates: 0.05,
        jitter_millis: 50,
    }
}

/// Guards against live instances considered dead because of loss, duplicates or reordering, and against dead
/// ones kept alive by late duplicates.
#[test]
fn detect_under_network_faults() {
    let cases = [
        ("clean", Faults::default()),
        (
            "loss",
            Faults {
                loss: 0.1,
                ..Faults::default()
            },
        ),
        (
            "duplicates",
            Faults {
                duplicates: 0.5,
                ..Faults::default()
            },
        ),
        (
            "reordering",
            Faults {
                jitter_millis: 400,
                ..Faults::default()
            },
        ),
        ("all", mild_faults()),
    ];
    for (count, domains) in [(6, 4), (12, 3), (24, 2)] {
        for (name, faults) in cases {
            for seed in 1..4 {
                let case = format!("{name}, {count} in {domains}, seed {seed}");
                let mut network = Network::new(count, domains, seed);
                network.faults = faults;
                network.run(5000);
                network.watch(10_000, |network| {
                    let dead = network
                        .suspicions()
                        .into_iter()
                        .find(|suspicion| suspicion.2 == State::Dead);
                    assert_eq!(
                        dead, None,
                        "{case}: a live instance is dead at {}",
                        network.now
                    );
                });
                network.kill(1);
                network.run(MAX_DETECTION_MS + faults.jitter_millis);
                network.watch(6000, |network| {
                    for at in (0..count).filter(|at| *at != 1) {
                        assert_eq!(
                            network.state(at, 1),
                            State::Dead,
                            "{case}: at {at}, {}",
                            network.now
                        );
                    }
                });
            }
        }
    }
}

/// Guards against an instance considered suspect less than 1 s, or dead less than 2 s, after its last heartbeat.
#[test]
fn detect_not_too_early() {
    let mut network = Network::new(9, 3, 5);
    network.run(5000);
    network.kill(4);
    let killed_at = network.now;
    network.watch(4000, |network| {
        let elapsed = network.now.since(killed_at).as_millis();
        for at in (0..9).filter(|at| *at != 4) {
            // The last heartbeat was sent up to 200 ms before the kill.
            match network.state(at, 4) {
                State::Alive => {}
                State::Suspect => assert!(elapsed >= 800, "suspect after {elapsed} ms"),
                State::Dead => assert!(elapsed >= 1800, "dead after {elapsed} ms"),
            }
        }
    });
    assert_eq!(network.state(0, 4), State::Dead);
}

/// Guards against a partition that affects instances on the same side, or that is still reported after it has healed.
#[test]
fn partition_between_domains() {
    // Instances 0, 3, 6 and 9 form one domain of three.
    let inside = |index: usize| index.is_multiple_of(3);
    type Passes = fn(usize, usize) -> bool;
    let one_way: Passes = |from, to| !(from % 3 == 0 && to % 3 != 0);
    let both_ways: Passes = |from, to| (from % 3 == 0) == (to % 3 == 0);
    for (name, passes, receives_outside) in
        [("one way", one_way, true), ("both ways", both_ways, false)]
    {
        let mut network = Network::new(12, 3, 9);
        network.faults = mild_faults();
        network.run(5000);
        network.passes = Box::new(passes);
        network.run(MAX_DETECTION_MS + 100);
        network.watch(20_000, |network| {
            for (at, of, state) in network.suspicions() {
                assert_ne!(
                    inside(at),
                    inside(of),
                    "{name}: {at} doesn't consider {of} on its own side alive"
                );
                if receives_outside && inside(at) {
                    assert_ne!(
                        state,
                        State::Dead,
                        "{name}: {at} still receives heartbeats of {of}"
                    );
                }
            }
            assert_eq!(network.state(1, 0), State::Dead, "{name}");
        });
        network.passes = Box::new(|_, _| true);
        network.run(2000);
        let dead = network
            .suspicions()
            .into_iter()
            .find(|suspicion| suspicion.2 == State::Dead);
        assert_eq!(dead, None, "{name}: after the partition has healed");
    }
}

/// Guards against members considered dead when the datagrams of the designated sender no longer reach the other
/// domain while its own domain considers it alive.
#[test]
fn partition_of_each_single_sender() {
    for sender in [0, 2, 4, 6, 8] {
        let mut network = Network::new(10, 2, 21);
        network.run(5000);
        network.passes = Box::new(move |from, to| from != sender || to % 2 == 0);
        network.run(3000);
        network.watch(5000, |network| {
            let dead = network
                .suspicions()
                .into_iter()
                .find(|suspicion| suspicion.2 == State::Dead);
            assert_eq!(dead, None, "without the datagrams of {sender}");
        });
    }
}

/// Guards against a resumed instance that considers the others dead, and against old datagrams in its socket
/// buffer that make a dead instance appear alive.
#[test]
fn freeze_and_thaw() {
    for (count, domains) in [(6, 1), (9, 3)] {
        let mut network = Network::new(count, domains, 3);
        network.run(5000);
        network.freeze(2);
        network.run(1000);
        network.kill(1);
        network.run(10_000);
        assert_eq!(network.state(0, 2), State::Dead);
        network.thaw(2);
        network.watch(3000, |network| {
            let dead = network
                .suspicions()
                .into_iter()
                .find(|suspicion| suspicion.0 == 2 && suspicion.2 == State::Dead);
            assert_eq!(dead, None, "{count} members");
            assert_ne!(
                network.state(2, 1),
                State::Alive,
                "{count} members: 1 was killed during the pause"
            );
        });
        assert_eq!(network.suspicions(), [], "{count} members");
        assert_eq!(network.state(2, 1), State::Dead, "{count} members");
    }
}

/// Guards against a restarted instance whose heartbeats are ignored, including one whose clock was set back so
/// that its incarnation is lower than before.
#[test]
fn restart_with_incarnation() {
    for incarnation in [2000, 1001, 999, 1] {
        for (count, domains) in [(4, 4), (6, 2)] {
            let mut network = Network::new(count, domains, 8);
            network.faults = mild_faults();
            network.run(30_000);
            network.kill(1);
            network.run(500);
            network.restart(1, incarnation);
            network.progress[1].revision = id::Revision(7);
            network.run(9000);
            let case = format!("incarnation {incarnation}, {count} in {domains}");
            assert_eq!(network.suspicions(), [], "{case}");
            for at in 0..count {
                let peer = network.peer(at, 1);
                assert!(peer.incarnation.0 > 1000, "{case}: {peer:?}");
                assert_eq!(peer.progress.revision.0, 7, "{case}: at {at}");
            }
        }
    }
}

/// Guards against progress that does not reach other domains or is overwritten by older progress.
#[test]
fn progress_reaches_all() {
    let mut network = Network::new(40, 4, 13);
    network.faults = mild_faults();
    network.run(5000);
    for revision in 1..=5 {
        for progress in &mut network.progress {
            progress.revision = id::Revision(revision);
            progress.is_ready = revision % 2 == 0;
        }
        network.run(6000);
        for at in 0..40 {
            for of in 0..40 {
                let progress = network.peer(at, of).progress;
                assert_eq!(progress.revision.0, revision, "{at} about {of}");
                assert_eq!(progress.is_ready, revision % 2 == 0, "{at} about {of}");
            }
        }
    }
}
