//! Guard of an instance that forwards requests: which requests are suspected, refused, or sent as a trial.

use std::time::Duration;

use buckthornmast_types::time::Point;

use crate::{
    ledger::{Crash, Evidence, Ledger, Notice, TRIAL_TIME},
    memory::Memory,
    part::{Part, Set},
};

/// Time within which an answer on a part shows that it isn't the cause of a crash. Parts in constant use are answered
/// many times a second.
const FRESH_TIME: Duration = Duration::from_secs(2);

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent.
    Pass,
    /// The request is sent as a trial of quarantined parts.
    Trial,
    /// The request is refused.
    Refuse {
        /// Time until the next trial.
        remaining: Duration,
    },
}

/// Guard of one instance.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Guard {
    ledger: Ledger,
    memory: Memory,
    // Parts that one request may have as a trial, and when this permission ends.
    trial: Option<(Set, Point)>,
}

impl Guard {
    /// Decides whether a request with these shared parts may be sent. A trial is used up by this.
    pub fn check(&mut self, parts: &Set, now: Point) -> Verdict {
        if self.ledger.is_empty() {
            return Verdict::Pass;
        }
        let Some((quarantined, remaining)) = self.ledger.find(parts, now) else {
            return Verdict::Pass;
        };
        let is_trial = self
            .trial
            .as_ref()
            .is_some_and(|(trial, until)| trial == quarantined && now < *until);
        if is_trial {
            self.trial = None;
            return Verdict::Trial;
        }
        Verdict::Refuse { remaining }
    }

    /// Returns whether requests with these shared parts are refused.
    pub fn is_quarantined(&self, parts: &Set) -> bool {
        self.ledger.covers(parts)
    }

    /// Returns the evidence against a request that its target was beginning to answer when it ended, if any of its parts is
    /// suspected.
    pub fn suspect(&self, crash: Crash, parts: &Set, now: Point) -> Option<Evidence> {
        let new: Set = self.unproven(parts).collect();
        let is_stale = new.is_empty();
        let parts = if is_stale {
            let is_fresh = |at: Point| now.since(at) < FRESH_TIME;
            let stale = parts
                .iter()
                .filter(|part| !self.memory.last(*part).is_some_and(is_fresh));
            stale.collect()
        } else {
            new
        };
        (!parts.is_empty()).then_some(Evidence {
            crash,
            parts,
            is_stale,
        })
    }

    /// Returns whether targets have answered on all parts and none of them is blamed for a crash since.
    pub fn is_proven(&self, parts: &Set) -> bool {
        self.unproven(parts).next().is_none() && !self.ledger.blames(parts)
    }

    fn unproven<'a>(&'a self, parts: &'a Set) -> impl Iterator<Item = Part> + 'a {
        parts
            .iter()
            .filter(|part| self.memory.last(*part).is_none())
    }

    /// Returns whether any request is suspected, watched or quarantined as a whole, so that the identity of each matters.
    pub fn blames_requests(&self) -> bool {
        self.ledger.blames_requests()
    }

    /// Returns whether a request must not be repeated at another target after it was lost with one: it was lost with two
    /// targets at least.
    pub fn watches(&self, request: Part) -> bool {
        self.ledger.watches(request)
    }

    /// Records that a target has answered a request, or goes on answering it. Returns whether it was blamed, so that other
    /// instances must learn it.
    pub fn clear_request(&mut self, request: Part) -> bool {
        self.clear(&Set::of(request))
    }

    /// Records evidence. Returns whether the quarantines have changed.
    pub fn record_crash(&mut self, evidence: Evidence, now: Point) -> bool {
        self.ledger.record_crash(evidence, now)
    }

    /// Records that a target goes on answering a request with these parts. Returns whether one of them was blamed, so that
    /// other instances must learn it.
    pub fn record_progress(&mut self, parts: &Set, now: Point) -> bool {
        for part in parts.iter() {
            self.memory.record(part, now);
        }
        self.clear(parts)
    }

    /// Records that another instance knows of an answer on these parts. Returns whether one of them was blamed.
    pub fn merge_progress(&mut self, parts: &Set) -> bool {
        for part in parts.iter().filter(|part| !part.is_request()) {
            if self.memory.last(part).is_none() {
                // The answer may be as old as the memory of that instance.
                self.memory.record(part, Point::ZERO);
            }
        }
        self.clear(parts)
    }

    fn clear(&mut self, parts: &Set) -> bool {
        let is_blamed = self.ledger.blames(parts);
        if is_blamed {
            self.ledger.record_progress(parts);
        }
        is_blamed
    }

    /// Adds quarantines that another instance knows. Returns the parts in them on which targets have answered, which the
    /// other instance must learn.
    pub fn merge(&mut self, notices: &[Notice], now: Point) -> Set {
        let is_refuted = |part: Part, notice: &Notice| {
            let last = self.memory.last(part);
            last.is_some_and(|at| !notice.is_stale || at > now - notice.age)
        };
        let refuted = notices.iter().flat_map(|notice| {
            let parts = notice.parts.iter();
            parts.filter(|part| is_refuted(*part, notice))
        });
        let refuted: Set = refuted.collect();
        self.ledger.merge(notices, now);
        self.ledger.record_progress(&refuted);
        refuted
    }

    /// Permits one request with these parts as a trial.
    pub fn permit_trial(&mut self, parts: Set, now: Point) {
        self.trial = Some((parts, now + TRIAL_TIME));
    }

    /// Returns the quarantines for another instance, without the requests that are only watched.
    pub fn notices_in_force(&self, now: Point) -> Vec<Notice> {
        let mut notices = self.notices(now);
        notices.retain(|notice| !notice.is_watch());
        notices
    }

    /// Returns the quarantines for another instance.
    pub fn notices(&self, now: Point) -> Vec<Notice> {
        self.ledger.notices(now)
    }

    /// Forgets old crashes and quarantines.
    pub fn prune(&mut self, now: Point) {
        self.ledger.prune(now);
    }
}
