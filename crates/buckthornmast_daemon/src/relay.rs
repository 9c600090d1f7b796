//! Relay of target reports to the other instances.
//!
//! A full report is sent when its content has changed; otherwise a brief with the load is enough to keep it
//! fresh at the other instances. An instance that lacks the content requests it. A target sends each report to
//! two instances; the second relays it only if it has not received it from the first in time.

use std::collections::{BTreeMap, BTreeSet};

use buckthornmast_types::{
    id,
    report::{Load, Report},
    time::Point,
};

use crate::{
    message::{Relayed, millis},
    targets::Observation,
};

/// Hash of a report without `sequence`, `load` and `is_leaving`.
pub type Content = u64;

/// Returns the hash of the fields that a brief omits.
pub fn content_of(report: &Report) -> Content {
    let mut report = report.clone();
    report.sequence = 0;
    report.load = Load::default();
    report.is_leaving = false;
    // Serialising a report into memory does not fail.
    let bytes = serde_json::to_vec(&report).unwrap_or_default();
    xxhash_rust::xxh3::xxh3_64(&bytes)
}

#[derive(Debug)]
struct Pending {
    observed: Observation,
    due: Point,
}

/// Reports queued for the relay.
#[derive(Debug, Default)]
pub struct Outbox {
    pending: BTreeMap<id::Target, Pending>,
    /// Content of the last report of each target that was relayed.
    sent: BTreeMap<id::Target, Content>,
    /// Targets whose next report is relayed in full.
    requested: BTreeSet<id::Target>,
}

impl Outbox {
    /// Queues the newest report of a target, to be relayed from the time `due`.
    pub fn put(&mut self, observed: Observation, due: Point) {
        self.pending
            .insert(observed.report.target.clone(), Pending { observed, due });
    }

    /// Removes a report that another instance has relayed, unless the queued one is newer.
    pub fn remove_relayed(&mut self, report: &Report) {
        let pending = self.pending.get(&report.target);
        if pending.is_some_and(|pending| !pending.observed.report.supersedes(report)) {
            self.pending.remove(&report.target);
        }
    }

    /// Relays the next report of these targets in full, since an instance lacks their content.
    ///
    /// Targets whose reports this instance has not relayed are ignored.
    pub fn request_full(&mut self, targets: impl IntoIterator<Item = id::Target>) {
        let was_sent = |target: &id::Target| self.sent.contains_key(target);
        let targets: Vec<_> = targets.into_iter().filter(was_sent).collect();
        self.requested.extend(targets);
    }

    /// Removes the state of targets that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&id::Target) -> bool) {
        self.sent.retain(|target, _| is_known(target));
        self.requested.retain(|target| is_known(target));
    }

    /// Takes the reports that are due.
    pub fn take_due(&mut self, now: Point) -> Vec<Relayed> {
        let (due, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|(_, pending)| pending.due <= now);
        self.pending = pending;
        let due: BTreeMap<_, Pending> = due;
        due.into_values()
            .map(|pending| self.relayed(&pending.observed, now))
            .collect()
    }

    fn relayed(&mut self, observed: &Observation, now: Point) -> Relayed {
        let report = &observed.report;
        let age_ms = millis(now.since(observed.sent));
        let content = observed.content;
        let sent = self.sent.insert(report.target.clone(), content);
        if self.requested.remove(&report.target) || sent != Some(content) {
            return Relayed::Full {
                report: Box::new(Report::clone(report)),
                age_ms,
            };
        }
        Relayed::Brief {
            target: report.target.clone(),
            incarnation: report.incarnation,
            sequence: report.sequence,
            content,
            leaving: report.is_leaving,
            load: report.load,
            age_ms,
        }
    }
}
