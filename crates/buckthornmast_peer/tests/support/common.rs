//! Instances over loopback with ephemeral ports.

#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

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
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Handler that counts its calls and records its notices.
#[derive(Default)]
pub(crate) struct Echo {
    /// Handler calls started.
    pub(crate) calls: AtomicUsize,
    /// Handler calls currently running, and their peak.
    pub(crate) running: AtomicUsize,
    pub(crate) peak: AtomicUsize,
    /// Notices in the order of arrival.
    pub(crate) notices: std::sync::Mutex<Vec<u64>>,
}

/// Request that determines what the handler does.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub(crate) enum Action {
    Say(String),
    Sleep(u64),
    Repeat(usize),
    Panic,
}

impl Handler for Echo {
    type Request = Action;
    type Response = String;
    type Notice = u64;

    fn call(&self, from: &id::Instance, request: Action) -> String {
        self.calls.fetch_add(1, Ordering::SeqCst);
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.peak.fetch_max(running, Ordering::SeqCst);
        let response = match request {
            Action::Say(text) => format!("{from}:{text}"),
            Action::Sleep(millis) => {
                std::thread::sleep(Duration::from_millis(millis));
                "slept".to_owned()
            }
            Action::Repeat(bytes) => "\"".repeat(bytes),
            Action::Panic => {
                self.running.fetch_sub(1, Ordering::SeqCst);
                panic!("requested by the test");
            }
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        response
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
        counter_label: "test",
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
    /// Handler of `b`.
    pub(crate) handler: Arc<Echo>,
    /// Address of `b`.
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
    pub(crate) fn call(&self, action: Action) -> Result<String, CallError> {
        self.a.call(&name("b"), action, TEST_TIMEOUT)
    }

    pub(crate) fn stop(self) {
        self.a.stop();
        self.b.stop();
    }
}

/// Waits until a condition holds, and fails the test after [`TEST_TIMEOUT`].
pub(crate) fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
