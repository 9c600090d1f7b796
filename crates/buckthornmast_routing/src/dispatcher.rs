//! Dispatch decisions of one entry instance, combined from the modules of this crate.
//!
//! The daemon calls [`Dispatcher`] under a lock, the replay harness in virtual time.

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_types::prelude::*;
use rand::Rng;

use crate::{
    admission::Coming,
    affinity::{Affinity, prefix_of},
    attempt::{self, Decision, History, Known},
    budget,
    choice::{Choice, PowerOfTwo},
    estimate::Estimate,
    limit::{self, Adaptive},
    table::{self, Candidates, Need, Outcome, Slot, Table},
};

/// Settings of a dispatcher.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Settings of the table of targets.
    pub table: table::Config,
    /// Settings of the retry budget.
    pub budget: budget::Config,
    /// Limit per target; its initial and maximum values follow from the reported slots.
    pub limit: limit::Config,
    /// Whether limits follow the latency. If not, they keep their initial value, to compare with adaptive ones.
    pub adapt: bool,
    /// Rule that chooses a target.
    pub choice: PowerOfTwo,
    /// Maximum number of dispatches of one request.
    pub max_dispatches: u32,
    /// Assumed time of a dispatch before the first sample.
    pub assumed: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            table: table::Config::default(),
            budget: budget::Config::default(),
            limit: limit::Config::default(),
            adapt: true,
            choice: PowerOfTwo::default(),
            max_dispatches: 4,
            assumed: Duration::from_millis(200),
        }
    }
}

/// Resource that a request needs from a target.
#[derive(Debug, Clone, Copy)]
pub enum Wanted<'a> {
    /// Artifact, with its base model if it is an adapter.
    Artifact {
        /// Requested artifact.
        artifact: &'a Artifact,
        /// Whether no other version may answer.
        exact: bool,
        /// Hash of the first message of the prompt.
        first_message: Option<u64>,
    },
    /// Any target of a service.
    Service(&'a id::Service),
}

/// Result of observing a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// Whether the report is the newest one of its target.
    pub is_newest: bool,
    /// Whether a copy that was being loaded is now ready.
    pub has_new_copy: bool,
}

/// Chosen target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Target.
    pub slot: Slot,
    /// Artifact that serves the request; `None` for a service.
    pub artifact: Option<Artifact>,
}

/// How a dispatch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// The target answered; the time is to the first token, or to the whole answer of a service.
    Answered(Duration),
    /// The target explicitly refused to run it.
    Refused,
    /// It failed at the target.
    Failed,
    /// No byte of it could be sent.
    Unreachable,
    /// It ended for a reason unrelated to the target.
    Abandoned,
}

/// Returns the limit of a target before the first sample: 1.5 times its slots, where the extra half is for
/// its queue.
pub fn initial_limit(slots: u32) -> u32 {
    slots.max(2).saturating_mul(3) / 2
}

/// Returns the number of requests of this instance that a target certainly has room for: those in progress
/// there at its newest report and the free slots. A nearly full target has no such floor, because it answers
/// more requests in time when the limit can shrink.
fn limit_floor(load: &report::Load, in_progress: u32) -> u32 {
    let free = load.slots.saturating_sub(load.running);
    if load.waiting == 0 && free * 4 >= load.slots {
        in_progress.saturating_add(free)
    } else {
        0
    }
}

/// Target table, limits, prefix affinity, retry budget and choice rule of one instance.
#[derive(Debug)]
pub struct Dispatcher {
    /// Known targets.
    pub table: Table,
    /// Targets that have prompt prefixes cached.
    pub affinity: Affinity,
    config: Config,
    limits: BTreeMap<id::Target, Adaptive>,
    budget: budget::Retry,
    latency: Estimate,
}

