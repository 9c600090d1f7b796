//! Contract of calls and notices over loopback.

#[path = "support/common.rs"]
mod common;

use std::{sync::atomic::Ordering, time::Duration};

use buckthornmast_peer::prelude::*;

use crate::common::*;

/// Guards against answers that go to the wrong caller, and against notices out of order.
#[test]
fn call_and_notify() {
    let pair = pair(|_| {});
    std::thread::scope(|scope| {
        for caller in 0..8 {
            let pair = &pair;
            scope.spawn(move || {
                for call in 0..20 {
                    let text = format!("{caller}/{call} \"\\\u{1}");
                    let answer = pair.call(Order::Say(text.clone())).unwrap();
                    assert_eq!(answer, format!("a:{text}"));
                }
            });
        }
    });
    for notice in 0..2000 {
        pair.a.notify(&name("b"), notice);
    }
    until("notices", || {
        pair.handler.notices.lock().unwrap().len() == 2000
    });
    let notices = pair.handler.notices.lock().unwrap().clone();
    assert_eq!(notices, (0..2000).collect::<Vec<u64>>());
    pair.stop();
}

/// Guards against calls that outlast one exchange being run again or given up.
#[test]
fn call_slow_handler() {
    let pair = pair(|_| {});
    assert_eq!(pair.call(Order::Sleep(3000)).unwrap(), "slept");
    assert_eq!(pair.handler.calls.load(Ordering::SeqCst), 1);
    let error = pair
        .a
        .call(&name("b"), Order::Sleep(2000), Duration::from_millis(300))
        .unwrap_err();
    assert_eq!((error.step, error.sent), (Step::Wait, true));
    pair.stop();
}

/// Guards against a handler's panic that ends the server or passes as not run.
#[test]
fn call_handler_panic() {
    let pair = pair(|_| {});
    let error = pair.call(Order::Panic).unwrap_err();
    assert_eq!((error.step, error.sent), (Step::Handle, true));
    assert_eq!(pair.call(Order::Say("x".into())).unwrap(), "a:x");
    pair.stop();
}

/// Guards against bodies beyond the bound on either side, and against a bound that is lower than
/// promised because bodies are escaped in the frame.
#[test]
fn call_oversized_body() {
    let pair = pair(|config| config.limits.body = 100_000);
    let error = pair.call(Order::Say("x".repeat(9 << 20))).unwrap_err();
    assert_eq!((error.step, error.sent), (Step::Encode, false));
    let error = pair.call(Order::Repeat(100_000)).unwrap_err();
    assert_eq!((error.step, error.sent), (Step::Handle, true));
    assert_eq!(pair.call(Order::Repeat(49_000)).unwrap().len(), 49_000);
    // The server closes the connection on a body that only its own bound refuses.
    assert!(pair.call(Order::Say("x".repeat(1 << 20))).is_err());
    assert_eq!(pair.call(Order::Say("x".into())).unwrap(), "a:x");
    pair.stop();
}

/// Guards against more handlers at once than the bound, and against refused calls that run anyway.
#[test]
fn call_bounded_handlers() {
    let pair = pair(|config| {
        config.limits.calls = 2;
        config.limits.waiting = 4;
    });
    let (mut done, mut refused) = (0, 0);
    std::thread::scope(|scope| {
        let call = || pair.call(Order::Sleep(500));
        let callers: Vec<_> = (0..20).map(|_| scope.spawn(call)).collect();
        for caller in callers {
            match caller.join().unwrap() {
                Ok(_) => done += 1,
                Err(error) => {
                    assert_eq!((error.step, error.sent), (Step::Admit, false));
                    refused += 1;
                }
            }
        }
    });
    assert_eq!(pair.handler.calls.load(Ordering::SeqCst), done);
    assert_eq!(pair.handler.peak.load(Ordering::SeqCst), 2);
    assert!(
        refused > 0,
        "20 calls were admitted where 6 may wait or run"
    );
    pair.stop();
}

/// Guards against callers that wait for their whole timeout, or forever, when this instance stops.
#[test]
fn stop_during_call() {
    let pair = pair(|_| {});
    let client = pair.a.client();
    let caller = std::thread::spawn(move || client.call(&name("b"), Order::Sleep(1000), LONG));
    until("the handler runs", || {
        pair.handler.calls.load(Ordering::SeqCst) == 1
    });
    pair.a.stop();
    let error = caller.join().unwrap().unwrap_err();
    assert_eq!((error.step, error.sent), (Step::Stop, true));
    pair.b.stop();
}

/// Guards against a call to nobody that counts as sent.
#[test]
fn call_unreachable_peer() {
    let (listener, address) = listen();
    drop(listener);
    let (own, _) = listen();
    let peer = start(
        config("a", key(1), own, &[("b", address)]),
        Default::default(),
    );
    let peer: Handle<Echo> = peer.unwrap();
    let call = |to: &str| peer.call(&name(to), Order::Panic, LONG).unwrap_err();
    let (error, unknown) = (call("b"), call("c"));
    assert_eq!((error.step, error.sent), (Step::Connect, false));
    assert_eq!((unknown.step, unknown.sent), (Step::Resolve, false));
    peer.stop();
}

/// Guards against queues that grow for a peer that is down, and against losing the newest notices.
#[test]
fn notify_bounded_queue() {
    let (listener, address) = listen();
    drop(listener);
    let (own, own_address) = listen();
    let mut config_a = config("a", key(1), own, &[("b", address)]);
    config_a.limits.notices = 100;
    config_a.limits.batch = 10;
    let a: Handle<Echo> = start(config_a, Default::default()).unwrap();
    for notice in 0..1000 {
        a.notify(&name("b"), notice);
    }
    let handler = std::sync::Arc::new(Echo::default());
    let listener = std::net::TcpListener::bind(address).unwrap();
    let b = start(
        config("b", key(1), listener, &[("a", own_address)]),
        handler.clone(),
    )
    .unwrap();
    until("the newest notice", || {
        handler.notices.lock().unwrap().last() == Some(&999)
    });
    let notices = handler.notices.lock().unwrap().clone();
    assert!(notices.is_sorted(), "{notices:?}");
    assert!(
        notices.len() <= 110,
        "{} notices of a queue of 100",
        notices.len()
    );
    a.stop();
    b.stop();
}
