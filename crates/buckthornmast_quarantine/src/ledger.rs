//! Crashes with the requests that are suspected of them, and the quarantines that follow.
//!
//! A quarantine names the parts that the suspects of several crashes have in common. If it names more than one, only
//! requests with all of them are refused: a part that merely comes along with the one that crashes targets is cleared by
//! the sound requests that have it as well, and a wrong guess costs one more crash instead of these requests.

use std::{collections::VecDeque, time::Duration};

use buckthornmast_types::{id, time::Point};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    part::{Part, Set},
    suspect::Register,
};

/// Crashes after which all parts of one of their suspects are quarantined, if no target has ever answered on them.
const NEW_THRESHOLD: usize = 2;

/// Crashes after which only a part of the parts of each suspect is quarantined. The others may be to blame as well.
const AMBIGUOUS_THRESHOLD: usize = 3;

/// Crashes after which parts are quarantined on which targets used to answer.
const STALE_THRESHOLD: usize = 4;

/// Crashes after which a request is watched: it is still sent, but not repeated if it is lost once more.
const WATCH_THRESHOLD: usize = 2;

/// Crashes after which a request is quarantined. One that was beside the cause of a crash is repeated at once, and may be
/// beside it a second time.
const REQUEST_THRESHOLD: usize = 3;

/// Number of requests that are watched. Older ones are dropped.
const MAX_WATCHED: usize = 64;

/// Time for which a crash counts. Much longer than the time between two requests with a part that is in use.
const EVIDENCE_RETENTION: Duration = Duration::from_secs(300);

/// Number of suspects that are kept. Older ones are dropped.
const MAX_EVIDENCE: usize = 64;

/// Number of quarantines. Further ones are not imposed, so that memory and messages stay bounded.
const MAX_QUARANTINES: usize = 64;

/// Time until the first trial.
const FIRST_QUARANTINE: Duration = Duration::from_secs(10);

/// Factor by which each failed trial lengthens the time until the next one.
const QUARANTINE_FACTOR: u32 = 4;

/// Longest time until a trial.
const MAX_QUARANTINE: Duration = Duration::from_secs(3600);

/// Time after which a trial that had no result is repeated at another instance.
pub const TRIAL_TIME: Duration = Duration::from_secs(10);

/// Time after the last crash after which a quarantine is forgotten, if trials have no result.
const QUARANTINE_RETENTION: Duration = Duration::from_secs(2 * 3600);

/// End of a target, which happens once in its incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// Target.
    pub target: id::Target,
    /// Incarnation that ended.
    pub incarnation: id::Incarnation,
}

/// Request that a target was beginning to answer when it ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Evidence {
    /// End of the target.
    pub crash: Crash,
    /// Parts of the prompt that are suspected.
    pub parts: Set,
    /// Whether targets used to answer on these parts, but haven't for some time.
    pub is_stale: bool,
}

impl Evidence {
    /// Returns the evidence against a whole request.
    pub fn against_request(crash: Crash, request: Part) -> Self {
        Self {
            crash,
            parts: Set::of(request),
            is_stale: false,
        }
    }

    /// Returns the request, if the evidence is against a whole request.
    pub fn request(&self) -> Option<Part> {
        let mut parts = self.parts.iter();
        parts.next().filter(|part| part.is_request())
    }
}

/// Quarantine, as one instance tells another of it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Notice {
    /// Parts that a request must have to be refused.
    pub parts: Set,
    /// Whether targets used to answer on these parts.
    pub is_stale: bool,
    /// Time since the first of its crashes.
    pub age: Duration,
    /// Time since the last of its crashes.
    pub idle: Duration,
    /// Time until the next trial.
    pub remaining: Duration,
    /// Time between two trials. Zero if the request is only watched, and not refused.
    pub length: Duration,
}

