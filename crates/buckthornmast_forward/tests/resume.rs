//! Resumption of streams whose target fails or falls silent.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "helpers of tests may panic"
)]

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test uses a part of the fleet")]
mod fleet;

use std::time::Duration;

use buckthornmast_types::time::Clock;
use fleet::{Fleet, Step, block_on, event, route, stream_head};
use tokio::time::sleep;

/// Pause between two events, far shorter than the one after which a stream is resumed.
const PAUSE: Step = Step::Pause(Duration::from_millis(650));

fn assert_complete(answer: &str, events: u64) {
    for number in 1..=events {
        let event = format!("data: e{number}\n");
        assert_eq!(answer.matches(&event).count(), 1, "{answer:?}");
    }
    assert!(answer.ends_with("\r\n0\r\n\r\n"), "{answer:?}");
}

/// Returns a stream that is older than callers wait for a first event, and ends with `end`.
fn long_stream(end: Step) -> Vec<Step> {
    let mut steps = vec![stream_head()];
    for number in 1..=4 {
        steps.extend([event(number), PAUSE]);
    }
    steps.push(end);
    steps
}

/// Guards against a stream that is broken off, with other targets free, because it is older than callers wait for a first
/// event.
#[test]
fn resume_long_stream() {
    for end in [Step::Crash, Step::Hang] {
        block_on(async {
            let fleet = Fleet::start(route(), 2).await;
            fleet.script(long_stream(end.clone()));
            fleet.script([stream_head(), event(5), event(6)]);
            assert_complete(&fleet.call("1,2").await, 6);
            assert!(fleet.play.requests.borrow()[1].contains("x-after: 4\r\n"));
        });
    }
}

/// Guards against a stream that is broken off because this instance stops, although another target could finish it.
#[test]
fn resume_while_stopping() {
    block_on(async {
        let fleet = Fleet::start(route(), 2).await;
        fleet.script([stream_head(), event(1), PAUSE, Step::Crash]);
        fleet.script([stream_head(), event(2)]);
        let stop = async {
            while fleet.arrived() == 0 {
                sleep(Duration::from_millis(1)).await;
            }
            let now = fleet.forwarder.clock.now();
            fleet.forwarder.state.borrow_mut().stop_deadline = Some(now);
        };
        let (answer, ()) = tokio::join!(fleet.call("1,2"), stop);
        assert_complete(&answer, 2);
    });
}
