//! What targets state about themselves in their answers: that they leave, or that they want no request for some time.
//!
//! Such a statement arrives before any announcement and applies to this instance alone. A target that leaves gets no
//! further request from this instance until a newer incarnation of it is known. A pause ends by itself, and concerns
//! only the target that asked for it, not its model.

use std::{collections::HashMap, time::Duration};

use buckthornmast_types::{id, time::Point};

/// Longest pause that a target can ask for. A longer one is shortened to this.
pub const MAX_PAUSE: Duration = Duration::from_secs(60);

/// Time for which the notice of a target that nobody announces is retained. Announcements are delayed by seconds at
/// most.
const RETENTION: Duration = Duration::from_secs(300);

#[derive(Debug, Clone, Copy, Default)]
struct Notice {
    is_leaving: bool,
    paused_until: Option<Point>,
    recorded_at: Point,
}

/// Notices of all targets.
#[derive(Debug, Default)]
pub struct Board {
    notices: HashMap<(id::Target, id::Incarnation), Notice>,
}

impl Board {
    fn notice(&mut self, target: &id::Target, incarnation: id::Incarnation) -> &mut Notice {
        self.notices
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
        let notice = self.notice(target, incarnation);
        notice.recorded_at = now;
        !std::mem::replace(&mut notice.is_leaving, true)
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
        let notice = self.notice(target, incarnation);
        let was_paused = notice.paused_until.is_some_and(|until| now < until);
        let until = now + pause.min(MAX_PAUSE);
        notice.paused_until = notice.paused_until.max(Some(until));
        notice.recorded_at = now;
        !was_paused
    }

    /// Returns whether a target has stated that it leaves.
    pub fn is_leaving(&self, target: &id::Target, incarnation: id::Incarnation) -> bool {
        if self.notices.is_empty() {
            return false;
        }
        let notice = self.notices.get(&(target.clone(), incarnation));
        notice.is_some_and(|notice| notice.is_leaving)
    }

    /// Returns the remaining time for which a target wants no request, if it is paused.
    pub fn pause(
        &self,
        target: &id::Target,
        incarnation: id::Incarnation,
        now: Point,
    ) -> Option<Duration> {
        if self.notices.is_empty() {
            return None;
        }
        let notice = self.notices.get(&(target.clone(), incarnation))?;
        let until = notice.paused_until.filter(|until| now < *until)?;
        Some(until.since(now))
    }

    /// Returns whether a target may be sent a request now.
    pub fn accepts(&self, target: &id::Target, incarnation: id::Incarnation, now: Point) -> bool {
        !self.is_leaving(target, incarnation) && self.pause(target, incarnation, now).is_none()
    }

    /// Removes the notices of earlier incarnations, ended pauses, and notices of targets that have been unknown for
    /// long. `known` returns the known incarnation of a target.
    pub fn prune(&mut self, known: impl Fn(&id::Target) -> Option<id::Incarnation>, now: Point) {
        self.notices.retain(|(target, incarnation), notice| {
            let is_paused = notice.paused_until.is_some_and(|until| now < until);
            let is_retained = match known(target) {
                Some(known) => known <= *incarnation,
                None => now.since(notice.recorded_at) < RETENTION,
            };
            is_retained && (notice.is_leaving || is_paused)
        });
    }
}
