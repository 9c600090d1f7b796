//! Decisions of one entry instance on dispatches, assembled from the parts of this crate.
//!
//! The daemon calls [`Dispatcher`] under a lock, and the replay harness in virtual time.

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

/// Bounds of the decisions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Table of targets.
    pub table: table::Config,
    /// Budget of retries.
    pub budget: budget::Config,
    /// Limit per target; its start and largest value follow from the reported slots.
    pub limit: limit::Config,
    /// Whether limits follow the latency. Off, they stay at their start, which shows what they bring.
    pub adapt: bool,
    /// Choice of a target.
    pub choice: PowerOfTwo,
    /// Dispatches of one request at the most.
    pub most: u32,
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
            most: 4,
            assumed: Duration::from_millis(200),
        }
    }
}

/// What a request is dispatched for.
#[derive(Debug, Clone, Copy)]
pub enum Wanted<'a> {
    /// Artifact, with its base model if it is an adapter.
    Artifact {
        /// Artifact.
        artifact: &'a Artifact,
        /// Whether only this version will do.
        exact: bool,
        /// Hash of the first message of the prompt.
        first_message: Option<u64>,
    },
    /// Any target of a service.
    Service(&'a id::Service),
}

/// What a report told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observed {
    /// Whether it is the newest of its target.
    pub is_newest: bool,
    /// Whether a copy that was being loaded is ready.
    pub has_new_copy: bool,
}

/// Chosen target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Target.
    pub slot: Slot,
    /// Artifact that answers; `None` for a service.
    pub artifact: Option<Artifact>,
}

/// How a dispatch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// Answered, with the time to the first token or to the whole answer of a service.
    Answered(Duration),
    /// The target positively refused to run it.
    Refused,
    /// It failed at the target.
    Failed,
    /// No byte of it could be sent.
    Unreachable,
    /// It ended for a reason that says nothing about the target.
    Abandoned,
}

/// Limit of a target before the first sample: its slots, half of them over again for the queue.
pub fn start_limit(slots: u32) -> u32 {
    slots.max(2).saturating_mul(3) / 2
}

/// Requests of this instance that are certain to have room at a target: those that it had there, and the free
/// slots. A nearly full target has no such floor, as it answers more in time when the limit may shrink.
fn floor(load: &report::Load, own: u32) -> u32 {
    let free = load.slots.saturating_sub(load.running);
    if load.waiting == 0 && free * 4 >= load.slots {
        own.saturating_add(free)
    } else {
        0
    }
}

/// Table, limits, prefix memory, retry budget and choice of one instance.
#[derive(Debug)]
pub struct Dispatcher {
    /// Targets.
    pub table: Table,
    /// Where prefixes are cached.
    pub affinity: Affinity,
    config: Config,
    limits: BTreeMap<id::Target, Adaptive>,
    budget: budget::Retry,
    first: Estimate,
}

impl Dispatcher {
    /// Returns decisions without targets for an instance of a failure domain.
    pub fn new(config: Config, home: id::Domain, now: Point) -> Self {
        Self {
            table: Table::new(config.table, home),
            affinity: Affinity::default(),
            limits: BTreeMap::new(),
            budget: budget::Retry::new(config.budget, now),
            first: Estimate::new(config.assumed),
            config,
        }
    }

    /// Takes a report that was sampled this long ago.
    pub fn observe(&mut self, report: Report, age: Duration, now: Point) -> Observed {
        let target = report.target.clone();
        let before = self.table.slot(&target);
        let old = before.and_then(|slot| self.table.report(slot));
        let old_incarnation = old.map(|old| old.incarnation);
        let was_loading = |copy: &&report::Copy| {
            let old = old.and_then(|old| old.copy(&copy.artifact));
            copy.phase == report::Phase::Ready
                && old.is_some_and(|old| old.phase == report::Phase::Loading)
        };
        let has_new_copy = report.copies.iter().any(|copy| was_loading(&copy));
        let incarnation = report.incarnation;
        let load = report.load;
        let is_newest = self.table.observe(report, age, now);
        if let Some(slot) = self.table.slot(&target) {
            self.affinity.start(slot, incarnation);
        }
        if old_incarnation.is_some_and(|old| old != incarnation) {
            // A restarted engine has another speed.
            self.limits.remove(&target);
        }
        if is_newest && let Some(slot) = self.table.slot(&target) {
            let floor = floor(&load, self.table.own_at_report(slot));
            if let Some(limit) = self.limits.get_mut(&target) {
                limit.set_floor(floor);
            }
        }
        Observed {
            is_newest,
            has_new_copy,
        }
    }

