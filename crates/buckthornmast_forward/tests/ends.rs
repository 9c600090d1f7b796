//! Answers that end early, and bytes of targets that never end.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "helpers of tests may panic"
)]

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test uses a part of the fleet")]
mod fleet;

use std::time::Duration;

use buckthornmast_routes::document::{Kind, Route};
use fleet::{Fleet, Step, block_on, bytes, event, route, stream_head, whole_head};
use socket2::SockRef;
use tokio::time::sleep;

/// Head of a chunked stream.
const CHUNKED_STREAM: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Head of a chunked answer.
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Pause that makes bytes arrive slowly, though many times before the deadline.
const SLOW: Duration = Duration::from_millis(20);

/// Deadline that ends the answers of targets that send slowly.
const SHORT: Duration = Duration::from_millis(800);

/// Deadline that no test reaches.
const AMPLE: Duration = Duration::from_secs(60);

fn whole_route(kind: Kind, timeout: Duration) -> Route {
    Route {
        kind,
        timeout,
        attempts: 2,
        ..route()
    }
}

fn stream_route(resumable: bool, timeout: Duration) -> Route {
    Route {
        kind: Kind::Stream {
            resumable,
            gap: Duration::from_millis(300),
        },
        timeout,
        ..route()
    }
}

/// Returns the step that sends a text over and over, slowly if there is a pause.
fn flood(text: &str, pause: Duration) -> Step {
    let bytes = if pause.is_zero() { 16 << 10 } else { 64 };
    Step::Flood(text.repeat(bytes / text.len() + 1), pause)
}

fn status(answer: &str) -> &str {
    answer.get(9..12).unwrap_or_default()
}

fn body(answer: &str) -> &str {
    answer.split_once("\r\n\r\n").map_or("", |(_, body)| body)
}

/// Returns whether a chunked answer has its end.
fn is_complete(answer: &str) -> bool {
    answer.ends_with("\r\n0\r\n\r\n")
}

/// Asserts that a failed answer does not state that the request has not run.
fn assert_may_have_run(answer: &str, case: &str) {
    assert!(
        matches!(status(answer), "502" | "504"),
        "{case}: {answer:?}"
    );
    assert!(!answer.contains("etry-"), "{case}: {answer:?}");
}

/// Answers that are not whole, each up to the step that ends it.
fn partial_answers() -> Vec<(&'static str, Vec<Step>)> {
    vec![
        (
            "reset without a length",
            vec![whole_head(200, None), bytes("part"), Step::Reset],
        ),
        (
            "shorter than its length",
            vec![whole_head(200, Some(9)), bytes("part")],
        ),
        (
            "reset before its length",
            vec![whole_head(200, Some(9)), bytes("part"), Step::Reset],
        ),
        (
            "closed without its last chunk",
            vec![bytes(CHUNKED), bytes("4\r\npart\r\n")],
        ),
        (
            "closed in a chunk",
            vec![bytes(CHUNKED), bytes("9\r\npart")],
        ),
        (
            "closed in its head",
            vec![bytes("HTTP/1.1 200 OK\r\nContent-Le")],
        ),
        ("no answer", vec![bytes("part\r\n\r\n")]),
        ("closed without a byte", vec![]),
    ]
}

/// Guards against an answer that is refused, or cut, because only the end of its connection ends it.
#[test]
fn whole_without_length() {
    for kind in [Kind::Idempotent, Kind::Once] {
        block_on(async {
            let fleet = Fleet::start(whole_route(kind, AMPLE), 1).await;
            fleet.script([whole_head(200, None), bytes("first "), bytes("last")]);
            let answer = fleet.call("1").await;
            assert_eq!(status(&answer), "200", "{answer:?}");
            assert_eq!(body(&answer), "first last", "{answer:?}");
            assert!(answer.contains("content-length: 10\r\n"), "{answer:?}");
        });
    }
}

