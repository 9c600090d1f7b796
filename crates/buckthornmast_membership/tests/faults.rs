//! Fault tables over the pure table in virtual time, with fixed seeds.

#[path = "support/common.rs"]
mod common;

use buckthornmast_membership::prelude::*;
use buckthornmast_types::id;

use crate::common::*;

/// Silence after which an instance must be dead everywhere: 2 s, and the time of one heartbeat, one
/// relay, the datagrams and a unit of the ages.
const DEAD_WITHIN: u64 = 2600;

fn mild() -> Faults {
    Faults {
        loss: 0.05,
        duplicates: 0.05,
        jitter_millis: 50,
    }
}

/// Guards against live instances declared dead by loss, duplicates or reordering, and against dead
/// ones kept alive by late copies.
#[test]
fn detect_under_network_faults() {
    let table = [
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
        ("all", mild()),
    ];
    for (count, domains) in [(6, 4), (12, 3), (24, 2)] {
        for (name, faults) in table {
            for seed in 1..4 {
                let case = format!("{name}, {count} in {domains}, seed {seed}");
                let mut net = Net::new(count, domains, seed);
                net.faults = faults;
                net.run(5000);
                net.watch(10_000, |net| {
                    let dead = net
                        .doubts()
                        .into_iter()
                        .find(|doubt| doubt.2 == State::Dead);
                    assert_eq!(dead, None, "{case}: a live instance is dead at {}", net.now);
                });
                net.kill(1);
                net.run(DEAD_WITHIN + faults.jitter_millis);
                net.watch(6000, |net| {
                    for at in (0..count).filter(|at| *at != 1) {
                        assert_eq!(
                            net.state(at, 1),
                            State::Dead,
                            "{case}: at {at}, {}",
                            net.now
                        );
                    }
                });
            }
        }
    }
}

/// Guards against verdicts that come before 1 s (suspect) or 2 s (dead) of silence.
#[test]
fn detect_not_too_early() {
    let mut net = Net::new(9, 3, 5);
    net.run(5000);
    net.kill(4);
    let died = net.now;
    net.watch(4000, |net| {
        let silent = net.now.since(died).as_millis();
        for at in (0..9).filter(|at| *at != 4) {
            // The last heartbeat left up to 200 ms before the end.
            match net.state(at, 4) {
                State::Alive => {}
                State::Suspect => assert!(silent >= 800, "suspect after {silent} ms"),
                State::Dead => assert!(silent >= 1800, "dead after {silent} ms"),
            }
        }
    });
    assert_eq!(net.state(0, 4), State::Dead);
}

/// Guards against a cut that is noticed on the wrong side or stays after it has healed.
#[test]
fn cut_between_domains() {
    // Instances 0, 3, 6 and 9 form one domain of three.
    let inside = |index: usize| index.is_multiple_of(3);
    type Passes = fn(usize, usize) -> bool;
    let one_way: Passes = |from, to| !(from % 3 == 0 && to % 3 != 0);
    let both_ways: Passes = |from, to| (from % 3 == 0) == (to % 3 == 0);
    for (name, cut, hears_outside) in [("one way", one_way, true), ("both ways", both_ways, false)]
    {
        let mut net = Net::new(12, 3, 9);
        net.faults = mild();
        net.run(5000);
        net.passes = Box::new(cut);
        net.run(DEAD_WITHIN + 100);
        net.watch(20_000, |net| {
            for (at, of, state) in net.doubts() {
                assert_ne!(
                    inside(at),
                    inside(of),
                    "{name}: {at} doubts {of} on its own side"
                );
                if hears_outside && inside(at) {
                    assert_ne!(state, State::Dead, "{name}: {at} still hears {of}");
                }
            }
            assert_eq!(net.state(1, 0), State::Dead, "{name}");
        });
        net.passes = Box::new(|_, _| true);
        net.run(2000);
        let dead = net
            .doubts()
            .into_iter()
            .find(|doubt| doubt.2 == State::Dead);
        assert_eq!(dead, None, "{name}: after the cut has healed");
    }
}

/// Guards against a designated sender whose datagrams no longer reach the other domain while it
/// still looks alive in its own.
#[test]
fn cut_each_single_sender() {
    for cut in [0, 2, 4, 6, 8] {
        let mut net = Net::new(10, 2, 21);
        net.run(5000);
        net.passes = Box::new(move |from, to| from != cut || to % 2 == 0);
        net.run(3000);
        net.watch(5000, |net| {
            let dead = net
                .doubts()
                .into_iter()
                .find(|doubt| doubt.2 == State::Dead);
            assert_eq!(dead, None, "without the datagrams of {cut}");
        });
    }
}

/// Guards against a thawed instance that takes the others for dead, and against old datagrams in its
/// socket that make a dead instance look alive.
#[test]
fn freeze_and_thaw() {
    for (count, domains) in [(6, 1), (9, 3)] {
        let mut net = Net::new(count, domains, 3);
        net.run(5000);
        net.freeze(2);
        net.run(1000);
        net.kill(1);
        net.run(10_000);
        assert_eq!(net.state(0, 2), State::Dead);
        net.thaw(2);
        net.watch(3000, |net| {
            let dead = net
                .doubts()
                .into_iter()
                .find(|doubt| doubt.0 == 2 && doubt.2 == State::Dead);
            assert_eq!(dead, None, "{count} members");
            assert_ne!(
                net.state(2, 1),
                State::Alive,
                "{count} members: 1 died meanwhile"
            );
        });
        assert_eq!(net.doubts(), [], "{count} members");
        assert_eq!(net.state(2, 1), State::Dead, "{count} members");
    }
}

/// Guards against a restarted instance that is ignored, also when its clock was set back so that its
/// incarnation is lower than before.
#[test]
fn restart_with_incarnation() {
    for incarnation in [2000, 1001, 999, 1] {
        for (count, domains) in [(4, 4), (6, 2)] {
            let mut net = Net::new(count, domains, 8);
            net.faults = mild();
            net.run(30_000);
            net.kill(1);
            net.run(500);
            net.restart(1, incarnation);
            net.progress[1].revision = id::Revision(7);
            net.run(9000);
            let case = format!("incarnation {incarnation}, {count} in {domains}");
            assert_eq!(net.doubts(), [], "{case}");
            for at in 0..count {
                let peer = net.peer(at, 1);
                assert!(peer.incarnation.0 > 1000, "{case}: {peer:?}");
                assert_eq!(peer.progress.revision.0, 7, "{case}: at {at}");
            }
        }
    }
}

/// Guards against progress that does not reach other domains or is replaced by older progress.
#[test]
fn progress_reaches_all() {
    let mut net = Net::new(40, 4, 13);
    net.faults = mild();
    net.run(5000);
    for revision in 1..=5 {
        for progress in &mut net.progress {
            progress.revision = id::Revision(revision);
            progress.ready = revision % 2 == 0;
        }
        net.run(6000);
        for at in 0..40 {
            for of in 0..40 {
                let progress = net.peer(at, of).progress;
                assert_eq!(progress.revision.0, revision, "{at} about {of}");
                assert_eq!(progress.ready, revision % 2 == 0, "{at} about {of}");
            }
        }
    }
}
