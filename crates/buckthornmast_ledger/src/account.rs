//! Account of one target.

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
    book::{Journals, Refusal},
    entry::{Closed, End, Entry, Mark},
};

/// Part of the newest report that the account rests on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Seen {
    pub(crate) mark: Mark,
    pub(crate) token: id::Token,
    pub(crate) memory: Bytes,
    pub(crate) leaving: bool,
    pub(crate) copies: BTreeMap<Artifact, Copy>,
}

impl Hash for Seen {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.mark, self.token, self.memory, self.leaving).hash(state);
        for copy in self.copies.values() {
            (&copy.artifact, copy.phase, copy.bytes).hash(state);
        }
    }
}

impl Seen {
    pub(crate) fn new(report: &Report) -> Self {
        let copies = report.copies.iter();
        Self {
            mark: Mark {
                incarnation: report.incarnation,
                sequence: report.sequence,
            },
            token: report.token,
            memory: report.memory,
            leaving: report.leaving,
            copies: copies.map(|c| (c.artifact.clone(), c.clone())).collect(),
        }
    }
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Account {
    pub(crate) honours: bool,
    pub(crate) seen: Option<Seen>,
    pub(crate) at_least: Mark,
    pub(crate) entries: BTreeMap<id::Order, Entry>,
}

impl Account {
    pub(crate) fn copy(&self, artifact: &Artifact) -> Option<&Copy> {
        self.seen.as_ref()?.copies.get(artifact)
    }

    /// Returns whether the account covers every order that may still be executed.
    ///
    /// A report under the own token shows everything that earlier holders caused. Without one, the
    /// intents in all journals and a report as new as those that earlier holders acted on do.
    pub(crate) fn is_current(&self, token: id::Token, journals: Journals) -> bool {
        let is_read = match journals {
            Journals::Unread => false,
            Journals::Ignoring => !self.honours,
            Journals::All => true,
        };
        self.seen.as_ref().is_some_and(|seen| {
            let is_fenced = self.honours && seen.token >= token;
            is_fenced || (is_read && seen.mark >= self.at_least)
        })
    }

    /// Returns the memory taken at the worst case.
    pub(crate) fn worst(&self) -> Bytes {
        let resident = self.seen.iter().flat_map(|seen| seen.copies.values());
        let resident: Bytes = resident.map(|copy| copy.bytes).sum();
        let pending = self
            .entries
            .values()
            .filter_map(|entry| match &entry.order().action {
                Action::Load { artifact, bytes } => {
                    let counted = self.copy(artifact).map_or(Bytes::ZERO, |copy| copy.bytes);
                    Some((artifact, bytes.saturating_sub(counted)))
                }
                _ => None,
            });
        // Inherited intents may name one artifact twice.
        let mut extra = BTreeMap::new();
        for (artifact, bytes) in pending {
            let largest = extra.entry(artifact).or_insert(Bytes::ZERO);
            *largest = bytes.max(*largest);
        }
        resident.saturating_add(extra.into_values().sum())
    }

    pub(crate) fn open_order(&self, artifact: &Artifact) -> Option<&Entry> {
        let mut entries = self.entries.values();
        entries.find(|entry| entry.artifact() == Some(artifact))
    }

    /// Returns whether a copy is ready and no open order may remove it.
    pub(crate) fn keeps(&self, artifact: &Artifact) -> bool {
        let is_ready = self
            .copy(artifact)
            .is_some_and(|copy| copy.phase == Phase::Ready);
        let mut entries = self.entries.values();
        // An adapter goes with the model below it.
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
        let Some(seen) = &self.seen else {
            return Err(Refusal::NotCurrent);
        };
        if seen.leaving {
            return Err(Refusal::Leaving);
        }
        if seen.copies.contains_key(artifact) {
            return Err(Refusal::Present);
        }
        let base = artifact.base();
        if let Some(entry) = self.open_order(&base)
            && entry.is_unload()
        {
            return Err(Refusal::open(entry));
        }
        let free = seen.memory.saturating_sub(self.worst());
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
        let resident = self.seen.iter().flat_map(|seen| seen.copies.keys());
        let loading = self.entries.values().filter(|entry| entry.is_load());
        let mut others = resident.chain(loading.filter_map(Entry::artifact));
        match others.find(|other| other.adapter.is_some() && other.base() == *artifact) {
            Some(adapter) => Err(Refusal::Based {
                adapter: adapter.clone(),
            }),
            None => Ok(()),
        }
    }

    /// Removes the orders that the newest report closes.
    pub(crate) fn settle(&mut self, closed: &mut Vec<Closed>) {
        let Some(seen) = &self.seen else {
            return;
        };
        let honours = self.honours;
        self.entries.retain(|_, entry| {
            if honours {
                entry.fence(seen.token);
            }
            let copy = entry.artifact().and_then(|a| seen.copies.get(a));
            let end = entry.end(seen.mark.incarnation, copy);
            closed.extend(end.map(|end| close(entry, end, seen.mark)));
            end.is_none()
        });
    }
}

pub(crate) fn close(entry: &Entry, end: End, mark: Mark) -> Closed {
    Closed {
        order: entry.order().clone(),
        end,
        mark,
    }
}