    /// Returns how many requests of this instance may be in progress at a target.
    pub fn limit(&self, slot: Slot) -> u32 {
        let Some(report) = self.table.report(slot) else {
            return 0;
        };
        let limit = self.limits.get(&report.target);
        limit.map_or_else(|| start_limit(report.load.slots), Adaptive::get)
    }

    /// Returns how many requests for an artifact this instance may have in progress.
    pub fn capacity(&self, wanted: &Artifact, now: Point) -> u32 {
        let (_, candidates) = self.find(wanted, false, &[], now);
        candidates.iter().map(|own| self.limit(own.slot)).sum()
    }

    /// Returns when a copy of an artifact is expected that is being loaded.
    pub fn coming(&self, artifact: &Artifact, now: Point) -> Option<Coming> {
        let arrival = self.table.arrival(artifact, now)?;
        Some(Coming {
            at: now + arrival.left,
            capacity: self.limit(arrival.slot),
        })
    }

    /// Returns the artifact to use and the targets that have it ready, base model included.
    pub fn find(
        &self,
        wanted: &Artifact,
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
        let found = candidates(wanted);
        if !found.is_empty() {
            return (wanted.clone(), found);
        }
        // While a version is rolled out, the one before still answers.
        let older = self.table.versions(wanted);
        for older in older.iter().filter(|_| !exact) {
            let found = candidates(older);
            if !found.is_empty() {
                return (older.clone(), found);
            }
        }
        // A target that leaves is the last resort, and only while no other has the model in any version.
        let mut versions = std::iter::once(wanted).chain(&older);
        if versions.any(|version| self.table.is_kept(version, now)) {
            return (wanted.clone(), Candidates::new());
        }
        let versions = std::iter::once(wanted).chain(older.iter().filter(|_| !exact));
        for version in versions {
            let found = self.table.last_copies(version, tried, now);
            if !found.is_empty() {
                return (version.clone(), found);
            }
        }
        (wanted.clone(), Candidates::new())
    }

    /// Notes an admitted request, which earns a share of a retry.
    pub fn request(&mut self) {
        self.budget.request();
    }

    /// Chooses a target; the choice counts as in progress until [`Dispatcher::done`].
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
        let below: Candidates = candidates
            .iter()
            .filter(|own| own.own < self.limit(own.slot))
            .copied()
            .collect();
        // Admission has let the request in, so a target beyond its limit is better than none.
        let candidates = if below.is_empty() { candidates } else { below };
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
            self.affinity.learn(prefix, slot, now);
        }
        Some(Pick { slot, artifact })
    }

    /// Ends a choice.
    pub fn done(&mut self, pick: &Pick, ended: Ended, now: Point) {
        let Some(report) = self.table.report(pick.slot) else {
            return;
        };
        let (target, load) = (report.target.clone(), report.load);
        let service = report.service.clone();
        let floor = floor(&load, self.table.own_at_report(pick.slot));
        let config = self.config;
        let limit = self.limits.entry(target).or_insert_with(|| {
            let start = start_limit(load.slots);
            let mut limit = Adaptive::new(limit::Config {
                start,
                most: start.max(16) * 2,
                ..config.limit
            });
            limit.set_floor(floor);
            limit
        });
        let outcome = match ended {
            Ended::Answered(first) => {
                if config.adapt {
                    limit.answered(first, self.table.own(pick.slot));
                }
                self.first.add(first);
                Outcome::Answered(first)
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

    /// Decides what comes after the failed attempts of a request.
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
            // Whether one is left is seen when the next one is picked.
            target_left: true,
            most: self.config.most,
            expected: self.first.mean(),
            deadline,
        };
        attempt::decide(history, &known, now, || self.budget.take(now))
    }
}
