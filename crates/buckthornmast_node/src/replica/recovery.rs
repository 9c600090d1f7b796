//! Decides when a replica that has failed is opened again, and which changes of its state are logged.
//!
//! A disk may fail once or for good. The first failure is answered at once; while they go on, the pauses grow, so that a
//! disk that has failed for good costs little.

use std::time::Duration;

use buckthornmast_types::time::Point;

/// Pause between the first two attempts to open a replica that goes on failing.
pub const MIN_PAUSE: Duration = Duration::from_millis(700);

/// Longest pause between two attempts.
pub const MAX_PAUSE: Duration = Duration::from_millis(2800);

/// Time without a failure after which a replica counts as recovered. A sync fails with a write only, and writes may be
/// rare.
pub const STEADY_TIME: Duration = Duration::from_secs(30);

/// What has to be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Nothing.
    Wait,
    /// Open the replica.
    Open {
        /// Whether it was sound before, so that its failure has to be logged.
        is_first: bool,
    },
    /// Log that the replica has recovered.
    Recovered {
        /// Number of attempts to open it.
        attempts: u64,
        /// Time since its first failure.
        lasted: Duration,
    },
}

/// Failures of a replica since it was last sound.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovery {
    attempts: u64,
    since: Point,
    pause: Duration,
    // Time of the next attempt, and of the last observation of a failure.
    retry_at: Point,
    failed_at: Point,
    // Why the last attempt failed.
    error: Option<String>,
}

impl Recovery {
    /// Decides from the state of the replica.
    pub fn observe(&mut self, has_failed: bool, now: Point) -> Action {
        if !has_failed {
            let is_steady = now >= self.failed_at + STEADY_TIME;
            if self.attempts == 0 || !is_steady {
                return Action::Wait;
            }
            let recovered = Action::Recovered {
                attempts: self.attempts,
                lasted: now.since(self.since),
            };
            *self = Self::default();
            return recovered;
        }
        self.failed_at = now;
        if now < self.retry_at {
            return Action::Wait;
        }
        let is_first = self.attempts == 0;
        if is_first {
            self.since = now;
            self.pause = MIN_PAUSE;
        } else {
            self.pause = (self.pause * 2).min(MAX_PAUSE);
        }
        self.attempts += 1;
        self.retry_at = now + self.pause;
        Action::Open { is_first }
    }

    /// Records why an attempt failed, and returns whether that has to be logged: the one before didn't fail in this way.
    pub fn record_error(&mut self, error: String) -> bool {
        let is_new = self.error.as_ref() != Some(&error);
        self.error = Some(error);
        is_new
    }
}
