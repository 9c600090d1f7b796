//! Memory account of one target.

use std::{
    collections::BTreeMap,
    hash::{Hash, Hasher},
};

use buckthornmast_types::{
    order::Action,
    prelude::*,
    report::{Copy, Phase},
};

use crate::{
    entry::{ClosedOrder, End, Entry, Position},
    ledger::{JournalCoverage, Refusal},
};

/// Part of the newest report on which the account is based.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ReportSnapshot {
    pub(crate) position: Position,
    pub(crate) token: id::Token,
    pub(crate) memory: Bytes,
    pub(crate) is_leaving: bool,
    pub(crate) copies: BTreeMap<Artifact, Copy>,
}

impl Hash for ReportSnapshot {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.position, self.token, self.memory, self.is_leaving).hash(state);
        for copy in self.copies.values() {
            (&copy.artifact, copy.phase, copy.bytes).hash(state);
        }
    }
}

impl ReportSnapshot {
    pub(crate) fn new(report: &Report) -> Self {
        let copies = report.copies.iter();
        Self {
            position: Position {
                incarnation: report.incarnation,
                sequence: report.sequence,
            },
            token: report.token,
            memory: report.memory,
            is_leaving: report.is_leaving,
            copies: copies.map(|c| (c.artifact.clone(), c.clone())).collect(),
        }
    }
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Account {
    pub(crate) honours_tokens: bool,
    pub(crate) newest: Option<ReportSnapshot>,
    /// Oldest report on which the account may be based, unless the target is fenced.
    pub(crate) min_position: Position,
    pub(crate) entries: BTreeMap<id::Order, Entry>,
}

impl Account {
    pub(crate) fn copy(&self, artifact: &Artifact) -> Option<&Copy> {
        self.newest.as_ref()?.copies.get(artifact)
    }

    /// Returns whether the account covers every order that may still be executed.
    ///
    /// A report under the controller's own token shows all effects of orders of earlier holders. Without such
    /// a report, the account needs the intents in all journals and a report at least as new as those on which
    /// earlier holders acted.
    pub(crate) fn is_current(&self, token: id::Token, journals: JournalCoverage) -> bool {
        let are_intents_known = match journals {
            JournalCoverage::Unread => false,
            JournalCoverage::IgnoringTargets => !self.honours_tokens,
            JournalCoverage::All => true,
        };
        self.newest.as_ref().is_some_and(|newest| {
            let is_fenced = self.honours_tokens && newest.token >= token;
            is_fenced || (are_intents_known && newest.position >= self.min_position)
        })
    }

    /// Returns the memory used in the worst case: if all open loads and no open unloads are executed.
    pub(crate) fn worst_case_memory(&self) -> Bytes {
        let resident = self.newest.iter().flat_map(|newest| newest.copies.values());
        let resident: Bytes = resident.map(|copy| copy.bytes).sum();
        let pending = self
            .entries
            .values()
            .filter_map(|entry| match &entry.order().action {
                Action::Load { artifact, bytes } => {
                    let reported = self.copy(artifact).map_or(Bytes::ZERO, |copy| copy.bytes);
                    Some((artifact, bytes.saturating_sub(reported)))
                }
                _ => None,
            });
        // Inherited intents may contain several loads of one artifact; the largest counts.
        let mut unreported = BTreeMap::new();
        for (artifact, bytes) in pending {
            let largest = unreported.entry(artifact).or_insert(Bytes::ZERO);
            *largest = bytes.max(*largest);
        }
        resident.saturating_add(unreported.into_values().sum())
    }

    pub(crate) fn open_order(&self, artifact: &Artifact) -> Option<&Entry> {
        let mut entries = self.entries.values();
        entries.find(|entry| entry.artifact() == Some(artifact))
    }

    /// Returns whether a copy is ready and no open order may remove it.
    pub(crate) fn has_stable_copy(&self, artifact: &Artifact) -> bool {
        let is_ready = self
            .copy(artifact)
            .is_some_and(|copy| copy.phase == Phase::Ready);
        let mut entries = self.entries.values();
        // Unloading a model also unloads the adapters based on it.
        let base = artifact.base();
        is_ready
            && !entries.any(|entry| {
                entry.is_unload()
                    && entry
                        .artifact()
                        .is_some_and(|a| a == artifact || *a == base)
            })
    }

    pub(crate) fn check_load(&self, artifact: &Artifact, bytes: Bytes) -> Result<(), Refusal> {
        let Some(newest) = &self.newest else {
            return Err(Refusal::NotCurrent);
        };
        if newest.is_leaving {
            return Err(Refusal::Leaving);
        }
        if newest.copies.contains_key(artifact) {
            return Err(Refusal::Present);
        }
        let base = artifact.base();
        if let Some(entry) = self.open_order(&base)
            && entry.is_unload()
        {
            return Err(Refusal::order_open(entry));
        }
        let free = newest.memory.saturating_sub(self.worst_case_memory());
        if bytes > free {
            return Err(Refusal::Memory { bytes, free });
        }
        Ok(())
    }

    pub(crate) fn check_unload(&self, artifact: &Artifact) -> Result<(), Refusal> {
        let Some(copy) = self.copy(artifact) else {
            return Err(Refusal::Absent);
        };
        if copy.phase == Phase::Unloading {
            return Err(Refusal::Absent);
        }
        if artifact.adapter.is_some() {
            return Ok(());
        }
        let resident = self.newest.iter().flat_map(|newest| newest.copies.keys());
        let loading = self.entries.values().filter(|entry| entry.is_load());
        let mut others = resident.chain(loading.filter_map(Entry::artifact));
        match others.find(|other| other.adapter.is_some() && other.base() == *artifact) {
            Some(adapter) => Err(Refusal::NeededByAdapter {
                adapter: adapter.clone(),
            }),
            None => Ok(()),
        }
    }

    /// Removes the orders that the newest report closes, and appends them to `closed`.
    pub(crate) fn close_resolved(&mut self, closed: &mut Vec<ClosedOrder>) {
        let Some(newest) = &self.newest else {
            return;
        };
        let honours_tokens = self.honours_tokens;
        self.entries.retain(|_, entry| {
            if honours_tokens {
                entry.fence(newest.token);
            }
            let copy = entry.artifact().and_then(|a| newest.copies.get(a));
            let end = entry.end(newest.position.incarnation, copy);
            closed.extend(end.map(|end| closed_order(entry, end, newest.position)));
            end.is_none()
        });
    }
}

pub(crate) fn closed_order(entry: &Entry, end: End, position: Position) -> ClosedOrder {
    ClosedOrder {
        order: entry.order().clone(),
        end,
        position,
    }
}
