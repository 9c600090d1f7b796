//! Targets as seen by this instance.
//!
//! Reports lag, so the load of a target is estimated as its reported load plus the change in this instance's
//! own requests in progress there since that report.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use buckthornmast_types::prelude::*;
use smallvec::SmallVec;

use crate::{
    breaker::{self, Breaker},
    departure::Departure,
    loading::{LoadTime, Loads},
    outlier::{self, Health},
};

mod last_copies;

pub use last_copies::LoadingCopy;

/// Configuration of a table.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Age from which a report is too old for new work to be sent to its target.
    pub max_report_age: Duration,
    /// Load per slot from which work may go to other failure domains.
    pub spill_threshold: f64,
    /// Load per slot that is added for a target of another failure domain.
    pub remote_cost: f64,
    /// Assumed slots of a target that reports none.
    pub default_slots: u32,
    /// Configuration of the ejection of targets.
    pub outlier: outlier::Config,
    /// Configuration of the breaker per artifact and target.
    pub breaker: breaker::Config,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            // A leaving target must get no new work after 3 s; the remaining 500 ms is for reports in transit and for
            // the dispatch itself.
            max_report_age: Duration::from_millis(2500),
            spill_threshold: 0.8,
            remote_cost: 0.1,
            default_slots: 16,
            outlier: outlier::Config::default(),
            breaker: breaker::Config::default(),
        }
    }
}

/// Index of a target in the table. It is stable and never reused for another target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot(u32);

/// Requirement of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need<'a> {
    /// A ready copy of an artifact.
    Artifact(&'a Artifact),
    /// Any target of a service.
    Service(&'a id::Service),
}

/// Target to which a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Slot of the target in the table.
    pub slot: Slot,
    /// Load per slot, raised while the target ramps up after an ejection, or if it is in another domain.
    pub load: f64,
    /// Requests of this instance in progress there.
    pub in_progress: u32,
}

/// Candidates, stored on the stack for typical numbers of copies.
pub type Candidates = SmallVec<[Candidate; 32]>;

/// End of a request at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request was answered; the latency is comparable between targets.
    Answered(Duration),
    /// The request failed at the target.
    Failed,
    /// The connection to the target failed.
    Unreachable,
    /// The request ended for a reason unrelated to the target.
    Abandoned,
}

#[derive(Debug)]
struct Entry {
    report: Report,
    sampled: Point,
    /// Requests of this instance in progress now.
    in_progress: u32,
    /// Requests of this instance in progress when the newest report arrived.
    in_progress_at_report: u32,
    departure: Departure,
    loads: Loads,
    /// Whether the target has been removed from the indexes.
    is_pruned: bool,
    health: Health,
    breakers: HashMap<Artifact, Breaker>,
}

impl Entry {
    fn load(&self, config: &Config, now: Point, home: &id::Domain) -> f64 {
        let load = self.report.load;
        let reported = u64::from(load.running) + u64::from(load.waiting);
        let estimated = (reported + u64::from(self.in_progress))
            .saturating_sub(u64::from(self.in_progress_at_report));
        let slots = match load.slots {
            0 => config.default_slots,
            slots => slots,
        };
        // The target has at least the requests of this instance.
        #[expect(clippy::cast_precision_loss, reason = "counts of requests are small")]
        let requests = estimated.max(u64::from(self.in_progress)) as f64;
        // One request is added before the weight is applied, so that an idle target that ramps up after an
        // ejection gets less than its full share.
        let load_per_slot =
            (requests + 1.0) / f64::from(slots) / self.health.weight(&config.outlier, now);
        let is_remote = self.report.domain != *home;
        load_per_slot + if is_remote { config.remote_cost } else { 0.0 }
    }

    fn accepts_work(&self, config: &Config, now: Point) -> bool {
        self.departure.is_staying() && now.since(self.sampled) < config.max_report_age
    }
}

/// Newest report of each target, and this instance's statistics about it.
#[derive(Debug)]
pub struct Table {
    config: Config,
    home: id::Domain,
    entries: Vec<Entry>,
    slots: HashMap<id::Target, Slot>,
    artifacts: HashMap<Artifact, Vec<Slot>>,
    services: HashMap<id::Service, Vec<Slot>>,
    drains: BTreeSet<id::Target>,
    load_time: LoadTime,
}

fn add_to_index<K: Clone + Eq + std::hash::Hash>(
    index: &mut HashMap<K, Vec<Slot>>,
    key: &K,
    slot: Slot,
) {
    let slots = index.entry(key.clone()).or_default();
    if !slots.contains(&slot) {
        slots.push(slot);
    }
}

