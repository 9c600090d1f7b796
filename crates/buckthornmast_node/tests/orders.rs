//! Orders and queries to targets whose answers end early or never end.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "helpers of tests may panic"
)]

#[path = "support/targets.rs"]
mod targets;

use std::time::Duration;

use buckthornmast_node::orders::Orders;
use buckthornmast_supply::order::Outcome;
use buckthornmast_types::time::System;
use targets::{End, Plain, block_on, query, send};

/// Asserts that neither an order nor a query counts as answered.
async fn assert_unanswered(answer: &'static str, end: End) {
    let orders = Orders::new(Plain, System::start());
    let outcome = send(&orders, answer, end).await;
    assert_eq!(outcome, Outcome::Unknown, "{answer:?} {end:?}");
    assert_eq!(
        query(&orders, answer, end).await,
        None,
        "{answer:?} {end:?}"
    );
}

const CHUNKED: &str = "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Answers that have no end, each with the piece that follows over and over.
const ENDLESS: [(&str, &str); 9] = [
    ("HTTP/1.1 202 ", "a"),
    ("HTTP/1.1 202 Accepted\r\nX: ", "a"),
    ("HTTP/1.1 202 Accepted\r\n", "X: a\r\n"),
    ("HTTP/1.1 102 P\r\n\r\n", "HTTP/1.1 102 P\r\n\r\n"),
    ("", "7"),
    ("HTTP/1.1 202 Accepted\r\n\r\n", "7"),
    (CHUNKED, "1\r\n7\r\n"),
    (
        "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n7\r\n0\r\n",
        "X: a\r\n",
    ),
    ("HTTP/1.1 500 Error\r\n\r\n", "7"),
];

/// Guards against an order that counts as accepted or as never sent, or a report that counts, though its answer is not
/// whole.
#[test]
fn exchange_partial() {
    for answer in [
        "",
        "HTTP/1.1 202 Acc",
        "HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\n7",
        "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n7\r\n",
    ] {
        for end in [End::Close, End::Hang] {
            block_on(assert_unanswered(answer, end));
        }
    }
}

/// Heads of answers without a body of their own, whose parts must not pass for the whole.
const HEADS: [&str; 3] = [
    "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\nX: a\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nX: a\r\n\r\nHTTP/1.1 202 Accepted\r\nConnection: close\r\n\r\n",
];

/// Guards against an order that counts as accepted, or a report that counts, though its answer was cut within its head.
#[test]
fn exchange_cut_head() {
    for head in HEADS {
        // All but the last byte of the empty line at the end.
        for length in 0..head.len() {
            block_on(assert_unanswered(&head[..length], End::Close));
        }
    }
}

/// Guards against an answer that is refused because only the end of its connection ends it.
#[test]
fn exchange_until_close() {
    block_on(async {
        let orders = Orders::new(Plain, System::start());
        let answer = "HTTP/1.1 202 Accepted\r\n\r\n7";
        assert_eq!(send(&orders, answer, End::Close).await, Outcome::Accepted);
        assert_eq!(query(&orders, answer, End::Close).await, Some(7));
    });
}

/// Guards against bytes without end that hold an order or a query, or its target, for ever.
#[test]
fn exchange_endless() {
    block_on(async {
        for (answer, piece) in ENDLESS {
            let end = End::Endless(piece, Duration::ZERO);
            assert_unanswered(answer, end).await;
        }
        // The slow ones all take as long as the time limit.
        let slow = ENDLESS.map(|(answer, piece)| {
            let end = End::Endless(piece, Duration::from_millis(20));
            tokio::task::spawn_local(assert_unanswered(answer, end))
        });
        for call in slow {
            call.await.unwrap();
        }
    });
}
