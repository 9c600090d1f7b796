//! Role that a replica reports while a lost disk is replaced.

use std::time::Duration;

use buckthornmast_consensus::{
    core::{Core, Durable, Effect, Input},
    machine::LogTime,
    message::{Body, Entry, Member, Message, Payload, Position},
    prelude::{Role, Timing},
};
use buckthornmast_types::{id, time::Point};

const NOW: Point = Point(1_000_000);

fn name(text: &str) -> id::Instance {
    text.parse().unwrap_or_else(|_| panic!("{text} is no name"))
}

fn member(instance: &str, disk: u128) -> Member {
    Member {
        instance: name(instance),
        disk: id::Disk(uuid::Uuid::from_u128(disk)),
    }
}

fn voters(index: u64, first_disk: u128) -> Entry<u8> {
    Entry {
        position: Position {
            term: id::Term(1),
            index: id::Index(index),
        },
        at: LogTime(0),
        size: 0,
        payload: Payload::Voters(vec![
            member("a", first_disk),
            member("b", 2),
            member("c", 3),
        ]),
    }
}

fn append(after: u64, commit: u64, entries: Vec<Entry<u8>>) -> Input<u8> {
    let prev = Position {
        term: id::Term(u64::from(after > 0)),
        index: id::Index(after),
    };
    Input::Receive {
        from: name("b"),
        message: Message {
            term: id::Term(1),
            disk: member("b", 2).disk,
            body: Body::Append {
                sent: NOW,
                prev,
                commit: id::Index(commit),
                entries,
            },
        },
    }
}

fn step(core: &mut Core<u8>, input: Input<u8>) -> Vec<Effect<u8>> {
    let mut effects = Vec::new();
    core.step(NOW, input, &mut effects);
    effects
}

fn sync(core: &mut Core<u8>) {
    let (last, hard) = (core.log().last(), core.hard());
    step(core, Input::Synced { last, hard });
}

/// Returns a replica of `a` with the new disk 4, whose log contains the entry that replaces disk 1.
fn replaced() -> Core<u8> {
    let peers = [name("a"), name("b"), name("c")];
    let me = member("a", 4);
    let mut core = Core::new(me, &peers, Timing::default(), Durable::default(), 1, NOW);
    step(&mut core, append(0, 1, vec![voters(1, 1), voters(2, 4)]));
    sync(&mut core);
    core
}

/// Guards against a replica that reports itself as a voter while its set may still be truncated: an operator who
/// relies on it and removes another disk loses the quorum of the old set.
#[test]
fn role_set_uncommitted() {
    let core = replaced();
    assert!(core.voters().is_joint());
    assert_eq!(core.role(), Role::Learner);
}

/// Guards against a replica that reports itself as a voter while it has only in memory, not on disk, that the set is
/// committed.
#[test]
fn role_commit_not_durable() {
    let mut core = replaced();
    step(&mut core, append(2, 2, Vec::new()));
    assert!(!core.voters().is_joint());
    assert_eq!(core.role(), Role::Learner);
    sync(&mut core);
    assert_eq!(core.role(), Role::Follower);
}

/// Guards against a voter that reports itself as a learner after a restart, or while the first set is in effect.
#[test]
fn role_restart() {
    let mut core = replaced();
    step(&mut core, append(2, 2, Vec::new()));
    sync(&mut core);
    let peers = [name("a"), name("b"), name("c")];
    let restarted = Core::new(
        core.me().clone(),
        &peers,
        Timing::default(),
        core.durable(),
        2,
        NOW + Duration::from_secs(1),
    );
    assert_eq!(restarted.role(), Role::Follower);

    let me = member("c", 3);
    let mut first = Core::new(me, &peers, Timing::default(), Durable::default(), 3, NOW);
    step(&mut first, append(0, 0, vec![voters(1, 1)]));
    sync(&mut first);
    assert_eq!(first.role(), Role::Follower);
    let restarted = Core::new(
        first.me().clone(),
        &peers,
        Timing::default(),
        first.durable(),
        4,
        NOW,
    );
    assert_eq!(restarted.role(), Role::Follower);
}
