//! Streams whose engine freezes or whose caller disconnects, over real processes.

#![expect(
    clippy::unwrap_used,
    reason = "a test ends if a part of it can't go on"
)]

#[path = "support/press.rs"]
mod press;
#[path = "support/watch.rs"]
mod watch;

use std::{
    io::Write,
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use buckthornmast_trial::prelude::*;

const MODEL: &str = "proof-reader";
const PROMPT: &str = "side one track two";
const TOKENS: u32 = 150;

/// Tokens of a request that takes longer than `wait_for` waits, so that its work must be cancelled.
const LONG_TOKENS: u32 = 20_000;

fn running(cluster: &Cluster) -> Vec<u64> {
    let targets = 0..cluster.targets.len();
    targets
        .map(|target| watch::engine(cluster, target)["running"].as_u64().unwrap())
        .collect()
}

fn tokens(cluster: &Cluster) -> u64 {
    let targets = 0..cluster.targets.len();
    targets
        .map(|target| {
            watch::engine(cluster, target)["engine"]["tokens"]
                .as_u64()
                .unwrap()
        })
        .sum()
}

fn start() -> Cluster {
    let mut cluster = press::start(&press::THREE);
    let engines = [("e1", "north"), ("e2", "north")];
    watch::set_policy(&cluster, "static");
    cluster.add_engines(&engines, &[]).unwrap();
    wait_for("two copies", || {
        (watch::ready_at(&cluster, 0, "proof-reader@1").len() == 2).then_some(())
    });
    watch::set_policy(&cluster, "marginal");
    cluster.wait_for_model(0, MODEL);
    cluster
}

/// Guards against a stream that stops with its frozen engine, and against tokens that are missing or duplicated
/// when it resumes on another engine, also after the engine is resumed and sends its delayed tokens.
#[test]
fn engine_frozen_in_mid_stream() {
    let cluster = start();
    let port = cluster.instances[0].ports.callers;
    let count = Arc::new(AtomicUsize::new(0));
    let shared_count = Arc::clone(&count);
    let stream = thread::spawn(move || {
        stream::follow(port, MODEL, PROMPT, TOKENS, |count| {
            shared_count.store(count, Ordering::Relaxed);
        })
    });
    wait_for("some tokens", || {
        (count.load(Ordering::Relaxed) >= 10).then_some(())
    });
    let frozen = running(&cluster).iter().position(|n| *n == 1).unwrap();
    cluster.targets[frozen].process.signal("STOP").unwrap();
    let before = count.load(Ordering::Relaxed);
    wait_for("tokens of the other engine", || {
        (count.load(Ordering::Relaxed) >= before + 40).then_some(())
    });
    cluster.targets[frozen].process.signal("CONT").unwrap();
    let stream = stream.join().unwrap();
    assert!(stream.is_complete, "{:?}", stream.error);
    assert_eq!(stream.tokens, stream::expected_tokens(PROMPT, TOKENS));
    wait_for("the end of all work", || {
        (running(&cluster) == [0, 0]).then_some(())
    });
}

/// Guards against engines that keep working for callers that have disconnected.
#[test]
fn caller_gone() {
    let cluster = start();
    let port = cluster.instances[0].ports.callers;
    let before = tokens(&cluster);
    assert!(stream::abandon(port, MODEL, PROMPT, LONG_TOKENS, 300));
    let body = caller::chat_body(MODEL, PROMPT, LONG_TOKENS, false);
    let mut connection = TcpStream::connect(port).unwrap();
    write!(
        connection,
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nRequest-Timeout-Ms: 600000\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    wait_for("the start of the work", || {
        (tokens(&cluster) > before + 10).then_some(())
    });
    drop(connection);
    wait_for("the end of all work", || {
        (running(&cluster) == [0, 0]).then_some(())
    });
}