impl Notice {
    /// Returns whether the request is only watched, and not refused.
    pub fn is_watch(&self) -> bool {
        self.length.is_zero()
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Quarantine {
    parts: Set,
    is_stale: bool,
    since: Point,
    until: Point,
    length: Duration,
    crashed_at: Point,
    tried_at: Option<Point>,
}

impl Quarantine {
    /// Returns whether requests are refused, and not only watched.
    fn is_in_force(&self) -> bool {
        !self.length.is_zero()
    }

    fn notice(&self, now: Point) -> Notice {
        Notice {
            parts: self.parts.clone(),
            is_stale: self.is_stale,
            age: now.since(self.since),
            idle: now.since(self.crashed_at),
            remaining: self.until.since(now),
            length: self.length,
        }
    }

    /// Adds what another quarantine of the same parts states.
    fn absorb(&mut self, other: &Self) {
        self.is_stale |= other.is_stale;
        self.since = self.since.min(other.since);
        self.until = self.until.max(other.until);
        self.length = self.length.max(other.length);
        self.crashed_at = self.crashed_at.max(other.crashed_at);
        self.tried_at = self.tried_at.max(other.tried_at);
    }

    fn lengthen(&mut self, now: Point) {
        self.length = self
            .length
            .saturating_mul(QUARANTINE_FACTOR)
            .min(MAX_QUARANTINE);
        self.until = now + self.length;
    }
}

/// Crashes and quarantines that one instance knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    evidence: VecDeque<(Point, Evidence)>,
    requests: Register,
    quarantines: Vec<Quarantine>,
}

impl Ledger {
    /// Records a suspect. Returns whether the quarantines have changed.
    pub fn record_crash(&mut self, evidence: Evidence, now: Point) -> bool {
        if evidence.parts.is_empty() {
            return false;
        }
        if let Some(request) = evidence.request() {
            return self.record_request(&evidence.crash, request, now);
        }
        let mut is_covered = false;
        let mut is_trial = false;
        let quarantines = self.quarantines.iter_mut();
        for quarantine in quarantines.filter(|known| known.parts.is_subset(&evidence.parts)) {
            is_covered = true;
            quarantine.crashed_at = now;
            // Before that, the request was sent before the quarantine was in force everywhere.
            if now >= quarantine.until {
                is_trial = true;
                quarantine.lengthen(now);
            }
        }
        if is_covered {
            return is_trial;
        }
        self.evidence
            .retain(|(at, _)| now.since(*at) < EVIDENCE_RETENTION);
        if self.evidence.len() >= MAX_EVIDENCE {
            self.evidence.pop_front();
        }
        self.evidence.push_back((now, evidence.clone()));
        let Some((parts, since)) = self.common_parts(&evidence) else {
            return false;
        };
        if !self.has_room() {
            return false;
        }
        self.quarantines.push(Quarantine {
            parts,
            is_stale: evidence.is_stale,
            since,
            until: now + FIRST_QUARANTINE,
            length: FIRST_QUARANTINE,
            crashed_at: now,
            tried_at: None,
        });
        self.reduce();
        true
    }

    /// Records that a request was lost with its target. Returns whether the quarantines have changed.
    fn record_request(&mut self, crash: &Crash, request: Part, now: Point) -> bool {
        let Some(crashes) = self.requests.record(crash, request, now) else {
            return false;
        };
        let parts = Set::of(request);
        let mut quarantines = self.quarantines.iter_mut();
        let known = quarantines.find(|known| known.parts == parts);
        if let Some(known) = known {
            known.crashed_at = now;
            if known.is_in_force() {
                // Before that, the request was sent before the quarantine was in force everywhere.
                let is_trial = now >= known.until;
                if is_trial {
                    known.lengthen(now);
                }
                return is_trial;
            }
            if crashes < REQUEST_THRESHOLD {
                return false;
            }
        }
        let length = match crashes {
            REQUEST_THRESHOLD.. => FIRST_QUARANTINE,
            WATCH_THRESHOLD.. => Duration::ZERO,
            _ => return false,
        };
        self.add(Quarantine {
            parts,
            is_stale: false,
            since: now,
            until: now + length,
            length,
            crashed_at: now,
            tried_at: None,
        })
    }

