//! Membership threads over loopback with ephemeral ports.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::{
    net::UdpSocket,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use buckthornmast_membership::prelude::*;
use buckthornmast_types::{id, time::System};
use buckthornmast_wire::key::Key;

/// Upper bound that only keeps a broken test from hanging.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn member(index: usize, socket: &UdpSocket) -> Member {
    Member {
        instance: format!("node-{index}").parse().unwrap(),
        domain: format!("zone-{}", index % 2).parse().unwrap(),
        address: socket.local_addr().unwrap(),
    }
}

fn start_member(
    members: &[Member],
    index: usize,
    socket: UdpSocket,
    key: u8,
    revision: Arc<AtomicU64>,
) -> Handle {
    let config = Config {
        me: members[index].instance.clone(),
        members: members.to_vec(),
        key: Key::new([key; 32]),
        socket,
        incarnation: id::Incarnation(1),
        timing: Timing::default(),
    };
    let source = move || Progress {
        revision: id::Revision(revision.load(Ordering::SeqCst)),
        ..Progress::default()
    };
    start(config, source, System::start()).unwrap()
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn bind(count: usize) -> (Vec<UdpSocket>, Vec<Member>) {
    let sockets: Vec<_> = (0..count)
        .map(|_| UdpSocket::bind("127.0.0.1:0").unwrap())
        .collect();
    let members = sockets.iter().enumerate();
    let members = members
        .map(|(index, socket)| member(index, socket))
        .collect();
    (sockets, members)
}

/// Guards against a runtime that loses heartbeats, changes or its thread, and against accepting an instance that
/// uses another key.
#[test]
fn start_to_stop() {
    let (sockets, members) = bind(5);
    let revision = Arc::new(AtomicU64::new(1));
    let mut handles = Vec::new();
    for (index, socket) in sockets.into_iter().enumerate() {
        let key = if index == 4 { 2 } else { 1 };
        handles.push(start_member(&members, index, socket, key, revision.clone()));
    }
    let changes = handles[0].subscribe();
    let states = |handle: &Handle| {
        handle
            .view()
            .peers
            .iter()
            .map(|peer| peer.state)
            .collect::<Vec<_>>()
    };
    let expected = [
        State::Alive,
        State::Alive,
        State::Alive,
        State::Alive,
        State::Dead,
    ];
    for handle in &handles[..4] {
        wait_until(
            "four instances to be alive and the one with another key to be dead",
            || states(handle) == expected,
        );
    }
    revision.store(2, Ordering::SeqCst);
    let has_revision = |handle: &Handle| {
        handle
            .view()
            .alive()
            .all(|peer| peer.progress.revision.0 == 2)
    };
    for handle in &handles[..4] {
        wait_until("revision 2 on all live instances", || has_revision(handle));
    }
    handles.remove(1).stop();
    for handle in &handles[..3] {
        wait_until("the stopped instance to be dead", || {
            states(handle)[1] == State::Dead
        });
    }
    for handle in handles {
        handle.stop();
    }
    let stopped_states: Vec<State> = changes
        .drain()
        .filter(|change| change.peer.instance.as_str() == "node-1")
        .map(|change| change.peer.state)
        .collect();
    assert_eq!(
        stopped_states.last(),
        Some(&State::Dead),
        "{stopped_states:?}"
    );
    assert!(stopped_states.contains(&State::Alive), "{stopped_states:?}");
}

/// Guards against arbitrary datagrams that stop the thread.
#[test]
fn receive_arbitrary_datagrams() {
    let (mut sockets, members) = bind(2);
    let revision = Arc::new(AtomicU64::new(1));
    let noise = UdpSocket::bind("127.0.0.1:0").unwrap();
    let second = start_member(&members, 1, sockets.remove(1), 1, revision.clone());
    let first = start_member(&members, 0, sockets.remove(0), 1, revision);
    // A seed is one case, and its low 32 bits are the number of random bytes.
    for number in 0..500 {
        arbtest::arbtest(|u| {
            let len = u.int_in_range(0..=200)?;
            let bytes = u.bytes(len)?.to_vec();
            noise.send_to(&bytes, members[0].address).unwrap();
            Ok(())
        })
        .seed(number << 32 | 256);
    }
    let are_alive = || first.view().alive().count() == 2;
    wait_until("both instances to be alive", are_alive);
    first.stop();
    second.stop();
}
