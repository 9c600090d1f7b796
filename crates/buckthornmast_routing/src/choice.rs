//! Choice among candidates.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use buckthornmast_types::prelude::*;
use rand::{Rng, seq::IndexedRandom};

use crate::table::{Candidate, Slot};

/// Hash of the start of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Prefix(pub u64);

/// Rule that picks a target.
pub trait Choice {
    /// What the rule remembers between choices.
    type Memory: Default;

    /// Picks one of the candidates.
    fn choose<R: Rng>(
        &self,
        candidates: &[Candidate],
        prefix: Option<Prefix>,
        memory: &mut Self::Memory,
        now: Point,
        rng: &mut R,
    ) -> Option<Slot>;
}

fn least<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> Option<&'a Candidate> {
    candidates.min_by(|a, b| a.load.total_cmp(&b.load).then(a.own.cmp(&b.own)))
}

/// Picks any candidate; a baseline.
#[derive(Debug, Clone, Copy, Default)]
pub struct Random;

impl Choice for Random {
    type Memory = ();

    fn choose<R: Rng>(
        &self,
        candidates: &[Candidate],
        _: Option<Prefix>,
        (): &mut (),
        _: Point,
        rng: &mut R,
    ) -> Option<Slot> {
        candidates.choose(rng).map(|candidate| candidate.slot)
    }
}

/// Picks the least loaded candidate; a baseline that herds when reports lag.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastLoaded;

impl Choice for LeastLoaded {
    type Memory = ();

    fn choose<R: Rng>(
        &self,
        candidates: &[Candidate],
        _: Option<Prefix>,
        (): &mut (),
        _: Point,
        _: &mut R,
    ) -> Option<Slot> {
        least(candidates.iter()).map(|candidate| candidate.slot)
    }
}

/// Picks the less loaded of two random candidates, or the one that has the prompt's prefix cached.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PowerOfTwo {
    /// Load that a cached prefix outweighs; 0 turns affinity off.
    pub slack: f64,
    /// Age from which a cached prefix no longer counts, since evictions are reported late or not at all.
    pub memory: Duration,
}

impl Default for PowerOfTwo {
    fn default() -> Self {
        Self {
            slack: 0.25,
            memory: Duration::from_secs(30),
        }
    }
}

/// Where prefixes were cached last.
#[derive(Debug, Clone, Default)]
pub struct Affinity {
    places: HashMap<Prefix, (Slot, Point)>,
    order: VecDeque<(Prefix, Point)>,
}

/// Most prefixes remembered.
const PLACES: usize = 16_384;

impl Affinity {
    /// Notes that a target has a prefix cached, from its cache events or from a request sent there.
    pub fn learn(&mut self, prefix: Prefix, slot: Slot, now: Point) {
        self.places.insert(prefix, (slot, now));
        self.order.push_back((prefix, now));
        while self.order.len() > PLACES {
            if let Some((oldest, at)) = self.order.pop_front()
                && self
                    .places
                    .get(&oldest)
                    .is_some_and(|(_, last)| *last == at)
            {
                self.places.remove(&oldest);
            }
        }
    }

    /// Forgets a prefix that a target has evicted.
    pub fn forget(&mut self, prefix: Prefix, slot: Slot) {
        if self
            .places
            .get(&prefix)
            .is_some_and(|(own, _)| *own == slot)
        {
            self.places.remove(&prefix);
        }
    }

    /// Forgets all prefixes of a target, after a gap in its cache events or a restart.
    pub fn forget_all(&mut self, slot: Slot) {
        self.places.retain(|_, (own, _)| *own != slot);
    }

    fn get(&self, prefix: Prefix, memory: Duration, now: Point) -> Option<Slot> {
        let (slot, at) = self.places.get(&prefix)?;
        (now.since(*at) < memory).then_some(*slot)
    }
}

impl Choice for PowerOfTwo {
    type Memory = Affinity;

    fn choose<R: Rng>(
        &self,
        candidates: &[Candidate],
        prefix: Option<Prefix>,
        memory: &mut Affinity,
        now: Point,
        rng: &mut R,
    ) -> Option<Slot> {
        let picked = least(candidates.choose_multiple(rng, 2))?;
        let cached = prefix.and_then(|prefix| memory.get(prefix, self.memory, now));
        let cached = cached.and_then(|slot| candidates.iter().find(|own| own.slot == slot));
        let chosen = match cached {
            Some(cached) if cached.load <= picked.load + self.slack => cached,
            _ => picked,
        };
        if let Some(prefix) = prefix {
            memory.learn(prefix, chosen.slot, now);
        }
        Some(chosen.slot)
    }
}