    /// Adds a quarantine, or what it states to a known one of the same parts. Returns whether the quarantines have changed.
    fn add(&mut self, quarantine: Quarantine) -> bool {
        let has_room = self.has_room();
        let mut known = self.quarantines.iter_mut();
        match known.find(|known| known.parts == quarantine.parts) {
            Some(known) => {
                let was_in_force = known.is_in_force();
                known.absorb(&quarantine);
                known.is_in_force() != was_in_force
            }
            None if quarantine.is_in_force() => {
                if has_room {
                    self.quarantines.push(quarantine);
                }
                has_room
            }
            None => {
                self.drop_oldest_watch();
                self.quarantines.push(quarantine);
                true
            }
        }
    }

    /// Returns whether another quarantine may be imposed.
    fn has_room(&self) -> bool {
        let in_force = self.quarantines.iter().filter(|known| known.is_in_force());
        in_force.count() < MAX_QUARANTINES
    }

    /// Makes room for another watched request.
    fn drop_oldest_watch(&mut self) {
        let watched = self.quarantines.iter().enumerate();
        let watched = watched.filter(|(_, known)| !known.is_in_force());
        let (oldest, count) = watched.fold((None, 0), |(oldest, count), (index, known)| {
            let older = oldest.filter(|(_, at)| *at <= known.crashed_at);
            (older.or(Some((index, known.crashed_at))), count + 1)
        });
        if let Some((index, _)) = oldest.filter(|_| count >= MAX_WATCHED) {
            self.quarantines.remove(index);
        }
    }

    /// Joins equal quarantines, each of which would have trials of its own, and puts the widest ones first.
    fn reduce(&mut self) {
        let mut kept: Vec<Quarantine> = Vec::with_capacity(self.quarantines.len());
        for quarantine in self.quarantines.drain(..) {
            let same = kept.iter_mut().find(|same| same.parts == quarantine.parts);
            match same {
                Some(same) => same.absorb(&quarantine),
                None => kept.push(quarantine),
            }
        }
        kept.sort_by_key(|quarantine| quarantine.parts.len());
        self.quarantines = kept;
    }

    /// Returns whether another quarantine refuses all requests that this one refuses.
    fn is_idle(&self, quarantine: &Quarantine) -> bool {
        let mut others = self.quarantines.iter();
        others.any(|other| {
            other.is_in_force()
                && other.parts.len() < quarantine.parts.len()
                && other.parts.is_subset(&quarantine.parts)
        })
    }

    /// Returns the largest set of parts that enough crashes have in common with a suspect, and the time of the first of
    /// these crashes.
    fn common_parts(&self, suspect: &Evidence) -> Option<(Set, Point)> {
        let alike = || {
            let of_kind = self.evidence.iter();
            of_kind.filter(|(_, other)| other.is_stale == suspect.is_stale)
        };
        let mut best: Option<(Set, Point)> = None;
        for (_, other) in alike().filter(|(_, other)| other.crash != suspect.crash) {
            let common = suspect.parts.intersection(&other.parts);
            let best_len = best.as_ref().map_or(0, |(parts, _)| parts.len());
            if common.len() <= best_len {
                continue;
            }
            let supporting = alike().filter(|(_, third)| common.is_subset(&third.parts));
            let mut crashes: SmallVec<[&Crash; 8]> = SmallVec::new();
            let mut since = None;
            for (at, third) in supporting {
                since.get_or_insert(*at);
                if !crashes.contains(&&third.crash) {
                    crashes.push(&third.crash);
                }
            }
            let threshold = if suspect.is_stale {
                STALE_THRESHOLD
            } else if common == suspect.parts || common == other.parts {
                NEW_THRESHOLD
            } else {
                AMBIGUOUS_THRESHOLD
            };
            if crashes.len() >= threshold {
                best = since.map(|since| (common, since));
            }
        }
        best
    }

    /// Records that a target has answered on parts. Returns whether the quarantines have changed.
    pub fn record_progress(&mut self, parts: &Set) -> bool {
        self.requests.clear(parts);
        for (_, evidence) in &mut self.evidence {
            evidence.parts.remove_all(parts);
        }
        self.evidence
            .retain(|(_, evidence)| !evidence.parts.is_empty());
        let mut is_changed = false;
        for quarantine in &mut self.quarantines {
            is_changed |= quarantine.parts.remove_all(parts);
        }
        self.quarantines
            .retain(|quarantine| !quarantine.parts.is_empty());
        if is_changed {
            self.reduce();
        }
        is_changed
    }

