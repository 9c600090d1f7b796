//! Memory that answers in progress take.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "helpers of tests may panic"
)]

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test uses a part of the fleet")]
mod fleet;

use std::{future::poll_fn, pin::pin, task::Poll, time::Duration};

use buckthornmast_forward::{
    body::{self, Body},
    memory::{Held, Memory, Pieces},
};
use buckthornmast_routes::document::{Kind, Route};
use bytes::Bytes;
use fleet::{Fleet, Step, block_on, bytes, event, route, stream_head, whole_head};
use http_body_util::BodyExt;

/// Memory of a fleet that is full after a few reads.
const SMALL: usize = 64 << 10;

/// Answer that is larger than the memory.
fn large_body() -> String {
    "0123456789abcdef".repeat(SMALL / 4)
}

/// Starts a fleet whose answers that are no streams share a small memory.
async fn start_small(kind: Kind) -> Fleet {
    let route = Route {
        kind,
        timeout: Duration::from_secs(60),
        ..route()
    };
    let fleet = Fleet::start(route, 2).await;
    fleet.forwarder.state.borrow_mut().memory = Memory::new(SMALL);
    fleet
}

/// Guards against answers without end that take more than their memory together, or all that others need.
#[test]
fn share_among_many() {
    const TOTAL: usize = 1 << 20;
    let memory = Memory::new(TOTAL);
    let mut endless: Vec<Held> = (0..50).map(|_| Held::new(&memory)).collect();
    let mut is_full = false;
    while !is_full {
        is_full = true;
        for held in &mut endless {
            is_full &= !held.push(&[b'a'; 512]);
        }
        assert!(memory.used() <= TOTAL);
    }
    let mut sound = Held::new(&memory);
    assert!(sound.push(&[b'a'; TOTAL / 200]));
    drop(endless);
    let sound = sound.into_bytes();
    assert_eq!(memory.used(), TOTAL / 200);
    drop(sound);
    assert_eq!(memory.used(), 0);
}

/// Guards against an answer that is held in pieces and takes all that others need, or loses bytes between them.
#[test]
fn share_pieces() {
    const TOTAL: usize = 1 << 20;
    let memory = Memory::new(TOTAL);
    let mut endless = Pieces::new(&memory);
    let mut pushed = Vec::new();
    let rest = loop {
        let part: Vec<u8> = (0..7001_u32)
            .map(|byte| byte as u8 ^ pushed.len() as u8)
            .collect();
        let rest = endless.push(Bytes::from(part.clone()));
        pushed.extend_from_slice(&part);
        if !rest.is_empty() {
            break rest;
        }
    };
    // It leaves as much as it takes.
    assert!(memory.used() <= TOTAL / 2 && memory.used() >= TOTAL / 2 - (128 << 10));
    let pieces = endless.into_pieces();
    assert!(pieces.iter().all(|piece| piece.len() <= 64 << 10));
    let held: Vec<u8> = pieces.iter().chain([&rest]).flatten().copied().collect();
    assert!(held == pushed);
    drop(pieces);
    assert_eq!(memory.used(), 0);
    assert!(Pieces::new(&memory).into_pieces().is_empty());
}

/// Guards against parts of an answer that pile up for a caller that does not read.
#[test]
fn send_unread() {
    block_on(async {
        let (sender, receiver) = body::channel(&Memory::default());
        let part = Bytes::from(vec![b'a'; 16 << 10]);
        let mut waiting = 0;
        loop {
            let mut send = pin!(sender.send(part.clone()));
            let is_sent = poll_fn(|context| Poll::Ready(send.as_mut().poll(context).is_ready()));
            if !is_sent.await {
                break;
            }
            waiting += part.len();
            assert!(waiting <= 64 << 10, "{waiting} bytes wait");
        }
        drop(receiver);
        assert!(sender.send(part).await.is_err());
    });
}

/// Guards against parts for many callers that do not read and that together take more than the memory, and against a
/// caller that reads but gets nothing more.
#[test]
fn send_unread_many() {
    const PART: usize = 8 << 10;
    block_on(async {
        let memory = Memory::new(SMALL);
        let callers: Vec<_> = (0..20).map(|_| body::channel(&memory)).collect();
        let part = Bytes::from(vec![b'a'; PART]);
        let mut sent = 0;
        for (sender, _) in callers.iter().cycle().take(200) {
            let mut send = pin!(sender.send(part.clone()));
            let is_sent = poll_fn(|context| Poll::Ready(send.as_mut().poll(context).is_ready()));
            sent += usize::from(is_sent.await);
            assert!(memory.used() <= SMALL);
        }
        // Each caller has one part, whether there is memory for it or not.
        assert!((20..=20 + SMALL / PART).contains(&sent), "{sent} parts");
        for (sender, receiver) in callers {
            let reading = tokio::spawn(Body::Parts(receiver).collect());
            sender.send(part.clone()).await.unwrap();
            sender.end().await.unwrap();
            assert!(reading.await.unwrap().unwrap().to_bytes().len() >= 2 * PART);
        }
        assert_eq!(memory.used(), 0);
    });
}

