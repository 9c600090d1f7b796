//! Settings: one tree of values per scope, each with a revision.

mod history;

use std::collections::{BTreeMap, VecDeque};

use buckthornmast_consensus::machine::LogTime;
use buckthornmast_types::id;
pub use buckthornmast_types::scope::Scope;
use serde::{Deserialize, Serialize};

pub use crate::settings::history::{
    Entry, ID_RETENTION_MILLIS, MAX_HISTORY_BYTES, MAX_HISTORY_ENTRIES, MAX_HISTORY_TOTAL_BYTES,
    MAX_SCOPE_WRITE_IDS, MAX_WRITE_IDS, MIN_SCOPE_WRITE_IDS, WriteHistory,
};

/// Maximum length of a path in bytes.
pub const MAX_PATH_BYTES: usize = 256;
/// Maximum length of a value in bytes.
pub const MAX_VALUE_BYTES: usize = 16 << 10;
/// Maximum number of changes in one write.
pub const MAX_CHANGES: usize = 1024;
/// Maximum number of scopes.
pub const MAX_SCOPES: usize = 1024;
/// Maximum size of the paths and values of all scopes in bytes.
pub const MAX_TREE_BYTES: usize = 6 << 20;
/// Maximum number of recent writes that a tree keeps to answer [`Tree::changes_since`] with a delta.
pub const MAX_RECENT_WRITES: usize = 1024;
/// Maximum size in bytes of the recent writes that a tree keeps for deltas.
pub const MAX_RECENT_WRITE_BYTES: usize = 2 << 20;

/// Change of one value.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// Path within the scope, of printable ASCII characters without spaces.
    pub path: String,
    /// New value, or `None` to remove the path.
    pub value: Option<String>,
}

impl Change {
    fn bytes(&self) -> usize {
        self.path.len() + self.value.as_ref().map_or(0, String::len)
    }
}

/// Write of an operator.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Write {
    /// Scope.
    pub scope: Scope,
    /// Identity; a resent write keeps it.
    pub id: id::Write,
    /// Revision of the scope that the write is based on.
    pub base: id::Revision,
    /// Changes, at most [`MAX_CHANGES`].
    pub changes: Vec<Change>,
}

/// Reason why a write is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The write has no changes or more than [`MAX_CHANGES`].
    Count,
    /// A path is empty, longer than [`MAX_PATH_BYTES`] or contains a space or a character that is not
    /// printable ASCII.
    Path,
    /// A value is longer than [`MAX_VALUE_BYTES`].
    Value,
    /// The tree would exceed [`MAX_TREE_BYTES`] or [`MAX_SCOPES`].
    Full,
    /// The write ids within their retention are at a limit, so no further one can be recorded.
    TooMany,
}

/// Answer to a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The write is in force.
    Accepted {
        /// New revision of the scope.
        revision: id::Revision,
        /// New revision of all settings.
        all: id::Revision,
    },
    /// The base is not the current revision of the scope.
    Conflict {
        /// Current revision of the scope.
        revision: id::Revision,
    },
    /// The write is invalid or exceeds a limit.
    Refused(Refusal),
}

/// Values of one scope.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subtree {
    /// Revision; 0 before the first write.
    pub revision: id::Revision,
    /// Values by path.
    pub values: BTreeMap<String, String>,
}

/// Accepted write as it is sent to other instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedWrite {
    /// Revision of all settings.
    pub all: id::Revision,
    /// Scope.
    pub scope: Scope,
    /// Revision of the scope.
    pub revision: id::Revision,
    /// Log time.
    pub at: LogTime,
    /// Changes.
    pub changes: Vec<Change>,
}

impl AcceptedWrite {
    fn bytes(&self) -> usize {
        self.changes.iter().map(Change::bytes).sum()
    }
}

/// Update that brings a copy of the tree up to date.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// All writes after the revision of the copy, in order.
    Delta(Vec<AcceptedWrite>),
    /// Whole tree, if not all writes after the revision of the copy are still kept.
    #[serde(rename = "Whole")]
    Full {
        /// Revision of all settings.
        revision: id::Revision,
        /// Scopes.
        scopes: BTreeMap<Scope, Subtree>,
    },
}

/// Settings of all scopes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tree {
    revision: id::Revision,
    scopes: BTreeMap<Scope, Subtree>,
    bytes: usize,
    recent: VecDeque<AcceptedWrite>,
    recent_bytes: usize,
}

/// Validates the changes of a write. Its base is not checked.
pub fn check(changes: &[Change]) -> Result<(), Refusal> {
    if changes.is_empty() || changes.len() > MAX_CHANGES {
        return Err(Refusal::Count);
    }
    for change in changes {
        let is_printable = change.path.bytes().all(|byte| byte.is_ascii_graphic());
        if change.path.is_empty() || change.path.len() > MAX_PATH_BYTES || !is_printable {
            return Err(Refusal::Path);
        }
        let len = change.value.as_ref().map_or(0, String::len);
        if len > MAX_VALUE_BYTES {
            return Err(Refusal::Value);
        }
    }
    Ok(())
}

