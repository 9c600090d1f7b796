//! Write ids with their first answers, and the history of each scope.

use std::collections::{BTreeMap, VecDeque};

use buckthornmast_consensus::machine::LogTime;
use buckthornmast_types::id;
use serde::{Deserialize, Serialize};

use crate::settings::{Answer, Change, MAX_SCOPES, Refusal, Scope, Tree, Write};

/// Log time that a write id is remembered at least, in milliseconds.
pub const ID_RETENTION_MILLIS: u64 = 24 * 60 * 60 * 1000;
/// Write ids per scope that are remembered at least.
pub const MIN_IDS: usize = 10_000;
/// Write ids of all scopes. At this number, ids within their retention can't be dropped and further
/// writes are refused.
pub const MAX_IDS: usize = 150_000;
/// Write ids of one scope, so that one team can't use up the memory of all.
pub const MAX_SCOPE_IDS: usize = 50_000;
/// Entries of the history of a scope.
pub const MAX_HISTORY: usize = 256;
/// Bytes of the history of a scope.
pub const MAX_HISTORY_BYTES: usize = 256 << 10;
/// Bytes of the history of all scopes.
pub const MAX_HISTORY_TOTAL_BYTES: usize = 4 << 20;

/// Entry of the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Revision of the scope.
    pub revision: id::Revision,
    /// Write.
    pub id: id::Write,
    /// Log time.
    pub at: LogTime,
    /// Changes.
    pub changes: Vec<Change>,
}

impl Entry {
    fn bytes(&self) -> usize {
        self.changes.iter().map(Change::bytes).sum::<usize>() + 64
    }
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Page {
    answers: BTreeMap<id::Write, Answer>,
    order: VecDeque<(LogTime, id::Write)>,
    history: VecDeque<Entry>,
    history_bytes: usize,
}

/// Memory of all writes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Book {
    pages: BTreeMap<Scope, Page>,
    ids: usize,
    history_bytes: usize,
}

impl Book {
    /// Answers a write: from memory if its id is known, else by the tree.
    pub(crate) fn write(&mut self, tree: &mut Tree, at: LogTime, write: &Write) -> Answer {
        let page = self.pages.get(&write.scope);
        if let Some(first) = page.and_then(|page| page.answers.get(&write.id)) {
            return *first;
        }
        self.forget_ids(&write.scope, at);
        let kept = self.pages.get(&write.scope).map(|page| page.order.len());
        // These two refusals are not remembered, for lack of room.
        if self.ids >= MAX_IDS || kept.is_some_and(|kept| kept >= MAX_SCOPE_IDS) {
            return Answer::Refused(Refusal::TooMany);
        }
        if kept.is_none() && self.pages.len() >= MAX_SCOPES {
            return Answer::Refused(Refusal::Full);
        }
        let answer = tree.write(at, write);
        let page = self.pages.entry(write.scope.clone()).or_default();
        page.answers.insert(write.id, answer);
        page.order.push_back((at, write.id));
        self.ids += 1;
        if let Answer::Accepted { revision, .. } = answer {
            self.record(at, revision, write);
        }
        answer
    }

    fn forget_ids(&mut self, scope: &Scope, at: LogTime) {
        let Some(page) = self.pages.get_mut(scope) else {
            return;
        };
        while page.order.len() > MIN_IDS
            && let Some((then, id)) = page.order.front().copied()
            && then.0.saturating_add(ID_RETENTION_MILLIS) < at.0
        {
            page.order.pop_front();
            page.answers.remove(&id);
            self.ids = self.ids.saturating_sub(1);
        }
    }

    fn record(&mut self, at: LogTime, revision: id::Revision, write: &Write) {
        let entry = Entry {
            revision,
            id: write.id,
            at,
            changes: write.changes.clone(),
        };
        let page = self.pages.entry(write.scope.clone()).or_default();
        page.history_bytes += entry.bytes();
        self.history_bytes += entry.bytes();
        page.history.push_back(entry);
        while page.history.len() > MAX_HISTORY
            || page.history_bytes > MAX_HISTORY_BYTES
            || self.history_bytes > MAX_HISTORY_TOTAL_BYTES
        {
            let Some(oldest) = page.history.pop_front() else {
                break;
            };
            page.history_bytes = page.history_bytes.saturating_sub(oldest.bytes());
            self.history_bytes = self.history_bytes.saturating_sub(oldest.bytes());
        }
    }

    /// Returns the accepted writes of a scope that are still kept, oldest first.
    pub fn history(&self, scope: &Scope) -> impl Iterator<Item = &Entry> {
        let page = self.pages.get(scope);
        page.into_iter().flat_map(|page| &page.history)
    }

    /// Returns the first answer to a write, if it is remembered.
    pub fn answer(&self, scope: &Scope, write: id::Write) -> Option<Answer> {
        self.pages.get(scope)?.answers.get(&write).copied()
    }

    /// Returns how many write ids are remembered.
    pub fn ids(&self) -> usize {
        self.ids
    }
}