/// Guards against a part of an answer that looks whole.
#[test]
fn whole_partial() {
    for (case, steps) in partial_answers() {
        block_on(async {
            let fleet = Fleet::start(whole_route(Kind::Once, AMPLE), 2).await;
            fleet.script(steps.clone());
            assert_may_have_run(&fleet.call("1").await, case);
            assert_eq!(fleet.arrived(), 1, "{case}");
        });
        block_on(async {
            let fleet = Fleet::start(whole_route(Kind::Idempotent, AMPLE), 2).await;
            fleet.script(steps);
            fleet.script([whole_head(200, Some(5)), bytes("whole")]);
            let answer = fleet.call("1").await;
            assert_eq!(status(&answer), "200", "{case}: {answer:?}");
            assert_eq!(body(&answer), "whole", "{case}");
        });
    }
}

/// Guards against bytes behind a whole answer that reach a caller.
#[test]
fn whole_then_more() {
    block_on(async {
        let fleet = Fleet::start(whole_route(Kind::Once, AMPLE), 1).await;
        let more = Step::Flood("more".to_owned(), Duration::ZERO);
        fleet.script([whole_head(200, Some(5)), bytes("whole"), more]);
        let answer = fleet.call("1").await;
        assert_eq!(body(&answer), "whole", "{answer:?}");
        fleet.wait_closed(1).await;
    });
}

/// Guards against a stream without a length or chunks that is taken as broken off at its regular end.
#[test]
fn stream_without_length() {
    block_on(async {
        let fleet = Fleet::start(stream_route(false, AMPLE), 1).await;
        fleet.script([stream_head(), event(1), event(2)]);
        let answer = fleet.call("1").await;
        assert!(
            answer.contains("data: e2\n") && is_complete(&answer),
            "{answer:?}"
        );
    });
}

/// Ends of streams that are not whole, after their first event.
fn stream_ends() -> Vec<(&'static str, Vec<Step>)> {
    let chunk = |text: &str| bytes(&format!("{:x}\r\n{text}\r\n", text.len()));
    let first = "id: 1\ndata: e1\n\n";
    vec![
        (
            "closed in an event",
            vec![stream_head(), event(1), bytes("id: 2\nda")],
        ),
        (
            "closed between the lines of an event",
            vec![stream_head(), event(1), bytes("id: 2\ndata: e2\n")],
        ),
        ("reset", vec![stream_head(), event(1), Step::Reset]),
        (
            "reset in an event",
            vec![stream_head(), event(1), bytes("id: 2\nda"), Step::Reset],
        ),
        (
            "shorter than its length",
            vec![whole_head(200, Some(40)), event(1)],
        ),
        (
            "closed without its last chunk",
            vec![bytes(CHUNKED_STREAM), chunk(first)],
        ),
        (
            "closed in a chunk",
            vec![bytes(CHUNKED_STREAM), chunk(first), bytes("20\r\nid: 2")],
        ),
        (
            "last chunk in an event",
            vec![
                bytes(CHUNKED_STREAM),
                chunk(first),
                chunk("id: 2\nda"),
                bytes("0\r\n\r\n"),
            ],
        ),
    ]
}

/// Guards against a stream that was broken off and looks complete.
#[test]
fn stream_partial() {
    for (case, steps) in stream_ends() {
        block_on(async {
            let fleet = Fleet::start(stream_route(false, AMPLE), 2).await;
            fleet.script(steps.clone());
            let answer = fleet.call("1").await;
            assert!(!is_complete(&answer), "{case}: {answer:?}");
            assert!(!answer.contains("id: 2"), "{case}: {answer:?}");
            assert_eq!(fleet.arrived(), 1, "{case}");
        });
        block_on(async {
            let fleet = Fleet::start(stream_route(true, AMPLE), 2).await;
            fleet.script(steps);
            fleet.script([stream_head(), event(2), event(3)]);
            let answer = fleet.call("1").await;
            assert!(is_complete(&answer), "{case}: {answer:?}");
            for number in 1..=3 {
                let event = format!("data: e{number}\n");
                assert_eq!(answer.matches(&event).count(), 1, "{case}: {answer:?}");
            }
        });
    }
}

