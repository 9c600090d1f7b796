//! Maximum time that a caller, and this instance on its behalf, wait for an answer.
//!
//! A request is refused at once when its caller is expected to disconnect before the answer begins.

use std::time::Duration;

use buckthornmast_routes::document::{Kind, Route};

/// Shortest time without an event after which callers close a stream.
const MIN_CALLER_WAIT: Duration = Duration::from_secs(2);

/// Multiple of the objective without an event after which callers close a stream, if that is longer.
const CALLER_WAIT_OBJECTIVES: u32 = 4;

/// Multiple of the longest pause between events after which callers close a stream, if that is longer.
const CALLER_WAIT_GAPS: u32 = 8;

/// Share of the objective within which the first event must arrive before another target is tried, in percent.
const FIRST_EVENT_PERCENT: u32 = 80;

/// Pause within a stream after which it is resumed at another target, as a share of the caller's wait limit, in
/// percent. This is early enough for the caller to stay connected, and late enough not to move a stream that only waits
/// for the prefill of other requests.
const NEXT_EVENT_PERCENT: u32 = 60;

/// Returns the longest time without an event before the caller closes a stream. Other answers have no such limit:
/// callers wait for them until the deadline.
pub fn for_caller(route: &Route) -> Option<Duration> {
    let Kind::Stream { gap, .. } = route.kind else {
        return None;
    };
    let by_objective = route.objective * CALLER_WAIT_OBJECTIVES;
    Some(
        MIN_CALLER_WAIT
            .max(by_objective)
            .max(gap * CALLER_WAIT_GAPS),
    )
}

/// Returns the time after which a target that has not begun to answer is abandoned for another one.
pub fn for_first_event(route: &Route) -> Duration {
    route.objective * FIRST_EVENT_PERCENT / 100
}

/// Returns the pause within a stream after which its target is abandoned for another one.
pub fn for_next_event(route: &Route) -> Option<Duration> {
    for_caller(route).map(|wait_limit| wait_limit * NEXT_EVENT_PERCENT / 100)
}
