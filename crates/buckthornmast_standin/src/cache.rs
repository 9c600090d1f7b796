//! Prefix cache of a model engine and the events that it publishes.

use std::collections::VecDeque;

use buckthornmast_target::cache::Exported;
use buckthornmast_types::{
    cache::{Change, Event, Prefix},
    size::Bytes,
    time::Point,
};
use snafu::Snafu;

/// Events that wait to be published. Beyond it the oldest are lost, as from an engine that is cut off.
const MAX_WAITING: usize = 4096;

/// First characters of a blob, by which an engine knows its own format.
const BLOB_MARK: &str = "standin-kv-1";

/// Reason why a KV cache is not imported.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ImportError {
    /// The blob is not what was exported.
    #[snafu(display("the blob is damaged or belongs to another prefix"))]
    Damaged,
    /// It is larger than the cache.
    #[snafu(display("{bytes} do not fit into a cache of {memory}"))]
    TooLarge {
        /// Size of the KV cache.
        bytes: Bytes,
        /// Size of the cache.
        memory: Bytes,
    },
}

#[derive(Debug, Clone)]
struct Entry {
    prefix: Prefix,
    bytes: Bytes,
}

#[derive(Debug, Clone)]
struct Waiting {
    sequence: u64,
    at: Point,
    change: Change,
}

/// Prefix cache with limited memory that evicts what was not used for longest.
#[derive(Debug, Default)]
pub struct Cache {
    memory: Bytes,
    used: Bytes,
    /// Least recently used first.
    entries: VecDeque<Entry>,
    sequence: u64,
    waiting: VecDeque<Waiting>,
}

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

    /// Uses a prefix and returns whether it was cached; if not, it is stored now.
    pub fn lookup(&mut self, now: Point, prefix: Prefix, bytes: Bytes) -> bool {
        let found = self.find(prefix);
        if let Some(entry) = found.and_then(|index| self.entries.remove(index)) {
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
            self.publish(now, Change::Evicted(oldest.prefix));
        }
        self.used = self.used.saturating_add(bytes);
        self.entries.push_back(Entry { prefix, bytes });
        self.publish(now, Change::Stored(prefix));
    }

    fn publish(&mut self, at: Point, change: Change) {
        self.sequence += 1;
        self.waiting.push_back(Waiting {
            sequence: self.sequence,
            at,
            change,
        });
        if self.waiting.len() > MAX_WAITING {
            self.waiting.pop_front();
        }
    }

    /// Takes the events that happened up to a point in time, at most `most` of them.
    pub fn take_events(&mut self, until: Point, now: Point, most: usize) -> Vec<Event> {
        let due = self.waiting.iter().take_while(|event| event.at <= until);
        let count = due.count().min(most);
        let age_ms = |at| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        self.waiting
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

    /// Stores the KV cache that another engine exported.
    pub fn import(&mut self, now: Point, exported: &Exported) -> Result<(), ImportError> {
        let bytes = Bytes(exported.bytes);
        if exported.blob != blob_of(exported.prefix, bytes) {
            return Err(ImportError::Damaged);
        }
        if bytes > self.memory {
            let memory = self.memory;
            return Err(ImportError::TooLarge { bytes, memory });
        }
        self.lookup(now, exported.prefix, bytes);
        Ok(())
    }

    /// Returns the memory in use.
    pub fn used(&self) -> Bytes {
        self.used
    }
}
