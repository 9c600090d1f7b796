//! Requests to targets that take requests at a limited rate only.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "helpers of tests may panic"
)]

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test uses a part of the fleet")]
mod fleet;

use std::time::Duration;

use buckthornmast_limit::{
    account::Answer,
    statement::{Grant, Key, Statement},
};
use buckthornmast_routes::document::{Kind, Route};
use buckthornmast_types::{id, time::Point};
use fleet::{Fleet, Step, block_on, bytes, event, route, stream_head, whole_head};

fn whole_route() -> Route {
    Route {
        kind: Kind::Idempotent,
        ..route()
    }
}

fn limited_answer() -> Vec<Step> {
    vec![bytes(
        "HTTP/1.1 200 OK\r\nX-Limit: 0.5\r\nContent-Length: 2\r\n\r\nok",
    )]
}

fn limited_stream(_: &str) -> Vec<Step> {
    let head = "HTTP/1.1 200 OK\r\nX-Limit: 0.5\r\nContent-Type: text/event-stream\r\n\r\n";
    let mut steps = vec![bytes(head)];
    steps.extend((1..=8).map(event));
    steps
}

fn plain_stream(_: &str) -> Vec<Step> {
    let mut steps = vec![stream_head()];
    steps.extend((1..=8).map(event));
    steps
}

/// Returns the target that has stated a limit.
fn limited_key(fleet: &Fleet) -> Key {
    let reports = fleet.forwarder.supply.reports.borrow();
    reports.first().unwrap().key.clone()
}

fn grant(fleet: &Fleet) {
    let grant = Grant {
        term: id::Term(1),
        at: Point::ZERO,
        wait: Duration::ZERO,
    };
    let answer = Answer::Granted(limited_key(fleet), grant);
    fleet.forwarder.supply.grant.replace(Some(answer));
}

/// Guards against requests to a target with a limit that the leader has not granted, and against callers that wait for it
/// until their deadline.
#[test]
fn request_without_grant() {
    block_on(async {
        let fleet = Fleet::start(route(), 1).await;
        fleet.play.answer.set(Some(limited_stream));
        assert!(fleet.call("1,2").await.contains("data: e8"));
        let refused = Answer::Refused(Duration::from_secs(3));
        fleet.forwarder.supply.grant.replace(Some(refused));
        for _ in 0..5 {
            let answer = fleet.call("1,3").await;
            assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
            assert!(
                answer.to_ascii_lowercase().contains("retry-after: 3.00"),
                "{answer:?}"
            );
        }
        assert_eq!(fleet.arrived(), 1);
        grant(&fleet);
        assert!(fleet.call("1,4").await.contains("data: e8"));
        assert_eq!(fleet.arrived(), 2);
    });
}

/// Guards against an account that learns nothing of the answers to requests that it has granted.
#[test]
fn report_of_granted_request() {
    block_on(async {
        let fleet = Fleet::start(route(), 1).await;
        fleet.play.answer.set(Some(limited_stream));
        fleet.call("1,2").await;
        grant(&fleet);
        fleet.call("1,3").await;
        fleet.play.answer.set(Some(plain_stream));
        fleet.call("1,4").await;
        let reports = fleet.forwarder.supply.reports.borrow();
        let statements: Vec<(Statement, bool)> = reports
            .iter()
            .map(|report| (report.statement, report.grant.is_some()))
            .collect();
        let limited = Statement::Limited("0.5".parse().unwrap());
        let expected = [
            (limited, false),
            (limited, true),
            (Statement::Unlimited, true),
        ];
        assert_eq!(statements, expected);
    });
}

/// Guards against the loss of a target's own answer, because the only other target has a limit and no grant is given.
#[test]
fn error_answer_beside_limit() {
    block_on(async {
        let fleet = Fleet::start(whole_route(), 2).await;
        fleet.script(limited_answer());
        assert!(fleet.call("1,2").await.ends_with("ok"));
        let refused = Answer::Refused(Duration::from_secs(3));
        fleet.forwarder.supply.grant.replace(Some(refused));
        fleet.script([whole_head(500, Some(6)), bytes("broken")]);
        let answer = fleet.call("1,3").await;
        assert!(answer.starts_with("HTTP/1.1 500"), "{answer:?}");
        assert!(answer.ends_with("broken"), "{answer:?}");
        assert_eq!(fleet.arrived(), 2);
    });
}

/// Guards against a stream that is cut because its only other target has a limit and grants take time.
#[test]
fn stream_waits_for_grant() {
    block_on(async {
        let fleet = Fleet::start(route(), 2).await;
        fleet.script(limited_stream(""));
        assert!(fleet.call("1,2").await.contains("data: e8"));
        let refused = Answer::Refused(Duration::from_millis(100));
        fleet.forwarder.supply.grant.replace(Some(refused));
        fleet.script([stream_head(), event(1), event(2), Step::Reset]);
        fleet.script([stream_head(), event(3), event(4)]);
        let later = async {
            while fleet.arrived() < 2 {
                tokio::task::yield_now().await;
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
            grant(&fleet);
        };
        let (answer, ()) = tokio::join!(fleet.call("1,3"), later);
        assert!(answer.contains("data: e4"), "{answer:?}");
        assert_eq!(fleet.arrived(), 3);
    });
}
