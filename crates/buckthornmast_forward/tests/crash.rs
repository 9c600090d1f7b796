//! Requests that crash the targets which answer them.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "helpers of tests may panic"
)]

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test uses a part of the fleet")]
mod fleet;

use buckthornmast_forward::mapping::{Generation, PromptPart};
use buckthornmast_routes::document::Kind;
use fleet::{Fleet, Step, block_on, event, route, stream_head};

/// Answers a request, or crashes if it has the part 7.
fn crash_on_part(head: &str) -> Vec<Step> {
    let parts = head.lines().find_map(|line| line.strip_prefix("x-parts: "));
    let is_deadly = parts.unwrap().split(',').any(|part| part == "7");
    let mut steps = vec![stream_head()];
    if is_deadly {
        steps.push(Step::Crash);
    } else {
        steps.extend((1..=8).map(event));
    }
    steps
}

/// Starts targets that crash on the part 7, and have answered on the part 1.
async fn start(targets: u64) -> Fleet {
    let fleet = Fleet::start(route(), targets).await;
    fleet.play.answer.set(Some(crash_on_part));
    assert!(fleet.call("1,100").await.contains("data: e8"));
    fleet.play.requests.borrow_mut().clear();
    fleet
}

/// Guards against requests with one prompt part that crash one target after the other.
#[test]
fn crash_by_part() {
    block_on(async {
        let fleet = start(8).await;
        for own in 200..210 {
            fleet.call(&format!("1,7,{own}")).await;
        }
        assert!(fleet.arrived() <= 2, "{} targets ended", fleet.arrived());
        assert!(fleet.call("1,300").await.contains("data: e8"));
    });
}

/// Guards against one request that is sent to one target after the other and crashes each.
#[test]
fn crash_by_retries() {
    block_on(async {
        let fleet = start(4).await;
        let answer = fleet.call("1,7,200").await;
        // The target may have run the request.
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer:?}");
        assert_eq!(fleet.arrived(), 1);
    });
}

/// Answers a request as a whole, or crashes in the middle of the answer if it has the part 7.
fn crash_in_body(head: &str) -> Vec<Step> {
    let is_deadly = crash_on_part(head)
        .iter()
        .any(|step| matches!(step, Step::Crash));
    let body = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf";
    let rest = if is_deadly {
        Step::Crash
    } else {
        Step::Send("half".to_owned())
    };
    vec![Step::Send(body.to_owned()), rest]
}

/// Guards against whole answers whose requests aren't suspected, and are sent to one target after the other.
#[test]
fn crash_in_whole_answer() {
    block_on(async {
        let mut whole = route();
        whole.kind = Kind::Idempotent;
        let fleet = Fleet::start(whole, 8).await;
        fleet.play.answer.set(Some(crash_in_body));
        assert!(fleet.call("1,100").await.ends_with("halfhalf"));
        fleet.play.requests.borrow_mut().clear();
        for own in 200..210 {
            fleet.call(&format!("1,7,{own}")).await;
        }
        assert!(fleet.arrived() <= 2, "{} targets ended", fleet.arrived());
        assert!(fleet.call("1,300").await.ends_with("halfhalf"));
    });
}

/// Guards against a prompt of thousands of parts, whose comparison with other suspects would stop an instance for seconds.
#[test]
fn quarantine_parts_bounded() {
    let parts = (0..3000).map(|id| PromptPart { id, tokens: 1 });
    let generation = Generation {
        model: "m1".parse().unwrap(),
        adapter: None,
        prompt_tokens: 3000,
        answer_tokens: 10,
        parts: parts.collect(),
    };
    let service = "engines".parse().unwrap();
    assert_eq!(generation.quarantine_parts(&service).len(), 64);
}
