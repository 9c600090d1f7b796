//! Places of models.
//!
//! Each decision looks at the slots that the demand for each model takes, spread over the targets that have it. A
//! model that no target has is loaded first. Then a model whose targets are all crowded gets another copy on the
//! target with the most slots to spare. A copy makes room for it only if its own model is asked for
//! little enough that the other copies carry it.

use std::collections::BTreeMap;

use buckthornmast_routes::document::{Model, Pool};
use buckthornmast_types::{id, size::Bytes, time::Point};

use crate::{demand::Demand, ledger::Ledger, order::Action};

/// Share of a target's slots in use beyond which its models want another copy elsewhere.
const CROWDED: f64 = 0.6;

/// Share of slots that a target must have less in use than the crowded one to get a copy.
const MARGIN: f64 = 0.25;

/// Slots below which a model counts as not asked for.
const IDLE: f64 = 0.3;

/// Model that is to be loaded, and copies that make room for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Target.
    pub target: id::Target,
    /// Order that is given next.
    pub action: Action,
    /// Whether the load takes from the ration of the weight store.
    pub is_rationed: bool,
    /// Why, for the log.
    pub reason: &'static str,
}

struct Weighed<'a> {
    model: &'a Model,
    // Slots that the demand takes, over all copies.
    slots: f64,
    rate: f64,
    // Ready and coming copies.
    copies: usize,
    ready: usize,
}

/// Situation of one service.
pub struct Situation<'a> {
    ledger: &'a Ledger,
    pool: &'a Pool,
    models: BTreeMap<&'a id::Model, Weighed<'a>>,
    // Slots in use on each target, as far as its models' demand is spread evenly.
    used: BTreeMap<&'a id::Target, f64>,
    service: &'a id::Service,
}

impl<'a> Situation<'a> {
    /// Weighs demand against copies.
    pub fn new(
        ledger: &'a Ledger,
        service: &'a id::Service,
        pool: &'a Pool,
        demand: &Demand,
        now: Point,
    ) -> Self {
        let mut models: BTreeMap<&id::Model, Weighed<'_>> = BTreeMap::new();
        for (name, model) in &pool.models {
            let (rate, slots) = demand.of_model(service, name, now);
            models.insert(
                name,
                Weighed {
                    model,
                    slots,
                    rate,
                    copies: 0,
                    ready: 0,
                },
            );
        }
        let shelves = || {
            let all = ledger.shelves.iter();
            all.filter(|(_, shelf)| shelf.is_ready && shelf.service == *service)
        };
        for (_, shelf) in shelves() {
            for model in shelf.held.keys() {
                if let Some(weighed) = models.get_mut(model) {
                    weighed.copies += 1;
                    weighed.ready += 1;
                }
            }
            if let Some((model, _)) = shelf.loading()
                && let Some(weighed) = models.get_mut(model)
            {
                weighed.copies += 1;
            }
        }
        let used = shelves().map(|(target, shelf)| {
            let coming = shelf.loading().map(|(model, _)| model);
            let held = shelf.held.keys().chain(coming);
            let used = held.filter_map(|model| {
                let weighed = models.get(model)?;
                Some(weighed.slots / weighed.copies.max(1) as f64)
            });
            (target, used.sum())
        });
        let used = used.collect();
        Self {
            ledger,
            pool,
            models,
            used,
            service,
        }
    }

    /// Returns the next orders, at most one a target and at most `loads` from the weight store.
    pub fn steps(&self, loads: usize) -> Vec<Step> {
        let mut steps = Vec::new();
        let mut loads = loads;
        let mut missing: Vec<_> = self
            .models
            .iter()
            .filter(|(_, weighed)| weighed.copies == 0)
            .collect();
        missing.sort_by(|(_, one), (_, other)| other.rate.total_cmp(&one.rate));
        for (name, weighed) in missing {
            self.push(
                name,
                weighed,
                None,
                "no target has the model",
                &mut loads,
                &mut steps,
            );
        }
        let mut crowded: Vec<_> = self
            .models
            .iter()
            .filter_map(|(name, weighed)| Some((name, weighed, self.pressure(name, weighed)?)))
            .filter(|(_, _, pressure)| *pressure > CROWDED)
            .collect();
        crowded.sort_by(|(_, _, one), (_, _, other)| other.total_cmp(one));
        for (name, weighed, pressure) in crowded {
            let most = Some(pressure - MARGIN);
            self.push(
                name,
                weighed,
                most,
                "its targets are crowded",
                &mut loads,
                &mut steps,
            );
        }
        steps
    }

