//! Contract of calls and notices over loopback.

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
