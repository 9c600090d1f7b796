//! What an instance knows about the prefix caches of targets.
//!
//! There are two sources. A request that the instance sent itself means that its target has the prefix
//! now. A cache event says what an engine stored or evicted, for all instances, but may be late,
//! missing, repeated or out of order. Both are kept apart, so that a fault of the events never takes
//! away what the instance would know without them.

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

/// Most prefixes remembered.
const PLACES: usize = 16_384;

/// Targets remembered per prefix; a prefix in use at more has copies to spare.
const HOLDERS: usize = 4;

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

/// How long knowledge counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trust {
    /// Age from which an own request no longer counts.
    pub own: Duration,
    /// Age from which a `stored` event no longer counts.
    pub told: Duration,
}

/// `stored` event.
#[derive(Debug, Clone, Copy)]
struct Told {
    sequence: u64,
    at: Point,
}

#[derive(Debug, Clone, Copy)]
struct Holder {
    slot: Slot,
    /// Last own request with the prefix.
    own: Option<Point>,
    told: Option<Told>,
}

impl Holder {
    fn newest(&self) -> Option<Point> {
        self.own.max(self.told.map(|told| told.at))
    }
}

#[derive(Debug, Clone, Default)]
struct Place {
    holders: SmallVec<[Holder; 1]>,
    touched: Point,
}

/// Position in the events of a target.
#[derive(Debug, Clone, Copy)]
struct Stream {
    incarnation: id::Incarnation,
    /// Number of the event to come.
    next: u64,
    /// Number after the last gap. What earlier events stored may have been evicted by a missing one.
    sure_from: u64,
}

/// Where prefixes are cached.
#[derive(Debug, Clone, Default)]
pub struct Affinity {
    places: HashMap<Prefix, Place>,
    /// Prefixes in the order in which they were last heard of, to forget the oldest.
    order: VecDeque<(Prefix, Point)>,
    streams: HashMap<Slot, Stream>,
}

impl Affinity {
    /// Notes that a request with a prefix was sent to a target.
    pub fn learn(&mut self, prefix: Prefix, slot: Slot, now: Point) {
        self.holder(prefix, slot, now).own = Some(now);
        self.bound();
    }

    /// Takes a cache event of a target that arrived now, and returns whether its number is the highest
    /// so far.
    pub fn apply(
        &mut self,
        slot: Slot,
        incarnation: id::Incarnation,
        event: &Event,
        now: Point,
    ) -> bool {
        self.start(slot, incarnation);
        let Some(stream) = self.streams.get_mut(&slot) else {
            return false;
        };
        if incarnation < stream.incarnation {
            return false;
        }
        let sequence = event.sequence;
        let is_new = sequence >= stream.next;
        if sequence > stream.next {
            stream.sure_from = sequence;
        }
        if is_new {
            stream.next = sequence.saturating_add(1);
        }
        let at = now - Duration::from_millis(event.age_ms);
        match event.change {
            Change::Stored(prefix) if is_new => {
                self.holder(prefix, slot, now).told = Some(Told { sequence, at });
                self.bound();
            }
            // Whether it was evicted since then is not known.
            Change::Stored(_) => {}
            Change::Evicted(prefix) => self.evict(prefix, slot, sequence, at),
        }
        is_new
    }

    /// Notes the incarnation of a target. A newer one than before has an empty cache.
    pub fn start(&mut self, slot: Slot, incarnation: id::Incarnation) {
        let fresh = Stream {
            incarnation,
            next: 1,
            sure_from: 1,
        };
        let stream = self.streams.entry(slot).or_insert(fresh);
        if stream.incarnation < incarnation {
            *stream = fresh;
            self.forget_all(slot);
        }
    }

    /// Forgets all prefixes of a target.
    fn forget_all(&mut self, slot: Slot) {
        self.places.retain(|_, place| {
            place.holders.retain(|holder| holder.slot != slot);
            !place.holders.is_empty()
        });
    }

    fn evict(&mut self, prefix: Prefix, slot: Slot, sequence: u64, at: Point) {
        let Some(place) = self.places.get_mut(&prefix) else {
            return;
        };
        place.holders.retain(|holder| {
            if holder.slot == slot {
                // Events of one engine compare by number, which no delay falsifies.
                holder.told = holder.told.filter(|told| told.sequence > sequence);
                holder.own = holder.own.filter(|own| *own > at);
            }
            holder.newest().is_some()
        });
        if place.holders.is_empty() {
            self.places.remove(&prefix);
        }
    }

    fn holder(&mut self, prefix: Prefix, slot: Slot, now: Point) -> &mut Holder {
        let place = self.places.entry(prefix).or_default();
        if place.touched != now || place.holders.is_empty() {
            place.touched = now;
            self.order.push_back((prefix, now));
        }
        let holders = &mut place.holders;
        let index = holders.iter().position(|holder| holder.slot == slot);
        let index = index.unwrap_or_else(|| {
            if holders.len() >= HOLDERS {
                let oldest = (0..holders.len()).min_by_key(|index| holders[*index].newest());
                holders.swap_remove(oldest.unwrap_or(0));
            }
            holders.push(Holder {
                slot,
                own: None,
                told: None,
            });
            holders.len() - 1
        });
        &mut holders[index]
    }

    fn bound(&mut self) {
        while self.order.len() > PLACES {
            let Some((oldest, at)) = self.order.pop_front() else {
                return;
            };
            let place = self.places.get(&oldest);
            if place.is_some_and(|place| place.touched == at) {
                self.places.remove(&oldest);
            }
        }
    }

    /// Returns the targets that have a prefix, the one with the newest knowledge first.
    pub fn holders(&self, prefix: Prefix, trust: &Trust, now: Point) -> SmallVec<[Slot; HOLDERS]> {
        let holders = self.places.get(&prefix).into_iter();
        let mut found: SmallVec<[(Point, Slot); HOLDERS]> = holders
            .flat_map(|place| &place.holders)
            .filter_map(|holder| {
                let own = holder.own.filter(|own| now.since(*own) < trust.own);
                let told = holder.told.filter(|told| {
                    let stream = self.streams.get(&holder.slot);
                    stream.is_some_and(|stream| told.sequence >= stream.sure_from)
                        && now.since(told.at) < trust.told
                });
                let newest = own.max(told.map(|told| told.at))?;
                Some((newest, holder.slot))
            })
            .collect();
        found.sort_by(|a, b| b.cmp(a));
        found.into_iter().map(|(_, slot)| slot).collect()
    }

    /// Returns the number of prefixes remembered.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }
}
