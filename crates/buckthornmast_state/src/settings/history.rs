//! Write ids with their first answers, and the accepted writes of each scope.

use std::collections::{BTreeMap, VecDeque};

use buckthornmast_consensus::machine::LogTime;
use buckthornmast_types::id;
use serde::{Deserialize, Serialize};

use crate::settings::{Answer, Change, MAX_SCOPES, Refusal, Scope, Tree, Write};

/// Minimum log time for which a write id is remembered, in milliseconds.
pub const ID_RETENTION_MILLIS: u64 = 24 * 60 * 60 * 1000;
/// Number of the newest write ids of a scope that are remembered regardless of their age.
pub const MIN_SCOPE_WRITE_IDS: usize = 10_000;
/// Maximum number of write ids of all scopes. Ids within their retention are not dropped to make room; further
/// writes are refused instead.
pub const MAX_WRITE_IDS: usize = 150_000;
/// Maximum number of write ids of one scope, so that one team can't exhaust the limit of all.
pub const MAX_SCOPE_WRITE_IDS: usize = 50_000;
/// Maximum number of entries in the history of a scope.
pub const MAX_HISTORY_ENTRIES: usize = 256;
/// Maximum size of the history of a scope in bytes.
pub const MAX_HISTORY_BYTES: usize = 256 << 10;
/// Maximum size of the histories of all scopes in bytes. Beyond it, a write drops the oldest entries of its own scope.
pub const MAX_HISTORY_TOTAL_BYTES: usize = 4 << 20;

/// Accepted write in the history of a scope.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Revision of the scope.
    pub revision: id::Revision,
    /// Identity of the write.
    pub id: id::Write,
    /// Log time.
    pub at: LogTime,
    /// Changes.
    pub changes: Vec<Change>,
}

impl Entry {
    // Counts 64 bytes for everything except the changes.
    fn bytes(&self) -> usize {
        self.changes.iter().map(Change::bytes).sum::<usize>() + 64
    }
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct ScopeHistory {
    answers: BTreeMap<id::Write, Answer>,
    // Write ids, oldest first, with the log time at which they were recorded.
    order: VecDeque<(LogTime, id::Write)>,
    history: VecDeque<Entry>,
    history_bytes: usize,
}

/// Write ids and histories of all scopes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteHistory {
    #[serde(rename = "pages")]
    scopes: BTreeMap<Scope, ScopeHistory>,
    // Number of write ids of all scopes.
    ids: usize,
    history_bytes: usize,
}

impl WriteHistory {
    /// Returns the recorded answer if the write id is known; otherwise applies the write to the tree.
    pub(crate) fn write(&mut self, tree: &mut Tree, at: LogTime, write: &Write) -> Answer {
        let scope_history = self.scopes.get(&write.scope);
        if let Some(first) =
            scope_history.and_then(|scope_history| scope_history.answers.get(&write.id))
        {
            return *first;
        }
        self.expire_ids(&write.scope, at);
        let id_count = self
            .scopes
            .get(&write.scope)
            .map(|scope_history| scope_history.order.len());
        // These two refusals are not recorded, since a limit on ids or scopes is reached.
        if self.ids >= MAX_WRITE_IDS
            || id_count.is_some_and(|id_count| id_count >= MAX_SCOPE_WRITE_IDS)
        {
            return Answer::Refused(Refusal::TooMany);
        }
        if id_count.is_none() && self.scopes.len() >= MAX_SCOPES {
            return Answer::Refused(Refusal::Full);
        }
        let answer = tree.write(at, write);
        let scope_history = self.scopes.entry(write.scope.clone()).or_default();
        scope_history.answers.insert(write.id, answer);
        scope_history.order.push_back((at, write.id));
        self.ids += 1;
        if let Answer::Accepted { revision, .. } = answer {
            self.record(at, revision, write);
        }
        answer
    }

    fn expire_ids(&mut self, scope: &Scope, at: LogTime) {
        let Some(scope_history) = self.scopes.get_mut(scope) else {
            return;
        };
        while scope_history.order.len() > MIN_SCOPE_WRITE_IDS
            && let Some((recorded_at, id)) = scope_history.order.front().copied()
            && recorded_at.0.saturating_add(ID_RETENTION_MILLIS) < at.0
        {
            scope_history.order.pop_front();
            scope_history.answers.remove(&id);
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
        let scope_history = self.scopes.entry(write.scope.clone()).or_default();
        scope_history.history_bytes += entry.bytes();
        self.history_bytes += entry.bytes();
        scope_history.history.push_back(entry);
        while scope_history.history.len() > MAX_HISTORY_ENTRIES
            || scope_history.history_bytes > MAX_HISTORY_BYTES
            || self.history_bytes > MAX_HISTORY_TOTAL_BYTES
        {
            let Some(oldest) = scope_history.history.pop_front() else {
                break;
            };
            scope_history.history_bytes =
                scope_history.history_bytes.saturating_sub(oldest.bytes());
            self.history_bytes = self.history_bytes.saturating_sub(oldest.bytes());
        }
    }

    /// Returns the accepted writes of a scope that are still kept, oldest first.
    pub fn history(&self, scope: &Scope) -> impl Iterator<Item = &Entry> {
        let scope_history = self.scopes.get(scope);
        scope_history
            .into_iter()
            .flat_map(|scope_history| &scope_history.history)
    }

    /// Returns the first answer to a write, if its id is still remembered.
    pub fn answer(&self, scope: &Scope, write: id::Write) -> Option<Answer> {
        self.scopes.get(scope)?.answers.get(&write).copied()
    }

    /// Returns the number of remembered write ids.
    pub fn write_id_count(&self) -> usize {
        self.ids
    }
}
