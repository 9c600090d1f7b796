//! Targets as this instance sees them.
//!
//! Reports lag, so the load of a target is its reported load and the change of this instance's own
//! requests in progress since that report.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use buckthornmast_types::prelude::*;
use smallvec::SmallVec;

use crate::{
    arrival::{Loads, Pace},
    breaker::{self, Breaker},
    leave::Leave,
    outlier::{self, Health},
};

mod last;

pub use last::Arrival;

/// Bounds of a table.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Age from which a report is too old to send new work on its word.
    pub freshness: Duration,
    /// Load per slot from which work may leave the own failure domain.
    pub spill: f64,
    /// Load that counts on top for a target of another failure domain.
    pub remote_cost: f64,
    /// Slots of a target that reports none.
    pub slots: u32,
    /// Ejection of targets.
    pub outlier: outlier::Config,
    /// Breaker per artifact and target.
    pub breaker: breaker::Config,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            // A target that leaves must get no new work after 3 s; the rest is for the decision itself.
            freshness: Duration::from_millis(2500),
            spill: 0.8,
            remote_cost: 0.1,
            slots: 16,
            outlier: outlier::Config::default(),
            breaker: breaker::Config::default(),
        }
    }
}

/// Place of a target in the table. It stays the same and is never given to another target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot(u32);

/// What a request needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need<'a> {
    /// A ready copy of an artifact.
    Artifact(&'a Artifact),
    /// Any target of a service.
    Service(&'a id::Service),
}

/// Target that may take a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Target.
    pub slot: Slot,
    /// Load per slot, raised while the target returns from an ejection or is in another domain.
    pub load: f64,
    /// Requests of this instance in progress there.
    pub own: u32,
}

/// Candidates, on the stack for usual numbers of copies.
pub type Candidates = SmallVec<[Candidate; 32]>;

/// End of a request at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered; the latency compares between targets.
    Answered(Duration),
    /// It failed at the target.
    Failed,
    /// The target could not be connected to.
    Unreachable,
    /// It ended for a reason that says nothing about the target.
    Abandoned,
}

#[derive(Debug)]
struct Entry {
    report: Report,
    sampled: Point,
    /// Requests of this instance in progress, and how many they were at the newest report.
    own: u32,
    own_at_report: u32,
    leave: Leave,
    loads: Loads,
    /// Whether the indexes leave it out.
    pruned: bool,
    health: Health,
    breakers: HashMap<Artifact, Breaker>,
}

impl Entry {
    fn load(&self, config: &Config, now: Point, home: &id::Domain) -> f64 {
        let load = self.report.load;
        let reported = u64::from(load.running) + u64::from(load.waiting);
        let since = (reported + u64::from(self.own)).saturating_sub(u64::from(self.own_at_report));
        let slots = match load.slots {
            0 => config.slots,
            slots => slots,
        };
        #[expect(clippy::cast_precision_loss, reason = "counts of requests are small")]
        let busy = since.max(u64::from(self.own)) as f64;
        // Adding one request before weighing keeps an idle target that returns below its full share.
        let share = (busy + 1.0) / f64::from(slots) / self.health.weight(&config.outlier, now);
        let remote = self.report.domain != *home;
        share + if remote { config.remote_cost } else { 0.0 }
    }

    fn takes_work(&self, config: &Config, now: Point) -> bool {
        self.leave.stays() && now.since(self.sampled) < config.freshness
    }
}

/// Newest reports and own statistics per target.
#[derive(Debug)]
pub struct Table {
    config: Config,
    home: id::Domain,
    entries: Vec<Entry>,
    slots: HashMap<id::Target, Slot>,
    artifacts: HashMap<Artifact, Vec<Slot>>,
    services: HashMap<id::Service, Vec<Slot>>,
    drains: BTreeSet<id::Target>,
    pace: Pace,
}

