//! Requests to targets that are out of reach of their instance, through another instance.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "helpers of tests may panic"
)]

#[allow(dead_code, reason = "shared by several test binaries")]
#[path = "support/fleet.rs"]
mod fleet;

use std::{
    future::Future,
    time::{Duration, Instant},
};

use buckthornmast_forward::{state::State, tunnel};
use buckthornmast_routes::document::{Kind, Route};
use buckthornmast_types::{id, time::Clock};
use buckthornmast_way::prelude::*;
use tokio::{
    net::TcpListener,
    time::{sleep, timeout},
};

use crate::fleet::{Fleet, Step, bytes, whole_head};

/// Time that only a hang exceeds.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a test on one thread, for a bounded time.
fn block_on(test: impl Future<Output = ()>) {
    fleet::block_on(async {
        timeout(HANG_TIMEOUT, test).await.unwrap();
    });
}

const KEY: Key = Key([7, 9]);

fn once_route() -> Route {
    Route {
        kind: Kind::Once,
        attempts: 1,
        ..fleet::route()
    }
}

/// Two instances before the same targets: one that reaches none of them, and one that carries tunnels.
struct Pair {
    cut_off: Fleet,
    carrier: Fleet,
    server: tunnel::Server,
    way: Way,
}

impl Pair {
    async fn start(max_tunnels: usize) -> Self {
        let cut_off = Fleet::start(once_route(), 2).await;
        for target in 0..2 {
            cut_off.stop_target(target).await;
        }
        let carrier = Fleet::start(once_route(), 2).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let way = Way {
            instance: "entry-2".parse().unwrap(),
            domain: "d1".parse().unwrap(),
            address: listener.local_addr().unwrap(),
            key: KEY,
        };
        let forwarder = std::rc::Rc::clone(&carrier.forwarder);
        let server = tunnel::Server::start(listener, KEY, max_tunnels, forwarder);
        let pair = Self {
            cut_off,
            carrier,
            server,
            way,
        };
        pair.state().ways.set(vec![pair.way.clone()]);
        pair
    }

    fn state(&self) -> std::cell::RefMut<'_, State> {
        self.cut_off.forwarder.state.borrow_mut()
    }

    /// Sends a request to the instance that is cut off, and asserts that it is refused as not run, within the time that
    /// all tries of a connection take.
    async fn assert_refused(&self) {
        let start = Instant::now();
        let answer = self.cut_off.call("1").await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("retry-after"), "{answer}");
        assert!(start.elapsed() < Duration::from_secs(2));
        assert_eq!(self.carrier.arrived(), 0);
    }
}

fn answer(text: &str) -> [Step; 2] {
    [whole_head(200, Some(text.len())), bytes(text)]
}

fn key(target: &str) -> (id::Target, id::Incarnation) {
    (target.parse().unwrap(), id::Incarnation(1))
}

/// Guards against requests that fail at an instance that reaches no target, and against their running twice.
#[test]
fn call_around() {
    block_on(async {
        let pair = Pair::start(10).await;
        for number in 0..20 {
            pair.carrier.script(answer("whole"));
            let answer = pair.cut_off.call("1").await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{number}: {answer}");
            assert!(answer.ends_with("whole"), "{number}: {answer}");
        }
        assert_eq!(pair.carrier.arrived(), 20);
        let state = pair.state();
        assert!(
            ["t0", "t1"]
                .iter()
                .any(|target| !state.reach.is_reached(&key(target)))
        );
    });
}

/// Guards against tunnels for those who don't have the key.
#[test]
fn call_around_wrong_key() {
    block_on(async {
        let pair = Pair::start(10).await;
        let way = Way {
            key: Key([7, 8]),
            ..pair.way.clone()
        };
        pair.state().ways.set(vec![way]);
        pair.assert_refused().await;
    });
}

/// Guards against an instance that carries more than it has room for, and against waits for one that has none.
#[test]
fn call_around_full() {
    block_on(async {
        let pair = Pair::start(0).await;
        pair.assert_refused().await;
    });
}

/// Guards against tunnels that a planned stop would cut off.
#[test]
fn call_around_stopping() {
    block_on(async {
        let pair = Pair::start(10).await;
        pair.server.tunnels.stop();
        pair.assert_refused().await;
    });
}

/// Guards against circles of instances that are all cut off.
#[test]
fn call_around_both_cut_off() {
    block_on(async {
        let pair = Pair::start(10).await;
        for target in 0..2 {
            pair.carrier.stop_target(target).await;
        }
        pair.carrier
            .forwarder
            .state
            .borrow_mut()
            .ways
            .set(vec![pair.way.clone()]);
        pair.assert_refused().await;
        assert!(!pair.carrier.call("1").await.starts_with("HTTP/1.1 200"));
    });
}

