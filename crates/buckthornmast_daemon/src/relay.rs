//! What an instance passes on of the reports that targets send to it.
//!
//! A whole report is sent when its content has changed; otherwise a brief with the load is enough to keep
//! it fresh at the others. An instance that lacks the content asks for it. A target sends each report to
//! two instances; the second one passes it on only if it has not heard it from the first in time.

use std::collections::{BTreeMap, BTreeSet};

use buckthornmast_types::{
    id,
    report::{Load, Report},
    time::Point,
};

use crate::{
    message::{Relayed, millis},
    targets::Seen,
};

/// Hash of a report without its sequence, load and leaving.
pub type Content = u64;

/// Returns the hash of what a brief leaves out.
pub fn content_of(report: &Report) -> Content {
    let mut report = report.clone();
    report.sequence = 0;
    report.load = Load::default();
    report.leaving = false;
    // Serialising a report into memory does not fail.
    let bytes = serde_json::to_vec(&report).unwrap_or_default();
    xxhash_rust::xxh3::xxh3_64(&bytes)
}

#[derive(Debug)]
struct Pending {
    seen: Seen,
    due: Point,
}

/// Reports that wait to be passed on.
#[derive(Debug, Default)]
pub struct Outbox {
    pending: BTreeMap<id::Target, Pending>,
    told: BTreeMap<id::Target, Content>,
    wanted: BTreeSet<id::Target>,
}

impl Outbox {
    /// Adds the newest report of a target, to be passed on from a point in time.
    pub fn put(&mut self, seen: Seen, due: Point) {
        self.pending
            .insert(seen.report.target.clone(), Pending { seen, due });
    }

    /// Notes that another instance passed on a report.
    pub fn heard(&mut self, report: &Report) {
        let waiting = self.pending.get(&report.target);
        if waiting.is_some_and(|waiting| !waiting.seen.report.supersedes(report)) {
            self.pending.remove(&report.target);
        }
    }

    /// Notes that some instance lacks the content of these targets.
    pub fn want(&mut self, targets: impl IntoIterator<Item = id::Target>) {
        let known = |target: &id::Target| self.told.contains_key(target);
        let targets: Vec<_> = targets.into_iter().filter(known).collect();
        self.wanted.extend(targets);
    }

    /// Forgets what was told about targets that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&id::Target) -> bool) {
        self.told.retain(|target, _| is_known(target));
        self.wanted.retain(|target| is_known(target));
    }

    /// Takes what is due.
    pub fn take(&mut self, now: Point) -> Vec<Relayed> {
        let (due, waiting) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|(_, pending)| pending.due <= now);
        self.pending = waiting;
        let due: BTreeMap<_, Pending> = due;
        due.into_values()
            .map(|pending| self.relayed(&pending.seen, now))
            .collect()
    }

    fn relayed(&mut self, seen: &Seen, now: Point) -> Relayed {
        let report = &seen.report;
        let age_ms = millis(now.since(seen.sent));
        let content = seen.content;
        let told = self.told.insert(report.target.clone(), content);
        if self.wanted.remove(&report.target) || told != Some(content) {
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
            leaving: report.leaving,
            load: report.load,
            age_ms,
        }
    }
}
