//! Lease under which an instance honours the keys of its routes in force.
//!
//! The instance asks the leader of the core, and notes when. The leader confirms with a majority that it still leads, and
//! only then answers with the newest version. So that version, and any later one, holds everything that was accepted
//! before the instance asked, however late the answer arrives. The lease is counted from then, and only if the routes in
//! force are at least of that version. It depends neither on the clocks of other instances nor on the time that messages
//! take.
//!
//! All points must come from a clock that counts the time in which the machine is suspended, and that doesn't follow the time
//! of day.

use std::time::Duration;

use buckthornmast_routes::register::Revision;
use buckthornmast_types::time::Point;
use smallvec::SmallVec;

/// Interval between two requests for a confirmation. Several may be lost, or answered by no leader during an election,
/// before the shortest lease ends.
pub const ASK_INTERVAL: Duration = Duration::from_millis(800);

/// Time by which the lease ends before a key that was taken away has to be refused. It covers clocks that run at different
/// speeds, and the time between the last check of a request and its first byte to the target.
pub const MARGIN: Duration = Duration::from_millis(500);

/// Shortest time for which keys that were taken away may work, so that the lease spans several requests.
pub const MIN_BOUND: Duration = Duration::from_secs(3);

/// Longest age of a confirmation at which a key that isn't found is taken to be unknown everywhere. Operators expect a
/// document to be in force about that time after it was accepted. An instance that may be further behind can't tell an
/// unknown key from one that it doesn't know yet.
pub const MAX_CURRENT_AGE: Duration = Duration::from_secs(2);

/// Number of requests that may be open. Answers to earlier ones are of no use any more.
const MAX_OPEN: usize = 12;

/// Newest version at some point, as the leader confirmed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Confirmation {
    asked_at: Point,
    version: Revision,
}

/// Lease of an instance.
#[derive(Debug, Default)]
pub struct Lease {
    // Time for which keys that were taken away may work, if the deployment bounds it.
    bound: Option<Duration>,
    next_number: u64,
    asked_at: Option<Point>,
    open: SmallVec<[(u64, Point); MAX_OPEN]>,
    // Confirmations of versions that aren't in force here yet.
    ahead: SmallVec<[Confirmation; 4]>,
    in_force: Option<Revision>,
    confirmed_at: Option<Point>,
}

impl Lease {
    /// Sets the time for which keys that were taken away may work. Without one, the lease doesn't end.
    pub fn set_bound(&mut self, bound: Option<Duration>) {
        self.bound = bound;
    }

    /// Returns whether it is time to ask for a confirmation.
    pub fn is_due(&self, now: Point) -> bool {
        self.asked_at
            .is_none_or(|asked_at| now < asked_at || now.since(asked_at) >= ASK_INTERVAL)
    }

    /// Records that a confirmation is asked for now, and returns the number of the request.
    pub fn ask(&mut self, now: Point) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        if self.open.len() == MAX_OPEN {
            self.open.remove(0);
        }
        self.open.push((number, now));
        self.asked_at = Some(now);
        number
    }

    /// Records the leader's answer to a request: the newest version at a point after it was sent.
    pub fn confirm(&mut self, number: u64, version: Revision) {
        let Some(index) = self.open.iter().position(|(open, _)| *open == number) else {
            return;
        };
        let (_, asked_at) = self.open.remove(index);
        match self.ahead.iter_mut().find(|ahead| ahead.version == version) {
            // Answers may arrive in another order than the requests were sent in.
            Some(known) => known.asked_at = known.asked_at.max(asked_at),
            None => self.ahead.push(Confirmation { asked_at, version }),
        }
        self.apply();
    }

    /// Records a sign of life of a leader whose build confirms no versions. What is in force here is taken to be the newest.
    pub fn assume_newest(&mut self, now: Point) {
        self.confirmed_at = self.confirmed_at.max(Some(now));
    }

    /// Records the version of the routes in force.
    pub fn set_in_force(&mut self, version: Revision) {
        self.in_force = self.in_force.max(Some(version));
        self.apply();
    }

    fn apply(&mut self) {
        let in_force = self.in_force.unwrap_or_default();
        for confirmation in &self.ahead {
            if confirmation.version <= in_force {
                self.confirmed_at = self.confirmed_at.max(Some(confirmation.asked_at));
            }
        }
        self.ahead
            .retain(|confirmation| confirmation.version > in_force);
    }

    /// Returns the age of the last confirmation of the routes in force. There is none if that point lies ahead, which no
    /// sound clock shows.
    pub fn age(&self, now: Point) -> Option<Duration> {
        let confirmed_at = self.confirmed_at?;
        (confirmed_at <= now).then(|| now.since(confirmed_at))
    }

    /// Returns whether keys of the routes in force may be honoured.
    pub fn permits(&self, now: Point) -> bool {
        let Some(bound) = self.bound else {
            return true;
        };
        let length = bound.saturating_sub(MARGIN);
        self.age(now).is_some_and(|age| age < length)
    }

    /// Returns whether a key that isn't in the routes in force is unknown, rather than not known here yet.
    pub fn is_current(&self, now: Point) -> bool {
        self.age(now).is_some_and(|age| age < MAX_CURRENT_AGE)
    }

    /// Returns whether keys may not be honoured only because nothing has been confirmed since the start.
    pub fn awaits_first(&self) -> bool {
        self.bound.is_some() && self.confirmed_at.is_none()
    }
}
