//! Whole requests that targets were beginning to answer when they ended.
//!
//! Many sound requests are lost with a target, and some of them with the next one too, since lost requests are repeated at
//! the same time. So one or two crashes say little about a request, and an answer clears it. Only a request that is sent
//! again and again, and never answered, is lost with a third target.

use std::{collections::VecDeque, time::Duration};

use buckthornmast_types::time::Point;

use crate::{
    ledger::Crash,
    part::{Part, Set},
};

/// Time for which a crash counts against a request.
const RETENTION: Duration = Duration::from_secs(300);

/// Number of pairs of a request and a crash that are kept. Older ones are dropped, so that memory stays bounded if each
/// request is new. A target that ends takes as many requests with it as it runs and queues.
const MAX_SUSPICIONS: usize = 1024;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Suspicion {
    at: Point,
    crash: Crash,
    request: Part,
}

/// Requests that were lost with their targets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Register {
    suspicions: VecDeque<Suspicion>,
}

impl Register {
    /// Records that a request was lost with its target. Returns the number of targets that it was lost with, or `None` if
    /// this crash was recorded before: several copies of a request may be lost with one target.
    pub fn record(&mut self, crash: &Crash, request: Part, now: Point) -> Option<usize> {
        self.prune(now);
        let of_request = || {
            let suspicions = self.suspicions.iter();
            suspicions.filter(|known| known.request == request)
        };
        if of_request().any(|known| known.crash == *crash) {
            return None;
        }
        let count = of_request().count() + 1;
        if self.suspicions.len() >= MAX_SUSPICIONS {
            self.suspicions.pop_front();
        }
        self.suspicions.push_back(Suspicion {
            at: now,
            crash: crash.clone(),
            request,
        });
        Some(count)
    }

    /// Returns whether one of these parts is a request that was lost with a target.
    pub fn blames(&self, parts: &Set) -> bool {
        let mut suspicions = self.suspicions.iter();
        suspicions.any(|known| parts.contains(known.request))
    }

    /// Clears requests that were answered.
    pub fn clear(&mut self, parts: &Set) {
        self.suspicions
            .retain(|known| !parts.contains(known.request));
    }

    /// Returns whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspicions.is_empty()
    }

    /// Forgets old crashes.
    pub fn prune(&mut self, now: Point) {
        let is_old = |known: &Suspicion| now.since(known.at) >= RETENTION;
        while self.suspicions.front().is_some_and(is_old) {
            self.suspicions.pop_front();
        }
    }
}