fn add<K: Clone + Eq + std::hash::Hash>(index: &mut HashMap<K, Vec<Slot>>, key: &K, slot: Slot) {
    let slots = index.entry(key.clone()).or_default();
    if !slots.contains(&slot) {
        slots.push(slot);
    }
}

fn remove<K: Eq + std::hash::Hash>(index: &mut HashMap<K, Vec<Slot>>, key: &K, slot: Slot) {
    if let Some(slots) = index.get_mut(key) {
        slots.retain(|own| *own != slot);
        if slots.is_empty() {
            index.remove(key);
        }
    }
}

impl Table {
    /// Returns an empty table for an instance of a failure domain.
    pub fn new(config: Config, home: id::Domain) -> Self {
        Self {
            config,
            home,
            entries: Vec::new(),
            slots: HashMap::new(),
            artifacts: HashMap::new(),
            services: HashMap::new(),
            drains: BTreeSet::new(),
            pace: Pace::default(),
        }
    }

    fn entry(&self, slot: Slot) -> Option<&Entry> {
        self.entries.get(slot.0 as usize)
    }

    /// Returns the newest report of a target.
    pub fn report(&self, slot: Slot) -> Option<&Report> {
        self.entry(slot).map(|entry| &entry.report)
    }

    /// Returns the requests of this instance in progress at a target.
    pub fn own(&self, slot: Slot) -> u32 {
        self.entry(slot).map_or(0, |entry| entry.own)
    }

    /// Returns the other versions of a model or adapter that targets have.
    pub fn versions(&self, wanted: &Artifact) -> Vec<Artifact> {
        let name = |artifact: &Artifact| {
            let adapter = artifact.adapter.as_ref().map(|pin| pin.adapter.clone());
            (artifact.model.clone(), adapter)
        };
        let wanted_name = name(wanted);
        let others = self.artifacts.keys().filter(|artifact| *artifact != wanted);
        let mut found: Vec<Artifact> = others
            .filter(|artifact| name(artifact) == wanted_name)
            .cloned()
            .collect();
        // A fixed order, newest label first, so that instances agree.
        found.sort_by(|a, b| b.cmp(a));
        found
    }

    /// Returns the place of a target.
    pub fn slot(&self, target: &id::Target) -> Option<Slot> {
        self.slots.get(target).copied()
    }

    /// Takes a report that was sampled this long ago. Returns whether it is the newest of its target.
    pub fn observe(&mut self, report: Report, age: Duration, now: Point) -> bool {
        let sampled = now - age;
        let Some(slot) = self.slot(&report.target) else {
            self.insert(report, sampled);
            return true;
        };
        let Some(entry) = self.entries.get_mut(slot.0 as usize) else {
            return false;
        };
        if !report.supersedes(&entry.report) {
            return false;
        }
        if report.incarnation != entry.report.incarnation {
            // A restarted target starts with a clean record.
            entry.health = Health::default();
            entry.breakers.clear();
            entry.loads.clear();
        }
        entry.leave.reported(&report, sampled);
        entry.loads.observe(&report, sampled, &mut self.pace);
        entry.sampled = sampled;
        entry.own_at_report = entry.own;
        let old = std::mem::replace(&mut entry.report, report);
        if std::mem::take(&mut entry.pruned) {
            add(&mut self.services, &entry.report.service, slot);
        }
        self.reindex(slot, &old);
        true
    }

    fn insert(&mut self, report: Report, sampled: Point) {
        let slot = Slot(u32::try_from(self.entries.len()).unwrap_or(u32::MAX));
        self.slots.insert(report.target.clone(), slot);
        for copy in &report.copies {
            add(&mut self.artifacts, &copy.artifact, slot);
        }
        add(&mut self.services, &report.service, slot);
        let mut leave = Leave::default();
        leave.reported(&report, sampled);
        leave.drained(self.drains.contains(&report.target), None);
        let mut loads = Loads::default();
        loads.observe(&report, sampled, &mut self.pace);
        self.entries.push(Entry {
            leave,
            loads,
            report,
            sampled,
            own: 0,
            own_at_report: 0,
            pruned: false,
            health: Health::default(),
            breakers: HashMap::new(),
        });
    }