/// Guards against a stream without a single event that looks complete, and against a target that crashes in this way.
#[test]
fn stream_without_event() {
    for end in [None, Some(Step::Crash)] {
        block_on(async {
            let fleet = Fleet::start(stream_route(true, AMPLE), 2).await;
            fleet.script([stream_head()].into_iter().chain(end.clone()));
            fleet.script([stream_head(), event(1), event(2)]);
            let answer = fleet.call("1").await;
            assert!(is_complete(&answer), "{answer:?}");
            assert!(answer.contains("data: e2\n"), "{answer:?}");
        });
        block_on(async {
            let fleet = Fleet::start(stream_route(false, AMPLE), 2).await;
            fleet.script([stream_head()].into_iter().chain(end));
            assert_may_have_run(&fleet.call("1").await, "without an event");
        });
    }
}

/// Bytes without end that begin an answer, each with the pause after its repeated part.
fn endless_heads() -> Vec<(&'static str, Vec<Step>)> {
    let mut cases = Vec::new();
    for pause in [Duration::ZERO, SLOW] {
        let flood = |text: &str| flood(text, pause);
        cases.extend([
            ("status line", vec![bytes("HTTP/1.1 200 "), flood("a")]),
            ("header", vec![bytes("HTTP/1.1 200 OK\r\nX: "), flood("a")]),
            (
                "headers",
                vec![bytes("HTTP/1.1 200 OK\r\n"), flood("X: a\r\n")],
            ),
            ("no head", vec![flood("noise ")]),
            ("empty lines", vec![flood("\r\n")]),
            (
                "informational answers",
                vec![flood("HTTP/1.1 102 Processing\r\n\r\n")],
            ),
        ]);
    }
    cases
}

/// Bytes without end in the body of an answer with this status.
fn endless_bodies(status: u16) -> Vec<(&'static str, Vec<Step>)> {
    let mut cases = Vec::new();
    let chunked = format!("HTTP/1.1 {status} Status\r\nTransfer-Encoding: chunked\r\n\r\n");
    for pause in [Duration::ZERO, SLOW] {
        let flood = |text: &str| flood(text, pause);
        cases.extend([
            ("body", vec![whole_head(status, None), flood("a")]),
            ("chunks", vec![bytes(&chunked), flood("1\r\na\r\n")]),
            (
                "chunk extension",
                vec![bytes(&chunked), bytes("1;"), flood("a")],
            ),
            (
                "trailers",
                vec![bytes(&chunked), bytes("1\r\na\r\n0\r\n"), flood("X: a\r\n")],
            ),
            (
                "trailer",
                vec![bytes(&chunked), bytes("1\r\na\r\n0\r\nX: "), flood("a")],
            ),
        ]);
    }
    cases
}

/// Guards against bytes without end in the head of an answer that hold a request, or its target, for ever.
#[test]
fn head_endless() {
    for (case, steps) in endless_heads() {
        for route in [whole_route(Kind::Once, SHORT), stream_route(false, SHORT)] {
            block_on(async {
                let fleet = Fleet::start(route, 1).await;
                fleet.script(steps.clone());
                assert_may_have_run(&fleet.call("1").await, case);
                fleet.wait_closed(1).await;
            });
        }
    }
}

/// Guards against a body without end that looks whole, or holds its target for ever.
#[test]
fn body_endless() {
    for (case, steps) in endless_bodies(200) {
        block_on(async {
            let fleet = Fleet::start(whole_route(Kind::Once, SHORT), 1).await;
            fleet.script(steps);
            let answer = fleet.call("1").await;
            assert!(
                matches!(status(&answer), "502" | "504") || !is_complete(&answer),
                "{case}: {:?}",
                answer.get(..200)
            );
            fleet.wait_closed(1).await;
        });
    }
}

/// Guards against an error answer without end that holds its target for ever, or is returned in part.
#[test]
fn error_endless() {
    for (case, steps) in endless_bodies(500) {
        block_on(async {
            let fleet = Fleet::start(whole_route(Kind::Once, SHORT), 1).await;
            fleet.script(steps.clone());
            assert_may_have_run(&fleet.call("1").await, case);
            fleet.wait_closed(1).await;
        });
        block_on(async {
            let fleet = Fleet::start(stream_route(false, SHORT), 1).await;
            fleet.script(steps);
            assert_may_have_run(&fleet.call("1").await, case);
            fleet.wait_closed(1).await;
        });
    }
}

