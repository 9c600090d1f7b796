//! Prefix cache of a model engine and the events that it publishes.

use std::collections::VecDeque;

use buckthornmast_target::cache::Exported;
use buckthornmast_types::{
    cache::{Change, Event, Prefix},
    size::Bytes,
    time::Point,
};
use snafu::Snafu;

/// Maximum number of unpublished events. Beyond it the oldest are lost, as with an engine that is partitioned
/// from the instances.
const MAX_PENDING_EVENTS: usize = 4096;

/// Start of each blob, by which an engine recognises its own format.
const BLOB_MARK: &str = "standin-kv-1";

/// Reason why a KV cache was not imported.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ImportError {
    /// The blob differs from the exported one.
    #[snafu(display("the blob is damaged or belongs to another prefix"))]
    Damaged,
    /// The KV cache is larger than the prefix cache.
    #[snafu(display("{bytes} do not fit into a cache of {memory}"))]
    TooLarge {
        /// Size of the KV cache.
        bytes: Bytes,
        /// Size of the prefix cache.
        memory: Bytes,
    },
}

#[derive(Debug, Clone)]
struct Entry {
    prefix: Prefix,
    bytes: Bytes,
}

#[derive(Debug, Clone)]
struct PendingEvent {
    sequence: u64,
    at: Point,
    change: Change,
}

/// Prefix cache with limited memory and least-recently-used eviction.
#[derive(Debug, Default)]
pub struct Cache {
    memory: Bytes,
    used: Bytes,
    /// Entries, least recently used first.
    entries: VecDeque<Entry>,
    sequence: u64,
    pending: VecDeque<PendingEvent>,
}

/// Returns the blob that represents the KV cache of a prefix.
fn blob_of(prefix: Prefix, bytes: Bytes) -> String {
    format!("{BLOB_MARK}:{prefix}:{}", bytes.0)
}

impl Cache {
    /// Returns an empty cache.
    pub fn new(memory: Bytes) -> Self {
        Self {
            memory,
            ..Self::default()
        }
    }

    fn find(&self, prefix: Prefix) -> Option<usize> {
        self.entries.iter().position(|entry| entry.prefix == prefix)
    }

    /// Marks a prefix as used, stores it if it is not cached, and returns whether it was cached.
    pub fn lookup_or_store(&mut self, now: Point, prefix: Prefix, bytes: Bytes) -> bool {
        let position = self.find(prefix);
        if let Some(entry) = position.and_then(|index| self.entries.remove(index)) {
            self.entries.push_back(entry);
            return true;
        }
        self.store(now, prefix, bytes);
        false
    }

    fn store(&mut self, now: Point, prefix: Prefix, bytes: Bytes) {
        if bytes > self.memory {
            return;
        }
        while self.used.saturating_add(bytes) > self.memory {
            let Some(oldest) = self.entries.pop_front() else {
                break;
            };
            self.used = self.used.saturating_sub(oldest.bytes);
            self.push_event(now, Change::Evicted(oldest.prefix));
        }
        self.used = self.used.saturating_add(bytes);
        self.entries.push_back(Entry { prefix, bytes });
        self.push_event(now, Change::Stored(prefix));
    }

    fn push_event(&mut self, at: Point, change: Change) {
        self.sequence += 1;
        self.pending.push_back(PendingEvent {
            sequence: self.sequence,
            at,
            change,
        });
        if self.pending.len() > MAX_PENDING_EVENTS {
            self.pending.pop_front();
        }
    }

    /// Removes and returns the oldest events up to a point in time, at most `max` of them.
    pub fn take_events(&mut self, until: Point, now: Point, max: usize) -> Vec<Event> {
        let due = self.pending.iter().take_while(|event| event.at <= until);
        let count = due.count().min(max);
        let age_ms = |at| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        self.pending
            .drain(..count)
            .map(|event| Event {
                sequence: event.sequence,
                age_ms: age_ms(event.at),
                change: event.change,
            })
            .collect()
    }

    /// Returns the KV cache of a prefix, if it is cached.
    pub fn export(&self, prefix: Prefix) -> Option<Exported> {
        let entry = &self.entries[self.find(prefix)?];
        Some(Exported {
            prefix,
            bytes: entry.bytes.0,
            blob: blob_of(prefix, entry.bytes),
        })
    }

    /// Stores a KV cache that another engine exported.
    pub fn import(&mut self, now: Point, exported: &Exported) -> Result<(), ImportError> {
        let bytes = Bytes(exported.bytes);
        if exported.blob != blob_of(exported.prefix, bytes) {
            return Err(ImportError::Damaged);
        }
        if bytes > self.memory {
            let memory = self.memory;
            return Err(ImportError::TooLarge { bytes, memory });
        }
        self.lookup_or_store(now, exported.prefix, bytes);
        Ok(())
    }

    /// Returns the memory in use.
    pub fn used(&self) -> Bytes {
        self.used
    }
}
