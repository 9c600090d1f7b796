//! Graceful stop under load, over real processes.

#![expect(
    clippy::unwrap_used,
    reason = "a test ends if a part of it can't go on"
)]

#[path = "support/press.rs"]
mod press;
#[path = "support/watch.rs"]
mod watch;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use buckthornmast_trial::prelude::*;
use buckthornmast_types::id;

const STREAMS: usize = 200;
const TOKENS: u32 = 120;
const ORDERS: u64 = 8;
const PROMPT: &str = "for the record";

/// Returns the number of orders that a plain service has run.
fn runs(cluster: &Cluster, target: usize) -> u64 {
    watch::engine(cluster, target)["plain"]["total"]
        .as_u64()
        .unwrap()
}

/// Guards against a stop that aborts streams or callers' orders in progress, exits with a failure, or closes the port
/// before the load balancer can notice.
#[test]
fn terminate_under_load() {
    let mut cluster = press::start(&press::THREE);
    let engines = [("e1", "north"), ("e2", "north")];
    cluster.add_engines(&engines, &["--slots", "256"]).unwrap();
    let counter = cluster
        .add_plain_service("counter", "north", &["--call-time", "2500ms"])
        .unwrap();
    let port = cluster.instances[0].ports.callers;
    cluster.wait_for_model(0, "proof-reader");
    wait_for("an accepted order", || {
        (caller::post_order(port, id::Key::generate(), "LP 1").status == 200).then_some(())
    });
    let begun = Arc::new(AtomicUsize::new(0));
    let streams: Vec<_> = (0..STREAMS)
        .map(|_| {
            let begun = Arc::clone(&begun);
            thread::spawn(move || {
                stream::follow(port, "proof-reader", PROMPT, TOKENS, |count| {
                    begun.fetch_add(usize::from(count == 1), Ordering::Relaxed);
                })
            })
        })
        .collect();
    wait_for("the first token of all streams", || {
        (begun.load(Ordering::Relaxed) == STREAMS).then_some(())
    });
    let before = runs(&cluster, counter);
    let orders: Vec<_> = (0..ORDERS)
        .map(|_| thread::spawn(move || caller::post_order(port, id::Key::generate(), "LP 2")))
        .collect();
    wait_for("the runs of all orders", || {
        (runs(&cluster, counter) == before + ORDERS).then_some(())
    });
    cluster.signal(0, "TERM").unwrap();
    let first_change = wait_for("a change of readiness", || {
        let status = caller::get(port, "/readyz").status;
        (status != 200).then_some(status)
    });
    assert_eq!(
        first_change, 503,
        "the port was closed before /readyz changed"
    );
    let expected = stream::expected_tokens(PROMPT, TOKENS);
    for stream in streams {
        let stream = stream.join().unwrap();
        assert!(stream.is_complete, "{:?}", stream.error);
        assert_eq!(stream.tokens, expected);
    }
    for order in orders {
        let answer = order.join().unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text);
    }
    let process = cluster.instances[0].process.as_mut().unwrap();
    let ended = process.wait().unwrap();
    assert_eq!(ended.code(), Some(0), "{ended}");
    let counters = watch::engine(&cluster, counter);
    assert_eq!(counters["repeated"], 0, "{counters}");
    // The other instances keep serving; the pause covers a request that the stopped instance routed.
    thread::sleep(Duration::from_millis(100));
    cluster.wait_for_model(2, "proof-reader");
}