fn remove_from_index<K: Eq + std::hash::Hash>(
    index: &mut HashMap<K, Vec<Slot>>,
    key: &K,
    slot: Slot,
) {
    if let Some(slots) = index.get_mut(key) {
        slots.retain(|other| *other != slot);
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
            load_time: LoadTime::default(),
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
    pub fn in_progress(&self, slot: Slot) -> u32 {
        self.entry(slot).map_or(0, |entry| entry.in_progress)
    }

    /// Returns the other versions of a model or adapter of which targets have copies.
    pub fn versions(&self, requested: &Artifact) -> Vec<Artifact> {
        let name = |artifact: &Artifact| {
            let adapter = artifact.adapter.as_ref().map(|pin| pin.adapter.clone());
            (artifact.model.clone(), adapter)
        };
        let requested_name = name(requested);
        let others = self
            .artifacts
            .keys()
            .filter(|artifact| *artifact != requested);
        let mut found: Vec<Artifact> = others
            .filter(|artifact| name(artifact) == requested_name)
            .cloned()
            .collect();
        // A fixed order with the newest label first makes all instances agree.
        found.sort_by(|a, b| b.cmp(a));
        found
    }

    /// Returns the slot of a target.
    pub fn slot(&self, target: &id::Target) -> Option<Slot> {
        self.slots.get(target).copied()
    }

    /// Records a report that was sampled `age` ago. Returns whether it is the newest of its target.
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
            // Errors and loads of the previous incarnation don't apply to a restarted target.
            entry.health = Health::default();
            entry.breakers.clear();
            entry.loads.clear();
        }
        entry.departure.observe(&report, sampled);
        entry.loads.observe(&report, sampled, &mut self.load_time);
        entry.sampled = sampled;
        entry.in_progress_at_report = entry.in_progress;
        let old = std::mem::replace(&mut entry.report, report);
        if std::mem::take(&mut entry.is_pruned) {
            add_to_index(&mut self.services, &entry.report.service, slot);
        }
        self.reindex(slot, &old);
        true
    }

    fn insert(&mut self, report: Report, sampled: Point) {
        let slot = Slot(u32::try_from(self.entries.len()).unwrap_or(u32::MAX));
        self.slots.insert(report.target.clone(), slot);
        for copy in &report.copies {
            add_to_index(&mut self.artifacts, &copy.artifact, slot);
        }
        add_to_index(&mut self.services, &report.service, slot);
        let mut departure = Departure::default();
        departure.observe(&report, sampled);
        departure.set_drained(self.drains.contains(&report.target), None);
        let mut loads = Loads::default();
        loads.observe(&report, sampled, &mut self.load_time);
        self.entries.push(Entry {
            departure,
            loads,
            report,
            sampled,
            in_progress: 0,
            in_progress_at_report: 0,
            is_pruned: false,
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
            remove_from_index(&mut self.services, &old.service, slot);
            add_to_index(&mut self.services, &new.service, slot);
        }
        for copy in &old.copies {
            if new.copy(&copy.artifact).is_none() {
                remove_from_index(&mut self.artifacts, &copy.artifact, slot);
            }
        }
        for copy in &new.copies {
            if old.copy(&copy.artifact).is_none() {
                add_to_index(&mut self.artifacts, &copy.artifact, slot);
            }
        }
    }

    /// Removes from the indexes the targets whose newest report is at least `age` old. A new report adds a target
    /// again. Callers run it periodically, so that targets that no longer exist cost no time per choice.
    pub fn prune(&mut self, age: Duration, now: Point) {
        for (index, entry) in self.entries.iter_mut().enumerate() {
            if entry.is_pruned || now.since(entry.sampled) < age {
                continue;
            }
            entry.is_pruned = true;
            entry.breakers.clear();
            let slot = Slot(u32::try_from(index).unwrap_or(u32::MAX));
            for copy in std::mem::take(&mut entry.report.copies) {
                remove_from_index(&mut self.artifacts, &copy.artifact, slot);
            }
            remove_from_index(&mut self.services, &entry.report.service, slot);
        }
    }

    /// Sets the drained targets from the settings in force. `before` is the last time at which the previous
    /// settings are known to have been the newest.
    pub fn set_drains(&mut self, drains: BTreeSet<id::Target>, before: Option<Point>) {
        self.drains = drains;
        for entry in &mut self.entries {
            let is_drained = self.drains.contains(&entry.report.target);
            entry.departure.set_drained(is_drained, before);
        }
    }

    /// Returns the targets to which a request may be sent now, without those already tried.
    ///
    /// Only targets of the home failure domain are returned, unless all of them are loaded beyond the spill
    /// threshold or none is left. Ejected targets are returned only when no other target qualifies, because a
    /// model must stay reachable. A copy with an open breaker is never returned: requests for this very
    /// artifact have failed there, and the breaker's probes show when it works again.
    pub fn candidates(&self, need: Need<'_>, tried: &[Slot], now: Point) -> Candidates {
        let slots = match need {
            Need::Artifact(artifact) => self.artifacts.get(artifact),
            Need::Service(service) => self.services.get(service),
        };
        let mut home = Candidates::new();
        let mut remote = Candidates::new();
        let mut ejected = Candidates::new();
        for slot in slots.into_iter().flatten() {
            let Some(entry) = self.entry(*slot) else {
                continue;
            };
            if tried.contains(slot) || !self.is_eligible(entry, need, now) {
                continue;
            }
            let candidate = Candidate {
                slot: *slot,
                load: entry.load(&self.config, now, &self.home),
                in_progress: entry.in_progress,
            };
            if entry.health.is_ejected(now) {
                ejected.push(candidate);
            } else if entry.report.domain == self.home {
                home.push(candidate);
            } else {
                remote.push(candidate);
            }
        }
        if home.is_empty() && remote.is_empty() {
            return ejected;
        }
        if !home
            .iter()
            .any(|candidate| candidate.load < self.config.spill_threshold)
        {
            home.extend(remote);
        }
        home
    }

    fn is_eligible(&self, entry: &Entry, need: Need<'_>, now: Point) -> bool {
        let is_ready = match need {
            Need::Artifact(artifact) => {
                let open = |breaker: &Breaker| breaker.is_open(now);
                entry.report.is_ready(artifact) && !entry.breakers.get(artifact).is_some_and(open)
            }
            Need::Service(_) => true,
        };
        is_ready && entry.accepts_work(&self.config, now)
    }

    /// Records that a request was sent to a target.
    pub fn started(&mut self, slot: Slot, need: Need<'_>, now: Point) {
        if let Some(entry) = self.entries.get_mut(slot.0 as usize) {
            entry.in_progress += 1;
            if let Need::Artifact(artifact) = need
                && let Some(breaker) = entry.breakers.get_mut(artifact)
            {
                breaker.started(now);
            }
        }
    }

    /// Records the end of a request recorded by [`Table::started`].
    pub fn finished(&mut self, slot: Slot, need: Need<'_>, outcome: Outcome, now: Point) {
        let config = self.config;
        let Some(entry) = self.entries.get_mut(slot.0 as usize) else {
            return;
        };
        entry.in_progress = entry.in_progress.saturating_sub(1);
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
        let should_eject = match outcome {
            Outcome::Answered(latency) => {
                entry.health.succeeded(latency, &config.outlier, now);
                false
            }
            Outcome::Failed => entry.health.failed(&config.outlier),
            // A failed connection means that the process is dead, which its last report can't show.
            Outcome::Unreachable => true,
            Outcome::Abandoned => false,
        };
        if should_eject && !entry.health.is_ejected(now) {
            self.eject(slot, now);
        }
    }

    /// Ejects a target, unless too many targets of its service are ejected already.
    fn eject(&mut self, slot: Slot, now: Point) {
        let Some(service) = self.report(slot).map(|report| &report.service) else {
            return;
        };
        let peers = self.services.get(service).into_iter().flatten();
        let peers = peers.filter_map(|peer| self.entry(*peer));
        let (mut accepting, mut ejected) = (0.0, 0.0);
        for peer in peers.filter(|peer| peer.accepts_work(&self.config, now)) {
            accepting += 1.0;
            ejected += f64::from(u8::from(peer.health.is_ejected(now)));
        }
        let outlier = self.config.outlier;
        if ejected + 1.0 <= accepting * outlier.max_ejected_share
            && let Some(entry) = self.entries.get_mut(slot.0 as usize)
        {
            entry.health.eject(&outlier, now);
        }
    }

    /// Ejects targets that are far slower than the median of their service. Callers run it about once a
    /// second, because it visits every target.
    pub fn eject_slow(&mut self, now: Point) {
        let outlier = self.config.outlier;
        let mut slow: Vec<(Duration, Slot)> = Vec::new();
        for slots in self.services.values() {
            let latencies = slots.iter().filter_map(|slot| {
                let health = &self.entry(*slot)?.health;
                let latency = health.latency(&outlier)?;
                (!health.is_ejected(now)).then_some((latency, *slot))
            });
            let mut latencies: Vec<(Duration, Slot)> = latencies.collect();
            latencies.sort_unstable();
            // Fewer than three targets have no majority to compare with.
            if latencies.len() < 3 {
                continue;
            }
            let threshold = latencies[latencies.len() / 2]
                .0
                .mul_f64(outlier.slow_factor);
            slow.extend(
                latencies
                    .iter()
                    .rev()
                    .take_while(|(latency, _)| *latency > threshold),
            );
        }
        // The slowest targets go first, because the limit on ejected targets may not allow all of them.
        slow.sort_unstable_by(|a, b| b.cmp(a));
        for (_, slot) in slow {
            self.eject(slot, now);
        }
    }

    /// Returns the requests of this instance that were in progress at a target when its newest report arrived.
    pub fn in_progress_at_report(&self, slot: Slot) -> u32 {
        self.entry(slot)
            .map_or(0, |entry| entry.in_progress_at_report)
    }

    /// Returns whether a target is ejected.
    pub fn is_ejected(&self, slot: Slot, now: Point) -> bool {
        self.entry(slot)
            .is_some_and(|entry| entry.health.is_ejected(now))
    }
}