/// Guards against a request that runs on at its target after its caller has left.
#[test]
fn call_around_cancelled() {
    block_on(async {
        let pair = Pair::start(10).await;
        pair.carrier.script([Step::Hang]);
        let caller = pair.cut_off.send("1").await;
        while pair.carrier.arrived() == 0 {
            sleep(Duration::from_millis(1)).await;
        }
        drop(caller);
        pair.carrier.wait_closed(1).await;
        while pair.server.tunnels.count() > 0 {
            sleep(Duration::from_millis(1)).await;
        }
    });
}

/// Guards against an answer that was cut off, or may have been, and counts as whole, and against running it once more.
#[test]
fn call_around_reset() {
    block_on(async {
        for length in [Some(9), None] {
            let pair = Pair::start(10).await;
            pair.carrier
                .script([whole_head(200, length), bytes("half"), Step::Reset]);
            let answer = pair.cut_off.call("1").await;
            assert!(answer.starts_with("HTTP/1.1 502"), "{length:?}: {answer}");
            assert_eq!(pair.carrier.arrived(), 1, "{length:?}");
        }
    });
}

/// Guards against requests of the way to a target that has told it, through a tunnel, to send none.
#[test]
fn call_around_paused() {
    block_on(async {
        let pair = Pair::start(10).await;
        pair.carrier.script([Step::Send(
            "HTTP/1.1 503 Service Unavailable\r\nx-pause: 3\r\nContent-Length: 0\r\n\r\n"
                .to_owned(),
        )]);
        pair.carrier.script(answer("other"));
        let _ = pair.cut_off.call("1").await;
        let is_paused = || {
            let forwarder = &pair.carrier.forwarder;
            let state = forwarder.state.borrow();
            let now = forwarder.clock.now();
            ["t0", "t1"].iter().any(|target| {
                let (target, incarnation) = key(target);
                state.advisories.pause(&target, incarnation, now).is_some()
            })
        };
        while !is_paused() {
            sleep(Duration::from_millis(1)).await;
        }
    });
}

/// Guards against targets that are reached around for ever.
#[test]
fn probe_after_cut() {
    block_on(async {
        let pair = Pair::start(10).await;
        pair.carrier.script(answer("around"));
        assert!(pair.cut_off.call("1").await.ends_with("around"));
        let addresses: Vec<_> = {
            let state = pair.state();
            let entries = state.registry().entries();
            entries.map(|entry| entry.announcement.address).collect()
        };
        let mut listeners = Vec::new();
        for address in addresses {
            listeners.push(TcpListener::bind(address).await.unwrap());
        }
        let is_direct = || {
            let now = pair.cut_off.forwarder.clock.now();
            let state = pair.state();
            ["t0", "t1"]
                .iter()
                .all(|target| state.reach.path(&key(target), now) == Path::Direct)
        };
        while !is_direct() {
            pair.cut_off.forwarder.probe();
            sleep(Duration::from_millis(20)).await;
        }
    });
}

/// Guards against a sound target that counts as out of reach, or loses its connection, because it is silent for a second.
#[test]
fn call_silent_target() {
    block_on(async {
        let fleet = Fleet::start(once_route(), 2).await;
        for pause in [0, 1200] {
            fleet.script(
                [Step::Pause(Duration::from_millis(pause))]
                    .into_iter()
                    .chain(answer("late")),
            );
            assert!(fleet.call("1").await.ends_with("late"), "{pause}");
        }
        assert_eq!(fleet.arrived(), 2);
        assert!(!fleet.forwarder.state.borrow().reach.is_cut_off());
    });
}

/// Guards against a sound target that isn't tried because others have crashed at the same time: without ways, and with one that
/// has no room.
#[test]
fn call_beside_crashes() {
    block_on(async {
        for has_way in [false, true] {
            let pair = Pair::start(0).await;
            let fleet = Fleet::start(
                Route {
                    attempts: 5,
                    ..once_route()
                },
                4,
            )
            .await;
            for target in 1..4 {
                fleet.stop_target(target).await;
            }
            if has_way {
                fleet
                    .forwarder
                    .state
                    .borrow_mut()
                    .ways
                    .set(vec![pair.way.clone()]);
            }
            for number in 0..10 {
                fleet.script(answer("whole"));
                let answer = fleet.call("1").await;
                assert!(answer.ends_with("whole"), "{has_way} {number}: {answer}");
            }
        }
    });
}
