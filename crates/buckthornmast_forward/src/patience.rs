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

/// Silence in the middle of a stream after which it goes on at another target, as a share of the silence that its
/// caller bears, in percent. Early enough for the caller to stay, late enough not to move a stream that merely
/// waits for the prompts of others to be read.
const GAP_PERCENT: u32 = 60;

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
    of_caller(route).map(|patience| patience * GAP_PERCENT / 100)
}
