//! Rules that choose one of the candidate targets.

use std::time::Duration;

use buckthornmast_types::prelude::*;
use rand::{Rng, seq::IndexedRandom};

pub use crate::affinity::{Affinity, Prefix};
use crate::{
    affinity::Validity,
    table::{Candidate, Slot},
};

/// Rule that picks a target.
pub trait Choice {
    /// State that the rule keeps between choices.
    type State: Default;

    /// Picks one of the candidates.
    fn choose<R: Rng>(
        &self,
        candidates: &[Candidate],
        prefix: Option<Prefix>,
        state: &mut Self::State,
        now: Point,
        rng: &mut R,
    ) -> Option<Slot>;
}

fn least_loaded<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> Option<&'a Candidate> {
    candidates.min_by(|a, b| {
        a.load
            .total_cmp(&b.load)
            .then(a.in_progress.cmp(&b.in_progress))
    })
}

/// Picks a random candidate, as a baseline.
#[derive(Debug, Clone, Copy, Default)]
pub struct Random;

impl Choice for Random {
    type State = ();

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

/// Picks the least loaded candidate, as a baseline. Requests herd to one target when reports lag.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastLoaded;

impl Choice for LeastLoaded {
    type State = ();

    fn choose<R: Rng>(
        &self,
        candidates: &[Candidate],
        _: Option<Prefix>,
        (): &mut (),
        _: Point,
        _: &mut R,
    ) -> Option<Slot> {
        least_loaded(candidates.iter()).map(|candidate| candidate.slot)
    }
}

/// Picks the less loaded of two random candidates, or a candidate that has the prompt's prefix cached.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PowerOfTwo {
    /// Load per slot by which a target that has the prefix cached may exceed the less loaded of the two. At 0 it is
    /// chosen only if its load is no higher.
    pub affinity_slack: f64,
    /// Age from which records of cached prefixes no longer count. Without events an eviction goes
    /// unnoticed; with them it is reported, unless the last events of an engine are lost.
    pub validity: Validity,
}

impl Default for PowerOfTwo {
    fn default() -> Self {
        Self {
            affinity_slack: 0.25,
            validity: Validity {
                own_request: Duration::from_secs(30),
                stored_event: Duration::from_secs(300),
            },
        }
    }
}

impl Choice for PowerOfTwo {
    type State = Affinity;

    fn choose<R: Rng>(
        &self,
        candidates: &[Candidate],
        prefix: Option<Prefix>,
        state: &mut Affinity,
        now: Point,
        rng: &mut R,
    ) -> Option<Slot> {
        let picked = least_loaded(candidates.choose_multiple(rng, 2))?;
        let holders = prefix.map(|prefix| state.holders(prefix, &self.validity, now));
        let cached = holders.into_iter().flatten().find_map(|slot| {
            let cached = candidates.iter().find(|candidate| candidate.slot == slot)?;
            (cached.load <= picked.load + self.affinity_slack).then_some(cached)
        });
        let chosen = cached.unwrap_or(picked);
        if let Some(prefix) = prefix {
            state.record_request(prefix, chosen.slot, now);
        }
        Some(chosen.slot)
    }
}
