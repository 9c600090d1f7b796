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

use buckthornmast_forward::body;
use buckthornmast_routes::document::{Kind, Route};
use bytes::Bytes;
use fleet::{Fleet, block_on, bytes, route};

/// Starts a fleet whose answers are no streams.
async fn start_small(kind: Kind) -> Fleet {
    let route = Route {
        kind,
        timeout: Duration::from_secs(60),
        ..route()
    };
    Fleet::start(route, 2).await
}

/// Guards against parts of an answer that pile up for a caller that does not read.
#[test]
fn send_unread() {
    block_on(async {
        let (sender, receiver) = body::channel();
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