impl Dispatcher {
    /// Returns a dispatcher without targets for an instance of a failure domain.
    pub fn new(config: Config, home: id::Domain, now: Point) -> Self {
        Self {
            table: Table::new(config.table, home),
            affinity: Affinity::default(),
            limits: BTreeMap::new(),
            budget: budget::Retry::new(config.budget, now),
            latency: Estimate::new(config.assumed),
            config,
        }
    }

    /// Records a report that was sampled `age` ago.
    pub fn observe(&mut self, report: Report, age: Duration, now: Point) -> Observation {
        let target = report.target.clone();
        let before = self.table.slot(&target);
        let old = before.and_then(|slot| self.table.report(slot));
        let old_incarnation = old.map(|old| old.incarnation);
        let has_become_ready = |copy: &&report::Copy| {
            let old = old.and_then(|old| old.copy(&copy.artifact));
            copy.phase == report::Phase::Ready
                && old.is_some_and(|old| old.phase == report::Phase::Loading)
        };
        let has_new_copy = report.copies.iter().any(|copy| has_become_ready(&copy));
        let incarnation = report.incarnation;
        let load = report.load;
        let is_newest = self.table.observe(report, age, now);
        if let Some(slot) = self.table.slot(&target) {
            self.affinity.observe_incarnation(slot, incarnation);
        }
        if old_incarnation.is_some_and(|old| old != incarnation) {
            // A restarted engine may have a different speed.
            self.limits.remove(&target);
        }
        if is_newest && let Some(slot) = self.table.slot(&target) {
            let floor = limit_floor(&load, self.table.in_progress_at_report(slot));
            if let Some(limit) = self.limits.get_mut(&target) {
                limit.set_floor(floor);
            }
        }
        Observation {
            is_newest,
            has_new_copy,
        }
    }

    /// Returns the number of requests of this instance that may be in progress at a target.
    pub fn limit(&self, slot: Slot) -> u32 {
        let Some(report) = self.table.report(slot) else {
            return 0;
        };
        let limit = self.limits.get(&report.target);
        limit.map_or_else(|| initial_limit(report.load.slots), Adaptive::get)
    }

    /// Returns the number of requests for an artifact that this instance may have in progress.
    pub fn capacity(&self, artifact: &Artifact, now: Point) -> u32 {
        let (_, candidates) = self.find(artifact, false, &[], now);
        candidates
            .iter()
            .map(|candidate| self.limit(candidate.slot))
            .sum()
    }

    /// Returns when the next copy of an artifact being loaded is expected, and the capacity that it adds.
    pub fn coming(&self, artifact: &Artifact, now: Point) -> Option<Coming> {
        let copy = self.table.first_loading_copy(artifact, now)?;
        Some(Coming {
            at: now + copy.remaining,
            capacity: self.limit(copy.slot),
        })
    }

    /// Returns the artifact to use, and the targets on which it and its base model are ready.
    pub fn find(
        &self,
        requested: &Artifact,
        exact: bool,
        tried: &[Slot],
        now: Point,
    ) -> (Artifact, Candidates) {
        let candidates = |artifact: &Artifact| {
            let mut found = self.table.candidates(Need::Artifact(artifact), tried, now);
            let base = artifact.base();
            found.retain(|candidate| {
                let report = self.table.report(candidate.slot);
                report.is_some_and(|report| report.is_ready(&base))
            });
            found
        };
        let found = candidates(requested);
        if !found.is_empty() {
            return (requested.clone(), found);
        }
        // During a rollout the previous version still answers.
        let older = self.table.versions(requested);
        for older in older.iter().filter(|_| !exact) {
            let found = candidates(older);
            if !found.is_empty() {
                return (older.clone(), found);
            }
        }
        // A leaving target is the last resort, and only while no other target has the model in any version.
        let mut versions = std::iter::once(requested).chain(&older);
        if versions.any(|version| self.table.has_staying_copy(version, now)) {
            return (requested.clone(), Candidates::new());
        }
        let versions = std::iter::once(requested).chain(older.iter().filter(|_| !exact));
        for version in versions {
            let found = self.table.last_copies(version, tried, now);
            if !found.is_empty() {
                return (version.clone(), found);
            }
        }
        (requested.clone(), Candidates::new())
    }

