//! Sizes of the messages about limits of targets.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use buckthornmast_limit::{
    account::{Answer, Request},
    statement::{Grant, Key, Notice, Report, Statement},
};
use buckthornmast_node::message::{Downstream, Upstream};
use buckthornmast_types::{id, rate::Rate, time::Point};

fn key() -> Key {
    (
        "i-449d4895".parse().unwrap(),
        id::Incarnation(1_786_316_064_009),
    )
}

#[test]
fn message_sizes() {
    let rate = Rate::per_second(2.1).unwrap();
    let grant = Grant {
        term: id::Term(3),
        at: Point::from_millis(86_400_000),
        wait: Duration::from_millis(500),
    };
    let request = Request {
        candidates: [key(), key()].into_iter().collect(),
        max_wait: Duration::from_secs(2),
        priority: 1,
        has_alternative: false,
    };
    let report = Report {
        key: key(),
        statement: Statement::Limited(rate),
        age: Duration::ZERO,
        grant: Some(grant),
    };
    let notice = Notice {
        key: key(),
        limit: Some(rate),
    };
    let size = |message: Vec<u8>| message.len();
    let request = size(
        postcard::to_stdvec(&Upstream::GrantRequest {
            number: 100_000,
            request,
        })
        .unwrap(),
    );
    let report = size(postcard::to_stdvec(&Upstream::Limit(report)).unwrap());
    let answer = Answer::Granted(key(), grant);
    let answer = size(
        postcard::to_stdvec(&Downstream::Grant {
            number: 100_000,
            answer,
        })
        .unwrap(),
    );
    let one = size(postcard::to_stdvec(&Downstream::Limits(vec![notice.clone()])).unwrap());
    let all = size(postcard::to_stdvec(&Downstream::Limits(vec![notice; 210])).unwrap());
    println!(
        "request {request}, report {report}, answer {answer}, one limit {one}, 210 limits {all}"
    );
    assert!(request <= 64 && report <= 64 && answer <= 64 && one <= 32 && all <= 8192);
}