    fn reindex(&mut self, slot: Slot, old: &Report) {
        let Some(entry) = self.entries.get(slot.0 as usize) else {
            return;
        };
        let new = &entry.report;
        if old.service != new.service {
            remove(&mut self.services, &old.service, slot);
            add(&mut self.services, &new.service, slot);
        }
        for copy in &old.copies {
            if new.copy(&copy.artifact).is_none() {
                remove(&mut self.artifacts, &copy.artifact, slot);
            }
        }
        for copy in &new.copies {
            if old.copy(&copy.artifact).is_none() {
                add(&mut self.artifacts, &copy.artifact, slot);
            }
        }
    }

    /// Leaves targets out of the indexes whose newest report is older than this. A new report brings
    /// them back. To be called now and then, so that targets that are gone cost no time per choice.
    pub fn prune(&mut self, age: Duration, now: Point) {
        for (index, entry) in self.entries.iter_mut().enumerate() {
            if entry.pruned || now.since(entry.sampled) < age {
                continue;
            }
            entry.pruned = true;
            entry.breakers.clear();
            let slot = Slot(u32::try_from(index).unwrap_or(u32::MAX));
            for copy in std::mem::take(&mut entry.report.copies) {
                remove(&mut self.artifacts, &copy.artifact, slot);
            }
            remove(&mut self.services, &entry.report.service, slot);
        }
    }

    /// Takes the drains from the settings in force. `before` is the last time at which the settings before
    /// them are known to have been the newest.
    pub fn set_drains(&mut self, drains: BTreeSet<id::Target>, before: Option<Point>) {
        self.drains = drains;
        for entry in &mut self.entries {
            let is_drained = self.drains.contains(&entry.report.target);
            entry.leave.drained(is_drained, before);
        }
    }

    /// Returns the targets that may take a request now, without those that were already tried.
    ///
    /// Targets of the own failure domain come alone, unless all of them are loaded beyond the spill
    /// bound or none is left. An ejected target is only returned when no other has a copy, because a
    /// model must stay reachable. A copy with an open breaker is never returned: it has failed for this
    /// very artifact, and its probes show when it works again.
    pub fn candidates(&self, need: Need<'_>, tried: &[Slot], now: Point) -> Candidates {
        let slots = match need {
            Need::Artifact(artifact) => self.artifacts.get(artifact),
            Need::Service(service) => self.services.get(service),
        };
        let mut home = Candidates::new();
        let mut away = Candidates::new();
        let mut ejected = Candidates::new();
        for slot in slots.into_iter().flatten() {
            let Some(entry) = self.entry(*slot) else {
                continue;
            };
            if tried.contains(slot) || !self.fits(entry, need, now) {
                continue;
            }
            let candidate = Candidate {
                slot: *slot,
                load: entry.load(&self.config, now, &self.home),
                own: entry.own,
            };
            if entry.health.is_ejected(now) {
                ejected.push(candidate);
            } else if entry.report.domain == self.home {
                home.push(candidate);
            } else {
                away.push(candidate);
            }
        }
        if home.is_empty() && away.is_empty() {
            return ejected;
        }
        if !home.iter().any(|own| own.load < self.config.spill) {
            home.extend(away);
        }
        home
    }

    fn fits(&self, entry: &Entry, need: Need<'_>, now: Point) -> bool {
        let ready = match need {
            Need::Artifact(artifact) => {
                let open = |breaker: &Breaker| breaker.is_open(now);
                entry.report.is_ready(artifact) && !entry.breakers.get(artifact).is_some_and(open)
            }
            Need::Service(_) => true,
        };
        ready && entry.takes_work(&self.config, now)
    }

