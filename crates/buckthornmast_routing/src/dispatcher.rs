//! Dispatch decisions of one entry instance, combined from the modules of this crate.
//!
//! The daemon calls [`Dispatcher`] under a lock, the replay harness in virtual time.

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_types::prelude::*;
use rand::Rng;

use crate::{
    admission::ExpectedCapacity,
    affinity::{Affinity, prefix_of},
    attempt::{self, Conditions, Decision, History},
    budget,
    choice::{Choice, PowerOfTwo},
    estimate::Estimate,
    limit::{self, Adaptive},
    table::{self, Candidates, Need, Outcome, Slot, Table},
};

/// Configuration of a dispatcher.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Configuration of the table of targets.
    pub table: table::Config,
    /// Configuration of the retry budget.
    pub budget: budget::Config,
    /// Limit per target; its initial and maximum values follow from the reported slots.
    pub limit: limit::Config,
    /// Whether limits follow the latency. If not, they keep their initial value, as a baseline for comparisons.
    pub is_adaptive: bool,
    /// Rule that chooses a target.
    pub choice: PowerOfTwo,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Assumed time of a dispatch before the first sample.
    pub assumed_latency: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            table: table::Config::default(),
            budget: budget::Config::default(),
            limit: limit::Config::default(),
            is_adaptive: true,
            choice: PowerOfTwo::default(),
            max_attempts: 4,
            assumed_latency: Duration::from_millis(200),
        }
    }
}

/// Resource that a request needs from a target.
#[derive(Debug, Clone, Copy)]
pub enum Resource<'a> {
    /// Artifact, with its base model if it is an adapter.
    Artifact {
        /// Requested artifact.
        artifact: &'a Artifact,
        /// Whether no other version may answer.
        exact: bool,
        /// Hash of the first message of the prompt, for affinity to prefix caches.
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
    /// Slot of the target in the table.
    pub slot: Slot,
    /// Artifact that serves the request; `None` for a service.
    pub artifact: Option<Artifact>,
}

/// How a dispatch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The target answered; the time is to the first token, or to the whole answer of a service.
    Answered(Duration),
    /// The target explicitly refused to run the request.
    Refused,
    /// The request failed at the target.
    Failed,
    /// No byte of the request could be sent.
    Unreachable,
    /// The request ended for a reason unrelated to the target.
    Abandoned,
}

/// Returns the limit of a target before the first sample: 1.5 times its slots, where the extra half is for
/// its queue.
pub fn initial_limit(slots: u32) -> u32 {
    slots.max(2).saturating_mul(3) / 2
}

/// Returns the number of requests of this instance for which a target certainly has slots: those in progress
/// there at its newest report and the free slots. A target with waiting requests or with less than a quarter of its
/// slots free has no such floor, because it answers more requests in time when the limit can shrink.
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
    /// Estimated time to the first token, or to the whole answer of a service, over all targets.
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
            latency: Estimate::new(config.assumed_latency),
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
    pub fn expected_capacity(&self, artifact: &Artifact, now: Point) -> Option<ExpectedCapacity> {
        let copy = self.table.first_loading_copy(artifact, now)?;
        Some(ExpectedCapacity {
            at: now + copy.remaining,
            capacity: self.limit(copy.slot),
        })
    }

    /// Returns the artifact to use, and the targets on which it and its base model are ready, without those already
    /// tried. Unless `exact` is set, this may be another version of the requested artifact.
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
    pub fn record_request(&mut self) {
        self.budget.record_request();
    }

    /// Chooses a target; the request counts as in progress there until [`Dispatcher::complete`].
    pub fn pick<R: Rng>(
        &mut self,
        resource: Resource<'_>,
        tried: &[Slot],
        now: Point,
        rng: &mut R,
    ) -> Option<Pick> {
        let (artifact, candidates, prefix) = match resource {
            Resource::Artifact {
                artifact,
                exact,
                first_message,
            } => {
                let (artifact, found) = self.find(artifact, exact, tried, now);
                let prefix = first_message.map(|hash| prefix_of(hash, &artifact));
                (Some(artifact), found, prefix)
            }
            Resource::Service(service) => {
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
        let need = match (&artifact, resource) {
            (Some(artifact), _) | (None, Resource::Artifact { artifact, .. }) => {
                Need::Artifact(artifact)
            }
            (None, Resource::Service(service)) => Need::Service(service),
        };
        self.table.started(slot, need, now);
        if let Some(prefix) = prefix {
            self.affinity.record_request(prefix, slot, now);
        }
        Some(Pick { slot, artifact })
    }

    /// Records the end of a dispatch.
    pub fn complete(&mut self, pick: &Pick, completion: Completion, now: Point) {
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
        let outcome = match completion {
            Completion::Answered(latency) => {
                if config.is_adaptive {
                    limit.answered(latency, self.table.in_progress(pick.slot));
                }
                self.latency.add(latency);
                Outcome::Answered(latency)
            }
            Completion::Refused => {
                if config.is_adaptive {
                    limit.dropped();
                }
                Outcome::Failed
            }
            Completion::Failed => Outcome::Failed,
            Completion::Unreachable => Outcome::Unreachable,
            Completion::Abandoned => Outcome::Abandoned,
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
        is_repeatable: bool,
        deadline: Point,
        now: Point,
    ) -> Decision {
        let conditions = self.conditions(is_repeatable, deadline);
        attempt::decide(history, &conditions, now, || self.budget.take(now))
    }

    /// Returns whether [`Dispatcher::decide`] would allow another attempt after this history, and an untried target is
    /// left. Nothing is recorded.
    pub fn can_move(
        &mut self,
        resource: Resource<'_>,
        tried: &[Slot],
        history: &History,
        is_repeatable: bool,
        deadline: Point,
        now: Point,
    ) -> bool {
        let has_untried_target = match resource {
            Resource::Artifact {
                artifact, exact, ..
            } => !self.find(artifact, exact, tried, now).1.is_empty(),
            Resource::Service(service) => {
                let need = Need::Service(service);
                !self.table.candidates(need, tried, now).is_empty()
            }
        };
        let conditions = Conditions {
            has_untried_target,
            ..self.conditions(is_repeatable, deadline)
        };
        let decision = attempt::decide(history, &conditions, now, || self.budget.has_attempt(now));
        !matches!(decision, Decision::End { .. })
    }

    fn conditions(&self, is_repeatable: bool, deadline: Point) -> Conditions {
        Conditions {
            is_repeatable,
            is_resumable: true,
            // The dispatcher is not told whether a target ended under a request.
            may_end_targets: false,
            // The next pick shows whether an untried target is left.
            has_untried_target: true,
            max_attempts: self.config.max_attempts,
            expected_time: self.latency.mean(),
            deadline,
        }
    }
}
