//! Records of streams that have begun.

use std::{collections::HashMap, fmt, time::Duration};

use buckthornmast_types::{id, time::Point};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of records in one generation. An instance of the core gets two copies' share of 1,600 streams a second in a fleet
/// of six, which is a minute.
pub const MAX_GENERATION_RECORDS: usize = 32_768;

/// Service, as a hash. The default is no service.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Service(u64);

impl Service {
    /// Returns the hash of a service.
    pub fn new(service: &id::Service) -> Self {
        Self(xxh3_64(service.as_str().as_bytes()))
    }
}

/// Stream, as a hash of the request that brought its first event. Its service is no part of that: routes may have moved to
/// another one by the time its caller takes it up. The default is no stream.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Key(u64);

impl Key {
    /// Returns the stream that a request began.
    pub fn new(request: &str) -> Self {
        Self(xxh3_64(request.as_bytes()))
    }

    /// Returns a number that differs between streams and for each seed.
    pub fn spread(self, seed: &[u8]) -> u64 {
        xxh3_64_with_seed(seed, self.0)
    }
}

/// Version of a target's software, as a hash: messages and memory hold one for each stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Mark(u64);

impl Mark {
    /// Returns the mark of a version.
    pub fn new(version: &str) -> Self {
        Self(xxh3_64(version.as_bytes()))
    }
}

impl fmt::Display for Mark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Version that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Stream.
    pub key: Key,
    /// Version.
    pub mark: Mark,
}

/// What is recorded of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Entry {
    /// The version that began it.
    Begun(Mark),
    /// Several versions, for example because a caller used an id twice.
    Void,
}

impl Entry {
    /// Returns the version, if it is certain.
    pub fn mark(self) -> Option<Mark> {
        match self {
            Self::Begun(mark) => Some(mark),
            Self::Void => None,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Known {
    at: Point,
    entry: Entry,
}

/// Records of one instance: two generations of a fixed size, of which the older one is dropped when the younger one is full.
#[derive(Debug, Clone, Default)]
pub struct Memory {
    young: HashMap<Key, Known>,
    old: HashMap<Key, Known>,
}

impl Memory {
    /// Adds a record.
    pub fn record(&mut self, record: Record, now: Point) {
        let begun = Entry::Begun(record.mark);
        let known = self.get(record.key);
        let is_conflict = known.is_some_and(|entry| entry != begun);
        if self.young.len() >= MAX_GENERATION_RECORDS && !self.young.contains_key(&record.key) {
            self.old = std::mem::take(&mut self.young);
        }
        let known = Known {
            at: now,
            entry: if is_conflict { Entry::Void } else { begun },
        };
        self.young.insert(record.key, known);
    }

    /// Returns what is recorded of a stream.
    pub fn get(&self, key: Key) -> Option<Entry> {
        let young = self.young.get(&key);
        let known = young.or_else(|| self.old.get(&key))?;
        Some(known.entry)
    }

    /// Returns the records of streams that began within a time, for an instance that may have lost them.
    pub fn recent(&self, age: Duration, now: Point) -> Vec<Record> {
        let all = self.young.iter().chain(&self.old);
        let recent = all.filter(|(_, known)| now.since(known.at) < age);
        let records = recent.filter_map(|(key, known)| {
            let mark = known.entry.mark()?;
            Some(Record { key: *key, mark })
        });
        records.collect()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.young.is_empty() && self.old.is_empty()
    }
}
