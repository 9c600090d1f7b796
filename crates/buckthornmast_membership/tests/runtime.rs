//! Threads over loopback with ports that the system chooses.

#![allow(clippy::unwrap_used, reason = "tests")]

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
const LONG: Duration = Duration::from_secs(30);

fn member(index: usize, socket: &UdpSocket) -> Member {
    Member {
        instance: format!("node-{index}").parse().unwrap(),
        domain: format!("zone-{}", index % 2).parse().unwrap(),
        address: socket.local_addr().unwrap(),
    }
}

fn run(
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

fn until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + LONG;
    while !condition() {
        assert!(Instant::now() < end, "gave up waiting: {what}");
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

/// Guards against a runtime that loses heartbeats, changes or its thread, and against an instance
/// with another key that is believed.
#[test]
fn start_to_stop() {
    let (sockets, members) = bind(5);
    let revision = Arc::new(AtomicU64::new(1));
    let mut handles = Vec::new();
    for (index, socket) in sockets.into_iter().enumerate() {
        let key = if index == 4 { 2 } else { 1 };
        handles.push(run(&members, index, socket, key, revision.clone()));
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
        until("four alive, the one with another key dead", || {
            states(handle) == expected
        });
    }
    revision.store(2, Ordering::SeqCst);
    let spread = |handle: &Handle| {
        handle
            .view()
            .alive()
            .all(|peer| peer.progress.revision.0 == 2)
    };
    for handle in &handles[..4] {
        until("the revision", || spread(handle));
    }
    handles.remove(1).stop();
    for handle in &handles[..3] {
        until("one stopped", || states(handle)[1] == State::Dead);
    }
    for handle in handles {
        handle.stop();
    }
    let of_stopped: Vec<State> = changes
        .drain()
        .filter(|change| change.peer.instance.as_str() == "node-1")
        .map(|change| change.peer.state)
        .collect();
    assert_eq!(of_stopped.last(), Some(&State::Dead), "{of_stopped:?}");
    assert!(of_stopped.contains(&State::Alive), "{of_stopped:?}");
}

/// Guards against arbitrary datagrams that stop the thread.
#[test]
fn receive_arbitrary_datagrams() {
    let (mut sockets, members) = bind(2);
    let revision = Arc::new(AtomicU64::new(1));
    let noise = UdpSocket::bind("127.0.0.1:0").unwrap();
    let second = run(&members, 1, sockets.remove(1), 1, revision.clone());
    let first = run(&members, 0, sockets.remove(0), 1, revision);
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
    let alive = || first.view().alive().count() == 2;
    until("alive", alive);
    first.stop();
    second.stop();
}
