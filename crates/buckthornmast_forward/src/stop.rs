//! Plan of a stop: which requests may still be sent to a target before this instance ends.
//!
//! Designed for requests that are complete late in the grace period, because their bodies were slow or they waited for a
//! place. One that is sent and can't be answered before the end is cut off, and its caller doesn't know whether it ran.
//! So it is sent only if it is expected to end in time, by the time that its route and its target have taken so far, and by
//! that of the requests in progress. Where nothing is known of a route, a request may take up to its time limit. Otherwise
//! it is refused while there is time for that, and comes back at another instance.

use std::{collections::HashMap, time::Duration};

use buckthornmast_routes::document::Route;
use buckthornmast_types::time::Point;
use smallvec::SmallVec;

/// Time before the end by which an answer must have arrived, so that it still reaches its caller.
const DELIVERY_TIME: Duration = Duration::from_millis(300);

/// Times of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Plan {
    /// From when on all requests that still wait for a target are refused.
    pub refuse_at: Point,
    /// When the connections of callers are closed.
    pub ends_at: Point,
}

impl Plan {
    /// Returns the last time at which a request may be sent to a target that is expected to take this time for it. No
    /// request lasts beyond its deadline.
    pub fn latest_dispatch(&self, expected: Duration, deadline: Point) -> Point {
        let last_answer = self.ends_at - DELIVERY_TIME;
        if deadline <= last_answer {
            return self.refuse_at;
        }
        self.refuse_at.min(last_answer - expected)
    }
}

/// Number of answers of a route that its expected time is taken from.
const KNOWN_ANSWERS: usize = 16;

/// Share of these answers that take no longer than the expected time, in percent. The longest of them would have requests
/// refused from the signal on wherever a few take as long as the grace period.
const EXPECTED_PERCENT: usize = 75;

/// Time that a request in progress is expected to take in all, as a multiple of the time that it has taken so far.
const AGE_FACTOR: u32 = 2;

/// Times of the last requests of a route that were answered, and those in progress.
#[derive(Debug, Default)]
struct Recent {
    times: SmallVec<[Duration; KNOWN_ANSWERS]>,
    next: usize,
    // Times at which the requests in progress were sent.
    sent: Vec<Point>,
}

impl Recent {
    fn record(&mut self, total_time: Duration) {
        match self.times.get_mut(self.next) {
            Some(oldest) => *oldest = total_time,
            None => self.times.push(total_time),
        }
        self.next = (self.next + 1) % KNOWN_ANSWERS;
    }

    fn expected(&self, now: Point) -> Duration {
        let ages = self.sent.iter().map(|sent| now.since(*sent) * AGE_FACTOR);
        let slow = ages.filter(|age| self.times.iter().all(|time| age > time));
        let mut times: Vec<Duration> = self.times.iter().copied().chain(slow).collect();
        times.sort_unstable();
        let index = times.len() * EXPECTED_PERCENT / 100;
        times.get(index).copied().unwrap_or_default()
    }
}

/// Time that the requests of each route take, from the dispatch to the end of the answer.
#[derive(Debug, Default)]
pub struct RouteTimes {
    by_route: HashMap<String, Recent>,
}

impl RouteTimes {
    /// Records the time of a request that was answered.
    pub fn record(&mut self, route: &str, total_time: Duration) {
        if let Some(recent) = self.by_route.get_mut(route) {
            return recent.record(total_time);
        }
        let mut recent = Recent::default();
        recent.record(total_time);
        self.by_route.insert(route.to_owned(), recent);
    }

    /// Records that a request is sent to a target.
    pub fn begin(&mut self, route: &str, now: Point) {
        if let Some(recent) = self.by_route.get_mut(route) {
            return recent.sent.push(now);
        }
        let recent = Recent {
            sent: vec![now],
            ..Recent::default()
        };
        self.by_route.insert(route.to_owned(), recent);
    }

    /// Records that a request that was sent at a time has ended, answered or not.
    pub fn end(&mut self, route: &str, sent: Point) {
        if let Some(recent) = self.by_route.get_mut(route)
            && let Some(index) = recent.sent.iter().position(|other| *other == sent)
        {
            recent.sent.swap_remove(index);
        }
    }

    /// Returns the time that most requests of a route take at the most. Before the first answer, that is the objective of the
    /// route.
    pub fn expected(&self, route: &Route, now: Point) -> Duration {
        let recent = self.answered(route);
        recent.map_or(route.objective, |recent| recent.expected(now))
    }

    /// Returns the time that a request of a route is expected to take at the most in a stop. Before the first answer, only the
    /// route's own time limit bounds it.
    pub fn expected_in_stop(&self, route: &Route, now: Point) -> Duration {
        let recent = self.answered(route);
        recent.map_or(route.timeout, |recent| recent.expected(now))
    }

    fn answered(&self, route: &Route) -> Option<&Recent> {
        let recent = self.by_route.get(&route.name);
        recent.filter(|recent| !recent.times.is_empty())
    }

    /// Forgets the routes that don't exist any more.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.by_route.retain(|route, _| exists(route));
    }
}