    /// Adds quarantines that another instance knows. Returns whether the quarantines have changed.
    pub fn merge(&mut self, notices: &[Notice], now: Point) -> bool {
        let mut is_changed = false;
        for notice in notices.iter().filter(|notice| !notice.parts.is_empty()) {
            is_changed |= self.add(Quarantine {
                parts: notice.parts.clone(),
                is_stale: notice.is_stale,
                since: now - notice.age,
                until: now + notice.remaining,
                length: notice.length,
                crashed_at: now - notice.idle,
                tried_at: None,
            });
        }
        if is_changed {
            self.reduce();
        }
        is_changed
    }

    /// Returns the widest quarantine whose parts a request has.
    fn covering(&self, parts: &Set) -> Option<&Quarantine> {
        let mut quarantines = self.quarantines.iter();
        quarantines.find(|quarantine| quarantine.is_in_force() && quarantine.parts.is_subset(parts))
    }

    /// Returns whether a request is watched or quarantined as a whole.
    pub fn watches(&self, request: Part) -> bool {
        let mut quarantines = self.quarantines.iter();
        quarantines.any(|quarantine| quarantine.parts.contains(request))
    }

    /// Returns whether any request is suspected, watched or quarantined as a whole.
    pub fn blames_requests(&self) -> bool {
        let mut quarantines = self.quarantines.iter();
        !self.requests.is_empty()
            || quarantines.any(|quarantine| quarantine.parts.iter().any(Part::is_request))
    }

    /// Returns whether a request has all parts of a quarantine.
    pub fn covers(&self, parts: &Set) -> bool {
        self.covering(parts).is_some()
    }

    /// Returns the parts of the widest quarantine whose parts a request has, and the time until the next trial.
    pub fn find(&self, parts: &Set, now: Point) -> Option<(&Set, Duration)> {
        let quarantine = self.covering(parts)?;
        Some((&quarantine.parts, quarantine.until.since(now)))
    }

    /// Returns whether parts are suspected or quarantined.
    pub fn blames(&self, parts: &Set) -> bool {
        let has_common = |other: &Set| !other.intersection(parts).is_empty();
        let mut suspected = self.evidence.iter().map(|(_, evidence)| &evidence.parts);
        let mut quarantined = self.quarantines.iter().map(|quarantine| &quarantine.parts);
        self.requests.blames(parts) || suspected.any(has_common) || quarantined.any(has_common)
    }

    /// Returns the parts of a quarantine whose trial is due, and postpones the next trial.
    pub fn begin_trial(&mut self, now: Point) -> Option<Set> {
        let is_due = |quarantine: &Quarantine| {
            let tried_at = quarantine.tried_at;
            let is_tried = tried_at.is_some_and(|tried_at| now < tried_at + TRIAL_TIME);
            quarantine.is_in_force()
                && now >= quarantine.until
                && !is_tried
                && !self.is_idle(quarantine)
        };
        let index = self.quarantines.iter().position(is_due)?;
        let quarantine = self.quarantines.get_mut(index)?;
        // The end of the quarantine stays in the past, by which a failure of the trial is recognized.
        quarantine.tried_at = Some(now);
        Some(quarantine.parts.clone())
    }

    /// Returns whether nothing is quarantined.
    pub fn is_empty(&self) -> bool {
        self.quarantines.is_empty()
    }

    /// Returns the quarantines for another instance.
    pub fn notices(&self, now: Point) -> Vec<Notice> {
        let quarantines = self.quarantines.iter();
        quarantines
            .map(|quarantine| quarantine.notice(now))
            .collect()
    }

    /// Forgets old crashes and quarantines.
    pub fn prune(&mut self, now: Point) {
        self.requests.prune(now);
        self.evidence
            .retain(|(at, _)| now.since(*at) < EVIDENCE_RETENTION);
        self.quarantines.retain(|quarantine| {
            let retention = if quarantine.is_in_force() {
                QUARANTINE_RETENTION
            } else {
                EVIDENCE_RETENTION
            };
            now.since(quarantine.crashed_at) < retention
        });
    }
}