    /// Notes that a request was sent to a target.
    pub fn started(&mut self, slot: Slot, need: Need<'_>, now: Point) {
        if let Some(entry) = self.entries.get_mut(slot.0 as usize) {
            entry.own += 1;
            if let Need::Artifact(artifact) = need
                && let Some(breaker) = entry.breakers.get_mut(artifact)
            {
                breaker.started(now);
            }
        }
    }

    /// Notes the end of a request that was noted as started.
    pub fn finished(&mut self, slot: Slot, need: Need<'_>, outcome: Outcome, now: Point) {
        let config = self.config;
        let Some(entry) = self.entries.get_mut(slot.0 as usize) else {
            return;
        };
        entry.own = entry.own.saturating_sub(1);
        if let Need::Artifact(artifact) = need {
            match (outcome, entry.breakers.get_mut(artifact)) {
                (Outcome::Answered(_), Some(_)) => {
                    entry.breakers.remove(artifact);
                }
                (Outcome::Abandoned, Some(breaker)) => breaker.abandoned(),
                (Outcome::Failed | Outcome::Unreachable, _) => {
                    let breaker = entry.breakers.entry(artifact.clone()).or_default();
                    breaker.failed(&config.breaker, now);
                }
                _ => {}
            }
        }
        let eject = match outcome {
            Outcome::Answered(latency) => {
                entry.health.succeeded(latency, &config.outlier, now);
                false
            }
            Outcome::Failed => entry.health.failed(&config.outlier),
            // A refused connection means a dead process, which its last report can't say.
            Outcome::Unreachable => true,
            Outcome::Abandoned => false,
        };
        if eject && !entry.health.is_ejected(now) {
            self.eject(slot, now);
        }
    }

    fn eject(&mut self, slot: Slot, now: Point) {
        let Some(service) = self.report(slot).map(|report| &report.service) else {
            return;
        };
        let peers = self.services.get(service).into_iter().flatten();
        let peers = peers.filter_map(|peer| self.entry(*peer));
        let (mut fresh, mut ejected) = (0.0, 0.0);
        for peer in peers.filter(|peer| peer.takes_work(&self.config, now)) {
            fresh += 1.0;
            ejected += f64::from(u8::from(peer.health.is_ejected(now)));
        }
        let outlier = self.config.outlier;
        if ejected + 1.0 <= fresh * outlier.share
            && let Some(entry) = self.entries.get_mut(slot.0 as usize)
        {
            entry.health.eject(&outlier, now);
        }
    }

    /// Ejects targets that are far slower than the median of their service. To be called about once
    /// a second; it looks at every target.
    pub fn eject_slow(&mut self, now: Point) {
        let outlier = self.config.outlier;
        let mut slow: Vec<(Duration, Slot)> = Vec::new();
        for slots in self.services.values() {
            let known = slots.iter().filter_map(|slot| {
                let health = &self.entry(*slot)?.health;
                let latency = health.latency(&outlier)?;
                (!health.is_ejected(now)).then_some((latency, *slot))
            });
            let mut known: Vec<(Duration, Slot)> = known.collect();
            known.sort_unstable();
            // With fewer than three there is no majority to compare with.
            if known.len() < 3 {
                continue;
            }
            let bound = known[known.len() / 2].0.mul_f64(outlier.slow_factor);
            slow.extend(
                known
                    .iter()
                    .rev()
                    .take_while(|(latency, _)| *latency > bound),
            );
        }
        // The slowest go first, as the cap may not leave room for all.
        slow.sort_unstable_by(|a, b| b.cmp(a));
        for (_, slot) in slow {
            self.eject(slot, now);
        }
    }

    /// Returns the requests of this instance in progress at a target when its newest report came.
    pub fn own_at_report(&self, slot: Slot) -> u32 {
        self.entry(slot).map_or(0, |entry| entry.own_at_report)
    }

    /// Returns whether a target is ejected.
    pub fn is_ejected(&self, slot: Slot, now: Point) -> bool {
        self.entry(slot)
            .is_some_and(|entry| entry.health.is_ejected(now))
    }
}
