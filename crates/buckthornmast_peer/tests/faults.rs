//! Hostile requests and failing connections.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

#[path = "support/common.rs"]
mod common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::Ordering,
    time::Duration,
};

use buckthornmast_peer::prelude::*;
use buckthornmast_wire::prelude::*;

use crate::common::{relay::Relay, *};

/// Posts a body and returns the whole HTTP response, or nothing if the connection is closed.
fn post(address: SocketAddr, body: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let head = format!(
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut answer = Vec::new();
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.write_all(body);
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn post_frame(address: SocketAddr, frame: &Sealed) -> String {
    let frame = serde_json::to_string(frame).unwrap();
    let body = format!(r#"{{"jsonrpc":"2.0","id":1,"method":"peer","params":[{frame}]}}"#);
    post(address, body.as_bytes())
}

fn open_session(address: SocketAddr) -> u64 {
    let frame = sealed::seal_request(&key(1), &name("a"), Nonce::random(), r#""open""#.into());
    let answer = post_frame(address, &frame);
    let json: serde_json::Value =
        serde_json::from_str(answer.split_once("\r\n\r\n").unwrap().1).unwrap();
    let body = json["result"]["body"].as_str().unwrap();
    let body: serde_json::Value = serde_json::from_str(body).unwrap();
    body["session"].as_u64().unwrap()
}

fn seal_call(session: u64, sequence: u64) -> Sealed {
    let body = r#"{"call":{"millis":1000,"request":{"Say":"x"}}}"#;
    let nonce = Nonce { session, sequence };
    sealed::seal_request(&key(1), &name("a"), nonce, body.into())
}

/// Guards against replayed requests that run again, including after a restart of the server.
#[test]
fn replayed_frame() {
    let pair = pair(|_| {});
    let session = open_session(pair.address);
    let frame = seal_call(session, 0);
    assert!(post_frame(pair.address, &frame).contains("done"));
    assert!(post_frame(pair.address, &frame).contains("replayed"));
    assert!(post_frame(pair.address, &seal_call(session, 1)).contains("done"));
    // Replayed requests that open sessions must not evict the session in use.
    for _ in 0..10 {
        open_session(pair.address);
    }
    assert!(post_frame(pair.address, &frame).contains("replayed"));
    assert!(post_frame(pair.address, &seal_call(session, 2)).contains("done"));
    assert_eq!(pair.handler.calls.load(Ordering::SeqCst), 3);
    pair.b.stop();
    let (_, unused_address) = listen();
    let listener = std::net::TcpListener::bind(pair.address).unwrap();
    let handler = std::sync::Arc::new(Echo::default());
    let b = start(
        config("b", key(1), listener, &[("a", unused_address)]),
        handler.clone(),
    )
    .unwrap();
    assert!(post_frame(pair.address, &seal_call(session, 3)).contains("session"));
    assert_eq!(handler.calls.load(Ordering::SeqCst), 0);
    // A client with the old session continues with a new one.
    assert_eq!(
        pair.a
            .call(&name("b"), Action::Say("x".into()), TEST_TIMEOUT)
            .unwrap(),
        "a:x"
    );
    pair.a.stop();
    b.stop();
}

/// Guards against accepting requests with another key or from instances that are not in the peer list.
#[test]
fn wrong_key_or_sender() {
    for (key_b, other) in [(key(2), "a"), (key(1), "c")] {
        let pair = pair(|config| {
            config.key = key_b.clone();
            config.peers[0].instance = name(other);
        });
        let error = pair.call(Action::Say("x".into())).unwrap_err();
        assert_eq!(
            (error.step, error.may_have_run),
            (Step::Session, false),
            "{error}"
        );
        assert_eq!(pair.handler.calls.load(Ordering::SeqCst), 0);
        pair.stop();
    }
}

/// Guards against arbitrary bodies that stop the server or break its connections.
#[test]
fn arbitrary_bodies() {
    let pair = pair(|_| {});
    // A seed is one case, and its low 32 bits are the number of random bytes.
    for number in 0..500 {
        arbtest::arbtest(|u| {
            let len = u.int_in_range(0..=100)?;
            let mut body = u.bytes(len)?.to_vec();
            if u.arbitrary()? {
                let nonce = Nonce {
                    session: u.arbitrary()?,
                    sequence: u.arbitrary()?,
                };
                let text = String::from_utf8_lossy(&body).into_owned();
                let frame = sealed::seal_request(&key(1), &name("a"), nonce, text);
                let frame = serde_json::to_string(&frame).unwrap();
                body = format!(r#"{{"jsonrpc":"2.0","id":1,"method":"peer","params":[{frame}]}}"#)
                    .into();
            }
            assert!(!post(pair.address, &body).contains("done"));
            Ok(())
        })
        .seed(number << 32 | 256);
    }
    assert_eq!(pair.handler.calls.load(Ordering::SeqCst), 0);
    assert_eq!(pair.call(Action::Say("x".into())).unwrap(), "a:x");
    pair.stop();
}

/// Starts `a` and `b` with a relay between the client of `a` and the server of `b`.
fn relayed() -> (Handle<Echo>, Handle<Echo>, std::sync::Arc<Echo>, Relay) {
    let (listen_a, address_a) = listen();
    let (listen_b, address_b) = listen();
    let relay = Relay::start(address_b);
    let handler = std::sync::Arc::new(Echo::default());
    let mut a = config("a", key(1), listen_a, &[("b", relay.address)]);
    // Only the client's pings and its exchange timeout may close a connection here.
    a.limits.idle_timeout = TEST_TIMEOUT * 10;
    let mut b = config("b", key(1), listen_b, &[("a", address_a)]);
    b.limits.server_idle_timeout = TEST_TIMEOUT * 10;
    let a = start(a, Default::default()).unwrap();
    (a, start(b, handler.clone()).unwrap(), handler, relay)
}

/// Guards against a call that hangs on an unresponsive connection or runs twice because of it, whether the
/// connection stalls before or during the call.
#[test]
fn unresponsive_connection_call() {
    let (a, b, handler, relay) = relayed();
    let call = |action: Action| a.call(&name("b"), action, TEST_TIMEOUT);
    assert_eq!(call(Action::Say("x".into())).unwrap(), "a:x");
    relay.stall_open();
    assert_eq!(call(Action::Say("y".into())).unwrap(), "a:y");
    assert_eq!(handler.calls.load(Ordering::SeqCst), 2);
    std::thread::scope(|scope| {
        let slow = scope.spawn(|| call(Action::Sleep(1500)));
        wait_until("the handler to run", || {
            handler.calls.load(Ordering::SeqCst) == 3
        });
        relay.stall_open();
        // Other calls use new connections until the slow one times out on its own.
        for _ in 0..5 {
            assert_eq!(call(Action::Say("z".into())).unwrap(), "a:z");
            assert!(handler.calls.load(Ordering::SeqCst) <= 8);
        }
        assert_eq!(slow.join().unwrap().unwrap(), "slept");
    });
    assert_eq!(handler.calls.load(Ordering::SeqCst), 8);
    a.stop();
    b.stop();
    relay.stop();
}

/// Guards against an unresponsive idle connection that is kept until a call uses it.
#[test]
fn unresponsive_connection_idle() {
    let (a, b, _, relay) = relayed();
    let call = || a.call(&name("b"), Action::Say("x".into()), TEST_TIMEOUT);
    assert_eq!(call().unwrap(), "a:x");
    relay.stall_open();
    wait_until("the stalled connections to be closed", || relay.open() == 0);
    assert_eq!(call().unwrap(), "a:x");
    a.stop();
    b.stop();
    relay.stop();
}

/// Guards against notices that are lost, repeated or out of order when a connection becomes unresponsive.
#[test]
fn unresponsive_connection_notices() {
    let (a, b, handler, relay) = relayed();
    for notice in 0..300 {
        a.notify(&name("b"), notice);
        if notice % 100 == 50 {
            wait_until("some notices", || {
                handler.notices.lock().unwrap().len() > 20
            });
            relay.stall_open();
        }
    }
    wait_until("all notices", || {
        handler.notices.lock().unwrap().len() >= 300
    });
    let notices = handler.notices.lock().unwrap().clone();
    assert_eq!(notices, (0..300).collect::<Vec<u64>>());
    a.stop();
    b.stop();
    relay.stop();
}

/// Guards against a killed peer whose calls count as not run although a handler has started.
#[test]
fn peer_killed_during_call() {
    let (a, b, handler, relay) = relayed();
    std::thread::scope(|scope| {
        let call = scope.spawn(|| a.call(&name("b"), Action::Sleep(1000), TEST_TIMEOUT));
        wait_until("the handler to run", || {
            handler.calls.load(Ordering::SeqCst) == 1
        });
        relay.stop();
        let error = call.join().unwrap().unwrap_err();
        assert!(error.may_have_run, "{error}");
        assert_eq!(error.peer, name("b"));
    });
    let error = a
        .call(&name("b"), Action::Panic, Duration::from_secs(5))
        .unwrap_err();
    assert_eq!(
        (error.step, error.may_have_run),
        (Step::Connect, false),
        "{error}"
    );
    a.stop();
    b.stop();
}
