//! Choice among candidates.

use std::time::Duration;

use buckthornmast_types::prelude::*;
use rand::{Rng, seq::IndexedRandom};

pub use crate::affinity::{Affinity, Prefix};
use crate::{
    affinity::Trust,
    table::{Candidate, Slot},
};

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
    /// Age from which what is known about caches no longer counts. Without events an eviction goes
    /// unnoticed; with them it is told, unless the last events of an engine are lost.
    pub memory: Trust,
}

impl Default for PowerOfTwo {
    fn default() -> Self {
        Self {
            slack: 0.25,
            memory: Trust {
                own: Duration::from_secs(30),
                told: Duration::from_secs(300),
            },
        }
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
        let holders = prefix.map(|prefix| memory.holders(prefix, &self.memory, now));
        let cached = holders.into_iter().flatten().find_map(|slot| {
            let cached = candidates.iter().find(|own| own.slot == slot)?;
            (cached.load <= picked.load + self.slack).then_some(cached)
        });
        let chosen = cached.unwrap_or(picked);
        if let Some(prefix) = prefix {
            memory.learn(prefix, chosen.slot, now);
        }
        Some(chosen.slot)
    }
}
