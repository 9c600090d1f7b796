//! Contract of calls and notices over loopback.

#[path = "support/common.rs"]
mod common;

use std::{sync::atomic::Ordering, time::Duration};

use buckthornmast_peer::prelude::*;

use crate::common::*;

/// Guards against responses delivered to the wrong caller, and against notices out of order.
#[test]
fn call_and_notify() {
    let pair = pair(|_| {});
    std::thread::scope(|scope| {
        for caller in 0..8 {
            let pair = &pair;
            scope.spawn(move || {
                for call in 0..20 {
                    let text = format!("{caller}/{call} \"\\\u{1}");
                    let response = pair.call(Action::Say(text.clone())).unwrap();
                    assert_eq!(response, format!("a:{text}"));
                }
            });
        }
    });
    for notice in 0..2000 {
        pair.a.notify(&name("b"), notice);
    }
    wait_until("2000 notices", || {
        pair.handler.notices.lock().unwrap().len() == 2000
    });
    let notices = pair.handler.notices.lock().unwrap().clone();
    assert_eq!(notices, (0..2000).collect::<Vec<u64>>());
    pair.stop();
}

/// Guards against calls that take longer than one exchange being run again or cancelled.
#[test]
fn call_slow_handler() {
    let pair = pair(|_| {});
    assert_eq!(pair.call(Action::Sleep(3000)).unwrap(), "slept");
    assert_eq!(pair.handler.calls.load(Ordering::SeqCst), 1);
    let error = pair
        .a
        .call(&name("b"), Action::Sleep(2000), Duration::from_millis(300))
        .unwrap_err();
    assert_eq!((error.step, error.may_have_run), (Step::Wait, true));
    pair.stop();
}

/// Guards against a handler panic that stops the server or is reported as a call that was not run.
#[test]
fn call_handler_panic() {
    let pair = pair(|_| {});
    let error = pair.call(Action::Panic).unwrap_err();
    assert_eq!((error.step, error.may_have_run), (Step::Handle, true));
    assert_eq!(pair.call(Action::Say("x".into())).unwrap(), "a:x");
    pair.stop();
}

/// Guards against bodies beyond the size limit on either side, and against a limit that is lower than documented
/// because bodies are escaped in the frame.
#[test]
fn call_oversized_body() {
    let pair = pair(|config| config.limits.max_body_bytes = 100_000);
    let error = pair.call(Action::Say("x".repeat(9 << 20))).unwrap_err();
    assert_eq!((error.step, error.may_have_run), (Step::Encode, false));
    let error = pair.call(Action::Repeat(100_000)).unwrap_err();
    assert_eq!((error.step, error.may_have_run), (Step::Handle, true));
    assert_eq!(pair.call(Action::Repeat(49_000)).unwrap().len(), 49_000);
    // The server closes the connection on a body that only exceeds its own limit.
    assert!(pair.call(Action::Say("x".repeat(1 << 20))).is_err());
    assert_eq!(pair.call(Action::Say("x".into())).unwrap(), "a:x");
    pair.stop();
}

/// Guards against more concurrent handlers than the limit, and against refused calls that run anyway.
#[test]
fn call_bounded_handlers() {
    let pair = pair(|config| {
        config.limits.max_running_calls = 2;
        config.limits.max_waiting_calls = 4;
    });
    let (mut done, mut refused) = (0, 0);
    std::thread::scope(|scope| {
        let call = || pair.call(Action::Sleep(500));
        let callers: Vec<_> = (0..20).map(|_| scope.spawn(call)).collect();
        for caller in callers {
            match caller.join().unwrap() {
                Ok(_) => done += 1,
                Err(error) => {
                    assert_eq!((error.step, error.may_have_run), (Step::Admit, false));
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

/// Guards against callers that wait until their timeout, or forever, when this instance stops.
#[test]
fn stop_during_call() {
    let pair = pair(|_| {});
    let client = pair.a.client();
    let caller =
        std::thread::spawn(move || client.call(&name("b"), Action::Sleep(1000), TEST_TIMEOUT));
    wait_until("the handler to run", || {
        pair.handler.calls.load(Ordering::SeqCst) == 1
    });
    pair.a.stop();
    let error = caller.join().unwrap().unwrap_err();
    assert_eq!((error.step, error.may_have_run), (Step::Stop, true));
    pair.b.stop();
}

/// Guards against a call to an unreachable or unknown peer that counts as sent.
#[test]
fn call_unreachable_peer() {
    let (listener, address) = listen();
    drop(listener);
    let (listen_a, _) = listen();
    let handle_a = start(
        config("a", key(1), listen_a, &[("b", address)]),
        Default::default(),
    );
    let handle_a: Handle<Echo> = handle_a.unwrap();
    let call = |to: &str| {
        handle_a
            .call(&name(to), Action::Panic, TEST_TIMEOUT)
            .unwrap_err()
    };
    let (error, unknown) = (call("b"), call("c"));
    assert_eq!((error.step, error.may_have_run), (Step::Connect, false));
    assert_eq!((unknown.step, unknown.may_have_run), (Step::Resolve, false));
    handle_a.stop();
}

/// Guards against queues that grow without bound for a peer that is down, and against losing the newest notices.
#[test]
fn notify_bounded_queue() {
    let (listener, address) = listen();
    drop(listener);
    let (listen_a, address_a) = listen();
    let mut config_a = config("a", key(1), listen_a, &[("b", address)]);
    config_a.limits.max_queued_notices = 100;
    config_a.limits.max_batch_notices = 10;
    let a: Handle<Echo> = start(config_a, Default::default()).unwrap();
    for notice in 0..1000 {
        a.notify(&name("b"), notice);
    }
    let handler = std::sync::Arc::new(Echo::default());
    let listener = std::net::TcpListener::bind(address).unwrap();
    let b = start(
        config("b", key(1), listener, &[("a", address_a)]),
        handler.clone(),
    )
    .unwrap();
    wait_until("the newest notice", || {
        handler.notices.lock().unwrap().last() == Some(&999)
    });
    let notices = handler.notices.lock().unwrap().clone();
    assert!(notices.is_sorted(), "{notices:?}");
    // The queue of 100, and a batch of 10 that was taken from it before.
    assert!(
        notices.len() <= 110,
        "{} notices of a queue of 100",
        notices.len()
    );
    a.stop();
    b.stop();
}