    /// Records an admitted request, which adds a share of a retry to the budget.
    pub fn request(&mut self) {
        self.budget.request();
    }

    /// Chooses a target; the request counts as in progress there until [`Dispatcher::done`].
    pub fn pick<R: Rng>(
        &mut self,
        wanted: Wanted<'_>,
        tried: &[Slot],
        now: Point,
        rng: &mut R,
    ) -> Option<Pick> {
        let (artifact, candidates, prefix) = match wanted {
            Wanted::Artifact {
                artifact,
                exact,
                first_message,
            } => {
                let (artifact, found) = self.find(artifact, exact, tried, now);
                let prefix = first_message.map(|hash| prefix_of(hash, &artifact));
                (Some(artifact), found, prefix)
            }
            Wanted::Service(service) => {
                let found = self.table.candidates(Need::Service(service), tried, now);
                (None, found, None)
            }
        };
        let below_limit: Candidates = candidates
            .iter()
            .filter(|candidate| candidate.in_progress < self.limit(candidate.slot))
            .copied()
            .collect();
        // The request has been admitted, so a target above its limit is better than none.
        let candidates = if below_limit.is_empty() {
            candidates
        } else {
            below_limit
        };
        let choice = self.config.choice;
        let slot = choice.choose(&candidates, prefix, &mut self.affinity, now, rng)?;
        let need = match (&artifact, wanted) {
            (Some(artifact), _) | (None, Wanted::Artifact { artifact, .. }) => {
                Need::Artifact(artifact)
            }
            (None, Wanted::Service(service)) => Need::Service(service),
        };
        self.table.started(slot, need, now);
        if let Some(prefix) = prefix {
            self.affinity.record_request(prefix, slot, now);
        }
        Some(Pick { slot, artifact })
    }

    /// Records the end of a dispatch.
    pub fn done(&mut self, pick: &Pick, ended: Ended, now: Point) {
        let Some(report) = self.table.report(pick.slot) else {
            return;
        };
        let (target, load) = (report.target.clone(), report.load);
        let service = report.service.clone();
        let floor = limit_floor(&load, self.table.in_progress_at_report(pick.slot));
        let config = self.config;
        let limit = self.limits.entry(target).or_insert_with(|| {
            let initial = initial_limit(load.slots);
            let mut limit = Adaptive::new(limit::Config {
                initial,
                max: initial.max(16) * 2,
                ..config.limit
            });
            limit.set_floor(floor);
            limit
        });
        let outcome = match ended {
            Ended::Answered(latency) => {
                if config.adapt {
                    limit.answered(latency, self.table.in_progress(pick.slot));
                }
                self.latency.add(latency);
                Outcome::Answered(latency)
            }
            Ended::Refused => {
                if config.adapt {
                    limit.dropped();
                }
                Outcome::Failed
            }
            Ended::Failed => Outcome::Failed,
            Ended::Unreachable => Outcome::Unreachable,
            Ended::Abandoned => Outcome::Abandoned,
        };
        let need = match &pick.artifact {
            Some(artifact) => Need::Artifact(artifact),
            None => Need::Service(&service),
        };
        self.table.finished(pick.slot, need, outcome, now);
    }

    /// Decides the next step after the failed attempts of a request.
    pub fn decide(
        &mut self,
        history: &History,
        repeatable: bool,
        deadline: Point,
        now: Point,
    ) -> Decision {
        let known = Known {
            repeatable,
            resumable: true,
            // The next pick shows whether an untried target is left.
            target_left: true,
            most: self.config.max_dispatches,
            expected: self.latency.mean(),
            deadline,
        };
        attempt::decide(history, &known, now, || self.budget.take(now))
    }
}