impl Tree {
    /// Returns the revision of all settings: the number of writes accepted so far.
    pub fn revision(&self) -> id::Revision {
        self.revision
    }

    /// Returns the scopes that have ever been written.
    pub fn scopes(&self) -> &BTreeMap<Scope, Subtree> {
        &self.scopes
    }

    /// Returns the revision of a scope.
    pub fn scope_revision(&self, scope: &Scope) -> id::Revision {
        let subtree = self.scopes.get(scope);
        subtree.map_or(id::Revision(0), |subtree| subtree.revision)
    }

    /// Returns the value at a path of a scope.
    pub fn get(&self, scope: &Scope, path: &str) -> Option<&str> {
        let value = self.scopes.get(scope)?.values.get(path)?;
        Some(value)
    }

    // The sizes of replaced and removed values are not subtracted, and removed paths count as added. A write that
    // would fit may therefore be refused, unless it only removes values. The estimate is too high by at most the
    // paths and values that the write replaces or removes, plus the removed paths once more.
    fn is_within_limits(&self, write: &Write) -> bool {
        let added: usize = write.changes.iter().map(Change::bytes).sum();
        let is_known = self.scopes.contains_key(&write.scope);
        let removes_only = write.changes.iter().all(|change| change.value.is_none());
        (removes_only || self.bytes + added <= MAX_TREE_BYTES)
            && (is_known || self.scopes.len() < MAX_SCOPES)
    }

    /// Decides on a write and applies it if it is accepted.
    pub(crate) fn write(&mut self, at: LogTime, write: &Write) -> Answer {
        if let Err(refusal) = check(&write.changes) {
            return Answer::Refused(refusal);
        }
        let current = self.scope_revision(&write.scope);
        if write.base != current {
            return Answer::Conflict { revision: current };
        }
        if !self.is_within_limits(write) {
            return Answer::Refused(Refusal::Full);
        }
        let accepted = AcceptedWrite {
            all: self.revision.next(),
            scope: write.scope.clone(),
            revision: current.next(),
            at,
            changes: write.changes.clone(),
        };
        let answer = Answer::Accepted {
            revision: accepted.revision,
            all: accepted.all,
        };
        self.accept(accepted);
        answer
    }

    fn accept(&mut self, accepted: AcceptedWrite) {
        let subtree = self.scopes.entry(accepted.scope.clone()).or_default();
        for change in &accepted.changes {
            let old = match &change.value {
                Some(value) => {
                    self.bytes += change.bytes();
                    subtree.values.insert(change.path.clone(), value.clone())
                }
                None => subtree.values.remove(&change.path),
            };
            if let Some(old) = old {
                self.bytes = self.bytes.saturating_sub(change.path.len() + old.len());
            }
        }
        subtree.revision = accepted.revision;
        self.revision = accepted.all;
        self.recent_bytes += accepted.bytes();
        self.recent.push_back(accepted);
        while self.recent.len() > MAX_RECENT_WRITES || self.recent_bytes > MAX_RECENT_WRITE_BYTES {
            let Some(oldest) = self.recent.pop_front() else {
                break;
            };
            self.recent_bytes = self.recent_bytes.saturating_sub(oldest.bytes());
        }
    }

    /// Returns the update for a copy at the given revision, or `None` if the copy is up to date.
    pub fn changes_since(&self, revision: id::Revision) -> Option<Update> {
        if revision >= self.revision {
            return None;
        }
        let has_next = self
            .recent
            .front()
            .is_some_and(|oldest| oldest.all <= revision.next());
        if has_next {
            let newer = self.recent.iter().filter(|write| write.all > revision);
            return Some(Update::Delta(newer.cloned().collect()));
        }
        Some(Update::Full {
            revision: self.revision,
            scopes: self.scopes.clone(),
        })
    }

    /// Applies the part of an update that is newer than the tree; returns whether the revision increased.
    pub fn apply_update(&mut self, update: Update) -> bool {
        let before = self.revision;
        match update {
            Update::Delta(writes) => {
                for write in writes {
                    if write.all == self.revision.next() {
                        self.accept(write);
                    }
                }
            }
            Update::Full { revision, scopes } if revision > self.revision => {
                let values = scopes.values().flat_map(|subtree| &subtree.values);
                let bytes = values.map(|(path, value)| path.len() + value.len()).sum();
                *self = Self {
                    revision,
                    scopes,
                    bytes,
                    ..Self::default()
                };
            }
            Update::Full { .. } => {}
        }
        self.revision > before
    }
}
