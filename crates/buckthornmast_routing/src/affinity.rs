//! Records of which targets have a prefix of a prompt cached, as observed by one instance.
//!
//! There are two sources. A request sent by this instance means that its target now has the prefix. A cache
//! event reports to all instances what an engine stored or evicted, but may be late, missing, repeated or out
//! of order. The two are kept apart, so that a fault in the events never removes what the instance knows
//! without them.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

pub use buckthornmast_types::cache::Prefix;
use buckthornmast_types::{
    artifact::Artifact,
    cache::{Change, Event},
    id,
    time::Point,
};
use smallvec::SmallVec;

use crate::table::Slot;

/// Maximum number of entries in the order of updates, and so of recorded prefixes. Beyond it, the prefixes that were
/// updated least recently are removed.
const MAX_PREFIXES: usize = 16_384;

/// Maximum number of targets recorded per prefix; a prefix cached on more targets has enough copies. Beyond it, a new
/// one replaces the one with the oldest record.
const MAX_HOLDERS: usize = 4;

/// Returns the prefix of a prompt from a hash of its first message.
///
/// The artifact is part of it, since a KV cache of one model or adapter is of no use to another.
pub fn prefix_of(first_message: u64, artifact: &Artifact) -> Prefix {
    let name = artifact.to_string();
    Prefix(xxhash_rust::xxh3::xxh3_64_with_seed(
        name.as_bytes(),
        first_message,
    ))
}

/// Age limits of records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Validity {
    /// Age from which a request sent by this instance no longer counts.
    pub own_request: Duration,
    /// Age from which a `stored` event no longer counts.
    pub stored_event: Duration,
}

/// Last `stored` event of a prefix.
#[derive(Debug, Clone, Copy)]
struct StoredEvent {
    sequence: u64,
    at: Point,
}

#[derive(Debug, Clone, Copy)]
struct Holder {
    slot: Slot,
    /// Time of the last request with the prefix sent by this instance.
    requested: Option<Point>,
    stored: Option<StoredEvent>,
}

impl Holder {
    fn newest(&self) -> Option<Point> {
        self.requested.max(self.stored.map(|stored| stored.at))
    }
}

#[derive(Debug, Clone, Default)]
struct Entry {
    holders: SmallVec<[Holder; 1]>,
    updated: Point,
}

/// Position in the event stream of a target.
#[derive(Debug, Clone, Copy)]
struct Stream {
    incarnation: id::Incarnation,
    /// Number of the next event.
    next: u64,
    /// First number after the last gap. Prefixes stored by earlier events may have been evicted by a missing one.
    reliable_from: u64,
}

/// Targets on which prefixes are cached.
#[derive(Debug, Clone, Default)]
pub struct Affinity {
    entries: HashMap<Prefix, Entry>,
    /// Prefixes in the order of their last update, to remove the oldest.
    order: VecDeque<(Prefix, Point)>,
    streams: HashMap<Slot, Stream>,
}

impl Affinity {
    /// Records that a request with a prefix was sent to a target.
    pub fn record_request(&mut self, prefix: Prefix, slot: Slot, now: Point) {
        self.holder_mut(prefix, slot, now).requested = Some(now);
        self.evict_oldest_prefixes();
    }

    /// Applies a cache event of a target that arrived now, and returns whether its number is the highest so
    /// far.
    pub fn apply(
        &mut self,
        slot: Slot,
        incarnation: id::Incarnation,
        event: &Event,
        now: Point,
    ) -> bool {
        self.observe_incarnation(slot, incarnation);
        let Some(stream) = self.streams.get_mut(&slot) else {
            return false;
        };
        if incarnation < stream.incarnation {
            return false;
        }
        let sequence = event.sequence;
        let is_new = sequence >= stream.next;
        if sequence > stream.next {
            stream.reliable_from = sequence;
        }
        if is_new {
            stream.next = sequence.saturating_add(1);
        }
        let at = now - Duration::from_millis(event.age_ms);
        match event.change {
            Change::Stored(prefix) if is_new => {
                self.holder_mut(prefix, slot, now).stored = Some(StoredEvent { sequence, at });
                self.evict_oldest_prefixes();
            }
            // An event that arrives out of order is ignored: the prefix may have been evicted since then.
            Change::Stored(_) => {}
            Change::Evicted(prefix) => self.apply_eviction(prefix, slot, sequence, at),
        }
        is_new
    }

