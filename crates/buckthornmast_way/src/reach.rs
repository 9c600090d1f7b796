//! Evidence that targets are out of reach of this instance.
//!
//! Only attempts to open a connection count as evidence. A target that accepts connections and is silent is sound, and the
//! loss of an open connection says little, as targets crash and close idle connections too.
//!
//! A target that can't be connected to is marked, and reached around until a probe connects. Whether the target is down or
//! the path to it is cut makes no difference here: the way finds out by trying, and a target that no way reaches counts as
//! down for a short time. Once several targets are marked and nothing has been heard from any target since, this
//! instance counts as cut off: all targets are reached around, and idle connections aren't used, as they may hang.

use std::{collections::HashMap, hash::Hash, time::Duration};

use buckthornmast_types::time::Point;
use smallvec::SmallVec;

/// Number of targets that can't be connected to, with no sign of another one since, from which on this instance counts as
/// cut off. One target that is gone isn't a cut.
const MIN_EVIDENCE: usize = 2;

/// Interval between two probes of a marked target.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Longest interval between two probes, after several that failed.
const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(1000);

/// Largest number of probes that begin at the same time.
const MAX_PROBES: usize = 4;

/// Time for which a target that no way reached either counts as down.
const DOWN_TIME: Duration = Duration::from_millis(300);

/// Time after which the mark of a target that nobody has asked for is dropped.
const MARK_TIMEOUT: Duration = Duration::from_secs(30);

/// Path to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Path {
    /// Through a connection of its own. Idle connections may be used.
    Direct,
    /// Through a way.
    Around {
        /// Whether an idle connection of this instance may be used instead.
        may_use_idle: bool,
        /// Whether the target may be in reach although no way leads there: nothing speaks against it but the failure of
        /// others, which may all have crashed.
        may_be_reached: bool,
    },
    /// The target is down: neither this instance nor a way has reached it a moment ago.
    Down,
}

#[derive(Debug, Clone, Copy)]
struct Mark {
    failed_at: Point,
    next_probe: Point,
    interval: Duration,
    down_until: Point,
}

/// Reach of one instance, by target.
#[derive(Debug, Clone)]
pub struct Reach<K> {
    marks: HashMap<K, Mark>,
    // When a target was last heard or connected to directly.
    heard_at: Point,
}

impl<K> Default for Reach<K> {
    fn default() -> Self {
        Self {
            marks: HashMap::new(),
            heard_at: Point::ZERO,
        }
    }
}

impl<K: Eq + Hash + Clone> Reach<K> {
    /// Records that a target could not be connected to. Returns whether that is new.
    pub fn record_failure(&mut self, target: &K, now: Point) -> bool {
        let mark = self.marks.get_mut(target);
        let Some(mark) = mark else {
            let mark = Mark {
                failed_at: now,
                next_probe: now + PROBE_INTERVAL,
                interval: PROBE_INTERVAL,
                down_until: Point::ZERO,
            };
            self.marks.insert(target.clone(), mark);
            return true;
        };
        mark.failed_at = now;
        mark.interval = (mark.interval * 2).min(MAX_PROBE_INTERVAL);
        mark.next_probe = now + mark.interval;
        false
    }

    /// Records that a target was connected to directly. Returns whether it was marked.
    ///
    /// It also ends all marks if this instance counted as cut off: a partition usually ends for all targets at once, and one
    /// that is still out of reach is marked again by the next attempt.
    pub fn record_connection(&mut self, target: &K, now: Point) -> bool {
        let was_marked = self.marks.remove(target).is_some();
        if self.is_cut_off() {
            self.marks.clear();
        }
        self.heard_at = now;
        was_marked
    }

    /// Records that a target answered on a direct connection.
    pub fn record_answer(&mut self, now: Point) {
        self.heard_at = now;
    }

    /// Records that no way reaches a target either.
    pub fn record_down(&mut self, target: &K, now: Point) {
        if let Some(mark) = self.marks.get_mut(target) {
            mark.down_until = now + DOWN_TIME;
        }
    }

    /// Returns whether this instance counts as cut off from the targets.
    pub fn is_cut_off(&self) -> bool {
        let marks = self.marks.values();
        let evidence = marks.filter(|mark| mark.failed_at > self.heard_at);
        evidence.count() >= MIN_EVIDENCE
    }

    /// Returns the path to a target.
    pub fn path(&self, target: &K, now: Point) -> Path {
        if self.marks.is_empty() {
            return Path::Direct;
        }
        let is_cut_off = self.is_cut_off();
        let mark = self.marks.get(target);
        match mark {
            None if !is_cut_off => Path::Direct,
            Some(mark) if now < mark.down_until => Path::Down,
            _ => Path::Around {
                may_use_idle: !is_cut_off,
                may_be_reached: mark.is_none(),
            },
        }
    }

    /// Returns whether a target can be connected to as far as is known, for a tunnel of another instance.
    pub fn is_reached(&self, target: &K) -> bool {
        !self.is_cut_off() && !self.marks.contains_key(target)
    }

    /// Returns marked targets whose probe is due, those that have waited longest first, and records the probes as started.
    pub fn due_probes(&mut self, now: Point) -> SmallVec<[K; MAX_PROBES]> {
        let due = self
            .marks
            .iter_mut()
            .filter(|(_, mark)| now >= mark.next_probe);
        let mut due: Vec<_> = due.collect();
        due.sort_by_key(|(_, mark)| mark.next_probe);
        let due = due.into_iter().take(MAX_PROBES);
        due.map(|(target, mark)| {
            mark.next_probe = now + mark.interval;
            target.clone()
        })
        .collect()
    }

    /// Removes the marks of targets that no longer exist, and of those that were last tried long ago.
    pub fn prune(&mut self, exists: impl Fn(&K) -> bool, now: Point) {
        self.marks.retain(|target, mark| {
            exists(target) && now.since(mark.failed_at.max(mark.next_probe)) < MARK_TIMEOUT
        });
    }
}