    /// Returns the share of slots in use on the least crowded target with a model that is asked for.
    fn pressure(&self, name: &id::Model, weighed: &Weighed<'_>) -> Option<f64> {
        if weighed.slots < IDLE || weighed.copies == 0 {
            return None;
        }
        let with = self.ledger.shelves.iter().filter(|(_, shelf)| {
            let loads = shelf.loading().is_some_and(|(model, _)| model == name);
            shelf.held.contains_key(name) || loads
        });
        let shares = with.filter_map(|(target, shelf)| {
            Some(self.used.get(target)? / f64::from(shelf.slots.max(1)))
        });
        shares.min_by(f64::total_cmp)
    }

    /// Adds the order that brings a copy of a model closer, if there is a place for it. `most` is the share of
    /// slots that may be in use there.
    fn push(
        &self,
        name: &id::Model,
        weighed: &Weighed<'_>,
        most: Option<f64>,
        reason: &'static str,
        loads: &mut usize,
        steps: &mut Vec<Step>,
    ) {
        let mut best: Option<(Step, (usize, bool, f64))> = None;
        for (target, shelf) in &self.ledger.shelves {
            let is_usable = shelf.service == *self.service
                && shelf.is_free()
                && !shelf.held.contains_key(name)
                && steps.iter().all(|step| step.target != *target);
            if !is_usable {
                continue;
            }
            let share =
                self.used.get(target).copied().unwrap_or(0.0) / f64::from(shelf.slots.max(1));
            if most.is_some_and(|most| share > most) {
                continue;
            }
            let is_rationed = !shelf.copies.contains(name);
            let free = shelf.free(self.pool);
            let (action, evicted) = if free >= weighed.model.weights {
                (Action::Load(name.clone()), 0)
            } else {
                match self.make_room(target, free, weighed) {
                    Some((model, evicted)) => (Action::Unload(model), evicted),
                    None => continue,
                }
            };
            if is_rationed && *loads == 0 {
                continue;
            }
            let key = (evicted, is_rationed, share);
            if best.as_ref().is_none_or(|(_, other)| key < *other) {
                best = Some((
                    Step {
                        target: target.clone(),
                        action,
                        is_rationed,
                        reason,
                    },
                    key,
                ));
            }
        }
        if let Some((step, _)) = best {
            if step.is_rationed {
                *loads = loads.saturating_sub(1);
            }
            steps.push(step);
        }
    }

    /// Returns the first copy to unload for a model of this size, and how many have to go.
    fn make_room(
        &self,
        target: &id::Target,
        free: Bytes,
        wanted: &Weighed<'_>,
    ) -> Option<(id::Model, usize)> {
        let shelf = self.ledger.shelves.get(target)?;
        let mut spare: Vec<_> = shelf
            .held
            .keys()
            .filter_map(|name| Some((name, self.models.get(name)?)))
            .filter(|(_, weighed)| self.is_spare(weighed, wanted))
            .collect();
        spare.sort_by(|(_, one), (_, other)| one.slots.total_cmp(&other.slots));
        let mut free = free.0;
        for (count, (name, weighed)) in spare.iter().enumerate() {
            free += weighed.model.weights.0;
            if free >= wanted.model.weights.0 {
                return Some((
                    (*spare.first().map(|(name, _)| name).unwrap_or(name)).clone(),
                    count + 1,
                ));
            }
        }
        None
    }

    /// Returns whether one copy of a model may make room for another model.
    fn is_spare(&self, weighed: &Weighed<'_>, wanted: &Weighed<'_>) -> bool {
        if weighed.ready >= 2 {
            let slots = f64::from(self.pool.slots.max(1));
            let left = weighed.slots / (weighed.ready - 1) as f64;
            return left < slots * CROWDED / 2.0 && weighed.slots < wanted.slots.max(IDLE);
        }
        // The last copy goes only for a model that is asked for while this one is not.
        wanted.copies == 0 && wanted.rate > 0.0 && weighed.rate == 0.0
    }
}
