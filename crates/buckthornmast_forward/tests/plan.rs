//! Requests that may still be sent to a target during a stop.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use arbtest::arbtest;
use buckthornmast_forward::stop::{Plan, RouteTimes};
use buckthornmast_routes::document::{Kind, Route};
use buckthornmast_types::time::Point;

const PLAN: Plan = Plan {
    refuse_at: Point::from_millis(6000),
    ends_at: Point::from_millis(7400),
};

/// Time at which no request is in progress.
const NOW: Point = Point::ZERO;

/// Deadline that is never reached before the end.
const LATE: Point = Point::from_millis(60_000);

fn route(name: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind: Kind::Once,
        services: vec![("engines".parse().unwrap(), 1)],
        timeout: Duration::from_secs(12),
        objective: Duration::from_millis(300),
        attempts: 1,
        priority: 1,
        affinity: false,
        is_public: false,
    }
}

/// Guards against a request that is sent and cut off at the end, and against one that is refused although there is time.
#[test]
fn latest_dispatch_by_expected_time() {
    for (expected, deadline, latest) in [
        (0, LATE, 6000),
        (900, LATE, 6000),
        (3000, LATE, 4100),
        (20_000, LATE, 0),
        // It ends at its deadline, before this instance does.
        (3000, Point::from_millis(7000), 6000),
    ] {
        let dispatch = PLAN.latest_dispatch(Duration::from_millis(expected), deadline);
        assert_eq!(dispatch, Point::from_millis(latest), "{expected} ms");
    }
}

/// Guards against a request that is sent so late that it lasts beyond the end, for any times.
#[test]
fn latest_dispatch_ends_in_time() {
    arbtest(|u| {
        let ends_at = Point::from_millis(u.int_in_range(1500..=60_000)?);
        let plan = Plan {
            refuse_at: ends_at - Duration::from_millis(1400),
            ends_at,
        };
        let expected = Duration::from_millis(u.int_in_range(0..=70_000)?);
        let deadline = Point::from_millis(u.int_in_range(0..=90_000)?);
        let latest = plan.latest_dispatch(expected, deadline);
        let end = (latest + expected).min(deadline);
        assert!(latest <= plan.refuse_at);
        // Nothing is sent before the stop has begun.
        assert!(end < ends_at || latest == Point::ZERO);
        Ok(())
    });
}

/// Guards against a route whose time is taken from another one, or from its objective although it has answered.
#[test]
fn expected_by_route() {
    let mut times = RouteTimes::default();
    let (slow, quick) = (route("slow"), route("quick"));
    assert_eq!(times.expected(&slow, NOW), slow.objective);
    for _ in 0..3 {
        times.record("slow", Duration::from_secs(3));
        times.record("quick", Duration::from_millis(20));
    }
    assert_eq!(times.expected(&slow, NOW), Duration::from_secs(3));
    assert_eq!(times.expected(&quick, NOW), Duration::from_millis(20));
    for _ in 0..16 {
        times.record("slow", Duration::from_secs(1));
    }
    assert_eq!(times.expected(&slow, NOW), Duration::from_secs(1));
    // A few long answers don't make all requests long.
    for _ in 0..4 {
        times.record("quick", Duration::from_secs(8));
    }
    for _ in 0..12 {
        times.record("quick", Duration::from_millis(50));
    }
    assert_eq!(times.expected(&quick, NOW), Duration::from_secs(8));
    times.record("quick", Duration::from_millis(50));
    assert_eq!(times.expected(&quick, NOW), Duration::from_millis(50));
    times.retain(|name| name != "slow");
    assert_eq!(times.expected(&slow, NOW), slow.objective);
}

/// Guards against requests that are sent in a stop as if they took the objective although those in progress have taken longer,
/// or although nothing is known of their route.
#[test]
fn expected_in_stop_by_requests_in_progress() {
    let mut times = RouteTimes::default();
    let slow = route("slow");
    let at = Point::from_millis;
    assert_eq!(times.expected_in_stop(&slow, at(0)), slow.timeout);
    times.begin("slow", at(0));
    assert_eq!(times.expected_in_stop(&slow, at(100)), slow.timeout);
    for _ in 0..16 {
        times.record("slow", Duration::from_millis(50));
    }
    assert_eq!(
        times.expected_in_stop(&slow, at(100)),
        Duration::from_millis(50)
    );
    for _ in 0..8 {
        times.begin("slow", at(0));
    }
    assert_eq!(
        times.expected_in_stop(&slow, at(1000)),
        Duration::from_millis(2000)
    );
    for _ in 0..9 {
        times.end("slow", at(0));
    }
    assert_eq!(
        times.expected_in_stop(&slow, at(1000)),
        Duration::from_millis(50)
    );
}
