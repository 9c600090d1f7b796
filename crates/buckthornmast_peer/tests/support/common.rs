//! Instances over loopback with ports that the system chooses.

#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "tests")]

pub(crate) mod relay;

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use buckthornmast_peer::prelude::*;
use buckthornmast_types::id;
use buckthornmast_wire::key::Key;

/// Upper bound that only keeps a broken test from hanging.
pub(crate) const LONG: Duration = Duration::from_secs(30);

/// Handler that counts what it is asked.
#[derive(Default)]
pub(crate) struct Echo {
    /// Handler calls that began.
    pub(crate) calls: AtomicUsize,
    /// Handler calls that run right now, and the highest number of them.
    pub(crate) running: AtomicUsize,
    pub(crate) peak: AtomicUsize,
    /// Notices in the order of arrival.
    pub(crate) notices: std::sync::Mutex<Vec<u64>>,
}

/// What the handler is told to do.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub(crate) enum Order {
    Say(String),
    Sleep(u64),
    Repeat(usize),
    Panic,
}

impl Handler for Echo {
    type Request = Order;
    type Response = String;
    type Notice = u64;

    fn call(&self, from: &id::Instance, request: Order) -> String {
        self.calls.fetch_add(1, Ordering::SeqCst);
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.peak.fetch_max(running, Ordering::SeqCst);
        let answer = match request {
            Order::Say(text) => format!("{from}:{text}"),
            Order::Sleep(millis) => {
                std::thread::sleep(Duration::from_millis(millis));
                "slept".to_owned()
            }
            Order::Repeat(bytes) => "\"".repeat(bytes),
            Order::Panic => {
                self.running.fetch_sub(1, Ordering::SeqCst);
                panic!("as ordered");
            }
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        answer
    }

    fn notify(&self, _from: &id::Instance, notice: u64) {
        self.notices.lock().unwrap().push(notice);
    }
}

pub(crate) fn name(text: &str) -> id::Instance {
    text.parse().unwrap()
}

pub(crate) fn key(byte: u8) -> Key {
    Key::new([byte; 32])
}

pub(crate) fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

pub(crate) fn config(
    me: &str,
    key: Key,
    listener: TcpListener,
    peers: &[(&str, SocketAddr)],
) -> Config {
    let peer = |&(instance, address): &(&str, SocketAddr)| Peer {
        instance: name(instance),
        address,
        kind: "test",
    };
    Config {
        me: name(me),
        key,
        listener,
        peers: peers.iter().map(peer).collect(),
        limits: Limits::default(),
    }
}

/// Two instances `a` and `b`.
pub(crate) struct Pair {
    pub(crate) a: Handle<Echo>,
    pub(crate) b: Handle<Echo>,
    pub(crate) handler: Arc<Echo>,
    pub(crate) address: SocketAddr,
}

/// Starts `a` and `b`; `adjust` changes the configuration of `b`.
pub(crate) fn pair(adjust: impl FnOnce(&mut Config)) -> Pair {
    let (listen_a, address_a) = listen();
    let (listen_b, address) = listen();
    let a = config("a", key(1), listen_a, &[("b", address)]);
    let mut b = config("b", key(1), listen_b, &[("a", address_a)]);
    adjust(&mut b);
    let handler = Arc::new(Echo::default());
    Pair {
        a: start(a, Arc::new(Echo::default())).unwrap(),
        b: start(b, handler.clone()).unwrap(),
        handler,
        address,
    }
}

impl Pair {
    pub(crate) fn call(&self, order: Order) -> Result<String, CallError> {
        self.a.call(&name("b"), order, LONG)
    }

    pub(crate) fn stop(self) {
        self.a.stop();
        self.b.stop();
    }
}

/// Waits until a condition holds, and fails the test if it never does.
pub(crate) fn until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + LONG;
    while !condition() {
        assert!(Instant::now() < end, "gave up waiting: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