/// Guards against a large answer that is refused, cut or altered although its target sent all of it.
#[test]
fn whole_larger_than_memory() {
    let body = large_body();
    let chunk = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for steps in [
        vec![whole_head(200, Some(body.len())), bytes(&body)],
        vec![whole_head(200, None), bytes(&body)],
        vec![bytes(chunked), bytes(&chunk)],
    ] {
        block_on(async {
            let fleet = start_small(Kind::Once).await;
            fleet.script(steps);
            let answer = fleet.call("1").await;
            let (head, received) = answer.split_once("\r\n\r\n").unwrap();
            assert!(head.starts_with("HTTP/1.1 200 "), "{head:?}");
            if head.contains("content-length") {
                assert!(received == body, "{head:?}");
            } else {
                assert!(received.ends_with("\r\n0\r\n\r\n"), "{head:?}");
                assert!(received.len() > body.len(), "{head:?}");
            }
            assert_eq!(fleet.forwarder.state.borrow().memory.used(), 0);
        });
    }
}

/// Guards against a large answer that was broken off and looks complete, or is sent a second time.
#[test]
fn partial_larger_than_memory() {
    let body = large_body();
    let chunk = format!("{:x}\r\n{body}", body.len() + 1);
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (case, steps) in [
        (
            "shorter than its length",
            vec![whole_head(200, Some(body.len() + 1)), bytes(&body)],
        ),
        (
            "reset",
            vec![whole_head(200, None), bytes(&body), Step::Reset],
        ),
        ("closed in a chunk", vec![bytes(chunked), bytes(&chunk)]),
    ] {
        for kind in [Kind::Once, Kind::Idempotent] {
            block_on(async {
                let fleet = start_small(kind).await;
                fleet.script(steps.clone());
                fleet.script([whole_head(200, Some(5)), bytes("whole")]);
                let answer = fleet.call("1").await;
                let (head, received) = answer.split_once("\r\n\r\n").unwrap_or(("", ""));
                if fleet.arrived() == 2 {
                    // The answer failed before there was no room for it, as a reset discards bytes on their way.
                    assert!(kind == Kind::Idempotent && received == "whole", "{case}");
                } else if head.starts_with("HTTP/1.1 200 ") {
                    let is_short = head.contains("content-length") && received.len() <= body.len();
                    let is_cut = head.contains("chunked") && !received.ends_with("\r\n0\r\n\r\n");
                    assert!(is_short || is_cut, "{case}: {head:?}");
                } else {
                    assert!(head.starts_with("HTTP/1.1 502 "), "{case}: {head:?}");
                }
            });
        }
    }
}

/// Guards against a large error answer that is returned in part.
#[test]
fn error_larger_than_memory() {
    let body = large_body();
    block_on(async {
        let fleet = start_small(Kind::Once).await;
        fleet.script([whole_head(500, Some(body.len())), bytes(&body)]);
        let answer = fleet.call("1").await;
        assert!(answer.starts_with("HTTP/1.1 502 "), "{answer:?}");
        assert!(!answer.contains("etry-"), "{answer:?}");
    });
}

/// Guards against an event without end that takes the memory of the others.
#[test]
fn event_larger_than_memory() {
    block_on(async {
        let fleet = Fleet::start(route(), 2).await;
        fleet.forwarder.state.borrow_mut().memory = Memory::new(SMALL);
        let flood = Step::Flood("a".repeat(4 << 10), Duration::ZERO);
        fleet.script([stream_head(), event(1), bytes("id: 2\ndata: "), flood]);
        fleet.script([stream_head(), event(2)]);
        let answer = fleet.call("1").await;
        assert!(answer.ends_with("\r\n0\r\n\r\n"), "{answer:?}");
        assert_eq!(answer.matches("data: e2\n").count(), 1, "{answer:?}");
        fleet.wait_closed(1).await;
        assert_eq!(fleet.forwarder.state.borrow().memory.used(), 0);
    });
}

/// Guards against heads that take hundreds of kilobytes each.
#[test]
fn head_large() {
    let head = format!("HTTP/1.1 200 OK\r\nX: {}\r\n", "a".repeat(300 << 10));
    block_on(async {
        let fleet = start_small(Kind::Once).await;
        fleet.script([bytes(&head), bytes("Content-Length: 0\r\n\r\n")]);
        let answer = fleet.call("1").await;
        assert!(
            answer.starts_with("HTTP/1.1 502 "),
            "{:?}",
            answer.get(..80)
        );
    });
}

/// Guards against prompts that no target of their service has memory for and that take its time nevertheless.
#[test]
fn prompt_larger_than_targets() {
    block_on(async {
        let fleet = Fleet::start(route(), 2).await;
        // Ten tokens each; targets have memory for 1000.
        let parts = |count: u32| (1..=count).map(|id| id.to_string()).collect::<Vec<_>>();
        let answer = fleet.call(&parts(101).join(",")).await;
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert!(answer.contains("retry-after: "), "{answer}");
        assert_eq!(fleet.arrived(), 0);
        fleet.script(vec![whole_head(500, Some(0))]);
        fleet.script(vec![whole_head(500, Some(0))]);
        fleet.script(vec![whole_head(500, Some(0))]);
        fleet.call(&parts(100).join(",")).await;
        assert!(fleet.arrived() > 0);
    });
}