/// Returns the bytes without end that follow the first event of a stream, and say nothing new.
fn endless_streams(pause: Duration) -> Vec<(&'static str, Vec<Step>)> {
    let flood = |text: &str| flood(text, pause);
    let last = "11\r\nid: 1\ndata: e1\n\n\r\n0\r\n";
    vec![
        (
            "event",
            vec![stream_head(), event(1), bytes("id: 2\ndata: "), flood("a")],
        ),
        (
            "lines of an event",
            vec![
                stream_head(),
                event(1),
                bytes("id: 2\n"),
                flood("data: a\n"),
            ],
        ),
        (
            "old events",
            vec![stream_head(), event(1), flood("id: 1\ndata: e1\n\n")],
        ),
        (
            "comments",
            vec![stream_head(), event(1), flood(": busy\n\n")],
        ),
        (
            "trailers",
            vec![bytes(CHUNKED_STREAM), bytes(last), flood("X: a\r\n")],
        ),
    ]
}

/// Guards against a stream that bytes without end, which are no new event, keep from its next target.
#[test]
fn stream_endless() {
    for pause in [Duration::ZERO, SLOW] {
        for (case, steps) in endless_streams(pause) {
            block_on(async {
                let fleet = Fleet::start(stream_route(true, AMPLE), 2).await;
                fleet.script(steps);
                fleet.script([stream_head(), event(2)]);
                let answer = fleet.call("1").await;
                let end = answer.len().saturating_sub(200);
                let end = answer.get(end..);
                assert!(is_complete(&answer), "{case} {pause:?}: {end:?}");
                assert_eq!(answer.matches("data: e1\n").count(), 1, "{case}");
                assert_eq!(answer.matches("data: e2\n").count(), 1, "{case}");
                fleet.wait_closed(1).await;
            });
        }
    }
}

/// Guards against bytes without end that hold a stream, which can't be resumed, beyond its deadline.
#[test]
fn stream_endless_alone() {
    for pause in [Duration::ZERO, SLOW] {
        for (case, steps) in endless_streams(pause) {
            block_on(async {
                let fleet = Fleet::start(stream_route(false, SHORT), 1).await;
                fleet.script(steps);
                let answer = fleet.call("1").await;
                assert!(!is_complete(&answer), "{case} {pause:?}");
                fleet.wait_closed(1).await;
            });
        }
    }
}

/// Guards against a stream that holds its target for ever because its caller does not read.
#[test]
fn stream_unread() {
    block_on(async {
        let fleet = Fleet::start(stream_route(false, SHORT), 1).await;
        let comment = format!(": {}\n\n", "a".repeat(16 << 10));
        fleet.script([stream_head(), event(1), flood(&comment, Duration::ZERO)]);
        let caller = fleet.send("1").await;
        // Only what the forwarder holds is to fill up.
        SockRef::from(&caller).set_recv_buffer_size(4096).unwrap();
        // Far longer than an unread connection is kept.
        for _ in 0..1000 {
            sleep(Duration::from_millis(10)).await;
            if fleet.play.closed.get() == 1 {
                break;
            }
        }
        assert_eq!(fleet.play.closed.get(), 1);
        drop(caller);
    });
}

/// Guards against bytes without end before the first event of a stream that hold its target for ever.
#[test]
fn first_event_endless() {
    for pause in [Duration::ZERO, SLOW] {
        let flood = |text: &str| flood(text, pause);
        for (case, steps) in [
            (
                "event",
                vec![stream_head(), bytes("id: 1\ndata: "), flood("a")],
            ),
            (
                "trailers",
                vec![bytes(CHUNKED_STREAM), bytes("0\r\n"), flood("X: a\r\n")],
            ),
        ] {
            block_on(async {
                let fleet = Fleet::start(stream_route(false, SHORT), 1).await;
                fleet.script(steps);
                assert_may_have_run(&fleet.call("1").await, case);
                fleet.wait_closed(1).await;
            });
        }
    }
}
