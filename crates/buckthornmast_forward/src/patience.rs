//! How long a caller, and this instance for it, wait for an answer.
//!
//! A request is refused at once when it is known that its caller will have left before the answer begins.

use std::time::Duration;

use buckthornmast_routes::document::{Kind, Route};

/// Shortest time after which callers leave a stream on which nothing arrives.
const LEAVE_AFTER: Duration = Duration::from_secs(2);

/// Multiple of the objective after which callers leave a stream on which nothing arrives, if that is longer.
const LEAVE_OBJECTIVES: u32 = 4;

/// Multiple of the longest pause after which callers leave a stream, if that is longer.
const LEAVE_GAPS: u32 = 8;

/// Share of the objective that a first event may take before another target is tried, in percent.
const FIRST_PERCENT: u32 = 80;

/// Silence in the middle of a stream after which it goes on at another target, in pauses that are on time.
const GAP_MULTIPLE: u32 = 4;

/// Returns the longest silence on a stream that its caller bears; other answers are awaited until the deadline.
pub fn of_caller(route: &Route) -> Option<Duration> {
    let Kind::Stream { gap, .. } = route.kind else {
        return None;
    };
    let by_objective = route.objective * LEAVE_OBJECTIVES;
    Some(LEAVE_AFTER.max(by_objective).max(gap * LEAVE_GAPS))
}

/// Returns the time after which a target that has not begun to answer is given up for another one.
pub fn for_first(route: &Route) -> Duration {
    route.objective * FIRST_PERCENT / 100
}

/// Returns the silence in the middle of a stream after which its target is given up for another one.
pub fn for_next(route: &Route) -> Option<Duration> {
    match route.kind {
        Kind::Stream { gap, .. } => Some(gap * GAP_MULTIPLE),
        Kind::Idempotent | Kind::Once => None,
    }
}
