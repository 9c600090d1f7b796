//! What targets state about themselves in their answers: that they leave, or that they want no request for some time.
//!
//! Such a statement arrives before any announcement and applies to this instance alone. A target that leaves gets no
//! further request from this instance until a newer incarnation of it is known. A pause ends by itself, and concerns
//! only the target that asked for it, not its model.

use std::{collections::HashMap, time::Duration};

use buckthornmast_types::{id, time::Point};

/// Longest pause that a target can ask for. A longer one is shortened to this.
pub const MAX_PAUSE: Duration = Duration::from_secs(60);

/// Time for which the advisory of a target that nobody announces is retained. Announcements are delayed by seconds at
/// most.
const RETENTION: Duration = Duration::from_secs(300);

/// What a target states about its stay with an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Advice {
    /// Target.
    pub target: id::Target,
    /// Incarnation.
    pub incarnation: id::Incarnation,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// Time for which it wants no request.
    pub pause: Option<Duration>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Advisory {
    is_leaving: bool,
    paused_until: Option<Point>,
    recorded_at: Point,
}

/// Advisories of all targets.
#[derive(Debug, Default)]
pub struct Board {
    advisories: HashMap<(id::Target, id::Incarnation), Advisory>,
}

impl Board {
    fn advisory(&mut self, target: &id::Target, incarnation: id::Incarnation) -> &mut Advisory {
        self.advisories
            .entry((target.clone(), incarnation))
            .or_default()
    }

    /// Records that a target leaves. Returns whether that is new.
    pub fn record_leaving(
        &mut self,
        target: &id::Target,
        incarnation: id::Incarnation,
        now: Point,
    ) -> bool {
        let advisory = self.advisory(target, incarnation);
        advisory.recorded_at = now;
        !std::mem::replace(&mut advisory.is_leaving, true)
    }

    /// Records that a target wants no request for some time. A pause in progress is not shortened. Returns whether the
    /// target was not paused before.
    pub fn record_pause(
        &mut self,
        target: &id::Target,
        incarnation: id::Incarnation,
        pause: Duration,
        now: Point,
    ) -> bool {
        let advisory = self.advisory(target, incarnation);
        let was_paused = advisory.paused_until.is_some_and(|until| now < until);
        let until = now + pause.min(MAX_PAUSE);
        advisory.paused_until = advisory.paused_until.max(Some(until));
        advisory.recorded_at = now;
        !was_paused
    }

    /// Returns whether a target has stated that it leaves.
    pub fn is_leaving(&self, target: &id::Target, incarnation: id::Incarnation) -> bool {
        if self.advisories.is_empty() {
            return false;
        }
        let advisory = self.advisories.get(&(target.clone(), incarnation));
        advisory.is_some_and(|advisory| advisory.is_leaving)
    }

    /// Returns the remaining time for which a target wants no request, if it is paused.
    pub fn pause(
        &self,
        target: &id::Target,
        incarnation: id::Incarnation,
        now: Point,
    ) -> Option<Duration> {
        if self.advisories.is_empty() {
            return None;
        }
        let advisory = self.advisories.get(&(target.clone(), incarnation))?;
        let until = advisory.paused_until.filter(|until| now < *until)?;
        Some(until.since(now))
    }

    /// Returns whether a target may be sent a request now.
    pub fn accepts(&self, target: &id::Target, incarnation: id::Incarnation, now: Point) -> bool {
        !self.is_leaving(target, incarnation) && self.pause(target, incarnation, now).is_none()
    }

    /// Removes the advisories of earlier incarnations, ended pauses, and advisories of targets that have been unknown for
    /// long. `known` returns the known incarnation of a target.
    pub fn prune(&mut self, known: impl Fn(&id::Target) -> Option<id::Incarnation>, now: Point) {
        self.advisories.retain(|(target, incarnation), advisory| {
            let is_paused = advisory.paused_until.is_some_and(|until| now < until);
            let is_retained = match known(target) {
                Some(known) => known <= *incarnation,
                None => now.since(advisory.recorded_at) < RETENTION,
            };
            is_retained && (advisory.is_leaving || is_paused)
        });
    }
}
