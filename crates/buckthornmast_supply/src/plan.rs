//! Places of models.
//!
//! The load that is answered here: the demand for models moves within seconds, and a target is fast only while few
//! requests are read and answered there at once. Each decision spreads the demand for each model over the targets that
//! have it, as routing does, and looks at the level that results. A model that no target has is loaded first. Then
//! a model whose targets are all crowded gets another copy on the target with the most room. A copy makes room for
//! it only if its own model is asked for little enough that the other copies carry it.

use buckthornmast_routes::document::{Model, Pool};
use buckthornmast_types::{id, size::Bytes, time::Point};

use crate::{demand::Demand, ledger::Ledger, order::Action};

/// Requests at once up to which a target answers fast, whatever its slots: reading a prompt takes some tens of
/// milliseconds during which the answers of all others pause.
const COMFORT: f64 = 20.0;

/// Share of the comfortable requests beyond which a model wants another copy elsewhere.
const CROWDED: f64 = 0.5;

/// Share of the comfortable requests that a target must have less than the crowded ones to get a copy.
const MARGIN: f64 = 0.25;

/// Share of the comfortable requests up to which a model's other copies may be filled by the loss of one.
const SPARE: f64 = 0.25;

/// Requests at once below which a model counts as not asked for.
const IDLE: f64 = 0.3;

/// Requests at once below which a model gets no copy beyond its first, since a load takes seconds and moving a model
/// that is asked for more relieves its targets as well.
const SMALL: f64 = 2.0;

/// How much more a model without a copy must be asked for than the one whose last copy makes room for it.
const LAST_COPY: f64 = 4.0;

/// Requests a second from which an adapter counts as in demand.
const ADAPTER_RATE: f64 = 0.2;

/// Rounds in which the demand is spread; the levels hardly move after that.
const ROUNDS: usize = 4;

/// Next order to a target.
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
    name: &'a id::Model,
    model: &'a Model,
    // Requests at once, over all copies.
    demand: f64,
    rate: f64,
    // Adapters in demand.
    adapters: usize,
    // Indices of the targets that have or load it.
    copies: Vec<usize>,
    ready: usize,
}

struct Place<'a> {
    target: &'a id::Target,
    comfort: f64,
    level: f64,
    is_taken: bool,
}