    /// Records the incarnation of a target. A newer incarnation has an empty cache.
    pub fn observe_incarnation(&mut self, slot: Slot, incarnation: id::Incarnation) {
        let fresh = Stream {
            incarnation,
            next: 1,
            reliable_from: 1,
        };
        let stream = self.streams.entry(slot).or_insert(fresh);
        if stream.incarnation < incarnation {
            *stream = fresh;
            self.remove_target(slot);
        }
    }

    /// Removes a target from all prefixes.
    fn remove_target(&mut self, slot: Slot) {
        self.entries.retain(|_, entry| {
            entry.holders.retain(|holder| holder.slot != slot);
            !entry.holders.is_empty()
        });
    }

    /// Removes the records of a prefix that are older than its eviction at a target.
    fn apply_eviction(&mut self, prefix: Prefix, slot: Slot, sequence: u64, at: Point) {
        let Some(entry) = self.entries.get_mut(&prefix) else {
            return;
        };
        entry.holders.retain(|holder| {
            if holder.slot == slot {
                // Events of one engine are compared by number, which delays don't affect.
                holder.stored = holder.stored.filter(|stored| stored.sequence > sequence);
                holder.requested = holder.requested.filter(|requested| *requested > at);
            }
            holder.newest().is_some()
        });
        if entry.holders.is_empty() {
            self.entries.remove(&prefix);
        }
    }

    fn holder_mut(&mut self, prefix: Prefix, slot: Slot, now: Point) -> &mut Holder {
        let entry = self.entries.entry(prefix).or_default();
        if entry.updated != now || entry.holders.is_empty() {
            entry.updated = now;
            self.order.push_back((prefix, now));
        }
        let holders = &mut entry.holders;
        let index = holders.iter().position(|holder| holder.slot == slot);
        let index = index.unwrap_or_else(|| {
            if holders.len() >= MAX_HOLDERS {
                let oldest = (0..holders.len()).min_by_key(|index| holders[*index].newest());
                holders.swap_remove(oldest.unwrap_or(0));
            }
            holders.push(Holder {
                slot,
                requested: None,
                stored: None,
            });
            holders.len() - 1
        });
        &mut holders[index]
    }

    fn evict_oldest_prefixes(&mut self) {
        while self.order.len() > MAX_PREFIXES {
            let Some((oldest, at)) = self.order.pop_front() else {
                return;
            };
            // A prefix that was updated later has a newer entry in the order.
            let entry = self.entries.get(&oldest);
            if entry.is_some_and(|entry| entry.updated == at) {
                self.entries.remove(&oldest);
            }
        }
    }

    /// Returns the targets that have a prefix, the one with the newest record first.
    pub fn holders(
        &self,
        prefix: Prefix,
        validity: &Validity,
        now: Point,
    ) -> SmallVec<[Slot; MAX_HOLDERS]> {
        let holders = self.entries.get(&prefix).into_iter();
        let mut found: SmallVec<[(Point, Slot); MAX_HOLDERS]> = holders
            .flat_map(|entry| &entry.holders)
            .filter_map(|holder| {
                let requested = holder
                    .requested
                    .filter(|requested| now.since(*requested) < validity.own_request);
                let stored = holder.stored.filter(|stored| {
                    let stream = self.streams.get(&holder.slot);
                    stream.is_some_and(|stream| stored.sequence >= stream.reliable_from)
                        && now.since(stored.at) < validity.stored_event
                });
                let newest = requested.max(stored.map(|stored| stored.at))?;
                Some((newest, holder.slot))
            })
            .collect();
        found.sort_by(|a, b| b.cmp(a));
        found.into_iter().map(|(_, slot)| slot).collect()
    }

    /// Returns the number of recorded prefixes.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no prefix is recorded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