/// Situation of one service.
pub struct Situation<'a> {
    ledger: &'a Ledger,
    pool: &'a Pool,
    models: Vec<Weighed<'a>>,
    places: Vec<Place<'a>>,
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
        let shelves = ledger
            .shelves
            .iter()
            .filter(|(_, shelf)| shelf.is_ready && shelf.service == *service);
        let places: Vec<Place<'_>> = shelves
            .map(|(target, shelf)| Place {
                target,
                comfort: f64::from(shelf.slots).clamp(1.0, COMFORT),
                level: 0.0,
                is_taken: !shelf.is_free(),
            })
            .collect();
        let models = pool.models.iter().map(|(name, model)| {
            let (rate, slots) = demand.of_model(service, name, now);
            let mut weighed = Weighed {
                name,
                model,
                demand: slots,
                rate,
                adapters: demand.adapters_of(service, name, ADAPTER_RATE, now),
                copies: Vec::new(),
                ready: 0,
            };
            for (index, place) in places.iter().enumerate() {
                let shelf = &ledger.shelves[place.target];
                let loads = shelf.loading().is_some_and(|(loading, _)| loading == name);
                let holds = shelf.is_usable(name);
                if holds || loads {
                    weighed.copies.push(index);
                    weighed.ready += usize::from(holds);
                }
            }
            weighed
        });
        let mut situation = Self {
            ledger,
            pool,
            models: models.collect(),
            places,
        };
        situation.spread();
        situation
    }

    /// Spreads the demand for each model over its copies, so that the fullest target is as little full as possible.
    fn spread(&mut self) {
        let mut flows: Vec<Vec<f64>> = Vec::new();
        let mut levels = vec![0.0; self.places.len()];
        for weighed in &self.models {
            let share = weighed.demand / weighed.copies.len().max(1) as f64;
            weighed.copies.iter().for_each(|at| levels[*at] += share);
            flows.push(vec![share; weighed.copies.len()]);
        }
        for _ in 0..ROUNDS {
            for (weighed, flows) in self.models.iter().zip(&mut flows) {
                for (at, flow) in weighed.copies.iter().zip(flows.iter()) {
                    levels[*at] -= flow;
                }
                let others: Vec<f64> = weighed.copies.iter().map(|at| levels[*at]).collect();
                *flows = fill(&others, weighed.demand);
                for (at, flow) in weighed.copies.iter().zip(flows.iter()) {
                    levels[*at] += flow;
                }
            }
        }
        for (place, level) in self.places.iter_mut().zip(levels) {
            place.level = level;
        }
    }

    /// Returns the next orders, at most one a target and at most `loads` from the weight store.
    pub fn steps(mut self, mut loads: usize) -> Vec<Step> {
        let mut steps = Vec::new();
        let mut missing: Vec<usize> = (0..self.models.len())
            .filter(|index| self.models[*index].copies.is_empty())
            .collect();
        missing.sort_by(|one, other| self.models[*other].rate.total_cmp(&self.models[*one].rate));
        for index in missing {
            let reason = "no target has the model";
            steps.extend(self.next_step(index, f64::INFINITY, reason, &mut loads));
        }
        // Each copy changes the levels, so the most crowded model is looked for anew.
        let mut settled: Vec<usize> = Vec::new();
        while let Some((index, level)) = self.most_crowded(&settled) {
            settled.push(index);
            let reason = "its targets are crowded";
            steps.extend(self.next_step(index, level - MARGIN * COMFORT, reason, &mut loads));
        }
        steps
    }

    /// Returns the model whose least crowded target is the most crowded of all, and its level.
    fn most_crowded(&self, settled: &[usize]) -> Option<(usize, f64)> {
        let crowded = self
            .models
            .iter()
            .enumerate()
            .filter_map(|(index, weighed)| {
                if settled.contains(&index) || weighed.copies.is_empty() {
                    return None;
                }
                let places = weighed.copies.iter().map(|at| &self.places[*at]);
                let least = places.min_by(|one, other| one.level.total_cmp(&other.level))?;
                let is_crowded = weighed.demand >= SMALL && least.level > CROWDED * least.comfort;
                let places = weighed.copies.len() * self.pool.adapters as usize;
                let lacks_places = weighed.adapters > places;
                let level = if lacks_places {
                    least.level.max((CROWDED + MARGIN) * least.comfort)
                } else {
                    least.level
                };
                // What a copy is worth grows with the demand that it relieves.
                let weight = (level - CROWDED * least.comfort).max(0.1) * weighed.demand;
                (is_crowded || lacks_places).then_some((index, level, weight))
            });
        let most = crowded.max_by(|(_, _, one), (_, _, other)| one.total_cmp(other));
        most.map(|(index, level, _)| (index, level))
    }

    /// Returns the order that brings a copy of a model closer, on a target whose level is at most `most`.
    fn next_step(
        &mut self,
        index: usize,
        most: f64,
        reason: &'static str,
        loads: &mut usize,
    ) -> Option<Step> {
        let weighed = &self.models[index];
        let mut best: Option<(usize, Action, (bool, usize, f64))> = None;
        for (at, place) in self.places.iter().enumerate() {
            let shelf = &self.ledger.shelves[place.target];
            let has_it = shelf.held.contains_key(weighed.name);
            if place.is_taken || has_it || place.level > most {
                continue;
            }
            let is_rationed = !shelf.copies.contains(weighed.name);
            if is_rationed && *loads == 0 {
                continue;
            }
            let free = shelf.free(self.pool);
            let (action, evicted) = if free >= weighed.model.weights {
                (Action::Load(weighed.name.clone()), 0)
            } else if let Some((first, evicted)) = self.make_room(at, free, weighed) {
                (Action::Unload(first), evicted)
            } else {
                continue;
            };
            let key = (is_rationed, evicted, place.level / place.comfort);
            if best.as_ref().is_none_or(|(_, _, other)| key < *other) {
                best = Some((at, action, key));
            }
        }
        let (at, action, (is_rationed, _, _)) = best?;
        if is_rationed {
            *loads -= 1;
        }
        self.places[at].is_taken = true;
        if let Action::Unload(model) = &action
            && let Some(leaving) = self.models.iter_mut().find(|other| other.name == model)
        {
            leaving.copies.retain(|copy| *copy != at);
            leaving.ready = leaving.ready.saturating_sub(1);
        }
        self.models[index].copies.push(at);
        self.spread();
        Some(Step {
            target: self.places[at].target.clone(),
            action,
            is_rationed,
            reason,
        })
    }

    /// Returns the first copy to unload for a model, and how many have to go.
    fn make_room(
        &self,
        at: usize,
        free: Bytes,
        wanted: &Weighed<'_>,
    ) -> Option<(id::Model, usize)> {
        let mut spare: Vec<&Weighed<'_>> = self
            .models
            .iter()
            .filter(|weighed| {
                let shelf = &self.ledger.shelves[self.places[at].target];
                shelf.held.contains_key(weighed.name) && self.is_spare(weighed, wanted, at)
            })
            .collect();
        // A model with other copies goes before one that would be left with none.
        spare.sort_by(|one, other| {
            let is_last = |weighed: &Weighed<'_>| weighed.ready < 2;
            let by_demand = one.demand.total_cmp(&other.demand);
            is_last(one).cmp(&is_last(other)).then(by_demand)
        });
        let first = spare.first()?.name.clone();
        let mut free = free.0;
        for (count, weighed) in spare.iter().enumerate() {
            free += weighed.model.weights.0;
            if free >= wanted.model.weights.0 {
                return Some((first, count + 1));
            }
        }
        None
    }

    /// Returns whether the copy of a model at a place may make room for another model.
    fn is_spare(&self, weighed: &Weighed<'_>, wanted: &Weighed<'_>, at: usize) -> bool {
        if weighed.ready >= 2 {
            let others = weighed.copies.iter().filter(|copy| **copy != at);
            let left = weighed.demand / others.count().max(1) as f64;
            let has = wanted.demand / wanted.copies.len().max(1) as f64;
            let is_little = weighed.demand < IDLE || left < has / 2.0;
            return is_little && (left < SPARE * COMFORT || wanted.copies.is_empty());
        }
        // The last copy goes only for a model that has none and is asked for far more.
        wanted.copies.is_empty() && weighed.rate * LAST_COPY < wanted.rate
    }
}

/// Pours an amount over places with these levels so that they end as level as possible.
fn fill(levels: &[f64], amount: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..levels.len()).collect();
    order.sort_by(|one, other| levels[*one].total_cmp(&levels[*other]));
    let mut surface = 0.0;
    let mut below = 0.0;
    for (count, index) in order.iter().enumerate() {
        below += levels[*index];
        surface = (amount + below) / (count + 1) as f64;
        let next = order.get(count + 1).map(|next| levels[*next]);
        if next.is_none_or(|next| surface <= next) {
            break;
        }
    }
    levels
        .iter()
        .map(|level| (surface - level).max(0.0))
        .collect()
}
